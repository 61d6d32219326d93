//! Departures of upstreams that outlive the process of the node that has acknowledged them.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::Memory;
use support::{
    Process, TIMEOUT, Upstream, send, start_upstream, start_upstream_with, status, wait_status,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Nodes of a fleet.
const NODES: usize = 5;

/// Time between the start of a process and the time at which its node is in touch with the others.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// How a store fails.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// All calls are refused.
    Refusing,
    /// No call is answered.
    Silent,
}

impl Outage {
    fn set(self, store: &Memory, is_active: bool) {
        match self {
            Self::Refusing => store.set_down(is_active),
            Self::Silent => store.set_silent(is_active),
        }
    }
}

/// Fleet whose nodes all have an upstream.
struct Fleet {
    store: Memory,
    processes: Vec<Process>,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    async fn start() -> Self {
        let store = Memory::default();
        store.set("config", b"3");
        let (mut processes, mut upstreams) = (Vec::new(), Vec::new());
        for index in 0..NODES {
            processes.push(Process::start(&store, &format!("n{index}")).await);
            upstreams.push(start_upstream());
        }
        let fleet = Self {
            store,
            processes,
            upstreams,
        };
        fleet.announce(0, 1).await;
        fleet.wait_known().await;
        fleet
    }

    /// Lets the upstreams from `first` on announce themselves, since announcements expire.
    async fn announce(&self, first: usize, sequence: u32) {
        let nodes = self.processes.iter().zip(&self.upstreams).enumerate();
        for (index, (process, upstream)) in nodes.skip(first) {
            wait_status(process.node.ready, "GET /", "200").await;
            let instance = format!("i-{index}");
            upstream
                .send_heartbeat(&process.node, &instance, sequence, "ready")
                .await;
        }
    }

    /// Delivers a late heartbeat of each of the first `count` upstreams at the same time.
    async fn announce_late(&self, count: usize) {
        let nodes = self.processes[..count]
            .iter()
            .zip(&self.upstreams)
            .enumerate();
        let heartbeats = nodes.map(|(index, (process, upstream))| async move {
            let instance = format!("i-{index}");
            upstream
                .send_heartbeat(&process.node, &instance, 5, "ready")
                .await;
        });
        futures::future::join_all(heartbeats).await;
    }

    /// Waits until all nodes know each other.
    async fn wait_known(&self) {
        let known = format!("dandelionseam_nodes {NODES}");
        for process in &self.processes {
            let polling = async {
                while !send(process.node.metrics, "GET /metrics")
                    .await
                    .contains(&known)
                {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            timeout(TIMEOUT, polling).await.unwrap();
        }
    }

    /// Sends requests through all nodes but the first `count`, and returns how many the upstreams of
    /// these get.
    async fn count_requests(&self, count: usize, period: Duration) -> usize {
        let total = || {
            let upstreams = self.upstreams[..count].iter();
            let counts = upstreams.map(|upstream| upstream.request_count.load(Ordering::SeqCst));
            counts.sum::<usize>()
        };
        let before = total();
        let end = Instant::now() + period;
        while Instant::now() < end {
            for process in &self.processes[count..] {
                send(process.node.callers, "GET /status/1").await;
            }
            sleep(Duration::from_millis(20)).await;
        }
        total() - before
    }
}

/// Guards against a departure that is acknowledged during an outage of the store and forgotten when
/// the process that acknowledged it is killed, once or twice: the stored entry still names the
/// upstream, and so does a heartbeat that arrives late.
#[tokio::test(flavor = "multi_thread")]
async fn departures_acknowledged_during_an_outage_outlive_the_process() {
    let draining = "POST /heartbeat/i-0/7/9/draining/127.0.0.1:1";
    let mut cases = JoinSet::new();
    for (outage, message, kills, is_late_heartbeat) in [
        (Outage::Refusing, "POST /leave/i-0/7", 1, false),
        (Outage::Refusing, "POST /leave/i-0", 1, true),
        (Outage::Refusing, draining, 2, true),
        (Outage::Silent, "POST /leave/i-0/7", 2, true),
        (Outage::Silent, draining, 1, false),
    ] {
        cases.spawn(async move {
            let case = format!("{outage:?}, {message}, {kills} kills, late: {is_late_heartbeat}");
            let requests = play_departure(outage, message, kills, is_late_heartbeat).await;
            assert_eq!(requests, 0, "{case}");
        });
    }
    cases.join_all().await;
}

/// Plays a departure during an outage and the kills of the node that has acknowledged it. Returns the
/// number of requests that the upstream gets afterwards.
async fn play_departure(
    outage: Outage,
    message: &str,
    kills: usize,
    is_late_heartbeat: bool,
) -> usize {
    let mut fleet = Fleet::start().await;
    let served = fleet.count_requests(1, Duration::from_millis(300)).await;
    assert!(served > 0, "the upstream is not in use");
    outage.set(&fleet.store, true);
    let announcements = fleet.processes[0].node.announcements;
    let acknowledgement = send(announcements, message).await;
    assert_eq!(status(&acknowledgement), "200", "{acknowledgement}");
    for _ in 0..kills {
        fleet.processes[0].kill().await;
        fleet.processes[0].restart().await;
        sleep(Duration::from_millis(300)).await;
    }
    outage.set(&fleet.store, false);
    if is_late_heartbeat {
        let node = &fleet.processes[0].node;
        wait_status(node.ready, "GET /", "200").await;
        let heartbeat = fleet.upstreams[0].send_heartbeat(node, "i-0", 5, "ready");
        heartbeat.await;
    }
    sleep(STABLE_WINDOW).await;
    fleet.announce(1, 6).await;
    fleet.count_requests(1, Duration::from_secs(1)).await
}

/// Guards against a departure that is acknowledged during an outage of the store and forgotten when all
/// processes are killed, so that no node keeps it: the target got calls from its stored entry, or from a
/// heartbeat that arrives late. The other upstreams must be in use again without further heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn departures_acknowledged_during_an_outage_outlive_all_processes() {
    let draining = "POST /heartbeat/i-0/7/9/draining/127.0.0.1:1";
    let mut cases = JoinSet::new();
    for (outage, message, after_restart_s, is_lapsed, is_late_heartbeat) in [
        (Outage::Refusing, "POST /leave/i-0/7", 0, false, false),
        (Outage::Refusing, "POST /leave/i-0/7", 6, false, false),
        (Outage::Refusing, "POST /leave/i-0", 0, true, true),
        (Outage::Refusing, draining, 1, false, true),
        (Outage::Silent, "POST /leave/i-0/7", 1, false, true),
        (Outage::Silent, draining, 0, true, true),
    ] {
        let loss = Loss {
            outage,
            after_restart: Duration::from_secs(after_restart_s),
            is_lapsed,
            is_late_heartbeat,
        };
        cases.spawn(async move {
            let requests = play_departure_before_a_loss(message, loss).await;
            (message, loss, requests)
        });
    }
    let mut results = cases.join_all().await;
    results.retain(|(_, _, requests)| *requests > 0);
    assert!(results.is_empty(), "{results:#?}");
}

/// Kill of all processes in an outage of the store.
#[derive(Clone, Copy, Debug)]
struct Loss {
    outage: Outage,
    /// Time for which the outage goes on after the processes have started again.
    after_restart: Duration,
    /// Whether the entries of all nodes are lost meanwhile.
    is_lapsed: bool,
    /// Whether a heartbeat arrives that was sent before the departure.
    is_late_heartbeat: bool,
}

/// Plays a departure during an outage and a kill of all processes. Returns the number of requests that the
/// upstream gets afterwards.
async fn play_departure_before_a_loss(message: &str, loss: Loss) -> usize {
    let mut fleet = Fleet::start().await;
    loss.outage.set(&fleet.store, true);
    fleet.upstreams[0].is_healthy.store(false, Ordering::SeqCst);
    let announcements = fleet.processes[0].node.announcements;
    let acknowledgement = send(announcements, message).await;
    assert_eq!(status(&acknowledgement), "200", "{acknowledgement}");
    for process in &mut fleet.processes {
        process.kill().await;
    }
    if loss.is_lapsed {
        fleet.store.revoke_all();
    }
    for process in &mut fleet.processes {
        process.restart().await;
    }
    sleep(loss.after_restart).await;
    loss.outage.set(&fleet.store, false);
    let node = &fleet.processes[0].node;
    wait_status(node.ready, "GET /", "200").await;
    if loss.is_late_heartbeat {
        let heartbeat = fleet.upstreams[0].send_heartbeat(node, "i-0", 5, "ready");
        heartbeat.await;
    }
    if loss.is_lapsed {
        fleet.announce(1, 6).await;
    }
    let requests = fleet.count_requests(1, Duration::from_secs(1)).await;
    let served: usize = fleet.upstreams[1..]
        .iter()
        .map(|upstream| upstream.request_count.load(Ordering::SeqCst))
        .sum();
    assert!(served > 0, "the other upstreams are not in use");
    requests
}

/// Guards against a heartbeat that was held up and is the first message to reach a new process: it made
/// a departed upstream current before the stored departure was restored. Which of the two comes first
/// is decided by the scheduler, so several nodes are killed.
#[tokio::test(flavor = "multi_thread")]
async fn late_heartbeats_do_not_undo_stored_departures() {
    const DEPARTED: usize = NODES - 1;
    let mut fleets = JoinSet::new();
    for _ in 0..3 {
        fleets.spawn(async {
            let mut fleet = Fleet::start().await;
            for (index, process) in fleet.processes[..DEPARTED].iter_mut().enumerate() {
                let leave = format!("POST /leave/i-{index}/7");
                let acknowledgement = send(process.node.announcements, &leave).await;
                assert_eq!(status(&acknowledgement), "200", "{acknowledgement}");
                process.kill().await;
            }
            fleet.store.set_down(true);
            for process in &mut fleet.processes[..DEPARTED] {
                process.restart().await;
            }
            let late_heartbeats = fleet.announce_late(DEPARTED);
            let recovery = async {
                sleep(Duration::from_millis(300)).await;
                fleet.store.set_down(false);
            };
            tokio::join!(late_heartbeats, recovery);
            sleep(STABLE_WINDOW).await;
            fleet.announce(DEPARTED, 6).await;
            fleet.count_requests(DEPARTED, Duration::from_secs(1)).await
        });
    }
    for requests in fleets.join_all().await {
        assert_eq!(requests, 0);
    }
}

/// Guards against calls to an upstream that has only told in an answer that it leaves, after a restart of
/// its node.
#[tokio::test]
async fn leaving_named_in_an_answer_outlives_the_process() {
    let store = Memory::default();
    store.set("config", b"3");
    let mut process = Process::start(&store, "n0").await;
    let upstream = start_upstream_with(&[("leaving", "1")]);
    upstream
        .send_heartbeat(&process.node, "i-1", 1, "ready")
        .await;
    wait_status(process.node.callers, "GET /status/1", "200").await;
    // The entry names the upstream as the current one and as the one that has departed.
    let mentions = || {
        let entry = store.get("mesh/n0").unwrap_or_default();
        entry.windows(3).filter(|bytes| *bytes == b"i-1").count()
    };
    timeout(TIMEOUT, async {
        while mentions() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
    })
    .await
    .unwrap();
    process.kill().await;
    process.restart().await;
    upstream
        .send_heartbeat(&process.node, "i-1", 2, "ready")
        .await;
    wait_status(process.node.ready, "GET /", "200").await;
    assert_eq!(
        status(&send(process.node.callers, "GET /status/2").await),
        "503"
    );
    assert_eq!(upstream.request_count.load(Ordering::SeqCst), 1);
}
