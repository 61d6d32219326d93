use std::sync::Arc;

use tokio::sync::watch;

/// Limits the calls in flight at the caller port.
pub struct Limiter {
    limit: usize,
    in_flight: watch::Sender<usize>,
}

/// Permit of one call, released when dropped.
pub struct Permit(Arc<Limiter>);

impl Limiter {
    /// Creates a limiter for `limit` concurrent calls.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            in_flight: watch::Sender::default(),
        }
    }

    /// Acquires a permit; `None` when the limit is reached.
    #[must_use]
    pub fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let acquired = self.in_flight.send_if_modified(|in_flight| {
            let free = *in_flight < self.limit;
            *in_flight += usize::from(free);
            free
        });
        acquired.then(|| Permit(Arc::clone(self)))
    }

    /// Number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Waits until no call is in flight.
    pub async fn wait_idle(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let mut in_flight = self.in_flight.subscribe();
        let _ = in_flight.wait_for(|in_flight| *in_flight == 0).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|in_flight| *in_flight -= 1);
    }
}
