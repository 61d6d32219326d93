//! The binary: exit codes, output, and kills at each step of publishing.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

mod common;

use std::fs;
use std::path::Path;
use std::process::{Output, Stdio};
use std::time::Duration;

use common::{check_history, content, order, publisher, soon, text};
use schema::standin::Faults;
use serde_json::{Value, json};
use standin::store::Store as Standin;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};
use types::{Deadline, Version};

fn tool(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionseam"));
    command
        .args(arguments)
        .env_remove("DANDELIONSEAM_STORE")
        .env_remove("DANDELIONSEAM_NODE");
    command.kill_on_drop(true).stdin(Stdio::null());
    command
}

async fn run(arguments: &[&str]) -> Output {
    timeout(Duration::from_secs(20), tool(arguments).output())
        .await
        .expect("the tool ends")
        .unwrap()
}

/// Exit code and JSON output.
async fn run_json(arguments: &[&str]) -> (i32, Value) {
    let output = run(&[arguments, &["--json"]].concat()).await;
    let value = serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|error| panic!("{error}: {output:?}"));
    (output.status.code().unwrap(), value)
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
        publisher(&standin, "ana")
            .publish(&order(&[("a", 1), ("b", 1)]), soon())
            .await
            .unwrap();
        let calls = || {
            let counters = standin.counters();
            counters.range + counters.put + counters.txn
        };
        standin
            .apply_faults(Faults {
                latency_ms: 50,
                ..Faults::default()
            })
            .await;
        let (goal, directory) = (calls() + step, folder("a", 2));
        let mut child = tool(&[
            "publish",
            "--store",
            &standin.url(),
            shown(directory.path()),
        ])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
        let deadline = Deadline::after_ms(3000);
        while calls() < goal
            && child.try_wait().unwrap().is_none()
            && !deadline.has_passed(Instant::now())
        {
            sleep(Duration::from_millis(1)).await;
        }
        child.kill().await.unwrap();
        let newest = check_history(&standin).await.last().unwrap().version;
        let expected = if newest == Version::new(1) { 1 } else { 2 };
        assert_eq!(
            content(&standin, newest).await,
            [("a".into(), expected), ("b".into(), 1)],
            "step {step}"
        );
        if expected == 1 {
            before += 1;
        } else {
            after += 1;
        }
        let done = publisher(&standin, "ben")
            .publish(&order(&[("a", 3)]), soon())
            .await
            .unwrap();
        assert_eq!(done.version, newest.next(), "step {step}");
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
    let (first, second) = (folder("a", 1), folder("a", 2));
    let (first, second) = (shown(first.path()), shown(second.path()));
    let store = ["--store", &standin.url()];
    let (code, value) =
        run_json(&[&["publish", first, "--publisher", "ana"], &store[..]].concat()).await;
    assert_eq!(
        (code, &value["effect"], &value["version"], &value["set"]),
        (0, &json!("published"), &json!(1), &json!(["a"]))
    );
    let (code, value) = run_json(&[&["publish", first], &store[..]].concat()).await;
    assert_eq!((code, &value["effect"]), (0, &json!("unchanged")));
    let (code, value) = run_json(&[&["publish", second, "--dry-run"], &store[..]].concat()).await;
    assert_eq!(
        (code, &value["effect"], &value["version"]),
        (0, &json!("dry-run"), &json!(2))
    );
    run_json(&[&["publish", second], &store[..]].concat()).await;
    let (code, value) = run_json(&[&["diff", "1", "2"], &store[..]].concat()).await;
    assert_eq!(
        (code, value),
        (
            0,
            json!({"added": [], "removed": [], "changed": {"a": [{"key": "service.slots", "old": "1", "new": "2"}]}})
        )
    );
    let (code, value) = run_json(&[&["publish", first, "--base", "1"], &store[..]].concat()).await;
    assert_eq!((code, &value["failure"]), (3, &json!("conflict")));
    let (code, value) = run_json(
        &[
            &["publish", "--remove", "a", "--publisher", "eva"],
            &store[..],
        ]
        .concat(),
    )
    .await;
    assert_eq!((code, &value["removed"]), (0, &json!(["a"])));
    let (code, value) = run_json(&[&["history"], &store[..]].concat()).await;
    let versions: Vec<_> = value
        .as_array()
        .unwrap()
        .iter()
        .map(|line| (&line["version"], &line["services"]))
        .collect();
    assert_eq!(
        (code, versions),
        (
            0,
            vec![
                (&json!(3), &json!(0)),
                (&json!(2), &json!(1)),
                (&json!(1), &json!(1))
            ]
        )
    );
    assert_eq!(
        (
            &value[0]["publisher"],
            &value[0]["removed"],
            &value[2]["publisher"]
        ),
        (&json!("eva"), &json!(["a"]), &json!("ana"))
    );

    let faulty = folder("b", 0);
    let (code, value) = run_json(&["check", shown(faulty.path())]).await;
    assert_eq!(
        (
            code,
            &value["findings"][0]["line"],
            &value["findings"][0]["key"]
        ),
        (1, &json!(4), &json!("service.slots"))
    );
    standin.close().await;
    let (code, value) = run_json(&[&["publish", first, "--limit", "0"], &store[..]].concat()).await;
    assert_eq!((code, &value["failure"]), (4, &json!("unreachable")));
    for usage in [
        &["publish"][..],
        &["publish", first],
        &["frobnicate"],
        &[],
        &["diff", "1"],
        &["status"],
        &["publish", "--base", "x"],
    ] {
        assert_eq!(run(usage).await.status.code(), Some(2), "{usage:?}");
    }
    for help in [&["--help"][..], &["publish", "--help"]] {
        let output = run(help).await;
        assert!(
            output.status.success() && output.stdout.starts_with(b"Usage: dandelionseam "),
            "{help:?}"
        );
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
    let arguments = [
        "publish",
        shown(directory.path()),
        "--wait",
        "--store",
        &standin.url(),
    ];
    let output = run(&[&arguments[..], &["--node", &leaf]].concat()).await;
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
    let (code, value) =
        run_json(&[&arguments[..], &["--limit", "1", "--node", &slow]].concat()).await;
    assert_eq!((code, &value["failure"]), (6, &json!("not-in-force")));
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
    let (code, value) = run_json(&["account", "--owner", "caroni", "--node", &first]).await;
    assert_eq!(
        (
            code,
            &value["answered"],
            &value["counters"]["calls"],
            &value["failures"][0][0]
        ),
        (0, &json!(1), &json!(5), &json!("n2"))
    );
    assert_eq!(
        (
            &value["missing"][0][0],
            &value["missing"][1][0],
            &value["missing"][1][1]
        ),
        (
            &json!("n3"),
            &json!("n4"),
            &json!("address of the admin port is not known")
        )
    );
    let gone = run(&[
        "account",
        "--owner",
        "caroni",
        "--node",
        "http://127.0.0.1:1",
    ])
    .await;
    assert_eq!(gone.status.code(), Some(4));
}
