//! Nodes with an in-memory store, real sockets and upstreams: the path of a request, and the
//! messages of upstreams.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::Memory;
use support::{TIMEOUT, send, start_node, start_upstream, status, wait_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Guards against a request that is altered on its way through two nodes, and against a forged or
/// missing name of the service that it comes from.
#[tokio::test]
async fn request_reaches_the_upstream_of_another_node_unchanged() {
    let store = Memory::default();
    store.set("config", b"3");
    let (a, b) = (start_node(&store, "a").await, start_node(&store, "b").await);
    let upstream = start_upstream();
    wait_status(b.ready, "GET /", "200").await;
    upstream.send_heartbeat(&b, "i-1", 1, "ready").await;
    let line = "PATCH /status/{x}\"//%2F?q={y}";
    let response = wait_status(a.callers, line, "200").await;
    assert!(response.ends_with("done"), "{response}");
    let last = upstream.last_request.lock().unwrap().take().unwrap();
    assert_eq!(last.method, "PATCH");
    assert_eq!(last.uri.to_string(), "/status/{x}\"//%2F?q={y}");
    assert_eq!(last.headers["host"], "portal.example");
    assert_eq!(last.headers["caller-service"], "a-service");
    assert!(!last.headers.contains_key("accept"));
    let metrics = send(a.metrics, "GET /metrics").await;
    let counter = "dandelionseam_requests_total{fault=\"none\",outcome=\"ran\",status=\"200\"} 1";
    assert!(metrics.contains(counter), "{metrics}");
    let metrics = send(b.metrics, "GET /metrics").await;
    let writes = r#"dandelionseam_store_calls_total{kind="put",result="answered"} 1"#;
    assert!(metrics.contains(writes), "{metrics}");
}

/// Guards against a node without a configuration that reports readiness, or answers 404 as if it
/// knew the routes.
#[tokio::test]
async fn node_without_a_configuration_is_not_ready_and_refuses_requests() {
    let store = Memory::default();
    let node = start_node(&store, "a").await;
    assert_eq!(status(&send(node.ready, "GET /").await), "503");
    let refused = send(node.callers, "GET /nowhere").await;
    assert_eq!(status(&refused), "503");
    assert!(refused.contains("retry-after-ms: 80"), "{refused}");
    store.set("config", b"3");
    wait_status(node.ready, "GET /", "200").await;
    assert_eq!(status(&send(node.callers, "GET /nowhere").await), "404");
    let unavailable = send(node.callers, "GET /status/1").await;
    assert_eq!(status(&unavailable), "503");
    assert!(unavailable.contains("retry-after-ms: 80"), "{unavailable}");
}

/// Guards against an announcement that is acknowledged but lost because it arrived before the
/// directory was loaded. After a restart of all machines the upstream then received no calls until
/// its next announcement.
#[tokio::test]
async fn announcement_before_the_directory_is_loaded_takes_effect() {
    let store = Memory::default();
    store.set("config", b"1");
    store.set_down(true);
    let node = start_node(&store, "a").await;
    let upstream = start_upstream();
    let recovery = async {
        sleep(Duration::from_millis(100)).await;
        store.set_down(false);
    };
    tokio::join!(upstream.send_heartbeat(&node, "i-1", 1, "ready"), recovery);
    wait_status(node.callers, "GET /status/1", "200").await;
}

/// Guards against a late announcement that makes a process of the upstream receive requests again
/// after it began to drain or left.
#[tokio::test]
async fn no_request_reaches_an_upstream_that_drains_or_has_left() {
    let store = Memory::default();
    store.set("config", b"3");
    let node = start_node(&store, "a").await;
    let upstream = start_upstream();
    wait_status(node.ready, "GET /", "200").await;
    upstream.send_heartbeat(&node, "i-1", 1, "ready").await;
    wait_status(node.callers, "GET /status/1", "200").await;
    let count_before = upstream.request_count.load(Ordering::SeqCst);
    upstream.send_heartbeat(&node, "i-1", 2, "draining").await;
    upstream.send_heartbeat(&node, "i-1", 3, "ready").await;
    assert_eq!(status(&send(node.callers, "GET /status/1").await), "503");
    upstream.send_heartbeat(&node, "i-2", 1, "ready").await;
    wait_status(node.callers, "GET /status/1", "200").await;
    let acknowledgement = send(node.announcements, "POST /leave/i-2").await;
    assert_eq!(status(&acknowledgement), "200");
    upstream.send_heartbeat(&node, "i-2", 2, "ready").await;
    assert_eq!(status(&send(node.callers, "GET /status/1").await), "503");
    assert_eq!(
        upstream.request_count.load(Ordering::SeqCst),
        count_before + 1
    );
    let invalid = send(node.announcements, "POST /nonsense").await;
    assert_eq!(status(&invalid), "400");
}

/// Guards against a departure that arrives while the store is unavailable and is lost afterwards,
/// because the stored entry of an earlier process still names the process of the upstream as the
/// current one. It is not acknowledged either: nothing but the memory of this process has it.
#[tokio::test]
async fn departure_takes_effect_while_the_store_is_unavailable() {
    for message in [
        "POST /leave/i-1",
        "POST /heartbeat/i-1/7/9/draining/127.0.0.1:1",
    ] {
        let store = Memory::default();
        store.set("config", b"3");
        let first = start_node(&store, "a").await;
        let upstream = start_upstream();
        wait_status(first.ready, "GET /", "200").await;
        upstream.send_heartbeat(&first, "i-1", 1, "ready").await;
        wait_status(first.callers, "GET /status/1", "200").await;
        let writing = async {
            while store.get("mesh/a").is_none() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, writing).await.unwrap();
        store.set_down(true);
        let second = start_node(&store, "a").await;
        assert_eq!(status(&send(second.announcements, message).await), "503");
        store.set_down(false);
        wait_status(second.ready, "GET /", "200").await;
        wait_status(second.announcements, message, "200").await;
        sleep(Duration::from_millis(200)).await;
        let count_before = upstream.request_count.load(Ordering::SeqCst);
        let refused = send(second.callers, "GET /status/1").await;
        assert_eq!(status(&refused), "503", "{message}");
        assert_eq!(
            upstream.request_count.load(Ordering::SeqCst),
            count_before,
            "{message}"
        );
    }
}

/// Guards against messages of another sender that keep the target from being used: the target went
/// on announcing itself, but a start in the future or an unknown service had replaced it.
#[tokio::test]
async fn odd_announcements_do_not_replace_the_upstream() {
    let store = Memory::default();
    store.set("config", b"3");
    let node = start_node(&store, "a").await;
    let upstream = start_upstream();
    wait_status(node.ready, "GET /", "200").await;
    upstream.send_heartbeat(&node, "i-1", 1, "ready").await;
    wait_status(node.callers, "GET /status/1", "200").await;
    let address = upstream.address;
    let long = "i".repeat(500);
    for path in [
        format!("heartbeat/i-2/{}/1/ready/{address}", u64::MAX),
        format!("heartbeat/{long}/9/1/ready/{address}"),
        format!("unknown-service/i-2/9/1/ready/{address}"),
        format!("heartbeat//9/1/ready/{address}"),
    ] {
        let refused = send(node.announcements, &format!("POST /{path}")).await;
        assert_eq!(status(&refused), "400", "{path}: {refused}");
        assert_eq!(
            status(&send(node.callers, "GET /status/1").await),
            "200",
            "{path}"
        );
    }
    upstream.send_heartbeat(&node, "i-1", 2, "ready").await;
    assert_eq!(status(&send(node.callers, "GET /status/1").await), "200");
}

/// Guards against a message that is too large and gets a closed connection instead of an answer.
#[tokio::test]
async fn large_messages_are_refused_with_an_answer() {
    let store = Memory::default();
    let node = start_node(&store, "a").await;
    let body = "[".repeat(200_000);
    let mut socket = TcpStream::connect(node.announcements).await.unwrap();
    let head = format!(
        "POST /heartbeat HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(body.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = timeout(TIMEOUT, socket.read_buf(&mut response)).await;
    read.unwrap().unwrap();
    let response = String::from_utf8(response).unwrap();
    assert_eq!(status(&response), "413", "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

/// Guards against a request body without end and without a length, which was passed on to the target
/// until the deadline.
#[tokio::test]
async fn endless_request_bodies_are_refused_at_the_limit() {
    let store = Memory::default();
    store.set("config", b"3");
    let node = start_node(&store, "a").await;
    let upstream = start_upstream();
    wait_status(node.ready, "GET /", "200").await;
    upstream.send_heartbeat(&node, "i-1", 1, "ready").await;
    wait_status(node.callers, "GET /status/1", "200").await;
    upstream.last_request.lock().unwrap().take();
    let mut socket = TcpStream::connect(node.callers).await.unwrap();
    let head =
        "POST /status/1 HTTP/1.1\r\nhost: portal.example\r\ntransfer-encoding: chunked\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    let sending = async {
        let mut response = Vec::new();
        loop {
            tokio::select! {
                read = socket.read_buf(&mut response) => {
                    read.unwrap();
                    return response;
                }
                () = tokio::time::sleep(Duration::from_millis(10)) => {}
            }
            // The node may have closed the connection.
            let _ = socket.write_all(b"80\r\n").await;
            let _ = socket.write_all(&[b'x'; 0x80]).await;
            let _ = socket.write_all(b"\r\n").await;
        }
    };
    let response = String::from_utf8(timeout(TIMEOUT, sending).await.unwrap()).unwrap();
    assert_eq!(status(&response), "400", "{response}");
    assert!(upstream.last_request.lock().unwrap().is_none());
}
