//! Targets that requests may go to, and the ends of a roll-out.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rollout::{Evidence, Order, Rollout, Situation, Stage, advance, base_build, select_targets};
use route::Candidate;
use types::rate::Percent;
use types::{id, size};

fn candidate(name: &str, build: &str) -> Candidate {
    Candidate {
        node: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "north".parse().unwrap(),
        domain: "north-a".parse().unwrap(),
        slots: size::Slots::new(4),
        started: None,
        build: (!build.is_empty()).then(|| build.parse().unwrap()),
    }
}

fn rollout(stage: Stage) -> Rollout {
    Rollout {
        service: "desk".parse().unwrap(),
        build: "v2".parse().unwrap(),
        order: 7,
        stage,
        elapsed: Duration::from_secs(2),
        share: Percent::new(7),
        trial_nodes: vec!["n3".parse().unwrap()],
    }
}

fn order() -> Order {
    Order {
        service: "desk".parse().unwrap(),
        build: "v2".parse().unwrap(),
        duration: Duration::from_secs(12),
        revision: 7,
    }
}

fn fleet() -> Vec<Candidate> {
    vec![
        candidate("n1", "v1"),
        candidate("n2", "v1"),
        candidate("n3", "v2"),
        candidate("n4", "v2"),
        candidate("n5", "v2"),
    ]
}

fn selected(candidates: Vec<Candidate>, rollout: Option<&Rollout>, draw: f64) -> Vec<String> {
    let selected = select_targets(candidates, rollout, draw);
    selected
        .iter()
        .map(|candidate| candidate.node.to_string())
        .collect()
}

/// Guards against requests at targets of a version that no order names yet, or that was rolled back, even when
/// these are the majority.
#[test]
fn requests_go_only_where_the_stage_allows() {
    for (stage, draw, expected) in [
        (Stage::Waiting, 0.0, &["n1", "n2"][..]),
        (Stage::Trial, 0.06, &["n3"]),
        (Stage::Trial, 0.08, &["n1", "n2"]),
        (Stage::Switched, 0.5, &["n3", "n4", "n5"]),
        (Stage::Completed, 0.5, &["n3", "n4", "n5"]),
        (Stage::RolledBack, 0.0, &["n1", "n2"]),
    ] {
        assert_eq!(
            selected(fleet(), Some(&rollout(stage)), draw),
            expected,
            "{stage}"
        );
    }
    // Only targets that may not serve are left.
    let new = vec![candidate("n3", "v2")];
    assert!(selected(new.clone(), Some(&rollout(Stage::RolledBack)), 0.0).is_empty());
    assert_eq!(selected(new, Some(&rollout(Stage::Completed)), 0.0), ["n3"]);
    // An order that this node has not heard of: the version of most targets serves.
    let early = vec![
        candidate("n1", "v1"),
        candidate("n2", "v1"),
        candidate("n3", "v2"),
    ];
    assert_eq!(selected(early, None, 0.0), ["n1", "n2"]);
    // Targets that do not tell their version.
    let unknown = vec![candidate("n1", ""), candidate("n2", "")];
    assert_eq!(selected(unknown, None, 0.0), ["n1", "n2"]);
}

/// Guards against an old version that comes back after the new one has taken over.
#[test]
fn a_completed_version_is_the_base_of_the_next_roll_out() {
    let builds: Vec<id::Build> = ["v1", "v1", "v1", "v2"]
        .map(|build| build.parse().unwrap())
        .into();
    let base = |stage| {
        base_build(builds.iter(), Some(&rollout(stage)))
            .unwrap()
            .to_string()
    };
    assert_eq!(base(Stage::Completed), "v2");
    assert_eq!(base(Stage::Trial), "v1");
}

/// Guards against a decision that is taken back, and against roll-outs without an end.
#[test]
fn every_roll_out_ends_and_stays_ended() {
    let nodes: Vec<id::Node> = vec!["n3".parse().unwrap()];
    let evidence = Evidence::default();
    let situation = |seconds, new_targets| Situation {
        in_stage: Duration::from_secs(seconds),
        old_targets: 2,
        new_targets,
        old: &evidence,
        new: &evidence,
        exposure: 0.1,
    };
    let next = |stage, order: Option<&Order>, situation: &Situation<'_>| {
        advance(&rollout(stage), order, situation).map(|(next, _)| next.stage)
    };
    let order = order();
    for stage in [Stage::Completed, Stage::RolledBack] {
        assert_eq!(next(stage, None, &situation(100, &nodes)), None);
        assert_eq!(next(stage, Some(&order), &situation(100, &nodes)), None);
    }
    for stage in [Stage::Waiting, Stage::Trial, Stage::Switched] {
        // The order is withdrawn or replaced.
        assert_eq!(
            next(stage, None, &situation(1, &nodes)),
            Some(Stage::RolledBack)
        );
        let other = Order {
            revision: 9,
            ..order.clone()
        };
        assert_eq!(
            next(stage, Some(&other), &situation(1, &nodes)),
            Some(Stage::RolledBack)
        );
    }
    // No targets, targets that vanish, and too few answers.
    assert_eq!(next(Stage::Waiting, Some(&order), &situation(3, &[])), None);
    assert_eq!(
        next(Stage::Waiting, Some(&order), &situation(9, &[])),
        Some(Stage::RolledBack)
    );
    assert_eq!(
        next(Stage::Trial, Some(&order), &situation(1, &[])),
        Some(Stage::RolledBack)
    );
    assert_eq!(
        next(Stage::Trial, Some(&order), &situation(9, &nodes)),
        Some(Stage::RolledBack)
    );
    assert_eq!(
        next(Stage::Waiting, Some(&order), &situation(1, &nodes)),
        Some(Stage::Trial)
    );
    assert_eq!(
        next(Stage::Switched, Some(&order), &situation(4, &nodes)),
        Some(Stage::Completed)
    );
}
