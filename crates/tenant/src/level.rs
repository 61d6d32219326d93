use tokio::time::Instant;
use types::rate::PerSecond;

/// Level of a token bucket. It falls below zero when more is used than was there, and rises to at most the
/// capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    tokens: f64,
    refilled_at: Instant,
}

impl Level {
    /// Creates the level of a bucket with `tokens`.
    pub(crate) const fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Adds what has come in since the last call, and limits the level to the capacity.
    pub(crate) fn refill(&mut self, rate: PerSecond, capacity: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + rate.get() * elapsed.as_secs_f64()).min(capacity);
        self.refilled_at = now;
    }

    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    pub(crate) const fn tokens(self) -> f64 {
        self.tokens
    }
}
