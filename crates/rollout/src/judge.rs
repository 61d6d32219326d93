use std::fmt::{self, Display, Formatter};

use types::id;

use crate::{Evidence, Tally};

/// Answers on a route from which a build is compared with the other one.
const MIN_ANSWERS: u64 = 12;

/// Answers on each frequent route from which nothing found means that there is nothing to find.
const SUFFICIENT_ANSWERS: u64 = 40;

/// Routes with at least this part of the requests of the busiest one are frequent. Others get hardly any at
/// the new targets.
const FREQUENT_RATIO: u64 = 10;

/// Difference between two rates that may have other reasons than the build, such as uneven servers.
const RATE_TOLERANCE: f64 = 0.08;

/// Times slower than the median of the other build from which an answer counts as slow.
const SLOW_RATIO: u32 = 3;

/// Standard deviations between a rate and its bounds. Each route is compared again with every report, so
/// that fewer would often find a difference between equal builds.
const CONFIDENCE: f64 = 4.0;

/// What is wrong with a build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More requests fail than at the other build.
    Failures(id::Route),
    /// More answers are several times slower than those of the other build.
    Slowness(id::Route),
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failures(route) => write!(f, "failures on route `{route}`"),
            Self::Slowness(route) => write!(f, "slow answers on route `{route}`"),
        }
    }
}

/// Result of a comparison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the build, but some routes have too few answers.
    Undecided,
    /// Nothing speaks against the build, from enough answers to find gross faults only.
    Plausible,
    /// Nothing speaks against the build on any route that the other build serves.
    Good,
    /// The build is worse than the other one.
    Bad(Fault),
}

/// Compares a new build with the old one on the same routes at the same time.
///
/// A failure that the old build has as well, such as that of a call further down, speaks against neither.
#[must_use]
pub fn judge(old: &Evidence, new: &Evidence) -> Verdict {
    let (mut is_complete, mut is_plausible) = (true, true);
    for (route, tally) in new.routes() {
        let Some(other) = old.tally(route) else {
            continue;
        };
        if tally.answers() < MIN_ANSWERS || other.answers() < MIN_ANSWERS {
            continue;
        }
        if let Some(fault) = find_fault(route, other, tally) {
            return Verdict::Bad(fault);
        }
    }
    let busiest = old.routes().map(|(_, tally)| tally.answers()).max();
    for (route, tally) in old.routes() {
        let is_frequent = tally.answers() * FREQUENT_RATIO >= busiest.unwrap_or_default();
        let answers = new.tally(route).map_or(0, Tally::answers);
        is_complete &= !is_frequent || answers >= SUFFICIENT_ANSWERS;
        is_plausible &= !is_frequent || answers >= 2 * MIN_ANSWERS;
    }
    match new.answers() {
        0 => Verdict::Undecided,
        _ if is_complete => Verdict::Good,
        _ if is_plausible => Verdict::Plausible,
        _ => Verdict::Undecided,
    }
}

fn find_fault(route: &id::Route, old: &Tally, new: &Tally) -> Option<Fault> {
    if is_higher(
        Rate::new(new.failures, new.answers()),
        Rate::new(old.failures, old.answers()),
    ) {
        return Some(Fault::Failures(route.clone()));
    }
    let limit = old.median() * SLOW_RATIO;
    let slow =
        |tally: &Tally| Rate::new(tally.slower_than(limit), tally.answers() - tally.failures);
    is_higher(slow(new), slow(old)).then(|| Fault::Slowness(route.clone()))
}

/// Whether a rate is higher than another one by more than [`RATE_TOLERANCE`] and by more than chance
/// explains.
fn is_higher(rate: Rate, other: Rate) -> bool {
    rate.lower_bound() > other.upper_bound() && rate.value() > other.value() + RATE_TOLERANCE
}

/// Share of events among trials.
#[derive(Clone, Copy)]
struct Rate {
    events: f64,
    trials: f64,
}

impl Rate {
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of one roll-out are far below 52 bits"
    )]
    const fn new(events: u64, trials: u64) -> Self {
        Self {
            events: events as f64,
            trials: trials as f64,
        }
    }

    fn value(self) -> f64 {
        if self.trials > 0.0 {
            self.events / self.trials
        } else {
            0.0
        }
    }

    fn lower_bound(self) -> f64 {
        let (center, width) = self.interval();
        center - width
    }

    fn upper_bound(self) -> f64 {
        let (center, width) = self.interval();
        center + width
    }

    /// Center and half width of the Wilson score interval.
    fn interval(self) -> (f64, f64) {
        if self.trials <= 0.0 {
            return (0.5, 0.5);
        }
        let squared = CONFIDENCE * CONFIDENCE;
        let denominator = 1.0 + squared / self.trials;
        let center = (self.value() + squared / (2.0 * self.trials)) / denominator;
        let variance = self.value() * (1.0 - self.value()) / self.trials;
        let spread = variance + squared / (4.0 * self.trials * self.trials);
        (center, CONFIDENCE * spread.sqrt() / denominator)
    }
}
