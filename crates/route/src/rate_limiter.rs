use std::time::Duration;

use tokio::time::Instant;
use types::rate::PerSecond;

use crate::DeclaredLimit;

/// Smallest rate at which calls are let through. Without calls there are no answers, which alone
/// show the end of a limit.
const MIN_RATE: f64 = 0.5;

/// Time for which an unused limit may be saved up.
const BURST_SECONDS: f64 = 0.5;

/// Paces the calls to an upstream that declares a rate limit in its answers.
///
/// The node beside an upstream hands over all of its calls, so its limiter holds for the calls of
/// all nodes together.
#[derive(Debug)]
pub struct RateLimiter {
    limit: DeclaredLimit,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter without a limit.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            limit: DeclaredLimit::default(),
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Records the limit in the answer to a request that was sent at `sent_at`; `None` if the answer
    /// has none. Returns whether the limit has changed.
    pub fn record(&mut self, limit: Option<PerSecond>, sent_at: Instant, now: Instant) -> bool {
        self.refill(now);
        let is_changed = self.limit.record(limit, sent_at, now);
        if is_changed {
            // What was saved up at another rate is void.
            self.tokens = self.tokens.min(1.0);
        }
        is_changed
    }

    /// Adopts the limit that a caller's node knows, unless the upstream has answered this node
    /// already.
    pub fn adopt(&mut self, limit: PerSecond, now: Instant) {
        self.refill(now);
        if self.limit.adopt(limit) {
            self.tokens = self.tokens.min(1.0);
        }
    }

    /// The limit in force; `None` without one.
    #[must_use]
    pub const fn limit(&self) -> Option<PerSecond> {
        self.limit.get()
    }

    /// Time until the limit allows the call that has `ahead` others before it.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(rate) = self.rate() else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let missing = f64::from(ahead) + 1.0 - self.tokens_at(now);
        Duration::try_from_secs_f64(missing.max(0.0) / rate).unwrap_or(Duration::MAX)
    }

    /// Counts a call that is handed over at `now`.
    pub fn take(&mut self, now: Instant) {
        self.refill(now);
        if self.limit().is_some() {
            self.tokens -= 1.0;
        }
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn rate(&self) -> Option<f64> {
        self.limit().map(|limit| limit.get().max(MIN_RATE))
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let Some(rate) = self.rate() else {
            return self.tokens.max(1.0);
        };
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let burst = (rate * BURST_SECONDS).max(1.0);
        (self.tokens + elapsed.as_secs_f64() * rate).min(burst)
    }
}
