//! Connections of callers, relayed to the HTTP server's own listener.
//!
//! The HTTP library closes a body that failed in the same way as a complete one, does not tell a
//! handler that its caller hung up, and waits for request heads without limit. A connection that
//! passes through here can be broken off, is watched for hang-up, and is closed when it stays
//! without a call for too long.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::link::Link;

/// Largest piece that is read from a socket at once, in bytes.
const PIECE: usize = 16 * 1024;

/// Longest time that the rest of a request is read after the server has closed its side. Without
/// it, unread bytes make the kernel reset the connection and the caller may lose the answer.
const LINGER: Duration = Duration::from_secs(1);

/// Wait after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

/// Open connections of callers by the port that the HTTP server sees.
pub struct Relay {
    links: Mutex<HashMap<u16, Arc<Link>>>,
    open: watch::Sender<usize>,
    stopping: watch::Sender<bool>,
    refusal: Box<dyn Fn() -> String + Send + Sync>,
}

impl Relay {
    /// Creates a relay without connections. `refusal` is the HTTP answer to requests that come too
    /// late for the HTTP server during a stop.
    pub fn new<F>(refusal: F) -> Self
    where
        F: Fn() -> String + Send + Sync + 'static,
    {
        Self {
            links: Mutex::default(),
            open: watch::Sender::default(),
            stopping: watch::Sender::default(),
            refusal: Box::new(refusal),
        }
    }

    /// Accepts connections until [`Relay::stop`] and carries each to `server`.
    ///
    /// At most `limit` connections are open; further ones are closed at once.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, server: SocketAddr, limit: usize) {
        let permits = Arc::new(Semaphore::new(limit));
        let mut stopping = self.stopping.subscribe();
        loop {
            let accepted = tokio::select! {
                // Connections that wait in the queue of the listener still get an answer.
                biased;
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|stopping| *stopping) => return,
            };
            let caller = match accepted {
                Ok((caller, _)) => caller,
                Err(error) => {
                    log::warn!(reason:% = error; "connection not accepted");
                    sleep(ACCEPT_WAIT).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!(limit; "connection refused: too many are open");
                continue;
            };
            let relay = Arc::clone(&self);
            tokio::spawn(async move {
                relay.open.send_modify(|open| *open += 1);
                if let Err(error) = relay.carry(caller, server).await {
                    log::debug!(reason:% = error; "connection ended");
                }
                relay.open.send_modify(|open| *open -= 1);
                drop(permit);
            });
        }
    }

    /// Connection that the HTTP server knows by its peer address.
    #[must_use]
    pub fn link(&self, peer: SocketAddr) -> Option<Arc<Link>> {
        self.lock().get(&peer.port()).cloned()
    }

    /// Takes no more connections; requests that the HTTP server no longer takes are refused.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }

    async fn carry(&self, mut caller: TcpStream, server: SocketAddr) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let server = match TcpStream::connect(server).await {
            Ok(server) => server,
            Err(_) if self.is_stopping() => {
                let _ = timeout(LINGER, caller.readable()).await;
                self.refuse(&mut caller).await;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        server.set_nodelay(true)?;
        // The internal connection is dropped only when nothing is left to deliver; a reset frees
        // its port at once.
        server.set_zero_linger()?;
        let port = server.local_addr()?.port();
        let link = Arc::new(Link::new());
        self.lock().insert(port, Arc::clone(&link));
        let complete = run(&mut caller, server, &link).await;
        link.hang_up();
        self.lock().remove(&port);
        if !complete {
            // A reset reaches the caller as an error even in the middle of a chunk.
            return caller.set_zero_linger();
        }
        if self.is_stopping() && link.is_started() {
            self.refuse(&mut caller).await;
        } else {
            finish(&mut caller).await;
        }
        Ok(())
    }

    /// Answers a request that has not reached the HTTP server.
    async fn refuse(&self, caller: &mut TcpStream) {
        // The caller may have gone, which ends the connection as well.
        let _ = caller.write_all((self.refusal)().as_bytes()).await;
        finish(caller).await;
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u16, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Copies both directions until one side ends, the answer is broken off or the connection idles.
/// True when the server has ended its side and all its bytes are delivered.
async fn run(caller: &mut TcpStream, mut server: TcpStream, link: &Link) -> bool {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_server, mut to_server) = server.split();
    let up = copy(&mut from_caller, &mut to_server, || {
        link.note_bytes();
        true
    });
    // The server ends a failed answer like a complete one, but only after the connection was broken
    // off. Checked after each read, that end never reaches the caller.
    let down = copy(&mut from_server, &mut to_caller, || !link.is_broken());
    tokio::pin!(up, down);
    let complete = tokio::select! {
        // A request that cannot be passed on means that the server has ended its side.
        result = &mut up => result.is_err() && down.await.is_ok(),
        result = &mut down => result.is_ok(),
        () = link.wait_broken() => false,
        () = wait_idle(link) => false,
    };
    complete && !link.is_broken()
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

/// Ends the sending side and drops what the caller still sends.
async fn finish(caller: &mut TcpStream) {
    if caller.shutdown().await.is_err() {
        return;
    }
    let mut rest = tokio::io::sink();
    // Either result means that the connection may be closed now.
    let _ = timeout(LINGER, tokio::io::copy(caller, &mut rest)).await;
}

/// Waits until the connection has been without a call for too long.
async fn wait_idle(link: &Link) {
    loop {
        match link.idle_deadline() {
            Some(deadline) if deadline.has_passed(Instant::now()) => return,
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
