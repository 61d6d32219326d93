use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use types::Deadline;

/// Use of one connection.
#[derive(Clone)]
pub(crate) struct Activity(Arc<Mutex<State>>);

struct State {
    exchanges: usize,
    since: Instant,
}

/// One exchange; dropping it ends the use.
pub(crate) struct Exchange(Activity);

impl Activity {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            exchanges: 0,
            since: Instant::now(),
        })))
    }

    /// Counts an exchange until the result is dropped.
    pub(crate) fn start(&self) -> Exchange {
        self.update(1);
        Exchange(self.clone())
    }

    /// When the connection has been idle for `idle`, or has carried one exchange for `busy`.
    pub(crate) fn deadline(&self, idle: Duration, busy: Duration) -> Deadline {
        let state = self.lock();
        let limit = if state.exchanges == 0 { idle } else { busy };
        Deadline::new(state.since + limit)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lock().exchanges == 0
    }

    fn update(&self, change: isize) {
        let mut state = self.lock();
        state.exchanges = state.exchanges.saturating_add_signed(change);
        state.since = Instant::now();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.update(-1);
    }
}
