use std::time::Duration;

use tokio::time::Instant;
use types::size::Slots;

/// Time after becoming ready during which an upstream is cold.
const WARM_UP: Duration = Duration::from_secs(5);

/// Ratio of the slots that a cold upstream starts with. The nodes of callers already send less to a
/// new target; a lower ratio would leave a service without capacity when all of it restarts at
/// once.
const INITIAL_SLOT_RATIO: f64 = 0.5;

/// Minimum time between two reductions. Refusals of concurrent calls are one sign of overload, not
/// several.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_millis(200);

/// Number of calls that one target may run concurrently: the declared slots, fewer while the
/// upstream is cold, sheds load or is doubted.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: Slots,
    ready_since: Instant,
    /// Limit after the last reduction, and its time. The limit recovers by one slot per second.
    last_reduction: Option<(f64, Instant)>,
    doubted: bool,
    /// Until when the upstream declares itself cold; replaces the warm-up.
    cold_until: Option<Instant>,
}

impl ConcurrencyLimit {
    pub(crate) const fn new(slots: Slots, now: Instant) -> Self {
        Self {
            slots,
            ready_since: now,
            last_reduction: None,
            doubted: false,
            cold_until: None,
        }
    }

    pub(crate) const fn resize(&mut self, slots: Slots) {
        self.slots = slots;
    }

    pub(crate) const fn restart_warm_up(&mut self, now: Instant) {
        self.ready_since = now;
        self.last_reduction = None;
    }

    pub(crate) const fn set_doubted(&mut self, doubted: bool) {
        self.doubted = doubted;
    }

    pub(crate) const fn set_cold_until(&mut self, until: Instant) {
        self.cold_until = Some(until);
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        if let Some(until) = self.cold_until {
            return now < until;
        }
        now.saturating_duration_since(self.ready_since) < WARM_UP
    }

    /// Halves the limit, at most once per [`MIN_REDUCTION_INTERVAL`].
    pub(crate) fn reduce(&mut self, now: Instant) {
        let recent = self
            .last_reduction
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < MIN_REDUCTION_INTERVAL);
        if !recent {
            self.last_reduction = Some((self.effective_slots(now) / 2.0, now));
        }
    }

    /// Number of calls that may run at `now`; at least one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn slots(&self, now: Instant) -> u32 {
        if self.doubted {
            1
        } else {
            (self.effective_slots(now) as u32).max(1)
        }
    }

    fn effective_slots(&self, now: Instant) -> f64 {
        let slots = f64::from(self.slots.get());
        let age = now.saturating_duration_since(self.ready_since);
        let warm_up_ratio = match self.cold_until {
            Some(_) => 1.0,
            None => (age.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0),
        };
        let warm = slots * (INITIAL_SLOT_RATIO + (1.0 - INITIAL_SLOT_RATIO) * warm_up_ratio);
        let recovered = self.last_reduction.map_or(slots, |(value, at)| {
            value + now.saturating_duration_since(at).as_secs_f64()
        });
        warm.min(recovered).max(1.0)
    }
}
