//! What upstreams tell about themselves in their answers.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{Behaviour, TestMesh, Upstream, announcement, service, status};

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
    let restarted = mesh.target("b", upstream.address()).await;
    let calls = (0..8).map(|number| {
        let (caller, id) = (caller.clone(), format!("r{number}"));
        async move { caller.call(status(&id)).await.status }
    });
    // The calls wait for the limit or are refused; only those that it allows reach the target.
    let _ = tokio::time::timeout(SERVICE_TIME, join_all(calls)).await;
    assert!(upstream.total_runs() <= 2, "{} runs", upstream.total_runs());
    restarted.target.announce(announcement(upstream.address()));
}
