//! Choice of a target, retry budget, token bucket, upstream health and route matching.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bundle::{Bundle, Service};
use proptest::prelude::*;
use proptest::test_runner::Config;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::{
    Availability, Balancer, Candidate, Criteria, Load, Locality, NoRoute, Probe, Query,
    RetryBudget, Routes, Scope, Stage, Tier, TokenBucket, UpstreamHealth,
};
use tokio::time::Instant;
use types::rate::{PerSecond, Percent};
use types::{Timestamp, Version, id, size};

fn config() -> Config {
    Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    }
}

/// Creates a candidate in failure domain 0, which is that of the node, 1, which is in the same
/// region, or 2, which is in another one.
fn candidate(number: usize, domain: usize) -> Candidate {
    Candidate {
        node: format!("n{number}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: if domain == 2 { "south" } else { "north" }.parse().unwrap(),
        domain: format!("d{domain}").parse().unwrap(),
        slots: size::Slots::new(10),
        build: None,
        started: None,
    }
}

fn locality() -> Locality {
    Locality {
        node: "me".parse().unwrap(),
        region: "north".parse().unwrap(),
        domain: "d0".parse().unwrap(),
    }
}

const SCOPE: Scope = Scope {
    reach: Tier::Any,
    subset: 8,
    bulk: false,
};

/// Criteria without exclusions for a call of unknown service time.
const fn criteria(locality: &Locality) -> Criteria<'_> {
    Criteria {
        scope: SCOPE,
        locality,
        excluded: &[],
        service_time: Duration::ZERO,
    }
}

fn load_report(in_use: u32) -> Load {
    Load {
        in_use,
        slots: 10,
        ..Load::default()
    }
}

/// Event at one target before a choice.
#[derive(Clone, Debug)]
enum Event {
    Report(u32),
    Failed,
    Started,
}

proptest! {
    #![proptest_config(config())]

    /// Guards against the choice of a target outside of the reach or the subset, of an excluded
    /// target, of an ejected one while another is usable, or of one in a farther tier while a
    /// nearer one has capacity.
    #[test]
    fn choice_agrees_with_a_full_search(
        domains in proptest::collection::vec(0usize..3, 0..30),
        events in proptest::collection::vec((0usize..30, prop_oneof![
            (0u32..14).prop_map(Event::Report), Just(Event::Failed), Just(Event::Started),
        ]), 0..40),
        excluded in proptest::collection::btree_set(0usize..30, 0..6),
        reach in prop_oneof![Just(Tier::Domain), Just(Tier::Region), Just(Tier::Any)],
        subset in 1usize..10,
        age_ms in 0u64..4_000,
        seed: u64,
    ) {
        let candidates: Vec<_> = domains.iter().enumerate().map(|(n, domain)| candidate(n, *domain)).collect();
        let start = Instant::now();
        // All targets have been known for longer than the warm-up, so their weight is 1.
        let seen = start + Duration::from_secs(10);
        let now = seen + Duration::from_millis(age_ms);
        let mut balancer = Balancer::new();
        let scope = Scope { reach, subset, bulk: false };
        let mut rng = StdRng::seed_from_u64(seed);
        let locality = locality();
        let here = &locality;
        let without_exclusions = Criteria { scope, ..criteria(&locality) };
        balancer.choose(&candidates, &without_exclusions, start, &mut rng);
        let (mut reports, mut failed) = (BTreeMap::new(), BTreeSet::new());
        let mut started: BTreeMap<usize, u32> = BTreeMap::new();
        for candidate in &candidates {
            balancer.record_end(&candidate.node, start);
        }
        for (number, event) in events.into_iter().filter(|(number, _)| *number < candidates.len()) {
            let node = &candidates[number].node;
            match event {
                Event::Report(in_use) => {
                    balancer.record_load(node, load_report(in_use), seen);
                    reports.insert(number, in_use);
                }
                Event::Failed if failed.insert(number) => balancer.record_failure(node, seen),
                Event::Failed => {}
                Event::Started => {
                    balancer.record_start(node, seen);
                    *started.entry(number).or_default() += 1;
                }
            }
        }
        let excluded: Vec<id::Node> = excluded.iter().map(|n| format!("n{n}").parse().unwrap()).collect();
        let choice = balancer.choose(&candidates, &Criteria { excluded: &excluded, ..without_exclusions }, now, &mut rng);

        let load = |n: usize| {
            let reported = reports.get(&n).filter(|_| age_ms < 2_000).copied().unwrap_or(0);
            reported + started.get(&n).copied().unwrap_or(0)
        };
        let number = |node: &id::Node| node.as_str()[1..].parse::<usize>().unwrap();
        let within = |tier: Tier| candidates.iter().filter(move |c| Tier::of(c, here) == tier && tier <= reach);
        match choice {
            None => {
                // Without a choice, all targets within reach and subset must be excluded.
                for tier in Tier::ALL {
                    let left = within(tier).filter(|c| !excluded.contains(&c.node)).count();
                    prop_assert!(left == 0 || within(tier).count() > subset);
                }
            }
            Some(choice) => {
                let chosen = number(&choice.candidate.node);
                prop_assert!(choice.tier <= reach && choice.tier == Tier::of(&choice.candidate, &locality));
                prop_assert!(!excluded.contains(&choice.candidate.node));
                let is_ejected = |n: usize| failed.contains(&n) && age_ms < 1_000;
                for tier in Tier::ALL.into_iter().filter(|tier| *tier <= reach) {
                    // Only if the subset contains all targets of the tier are the considered ones
                    // known.
                    if within(tier).count() > subset {
                        continue;
                    }
                    let usable = within(tier).filter(|c| !excluded.contains(&c.node)).map(|c| number(&c.node));
                    let good: Vec<_> = usable.filter(|n| !is_ejected(*n)).collect();
                    prop_assert!(!is_ejected(chosen) || good.is_empty(), "ejected target chosen");
                    let has_capacity = good.iter().any(|n| load(*n) < 8);
                    prop_assert!(!has_capacity || choice.tier <= tier, "farther tier chosen");
                }
            }
        }
    }

    /// Guards against retries that multiply the load when all calls fail.
    #[test]
    fn retries_stay_within_the_budget(calls in proptest::collection::vec(0usize..4, 0..400), percent in 0u32..=100) {
        let share = Percent::new(percent);
        let mut budget = RetryBudget::new();
        let mut retries = 0.0;
        for (index, wanted) in calls.iter().enumerate() {
            budget.record_call(share);
            for _ in 0..*wanted {
                retries += f64::from(u8::from(budget.try_retry(share)));
            }
            let earned = share.fraction() * f64::from(u32::try_from(index + 1).unwrap());
            prop_assert!(retries <= 10.0 + earned + 1e-6, "{retries} retries after {} calls", index + 1);
            prop_assert!(percent > 0 || retries == 0.0);
        }
        // A new budget allows a burst of 10.
        let burst = (0..10).filter(|_| RetryBudget::new().try_retry(Percent::new(1))).count();
        prop_assert_eq!(burst, 10);
    }

    /// Guards against more events than rate and burst allow.
    #[test]
    fn bucket_keeps_rate_and_burst(gaps in proptest::collection::vec(0u64..800, 1..200)) {
        let start = Instant::now();
        let mut bucket = TokenBucket::new(4, start);
        let (mut now, mut taken) = (start, 0.0);
        for gap in gaps {
            now += Duration::from_millis(gap);
            taken += f64::from(u8::from(bucket.try_take(PerSecond::new(2.0), now)));
            let allowed = 4.0 + 2.0 * (now - start).as_secs_f64();
            prop_assert!(taken <= allowed + 1e-6, "{taken} of {allowed}");
        }
    }
}

/// Guards against a new target that gets its full share of calls at once, or never.
#[test]
fn share_of_a_new_target_grows() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = Balancer::new();
    let old: Vec<_> = (0..4).map(|n| candidate(n, 0)).collect();
    let locality = locality();
    balancer.choose(&old, &criteria(&locality), start, &mut rng);
    let all: Vec<_> = (0..5).map(|n| candidate(n, 0)).collect();
    let appeared = start + Duration::from_secs(10);
    let mut share = |now| {
        let mut hits = 0;
        for candidate in &all {
            balancer.record_load(&candidate.node, load_report(2), now);
        }
        for _ in 0..1_000 {
            let choice = balancer
                .choose(&all, &criteria(&locality), now, &mut rng)
                .unwrap();
            hits += usize::from(choice.candidate.node.as_str() == "n4");
        }
        hits
    };
    let (first, later) = (share(appeared), share(appeared + Duration::from_secs(6)));
    assert!(first < 50, "{first} of 1000 calls at once");
    assert!((100..300).contains(&later), "{later} of 1000 calls later");
}

/// Guards against calls that spill over to another region because a node has just started and all
/// of its targets are new, or because of a wait shorter than the network cost; and against calls
/// that wait longer than that cost.
#[test]
fn calls_leave_their_region_when_the_wait_exceeds_the_network_cost() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = Balancer::new();
    let candidates = [candidate(0, 0), candidate(1, 2)];
    let locality = locality();
    let criteria = Criteria {
        service_time: Duration::from_millis(100),
        ..criteria(&locality)
    };
    // A call takes 100 ms in one of 10 slots, and the network cost of the other region is 70 ms.
    for started in 0..15 {
        let choice = balancer
            .choose(&candidates, &criteria, now, &mut rng)
            .unwrap();
        assert_eq!(choice.tier, Tier::Domain, "{started} calls in 10 slots");
        balancer.record_start(&choice.candidate.node, now);
    }
    for _ in 15..18 {
        balancer.record_start(&candidates[0].node, now);
    }
    let choice = balancer
        .choose(&candidates, &criteria, now, &mut rng)
        .unwrap();
    assert_eq!(choice.tier, Tier::Any, "18 calls in 10 slots");
}

/// Guards against large answers that cross regions although their own region has a target.
#[test]
fn large_answers_stay_in_their_region() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = Balancer::new();
    let candidates = [candidate(0, 1), candidate(1, 2)];
    let locality = locality();
    let scope = Scope {
        bulk: true,
        ..SCOPE
    };
    let criteria = Criteria {
        scope,
        service_time: Duration::from_millis(100),
        ..criteria(&locality)
    };
    for _ in 0..50 {
        let choice = balancer
            .choose(&candidates, &criteria, now, &mut rng)
            .unwrap();
        assert_eq!(choice.tier, Tier::Region);
        balancer.record_start(&choice.candidate.node, now);
    }
    let choice = balancer.choose(&candidates[1..], &criteria, now, &mut rng);
    assert_eq!(choice.unwrap().tier, Tier::Any, "no other target is left");
}

/// Guards against a slow target that gets as many calls as the others, and against one that is
/// never tried again.
#[test]
fn slow_targets_get_fewer_calls_until_they_are_tried_again() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = Balancer::new();
    let candidates = [candidate(0, 0), candidate(1, 0)];
    let locality = locality();
    let criteria = Criteria {
        service_time: Duration::from_millis(100),
        ..criteria(&locality)
    };
    let route = "r".parse().unwrap();
    for _ in 0..20 {
        balancer.record_service_time(
            &candidates[1].node,
            &route,
            Duration::from_millis(100),
            start,
        );
        balancer.record_service_time(
            &candidates[0].node,
            &route,
            Duration::from_millis(500),
            start,
        );
    }
    let mut count_slow_choices = |now| {
        let choices = (0..6).map(|_| {
            let choice = balancer
                .choose(&candidates, &criteria, now, &mut rng)
                .unwrap();
            balancer.record_start(&choice.candidate.node, now);
            choice.candidate
        });
        let chosen: Vec<_> = choices.collect();
        for candidate in &chosen {
            balancer.record_end(&candidate.node, now);
        }
        let slow = chosen.iter().filter(|chosen| **chosen == candidates[0]);
        slow.count()
    };
    assert_eq!(count_slow_choices(start), 0);
    assert!(count_slow_choices(start + Duration::from_secs(30)) >= 2);
}

/// Guards against healthy probes that end a doubted state, and against unhealthy ones that outweigh
/// answered calls.
#[test]
fn probes_never_end_a_doubted_state() {
    let start = Instant::now();
    let after = |ms: u64| start + Duration::from_millis(ms);
    let mut health = UpstreamHealth::new(Stage::Ready, start);
    for _ in 0..2 {
        health.record_probe(Probe::Unhealthy, after(10));
    }
    assert_eq!(health.availability(after(10)), Availability::Doubted);
    health.record_probe(Probe::Healthy, after(20));
    assert_eq!(
        health.availability(after(20)),
        Availability::Doubted,
        "a healthy probe ended the doubted state"
    );
    health.record_answer(after(30));
    for _ in 0..3 {
        health.record_probe(Probe::Unhealthy, after(40));
    }
    assert_eq!(
        health.availability(after(40)),
        Availability::Ready,
        "recent answers outweigh probes"
    );
    health.record_refused_connection();
    health.record_probe(Probe::Refused, after(50));
    assert_eq!(health.availability(after(50)), Availability::Absent);
    health.record_probe(Probe::Healthy, after(60));
    assert_eq!(health.availability(after(60)), Availability::Doubted);
    health.record_announcement(Stage::Draining, after(2_000));
    assert_eq!(health.availability(after(2_000)), Availability::Draining);
    assert_eq!(health.availability(after(4_999)), Availability::Draining);
    assert_eq!(
        health.availability(after(5_000)),
        Availability::Absent,
        "expired"
    );
}

/// Creates a service whose routes have these paths and methods.
fn service(name: &str, routes: &[(&str, &str)]) -> Service {
    let routes = routes.iter().enumerate().map(|(index, (path, methods))| {
        format!("[route {name}-{index}]\npath = {path}\nmethods = {methods}\n")
    });
    let head = format!("[service]\nname = {name}\nowner = caroni\n");
    let text: String = std::iter::once(head).chain(routes).collect();
    let (source, findings) = bundle::Source::parse(name, name, &text);
    assert!(findings.is_empty(), "{findings}");
    source.unwrap().service
}

const fn query<'a>(host: &'a str, method: &'a str, path: &'a str) -> Query<'a> {
    Query {
        host,
        method,
        path,
        draw: 0.0,
    }
}

/// Guards against a call that matches the route of a shorter path, or of a path that merely starts
/// with the same characters.
#[test]
fn longest_prefix_of_whole_segments_wins_then_the_method() {
    let services = [
        service("a", &[("/permits", "GET"), ("/", "GET")]),
        service("b", &[("/permits/packs", "GET, POST"), ("/permits", "PUT")]),
    ];
    let bundle = Bundle::new(Version::new(1), Timestamp::new(1), services).unwrap();
    let routes = Routes::new(Arc::new(bundle));
    let find = |method: &str, path: &str| {
        let query = query("portal.example", method, path);
        routes.find(query).map(|plan| plan.route.to_string())
    };
    for (method, path, expected) in [
        ("GET", "/permits", Ok("a-0")),
        ("GET", "/permits/7", Ok("a-0")),
        ("PUT", "/permits/7", Ok("b-1")),
        ("POST", "/permits/packs/", Ok("b-0")),
        ("PUT", "/permits/packs", Err(NoRoute::Method)),
        ("GET", "/permitspacks", Ok("a-1")),
        ("POST", "/other", Err(NoRoute::Method)),
    ] {
        assert_eq!(
            find(method, path),
            expected.map(str::to_owned),
            "{method} {path}"
        );
    }
    for path in ["/a/../b", "/a/%2E%2e/b", "/./a", "a", "/a\\b", "/a#b"] {
        assert!(!route::is_normalized_path(path), "{path}");
    }
    assert!(route::is_normalized_path("/a/..b/%2ec/"));
}

/// Guards against a call that matches the route of another host, and against a path without
/// trailing slash that matches a route for paths below it.
#[test]
fn hosts_are_separate_and_a_trailing_slash_matches_only_descendants() {
    let mut a = service(
        "a",
        &[("/permits/", "GET"), ("/permits", "GET"), ("/", "GET")],
    );
    a.routes[0].host = "one.example".to_owned();
    a.routes[1].host = "two.example".to_owned();
    let bundle = Bundle::new(Version::new(1), Timestamp::new(1), [a]).unwrap();
    let routes = Routes::new(Arc::new(bundle));
    for (host, path, expected) in [
        ("one.example", "/permits/7", "a-0"),
        ("ONE.example", "/permits/", "a-0"),
        ("one.example", "/permits//7", "a-0"),
        ("one.example", "/permits", "a-2"),
        ("two.example", "/permits", "a-1"),
        ("two.example", "/permits/7", "a-1"),
        ("three.example", "/permits/7", "a-2"),
        ("", "/permits/7", "a-2"),
    ] {
        let found = routes.find(query(host, "GET", path)).unwrap();
        assert_eq!(found.route.as_str(), expected, "{host} {path}");
    }
}

/// Guards against a split of calls that differs from the configured weights.
#[test]
fn split_routes_follow_their_weights() {
    let mut a = service("a", &[("/permits", "GET")]);
    let share = |name: &str, weight| bundle::WeightedService {
        service: name.parse().unwrap(),
        weight,
    };
    a.routes[0].split = vec![share("a", 90), share("b", 10)];
    let services = [a, service("b", &[])];
    let bundle = Bundle::new(Version::new(1), Timestamp::new(1), services).unwrap();
    let routes = Routes::new(Arc::new(bundle));
    let found = (0..1000).map(|step| {
        let draw = f64::from(step) / 1000.0;
        let query = Query {
            draw,
            ..query("", "GET", "/permits")
        };
        routes.find(query).unwrap().service.to_string()
    });
    let to_b = found.filter(|service| service == "b").count();
    assert!((99..=101).contains(&to_b), "{to_b}");
}
