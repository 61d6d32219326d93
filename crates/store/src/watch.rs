use std::sync::Arc;

use bytes::BytesMut;
use reqwest::Response;
use schema::gateway::{WatchCreateRequest, WatchRequest, WatchResponse, WatchStream};
use tokio::time::timeout_at;
use types::Deadline;

use crate::counters::Counters;
use crate::ledger::Ledger;
use crate::store::print;
use crate::transport::Transport;
use crate::{Error, Event, Kind, Revision, Span};

/// Largest message of a watch, in bytes. It bounds the memory that a damaged store can take.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// Open watch. Dropping it closes its connection.
pub struct Watch {
    response: Response,
    buffer: BytesMut,
    ledger: Ledger,
    counters: Arc<Counters>,
    next: Revision,
    /// Reason why no more events come.
    ended: Option<Error>,
}

impl Watch {
    /// Opens a watch and waits for the store's confirmation.
    pub(crate) async fn open(
        transport: &Transport,
        span: &Span,
        from: Revision,
        deadline: Deadline,
    ) -> Result<Self, Error> {
        let request = WatchRequest {
            create_request: Some(WatchCreateRequest {
                key: span.start(),
                range_end: span.end(),
                start_revision: from.get(),
            }),
        };
        let body = print(&request)?;
        let response = transport.open(Kind::Watch, body, deadline).await?;
        let mut watch = Self {
            response,
            buffer: BytesMut::new(),
            ledger: Ledger::new(from),
            counters: Arc::clone(&transport.counters),
            next: from,
            ended: None,
        };
        watch.confirm(from, deadline).await?;
        Ok(watch)
    }

    async fn confirm(&mut self, from: Revision, deadline: Deadline) -> Result<(), Error> {
        let message = self.message_by(deadline).await?;
        if !message.created {
            return Err(Error::WatchEnded(
                "first message is not a confirmation".to_owned(),
            ));
        }
        if from == Revision::NONE {
            let newest = message.header.map_or(0, |header| header.revision);
            self.next = Revision::new(newest).next();
            self.ledger = Ledger::new(self.next);
        }
        Ok(())
    }

    /// Revision to open the next watch from, so that it continues where this one stands.
    #[must_use]
    pub const fn next_revision(&self) -> Revision {
        self.next
    }

    /// Waits for changes; returns at least one. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::WatchSilent`] when nothing came by the deadline. The watch may be idle: read
    /// the keys, and open a new watch when the read shows a change that the watch did not report.
    /// Every other error ends the watch, and later calls return it again.
    pub async fn next(&mut self, deadline: Deadline) -> Result<Vec<Event>, Error> {
        if let Some(error) = &self.ended {
            return Err(error.clone());
        }
        let result = self.events_by(deadline).await;
        if let Err(error) = &result
            && *error != Error::WatchSilent
        {
            self.ended = Some(error.clone());
        }
        result
    }

    async fn events_by(&mut self, deadline: Deadline) -> Result<Vec<Event>, Error> {
        loop {
            let message = self.message_by(deadline).await?;
            let header = message.header;
            let events = message.events.into_iter().map(Event::try_from);
            let events: Vec<Event> = events.collect::<Result<_, _>>()?;
            for event in &events {
                self.ledger.enter(event)?;
            }
            if let Some(last) = events.last() {
                self.next = last.revision.next();
                return Ok(events);
            }
            // A message without events tells that nothing was left out up to its revision.
            let newest = Revision::new(header.map_or(0, |header| header.revision));
            self.next = self.next.max(newest.next());
        }
    }

    async fn message_by(&mut self, deadline: Deadline) -> Result<WatchResponse, Error> {
        timeout_at(deadline.instant(), self.message())
            .await
            .map_err(|_| Error::WatchSilent)?
    }

    /// Receives the next message.
    async fn message(&mut self) -> Result<WatchResponse, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return read(&line);
            }
            if self.buffer.len() > MESSAGE_LIMIT {
                return Err(Error::WatchEnded("message is too large".to_owned()));
            }
            match self.response.chunk().await {
                Ok(Some(part)) => {
                    self.counters.add_bytes(Kind::Watch, part.len());
                    self.buffer.extend_from_slice(&part);
                }
                Ok(None) => return Err(Error::WatchEnded("closed by the store".to_owned())),
                Err(error) => return Err(Error::WatchEnded(error.to_string())),
            }
        }
    }
}

fn read(line: &[u8]) -> Result<WatchResponse, Error> {
    let wrapped: WatchStream =
        serde_json::from_slice(line).map_err(|error| Error::WatchEnded(error.to_string()))?;
    if let Some(failure) = wrapped.error {
        return Err(Error::WatchEnded(failure.message));
    }
    let message = wrapped.result.unwrap_or_default();
    if message.compact_revision > 0 {
        let oldest = Revision::new(message.compact_revision);
        return Err(Error::Compacted { oldest });
    }
    if message.canceled {
        return Err(Error::WatchEnded(message.cancel_reason));
    }
    Ok(message)
}
