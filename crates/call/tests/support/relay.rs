use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Open connections stay open and nothing passes; new connections are not accepted either.
    Silent,
    /// Open connections are closed and new ones are closed at once.
    Cut,
}

/// Link between two nodes that a test can cut or silence.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<watch::Sender<Link>>,
    passed: Arc<watch::Sender<u64>>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(watch::Sender::new(Link::Open));
        let passed = Arc::new(watch::Sender::new(0));
        let (states, count) = (Arc::clone(&state), Arc::clone(&passed));
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (states, count) = (Arc::clone(&states), Arc::clone(&count));
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(to).await else {
                        return;
                    };
                    let (from_client, to_client) = client.into_split();
                    let (from_server, to_server) = server.into_split();
                    let other = Arc::new(watch::Sender::new(0));
                    tokio::select! {
                        () = copy(from_client, to_server, states.subscribe(), count) => {}
                        () = copy(from_server, to_client, states.subscribe(), other) => {}
                    }
                });
            }
        });
        Self {
            address,
            state,
            passed,
        }
    }

    pub fn set(&self, link: Link) {
        self.state.send_replace(link);
    }

    /// Waits until this many bytes have passed from the client in all.
    pub async fn wait_passed(&self, bytes: u64) {
        let mut passed = self.passed.subscribe();
        passed.wait_for(|passed| *passed >= bytes).await.unwrap();
    }

    pub fn passed(&self) -> u64 {
        *self.passed.borrow()
    }
}

/// Copies until the link is cut or a side closes; holds everything back while it is silent.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Link>,
    passed: Arc<watch::Sender<u64>>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let _ = state.wait_for(|link| *link != Link::Silent).await;
        if *state.borrow() == Link::Cut {
            return;
        }
        tokio::select! {
            read = from.read(&mut buffer) => match read {
                Ok(count) if count > 0 => {
                    let _ = state.wait_for(|link| *link != Link::Silent).await;
                    if to.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                    passed.send_modify(|passed| *passed += count as u64);
                }
                _ => return,
            },
            _ = state.changed() => {}
        }
    }
}
