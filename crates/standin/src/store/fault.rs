use std::time::Duration;

use schema::standin::Faults;
use tokio::time::Instant;

use super::kind::Kind;

/// Length of the window of the rate limits when the faults name none.
const WINDOW_MS: u32 = 1000;

/// Calls counted in one window.
#[derive(Default)]
struct Window {
    start: Option<Instant>,
    calls: u32,
}

impl Window {
    fn admit(&mut self, limit: u32, length: Duration, now: Instant) -> bool {
        if self.start.is_none_or(|start| now >= start + length) {
            self.start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}

/// Faults in force, with what is left of those that happen a number of times.
#[derive(Default)]
pub(crate) struct State {
    faults: Faults,
    reads: Window,
    writes: Window,
}

impl State {
    /// Replaces the faults.
    pub(crate) fn set(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// The faults in force.
    pub(crate) const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Whether a call is within the rate limits.
    pub(crate) fn admit(&mut self, kind: Kind, now: Instant) -> bool {
        let length = match self.faults.limit_window_ms {
            0 => WINDOW_MS,
            length => length,
        };
        let length = Duration::from_millis(length.into());
        if kind.is_write() {
            self.writes.admit(self.faults.write_limit, length, now)
        } else {
            self.reads.admit(self.faults.read_limit, length, now)
        }
    }

    /// Whether the answer of this call is lost.
    pub(crate) fn take_loss(&mut self, kind: Kind) -> bool {
        let left = if kind.is_write() {
            &mut self.faults.lose_answers
        } else {
            &mut self.faults.break_reads
        };
        let lost = *left > 0;
        *left -= u32::from(lost);
        lost
    }

    /// Whether a watch sends its message again.
    pub(crate) fn take_repeat(&mut self) -> bool {
        let repeat = self.faults.repeat_messages > 0;
        self.faults.repeat_messages -= u32::from(repeat);
        repeat
    }

    /// Number of events that a watch leaves out of `count`.
    pub(crate) fn take_skips(&mut self, count: usize) -> usize {
        let skipped = self
            .faults
            .skip_events
            .min(u32::try_from(count).unwrap_or(u32::MAX));
        self.faults.skip_events -= skipped;
        skipped as usize
    }
}
