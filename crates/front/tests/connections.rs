//! Connections of callers: graceful shutdown, disconnects, aborted responses and idle timeouts.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use front::{Aborted, Body, Limits, Server, full, stream};
use futures::future::{Ready, ready};
use futures::{StreamExt, stream as streams};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Upper bound for operations that complete at once, with room for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(5);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: portal.example\r\n\r\n";

fn start_server<H, F>(idle_timeout: Duration, handler: H) -> (Arc<Server>, SocketAddr)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Aborted>> + Send + 'static,
{
    let limits = Limits {
        max_header_bytes: 16 * 1024,
        idle_timeout,
        max_connections: 100,
    };
    let server = Arc::new(Server::new(move || limits));
    let listener = front::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Arc::clone(&server).serve(listener, handler));
    (server, address)
}

fn respond_hello() -> Ready<Result<Response<Body>, Aborted>> {
    ready(Ok(Response::new(full("hello"))))
}

/// Sends a request and reads the response up to and including `end`.
async fn exchange(socket: &mut TcpStream, end: &str) -> String {
    socket.write_all(REQUEST).await.unwrap();
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let count = timeout(TIMEOUT, socket.read(&mut buffer))
            .await
            .unwrap()
            .unwrap();
        assert!(count > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    text
}

/// Guards against a graceful shutdown that closes a new connection before its request is read, or
/// an idle keep-alive connection while a request is on its way.
#[tokio::test]
async fn drain_answers_on_new_and_keep_alive_connections_and_then_closes_them() {
    let (server, address) = start_server(TIMEOUT, |_| respond_hello());
    let mut keep_alive = TcpStream::connect(address).await.unwrap();
    let first = exchange(&mut keep_alive, "hello").await;
    assert!(!first.contains("connection: close"), "{first}");
    server.drain();
    sleep(Duration::from_millis(50)).await;
    for socket in [
        &mut keep_alive,
        &mut TcpStream::connect(address).await.unwrap(),
    ] {
        let response = exchange(socket, "hello").await;
        assert!(response.contains("connection: close"), "{response}");
        let end = timeout(TIMEOUT, socket.read(&mut [0]))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(end, 0);
    }
    timeout(TIMEOUT, server.wait_idle()).await.unwrap();
}

/// Guards against a response whose head and first chunk are dropped when its body fails right after
/// them, so that the caller does not even get a status line.
#[tokio::test]
async fn what_precedes_an_abort_is_sent() {
    let (_server, address) = start_server(TIMEOUT, |_| {
        let chunks = [Ok(Bytes::from("first")), Err(Aborted("cut".to_owned()))];
        ready(Ok(Response::new(stream(streams::iter(chunks)))))
    });
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(REQUEST).await.unwrap();
    let mut response = String::new();
    let reading = timeout(TIMEOUT, socket.read_to_string(&mut response)).await;
    reading.unwrap().unwrap();
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response:?}");
    assert!(response.ends_with("5\r\nfirst\r\n"), "{response:?}");
}

/// Guards against a handler that keeps running after its caller has disconnected.
#[tokio::test]
async fn handler_is_dropped_when_the_caller_disconnects() {
    struct DropCounter(Arc<AtomicUsize>);
    impl Drop for DropCounter {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let dropped = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&dropped);
    let (server, address) = start_server(TIMEOUT, move |_| {
        let guard = DropCounter(Arc::clone(&counter));
        async move {
            sleep(Duration::from_mins(5)).await;
            drop(guard);
            respond_hello().await
        }
    });
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(REQUEST).await.unwrap();
    while server.exchanges() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(socket);
    timeout(TIMEOUT, server.wait_idle()).await.unwrap();
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}

/// Guards against a truncated response that looks complete.
#[tokio::test]
async fn aborted_response_has_no_final_chunk() {
    let (_server, address) = start_server(TIMEOUT, |_| async {
        let chunks = [Ok(Bytes::from("part")), Err(Aborted("lost".to_owned()))];
        let slow = streams::iter(chunks).then(|chunk| async {
            sleep(Duration::from_millis(50)).await;
            chunk
        });
        Ok(Response::new(stream(slow)))
    });
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(REQUEST).await.unwrap();
    let mut text = Vec::new();
    // The connection may also end by a reset, which does not complete the response either.
    let _ = timeout(TIMEOUT, socket.read_to_end(&mut text))
        .await
        .unwrap();
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("transfer-encoding: chunked"), "{text}");
    assert!(!text.contains("0\r\n\r\n"), "{text}");
}

/// Guards against connections that stay open although their callers send nothing.
#[tokio::test]
async fn idle_connections_are_closed() {
    let (server, address) = start_server(Duration::from_millis(200), |_| respond_hello());
    let mut silent = TcpStream::connect(address).await.unwrap();
    let mut used = TcpStream::connect(address).await.unwrap();
    exchange(&mut used, "hello").await;
    for socket in [&mut silent, &mut used] {
        let end = timeout(TIMEOUT, socket.read(&mut [0]))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(end, 0);
    }
    assert_eq!(server.connections(), 0);
}

/// Guards against a request head without end that keeps its connection or is collected in memory,
/// sent fast or slowly.
#[tokio::test]
async fn endless_request_heads_end_the_connection() {
    let heads: [(&[u8], &[u8]); 4] = [
        (b"", b"G"),
        (b"GET /", b"a"),
        (b"GET / HTTP/1.1\r\n", b"x: y\r\n"),
        (b"GET / HTTP/1.1\r\nx: ", b"y"),
    ];
    for (first, unit) in heads {
        // The fast one must end by its size, the slow one by the idle timeout.
        for (count, pause, idle_timeout) in [
            (1000, Duration::ZERO, TIMEOUT * 2),
            (1, Duration::from_millis(20), Duration::from_millis(300)),
        ] {
            let (server, address) = start_server(idle_timeout, |_| respond_hello());
            let mut socket = TcpStream::connect(address).await.unwrap();
            socket.write_all(first).await.unwrap();
            let part = unit.repeat(count);
            let sending = async {
                while socket.write_all(&part).await.is_ok() {
                    sleep(pause).await;
                }
            };
            assert!(
                timeout(TIMEOUT, sending).await.is_ok(),
                "{first:?} {unit:?} {pause:?}"
            );
            while server.connections() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}
