use std::sync::LazyLock;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Point in time on a clock that also counts the time for which the machine was suspended.
///
/// The runtime's clock stands still meanwhile, so an age that it measures may be too short. Tests that
/// pause the runtime's clock control this one, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

/// Start of the runtime's clock, and how long the machine had been suspended then.
static ORIGIN: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), suspended()));

impl BootTime {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        let (start, suspended_before) = *ORIGIN;
        let suspended = suspended().saturating_sub(suspended_before);
        Self(start.elapsed() + suspended)
    }

    /// The time `age` before this one.
    #[must_use]
    pub const fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }

    /// Time since this one at `now`.
    #[must_use]
    pub const fn age(self, now: Self) -> Duration {
        now.0.saturating_sub(self.0)
    }
}

/// Time for which the machine has been suspended since its boot.
fn suspended() -> Duration {
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let running = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(running)
}
