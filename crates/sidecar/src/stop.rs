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

/// Shuts a node down within `grace`, the time until the process is killed.
///
/// Requests that arrive before the node is closed are served; later ones are refused.
pub(crate) async fn shut_down(node: Arc<Node>, callers: &Server, peers: Listener, grace: Duration) {
    let start = Instant::now();
    let end = Deadline::new(start + grace.saturating_sub(EXIT_MARGIN));
    log::info!(exchanges = callers.exchanges(), grace:?; "stopping");
    node.begin_drain();
    callers.drain();
    sleep_until(start + CLOSE_DELAY.min(grace / 2)).await;
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
