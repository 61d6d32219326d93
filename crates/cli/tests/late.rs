//! A write that reaches the store after its publisher has looked for it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cli::{Archive, Effect, Publisher};
use common::{check_history, order, publisher, soon};
use standin::store::Store as Standin;
use store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use types::Version;

/// Reads one HTTP message with a content length; `None` when the connection ends.
async fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    loop {
        if stream.read_buf(&mut message).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&message).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.unwrap().parse::<usize>().unwrap() {
            return Some(message);
        }
    }
}

async fn ask(store: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(store).await.unwrap();
    stream.write_all(request).await.unwrap();
    read_message(&mut stream).await.unwrap()
}

/// Relays a connection. The first transaction with a comparison stays here without an answer, and
/// reaches the store just before the second one.
async fn relay(mut client: TcpStream, store: SocketAddr, late: Arc<Mutex<Option<Vec<u8>>>>) {
    while let Some(request) = read_message(&mut client).await {
        if String::from_utf8_lossy(&request).contains("\"compare\":[{") {
            let first = late.lock().unwrap().take();
            let Some(first) = first else {
                *late.lock().unwrap() = Some(request);
                sleep(Duration::from_secs(10)).await;
                return;
            };
            ask(store, &first).await;
        }
        let answer = ask(store, &request).await;
        if client.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Guards against a publisher that takes its own late write for that of another publisher, and then
/// reports that nothing was published.
#[tokio::test]
async fn a_late_write_counts_as_published() {
    let standin = Standin::start_local().await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (address, late) = (standin.address(), Arc::default());
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, address, Arc::clone(&late)));
        }
    });
    let store = Store::new(vec![url.parse().unwrap()]).unwrap();
    let mut slow = Publisher::new(Archive::new(store), "slow");
    let done = slow.publish(&order(&[("a", 1)]), soon()).await.unwrap();
    assert_eq!(
        (done.effect, done.version),
        (Effect::Published, Version::new(1))
    );
    assert_eq!(check_history(&standin).await.len(), 1);
    let next = publisher(&standin, "ana")
        .publish(&order(&[("a", 2)]), soon())
        .await
        .unwrap();
    assert_eq!(next.version, Version::new(2));
}
