//! Planned stop of a node.

use std::sync::Arc;
use std::time::Duration;

use front::Server;
use tokio::time::{Instant, sleep_until, timeout_at};
use types::Deadline;

use crate::Node;

/// Time for which callers may still send requests after the node has said that it is not ready. They
/// learn about it within two seconds.
const FAREWELL: Duration = Duration::from_millis(2600);

/// Part of the grace time that is left for the end of the process, which may have little processor time.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// Ends the work of a node within the time until the process is killed.
///
/// Requests that arrive while callers do not know yet are served; later ones are refused.
pub(crate) async fn stop(node: Arc<Node>, callers: &Server, grace: Duration) {
    let start = Instant::now();
    let end = Deadline::new(start + grace.saturating_sub(EXIT_MARGIN));
    log::info!(exchanges = callers.exchanges(), grace:?; "stopping");
    node.set_stopping();
    callers.drain();
    let draining = node.target.drain(end);
    let serving = async {
        sleep_until(start + FAREWELL.min(grace / 2)).await;
        node.close();
        timeout_at(end.instant(), callers.wait_idle()).await.is_ok()
    };
    let (running, delivered) = tokio::join!(draining, serving);
    if running > 0 || !delivered {
        let exchanges = callers.exchanges();
        log::warn!(exchanges, target = running; "grace time is over with calls in flight");
    }
    node.directory.clone().close();
    log::info!(took:? = start.elapsed(); "stopped");
    log::logger().flush();
}
