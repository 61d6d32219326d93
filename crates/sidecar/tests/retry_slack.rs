//! Parts of the mesh-wide retry slack.

use sidecar::divide_retry_slack;

/// Guards against nodes that each take the slack of the whole mesh, since they do not know the others yet
/// after a start.
#[test]
fn nodes_that_do_not_know_each_other_do_not_exceed_the_slack() {
    for nodes in [1, 8, 85, 295] {
        for settled in 0..=nodes {
            // Each settled node knows at least the other settled ones.
            let parts = (0..nodes).map(|index| (index < settled).then_some(settled));
            let sum: f64 = parts.map(|known| divide_retry_slack(64.0, known)).sum();
            assert!(sum <= 64.0, "{settled} of {nodes} nodes are settled: {sum}");
        }
    }
}
