use std::time::Duration;

use tokio::time::Instant;
use types::Deadline;

/// Timing and priority requirements of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Time at which the call is abandoned.
    pub deadline: Deadline,
    /// Time until which the answer is fully useful; `None` without a latency objective.
    pub objective: Option<Deadline>,
    /// Priority in the queue; 0 is the highest.
    pub priority: u32,
}

impl Requirements {
    /// Creates the requirements of a call of the highest priority without an objective.
    #[must_use]
    pub const fn new(deadline: Deadline) -> Self {
        Self {
            deadline,
            objective: None,
            priority: 0,
        }
    }

    /// Returns the sort key for the queue of a target that takes `service_time` for a call: by
    /// priority, then calls that can still meet their objective, then by objective, or by arrival
    /// time without one.
    ///
    /// Without the second criterion, calls that are already late would go first under load and make
    /// all others late.
    pub(crate) fn queue_key(&self, service_time: Duration, now: Instant) -> QueueKey {
        QueueKey {
            priority: self.priority,
            misses_objective: self.misses_objective(service_time, now),
            time: self.objective.map_or(now, Deadline::instant),
        }
    }

    /// Whether a call that starts at `now` and takes `service_time` misses its objective.
    pub(crate) fn misses_objective(&self, service_time: Duration, now: Instant) -> bool {
        let objective = self.objective;
        objective.is_some_and(|objective| objective.remaining(now) < service_time)
    }
}

/// Sort key of a queued call; the lowest one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    priority: u32,
    pub(crate) misses_objective: bool,
    time: Instant,
}
