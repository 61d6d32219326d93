//! Configuration in force, from a store with frequent changes, stale or invalid values and outages.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use directory::{ConfigWatcher, Directory, Relay, Upstream, UpstreamStart, WatchOptions};
use member::{Record, State};
use standin::Memory;
use tokio::time::sleep;
use types::{Incarnation, Timestamp, Version, size};

const OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_millis(1200),
    max_wait: Duration::from_secs(2),
    max_reader_wait: Duration::from_millis(1500),
    first_watch_delay: Duration::ZERO,
    relist_after_start: false,
    reread_on_change: true,
    list_stale_first: false,
    check_interval: None,
};

fn decode(bytes: &[u8]) -> Result<(Version, u64), String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let number: u64 = text.parse().map_err(|_| format!("`{text}` is no number"))?;
    Ok((Version::new(number), number))
}

fn start_relay(store: &Memory) -> Relay {
    Relay::start(store.backend(), "a".parse().unwrap())
}

fn start_watcher(store: &Memory) -> ConfigWatcher<u64> {
    ConfigWatcher::start(&start_relay(store), "config", OPTIONS, decode)
}

/// Guards against a version that is not put in force in time, and against a valid version that is
/// replaced by an older or an invalid one.
#[tokio::test(start_paused = true)]
async fn the_newest_readable_version_is_in_force_and_never_an_older_one() {
    let store = Memory::default();
    let watcher = start_watcher(&store);
    sleep(Duration::from_secs(5)).await;
    assert!(!watcher.is_ready());
    for (written, expected) in [
        ("3", 3),
        ("8", 8),
        ("5", 8),
        ("broken", 8),
        ("", 8),
        ("9", 9),
    ] {
        store.set("config", written.as_bytes());
        sleep(Duration::from_millis(2500)).await;
        assert_eq!(watcher.current().as_deref(), Some(&expected), "{written}");
    }
}

/// Guards against many large reads during a burst of versions, and against a burst whose last
/// version is missed.
#[tokio::test(start_paused = true)]
async fn a_burst_costs_few_reads_and_ends_with_its_last_version() {
    let store = Memory::default();
    store.set("config", b"1");
    let watcher = start_watcher(&store);
    sleep(Duration::from_secs(5)).await;
    let before = store.calls("list") + store.calls("watch");
    for version in 2..27 {
        store.set("config", version.to_string().as_bytes());
        sleep(Duration::from_millis(200)).await;
    }
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(watcher.current().as_deref(), Some(&26));
    let calls = store.calls("list") + store.calls("watch") - before;
    assert!(calls <= 9, "{calls} calls for 25 versions in 5 s");
}

/// Guards against a long delay of new versions after an outage of the store.
#[tokio::test(start_paused = true)]
async fn a_version_written_during_an_outage_is_in_force_soon_after_it() {
    let store = Memory::default();
    store.set("config", b"1");
    let watcher = start_watcher(&store);
    sleep(Duration::from_secs(2)).await;
    store.set_down(true);
    store.set("config", b"2");
    store.forget_history();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(watcher.current().as_deref(), Some(&1));
    store.set_down(false);
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(watcher.current().as_deref(), Some(&2));
}

/// Guards against a watch that stays connected through an outage and never receives the version
/// that was written meanwhile, although other calls show that the store has recovered.
#[tokio::test(start_paused = true)]
async fn a_stalled_watch_is_restarted_when_the_store_recovers() {
    let store = Memory::default();
    store.set("config", b"1");
    let backend = store.backend();
    let relay = Relay::start(Arc::clone(&backend), "n1".parse().unwrap());
    let watcher = ConfigWatcher::start(&relay, "config", OPTIONS, decode);
    let directory = Directory::start(backend, &relay, "mesh/", OPTIONS, record());
    directory.set_upstream(Some(upstream()));
    sleep(Duration::from_secs(4)).await;
    store.deafen_watches();
    store.set_down(true);
    store.set("config", b"2");
    sleep(Duration::from_secs(5)).await;
    store.set_down(false);
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(watcher.current().as_deref(), Some(&2));
}

/// Guards against a watch on a connection that has gone silent without any other sign: the version
/// that was written meanwhile came into force only after the 27 s of a long watch.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_restarted_within_seconds() {
    let store = Memory::default();
    store.set("config", b"1");
    let watcher = start_watcher(&store);
    sleep(Duration::from_secs(3)).await;
    store.deafen_watches();
    store.set("config", b"2");
    sleep(Duration::from_secs(6)).await;
    assert_eq!(watcher.current().as_deref(), Some(&2));
}

fn record() -> Record {
    Record::new(
        "n1".parse().unwrap(),
        "127.0.0.1:8081".parse().unwrap(),
        "north".parse().unwrap(),
        "north-a".parse().unwrap(),
        Incarnation::new(1),
    )
}

fn upstream() -> Upstream {
    Upstream {
        service: "renewals".parse().unwrap(),
        slots: size::Slots::new(12),
        build: None,
        state: State::Ready,
        start: UpstreamStart {
            instance: "i-1".to_owned(),
            started: Timestamp::new(7),
            address: None,
        },
    }
}

/// Guards against versions that are ignored after the store came back from a copy, because their revisions
/// had been given out before: fewer, as many and more of them than the copy had lost.
#[tokio::test(start_paused = true)]
async fn versions_written_after_a_restore_of_the_store_are_in_force_in_time() {
    for (outage_ms, lost, written) in [(0, 3, 1), (0, 3, 3), (50, 1, 4), (2000, 4, 1), (2000, 1, 6)]
    {
        let case = format!("{outage_ms} ms, {lost} lost, {written} written");
        let store = Memory::default();
        let watcher = start_watcher(&store);
        store.set("config", b"10");
        sleep(Duration::from_secs(5)).await;
        let backup = store.back_up();
        for version in 11..11 + lost {
            store.set("config", version.to_string().as_bytes());
            sleep(Duration::from_millis(2500)).await;
        }
        store.set_down(true);
        store.restore(backup);
        sleep(Duration::from_millis(outage_ms)).await;
        store.set_down(false);
        let newest = 20 + written;
        for version in 21..=newest {
            store.set("config", version.to_string().as_bytes());
        }
        sleep(Duration::from_secs(4)).await;
        assert_eq!(watcher.current().as_deref(), Some(&newest), "{case}");
        store.set("config", b"40");
        sleep(Duration::from_millis(2500)).await;
        assert_eq!(watcher.current().as_deref(), Some(&40), "{case}, later");
    }
}

/// Guards against an older version in force after the store came back from a copy that has it.
#[tokio::test(start_paused = true)]
async fn a_restore_of_the_store_brings_no_older_version_back() {
    let store = Memory::default();
    let watcher = start_watcher(&store);
    store.set("config", b"10");
    sleep(Duration::from_secs(5)).await;
    let backup = store.back_up();
    store.set("config", b"11");
    sleep(Duration::from_millis(2500)).await;
    store.restore(backup);
    for _ in 0..50 {
        sleep(Duration::from_millis(100)).await;
        assert_eq!(watcher.current().as_deref(), Some(&11));
    }
}
