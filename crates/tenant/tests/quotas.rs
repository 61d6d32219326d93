//! Quotas over a fleet of nodes on virtual time: what is taken in each window, and what is served of that
//! to which a tenant is entitled.

#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tenant::{Coordinator, Meter, Quota, REPORT_INTERVAL, Refusal, Registry, Tenant};
use tokio::time::Instant;
use types::rate::{PerSecond, Share};
use types::{id, size};

/// Window over which the limit of a tenant is checked.
const WINDOW: Duration = Duration::from_secs(5);

/// One-way delay between a node and the coordinator.
const DELAY: Duration = Duration::from_millis(35);

const STEP: Duration = Duration::from_millis(5);

fn quota(rate: f64) -> Quota {
    Quota {
        rate: PerSecond::new(rate),
        burst: size::Burst::new(rate.ceil() as u32),
    }
}

fn registry(quota: Quota) -> Registry {
    let tenant = Tenant::new("porto".parse().unwrap()).with_quota(Some(quota));
    Registry::new([tenant]).unwrap()
}

/// Answer of a coordinator to the report of a node.
struct Answer {
    arrives_at: Instant,
    node: usize,
    reported_at: Instant,
    shares: Vec<(id::Tenant, Share)>,
}

/// Nodes that all send requests of one tenant, and the coordinators that some of them report to.
struct Fleet {
    tenant: id::Tenant,
    meters: Vec<Meter>,
    /// Index of the coordinator that each node reports to; `None` for a node that is cut off.
    coordinator_of: Vec<Option<usize>>,
    coordinators: Vec<Coordinator>,
    /// Answers on their way.
    answers: Vec<Answer>,
    registry: Registry,
    quota: Quota,
    now: Instant,
    start: Instant,
    random: StdRng,
    taken_at: Vec<Instant>,
    arrived: usize,
}

impl Fleet {
    fn new(nodes: usize, quota: Quota) -> Self {
        let now = Instant::now();
        let mut meters: Vec<Meter> = (0..nodes).map(|_| Meter::new(now)).collect();
        for meter in &mut meters {
            meter.set_fleet(nodes);
        }
        Self {
            tenant: "porto".parse().unwrap(),
            meters,
            coordinator_of: vec![Some(0); nodes],
            coordinators: vec![Coordinator::default(), Coordinator::default()],
            answers: Vec::new(),
            registry: registry(quota),
            quota,
            now,
            start: now,
            random: StdRng::seed_from_u64(7),
            taken_at: Vec::new(),
            arrived: 0,
        }
    }

    /// Plays `seconds` with `rate` requests a second, which arrive at the nodes that `place` draws.
    fn play<P>(&mut self, seconds: f64, rate: f64, place: P)
    where
        P: Fn(&mut StdRng) -> usize,
    {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            let expected = rate * STEP.as_secs_f64();
            let count = expected.floor() as usize
                + usize::from(self.random.random::<f64>() < expected.fract());
            for _ in 0..count {
                let node = place(&mut self.random);
                let draw = self.random.random();
                self.arrived += 1;
                if self.meters[node]
                    .take(&self.tenant, self.quota, draw, self.now)
                    .is_ok()
                {
                    self.taken_at.push(self.now);
                }
            }
            self.exchange();
            self.now += STEP;
        }
    }

    /// Sends the reports that are due, and delivers the answers that have arrived.
    fn exchange(&mut self) {
        let nodes = self.meters.len();
        let period = (REPORT_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        let tick = ((self.now - self.start).as_millis() / STEP.as_millis()) as usize;
        for node in 0..nodes {
            let Some(coordinator) = self.coordinator_of[node] else {
                continue;
            };
            if !(tick + node).is_multiple_of(period) {
                continue;
            }
            let report = self.meters[node].report(self.now);
            let name = format!("n{node}").parse().unwrap();
            // The delay of both ways is applied to the answer.
            let coordinator = &mut self.coordinators[coordinator];
            coordinator.record(&name, &report, self.now);
            let shares = coordinator.shares(&self.registry, nodes, self.now);
            self.answers.push(Answer {
                arrives_at: self.now + 2 * DELAY,
                node,
                reported_at: self.now,
                shares,
            });
        }
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.arrives_at <= now);
        self.answers = waiting;
        for answer in due {
            if self.coordinator_of[answer.node].is_some() {
                self.meters[answer.node].apply(answer.shares, answer.reported_at);
            }
        }
    }

    fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        self.registry = registry(quota);
    }

    /// Largest number of requests that were taken in a window of 5 s after `since`.
    fn most_in_window(&self, since: Instant) -> usize {
        let taken: Vec<_> = self.taken_at.iter().filter(|at| **at >= since).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in taken.iter().enumerate() {
            while **at - *taken[first] > WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Largest number that the platform's users accept in a window.
    fn bound(&self) -> usize {
        let entitled =
            self.quota.rate.get() * WINDOW.as_secs_f64() + f64::from(self.quota.burst.get());
        (entitled * 1.1) as usize + 20
    }

    fn assert_bound(&self, case: &str) {
        let (most, bound) = (self.most_in_window(self.start), self.bound());
        assert!(most <= bound, "{case}: {most} in a window, bound {bound}");
    }
}

fn anywhere(nodes: usize) -> impl Fn(&mut StdRng) -> usize {
    move |random| random.random_range(0..nodes)
}

/// Guards against tenants that are refused below their limit, small ones above all, which send less than
/// one request a second to each node.
#[test]
fn a_tenant_within_its_quota_is_served_everywhere() {
    for rate in [1.6, 16.0, 160.0, 700.0] {
        let mut fleet = Fleet::new(79, quota(rate));
        fleet.play(3.0, 0.0, anywhere(79));
        fleet.play(20.0, rate / 1.6, anywhere(79));
        let refused = fleet.arrived - fleet.taken_at.len();
        assert!(
            refused * 100 <= fleet.arrived,
            "{rate}/s: {refused} refused"
        );
    }
}

/// Guards against refusals of a tenant all of whose requests arrive at one node, or that moves.
#[test]
fn a_tenant_may_use_its_quota_at_one_node() {
    let mut fleet = Fleet::new(79, quota(50.0));
    fleet.play(3.0, 0.0, anywhere(79));
    for node in [3, 60, 17, 42] {
        fleet.play(1.5, 45.0, move |_| node);
    }
    let refused = fleet.arrived - fleet.taken_at.len();
    assert!(
        refused * 50 <= fleet.arrived,
        "{refused} of {} refused",
        fleet.arrived
    );
    fleet.assert_bound("moving tenant");
}

/// Guards against a limit that is exceeded when a tenant suddenly sends many times its usual, and against one
/// that gives such a tenant less than it is entitled to.
#[test]
fn a_hot_tenant_gets_its_quota_and_no_more() {
    for rate in [1.6, 8.0, 80.0, 700.0] {
        for factor in [2.0, 4.4, 7.5] {
            let mut fleet = Fleet::new(79, quota(rate));
            fleet.play(6.0, rate / 1.6, anywhere(79));
            let before = fleet.taken_at.len();
            fleet.play(12.0, rate / 1.6 * factor, anywhere(79));
            fleet.assert_bound(&format!("{rate}/s x {factor}"));
            let demand = rate / 1.6 * factor;
            let entitled = 12.0 * rate.min(demand);
            let taken = (fleet.taken_at.len() - before) as f64;
            assert!(
                taken >= 0.85 * entitled,
                "{rate}/s x {factor}: {taken} of {entitled}"
            );
        }
    }
}

/// Guards against an empty bucket's worth that is handed out again by each new coordinator.
#[test]
fn a_lost_coordinator_does_not_double_the_quota() {
    for rate in [8.0, 80.0, 700.0] {
        let mut fleet = Fleet::new(79, quota(rate));
        fleet.play(6.0, 3.0 * rate, anywhere(79));
        // No node hears of the old coordinator; half find the new one within a second, then all.
        fleet.coordinator_of = vec![None; 79];
        fleet.play(0.5, 3.0 * rate, anywhere(79));
        for node in 0..40 {
            fleet.coordinator_of[node] = Some(1);
        }
        fleet.play(1.5, 3.0 * rate, anywhere(79));
        fleet.coordinator_of = vec![Some(1); 79];
        fleet.play(6.0, 3.0 * rate, anywhere(79));
        fleet.assert_bound(&format!("{rate}/s, coordinator lost"));
    }
}

/// Guards against two halves of a fleet that each hand out the whole quota, for as long as they are apart.
#[test]
fn two_coordinators_hand_out_one_quota() {
    for rate in [8.0, 80.0, 700.0] {
        let mut fleet = Fleet::new(79, quota(rate));
        for node in 0..40 {
            fleet.coordinator_of[node] = Some(1);
        }
        fleet.play(12.0, 3.0 * rate, anywhere(79));
        fleet.assert_bound(&format!("{rate}/s, two coordinators"));
    }
}

/// Guards against nodes that go on as before when they are cut off from all others.
#[test]
fn nodes_without_a_coordinator_share_the_quota_evenly() {
    for rate in [8.0, 80.0, 700.0] {
        let mut fleet = Fleet::new(79, quota(rate));
        fleet.play(4.0, 3.0 * rate, anywhere(79));
        for node in 0..30 {
            fleet.coordinator_of[node] = None;
        }
        fleet.play(12.0, 3.0 * rate, anywhere(79));
        fleet.assert_bound(&format!("{rate}/s, 30 nodes cut off"));
    }
}

/// Guards against a quota that is spent twice because all counters are lost at the same moment.
#[test]
fn a_restart_of_all_nodes_does_not_refill_the_quota() {
    for rate in [8.0, 80.0, 700.0] {
        let mut fleet = Fleet::new(79, quota(rate));
        fleet.play(6.0, 3.0 * rate, anywhere(79));
        let now = fleet.now;
        for meter in &mut fleet.meters {
            *meter = Meter::new(now);
            meter.set_fleet(79);
        }
        fleet.coordinators = vec![Coordinator::default(), Coordinator::default()];
        fleet.answers.clear();
        fleet.play(6.0, 3.0 * rate, anywhere(79));
        fleet.assert_bound(&format!("{rate}/s, all restarted"));
    }
}

/// Guards against a lowered limit that takes effect only when a surplus is used up.
#[test]
fn a_lowered_quota_binds_within_a_window() {
    let mut fleet = Fleet::new(79, quota(300.0));
    fleet.play(6.0, 200.0, anywhere(79));
    fleet.set_quota(quota(20.0));
    let lowered_at = fleet.now;
    fleet.play(14.0, 200.0, anywhere(79));
    let most = fleet.most_in_window(lowered_at + WINDOW);
    assert!(
        most <= fleet.bound(),
        "{most} in a window, bound {}",
        fleet.bound()
    );
    let taken = fleet
        .taken_at
        .iter()
        .filter(|at| **at >= lowered_at + WINDOW);
    let taken = taken.count() as f64;
    assert!(taken >= 0.7 * 9.0 * 20.0, "{taken} taken in 9 s");
}

/// Guards against quota that requests use which did not run, and against credit for what was never taken.
#[test]
fn what_did_not_run_is_given_back() {
    let now = Instant::now();
    let tenant: id::Tenant = "porto".parse().unwrap();
    let mut meter = Meter::new(now);
    meter.apply([], now);
    let quota = quota(10.0);
    for _ in 0..1000 {
        assert!(meter.take(&tenant, quota, 0.5, now).is_ok());
        meter.give_back(&tenant);
    }
    let report = meter.report(now);
    assert_eq!((report[0].taken, report[0].arrived), (0, 1000));
}

/// Guards against a node that takes the whole quota because it does not know the other nodes yet, and whose
/// demand the coordinator never learns.
#[test]
fn a_node_that_does_not_know_the_fleet_takes_nothing() {
    let now = Instant::now();
    let tenant: id::Tenant = "porto".parse().unwrap();
    let mut meter = Meter::new(now);
    let later = now + Duration::from_secs(3);
    for at in [now, later] {
        let taken = meter.take(&tenant, quota(10.0), 0.5, at);
        assert_eq!(taken, Err(Refusal::FleetUnknown));
    }
    assert_eq!(meter.report(later)[0].arrived, 2);
    // The answer of a coordinator or the number of nodes ends this; nothing has accrued meanwhile.
    meter.set_fleet(2);
    let taken = meter.take(&tenant, quota(10.0), 0.5, later);
    assert!(matches!(taken, Err(Refusal::OverQuota(_))), "{taken:?}");
    meter.apply([], later);
    assert_eq!(
        meter.take(
            &tenant,
            quota(10.0),
            0.5,
            later + Duration::from_millis(200)
        ),
        Ok(())
    );
}
