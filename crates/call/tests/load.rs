//! Concurrent calls: slots, queue, deadlines, drain, announcements and complete answers.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bundle::Bundle;
use call::{Answer, Request};
use futures::future::join_all;
use schema::standin::{Behaviour as Script, ServiceTime, UpstreamSettings};
use support::{
    Behaviour, Link, Node, Relay, TestMesh, Upstream, announcement, renewal, service, status,
    summary,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use types::{Deadline, Outcome, Timestamp, Version, size};

/// Sends calls concurrently and returns their answers.
async fn send_all(node: &Node, requests: Vec<Request>) -> Vec<Answer> {
    let calls = requests.into_iter().map(|request| {
        let caller = node.caller.clone();
        tokio::spawn(async move { caller.call(request).await })
    });
    let answers = join_all(calls).await;
    answers.into_iter().map(Result::unwrap).collect()
}

fn renewals(count: usize) -> Vec<Request> {
    (0..count).map(|n| renewal(&format!("r{n}"))).collect()
}

/// Guards against more runs than slots, and against a refused call that ran.
#[tokio::test]
async fn slots_and_queue_are_never_exceeded() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Slow(Duration::from_millis(50))).await;
    let _target = mesh.target("b", upstream.address()).await;
    let caller = mesh.node("a", None).await;
    // The queue accepts its full length once the service time is known.
    let first = caller.caller.call(renewal("first")).await;
    assert_eq!(summary(&first), "ran none 200");
    drop(first);
    let mut summaries: BTreeMap<String, usize> = BTreeMap::new();
    for answer in send_all(&caller, renewals(40)).await {
        *summaries.entry(summary(&answer)).or_default() += 1;
        let runs = upstream.runs(answer.request.as_str());
        assert_eq!(
            runs,
            usize::from(answer.outcome == Outcome::Ran),
            "{}",
            answer.reason
        );
        if answer.outcome == Outcome::NotRun {
            assert_eq!(answer.reason, "queue full");
        }
    }
    assert!(
        upstream.max_running() <= 4,
        "{} at once",
        upstream.max_running()
    );
    // At least the slots of a cold target and the queue must have been used.
    let ran = summaries["ran none 200"];
    let refused = summaries["not-run service:renewals 503"];
    assert!(ran >= 2 + 8 && ran + refused == 40, "{summaries:?}");
}

/// Guards against losing a slot that is granted to a call at the moment when its caller
/// disconnects.
#[tokio::test]
async fn slot_granted_to_a_caller_that_hung_up_is_not_lost() {
    let mut config = service();
    (config.slots, config.connections) = (size::Slots::new(1), size::Connections::new(4));
    let mesh = TestMesh::new(config);
    // The first chunk is read before the answer is returned, so one chunk would free the slot.
    let upstream = Upstream::start(Behaviour::Echo(1_000_000)).await;
    let target = mesh.target("b", upstream.address()).await;
    let mut narrow = announcement(upstream.address());
    narrow.slots = size::Slots::new(1);
    target.target.announce(narrow);
    for round in 0..20 {
        // The slot is in use until the body has been read or dropped.
        let running = target.caller.call(status("running")).await;
        assert_eq!(summary(&running), "ran none 200", "round {round}");
        let caller = target.caller.clone();
        let waiting = tokio::spawn(async move { caller.call(status("waiting")).await });
        while target.target.load().unwrap().queued == 0 {
            tokio::task::yield_now().await;
        }
        // Both happen before the waiting task runs again.
        drop(running);
        waiting.abort();
        assert!(waiting.await.is_err());
        assert_eq!(target.target.load().unwrap().in_use, 0, "round {round}");
    }
}

/// Guards against queueing a call whose deadline cannot be met.
#[tokio::test]
async fn call_with_too_short_a_deadline_is_refused_before_hand_over() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Slow(Duration::from_millis(400))).await;
    let target = mesh.target("b", upstream.address()).await;
    assert_eq!(
        target.caller.call(status("first")).await.outcome,
        Outcome::Ran
    );
    let caller = target.caller.clone();
    let busy = tokio::spawn(join_all((0..6).map(move |n| {
        let caller = caller.clone();
        async move {
            let answer = caller.call(renewal(&format!("r{n}"))).await;
            let result = format!("{}: {}", summary(&answer), answer.reason);
            // The slot is in use until the body has been read.
            answer.body.read_to_end().await.unwrap();
            result
        }
    })));
    upstream.wait_run("r0").await;
    let start = Instant::now();
    let request = renewal("late").with_deadline(Deadline::after_ms(100));
    let answer = target.caller.call(request).await;
    assert_eq!(summary(&answer), "not-run service:renewals 503");
    assert_eq!(answer.reason, "deadline cannot be met");
    assert!(
        start.elapsed() < Duration::from_millis(100),
        "was not refused immediately"
    );
    for result in busy.await.unwrap() {
        assert_eq!(result, "ran none 200: answered");
    }
    assert_eq!(upstream.runs("late"), 0);
}

/// Guards against more runs than slots when an upstream announces fewer slots while calls are
/// running.
#[tokio::test]
async fn changed_slots_hold_for_calls_that_run_already() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Slow(Duration::from_millis(150))).await;
    let target = mesh.target("b", upstream.address()).await;
    let caller = target.caller.clone();
    let first =
        tokio::spawn(async move { caller.call(renewal("r0")).await.body.read_to_end().await });
    upstream.wait_run("r0").await;
    let mut narrow = announcement(upstream.address());
    narrow.slots = size::Slots::new(1);
    target.target.announce(narrow);
    let second = target.caller.call(renewal("r1")).await;
    assert_eq!(summary(&second), "ran none 200", "{}", second.reason);
    first.await.unwrap().unwrap();
    assert_eq!(upstream.max_running(), 1);
}

/// Guards against a drain that aborts a running call or accepts a new one.
#[tokio::test]
async fn drain_finishes_what_runs_and_refuses_the_rest() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Slow(Duration::from_millis(300))).await;
    let target = mesh.target("b", upstream.address()).await;
    let caller = mesh.node("a", None).await;
    let running = tokio::spawn({
        let caller = caller.caller.clone();
        async move { join_all((0..6).map(|n| caller.call(renewal(&format!("r{n}"))))).await }
    });
    upstream.wait_run("r0").await;
    let draining = tokio::spawn({
        let target = target.target.clone();
        async move { target.drain(Deadline::after_ms(5_000)).await }
    });
    assert_eq!(draining.await.unwrap(), 0);
    assert_eq!(target.target.load().unwrap().in_use, 0, "drained too early");
    let late = caller.caller.call(renewal("late")).await;
    assert_eq!(summary(&late), "not-run mesh 503");
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    for answer in running.await.unwrap() {
        let runs = upstream.runs(answer.request.as_str());
        assert_eq!(runs, usize::from(answer.outcome == Outcome::Ran));
        *reasons.entry(answer.reason).or_default() += 1;
    }
    // A cold target runs 2 calls concurrently; the others were queued when the drain began.
    assert!(
        reasons["answered"] >= 2 && reasons["draining"] >= 2,
        "{reasons:?}"
    );
    assert_eq!(upstream.runs("late"), 0);
}

/// Guards against a call that sees two configuration versions.
#[tokio::test]
async fn call_keeps_the_version_it_began_with() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Slow(Duration::from_millis(200))).await;
    let _target = mesh.target("b", upstream.address()).await;
    let node = mesh.node("a", None).await;
    let caller = node.caller.clone();
    let running = tokio::spawn(async move { caller.call(status("r1")).await });
    upstream.wait_run("r1").await;
    let empty = Bundle::new(
        Version::new(8),
        Timestamp::new(2),
        [] as [bundle::Service; 0],
    )
    .unwrap();
    mesh.bundle.store(Arc::new(empty));
    let (old, new) = (running.await.unwrap(), node.caller.call(status("r2")).await);
    assert_eq!(
        (summary(&old).as_str(), old.version),
        ("ran none 200", Version::new(7))
    );
    assert_eq!(
        (summary(&new).as_str(), new.version),
        ("not-run caller 404", Version::new(8))
    );
}

/// Guards against sending calls to an upstream whose last announcement is more than 3 s old.
#[tokio::test]
async fn announcement_that_is_not_renewed_lapses() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Echo(10)).await;
    let target = mesh.target("b", upstream.address()).await;
    let mut announced = target.target.watch();
    assert!(announced.borrow_and_update().is_some());
    sleep(Duration::from_secs(1)).await;
    target.target.announce(announcement(upstream.address()));
    // It was renewed after 1 s, so it is valid at 2.5 s and has expired at 4 s.
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        target.caller.call(renewal("r1")).await.outcome,
        Outcome::Ran
    );
    sleep(Duration::from_millis(1_500)).await;
    let answer = target.caller.call(renewal("r2")).await;
    assert_eq!(summary(&answer), "not-run service:renewals 503");
    assert_eq!(upstream.runs("r2"), 0);
    let gone = timeout(Duration::from_secs(2), announced.wait_for(Option::is_none)).await;
    assert!(gone.is_ok(), "the upstream is still announced to others");
}

/// Guards against answers that reach the wrong caller or lose bytes when many large ones share one
/// connection and some of them are not read.
#[tokio::test]
async fn large_answers_on_one_connection_reach_their_own_callers() {
    let mut config = service();
    (config.slots, config.connections) = (size::Slots::new(64), size::Connections::new(80));
    let mesh = TestMesh::new(config);
    let upstream = Upstream::start(Behaviour::Echo(3_000_000)).await;
    let target = mesh.node("b", None).await;
    let relay = Relay::start(target.address).await;
    let mut wide = announcement(upstream.address());
    (wide.slots, wide.connections) = (size::Slots::new(64), size::Connections::new(80));
    target.target.announce(wide);
    mesh.add("b", relay.address);
    let caller = mesh.node("a", None).await;
    // These are never read, so they fill their windows and occupy slots.
    let stalled = send_all(&caller, (0..8).map(|n| status(&format!("s{n}"))).collect()).await;
    let calls = (0..24).map(|n| {
        let caller = caller.caller.clone();
        let id = format!("r{n}");
        let body = vec![b'a' + n; 200_000];
        let request = renewal(&id)
            .with_body(body.clone())
            .with_deadline(Deadline::after_ms(20_000));
        tokio::spawn(async move {
            let answer = caller.call(request).await;
            assert_eq!(summary(&answer), "ran none 200", "{}", answer.reason);
            let content = answer.body.read_to_end().await.unwrap();
            let mut expected = format!("{id}\n").into_bytes();
            expected.extend_from_slice(&body);
            let rest = 3_000_000 - expected.len();
            expected.extend(id.bytes().cycle().take(rest));
            assert!(content == expected, "{id}: wrong or missing bytes");
        })
    });
    for call in join_all(calls).await {
        call.unwrap();
    }
    assert_eq!(caller.caller.connection_count(), 1);
    drop(stalled);
}

/// Guards against a node that keeps sending calls over a link that has become silent.
#[tokio::test]
async fn silent_link_is_replaced_by_a_new_connection() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Echo(10)).await;
    let target = mesh.node("b", None).await;
    target.target.announce(announcement(upstream.address()));
    let relay = Relay::start(target.address).await;
    mesh.add("b", relay.address);
    let caller = mesh.node("a", None).await;
    assert_eq!(
        caller.caller.call(renewal("r1")).await.outcome,
        Outcome::Ran
    );
    relay.set(Link::Silent);
    sleep(Duration::from_millis(1_100)).await;
    let request = renewal("r2").with_deadline(Deadline::after_ms(30_000));
    let answer = timeout(Duration::from_secs(4), caller.caller.call(request))
        .await
        .unwrap();
    assert_eq!(summary(&answer), "not-run mesh 503", "{}", answer.reason);
    relay.set(Link::Open);
    let answer = caller.caller.call(renewal("r3")).await;
    assert_eq!(summary(&answer), "ran none 200", "{}", answer.reason);
    assert_eq!(upstream.runs("r2"), 0);
}

/// Guards against several calls that fail one after the other on idle connections that have become
/// silent.
#[tokio::test]
async fn silent_connections_to_the_upstream_cost_one_call() {
    let mesh = TestMesh::new(service());
    let settings = UpstreamSettings::default();
    let upstream = standin::upstream::Upstream::start_local(settings)
        .await
        .unwrap();
    let target = mesh.target("b", upstream.address()).await;
    let slow = ServiceTime {
        us: 50_000,
        weight: 1,
    };
    let behaviour = Script {
        service_times: vec![slow],
        ..Script::default()
    };
    upstream.set_behaviour(behaviour.clone());
    let requests = (0..2).map(|n| status(&format!("first-{n}"))).collect();
    for answer in send_all(&target, requests).await {
        assert_eq!(summary(&answer), "ran none 200", "{}", answer.reason);
        answer.body.read_to_end().await.unwrap();
    }
    // The connections become idle once the node has received the ends of their answers.
    sleep(Duration::from_millis(50)).await;
    let silent = Script {
        silence_connections: true,
        ..behaviour
    };
    upstream.set_behaviour(silent);
    for (id, expected) in [
        ("r1", "unknown service:renewals 504"),
        ("r2", "ran none 200"),
    ] {
        let request = status(id).with_deadline(Deadline::after_ms(500));
        let answer = target.caller.call(request).await;
        assert_eq!(summary(&answer), expected, "{id}: {}", answer.reason);
    }
}

/// Listener whose accept queue is full, so that the operating system answers no further connection.
/// The connections that fill it are returned with it.
async fn start_unreachable() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut connections = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(connection) = timeout(limit, TcpStream::connect(address)).await {
        connections.push(connection.unwrap());
        assert!(connections.len() < 100, "the accept queue is never full");
    }
    (listener, connections)
}

/// Guards against a call that misses its objective because a node that is cut off or without power
/// does not refuse the connection.
#[tokio::test]
async fn unreachable_target_costs_less_than_the_objective() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Echo(10)).await;
    let _target = mesh.target("b", upstream.address()).await;
    mesh.candidates.lock().unwrap()[0].region = "south".parse().unwrap();
    let (listener, _connections) = start_unreachable().await;
    mesh.add("cut-off", listener.local_addr().unwrap());
    let caller = mesh.node("a", None).await;
    let start = Instant::now();
    let answer = caller.caller.call(renewal("r1")).await;
    assert_eq!(summary(&answer), "ran none 200", "{}", answer.reason);
    // The tightest objective of the users' deployments is 400 ms for the caller's own region, the
    // usual ones are 500 to 1,200 ms.
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(600), "{elapsed:?}");
}
