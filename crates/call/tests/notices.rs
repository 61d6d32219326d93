//! What upstreams tell about themselves in their answers.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use call::Announcement;
use futures::future::join_all;
use route::Stage;
use support::{Behaviour, Node, TestMesh, Upstream, announcement, service, status};
use tokio::task::JoinSet;
use tokio::time::sleep;
use types::Timestamp;

/// Time in which an upstream counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Guards against a burst at a target with a rate limit after a restart of the node beside it.
#[tokio::test]
async fn rate_limit_outlives_the_node_beside_the_target() {
    let mesh = TestMesh::new(service());
    let behaviour = Behaviour::Headers(SERVICE_TIME, "rate-limit: 1\r\n");
    let upstream = Upstream::start(behaviour).await;
    let target = mesh.target("b", upstream.address()).await;
    let caller = mesh.node("a", None).await.caller.clone();
    let first = caller.call(status("first")).await;
    assert_eq!(first.status, 200);
    first.body.read_to_end().await.unwrap();
    mesh.remove("b");
    drop(target);
    let _restarted = mesh.target("b", upstream.address()).await;
    let calls = (0..8).map(|number| {
        let (caller, id) = (caller.clone(), format!("r{number}"));
        async move { caller.call(status(&id)).await.status }
    });
    // The calls wait for the limit or are refused; only those that it allows reach the target.
    let _ = tokio::time::timeout(SERVICE_TIME, join_all(calls)).await;
    assert!(upstream.total_runs() <= 2, "{} runs", upstream.total_runs());
}

/// Guards against more calls than the limit allows, from several nodes together, while the node beside the
/// target restarts again and again.
#[tokio::test]
async fn rate_limit_holds_for_all_nodes_over_restarts() {
    let mesh = TestMesh::new(service());
    let behaviour = Behaviour::Headers(SERVICE_TIME, "rate-limit: 2\r\n");
    let upstream = Upstream::start(behaviour).await;
    let mut target = mesh.target("b", upstream.address()).await;
    let mut nodes = Vec::new();
    for name in ["a", "c", "d"] {
        nodes.push(mesh.node(name, None).await);
    }
    for node in &nodes {
        let first = node.caller.call(status("first")).await;
        assert_eq!(first.status, 200);
        first.body.read_to_end().await.unwrap();
    }
    let runs_before = upstream.total_runs();
    let mut calls = JoinSet::new();
    for tick in 0..200 {
        let caller = nodes[tick % nodes.len()].caller.clone();
        let call = async move { caller.call(status(&format!("r{tick}"))).await.status };
        calls.spawn(call);
        sleep(WINDOW / 200).await;
        if tick % 20 == 19 {
            mesh.remove("b");
            drop(target);
            target = mesh.target("b", upstream.address()).await;
        }
    }
    let runs = upstream.total_runs() - runs_before;
    // One and a half times the limit, and 5 more.
    assert!((4..=17).contains(&runs), "{runs} runs in {WINDOW:?}");
    calls.shutdown().await;
}

/// Starts the node beside the upstream that started at `started`.
async fn start_target(mesh: &Arc<TestMesh>, upstream: &Upstream, started: u64) -> Node {
    mesh.remove("b");
    let node = mesh.node("b", None).await;
    node.target.announce(process(upstream, started));
    mesh.add("b", node.address);
    let mut candidates = mesh.candidates.lock().unwrap();
    candidates.last_mut().unwrap().started = Some(Timestamp::new(started));
    node
}

fn process(upstream: &Upstream, started: u64) -> Announcement {
    let mut announcement = announcement(upstream.address());
    announcement.started = Timestamp::new(started);
    announcement
}

/// Guards against calls to an upstream that has told in an answer that it leaves: from other nodes, after
/// a late announcement, and after a restart of the node beside it.
#[tokio::test]
async fn leaving_upstream_gets_no_further_calls() {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(Behaviour::Headers(Duration::ZERO, "leaving: 1\r\n")).await;
    let target = start_target(&mesh, &upstream, 1).await;
    let (told, other) = (mesh.node("a", None).await, mesh.node("c", None).await);
    assert_eq!(told.caller.call(status("first")).await.status, 200);
    assert_eq!(
        target.target.watch().borrow().as_ref().unwrap().state,
        Stage::Draining
    );
    target.target.announce(process(&upstream, 1));
    assert_eq!(other.caller.call(status("other")).await.status, 503);
    drop(target);
    let restarted = start_target(&mesh, &upstream, 1).await;
    assert_eq!(told.caller.call(status("second")).await.status, 503);
    assert_eq!(upstream.total_runs(), 1);
    drop(restarted);
    upstream.set_behaviour(Behaviour::Echo(10));
    let _next = start_target(&mesh, &upstream, 2).await;
    assert_eq!(told.caller.call(status("third")).await.status, 200);
}
