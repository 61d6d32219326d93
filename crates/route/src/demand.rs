use tokio::time::Instant;
use types::Deadline;

/// What a call asks of a target's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// When the call is given up.
    pub deadline: Deadline,
    /// By when its answer is of full use; `None` without an objective.
    pub objective: Option<Deadline>,
    /// Rank; 0 goes first.
    pub priority: u32,
}

impl Demand {
    /// Creates the demand of a call of the highest rank without an objective.
    #[must_use]
    pub const fn new(deadline: Deadline) -> Self {
        Self {
            deadline,
            objective: None,
            priority: 0,
        }
    }

    /// Order in the queue: by rank, then by the objective or else by the arrival at `now`.
    pub(crate) fn rank(&self, now: Instant) -> (u32, Instant) {
        let time = self.objective.map_or(now, Deadline::instant);
        (self.priority, time)
    }
}
