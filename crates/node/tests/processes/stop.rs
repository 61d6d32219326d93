//! Planned stops, crashes and pauses of nodes, and upstreams that leave.

use std::time::Duration;

use reqwest::Method;
use standin::Behaviour;
use tokio::time::sleep;

use crate::harness::{Load, Mesh, Node, Plan, Seen, Upstream, header, service, wait_for};

const LENGTH: usize = 100_000;

/// Longest time for an upstream that is leaving to get its last new call, in milliseconds (P7).
const LEAVING_MS: u64 = 3000;

/// Two nodes of one region with an upstream each, and a third one without.
async fn two_targets(mesh: &Mesh, deadline_ms: u64, us: &str) -> ([Node; 3], [Upstream; 2]) {
    let (name, text) = service("desk", deadline_ms);
    mesh.publish(&[(&name, text)]).await;
    let plans = [
        Plan::new("n1", "north", "north-a"),
        Plan::new("n2", "north", "north-b"),
        Plan::new("n3", "north", "north-a"),
    ];
    let nodes = mesh.ready_nodes(&plans).await;
    let length = LENGTH.to_string();
    let arguments = ["--answer-bytes", &length, "--service-us", us];
    let first = mesh.upstream(&nodes[0], "desk", &arguments).await;
    let second = mesh.upstream(&nodes[1], "desk", &arguments).await;
    for node in &nodes {
        mesh.wait_targets(node, "desk", 2).await;
    }
    let nodes = nodes.try_into().unwrap_or_else(|_| unreachable!());
    (nodes, [first, second])
}

/// Guards against a planned stop that cuts off calls, runs calls it refused or does not end (P8).
#[tokio::test]
async fn planned_stop_cuts_off_no_call() {
    let mesh = Mesh::start().await;
    let (mut nodes, _upstreams) = two_targets(&mesh, 5000, "1500000").await;
    // Calls that may not be repeated, so that no retry hides a call that was cut off.
    let own = Load::start(&mesh, &nodes[0], &Method::POST, 6, LENGTH);
    let other = Load::start(&mesh, &nodes[2], &Method::POST, 6, LENGTH);
    sleep(Duration::from_secs(1)).await;
    nodes[0].process.signal("TERM").await;
    sleep(Duration::from_millis(100)).await;
    nodes[0].process.signal("TERM").await;
    let status = nodes[0].process.wait(Duration::from_secs(20)).await;
    assert!(status.success(), "{status}");
    sleep(Duration::from_secs(1)).await;

    let own = own.stop().await;
    for result in &own {
        assert!(result.is_good() || result.is_not_run(), "{result:?}");
    }
    assert!(own.iter().any(|result| !result.is_good()));
    let other = other.stop().await;
    for result in &other {
        assert!(result.is_good(), "{result:?}");
    }
    let members = mesh.members(&nodes[2]).await;
    let stopped = members.iter().find(|member| member.id == "n1").unwrap();
    assert_eq!(stopped.state, "left");
}

/// Guards against a planned stop that refuses the calls which a call in flight needs to finish (P8).
#[tokio::test]
async fn planned_stop_lets_calls_in_flight_make_their_own() {
    let mesh = Mesh::start().await;
    let (desk, text) = service("desk", 10_000);
    let (archive, other) = service("archive", 5000);
    mesh.publish(&[(&desk, text), (&archive, other)]).await;
    let plans = [
        Plan::new("n1", "north", "north-a"),
        Plan::new("n2", "north", "north-b"),
    ];
    let mut nodes = mesh.ready_nodes(&plans).await;
    let nested = format!("{}/archive", nodes[0].url("callers"));
    let arguments = ["--service-us", "1500000", "--nested-url", &nested, "--echo"];
    let outer = mesh.upstream(&nodes[0], "desk", &arguments).await;
    let inner = mesh.upstream(&nodes[1], "archive", &["--echo"]).await;
    mesh.wait_targets(&nodes[0], "archive", 1).await;
    mesh.wait_targets(&nodes[1], "desk", 1).await;
    let call = mesh.request(&nodes[1], Method::POST, "/desk");
    let running = tokio::spawn(call.header("dandelionseam-request-id", "r-1").send());
    runs_at(&mesh, std::slice::from_ref(&outer), "r-1").await;
    nodes[0].process.signal("TERM").await;
    let answer = running.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(mesh.runs(&inner, "r-1").await, 1);
    let status = nodes[0].process.wait(Duration::from_secs(20)).await;
    assert!(status.success(), "{status}");
}

/// Guards against new work for an upstream that said that it leaves, or stopped announcing (P7).
#[tokio::test]
async fn leaving_upstream_gets_no_new_work() {
    let mesh = Mesh::start().await;
    let (nodes, upstreams) = two_targets(&mesh, 5000, "1000").await;
    let load = Load::start(&mesh, &nodes[2], &Method::GET, 4, LENGTH);
    wait_for(
        "calls at the first target",
        Duration::from_secs(20),
        async || mesh.log(&upstreams[0]).await.len() > 20,
    )
    .await;
    let silent = Behaviour {
        silent_announcer: true,
        answer_bytes: u32::try_from(LENGTH).unwrap(),
        ..Behaviour::default()
    };
    mesh.set_behaviour(&upstreams[0], &silent).await;
    sleep(Duration::from_millis(LEAVING_MS)).await;
    let before = mesh.log(&upstreams[0]).await.len();
    sleep(Duration::from_secs(2)).await;
    let after = mesh.log(&upstreams[0]).await.len();
    assert_eq!(before, after, "new work without an announcement");

    let announcing = Behaviour {
        silent_announcer: false,
        ..silent
    };
    mesh.set_behaviour(&upstreams[0], &announcing).await;
    wait_for(
        "calls after the announcement",
        Duration::from_secs(20),
        async || mesh.log(&upstreams[0]).await.len() > after + 20,
    )
    .await;
    upstreams[0].process.signal("TERM").await;
    sleep(Duration::from_secs(1)).await;
    for result in load.stop().await {
        assert!(result.is_good(), "{result:?}");
    }
}

/// Guards against paths to an upstream around its node: when the node dies, no call may arrive, and
/// calls that may be repeated must not fail for long.
#[tokio::test]
async fn killed_node_takes_its_upstream_out() {
    let mesh = Mesh::start().await;
    let (mut nodes, upstreams) = two_targets(&mesh, 5000, "1000").await;
    let load = Load::start(&mesh, &nodes[2], &Method::GET, 4, LENGTH);
    wait_for(
        "calls at the first target",
        Duration::from_secs(20),
        async || mesh.log(&upstreams[0]).await.len() > 20,
    )
    .await;
    nodes[0].process.kill().await;
    let before = mesh.log(&upstreams[0]).await.len();
    sleep(Duration::from_millis(LEAVING_MS)).await;
    assert_eq!(mesh.log(&upstreams[0]).await.len(), before);
    for result in load.stop().await {
        // An answer that had reached the caller in part when the node died is broken off.
        assert!(
            !matches!(&result, Seen::Answer(code, ..) if *code != 200),
            "{result:?}"
        );
    }
    mesh.wait_targets(&nodes[2], "desk", 1).await;
}

/// Guards against a paused node that holds up calls, or that does not come back.
#[tokio::test]
async fn paused_node_is_passed_over_and_returns() {
    let mesh = Mesh::start().await;
    let (nodes, _upstreams) = two_targets(&mesh, 10_000, "1000").await;
    let load = Load::start(&mesh, &nodes[2], &Method::GET, 4, LENGTH);
    sleep(Duration::from_millis(500)).await;
    nodes[0].process.signal("STOP").await;
    mesh.wait_targets(&nodes[2], "desk", 1).await;
    let before = load.results().len();
    wait_for(
        "calls at the other target",
        Duration::from_secs(20),
        async || load.results().len() > before + 50,
    )
    .await;
    nodes[0].process.signal("CONT").await;
    mesh.wait_targets(&nodes[2], "desk", 2).await;
    let results = load.stop().await;
    for bad in results.iter().filter(|result| !result.is_good()) {
        // Only an answer whose head had reached the caller cannot be had from another target.
        assert!(matches!(bad, Seen::Broken(_)), "{bad:?}");
    }
}

/// Guards against a call that may not be repeated and runs twice, or is reported as not run after it
/// ran (P5, P6).
#[tokio::test]
async fn node_killed_during_a_payment_leaves_it_run_at_most_once() {
    let mesh = Mesh::start().await;
    let (mut nodes, upstreams) = two_targets(&mesh, 10_000, "1500000").await;
    for (number, key) in [(0, Some("k-1")), (1, None)] {
        let id = format!("payment-{number}");
        let mut payment = mesh.request(&nodes[2], Method::POST, "/desk");
        payment = payment.header("dandelionseam-request-id", &id);
        if let Some(key) = key {
            payment = payment.header("idempotency-key", key);
        }
        let running = tokio::spawn(payment.try_clone().unwrap().send());
        let name = key.unwrap_or(&id);
        let at = runs_at(&mesh, &upstreams, name).await;
        nodes[at].process.kill().await;
        let answer = running.await.unwrap().unwrap();
        assert_eq!(header(&answer, "dandelionseam-outcome"), "unknown");
        assert_eq!(header(&answer, "dandelionseam-fault"), "mesh");
        if key.is_some() {
            mesh.wait_targets(&nodes[2], "desk", 1).await;
            let again = payment.send().await.unwrap();
            assert_eq!(again.status(), 409);
            assert_eq!(header(&again, "dandelionseam-outcome"), "unknown");
        }
        let mut runs = 0;
        for upstream in &upstreams {
            runs += mesh.runs(upstream, name).await;
        }
        assert_eq!(runs, 1);
        mesh.restart(&mut nodes[at]).await;
        mesh.wait_targets(&nodes[2], "desk", 2).await;
    }
}

/// Index of the upstream at which the call with this key or request id runs.
async fn runs_at(mesh: &Mesh, upstreams: &[Upstream], name: &str) -> usize {
    loop {
        for (at, upstream) in upstreams.iter().enumerate() {
            if mesh.runs(upstream, name).await > 0 {
                return at;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}
