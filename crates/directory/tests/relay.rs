//! Fleets that follow the store through a few of their nodes, over real sockets.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use directory::{Backend, ConfigWatcher, Directory, Relay, Upstream, UpstreamStart, WatchOptions};
use member::{Record, State};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::Memory;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use types::{Incarnation, Timestamp, Version, size};

/// Nodes of a fleet, enough for three levels below the store.
const NODES: usize = 60;

/// Time within which a version must be in force on every node that can reach the store or another
/// node.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2500);

const OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_millis(300),
    max_wait: Duration::from_secs(2),
    max_reader_wait: Duration::from_millis(1500),
    // Longer than a version may take: only a reader that does not wait for it is in time.
    first_watch_delay: Duration::from_millis(3500),
    relist_after_start: false,
    reread_on_change: true,
    list_stale_first: false,
    check_interval: None,
};

/// Options like those of a node on the users' platform.
const START_OPTIONS: WatchOptions = WatchOptions {
    first_watch_delay: Duration::from_secs(2),
    relist_after_start: true,
    reread_on_change: false,
    ..OPTIONS
};

struct Node {
    name: String,
    relay: Relay,
    config: ConfigWatcher<u64>,
    directory: Directory,
    cut: watch::Sender<bool>,
    _listening: wire::Listener,
}

/// Versions from which the configuration is a large one without anything in common with the one
/// before.
const LARGE_FROM: u64 = 100;

/// Versions from which the configuration is one that cannot be compressed enough to be sent.
const RANDOM_FROM: u64 = 200;

/// Configurations have the size of real ones, so that they travel as differences.
fn config_text(version: u64) -> String {
    let (kind, count) = match version {
        ..LARGE_FROM => ("a", 200),
        LARGE_FROM..RANDOM_FROM => ("large", 5000),
        RANDOM_FROM.. => ("random", 2000),
    };
    let mut random = StdRng::seed_from_u64(RANDOM_FROM);
    let mut route = |route| {
        let name = match kind {
            "random" => random.random::<u128>().to_string(),
            kind => format!("{kind}/{route}"),
        };
        format!("{{\"route\":{route},\"path\":\"/{name}/\"}}")
    };
    let routes: Vec<String> = (0..count).chain([version]).map(&mut route).collect();
    format!("{version} [{}]", routes.join(","))
}

fn decode(bytes: &[u8]) -> Result<(Version, u64), String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let number = text.split(' ').next().unwrap_or_default();
    let number: u64 = number.parse().map_err(|_| "no number".to_owned())?;
    let expected = config_text(number);
    assert_eq!(text, expected, "a version must arrive whole");
    Ok((Version::new(number), number))
}

async fn start_node(store: &Memory, name: &str, options: WatchOptions) -> Node {
    let cut = watch::Sender::new(false);
    let backend = store.backend_with_cut(cut.subscribe());
    start_node_with(backend, cut, name, options).await
}

async fn start_node_with(
    backend: Arc<Backend>,
    cut: watch::Sender<bool>,
    name: &str,
    options: WatchOptions,
) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let record = Record::new(
        name.parse().unwrap(),
        address,
        "north".parse().unwrap(),
        "north-a".parse().unwrap(),
        Incarnation::new(1),
    );
    let relay = Relay::start(Arc::clone(&backend), record.id.clone());
    let config = ConfigWatcher::start(&relay, "config", options, decode);
    let directory = Directory::start(backend, &relay, "mesh/", options, record);
    directory.set_upstream(Some(Upstream {
        service: "renewals".parse().unwrap(),
        slots: size::Slots::new(12),
        build: None,
        state: State::Ready,
        start: UpstreamStart {
            instance: format!("i-{name}"),
            started: Timestamp::new(7),
            address: Some(address),
        },
    }));
    let serving = relay.clone();
    let listening = wire::Listener::start(listener, 100, move |_, stream| {
        let serving = serving.clone();
        async move { serving.serve(stream).await }
    });
    Node {
        name: name.to_owned(),
        relay,
        config,
        directory,
        cut,
        _listening: listening,
    }
}

async fn start_fleet(store: &Memory) -> Vec<Node> {
    start_fleet_with(store, OPTIONS).await
}

async fn start_fleet_with(store: &Memory, options: WatchOptions) -> Vec<Node> {
    store.set("config", config_text(1).as_bytes());
    let mut nodes = Vec::new();
    for index in 0..NODES {
        nodes.push(start_node(store, &format!("n{index}"), options).await);
    }
    let is_settled = || {
        let following = nodes.iter().filter(|node| node.relay.current_parents() > 0);
        let known = nodes.iter().map(|node| node.directory.node_count());
        following.count() == NODES - 3 && known.min() == Some(NODES)
    };
    wait(
        Duration::from_secs(10),
        "every node follows others",
        is_settled,
    )
    .await;
    nodes
}

async fn wait<F>(limit: Duration, what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let end = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn publish(store: &Memory, nodes: &[Node], version: u64) {
    store.set("config", config_text(version).as_bytes());
    let is_in_force = || {
        let mut nodes = nodes.iter();
        nodes.all(|node| node.config.current().as_deref() == Some(&version))
    };
    wait(APPLY_TIMEOUT, &format!("version {version}"), is_in_force).await;
}

fn calls(store: &Memory) -> usize {
    store.calls("list") + store.calls("watch")
}

/// Removes the nodes that read the store.
fn split_readers(nodes: Vec<Node>) -> (Vec<Node>, Vec<Node>) {
    nodes
        .into_iter()
        .partition(|node| node.relay.current_parents() == 0)
}

/// Guards against calls to the store that grow with the square of the fleet: each node made three
/// calls for each version, and one for each change of an entry.
#[tokio::test]
async fn a_fleet_reads_the_store_through_few_nodes() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    sleep(Duration::from_secs(1)).await;
    let before = calls(&store);
    for version in 2..5 {
        publish(&store, &nodes, version).await;
        sleep(Duration::from_millis(800)).await;
    }
    let calls = calls(&store) - before;
    // The share of the calls that the users' largest deployment is meant to keep.
    let direct = 3 * 3 * NODES;
    assert!(
        calls * 100 < direct * 15,
        "{calls} calls instead of {direct}"
    );
}

/// Guards against a version that is late on the nodes below a reader that ends, falls silent
/// towards the store, or is followed by all others at once.
#[tokio::test]
async fn versions_arrive_in_time_without_some_readers() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let (mut readers, others) = split_readers(nodes);
    readers[0].cut.send_replace(true);
    publish(&store, &others, 2).await;
    drop(readers.pop());
    publish(&store, &others, 3).await;
    drop(readers.pop());
    publish(&store, &others, 4).await;
    drop(readers);
    publish(&store, &others, 5).await;
}

/// Guards against nodes that stop following because all nodes above them are cut off from the
/// store without their connections failing.
#[tokio::test]
async fn versions_arrive_in_time_when_all_readers_are_cut_off() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let (readers, others) = split_readers(nodes);
    for reader in &readers {
        reader.cut.send_replace(true);
    }
    // Longer than the wait of a watch, which is the time until a reader notices.
    let noticed = Duration::from_millis(1500 + 800);
    store.set("config", config_text(2).as_bytes());
    let is_in_force = || {
        let mut nodes = others.iter();
        nodes.all(|node| node.config.current().as_deref() == Some(&2))
    };
    wait(noticed + APPLY_TIMEOUT, "version 2", is_in_force).await;
    for reader in &readers {
        reader.cut.send_replace(false);
    }
    publish(&store, &others, 3).await;
    wait(Duration::from_secs(10), "nodes follow others again", || {
        others.iter().all(|node| node.relay.current_parents() > 0)
    })
    .await;
}

/// Guards against a version that a whole fleet learns of late, because its answer was lost at all
/// readers in a silence of the store that no other call has noticed.
#[tokio::test]
async fn versions_arrive_in_time_after_a_short_silence() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    for (version, silence_ms) in [(2, 200), (3, 700)] {
        store.set_silent(true);
        store.set("config", config_text(version).as_bytes());
        sleep(Duration::from_millis(silence_ms)).await;
        store.set_silent(false);
        let is_in_force = || {
            let mut nodes = nodes.iter();
            nodes.all(|node| node.config.current().as_deref() == Some(&version))
        };
        // The time after a disruption from which the bounds hold again.
        let what = format!("version {version}");
        wait(Duration::from_secs(4), &what, is_in_force).await;
    }
}

/// Guards against a node that is cut off from the store and no longer follows, although other nodes
/// can reach it.
#[tokio::test]
async fn a_node_that_is_cut_off_from_the_store_follows_through_others() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    for node in nodes.iter().filter(|node| node.relay.current_parents() > 0) {
        node.cut.send_replace(true);
    }
    publish(&store, &nodes, 2).await;
}

/// Guards against calls of all nodes during an outage of the store, and against a version that is
/// late after it.
#[tokio::test]
async fn an_outage_of_the_store_is_survived() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    store.set_down(true);
    store.set("config", config_text(2).as_bytes());
    store.forget_history();
    let before = calls(&store);
    sleep(Duration::from_secs(4)).await;
    let calls = calls(&store) - before;
    assert!(
        calls < NODES * 2 * 4,
        "{calls} calls during an outage of 4 s"
    );
    store.set_down(false);
    publish(&store, &nodes, 3).await;
}

/// Guards against a large configuration that keeps the links of thin nodes busy for seconds: each
/// node sent it to all of its followers, whose connections fell silent meanwhile.
#[tokio::test]
async fn a_large_value_is_read_from_the_store() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    sleep(Duration::from_secs(1)).await;
    let before = store.calls("list");
    publish(&store, &nodes, RANDOM_FROM).await;
    sleep(Duration::from_secs(1)).await;
    let reads = store.calls("list") - before;
    assert!((NODES..NODES * 2).contains(&reads), "{reads} reads");
    // The next version is a small difference again.
    let before = store.calls("list");
    publish(&store, &nodes, RANDOM_FROM + 1).await;
    sleep(Duration::from_secs(1)).await;
    let reads = store.calls("list") - before;
    assert!(reads < NODES / 2, "{reads} reads");
}

/// Guards against a node that misses a large configuration because it is cut off from the store.
#[tokio::test]
async fn a_large_value_reaches_a_node_that_is_cut_off_from_the_store() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let follower = nodes.iter().find(|node| node.relay.current_parents() > 0);
    follower.unwrap().cut.send_replace(true);
    publish(&store, &nodes, RANDOM_FROM).await;
}

/// Guards against a call of each node to the store for a large configuration that is small when it is
/// compressed.
#[tokio::test]
async fn a_large_value_that_compresses_well_is_sent() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    sleep(Duration::from_secs(1)).await;
    let before = store.calls("list");
    publish(&store, &nodes, LARGE_FROM).await;
    sleep(Duration::from_secs(1)).await;
    let reads = store.calls("list") - before;
    assert!(reads < NODES / 2, "{reads} reads");
}

/// Guards against nodes that all read the store soon after a common start, because the readers are
/// not current until their first watch ends, and against entries that are written twice.
#[tokio::test]
async fn a_common_start_costs_few_calls() {
    let store = Memory::default();
    let nodes = start_fleet_with(&store, START_OPTIONS).await;
    let lists = store.calls("list");
    assert_eq!(lists, 2 * NODES, "one listing of each table");
    assert_eq!((store.calls("grant"), store.calls("put")), (NODES, NODES));
    let watches = store.calls("watch");
    assert!(watches < NODES, "{watches} watches");
    drop(nodes);
}

/// Guards against a reader that has just started and calls itself current before it watches the
/// store: it answered with an old version for four seconds, and its followers relied on it.
#[tokio::test]
async fn a_reader_that_has_just_started_follows_at_once() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let lowest = nodes.iter().find(|node| node.relay.current_parents() == 0);
    let name = lowest.unwrap().name.clone();
    let mut nodes: Vec<Node> = nodes.into_iter().filter(|node| node.name != name).collect();
    let restarted = start_node(&store, &name, OPTIONS).await;
    wait(APPLY_TIMEOUT, "restarted", || restarted.config.is_ready()).await;
    nodes.push(restarted);
    publish(&store, &nodes, 2).await;
}

/// Guards against a new node that follows nobody for seconds, because its configuration arrived after
/// the entries: nothing woke the tasks that connect to other nodes.
#[tokio::test]
async fn a_node_whose_configuration_arrives_last_follows_at_once() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let mut backend = Arc::into_inner(store.backend()).unwrap();
    let list = backend.list;
    backend.list = Box::new(move |request| {
        let is_slow = request.prefix == "config";
        let listing = list(request);
        Box::pin(async move {
            if is_slow {
                sleep(Duration::from_millis(400)).await;
            }
            listing.await
        })
    });
    let cut = watch::Sender::new(false);
    let added = start_node_with(Arc::new(backend), cut, "n-added", OPTIONS).await;
    let is_following = || added.relay.current_parents() > 0;
    wait(Duration::from_millis(1500), "follows", is_following).await;
    drop(nodes);
}

/// Guards against nodes that follow others and ignore the versions after the store came back from a copy.
#[tokio::test]
async fn versions_arrive_in_time_after_a_restore_of_the_store() {
    let store = Memory::default();
    let nodes = start_fleet(&store).await;
    let backup = store.back_up();
    for version in 2..6 {
        publish(&store, &nodes, version).await;
    }
    store.set_down(true);
    store.restore(backup);
    sleep(Duration::from_secs(2)).await;
    store.set_down(false);
    store.set("config", config_text(5).as_bytes());
    sleep(Duration::from_secs(4)).await;
    publish(&store, &nodes, 6).await;
    publish(&store, &nodes, 7).await;
    let known = nodes.iter().map(|node| node.directory.node_count());
    assert_eq!(known.min(), Some(NODES));
}
