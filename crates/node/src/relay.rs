//! Connections of callers, relayed to the HTTP server's own listener.
//!
//! The HTTP library closes a body that failed in the same way as a complete one, does not tell a
//! handler that its caller hung up, and waits for request heads without limit. A connection that
//! passes through here can be broken off, is watched for hang-up, and is closed when it stays
//! without a call for too long.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep_until, timeout};

use crate::link::Link;

/// Largest piece that is read from a socket at once, in bytes.
const PIECE: usize = 16 * 1024;

/// Longest time that the rest of a request is read after the server has closed its side. Without
/// it, unread bytes make the kernel reset the connection and the caller may lose the answer.
const LINGER_MS: u64 = 1000;

/// Open connections of callers by the port that the HTTP server sees.
#[derive(Default)]
pub struct Relay {
    links: Mutex<HashMap<u16, Arc<Link>>>,
    open: watch::Sender<usize>,
}

impl Relay {
    /// Accepts connections until the task is dropped and carries each to `server`.
    ///
    /// At most `limit` connections are open; further ones are closed at once.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, server: SocketAddr, limit: usize) {
        let permits = Arc::new(Semaphore::new(limit));
        loop {
            let caller = match listener.accept().await {
                Ok((caller, _)) => caller,
                Err(error) => {
                    log::warn!(reason:% = error; "connection not accepted");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!(limit; "connection refused: too many are open");
                continue;
            };
            let relay = Arc::clone(&self);
            tokio::spawn(async move {
                if let Err(error) = relay.carry(caller, server).await {
                    log::debug!(reason:% = error; "connection ended");
                }
                drop(permit);
            });
        }
    }

    /// Connection that the HTTP server knows by its peer address.
    #[must_use]
    pub fn link(&self, peer: SocketAddr) -> Option<Arc<Link>> {
        self.lock().get(&peer.port()).cloned()
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }

    async fn carry(&self, caller: TcpStream, server: SocketAddr) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let server = TcpStream::connect(server).await?;
        server.set_nodelay(true)?;
        let port = server.local_addr()?.port();
        let link = Arc::new(Link::new());
        self.lock().insert(port, Arc::clone(&link));
        self.open.send_modify(|open| *open += 1);
        run(caller, server, &link).await;
        link.hang_up();
        self.lock().remove(&port);
        self.open.send_modify(|open| *open -= 1);
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u16, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Copies both directions until one side ends, the answer is broken off or the connection idles.
async fn run(mut caller: TcpStream, mut server: TcpStream, link: &Link) {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_server, mut to_server) = server.split();
    let up = copy(&mut from_caller, &mut to_server, || {
        link.note_bytes();
        true
    });
    // The server ends a failed answer like a complete one, but only after the connection was broken
    // off. Checked after each read, that end never reaches the caller.
    let down = copy(&mut from_server, &mut to_caller, || !link.is_broken());
    let complete = tokio::select! {
        _ = up => false,
        result = down => result.is_ok(),
        () = link.wait_broken() => false,
        () = wait_idle(link) => false,
    };
    if complete && !link.is_broken() {
        finish(&mut from_caller, &mut to_caller).await;
    } else {
        // A reset reaches the caller as an error even in the middle of a chunk.
        let _ = caller.set_zero_linger();
    }
    let _ = server.set_zero_linger();
}

/// Copies until the end of the stream or until `allow` says no to a piece that was read.
async fn copy<F>(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>, allow: F) -> io::Result<()>
where
    F: Fn() -> bool,
{
    loop {
        // The buffer exists only while there is data, so an idle connection holds none.
        reader.readable().await?;
        let mut buffer = BytesMut::with_capacity(PIECE);
        match reader.try_read_buf(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) if allow() => writer.write_all(&buffer).await?,
            Ok(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Ends the caller's side and drops what the caller still sends.
async fn finish(from_caller: &mut ReadHalf<'_>, to_caller: &mut WriteHalf<'_>) {
    if to_caller.shutdown().await.is_err() {
        return;
    }
    let mut rest = tokio::io::sink();
    let copying = tokio::io::copy(from_caller, &mut rest);
    // Either result means that the connection may be closed now.
    let _ = timeout(std::time::Duration::from_millis(LINGER_MS), copying).await;
}

/// Waits until the connection has been without a call for too long.
async fn wait_idle(link: &Link) {
    loop {
        match link.idle_deadline() {
            Some(deadline) if deadline.has_passed(tokio::time::Instant::now()) => return,
            Some(deadline) => {
                tokio::select! {
                    () = sleep_until(deadline.instant()) => {}
                    () = link.wait_changed() => {}
                }
            }
            None => link.wait_changed().await,
        }
    }
}
