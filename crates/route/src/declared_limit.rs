use tokio::time::Instant;
use types::rate::PerSecond;

/// Rate limit that an upstream declares in its answers, as long as it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeclaredLimit {
    limit: Option<PerSecond>,
    /// Answers to requests that were sent before this time say nothing about the end of the limit;
    /// `None` before the first answer.
    declared_at: Option<Instant>,
}

impl DeclaredLimit {
    /// Records the limit in the answer to a request that was sent at `sent_at`; `None` if the answer
    /// has none. Returns whether the limit has changed.
    pub fn record(&mut self, limit: Option<PerSecond>, sent_at: Instant, now: Instant) -> bool {
        if limit.is_none() && self.declared_at.is_some_and(|at| sent_at < at) {
            return false;
        }
        self.declared_at = Some(if limit.is_some() { now } else { sent_at });
        let is_changed = self.limit != limit;
        self.limit = limit;
        is_changed
    }

    /// Adopts the limit that another node knows, unless an answer has been recorded already. Returns
    /// whether the limit has changed.
    pub fn adopt(&mut self, limit: PerSecond) -> bool {
        let is_changed = self.declared_at.is_none() && self.limit != Some(limit);
        if is_changed {
            self.limit = Some(limit);
        }
        is_changed
    }

    /// The limit in force; `None` without one.
    #[must_use]
    pub const fn get(&self) -> Option<PerSecond> {
        self.limit
    }
}
