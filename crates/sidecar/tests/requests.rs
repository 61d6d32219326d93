//! Requests of callers as upstreams get them.

#![allow(clippy::unwrap_used)]

mod support;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use front::{Limits, Server, full};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use standin::Memory;
use support::{
    LARGE_BODIES_VERSION, Node, TIMEOUT, send, start_node, start_target, status, wait_status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Starts an upstream that answers with the number of bytes of the body that it got, and the name of
/// the calling service.
fn start_upstream() -> SocketAddr {
    let limits = Limits {
        max_header_bytes: 16 * 1024,
        idle_timeout: TIMEOUT,
        max_connections: 100,
    };
    let listener = front::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let handler = |request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        let bytes = body.collect().await.unwrap().to_bytes();
        assert!(bytes.iter().all(|byte| *byte == b'q'));
        let service = head.headers.get("caller-service");
        let service = service.and_then(|value| value.to_str().ok());
        let text = format!("{} bytes from {service:?}", bytes.len());
        Ok(Response::new(full(text)))
    };
    tokio::spawn(Arc::new(Server::new(move || limits)).serve(listener, handler));
    address
}

/// Sends the bytes of a request on a new connection and returns the whole response.
async fn exchange(node: &Node, request: &[u8]) -> String {
    let mut socket = TcpStream::connect(node.callers).await.unwrap();
    socket.write_all(request).await.unwrap();
    let mut response = String::new();
    let reading = timeout(TIMEOUT, socket.read_to_string(&mut response)).await;
    reading.unwrap().unwrap();
    response
}

fn build_request(method: &str, length: usize, is_chunked: bool) -> Vec<u8> {
    let head = format!("{method} /status/1 HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n");
    let content = "q".repeat(length);
    let rest = if is_chunked {
        let mut chunks = String::from("transfer-encoding: chunked\r\n\r\n");
        for chunk in content.as_bytes().chunks(9000) {
            let chunk = std::str::from_utf8(chunk).unwrap();
            write!(chunks, "{:x}\r\n{chunk}\r\n", chunk.len()).unwrap();
        }
        chunks + "0\r\n\r\n"
    } else {
        format!("content-length: {length}\r\n\r\n{content}")
    };
    [head, rest].concat().into_bytes()
}

/// Guards against a body that is dropped on the way, by method, length and framing: long bodies of GET
/// requests in chunks were, since they are streamed and no header framed them.
#[tokio::test]
async fn bodies_reach_the_upstream_whole() {
    let store = Memory::default();
    store.set("config", LARGE_BODIES_VERSION.to_string().as_bytes());
    let upstream = start_upstream();
    let own = start_node(&store, "a").await;
    let other = start_node(&store, "b").await;
    wait_status(own.ready, "GET /", "200").await;
    wait_status(other.ready, "GET /", "200").await;
    let heartbeat = format!("POST /heartbeat/i-1/7/1/ready/{upstream}");
    assert_eq!(status(&send(own.announcements, &heartbeat).await), "200");
    for node in [&own, &other] {
        wait_status(node.callers, "GET /status/1", "200").await;
        for method in ["GET", "HEAD", "DELETE", "OPTIONS", "PATCH", "PUT", "POST"] {
            for length in [0, 1, 65_535, 65_536, 65_537, 100_000, 400_000] {
                for is_chunked in [false, true] {
                    let request = build_request(method, length, is_chunked);
                    let response = exchange(node, &request).await;
                    let case = format!("{method}, {length} bytes, chunked: {is_chunked}");
                    assert_eq!(status(&response), "200", "{case}: {response}");
                    let expected = format!("{length} bytes from");
                    let is_whole = method == "HEAD" || response.contains(&expected);
                    assert!(is_whole, "{case}: {response}");
                }
            }
        }
    }
}

/// Guards against a request that runs without the name of the calling service, because the caller has
/// named this header as one of its connection.
#[tokio::test]
async fn callers_cannot_remove_the_headers_that_the_node_sets() {
    let store = Memory::default();
    store.set("config", b"3");
    let upstream = start_upstream();
    let node = start_node(&store, "a").await;
    wait_status(node.ready, "GET /", "200").await;
    let _target = start_target(&store, "b", upstream);
    wait_status(node.callers, "GET /status/1", "200").await;
    for named in ["caller-service", "Caller-Service, close, host", "close"] {
        let request = format!(
            "GET /status/1 HTTP/1.1\r\nhost: a.example\r\ncaller-service: other\r\n\
             connection: close\r\nconnection: {named}\r\n\r\n"
        );
        let response = exchange(&node, request.as_bytes()).await;
        let expected = "0 bytes from Some(\"a-service\")";
        assert!(response.ends_with(expected), "{named}: {response}");
    }
}
