use std::collections::HashMap;
use std::time::Duration;

use types::id;

/// Maximum number of tracked routes. It bounds the memory use when the configuration changes often.
const MAX_ROUTES: usize = 4096;

/// Estimates the age of calls from the longest time to the deadline seen on each route.
///
/// A caller that retries after a refusal leaves less time than for its first attempt. The
/// difference is the time since that attempt, which counts towards the objective as well.
#[derive(Debug, Default)]
pub struct AgeEstimator {
    max_remaining: HashMap<id::Route, Duration>,
}

impl AgeEstimator {
    /// Estimates the time since the first attempt of a call that has `remaining` time left.
    pub fn estimate_age(&mut self, route: &id::Route, remaining: Duration) -> Duration {
        if let Some(max_remaining) = self.max_remaining.get_mut(route) {
            *max_remaining = remaining.max(*max_remaining);
            return max_remaining.saturating_sub(remaining);
        }
        if self.max_remaining.len() >= MAX_ROUTES {
            self.max_remaining.clear();
        }
        self.max_remaining.insert(route.clone(), remaining);
        Duration::ZERO
    }
}
