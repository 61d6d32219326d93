use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use types::Deadline;

/// Tracks the exchanges on one connection, for its timeouts.
#[derive(Clone)]
pub(crate) struct Activity(Arc<Mutex<State>>);

struct State {
    exchanges: usize,
    changed_at: Instant,
}

/// Counts one exchange in progress until it is dropped.
pub(crate) struct ExchangeGuard(Activity);

impl Activity {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            exchanges: 0,
            changed_at: Instant::now(),
        })))
    }

    /// Begins an exchange, which ends when the guard is dropped.
    pub(crate) fn begin_exchange(&self) -> ExchangeGuard {
        self.update(1);
        ExchangeGuard(self.clone())
    }

    /// Time at which the connection has been idle for `idle_timeout`, or has had exchanges in
    /// progress for `exchange_timeout` since the latest began or ended.
    pub(crate) fn deadline(&self, idle_timeout: Duration, exchange_timeout: Duration) -> Deadline {
        let state = self.lock();
        let timeout = if state.exchanges == 0 {
            idle_timeout
        } else {
            exchange_timeout
        };
        Deadline::new(state.changed_at + timeout)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lock().exchanges == 0
    }

    fn update(&self, change: isize) {
        let mut state = self.lock();
        state.exchanges = state.exchanges.saturating_add_signed(change);
        state.changed_at = Instant::now();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.update(-1);
    }
}
