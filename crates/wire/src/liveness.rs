use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// Time between pings while a stream is open.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time between pings on a connection without streams. It ends connections whose peer is gone, which
/// would otherwise stay open for good.
const IDLE_INTERVAL: Duration = Duration::from_mins(1);

/// Longest time without an answer to a ping. With [`PING_INTERVAL`], a path that lost its state is
/// noticed within 2 seconds.
pub const PING_LIMIT: Duration = Duration::from_secs(1);

/// What the streams of a connection and the task that pings the peer tell each other.
pub(crate) struct Liveness {
    /// Streams that are open.
    streams: watch::Sender<usize>,
    /// When the peer was last known to answer.
    answered: watch::Sender<Instant>,
    /// Asks for a ping now.
    wake: Notify,
}

impl Liveness {
    pub(crate) fn new() -> Self {
        Self {
            streams: watch::Sender::new(0),
            answered: watch::Sender::new(Instant::now()),
            wake: Notify::new(),
        }
    }

    pub(crate) fn opened(&self) {
        self.streams.send_modify(|streams| *streams += 1);
    }

    pub(crate) fn ended(&self) {
        self.streams.send_modify(|streams| *streams -= 1);
    }

    /// Whether the peer is being pinged, or answered within [`PING_INTERVAL`].
    pub(crate) fn is_fresh(&self) -> bool {
        *self.streams.borrow() > 0 || self.answered.borrow().elapsed() < PING_INTERVAL
    }

    /// Waits for the answer to a ping that is sent now.
    pub(crate) async fn wait_answer(&self) {
        let mut answered = self.answered.subscribe();
        self.wake.notify_one();
        // The sender lives in `self`, so this cannot fail.
        let _ = answered.changed().await;
    }

    /// Pings the peer until it fails to answer in time.
    pub(crate) async fn watch(&self, pings: Option<PingPong>) {
        let Some(mut pings) = pings else {
            return std::future::pending().await;
        };
        loop {
            self.wait_use().await;
            match timeout(PING_LIMIT, pings.ping(Ping::opaque())).await {
                Ok(Ok(_)) => self.answered.send_replace(Instant::now()),
                Ok(Err(_)) | Err(_) => return,
            };
            tokio::select! {
                () = sleep(PING_INTERVAL) => {}
                () = self.wake.notified() => self.wake.notify_one(),
            }
        }
    }

    /// Waits until a stream is open, a ping is asked for or the connection has been idle for long.
    async fn wait_use(&self) {
        let mut streams = self.streams.subscribe();
        tokio::select! {
            // The sender lives in `self`, so this cannot fail.
            _ = streams.wait_for(|streams| *streams > 0) => {}
            () = self.wake.notified() => {}
            () = sleep(IDLE_INTERVAL) => {}
        }
    }
}
