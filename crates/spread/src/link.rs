use std::time::Duration;

use schema::control::{Message, message::Kind};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use types::id;
use wire::{Connection, Stream};

use crate::shared::Shared;
use crate::traffic::{Direction, kind_name};

/// Capacity of the send queue of one link, in messages. Transfer parts have a bounded size, so this
/// also bounds the memory that a slow peer can occupy.
const SEND_QUEUE_MESSAGES: usize = 16;

/// Time limit for sending the remaining queue when a link is closed in an orderly way.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a link ended, either a failure or a decision of one of the two nodes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum EndReason {
    #[error("closed")]
    Closed,
    #[error("silent")]
    Silent,
    #[error("queue full")]
    QueueFull,
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error("ended by the peer")]
    EndedByPeer,
    #[error("this node is stopping")]
    Stopping,
    #[error("parent lags behind the standby")]
    ParentLagging,
    #[error("link no longer fits the tree order")]
    InvalidPosition,
    #[error("replaced by a newer link")]
    Replaced,
    #[error("snapshot is damaged")]
    DamagedSnapshot,
    #[error("this node became the reader")]
    BecameReader,
}

/// Queued message.
struct Outgoing {
    /// Earliest time to send the message, which applies the configured delay.
    due: Instant,
    region: Option<id::Region>,
    message: Message,
}

/// Control stream to one peer, with a bounded send queue and a task that empties it.
pub(crate) struct Link {
    queue: mpsc::Sender<Outgoing>,
    sender_task: JoinHandle<()>,
    receiver: wire::Receiver,
    shared: Shared,
    /// Region of the peer, once it is known.
    region: Option<id::Region>,
    delay: Duration,
    /// Time at which the peer counts as failed unless a message arrives before.
    silence_deadline: Instant,
    /// Keeps the connection of a dialled link open.
    _connection: Option<Connection>,
}

impl Link {
    /// Starts the sending task. The location of the peer is unknown until
    /// [`Link::set_peer_location`].
    pub(crate) fn new(shared: &Shared, stream: Stream, connection: Option<Connection>) -> Self {
        let (queue, messages) = mpsc::channel(SEND_QUEUE_MESSAGES);
        shared.open_links.send_modify(|open| *open += 1);
        Self {
            queue,
            sender_task: tokio::spawn(send_messages(shared.clone(), stream.sender, messages)),
            receiver: stream.receiver,
            shared: shared.clone(),
            region: None,
            delay: Duration::ZERO,
            silence_deadline: Instant::now() + shared.config.silence_timeout,
            _connection: connection,
        }
    }

    /// Sets region and failure domain of the peer, which select the configured delay.
    pub(crate) fn set_peer_location(&mut self, region: &id::Region, domain: &id::Domain) {
        let config = &self.shared.config;
        self.delay = if *region != self.shared.local.region {
            config.region_delay
        } else if *domain != self.shared.local.domain {
            config.domain_delay
        } else {
            Duration::ZERO
        };
        self.region = Some(region.clone());
    }

    /// Queues a message. Fails when the queue stays full for the silence timeout.
    pub(crate) async fn send(&self, kind: Kind) -> Result<(), EndReason> {
        let outgoing = Outgoing {
            due: Instant::now() + self.delay,
            region: self.region.clone(),
            message: Message { kind: Some(kind) },
        };
        match timeout(
            self.shared.config.silence_timeout,
            self.queue.send(outgoing),
        )
        .await
        {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(EndReason::Closed),
            Err(_) => Err(EndReason::QueueFull),
        }
    }

    /// Receives the next message. Cancel safe.
    pub(crate) async fn recv(&mut self) -> Result<Kind, EndReason> {
        let received = timeout_at(self.silence_deadline, self.receiver.recv::<Message>()).await;
        let frame = match received {
            Err(_) => return Err(EndReason::Silent),
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None) | Err(_)) => return Err(EndReason::Closed),
        };
        self.silence_deadline = Instant::now() + self.shared.config.silence_timeout;
        let kind = frame.message.kind.ok_or(EndReason::UnexpectedMessage)?;
        let name = kind_name(&kind);
        let counters = &self.shared.counters;
        counters.add(name, Direction::Received, self.region.as_ref(), frame.size);
        Ok(kind)
    }

    /// Closes the link after sending the queued messages.
    pub(crate) async fn close(mut self) {
        let (closed, _) = mpsc::channel(1);
        drop(std::mem::replace(&mut self.queue, closed));
        // Dropping both directions resets the stream and loses what is not yet on the wire, so wait
        // until the peer has read the last message and ended its side. The timeout keeps a peer
        // that does not read from delaying the shutdown.
        let _ = timeout(FLUSH_TIMEOUT, async {
            let _ = (&mut self.sender_task).await;
            while let Ok(Some(_)) = self.receiver.recv::<Message>().await {}
        })
        .await;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.sender_task.abort();
        self.shared.open_links.send_modify(|open| *open -= 1);
    }
}

/// Sends queued messages, each no earlier than its due time, until the queue closes or the stream
/// fails.
async fn send_messages(
    shared: Shared,
    mut sender: wire::Sender,
    mut messages: mpsc::Receiver<Outgoing>,
) {
    while let Some(outgoing) = messages.recv().await {
        sleep_until(outgoing.due).await;
        let Ok(size) = sender.send(&outgoing.message).await else {
            return;
        };
        if let Some(kind) = &outgoing.message.kind {
            let region = outgoing.region.as_ref();
            let counters = &shared.counters;
            counters.add(kind_name(kind), Direction::Sent, region, size);
        }
    }
    // Fails when the peer has already closed the stream.
    let _ = sender.finish();
}
