use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use route::Balancer;
use tokio::time::Instant;
use types::id;

/// Statistics of the targets that this node calls. Clones share their state.
#[derive(Clone, Default)]
pub(crate) struct TargetStats(Arc<Mutex<Balancer>>);

/// Guard that counts a call as in flight at a target.
pub(crate) struct InFlight {
    stats: TargetStats,
    node: id::Node,
}

impl TargetStats {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Balancer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call to `node` until the result is dropped.
    pub(crate) fn start(&self, node: &id::Node) -> InFlight {
        self.lock().record_start(node, Instant::now());
        InFlight {
            stats: self.clone(),
            node: node.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.lock().record_end(&self.node, Instant::now());
    }
}
