//! Node entries in a store that has outages, loses entries and loses answers.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use directory::{Directory, Relay, Replica, Upstream, UpstreamStart, WatchOptions};
use member::{Record, State};
use standin::Memory;
use tokio::time::{Instant, sleep};
use types::{Deadline, Incarnation, Timestamp, size};

const OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_millis(100),
    max_wait: Duration::from_secs(2),
    max_reader_wait: Duration::from_millis(1500),
    first_watch_delay: Duration::ZERO,
    relist_after_start: false,
    reread_on_change: false,
    list_stale_first: false,
    check_interval: None,
};

fn record(name: &str) -> Record {
    record_in(name, Incarnation::new(1))
}

fn record_in(name: &str, incarnation: Incarnation) -> Record {
    let address = "127.0.0.1:8081".parse().unwrap();
    let (region, domain) = ("north".parse().unwrap(), "north-a".parse().unwrap());
    Record::new(name.parse().unwrap(), address, region, domain, incarnation)
}

fn upstream(instance: &str) -> Upstream {
    Upstream {
        service: "renewals".parse().unwrap(),
        slots: size::Slots::new(12),
        build: None,
        state: State::Ready,
        start: UpstreamStart {
            instance: instance.to_owned(),
            started: Timestamp::new(7),
            address: Some("127.0.0.1:9000".parse().unwrap()),
        },
    }
}

fn start_process(store: &Memory, name: &str) -> Directory {
    start_process_with(store, name, OPTIONS)
}

/// Starts a process that an earlier one of the same node can be told from.
fn start_process_in(store: &Memory, name: &str, incarnation: Incarnation) -> Directory {
    start_process_of(store, record_in(name, incarnation), OPTIONS)
}

fn start_process_with(store: &Memory, name: &str, options: WatchOptions) -> Directory {
    start_process_of(store, record(name), options)
}

fn start_process_of(store: &Memory, record: Record, options: WatchOptions) -> Directory {
    let backend = store.backend();
    let relay = Relay::start(Arc::clone(&backend), record.id.clone());
    Directory::start(backend, &relay, "mesh/", options, record)
}

async fn start(store: &Memory, name: &str) -> Directory {
    let directory = start_process(store, name);
    directory.set_upstream(Some(upstream("i-1")));
    assert!(directory.flush(Deadline::after_ms(5000)).await);
    directory
}

fn targets(directory: &Directory) -> Vec<String> {
    let found = directory.targets(&"renewals".parse().unwrap());
    let mut names: Vec<_> = found.iter().map(|target| target.node.to_string()).collect();
    names.sort();
    names
}

/// Guards against targets that other nodes don't find, and against targets of a node that has left.
#[tokio::test(start_paused = true)]
async fn nodes_find_each_other_until_they_leave() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    let b = start(&store, "b").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(targets(&a), ["a", "b"]);
    assert_eq!(a.node_count(), 2);
    b.mark_left();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(targets(&a), ["a"]);
}

/// Guards against entries that are not written again after their leases expired during an outage of
/// the store, and against nodes that drop each other during the outage.
#[tokio::test(start_paused = true)]
async fn entries_are_restored_within_two_seconds_of_an_outage() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    let _b = start(&store, "b").await;
    sleep(Duration::from_secs(1)).await;
    store.set_down(true);
    store.revoke_all();
    sleep(Duration::from_secs(30)).await;
    assert_eq!(targets(&a), ["a", "b"], "kept during the outage");
    store.set_down(false);
    sleep(Duration::from_secs(2)).await;
    assert!(store.get("mesh/a").is_some() && store.get("mesh/b").is_some());
    sleep(Duration::from_secs(5)).await;
    assert_eq!(targets(&a), ["a", "b"]);
}

/// Guards against entries that were lost in an outage too short for a renewal to notice, and are
/// written again only when the next renewal is due.
#[tokio::test(start_paused = true)]
async fn entries_lost_in_a_short_outage_are_restored_within_two_seconds() {
    let store = Memory::default();
    let _a = start(&store, "a").await;
    for _ in 0..3 {
        // Right after a renewal, so that the next one comes too late.
        let renewals = store.calls("renew");
        while store.calls("renew") == renewals {
            sleep(Duration::from_millis(10)).await;
        }
        store.set_down(true);
        store.revoke_all();
        sleep(Duration::from_millis(400)).await;
        store.set_down(false);
        sleep(Duration::from_secs(2)).await;
        assert!(store.get("mesh/a").is_some());
    }
}

/// Guards against renewals that grow beyond what the store of a large fleet takes: 10,000 nodes at
/// one in 3 s make 3,300 a second.
#[tokio::test(start_paused = true)]
async fn an_idle_node_renews_its_lease_every_three_seconds() {
    let store = Memory::default();
    let _a = start(&store, "a").await;
    let before = store.calls("renew");
    sleep(Duration::from_secs(30)).await;
    let renewals = store.calls("renew") - before;
    assert!((9..=10).contains(&renewals), "{renewals} renewals");
}

/// Guards against an own entry that stays missing after the store lost it, as long as its lease can
/// still be renewed.
#[tokio::test(start_paused = true)]
async fn a_lost_entry_is_written_again() {
    let store = Memory::default();
    let _a = start(&store, "a").await;
    sleep(Duration::from_secs(1)).await;
    store.revoke_all();
    sleep(Duration::from_secs(1)).await;
    assert!(store.get("mesh/a").is_some());
}

/// Guards against a node that is never listed, or writes its entry in a loop, after the answer to a
/// write was lost.
#[tokio::test(start_paused = true)]
async fn writes_recover_from_lost_answers() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    store.lose_puts(3);
    a.set_departed(upstream("i-0").start);
    assert!(a.flush(Deadline::after_ms(10_000)).await);
    assert!(store.calls("put") < 12, "{} writes", store.calls("put"));
}

/// Guards against a restarted process that doesn't know the departure that the previous process
/// acknowledged.
#[tokio::test(start_paused = true)]
async fn a_new_process_finds_the_entry_of_the_previous_one() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    old_process.set_departed(upstream("i-0").start);
    assert!(old_process.flush(Deadline::after_ms(5000)).await);
    old_process.close();
    let new_process = start_process(&store, "a");
    let previous = new_process.previous_entry().await.unwrap();
    assert_eq!(previous.departed.unwrap().instance, "i-0");
    assert_eq!(previous.current.unwrap().instance, "i-1");
}

/// Guards against invalid values in the store that stop a node or are used as a target.
#[tokio::test(start_paused = true)]
async fn invalid_entries_are_ignored() {
    let store = Memory::default();
    for (key, value) in [
        ("mesh/x", &b"not an entry"[..]),
        ("mesh/y", b""),
        ("mesh/z", b"\x01"),
    ] {
        store.set(key, value);
    }
    let a = start(&store, "a").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(targets(&a), ["a"]);
}

/// Guards against changes that are missed because the store has compacted its history.
#[tokio::test(start_paused = true)]
async fn entries_are_listed_again_after_compaction() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    sleep(Duration::from_secs(1)).await;
    store.set_down(true);
    sleep(Duration::from_secs(2)).await;
    store.set_down(false);
    let _b = start(&store, "b").await;
    store.forget_history();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(targets(&a), ["a", "b"]);
}

/// Guards against a removed entry that stays valid forever, and against one that is invalid at
/// once.
#[test]
fn removed_entries_stay_valid_for_a_grace_time() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.put("mesh/a", record("a"));
    replica.mark_removed("mesh/a", now);
    replica.mark_removed("mesh/a", now + Duration::from_secs(2));
    let live = |replica: &Replica, ms| replica.live(now + Duration::from_millis(ms)).count();
    assert_eq!(live(&replica, 2400), 1);
    assert_eq!(
        live(&replica, 2600),
        0,
        "the grace time starts with the first removal"
    );
    replica.put("mesh/a", record("a"));
    assert_eq!(live(&replica, 60_000), 1);
}

/// Guards against a departure that is lost because it arrives while the node stops, so that the
/// next process sends calls to the departed start.
#[tokio::test(start_paused = true)]
async fn a_departure_during_a_stop_is_published() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    old_process.mark_left();
    old_process.set_departed(UpstreamStart {
        instance: "i-1".to_owned(),
        started: Timestamp::new(7),
        address: None,
    });
    assert!(old_process.flush(Deadline::after_ms(5000)).await);
    old_process.close();
    let next = start_process(&store, "a");
    let previous = next.previous_entry().await.unwrap();
    assert_eq!(previous.departed.unwrap().instance, "i-1");
}

/// Guards against a departure that reaches a node without an upstream and is never published, so that
/// the next process sends calls to the departed start.
#[tokio::test(start_paused = true)]
async fn a_departure_at_a_node_without_an_upstream_is_published() {
    let store = Memory::default();
    store.set_down(true);
    let process = start_process(&store, "a");
    process.set_departed(upstream("i-1").start);
    store.set_down(false);
    assert!(process.flush(Deadline::after_ms(5000)).await);
    process.close();
    let next = start_process(&store, "a");
    let previous = next.previous_entry().await.unwrap();
    assert_eq!(previous.departed.unwrap().instance, "i-1");
}

/// Guards against a late write of an earlier process that marks the node as left for the others, after
/// its next process has taken the entry over unchanged.
#[tokio::test(start_paused = true)]
async fn a_late_write_of_an_earlier_process_is_replaced() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    let b = start(&store, "b").await;
    let before = store.get("mesh/a").unwrap();
    old_process.mark_left();
    assert!(old_process.flush(Deadline::after_ms(5000)).await);
    old_process.close();
    let late_write = store.get("mesh/a").unwrap();
    store.set_under_lease("mesh/a", &before, 1);
    let new_process = start_process_in(&store, "a", Incarnation::new(2));
    new_process.set_upstream(Some(upstream("i-1")));
    assert!(new_process.flush(Deadline::after_ms(5000)).await);
    store.set_under_lease("mesh/a", &late_write, 1);
    let puts = store.calls("put");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(targets(&b), ["a", "b"]);
    sleep(Duration::from_secs(10)).await;
    // One write conflicts with the late one.
    assert!(store.calls("put") <= puts + 2, "written in a loop");
}

/// Guards against an entry that is written again with each repetition of a departure.
#[tokio::test(start_paused = true)]
async fn a_repeated_departure_is_written_once() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    let puts = store.calls("put");
    for _ in 0..5 {
        let deadline = Deadline::after_ms(800);
        assert!(a.keep_departure(upstream("i-1").start, deadline).await);
    }
    assert_eq!(store.calls("put"), puts + 1);
}

/// Guards against an entry under the key of another node, or without a usable address, that takes
/// the place of a true one.
#[tokio::test(start_paused = true)]
async fn entries_that_name_another_node_or_no_address_are_ignored() {
    let store = Memory::default();
    let _b = start(&store, "b").await;
    let entry = store.get("mesh/b").unwrap();
    store.set("mesh/c", &entry);
    let mut without_port = entry.to_vec();
    let port = without_port.windows(4).position(|four| four == b"8081");
    let port = port.unwrap();
    without_port[port..port + 4].copy_from_slice(b"0000");
    let mut renamed = without_port.clone();
    let name = renamed.iter().position(|byte| *byte == b'b').unwrap();
    renamed[name] = b'd';
    store.set("mesh/d", &renamed);
    let a = start(&store, "a").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(targets(&a), ["a", "b"]);
    assert_eq!(a.node_count(), 2);
}

/// Guards against an own entry that stays unusable after another writer has replaced it.
#[tokio::test(start_paused = true)]
async fn an_own_entry_that_was_replaced_is_written_again() {
    let store = Memory::default();
    let _a = start(&store, "a").await;
    let b = start(&store, "b").await;
    sleep(Duration::from_secs(1)).await;
    store.set("mesh/a", b"not an entry");
    sleep(Duration::from_secs(1)).await;
    assert_ne!(store.get("mesh/a").unwrap(), &b"not an entry"[..]);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(targets(&b), ["a", "b"]);
}

/// Guards against writes of a restarted process that tell the others nothing new, and against a
/// first write that fails because the revision of the earlier entry is not known.
#[tokio::test(start_paused = true)]
async fn a_restarted_process_writes_its_entry_once() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    old_process.close();
    let before = store.calls("put");
    let new_process = start_process(&store, "a");
    new_process.set_upstream(Some(upstream("i-1")));
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(store.calls("put"), before, "nothing new to tell");
    new_process.set_upstream(Some(upstream("i-2")));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(store.calls("put"), before + 1);
    let entry = store.get("mesh/a").unwrap();
    assert!(entry.windows(3).any(|three| three == b"i-2"));
}

/// Guards against writes that are repeated while the store refuses this node: each costs ten times
/// as much as a renewal.
#[tokio::test(start_paused = true)]
async fn an_outage_is_probed_by_renewals() {
    let store = Memory::default();
    let a = start(&store, "a").await;
    store.set_down(true);
    a.set_departed(upstream("i-0").start);
    let before = store.calls("put");
    sleep(Duration::from_secs(9)).await;
    assert!(store.calls("put") <= before + 1);
    store.set_down(false);
    assert!(
        a.flush(Deadline::after_ms(2000)).await,
        "written soon after"
    );
}

/// Guards against an entry that is written twice at a start: a listing from before the first write
/// does not have it, and the write that was due to be repeated came at once.
#[tokio::test(start_paused = true)]
async fn an_entry_that_was_not_written_yet_is_not_missing() {
    let store = Memory::default();
    let a = start_process(&store, "a");
    assert!(a.wait_ready(Deadline::after_ms(1000)).await);
    store.forget_history();
    store.set("mesh/x", b"not an entry");
    store.forget_history();
    sleep(Duration::from_secs(6)).await;
    a.set_upstream(Some(upstream("i-1")));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.calls("put"), 1);
}

/// Guards against new leases and writes of all nodes after a loss of power: the lease of the earlier
/// process still holds the same entry.
#[tokio::test(start_paused = true)]
async fn a_restarted_process_takes_over_the_lease() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    old_process.close();
    let (grants, puts) = (store.calls("grant"), store.calls("put"));
    let new_process = start_process(&store, "a");
    new_process.set_upstream(Some(upstream("i-1")));
    assert!(new_process.flush(Deadline::after_ms(5000)).await);
    sleep(Duration::from_secs(10)).await;
    assert_eq!((store.calls("grant"), store.calls("put")), (grants, puts));
    // The entry is kept like one of its own.
    let renewals = store.calls("renew");
    assert!(renewals >= 4, "{renewals} renewals");
    store.revoke_all();
    sleep(Duration::from_secs(1)).await;
    assert!(store.get("mesh/a").is_some());
}

/// Guards against a changed entry that is written under a lease which has expired.
#[tokio::test(start_paused = true)]
async fn an_expired_lease_is_not_taken_over() {
    let store = Memory::default();
    let old_process = start(&store, "a").await;
    old_process.close();
    let entry = store.get("mesh/a").unwrap();
    let grants = store.calls("grant");
    store.revoke_all();
    store.set_under_lease("mesh/a", &entry, 1);
    let new_process = start_process(&store, "a");
    new_process.set_upstream(Some(upstream("i-2")));
    assert!(new_process.flush(Deadline::after_ms(5000)).await);
    assert_eq!(store.calls("grant"), grants + 1);
}

/// Guards against full-priced listings at the first start of a fleet, and against a stale one when an
/// earlier process may have left a departure.
#[tokio::test(start_paused = true)]
async fn only_the_first_start_of_a_fleet_lists_stale_entries() {
    for (list_stale_first, expected) in [(true, (0, 1)), (false, (1, 0))] {
        let store = Memory::default();
        let options = WatchOptions {
            list_stale_first,
            ..OPTIONS
        };
        let a = start_process_with(&store, "a", options);
        assert!(a.wait_ready(Deadline::after_ms(1000)).await);
        assert_eq!((store.calls("list"), store.calls("stale list")), expected);
        store.forget_history();
        store.set("mesh/x", b"not an entry");
        store.forget_history();
        sleep(Duration::from_secs(6)).await;
        assert_eq!(store.calls("stale list"), expected.1, "stale once at most");
    }
}

/// Guards against nodes that are lost for the others after the store came back from a copy: without
/// their entries and leases, or with an entry that they have replaced since.
#[tokio::test(start_paused = true)]
async fn entries_are_written_again_after_a_restore_of_the_store() {
    for outage_ms in [0, 50, 2000] {
        let store = Memory::default();
        let a = start(&store, "a").await;
        sleep(Duration::from_secs(1)).await;
        let backup = store.back_up();
        let _b = start(&store, "b").await;
        a.set_departed(upstream("i-0").start);
        sleep(Duration::from_secs(5)).await;
        let newest = store.get("mesh/a");
        store.set_down(true);
        store.restore(backup);
        sleep(Duration::from_millis(outage_ms)).await;
        store.set_down(false);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(store.get("mesh/a"), newest, "{outage_ms} ms");
        assert!(store.get("mesh/b").is_some(), "{outage_ms} ms");
        sleep(Duration::from_secs(5)).await;
        assert_eq!(targets(&a), ["a", "b"], "{outage_ms} ms");
    }
}

/// Guards against a node that divides what all share by the nodes that it knows, or coordinates them, while
/// others have not written their entries again or do not know it yet.
#[tokio::test(start_paused = true)]
async fn a_node_is_settled_when_it_and_the_others_know_each_other() {
    let store = Memory::default();
    let elected = |directory: &Directory| {
        let elected = directory.elect_settled(&HashMap::new());
        elected.map(|(node, _)| node)
    };
    let (a, b) = (start(&store, "a").await, start(&store, "b").await);
    for directory in [&a, &b] {
        assert!(!directory.is_settled(), "others may not know the entry");
        assert_ne!(elected(directory), Some(directory.own_record().id));
    }
    sleep(Duration::from_secs(5)).await;
    assert!(a.is_settled() && b.is_settled());
    assert_eq!(elected(&a), elected(&b));

    // The next process of a node knows the others from its first listing.
    a.close();
    let a = start_process_in(&store, "a", Incarnation::new(2));
    assert!(!a.is_settled());
    assert!(a.wait_ready(Deadline::after_ms(5000)).await);
    assert!(a.is_settled());
    assert_eq!(a.node_count(), 2);

    // All entries are lost, and the store is away before the node has read its new one.
    store.revoke_all();
    let c = start_process(&store, "c");
    assert!(c.wait_ready(Deadline::after_ms(5000)).await);
    store.set_down(true);
    c.set_upstream(Some(upstream("i-1")));
    sleep(Duration::from_secs(20)).await;
    assert!(!c.is_settled());
    store.set_down(false);
    sleep(Duration::from_secs(7)).await;
    assert!(c.is_settled());
}
