use std::time::Duration;

use tokio::time::Instant;
use types::Timestamp;

use crate::{Candidate, DeclaredLimit, Load};

/// Age from which a load report is ignored.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// Weight of a target when it is first seen.
const INITIAL_WEIGHT: f64 = 0.1;

/// Time constant with which the measured slowness of a target decays, so that a target that gets no
/// calls because it was slow is tried again.
const SLOWNESS_DECAY: Duration = Duration::from_secs(3);

/// Time over which the weight of a new target rises from [`INITIAL_WEIGHT`] to 1.
pub(crate) const WARM_UP: Duration = Duration::from_secs(5);

/// Weight of a new sample in the moving averages of service times.
pub(crate) const SMOOTHING_FACTOR: f64 = 0.15;

/// What one node knows of a target that it sends calls to.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) first_seen: Instant,
    pub(crate) last_used: Instant,
    pub(crate) in_flight: u32,
    pub(crate) report: Option<(Load, Instant)>,
    /// Rate limit in its answers. It is kept for longer than load reports, since it holds until an
    /// answer shows its end.
    pub(crate) rate_limit: DeclaredLimit,
    /// Start of the target's process that is about to leave.
    pub(crate) leaving: Option<Timestamp>,
    pub(crate) failures: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// Service time relative to the average of all targets, and when it was last measured.
    slowness: Option<(f64, Instant)>,
}

impl TargetState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            first_seen: now,
            last_used: now,
            in_flight: 0,
            report: None,
            rate_limit: DeclaredLimit::default(),
            leaving: None,
            failures: 0,
            ejected_until: None,
            slowness: None,
        }
    }

    /// Service time relative to the average of all targets; 1 if unknown.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slowness.map_or(1.0, |(slowness, measured)| {
            let age = now.saturating_duration_since(measured).as_secs_f64();
            1.0 + (slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
        })
    }

    pub(crate) fn record_slowness(&mut self, sample: f64, now: Instant) {
        let before = self.slowness(now);
        self.slowness = Some((before + SMOOTHING_FACTOR * (sample - before), now));
    }

    pub(crate) fn report(&self, now: Instant) -> Option<Load> {
        let (load, received) = self.report?;
        (now.saturating_duration_since(received) < LOAD_REPORT_TTL).then_some(load)
    }

    /// Remaining wait at a target with a rate limit, in seconds; zero without a limit.
    pub(crate) fn rate_limit_wait_seconds(&self, now: Instant) -> f64 {
        let (Some(_), Some((load, received))) = (self.rate_limit.get(), self.report) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(received);
        let wait = Duration::from_micros(load.wait_us).saturating_sub(age);
        wait.as_secs_f64()
    }

    /// Whether the process of the target is about to leave.
    pub(crate) fn is_leaving(&self, candidate: &Candidate) -> bool {
        self.leaving.is_some() && self.leaving == candidate.started
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Weight from [`INITIAL_WEIGHT`] to 1.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.first_seen);
        let share = (age.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * share
    }

    /// Calls per slot at the target, with `extra` calls added.
    pub(crate) fn load(&self, candidate: &Candidate, extra: u32, now: Instant) -> f64 {
        let report = self.report(now);
        let calls = report.map_or(0, |load| load.in_use.saturating_add(load.queued));
        let slots = report
            .map(|load| load.slots)
            .filter(|slots| *slots > 0)
            .unwrap_or(candidate.slots.get())
            .max(1);
        let calls = f64::from(calls) + f64::from(self.in_flight) + f64::from(extra);
        calls / f64::from(slots)
    }
}
