use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::{CreationError, Histogram};
use types::id;

/// Longest time that is told apart from longer ones, in milliseconds.
const MAX_MS: u64 = 60_000;

/// Significant digits of a recorded time.
const DIGITS: u8 = 1;

/// Maximum number of routes; answers on further ones are not counted.
const MAX_ROUTES: usize = 256;

/// One answer of a target, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time from sending the request to the target until the head of its answer.
    pub elapsed: Duration,
    /// Whether the target failed.
    pub is_failure: bool,
}

/// What targets of one build have answered on one route.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    /// Failed requests.
    pub failures: u64,
    /// Times of the others, in milliseconds.
    times: Histogram<u32>,
}

/// What targets of one build have answered, by route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    routes: BTreeMap<id::Route, Tally>,
}

impl Tally {
    fn new() -> Result<Self, CreationError> {
        Ok(Self {
            failures: 0,
            times: Histogram::new_with_bounds(1, MAX_MS, DIGITS)?,
        })
    }

    /// Number of answers, failed ones included.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.failures + self.times.len()
    }

    /// Median time of the answers that did not fail.
    #[must_use]
    pub fn median(&self) -> Duration {
        Duration::from_millis(self.times.value_at_quantile(0.5))
    }

    /// Number of answers that did not fail and took longer than a limit.
    #[must_use]
    pub fn slower_than(&self, limit: Duration) -> u64 {
        let limit = millis(limit);
        let recorded = self.times.iter_recorded();
        recorded
            .filter(|step| step.value_iterated_to() > limit)
            .map(|step| step.count_since_last_iteration())
            .sum()
    }

    /// Times in milliseconds with the number of answers that took them.
    pub fn times(&self) -> impl Iterator<Item = (u64, u64)> {
        let recorded = self.times.iter_recorded();
        recorded.map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
    }

    fn add(&mut self, time: u64, count: u64) {
        self.times.saturating_record_n(
            time.clamp(1, MAX_MS),
            u32::try_from(count).unwrap_or(u32::MAX),
        );
    }
}

impl Evidence {
    /// Adds one answer.
    pub fn record(&mut self, route: &id::Route, sample: Sample) {
        let Some(tally) = self.tally_mut(route) else {
            return;
        };
        if sample.is_failure {
            tally.failures += 1;
        } else {
            tally.add(millis(sample.elapsed), 1);
        }
    }

    /// Adds answers with their times in milliseconds, as [`Tally::times`] returns them.
    pub fn add<I>(&mut self, route: &id::Route, failures: u64, times: I)
    where
        I: IntoIterator<Item = (u64, u64)>,
    {
        if let Some(tally) = self.tally_mut(route) {
            tally.failures += failures;
            for (time, count) in times {
                tally.add(time, count);
            }
        }
    }

    /// Adds all answers of other targets.
    pub fn merge(&mut self, other: &Self) {
        for (route, tally) in &other.routes {
            self.add(route, tally.failures, tally.times());
        }
    }

    /// Answers on a route.
    #[must_use]
    pub fn tally(&self, route: &id::Route) -> Option<&Tally> {
        self.routes.get(route)
    }

    /// Routes with their answers.
    pub fn routes(&self) -> impl Iterator<Item = (&id::Route, &Tally)> {
        self.routes.iter()
    }

    /// Number of answers on all routes.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.routes.values().map(Tally::answers).sum()
    }

    fn tally_mut(&mut self, route: &id::Route) -> Option<&mut Tally> {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            // The bounds are constant and valid, so the histogram can be created.
            self.routes.insert(route.clone(), Tally::new().ok()?);
        }
        self.routes.get_mut(route)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
