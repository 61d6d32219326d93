/// Share of the mesh-wide retry slack that the known nodes divide among themselves. The rest is
/// left for nodes that do not know of each other yet.
const DIVIDED_RATIO: f64 = 0.7;

/// Divides the mesh-wide retry slack, in retries, by the live nodes. `nodes` is `None` while their number is
/// not known; the node gets none of the slack then, since each of many nodes might know only itself.
#[must_use]
#[allow(clippy::cast_precision_loss, reason = "the number of nodes is small")]
pub fn divide_retry_slack(slack: f64, nodes: Option<usize>) -> f64 {
    nodes.map_or(0.0, |nodes| DIVIDED_RATIO * slack / nodes.max(1) as f64)
}
