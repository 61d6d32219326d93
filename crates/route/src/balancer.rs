use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::index;
use tokio::time::Instant;
use types::id;
use types::rate::PerSecond;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::target_state::{SMOOTHING_FACTOR, TargetState, WARM_UP};
use crate::{Candidate, Choice, Criteria, Load, Locality, Scope, Tier};

/// Load, in calls per slot, from which calls spill over to a farther tier.
const MAX_LOAD_RATIO: f64 = 0.8;

/// Ejection time after the first failure of a target. It doubles with each consecutive failure.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum number of doublings of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Time without calls after which the state of a target is dropped.
const IDLE_RETENTION: Duration = Duration::from_mins(1);

/// Cost of a call to another failure domain, in seconds: its latency plus the price of its traffic.
const CROSS_DOMAIN_COST_SECONDS: f64 = 0.005;

/// Cost of a call to another region, in seconds. The one-way latency is 30 ms.
const CROSS_REGION_COST_SECONDS: f64 = 0.07;

/// Cost of a call with a large answer to another failure domain, in seconds. The price of the
/// traffic is close to the value of the answer.
const BULK_CROSS_DOMAIN_COST_SECONDS: f64 = 0.3;

/// Wait for the link of a target, in seconds, from which calls with large answers spill over to a
/// farther tier.
const MAX_LINK_WAIT_SECONDS: f64 = 0.3;

/// Slowness, relative to the average service time of a route, from which calls spill over to a
/// farther tier.
const MAX_SLOWNESS_RATIO: f64 = 2.5;

/// Maximum number of routes with a known service time.
const MAX_ROUTES: usize = 4096;

/// Difference between expected times that is treated as equal, in seconds.
const TIME_TOLERANCE_SECONDS: f64 = 0.01;

/// Load balancer of one node: tracks the targets that it sends calls to and chooses among them.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: HashMap<id::Node, TargetState>,
    /// Average service time of each route, in seconds.
    route_service_seconds: HashMap<id::Route, f64>,
    last_sweep: Option<Instant>,
}

impl Balancer {
    /// Creates a balancer without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a target for a call.
    ///
    /// Uses the nearest tier within the region that has a target with capacity: below 80% of its
    /// slots, within its rate limit, not slow, and with a free link if answers are large. In that
    /// tier it picks the better of two random targets. Without such a tier, it uses the target with
    /// the shortest expected time of all tiers, including the network cost. Ejected targets are used
    /// only if no other is left, excluded and leaving ones never.
    pub fn choose<R>(
        &mut self,
        candidates: &[Candidate],
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng + ?Sized,
    {
        self.remove_idle_targets(now);
        let tiers = select_tier_subsets(candidates, criteria.scope, criteria.locality);
        for candidate in tiers.iter().flat_map(|(_, subset)| subset) {
            self.state_mut(&candidate.node, now).last_used = now;
        }
        let is_allowed = |candidate: &Candidate| {
            let state = self.state(candidate);
            !criteria.excluded.contains(&candidate.node)
                && !state.is_some_and(|state| state.is_leaving(candidate))
        };
        let is_healthy = |candidate: &Candidate| {
            let state = self.state(candidate);
            is_allowed(candidate) && !state.is_some_and(|state| state.is_ejected(now))
        };
        let has_capacity = |candidate: &Candidate| {
            self.load(candidate, now) < MAX_LOAD_RATIO
                && self.slowness(candidate, now) < MAX_SLOWNESS_RATIO
                && self.rate_limit_wait_seconds(candidate, now) <= 0.0
                && self.link_wait_seconds(candidate, criteria, now) < MAX_LINK_WAIT_SECONDS
        };
        let near = tiers.iter().filter(|(tier, _)| *tier <= Tier::Region);
        for (tier, subset) in near {
            let pool: Vec<_> = filter_candidates(subset, is_healthy).collect();
            if pool.iter().any(|candidate| has_capacity(candidate)) {
                return self.choose_of_two(
                    *tier,
                    &pool,
                    criteria,
                    "nearest tier with capacity",
                    now,
                    rng,
                );
            }
        }
        let all = tiers.iter().flat_map(|(tier, subset)| {
            filter_candidates(subset, is_healthy).map(|candidate| (*tier, candidate))
        });
        if let Some(choice) = self.choose_fastest(all, criteria, now, rng) {
            return Some(choice);
        }
        tiers.iter().find_map(|(tier, subset)| {
            let pool: Vec<_> = filter_candidates(subset, is_allowed).collect();
            self.choose_of_two(
                *tier,
                &pool,
                criteria,
                "all targets failed recently",
                now,
                rng,
            )
        })
    }

    /// Chooses a random target among those whose expected time is close to the shortest one.
    fn choose_fastest<'a, I, R>(
        &self,
        targets: I,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        I: Iterator<Item = (Tier, &'a Candidate)>,
        R: Rng + ?Sized,
    {
        let timed: Vec<_> = targets
            .map(|(tier, candidate)| {
                let time = network_cost_seconds(tier, criteria.scope.bulk)
                    + self.expected_seconds(candidate, criteria, now);
                (time, tier, candidate)
            })
            .collect();
        let shortest = timed
            .iter()
            .map(|(time, ..)| *time)
            .min_by(f64::total_cmp)?;
        let near: Vec<_> = timed
            .iter()
            .filter(|(time, ..)| *time <= shortest + TIME_TOLERANCE_SECONDS)
            .collect();
        let (time, tier, candidate) = near.get(rng.random_range(0..near.len()))?;
        Some(Choice {
            candidate: (*candidate).clone(),
            tier: *tier,
            reason: "all targets busy",
            expected_time: Duration::try_from_secs_f64(*time).unwrap_or(Duration::MAX),
        })
    }

    /// Average service time for calls of a route; zero if unknown.
    #[must_use]
    pub fn expected_service_time(&self, route: &id::Route) -> Duration {
        let seconds = self
            .route_service_seconds
            .get(route)
            .copied()
            .unwrap_or_default();
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Records how long a target took for a call of a route.
    pub fn record_service_time(
        &mut self,
        node: &id::Node,
        route: &id::Route,
        elapsed: Duration,
        now: Instant,
    ) {
        let sample = elapsed.as_secs_f64();
        if self.route_service_seconds.len() >= MAX_ROUTES
            && !self.route_service_seconds.contains_key(route)
        {
            self.route_service_seconds.clear();
        }
        let average = self
            .route_service_seconds
            .entry(route.clone())
            .or_insert(sample);
        let ratio = if *average > 0.0 {
            sample / *average
        } else {
            1.0
        };
        *average += SMOOTHING_FACTOR * (sample - *average);
        self.state_mut(node, now).record_slowness(ratio, now);
    }

    /// Records that a call was sent to `node`.
    pub fn record_start(&mut self, node: &id::Node, now: Instant) {
        let state = self.state_mut(node, now);
        state.in_flight += 1;
        state.last_used = now;
    }

    /// Records the end of a call that [`Balancer::record_start`] counted.
    pub fn record_end(&mut self, node: &id::Node, now: Instant) {
        let state = self.state_mut(node, now);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Stores a load report of `node`.
    pub fn record_load(&mut self, node: &id::Node, load: Load, now: Instant) {
        let state = self.state_mut(node, now);
        state.report = Some((load, now));
        if load.cold && now.saturating_duration_since(state.first_seen) >= WARM_UP {
            // Another target has replaced the earlier one behind the same node, so its weight
            // starts over.
            state.first_seen = now;
        }
    }

    /// Records a successful call to `node` and ends its ejection.
    pub fn record_success(&mut self, node: &id::Node, now: Instant) {
        let state = self.state_mut(node, now);
        state.failures = 0;
        state.ejected_until = None;
    }

    /// Records a failed call to `node` and ejects the node for a limited time.
    pub fn record_failure(&mut self, node: &id::Node, now: Instant) {
        let state = self.state_mut(node, now);
        let doublings = state.failures.min(MAX_EJECTION_DOUBLINGS);
        state.failures = state.failures.saturating_add(1);
        state.ejected_until = Some(now + BASE_EJECTION_TIME * 2_u32.pow(doublings));
    }

    /// Rate limit in the answers of a target; `None` without one.
    #[must_use]
    pub fn rate_limit(&self, node: &id::Node) -> Option<PerSecond> {
        self.targets.get(node)?.rate_limit.get()
    }

    /// Records that a target has told in an answer that it is about to leave. Its process is never
    /// chosen again, while the node beside it may restart and not know.
    pub fn record_leaving(&mut self, candidate: &Candidate, now: Instant) {
        self.state_mut(&candidate.node, now).leaving = candidate.started;
    }

    /// Records the rate limit in the answer of a target to a call that was sent at `sent_at`; `None` if
    /// the answer has none.
    pub fn record_rate_limit(
        &mut self,
        node: &id::Node,
        limit: Option<PerSecond>,
        sent_at: Instant,
        now: Instant,
    ) {
        let state = self.state_mut(node, now);
        state.rate_limit.record(limit, sent_at, now);
    }

    /// Calls per slot at a target, with one more call.
    #[must_use]
    pub fn load_with_call(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.state(candidate)
            .map_or(0.0, |state| state.load(candidate, 1, now))
    }

    /// Whether a target has reported within the last seconds that it refuses calls.
    #[must_use]
    pub fn is_shedding(&self, candidate: &Candidate, now: Instant) -> bool {
        let report = self.state(candidate).and_then(|state| state.report(now));
        report.is_some_and(|load| load.shed > 0)
    }

    /// Calls that this node has in flight at `node`.
    #[must_use]
    pub fn in_flight(&self, node: &id::Node) -> u32 {
        self.targets.get(node).map_or(0, |state| state.in_flight)
    }

    /// Picks two random targets and chooses the one with the lower score.
    fn choose_of_two<R>(
        &self,
        tier: Tier,
        pool: &[&Candidate],
        criteria: &Criteria<'_>,
        reason: &'static str,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng + ?Sized,
    {
        let score = |candidate: &Candidate| self.score(candidate, criteria, now);
        let candidate = index::sample(rng, pool.len(), pool.len().min(2))
            .iter()
            .map(|index| pool[index])
            .min_by(|a, b| score(a).total_cmp(&score(b)))?;
        let time = network_cost_seconds(tier, criteria.scope.bulk)
            + self.expected_seconds(candidate, criteria, now);
        Some(Choice {
            candidate: candidate.clone(),
            tier,
            reason,
            expected_time: Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX),
        })
    }

    fn state(&self, candidate: &Candidate) -> Option<&TargetState> {
        self.targets.get(&candidate.node)
    }

    fn slowness(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.state(candidate)
            .map_or(1.0, |state| state.slowness(now))
    }

    /// Load with one more call, raised for a target that is slow or new to this node; the lower one
    /// wins.
    ///
    /// The spill-over check doesn't use it: to a node that has just started all targets are new,
    /// and its calls must not spill over to other regions because of that.
    fn score(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> f64 {
        self.state(candidate).map_or(0.0, |state| {
            let load = state.load(candidate, 1, now) / state.weight(now);
            let time = self.expected_seconds(candidate, criteria, now);
            if time > 0.0 {
                time * (1.0 + load)
            } else {
                load
            }
        })
    }

    /// Expected time of a call at a target, in seconds: the service time, stretched by the load, or
    /// the wait for the link if that is longer.
    fn expected_seconds(
        &self,
        candidate: &Candidate,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> f64 {
        let slowness = self.slowness(candidate, now);
        let load = self
            .state(candidate)
            .map_or(0.0, |state| state.load(candidate, 1, now));
        let service = criteria.service_time.as_secs_f64() * slowness * load.max(1.0)
            + self.rate_limit_wait_seconds(candidate, now);
        service.max(self.link_wait_seconds(candidate, criteria, now))
    }

    fn rate_limit_wait_seconds(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.state(candidate)
            .map_or(0.0, |state| state.rate_limit_wait_seconds(now))
    }

    /// Time that a large answer waits for the link of the target's instance, in seconds; zero for
    /// other answers.
    fn link_wait_seconds(
        &self,
        candidate: &Candidate,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> f64 {
        let report = self.state(candidate).and_then(|state| state.report(now));
        report.filter(|_| criteria.scope.bulk).map_or(0.0, |load| {
            Duration::from_micros(load.link_us).as_secs_f64()
        })
    }

    fn load(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.state(candidate)
            .map_or(0.0, |state| state.load(candidate, 0, now))
    }

    fn state_mut(&mut self, node: &id::Node, now: Instant) -> &mut TargetState {
        self.targets
            .entry(node.clone())
            .or_insert_with(|| TargetState::new(now))
    }

    /// Drops the state of targets that are no longer used, at most once per [`IDLE_RETENTION`].
    fn remove_idle_targets(&mut self, now: Instant) {
        let last_sweep = *self.last_sweep.get_or_insert(now);
        if now.saturating_duration_since(last_sweep) < IDLE_RETENTION {
            return;
        }
        self.last_sweep = Some(now);
        self.targets.retain(|_, state| {
            state.in_flight > 0 || now.saturating_duration_since(state.last_used) < IDLE_RETENTION
        });
    }
}

/// Network cost of a call to a tier, in seconds.
const fn network_cost_seconds(tier: Tier, bulk: bool) -> f64 {
    match (tier, bulk) {
        (Tier::Domain, _) => 0.0,
        (Tier::Region, false) => CROSS_DOMAIN_COST_SECONDS,
        (Tier::Region, true) => BULK_CROSS_DOMAIN_COST_SECONDS,
        (Tier::Any, _) => CROSS_REGION_COST_SECONDS,
    }
}

fn filter_candidates<'a, F>(
    subset: &'a [&'a Candidate],
    allowed: F,
) -> impl Iterator<Item = &'a Candidate>
where
    F: Fn(&Candidate) -> bool,
{
    let members = subset.iter().copied();
    members.filter(move |candidate| allowed(candidate))
}

/// Returns the candidates of each tier within reach, reduced to the subset that this node uses.
///
/// The subset is chosen by rendezvous hashing, so it changes little when targets come and go.
fn select_tier_subsets<'a>(
    candidates: &'a [Candidate],
    scope: Scope,
    locality: &Locality,
) -> Vec<(Tier, Vec<&'a Candidate>)> {
    let seed = xxh3_64_with_seed(locality.node.as_str().as_bytes(), 0);
    let hash = |candidate: &&Candidate| xxh3_64_with_seed(candidate.node.as_str().as_bytes(), seed);
    let is_near = |candidate: &Candidate| Tier::of(candidate, locality) <= Tier::Region;
    let reach = if scope.bulk && candidates.iter().any(is_near) {
        scope.reach.min(Tier::Region)
    } else {
        scope.reach
    };
    let within = Tier::ALL.into_iter().filter(|tier| *tier <= reach);
    within
        .map(|tier| {
            let mut members: Vec<_> = candidates
                .iter()
                .filter(|candidate| Tier::of(candidate, locality) == tier)
                .collect();
            if members.len() > scope.subset {
                members.sort_by_cached_key(hash);
                members.truncate(scope.subset.max(1));
            }
            (tier, members)
        })
        .collect()
}
