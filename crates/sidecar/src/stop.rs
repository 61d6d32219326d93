//! Graceful shutdown of a node.

use std::sync::Arc;
use std::time::Duration;

use front::Server;
use tokio::time::{Instant, sleep_until, timeout_at};
use types::Deadline;
use wire::Listener;

use crate::Node;

/// Time for which requests are still served after the node has reported that it is not ready.
/// Callers notice within two seconds, other nodes at their next poll of the node entries.
const CLOSE_DELAY: Duration = Duration::from_millis(2600);

/// Time for connections to send the last bytes of completed responses.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Part of the grace period that is reserved for the exit of the process, which may get little
/// processor time.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// Share of the grace period that the reserves take at most, so that a short one serves requests, too.
const MAX_RESERVE_RATIO: u32 = 8;

/// Deadlines of a graceful shutdown.
struct Schedule {
    /// Requests are refused from here on.
    close_at: Instant,
    /// Requests that are still running are answered as failed.
    cut_off_at: Deadline,
    /// The process ends.
    end: Deadline,
}

impl Schedule {
    fn new(start: Instant, grace: Duration) -> Self {
        let reserve = grace / MAX_RESERVE_RATIO;
        let end = start + grace.saturating_sub(EXIT_MARGIN.min(reserve));
        Self {
            close_at: start + CLOSE_DELAY.min(grace / 2),
            cut_off_at: Deadline::new(end - FLUSH_DELAY.min(reserve)),
            end: Deadline::new(end),
        }
    }
}

/// Shuts a node down within `grace`, the time until the process is killed.
///
/// Requests that arrive before the node is closed are served; later ones are refused. Those that run
/// until shortly before the end are answered as failed, since the end would leave them without any answer.
pub(crate) async fn shut_down(node: Arc<Node>, callers: &Server, peers: Listener, grace: Duration) {
    let start = Instant::now();
    let Schedule {
        close_at,
        cut_off_at,
        end,
    } = Schedule::new(start, grace);
    log::info!(exchanges = callers.exchanges(), grace:?; "stopping");
    node.begin_drain(cut_off_at);
    callers.drain();
    sleep_until(close_at).await;
    node.close();
    let drain_target = node.target.drain(end);
    let finish_exchanges = timeout_at(end.instant(), callers.wait_idle());
    let (running, finished) = tokio::join!(drain_target, finish_exchanges);
    let delivered = finished.is_ok();
    let flush_responses = sleep_until(end.instant().min(Instant::now() + FLUSH_DELAY));
    tokio::join!(flush_responses, peers.close(end));
    if running > 0 || !delivered {
        let exchanges = callers.exchanges();
        log::warn!(exchanges, target = running; "grace period ended with calls in flight");
    }
    node.directory.clone().close();
    log::info!(took:? = start.elapsed(); "stopped");
    log::logger().flush();
}
