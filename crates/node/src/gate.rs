use std::sync::Arc;

use tokio::sync::watch;

/// Calls in flight at the caller port, up to a limit.
pub struct Gate {
    limit: usize,
    count: watch::Sender<usize>,
}

/// Place of one call, free again when dropped.
pub struct Pass(Arc<Gate>);

impl Gate {
    /// Creates a gate for `limit` calls at the same time.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            count: watch::Sender::default(),
        }
    }

    /// Takes a place; `None` when all are taken.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<Pass> {
        let entered = self.count.send_if_modified(|count| {
            let free = *count < self.limit;
            *count += usize::from(free);
            free
        });
        entered.then(|| Pass(Arc::clone(self)))
    }

    /// Calls in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no call is in flight.
    pub async fn wait_idle(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.count.send_modify(|count| *count -= 1);
    }
}
