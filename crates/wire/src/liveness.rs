use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// Delay between the answer to a ping and the next ping while a stream is open.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Additional delay before a ping while no stream is open.
///
/// Without these pings, an idle connection whose peer is gone would stay open forever.
const IDLE_PING_INTERVAL: Duration = Duration::from_mins(1);

/// Maximum time after a ping without an answer and without any other bytes from the peer.
///
/// Together with [`PING_INTERVAL`] and `READ_GRACE` it bounds the detection of a network path
/// that lost its connection state to 2 seconds.
pub const PING_TIMEOUT: Duration = Duration::from_millis(950);

/// Extra time to read bytes that have already arrived, for a process that was not scheduled for
/// longer than [`PING_TIMEOUT`].
const READ_GRACE: Duration = Duration::from_millis(50);

/// State that the streams of a connection share with the task that pings the peer.
pub(crate) struct Liveness {
    /// Number of open streams.
    streams: watch::Sender<usize>,
    /// Time of the last answer to a ping, or `None` before the first. An operating system accepts
    /// connections for a process that is paused or gone, so the handshake does not count.
    last_answer: watch::Sender<Option<Instant>>,
    /// Requests an immediate ping.
    ping_request: Notify,
    /// Number of reads that returned bytes from the peer.
    reads: AtomicU64,
}

impl Liveness {
    pub(crate) fn new() -> Self {
        Self {
            streams: watch::Sender::new(0),
            last_answer: watch::Sender::new(None),
            ping_request: Notify::new(),
            reads: AtomicU64::new(0),
        }
    }

    pub(crate) fn add_stream(&self) {
        self.streams.send_modify(|streams| *streams += 1);
    }

    pub(crate) fn remove_stream(&self) {
        self.streams.send_modify(|streams| *streams -= 1);
    }

    /// Records that bytes have arrived from the peer.
    pub(crate) fn record_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the peer has answered and is pinged now for an open stream, or answered within
    /// [`PING_INTERVAL`].
    pub(crate) fn answered_recently(&self) -> bool {
        let last_answer = *self.last_answer.borrow();
        last_answer.is_some_and(|at| *self.streams.borrow() > 0 || at.elapsed() < PING_INTERVAL)
    }

    pub(crate) fn has_answered(&self) -> bool {
        self.last_answer.borrow().is_some()
    }

    /// Requests an immediate ping and waits for the next answer.
    pub(crate) async fn request_ping(&self) {
        let mut answered = self.last_answer.subscribe();
        self.ping_request.notify_one();
        // `self` owns the sender, so this cannot fail.
        let _ = answered.changed().await;
    }

    /// Pings the peer and returns when nothing arrives from it in time.
    pub(crate) async fn run_pings(&self, pings: Option<PingPong>) {
        let Some(mut pings) = pings else {
            return std::future::pending().await;
        };
        loop {
            self.wait_ping_due().await;
            if !self.ping(&mut pings).await {
                return;
            }
            self.last_answer.send_replace(Some(Instant::now()));
            tokio::select! {
                () = sleep(PING_INTERVAL) => {}
                () = self.ping_request.notified() => self.ping_request.notify_one(),
            }
        }
    }

    /// Pings the peer. Returns `false` when nothing arrives from it in time.
    ///
    /// Other bytes than the answer count as well, since the data of large bodies can delay it.
    async fn ping(&self, pings: &mut PingPong) -> bool {
        let mut answer = pin!(pings.ping(Ping::opaque()));
        loop {
            let reads_before = self.reads.load(Ordering::Relaxed);
            if let Ok(result) = timeout(PING_TIMEOUT, &mut answer).await {
                return result.is_ok();
            }
            if self.reads.load(Ordering::Relaxed) == reads_before {
                sleep(READ_GRACE).await;
            }
            if self.reads.load(Ordering::Relaxed) == reads_before {
                return false;
            }
        }
    }

    /// Waits until a stream is open, a ping is requested or [`IDLE_PING_INTERVAL`] has passed.
    async fn wait_ping_due(&self) {
        let mut streams = self.streams.subscribe();
        tokio::select! {
            // `self` owns the sender, so this cannot fail.
            _ = streams.wait_for(|streams| *streams > 0) => {}
            () = self.ping_request.notified() => {}
            () = sleep(IDLE_PING_INTERVAL) => {}
        }
    }
}
