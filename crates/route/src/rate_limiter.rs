use tokio::time::Instant;
use types::rate::PerSecond;

/// Rate limit that an upstream declares in its answers.
#[derive(Debug)]
pub struct RateLimiter {
    limit: Option<PerSecond>,
    /// When the last answer with a limit arrived.
    declared_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter without a limit.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            limit: None,
            declared_at: now,
        }
    }

    /// Records the limit in the answer to a request that was sent at `sent_at`; `None` if the answer
    /// has none. Returns whether the limit has changed.
    ///
    /// Answers to requests that were sent before the limit was declared say nothing about its end.
    pub fn record(&mut self, limit: Option<PerSecond>, sent_at: Instant, now: Instant) -> bool {
        if limit.is_none() && sent_at < self.declared_at {
            return false;
        }
        if limit.is_some() {
            self.declared_at = now;
        }
        let is_changed = self.limit != limit;
        self.limit = limit;
        is_changed
    }

    /// The limit in force.
    #[must_use]
    pub const fn limit(&self) -> Option<PerSecond> {
        self.limit
    }
}
