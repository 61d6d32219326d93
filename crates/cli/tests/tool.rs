//! The binary: exit codes, output, and kills at each step of publishing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fs;
use std::path::Path;
use std::process::{Output, Stdio};
use std::time::Duration;

use common::{check_history, content, latency, order, publish, text, until};
use serde_json::{Value, json};
use standin::store::Store as Standin;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::timeout;
use types::Version;

/// The tool with the address of a store, or without one.
fn tool(store: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionseam"));
    command.args(arguments).env("DANDELIONSEAM_STORE", store);
    command.env_remove("DANDELIONSEAM_NODE").kill_on_drop(true);
    command
}

async fn run(store: &str, arguments: &[&str]) -> Output {
    let output = tool(store, arguments).output();
    timeout(Duration::from_secs(20), output)
        .await
        .unwrap()
        .unwrap()
}

/// Exit code, and the parts of the JSON output that the pointers name.
async fn ask(store: &str, arguments: &[&str], pointers: &[&str]) -> (i32, Value) {
    let output = run(store, &[arguments, &["--json"]].concat()).await;
    let value: Value = serde_json::from_slice(&output.stdout).unwrap();
    let parts = pointers
        .iter()
        .map(|pointer| value.pointer(pointer).cloned().unwrap_or_default());
    (output.status.code().unwrap(), parts.collect())
}

/// Directory with one operator file.
fn folder(service: &str, slots: u32) -> TempDir {
    let directory = TempDir::new().unwrap();
    fs::write(
        directory.path().join(format!("{service}.ini")),
        text(service, slots),
    )
    .unwrap();
    directory
}

fn shown(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Guards against a half-written version, or a store that refuses the next publisher, after a
/// publisher was killed at any of its calls to the store.
#[tokio::test]
async fn a_killed_publisher_leaves_a_whole_version() {
    let (mut before, mut after) = (0, 0);
    for step in 1..=6 {
        let standin = Standin::start_local().await.unwrap();
        let first = order(&[("a", 1), ("b", 1)]);
        publish(&standin, "ana", &first).await.unwrap();
        let calls = || standin.counters().range + standin.counters().txn;
        standin.apply_faults(latency(50)).await;
        let (goal, directory) = (calls() + step, folder("a", 2));
        let mut command = tool(&standin.url(), &["publish", shown(directory.path())]);
        let mut child = command.stdout(Stdio::null()).spawn().unwrap();
        until(|| calls() >= goal || child.try_wait().unwrap().is_some()).await;
        child.kill().await.unwrap();
        let newest = check_history(&standin).await.last().unwrap().version;
        let expected = if newest == Version::new(1) { 1 } else { 2 };
        let whole = [("a".into(), expected), ("b".into(), 1)];
        assert_eq!(content(&standin, newest).await, whole, "step {step}");
        let count = if expected == 1 {
            &mut before
        } else {
            &mut after
        };
        *count += 1;
        let done = publish(&standin, "ben", &order(&[("a", 3)])).await;
        assert_eq!(done.unwrap().version, newest.next(), "step {step}");
    }
    assert!(
        before >= 2 && after >= 1,
        "killed {before} times before and {after} times after the swap"
    );
}

/// Guards against exit codes and JSON that scripts cannot rely on.
#[tokio::test]
async fn exit_codes_and_json() {
    let standin = Standin::start_local().await.unwrap();
    let (first, second, faulty) = (folder("a", 1), folder("a", 2), folder("b", 0));
    let [first, second, faulty] = [&first, &second, &faulty].map(|folder| shown(folder.path()));
    let url = standin.url();
    let effect = ["/effect", "/version", "/set", "/removed"];
    let failure = ["/failure", "/findings/0/key", "/findings/0/line"];
    let fields = ["/changed/a/0/key", "/changed/a/0/old", "/changed/a/0/new"];
    let lines = [
        "/0/publisher",
        "/0/removed",
        "/0/services",
        "/2/publisher",
        "/2/version",
    ];
    let table = [
        (
            &["publish", first, "--publisher", "ana"][..],
            &effect[..],
            0,
            json!(["published", 1, ["a"], []]),
        ),
        (
            &["publish", first],
            &effect,
            0,
            json!(["unchanged", 1, [], []]),
        ),
        (
            &["publish", second, "--dry-run"],
            &effect,
            0,
            json!(["dry-run", 2, ["a"], []]),
        ),
        (
            &["publish", second],
            &effect,
            0,
            json!(["published", 2, ["a"], []]),
        ),
        (
            &["diff", "1", "2"],
            &fields,
            0,
            json!(["service.slots", "1", "2"]),
        ),
        (
            &["publish", first, "--base", "1"],
            &failure,
            3,
            json!(["conflict", null, null]),
        ),
        (
            &["publish", "--remove", "a", "--publisher", "eva"],
            &effect,
            0,
            json!(["published", 3, [], ["a"]]),
        ),
        (&["history"], &lines, 0, json!(["eva", ["a"], 0, "ana", 1])),
        (
            &["check", faulty],
            &failure,
            1,
            json!(["findings", "service.slots", 4]),
        ),
    ];
    for (arguments, pointers, code, expected) in table {
        assert_eq!(
            ask(&url, arguments, pointers).await,
            (code, expected),
            "{arguments:?}"
        );
    }
    standin.close().await;
    let closed = ask(&url, &["publish", first, "--limit", "0"], &failure[..1]).await;
    assert_eq!(closed, (4, json!(["unreachable"])));
    let base = ["publish", "--base", "x"];
    for usage in [
        &["publish"][..],
        &["publish", first],
        &["frobnicate"],
        &[],
        &["diff", "1"],
        &["status"],
        &base,
    ] {
        assert_eq!(run("", usage).await.status.code(), Some(2), "{usage:?}");
    }
    for help in [&["--help"][..], &["publish", "--help"]] {
        let output = run("", help).await;
        assert!(output.status.success() && output.stdout.starts_with(b"Usage: dandelionseam "));
    }
}

/// Starts a node's admin port that answers each path with the next of its bodies, and the last one
/// from then on. Returns its base URL.
async fn admin(paths: Vec<(&'static str, Vec<Value>)>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let mut paths = paths;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let length = stream.read(&mut request).await.unwrap();
            let line = String::from_utf8_lossy(&request[..length]).into_owned();
            let path = line.split(' ').nth(1).unwrap_or_default();
            let found = paths.iter_mut().find(|(known, _)| *known == path);
            let (status, body) = match found {
                Some((_, bodies)) if bodies.len() > 1 => (200, bodies.remove(0)),
                Some((_, bodies)) => (200, bodies[0].clone()),
                None => (404, Value::Null),
            };
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    url
}

fn summary(domain: &str, lowest: u64, highest: u64, current: u32) -> Value {
    json!({"region": "north", "domain": domain, "nodes": 10, "lowest": lowest, "highest": highest, "current": current, "lagging": ["n7"], "convergence_ms": 812})
}

/// Guards against a wait that ends before every node holds the version, or that believes a node whose
/// summaries do not cover the mesh.
#[tokio::test]
async fn wait_ends_when_every_node_holds_the_version() {
    let standin = Standin::start_local().await.unwrap();
    let status = |summaries: Value| json!({"node": "n1", "reader": true, "summaries": summaries});
    let behind = status(json!([
        summary("north-a", 1, 1, 10),
        summary("north-b", 0, 1, 9)
    ]));
    let done = status(json!([
        summary("north-a", 1, 1, 10),
        summary("north-b", 1, 1, 10)
    ]));
    let reader = admin(vec![(
        "/status",
        vec![status(json!([])), behind.clone(), done.clone()],
    )])
    .await;
    // A node that is no reader claims that all is done, and names the reader.
    let leaf = admin(vec![(
        "/status",
        vec![json!({"node": "n2", "readers": [{"admin": reader}], "summaries": done["summaries"]})],
    )])
    .await;
    let directory = folder("a", 1);
    let arguments = ["publish", shown(directory.path()), "--wait", "--node"];
    let output = run(&standin.url(), &[&arguments[..], &[&leaf]].concat()).await;
    let progress = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        progress.lines().collect::<Vec<_>>(),
        [
            "version 1: 0 of 0 nodes",
            "version 1: 19 of 20 nodes; behind: north/north-b; for example n7",
            "version 1: 20 of 20 nodes"
        ]
    );
    assert_eq!(
        String::from_utf8(output.stdout).unwrap(),
        "published version 1; set a; in force everywhere after 812 ms\n"
    );

    let slow = admin(vec![("/status", vec![behind])]).await;
    let limited = [&arguments[..], &[&slow, "--limit", "1"]].concat();
    let result = ask(&standin.url(), &limited, &["/failure"]).await;
    assert_eq!(result, (6, json!(["not-in-force"])));
}

/// Guards against an account that hides nodes which did not answer.
#[tokio::test]
async fn account_adds_up_all_nodes_and_names_the_missing_ones() {
    let failure =
        |time: u64| json!({"time_ms": time, "request": "r", "outcome": "unknown", "fault": "mesh"});
    let account = |time: u64| json!({"counters": {"calls": 5, "unknown": 1, "mesh": 1}, "failures": [failure(time)]});
    let second = admin(vec![("/account/caroni", vec![account(1)])]).await;
    let members = json!([{"id": "n2", "admin": second}, {"id": "n3", "admin": "http://127.0.0.1:1/"}, {"id": "n4"}]);
    let first = admin(vec![("/members", vec![members])]).await;
    let pointers = [
        "/answered",
        "/counters/calls",
        "/failures/0/0",
        "/missing/0/0",
        "/missing/1",
    ];
    let result = ask(
        "",
        &["account", "--owner", "caroni", "--node", &first],
        &pointers,
    )
    .await;
    let unknown = ["n4", "address of the admin port is not known"];
    assert_eq!(result, (0, json!([1, 5, "n2", "n3", unknown])));
    let gone = [
        "account",
        "--owner",
        "caroni",
        "--node",
        "http://127.0.0.1:1",
    ];
    assert_eq!(run("", &gone).await.status.code(), Some(4));
}
