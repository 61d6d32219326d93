use types::rate::{Percent, Share};

/// Tokens of a new budget.
const INITIAL_TOKENS: f64 = 10.0;

/// Maximum number of tokens. It bounds the load that retries add when many targets fail at once.
const DEFAULT_CAPACITY: f64 = 20.0;

/// Retry budget of one service: a token bucket that calls refill and retries empty.
///
/// However many calls fail, the retries stay below the saved tokens plus the configured ratio of
/// calls.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Creates a budget with 10 tokens.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            capacity: DEFAULT_CAPACITY,
        }
    }

    /// Creates a full budget that holds at most `slack` tokens.
    #[must_use]
    pub const fn with_slack(slack: f64) -> Self {
        Self {
            tokens: slack,
            capacity: slack,
        }
    }

    /// Changes the maximum number of tokens.
    pub const fn resize(&mut self, slack: f64) {
        self.capacity = slack;
        self.tokens = self.tokens.min(slack);
    }

    /// Records a call, which adds `percent` of a token.
    pub fn record_call(&mut self, percent: Percent) {
        self.add(percent.fraction());
    }

    /// Records a call of whose `percent` of a token a part is used for hedges.
    pub fn record_hedged_call(&mut self, percent: Percent, hedges: Share) {
        self.add((percent.fraction() - hedges.get()).max(0.0));
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token for a retry; returns false if there is none or `percent` is zero.
    pub fn try_retry(&mut self, percent: Percent) -> bool {
        let allowed = percent.get() > 0 && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
