//! Answers of faulty upstreams as callers get them.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use standin::Memory;
use support::{Node, TIMEOUT, send, start_node, status, wait_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Bytes that an upstream sends in answer to a request.
#[derive(Clone)]
struct Script {
    first: Vec<u8>,
    /// Sent again and again until the connection is closed; the upstream closes when it is empty.
    repeated: Vec<u8>,
}

async fn start_upstream(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let script = script.clone();
            tokio::spawn(async move {
                let mut request = Vec::new();
                while !request.ends_with(b"\r\n\r\n") {
                    if socket.read_buf(&mut request).await.unwrap_or(0) == 0 {
                        return;
                    }
                }
                if request.starts_with(b"GET /health ") {
                    let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    let _ = socket.write_all(healthy).await;
                    return;
                }
                let mut sent = socket.write_all(&script.first).await;
                let repeated = script.repeated.repeat(100);
                while sent.is_ok() && !repeated.is_empty() {
                    sent = socket.write_all(&repeated).await;
                }
            });
        }
    });
    address
}

/// Announces an upstream that answers according to the script.
async fn use_upstream(node: &Node, sequence: usize, script: Script) {
    let address = start_upstream(script).await;
    let line = format!("POST /heartbeat/i-{sequence}/{sequence}/1/ready/{address}");
    assert_eq!(status(&send(node.announcements, &line).await), "200");
}

/// Sends a request and returns all bytes of the response.
async fn receive(node: &Node, method: &str, path: &str) -> Vec<u8> {
    let mut socket = TcpStream::connect(node.callers).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: portal.example\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // A reset ends a response like a close.
    let _ = timeout(TIMEOUT, socket.read_to_end(&mut response))
        .await
        .unwrap();
    response
}

/// Whether a client takes a response for a whole success.
fn is_whole_success(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    if !head.starts_with("http/1.1 2") {
        return false;
    }
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.split_once("content-length: ").map(|(_, rest)| {
        let digits = rest.split("\r\n").next().unwrap();
        digits.parse::<usize>().unwrap()
    });
    length.is_none_or(|length| body.len() >= length)
}

/// Starts a node whose route may be repeated or not.
async fn start() -> Node {
    let store = Memory::default();
    store.set("config", b"3");
    let node = start_node(&store, "a").await;
    wait_status(node.ready, "GET /", "200").await;
    node
}

const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx-seal: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\n",
];

/// Guards against a success with an empty or short body, framed as whole, for an answer that stopped
/// in its head or its body, at any byte.
#[tokio::test]
async fn answers_that_stop_early_are_no_whole_successes() {
    let node = start().await;
    let mut sequence = 0;
    for (head, body) in HEADS
        .into_iter()
        .zip(["0123456789", "a\r\n0123456789\r\n0\r\n\r\n", ""])
    {
        let answer = format!("{head}{body}");
        for end in 0..answer.len() {
            // An answer without a length is whole where its connection ends.
            if body.is_empty() && end >= head.len() {
                continue;
            }
            sequence += 1;
            let script = Script {
                first: answer.as_bytes()[..end].to_vec(),
                repeated: Vec::new(),
            };
            use_upstream(&node, sequence, script).await;
            let (safe, unsafe_request) = tokio::join!(
                receive(&node, "GET", "/status/1"),
                receive(&node, "POST", "/pay/1")
            );
            for response in [safe, unsafe_request] {
                let text = String::from_utf8_lossy(&response);
                let sent = &answer[..end];
                assert!(!is_whole_success(&response), "{sent:?} became {text:?}");
                assert!(text.starts_with("HTTP/1.1 "), "{sent:?} became {text:?}");
                if end <= head.len() {
                    assert!(
                        text.starts_with("HTTP/1.1 502 "),
                        "{sent:?} became {text:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a caller that gets no status line when the bytes of an upstream, without end, are no
/// answer: it is owed a 502, since nothing of an answer was sent to it.
#[tokio::test]
async fn endless_bytes_that_are_no_answer_are_answered() {
    let node = start().await;
    let chunked = HEADS[1];
    for (sequence, (first, repeated)) in [
        ("", "H"),
        ("HTTP/1.1 200 OK\r\nx: ", "y"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        (chunked, "0"),
        (chunked, "1;a"),
        (chunked, "x"),
    ]
    .into_iter()
    .enumerate()
    {
        let script = Script {
            first: first.into(),
            repeated: repeated.into(),
        };
        use_upstream(&node, sequence + 1, script).await;
        let requests = ["/status/1", "/pay/1"].repeat(6);
        let responses = requests.iter().map(|path| receive(&node, "GET", path));
        for response in timeout(TIMEOUT, join_all(responses)).await.unwrap() {
            let text = String::from_utf8_lossy(&response);
            let is_answered = ["502", "503", "504"].contains(&status(&text));
            assert!(is_answered, "{first:?} and {repeated:?} became {text:?}");
        }
    }
}

/// Guards against an answer whose first bytes are held back until its end.
#[tokio::test]
async fn answers_are_passed_on_while_they_arrive() {
    let node = start().await;
    let script = Script {
        first: format!("{}5\r\nfirst\r\n", HEADS[1]).into(),
        repeated: b"1\r\nx\r\n".to_vec(),
    };
    use_upstream(&node, 1, script).await;
    let mut socket = TcpStream::connect(node.callers).await.unwrap();
    let request = "GET /status/1 HTTP/1.1\r\nhost: portal.example\r\n\r\n";
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let reading = async {
        while !String::from_utf8_lossy(&response).contains("first") {
            assert!(socket.read_buf(&mut response).await.unwrap() > 0);
        }
    };
    // The caller waits for 3 s.
    timeout(Duration::from_secs(1), reading).await.unwrap();
}
