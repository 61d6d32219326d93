use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;
use types::id;
use types::rate::{Percent, Share};

/// Quantile of a route's recent times after which a call counts as slow.
const QUANTILE: f64 = 0.95;

/// Length of the periods over which times are collected. The quantile is that of the last complete one and
/// the present one.
const PERIOD: Duration = Duration::from_secs(5);

/// Times from which the quantile is known well enough.
const MIN_SAMPLES: u64 = 40;

/// Longest time that is told apart from longer ones, in milliseconds.
const MAX_MS: u64 = 60_000;

/// Significant digits of a recorded time.
const DIGITS: u8 = 2;

/// Shortest delay. A second attempt sooner would often be sent for calls that are about to be answered.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Hedges that a node may save up for a service. The nodes of a large fleet together still stay within the
/// slack of the retry budget when all their calls are slow at once.
const CAPACITY: f64 = 1.0;

/// Part of a service's retry budget that hedges may use; the rest is left for retries.
const MAX_BUDGET_RATIO: f64 = 0.5;

/// Load of the second target, in calls per slot, from which no call is hedged. From here on, the copies of
/// calls delay other calls by more than they gain.
const MAX_LOAD: f64 = 0.6;

/// Maximum number of routes and of services with a state.
const MAX_ENTRIES: usize = 1024;

/// Properties of a call that could be hedged, and of the second attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Whether the call may run more than once.
    pub is_repeatable: bool,
    /// Whether the request or its answer is large.
    pub is_large: bool,
    /// Attempts that the call may still make, the running one not included.
    pub attempts_left: u32,
    /// Whether targets of the service refused calls lately.
    pub is_shedding: bool,
    /// Calls per slot at the second target, this one included.
    pub load: f64,
    /// Expected time of the second attempt.
    pub expected_time: Duration,
    /// Time that is left until the objective, or the deadline without one.
    pub remaining: Duration,
}

/// Reason why a slow call is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoHedge {
    /// The call may not run more than once.
    NotRepeatable,
    /// The request or its answer is large.
    Large,
    /// The call has no attempts left.
    Attempts,
    /// The targets are busy.
    Busy,
    /// A second attempt would be too late.
    TooLate,
    /// The operator's limit, or the part of the retry budget for hedges, is used up.
    Limit,
}

impl NoHedge {
    /// Text for log lines.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not repeatable",
            Self::Large => "large",
            Self::Attempts => "no attempts left",
            Self::Busy => "targets busy",
            Self::TooLate => "too late",
            Self::Limit => "limit reached",
        }
    }
}

/// Decides which calls of a node are sent to a second target while the first one is still at work.
#[derive(Debug)]
pub struct Hedger {
    limit: Share,
    times: HashMap<id::Route, Times>,
    tokens: HashMap<id::Service, f64>,
}

/// Recent times of a route.
#[derive(Debug)]
struct Times {
    present: Histogram<u32>,
    last: Histogram<u32>,
    period_ends_at: Instant,
}

impl Hedger {
    /// Creates a hedger that hedges at most `limit` of the calls of each service; none with zero.
    #[must_use]
    pub fn new(limit: Share) -> Self {
        Self {
            limit,
            times: HashMap::new(),
            tokens: HashMap::new(),
        }
    }

    /// Whether any call may be hedged.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.limit > Share::NONE
    }

    /// Records a call, which adds to what its service may hedge. `retry_budget` is the part of the calls that
    /// may be repeated for whatever reason. Returns the part of it that hedges use.
    pub fn record_call(&mut self, service: &id::Service, retry_budget: Percent) -> Share {
        if !self.is_enabled() {
            return Share::NONE;
        }
        let part = self
            .limit
            .get()
            .min(retry_budget.fraction() * MAX_BUDGET_RATIO);
        if self.tokens.len() >= MAX_ENTRIES && !self.tokens.contains_key(service) {
            self.tokens.clear();
        }
        let tokens = self.tokens.entry(service.clone()).or_default();
        *tokens = (*tokens + part).min(CAPACITY);
        Share::new(part)
    }

    /// Records the time until the answer to a first attempt arrived.
    pub fn record_time(&mut self, route: &id::Route, elapsed: Duration, now: Instant) {
        if !self.is_enabled() {
            return;
        }
        if self.times.len() >= MAX_ENTRIES && !self.times.contains_key(route) {
            self.times.clear();
        }
        if !self.times.contains_key(route) {
            // The bounds are constant and valid, so the histograms can be created.
            let Some(times) = Times::new(now) else { return };
            self.times.insert(route.clone(), times);
        }
        if let Some(times) = self.times.get_mut(route) {
            times.record(elapsed, now);
        }
    }

    /// Time after which a call of a route counts as slow; `None` while it is not known or no call may be
    /// hedged.
    #[must_use]
    pub fn delay(&self, route: &id::Route, now: Instant) -> Option<Duration> {
        let delay = self.times.get(route)?.quantile(now)?;
        Some(delay.max(MIN_DELAY))
    }

    /// Decides whether a slow call is sent to a second target, and counts it if so.
    ///
    /// # Errors
    ///
    /// Returns the reason when it is not.
    pub fn try_hedge(&mut self, hedge: &Hedge, service: &id::Service) -> Result<(), NoHedge> {
        check(hedge)?;
        let tokens = self.tokens.get_mut(service).ok_or(NoHedge::Limit)?;
        if *tokens < 1.0 {
            return Err(NoHedge::Limit);
        }
        *tokens -= 1.0;
        Ok(())
    }
}

fn check(hedge: &Hedge) -> Result<(), NoHedge> {
    if !hedge.is_repeatable {
        return Err(NoHedge::NotRepeatable);
    }
    if hedge.is_large {
        return Err(NoHedge::Large);
    }
    if hedge.attempts_left == 0 {
        return Err(NoHedge::Attempts);
    }
    if hedge.is_shedding || hedge.load >= MAX_LOAD {
        return Err(NoHedge::Busy);
    }
    if hedge.expected_time > hedge.remaining {
        return Err(NoHedge::TooLate);
    }
    Ok(())
}

impl Times {
    fn new(now: Instant) -> Option<Self> {
        let create = || Histogram::new_with_bounds(1, MAX_MS, DIGITS).ok();
        Some(Self {
            present: create()?,
            last: create()?,
            period_ends_at: now + PERIOD,
        })
    }

    fn record(&mut self, elapsed: Duration, now: Instant) {
        if now >= self.period_ends_at {
            std::mem::swap(&mut self.present, &mut self.last);
            self.present.reset();
            if now >= self.period_ends_at + PERIOD {
                self.last.reset();
            }
            self.period_ends_at = now + PERIOD;
        }
        let time = u64::try_from(elapsed.as_millis()).unwrap_or(MAX_MS);
        self.present.saturating_record(time.clamp(1, MAX_MS));
    }

    fn quantile(&self, now: Instant) -> Option<Duration> {
        if now >= self.period_ends_at + PERIOD {
            return None;
        }
        // The larger of the two periods decides; both are recent.
        let times = if self.present.len() >= self.last.len() {
            &self.present
        } else {
            &self.last
        };
        let quantile = times.value_at_quantile(QUANTILE);
        (times.len() >= MIN_SAMPLES).then(|| Duration::from_millis(quantile))
    }
}
