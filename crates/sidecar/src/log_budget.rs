use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Length of the period that the budget applies to.
const PERIOD: Duration = Duration::from_secs(1);

/// Limits how often an event is logged.
#[derive(Debug)]
pub(crate) struct LogBudget {
    lines: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    period_ends_at: Instant,
    left: u32,
    skipped: u64,
}

impl LogBudget {
    /// Creates a budget of `lines` in each [`PERIOD`].
    pub(crate) fn new(lines: u32, now: Instant) -> Self {
        Self {
            lines,
            state: Mutex::new(State {
                period_ends_at: now,
                left: 0,
                skipped: 0,
            }),
        }
    }

    /// Returns the number of events that were skipped since the last line if a line may be written.
    pub(crate) fn next(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= state.period_ends_at {
            state.period_ends_at = now + PERIOD;
            state.left = self.lines;
        }
        if state.left == 0 {
            state.skipped += 1;
            return None;
        }
        state.left -= 1;
        Some(std::mem::take(&mut state.skipped))
    }
}
