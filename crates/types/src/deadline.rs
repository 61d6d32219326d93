use std::time::Duration;

use tokio::time::Instant;

/// Point in time at which something must be done or is given up.
///
/// It follows the runtime's clock, so tests that pause the clock control it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline at `instant`.
    #[must_use]
    pub const fn new(instant: Instant) -> Self {
        Self(instant)
    }

    /// Creates a deadline `duration` from now.
    #[must_use]
    pub fn after(duration: Duration) -> Self {
        Self(Instant::now() + duration)
    }

    /// Creates a deadline `ms` milliseconds from now.
    #[must_use]
    pub fn after_ms(ms: u64) -> Self {
        Self::after(Duration::from_millis(ms))
    }

    /// The point in time.
    #[must_use]
    pub const fn instant(self) -> Instant {
        self.0
    }

    /// Time left at `now`; zero when the deadline has passed.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Whether the deadline has passed at `now`.
    #[must_use]
    pub fn has_passed(self, now: Instant) -> bool {
        now >= self.0
    }
}
