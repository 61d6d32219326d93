//! Planned stop of a node with requests in progress. The signal reaches the whole process, so this file
//! has one test.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use rustix::process::{Signal, getpid, kill_process};
use standin::Memory;
use support::{GRACE_S, Process, TIMEOUT, send, start_target, status, wait_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Starts an upstream that reads requests and never answers.
async fn start_silent_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move { while let Ok(1..) = socket.read(&mut [0; 1024]).await {} });
        }
    });
    address
}

/// Sends a request after a delay and returns all bytes of the response. With `is_slow`, the body ends
/// a second after the head.
async fn request_after(node: SocketAddr, delay: Duration, method: &str, is_slow: bool) -> String {
    sleep(delay).await;
    let mut socket = TcpStream::connect(node).await.unwrap();
    let head = format!(
        "{method} /{} HTTP/1.1\r\nhost: portal.example\r\ncontent-length: 3\r\n\r\n",
        if method == "GET" { "status/1" } else { "pay/1" }
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    if is_slow {
        sleep(Duration::from_secs(1)).await;
    }
    socket.write_all(b"pay").await.unwrap();
    let mut response = Vec::new();
    // A reset ends a response like a close.
    let reading = timeout(TIMEOUT, socket.read_to_end(&mut response)).await;
    let _ = reading.unwrap();
    String::from_utf8(response).unwrap()
}

/// Guards against requests that are taken late in the grace time of a planned stop, are passed on, and end
/// without any answer at its end, and against a stop that outlasts the grace time.
#[tokio::test]
async fn requests_in_progress_are_answered_before_a_planned_stop_ends() {
    let store = Memory::default();
    store.set("config", b"3");
    let mut process = Process::start(&store, "a").await;
    let node = process.node.clone();
    let upstream = start_silent_upstream().await;
    wait_status(node.ready, "GET /", "200").await;
    let _target = start_target(&store, "b", upstream);
    let polling = async {
        let known = "dandelionseam_nodes 2";
        while !send(node.metrics, "GET /metrics").await.contains(known) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TIMEOUT, polling).await.unwrap();
    let grace = Duration::from_secs(GRACE_S);
    let start = Instant::now();
    // The first ones are taken before the signal, the last ones when the node refuses requests.
    let delays = [0, 900, 1400, 1900, 2400, 2900].map(Duration::from_millis);
    let requests = delays.iter().flat_map(|delay| {
        [("GET", false), ("POST", false), ("POST", true)].map(|(method, is_slow)| {
            let response = request_after(node.callers, *delay, method, is_slow);
            async move { (*delay, response.await) }
        })
    });
    let stop = async {
        sleep(Duration::from_millis(300)).await;
        kill_process(getpid(), Signal::TERM).unwrap();
        process.wait_ended().await;
        start.elapsed()
    };
    let (responses, ended) = timeout(TIMEOUT, async { tokio::join!(join_all(requests), stop) })
        .await
        .unwrap();
    for (delay, response) in responses {
        let code = status(&response);
        // One that was passed on may have run: the upstream has read it.
        let is_answered = ["502", "503", "504"].contains(&code);
        assert!(is_answered, "sent after {delay:?}: {response:?}");
        assert!(
            response.ends_with('\n'),
            "sent after {delay:?}: {response:?}"
        );
        if delay < grace / 2 {
            assert_ne!(code, "503", "sent after {delay:?}: {response:?}");
        }
    }
    assert!(ended < grace, "ended after {ended:?}");
}
