use std::future::pending;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use schema::gateway::{Event, WatchCreateRequest, WatchResponse, WatchStream};
use tokio::sync::watch as channel;

use super::Shared;
use super::gateway::damage;
use super::span::Span;
use crate::server::Connection;

/// Progress of a watch.
enum Stage {
    Created,
    Running,
    Ended,
}

/// One waiting watch.
pub(crate) struct Watch {
    shared: Arc<Shared>,
    connection: Connection,
    span: Span,
    /// First revision that is not reported yet.
    next: i64,
    revision: channel::Receiver<i64>,
    stage: Stage,
}

impl Watch {
    /// Creates a watch from the request's start revision, or from the next change.
    pub(crate) fn new(
        shared: Arc<Shared>,
        connection: Connection,
        request: &WatchCreateRequest,
    ) -> Self {
        let revision = shared.revision.subscribe();
        let next = if request.start_revision > 0 {
            request.start_revision
        } else {
            shared.lock().data.revision() + 1
        };
        Self {
            shared,
            connection,
            span: Span::new(&request.key, &request.range_end),
            next,
            revision,
            stage: Stage::Created,
        }
    }

    /// Messages of the streamed answer, one JSON object on each line.
    pub(crate) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        unfold(self, |mut watch| async move {
            let message = watch.next().await?;
            watch.connection.wait_audible().await;
            let damaged = watch.shared.lock().faults.faults().damage_answers;
            Some((print(message, damaged), watch))
        })
    }

    async fn next(&mut self) -> Option<WatchResponse> {
        match self.stage {
            Stage::Created => {
                self.stage = Stage::Running;
                Some(WatchResponse {
                    header: Some(self.shared.lock().data.header()),
                    created: true,
                    ..WatchResponse::default()
                })
            }
            Stage::Running => Some(self.next_events().await),
            Stage::Ended => None,
        }
    }

    async fn next_events(&mut self) -> WatchResponse {
        loop {
            self.revision.mark_unchanged();
            if let Some(message) = self.collect() {
                if self.shared.lock().faults.faults().watch_silent {
                    pending::<()>().await;
                }
                return message;
            }
            if self.revision.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    /// Takes the events that are due; `None` when there are none.
    fn collect(&mut self) -> Option<WatchResponse> {
        let mut inner = self.shared.lock();
        let header = Some(inner.data.header());
        let compacted = inner.data.compacted();
        if self.next <= compacted {
            self.stage = Stage::Ended;
            return Some(WatchResponse {
                header,
                canceled: true,
                compact_revision: compacted + 1,
                cancel_reason: "required revision has been compacted".to_owned(),
                ..WatchResponse::default()
            });
        }
        let mut events: Vec<Event> = inner.data.events(&self.span, self.next);
        if events.is_empty() || !inner.faults.take_repeat() {
            self.next = self.next.max(inner.data.revision() + 1);
        }
        let skipped = inner.faults.take_skips(events.len());
        events.drain(..skipped);
        (!events.is_empty()).then(|| WatchResponse {
            header,
            events,
            ..WatchResponse::default()
        })
    }
}

fn print(message: WatchResponse, damaged: bool) -> io::Result<Bytes> {
    let wrapped = WatchStream {
        result: Some(message),
        error: None,
    };
    let mut text = serde_json::to_vec(&wrapped)?;
    if damaged {
        damage(&mut text);
    }
    text.push(b'\n');
    Ok(text.into())
}
