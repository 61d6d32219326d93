//! Decisions of the relay: who follows whom, what is passed on, and differences of large values.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use directory::{Change, Difference, Item, Mirror, Plan, Revision, Segment, Update, is_above};
use member::Record;
use proptest::collection::vec;
use proptest::prelude::*;
use types::Incarnation;

fn record(name: &str, region: &str) -> Record {
    let domain = format!("{region}-a");
    let address = "127.0.0.1:8081".parse().unwrap();
    Record::new(
        name.parse().unwrap(),
        address,
        region.parse().unwrap(),
        domain.parse().unwrap(),
        Incarnation::new(1),
    )
}

fn fleet(size: usize, regions: usize) -> Vec<Record> {
    let region = |index: usize| format!("region-{}", index % regions);
    (0..size)
        .map(|index| record(&format!("n{index}"), &region(index)))
        .collect()
}

/// Guards against small fleets that depend on a few nodes, and against large ones whose nodes all
/// read the store.
#[test]
fn readers_are_few_in_large_fleets_only() {
    for (size, regions, expected) in [
        (1, 1, 1),
        (18, 3, 18),
        (32, 3, 32),
        (63, 3, 9),
        (295, 3, 9),
        (3000, 4, 12),
    ] {
        let fleet = fleet(size, regions);
        let plans = fleet.iter().map(|own| Plan::new(own, fleet.iter()));
        let readers = plans.filter(|plan| plan.is_reader).count();
        assert_eq!(readers, expected, "{size} nodes");
    }
}

/// Guards against nodes with a long way to the store, or with too many followers.
#[test]
fn the_tree_is_flat_and_its_load_is_spread() {
    for size in [63, 295, 3000] {
        let fleet = fleet(size, 3);
        let plans: BTreeMap<String, Plan> = fleet
            .iter()
            .map(|own| (own.id.to_string(), Plan::new(own, fleet.iter())))
            .collect();
        let mut followers: BTreeMap<String, usize> = BTreeMap::new();
        for plan in plans.values().filter(|plan| !plan.is_reader) {
            assert!(plan.parents.len() >= 2, "a parent and a second one");
            for parent in &plan.parents[..2] {
                *followers.entry(parent.node.to_string()).or_default() += 1;
            }
        }
        let most = followers.values().max().unwrap();
        assert!(*most <= 32, "{size} nodes: {most} followers");
        let depth = |name: &str| {
            let mut name = name.to_owned();
            let mut depth = 0;
            while !plans[&name].is_reader {
                name = plans[&name].parents[0].node.to_string();
                depth += 1;
            }
            depth
        };
        let deepest = plans.keys().map(|name| depth(name)).max().unwrap();
        let bound = if size <= 300 { 2 } else { 3 };
        assert!(deepest <= bound, "{size} nodes: depth {deepest}");
    }
}

/// Guards against a lost node that makes many others change their parents.
#[test]
fn a_lost_node_moves_few_others() {
    let fleet = fleet(295, 3);
    let lost = &fleet[7].id;
    let rest: Vec<_> = fleet.iter().filter(|record| record.id != *lost).collect();
    let moved = rest.iter().filter(|own| {
        let before = Plan::new(own, fleet.iter()).parents;
        let after = Plan::new(own, rest.iter().copied()).parents;
        let followed = |parents: &[directory::Parent]| {
            let nodes = parents.iter().take(2).map(|parent| parent.node.clone());
            nodes.collect::<BTreeSet<_>>()
        };
        !followed(&before).contains(lost) && followed(&before) != followed(&after)
    });
    let moved = moved.count();
    assert!(moved <= 20, "{moved} nodes change their parents");
}

/// Key, and value or removal.
type Write = (u8, Option<u8>);

fn key(number: u8) -> String {
    format!("k{number}")
}

fn value(number: u8) -> Bytes {
    Bytes::from(vec![number])
}

/// Change that was made at a revision; `None` when it is not known.
fn change((number, content): Write, revision: Option<u64>) -> Change {
    match content {
        Some(content) => Change::Put(item(key(number), value(content), revision)),
        None => Change::Removed(key(number)),
    }
}

fn item(key: String, value: Bytes, revision: Option<u64>) -> Item {
    Item {
        key,
        value,
        revision: Revision(revision.unwrap_or_default()),
        lease: None,
    }
}

/// State of the store after the first `count` writes.
fn state(writes: &[Write], count: usize) -> BTreeMap<String, Bytes> {
    let mut state = BTreeMap::new();
    for (number, content) in &writes[..count] {
        match content {
            Some(content) => state.insert(key(*number), value(*content)),
            None => state.remove(&key(*number)),
        };
    }
    state
}

/// Listing after the first `count` writes, with the revisions of the items as the store has them, or
/// without them as another node sends it.
fn snapshot(writes: &[Write], count: usize, is_from_store: bool) -> Update {
    let items = state(writes, count).into_iter().map(|(name, value)| {
        let last = writes[..count]
            .iter()
            .rposition(|(number, _)| key(*number) == name);
        let revision = last.map(|index| index as u64 + 1);
        item(name, value, revision.filter(|_| is_from_store))
    });
    Update::Snapshot(items.collect())
}

fn content(mirror: &Mirror) -> BTreeMap<String, Bytes> {
    // Revision 0 is before any snapshot, so this is the whole content.
    let batch = mirror.changes_since(Revision(0)).unwrap();
    assert!(batch.is_snapshot);
    let items = batch.changes.into_iter().filter_map(Change::into_item);
    items.map(|item| (item.key, item.value)).collect()
}

proptest! {
    /// Guards against a mirror that differs from the store after updates of several sources that
    /// overlap or come late, and against a follower that differs from the mirror it follows.
    #[test]
    fn mirrors_equal_the_store(
        writes in vec((0..6_u8, proptest::option::of(any::<u8>())), 1..40),
        steps in vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<bool>(), any::<bool>()), 1..20),
    ) {
        let (mut first, mut second) = (Mirror::default(), Mirror::default());
        first.apply(&snapshot(&writes, 1, true), Revision(1));
        second.apply(&snapshot(&writes, 1, true), Revision(1));
        let mut followed = Revision(1);
        for (from, to, is_snapshot, is_from_store) in steps {
            // Updates continue from a revision that was reached before.
            let reached = usize::try_from(first.revision().unwrap().0).unwrap();
            let from = from.index(reached) + 1;
            let to = from + to.index(writes.len() + 1 - from);
            let update = if is_snapshot {
                snapshot(&writes, to, is_from_store)
            } else {
                let changes = (from..to).map(|index| {
                    let revision = is_from_store.then_some(index as u64 + 1);
                    change(writes[index], revision)
                });
                Update::Changes(changes.collect())
            };
            first.apply(&update, Revision(to as u64));
            let reached = usize::try_from(first.revision().unwrap().0).unwrap();
            prop_assert!(reached >= to);
            prop_assert_eq!(content(&first), state(&writes, reached));
            if let Some(batch) = first.changes_since(followed) {
                followed = batch.revision;
                let update = if batch.is_snapshot {
                    let items = batch.changes.into_iter().filter_map(Change::into_item);
                    Update::Snapshot(items.collect())
                } else {
                    Update::Changes(batch.changes)
                };
                second.apply(&update, followed);
                prop_assert_eq!(content(&second), state(&writes, reached));
            }
        }
    }

    /// Guards against nodes that follow each other in a circle, whatever each knows of the fleet.
    #[test]
    fn parents_are_always_above(known in vec(any::<bool>(), 80), own in 0..80_usize) {
        let fleet = fleet(80, 2);
        let live = fleet.iter().zip(&known).filter(|(_, known)| **known);
        let plan = Plan::new(&fleet[own], live.map(|(record, _)| record));
        for parent in &plan.parents {
            prop_assert!(is_above(&parent.node, &fleet[own].id));
        }
        prop_assert_eq!(plan.is_reader, plan.parents.is_empty());
        prop_assert!(plan.is_reader || !plan.has_followers);
    }

    /// Guards against a value that is rebuilt wrongly from its difference.
    #[test]
    fn differences_rebuild_the_value(old in "[a-c{]{0,60}", new in "[a-c{]{0,60}") {
        let difference = Difference::between(old.as_bytes(), new.as_bytes());
        prop_assert_eq!(difference.apply(old.as_bytes()), Some(new.into_bytes()));
    }

    /// Guards against a faulty difference that ends the process or passes for a value.
    #[test]
    fn faulty_differences_are_refused(offset in any::<usize>(), length in any::<usize>()) {
        let mut difference = Difference::between(b"old{value", b"new{value");
        difference.segments.push(Segment::Copy { offset, length });
        let applied = difference.apply(b"old{value");
        prop_assert!(applied.is_none() || length == 0);
    }
}

/// Guards against a follower that keeps a value which was replaced and then restored: the mirror never
/// saw the value in between.
#[test]
fn a_restored_value_reaches_a_follower_that_has_the_one_in_between() {
    let listing = |content, revision| {
        let item = item(key(1), value(content), Some(revision));
        Update::Snapshot(vec![item])
    };
    let mut mirror = Mirror::default();
    mirror.apply(&listing(1, 1), Revision(1));
    mirror.apply(&listing(1, 3), Revision(3));
    let batch = mirror.changes_since(Revision(2)).unwrap();
    assert_eq!(batch.changes.len(), 1);
}

/// Guards against a new version of a large configuration that travels as a whole.
#[test]
fn a_small_change_of_a_large_value_is_a_small_difference() {
    let routes = |changed: usize| {
        let route = |index: usize| {
            let timeout = if index == changed { 900 } else { 800 };
            format!("{{\"name\":\"r-{index}\",\"timeoutMs\":{timeout}}},")
        };
        (0..2000).map(route).collect::<String>()
    };
    let old = format!("{{\"version\":\"0000000c\",\"routes\":[{}]}}", routes(3));
    let new = format!("{{\"version\":\"0000000d\",\"routes\":[{}]}}", routes(1500));
    let difference = Difference::between(old.as_bytes(), new.as_bytes());
    assert!(
        difference.literal_bytes() < 300,
        "{} new bytes",
        difference.literal_bytes()
    );
    assert_eq!(difference.apply(old.as_bytes()), Some(new.into_bytes()));
}
