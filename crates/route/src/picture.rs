use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::index;
use tokio::time::Instant;
use types::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Candidate, Load, Place, Tier};

/// Time after which a load report no longer counts.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Time over which the weight of a new target rises from [`FIRST_WEIGHT`] to 1.
const WARM_UP: Duration = Duration::from_secs(5);

/// Weight of a target that has just been seen for the first time.
const FIRST_WEIGHT: f64 = 0.1;

/// Estimated load above which a target does not keep a call in its tier.
const SPILL: f64 = 0.8;

/// Time for which a target that failed once is avoided. It doubles with each further failure.
const AVOID: Duration = Duration::from_secs(1);

/// Most doublings of [`AVOID`].
const AVOID_DOUBLINGS: u32 = 3;

/// Time after which a target without calls is forgotten.
const FORGET: Duration = Duration::from_mins(1);

/// How far a call may go and how many targets it may choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Furthest tier that may be used.
    pub reach: Tier,
    /// Targets that one node uses in each tier.
    pub subset: usize,
}

/// Chosen target and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub candidate: Candidate,
    /// Its tier.
    pub tier: Tier,
    /// Why this target was taken.
    pub reason: &'static str,
}

/// What one node knows about the targets that it sends calls to.
#[derive(Debug, Default)]
pub struct Picture {
    entries: HashMap<id::Node, Entry>,
    swept: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    first_seen: Instant,
    last_used: Instant,
    in_flight: u32,
    report: Option<(Load, Instant)>,
    failures: u32,
    avoid_until: Option<Instant>,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            first_seen: now,
            last_used: now,
            in_flight: 0,
            report: None,
            failures: 0,
            avoid_until: None,
        }
    }

    fn report(&self, now: Instant) -> Option<Load> {
        let (load, received) = self.report?;
        (now.saturating_duration_since(received) < REPORT_LIFE).then_some(load)
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Weight from [`FIRST_WEIGHT`] to 1.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.first_seen);
        let share = (age.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * share
    }

    /// Calls at the target for each slot, with `extra` calls added.
    fn load(&self, candidate: &Candidate, extra: u32, now: Instant) -> f64 {
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

impl Picture {
    /// Creates a picture without any target.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a target for a call.
    ///
    /// The nearest tier with a target below 80% of its slots is used; inside it, two targets are
    /// drawn and the less loaded one is taken. Targets that failed lately are used only when no
    /// other is left, `excluded` ones never.
    pub fn choose<R>(
        &mut self,
        candidates: &[Candidate],
        scope: Scope,
        place: &Place,
        excluded: &[id::Node],
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng + ?Sized,
    {
        self.sweep(now);
        let tiers = subsets(candidates, scope, place);
        for candidate in tiers.iter().flat_map(|(_, subset)| subset) {
            self.entry(&candidate.node, now).last_used = now;
        }
        let usable = |candidate: &Candidate| !excluded.contains(&candidate.node);
        let trusted = |candidate: &Candidate| {
            usable(candidate)
                && !self
                    .get(candidate)
                    .is_some_and(|entry| entry.is_avoided(now))
        };
        let free = |candidate: &Candidate| self.load(candidate, now) < SPILL;
        for (tier, subset) in &tiers {
            if subset
                .iter()
                .any(|candidate| trusted(candidate) && free(candidate))
            {
                return self.draw(*tier, subset, trusted, "least loaded of two", now, rng);
            }
        }
        for (tier, subset) in &tiers {
            if subset.iter().any(|candidate| trusted(candidate)) {
                return self.draw(*tier, subset, trusted, "all targets busy", now, rng);
            }
        }
        tiers.iter().find_map(|(tier, subset)| {
            self.draw(*tier, subset, usable, "all targets failed lately", now, rng)
        })
    }

    /// Counts a call that was sent to `node`.
    pub fn started(&mut self, node: &id::Node, now: Instant) {
        let entry = self.entry(node, now);
        entry.in_flight += 1;
        entry.last_used = now;
    }

    /// Counts the end of a call that [`Picture::started`] counted.
    pub fn ended(&mut self, node: &id::Node, now: Instant) {
        let entry = self.entry(node, now);
        entry.in_flight = entry.in_flight.saturating_sub(1);
    }

    /// Stores a load report of `node`.
    pub fn report(&mut self, node: &id::Node, load: Load, now: Instant) {
        let entry = self.entry(node, now);
        entry.report = Some((load, now));
        if load.cold && now.saturating_duration_since(entry.first_seen) >= WARM_UP {
            // The target was replaced behind the same node, so its weight rises anew.
            entry.first_seen = now;
        }
    }

    /// Marks that a call to `node` went well.
    pub fn succeeded(&mut self, node: &id::Node, now: Instant) {
        let entry = self.entry(node, now);
        entry.failures = 0;
        entry.avoid_until = None;
    }

    /// Marks that a call to `node` failed, so that the node is avoided for a while.
    pub fn failed(&mut self, node: &id::Node, now: Instant) {
        let entry = self.entry(node, now);
        let doublings = entry.failures.min(AVOID_DOUBLINGS);
        entry.failures = entry.failures.saturating_add(1);
        entry.avoid_until = Some(now + AVOID * 2_u32.pow(doublings));
    }

    /// Own calls in flight at `node`.
    #[must_use]
    pub fn in_flight(&self, node: &id::Node) -> u32 {
        self.entries.get(node).map_or(0, |entry| entry.in_flight)
    }

    /// Draws two targets that pass `allowed` and returns the less loaded one.
    fn draw<R, F>(
        &self,
        tier: Tier,
        subset: &[&Candidate],
        allowed: F,
        reason: &'static str,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng + ?Sized,
        F: Fn(&Candidate) -> bool,
    {
        let pool: Vec<_> = subset
            .iter()
            .filter(|candidate| allowed(candidate))
            .collect();
        let candidate = index::sample(rng, pool.len(), pool.len().min(2))
            .iter()
            .map(|index| pool[index])
            .min_by(|a, b| self.score(a, now).total_cmp(&self.score(b, now)))?;
        Some(Choice {
            candidate: (*candidate).clone(),
            tier,
            reason,
        })
    }

    fn get(&self, candidate: &Candidate) -> Option<&Entry> {
        self.entries.get(&candidate.node)
    }

    /// Load that one more call would give, raised for a target that is new to this node. Only the draw
    /// uses it: a node that has just started knows no target for long, and its calls must not spill to
    /// other regions for that.
    fn score(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.get(candidate).map_or(0.0, |entry| {
            entry.load(candidate, 1, now) / entry.weight(now)
        })
    }

    fn load(&self, candidate: &Candidate, now: Instant) -> f64 {
        self.get(candidate)
            .map_or(0.0, |entry| entry.load(candidate, 0, now))
    }

    fn entry(&mut self, node: &id::Node, now: Instant) -> &mut Entry {
        self.entries
            .entry(node.clone())
            .or_insert_with(|| Entry::new(now))
    }

    /// Forgets targets that are no longer used, at most once in [`FORGET`].
    fn sweep(&mut self, now: Instant) {
        let swept = *self.swept.get_or_insert(now);
        if now.saturating_duration_since(swept) < FORGET {
            return;
        }
        self.swept = Some(now);
        self.entries.retain(|_, entry| {
            entry.in_flight > 0 || now.saturating_duration_since(entry.last_used) < FORGET
        });
    }
}

/// The candidates of each tier within reach, reduced to the subset that this node uses.
///
/// The subset is taken by rendezvous hash, so it changes little when targets come and go.
fn subsets<'a>(
    candidates: &'a [Candidate],
    scope: Scope,
    place: &Place,
) -> Vec<(Tier, Vec<&'a Candidate>)> {
    let seed = xxh3_64_with_seed(place.node.as_str().as_bytes(), 0);
    let hash = |candidate: &&Candidate| xxh3_64_with_seed(candidate.node.as_str().as_bytes(), seed);
    let within = Tier::ALL.into_iter().filter(|tier| *tier <= scope.reach);
    within
        .map(|tier| {
            let mut members: Vec<_> = candidates
                .iter()
                .filter(|candidate| Tier::of(candidate, place) == tier)
                .collect();
            if members.len() > scope.subset {
                members.sort_by_cached_key(hash);
                members.truncate(scope.subset.max(1));
            }
            (tier, members)
        })
        .collect()
}
