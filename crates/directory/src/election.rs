use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use types::{Deadline, id};

/// Time for which a node that did not answer is chosen after the others only.
pub const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Selects the node that coordinates among the live nodes with their ranks: the highest rank that is not
/// avoided. `avoided` holds the times until which nodes are chosen after the others only.
///
/// Nodes that know different fleets or failures may choose different coordinators, which must do no harm.
#[must_use]
#[allow(
    clippy::implicit_hasher,
    reason = "the map is internal state of the caller"
)]
pub fn choose_coordinator<I>(
    nodes: I,
    avoided: &HashMap<id::Node, Deadline>,
    now: Instant,
) -> Option<id::Node>
where
    I: IntoIterator<Item = (u64, id::Node)>,
{
    let is_avoided = |node: &id::Node| {
        let until = avoided.get(node);
        until.is_some_and(|until| !until.has_passed(now))
    };
    let nodes = nodes.into_iter();
    let best = nodes.max_by_key(|(rank, node)| (!is_avoided(node), *rank));
    best.map(|(_, node)| node)
}
