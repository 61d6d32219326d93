use tokio::time::Instant;
use types::rate::PerSecond;

/// Token bucket that is refilled over time.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that holds at most `burst` tokens.
    #[must_use]
    pub fn new(burst: u32, now: Instant) -> Self {
        Self {
            tokens: f64::from(burst),
            burst: f64::from(burst),
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` and takes one token; returns false if there is none.
    pub fn try_take(&mut self, rate: PerSecond, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate.get()).min(self.burst);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
