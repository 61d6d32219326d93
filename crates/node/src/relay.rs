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

/// Longest time that a connection is kept after the server has closed its side: for the rest of a
/// request, because unread bytes make the kernel reset the connection and the caller may lose the
/// answer, and during a stop for a request that is on its way.
const LINGER: Duration = Duration::from_secs(1);

/// Longest time for a caller to take one piece of its answer. The HTTP library does not look at a body
/// while an earlier piece waits, so a caller that reads nothing would hold its call for ever.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// Wait after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

/// How the relay of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The server has ended its side and all its bytes are delivered.
    Complete,
    /// The server has reset its side, as it does when it stops while a request comes in.
    Lost,
    /// The answer was broken off, the caller has gone, or the connection was idle for too long.
    Cut,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Open,
    Draining,
    Stopping,
}

/// Open connections of callers by the port that the HTTP server sees.
pub struct Relay {
    links: Mutex<HashMap<u16, Arc<Link>>>,
    open: watch::Sender<usize>,
    stage: watch::Sender<Stage>,
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
            stage: watch::Sender::default(),
            refusal: Box::new(refusal),
        }
    }

    /// Accepts connections until [`Relay::stop`] and carries each to `server`.
    ///
    /// At most `limit` connections are open; further ones are closed at once.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, server: SocketAddr, limit: usize) {
        let accepting = Open::new(&self);
        let permits = Arc::new(Semaphore::new(limit));
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((caller, _)) => self.start(caller, server, &permits),
                    Err(error) => {
                        log::warn!(reason:% = error; "connection not accepted");
                        sleep(ACCEPT_WAIT).await;
                    }
                },
                () = self.wait_stopping() => break,
            }
        }
        // The runtime may not know yet about connections that wait in the queue of the listener, and
        // closing the listener resets them.
        if let Ok(listener) = listener.into_std() {
            while let Ok((caller, _)) = listener.accept() {
                if let Ok(()) = caller.set_nonblocking(true)
                    && let Ok(caller) = TcpStream::from_std(caller)
                {
                    self.start(caller, server, &permits);
                }
            }
        }
        drop(accepting);
    }

    /// Starts the task of one connection, unless too many are open.
    fn start(self: &Arc<Self>, caller: TcpStream, server: SocketAddr, permits: &Arc<Semaphore>) {
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
            log::warn!("connection refused: too many are open");
            return;
        };
        let open = Open::new(self);
        tokio::spawn(async move {
            if let Err(error) = open.0.carry(caller, server).await {
                log::debug!(reason:% = error; "connection ended");
            }
            drop(permit);
        });
    }

    /// Connection that the HTTP server knows by its peer address.
    #[must_use]
    pub fn link(&self, peer: SocketAddr) -> Option<Arc<Link>> {
        self.lock().get(&peer.port()).cloned()
    }

    /// Lets connections end after the answer that they carry, so that callers open no further calls
    /// on them.
    pub fn drain(&self) {
        self.stage.send_replace(Stage::Draining);
    }

    /// Whether connections end after the answer that they carry.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() != Stage::Open
    }

    /// Takes no more connections; requests that the HTTP server no longer takes are refused.
    pub fn stop(&self) {
        self.stage.send_replace(Stage::Stopping);
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
            Err(_) if self.is_stopping() && has_request(&caller).await => {
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
        let end = run(&mut caller, server, &link).await;
        let idle = end != End::Cut && link.idle_deadline().is_some();
        link.hang_up();
        self.lock().remove(&port);
        if self.is_stopping() && idle && (link.is_started() || has_request(&caller).await) {
            self.refuse(&mut caller).await;
        } else if end == End::Complete {
            finish(&mut caller).await;
        } else {
            // A reset reaches the caller as an error even in the middle of a chunk.
            caller.set_zero_linger()?;
        }
        Ok(())
    }

    /// Answers a request that has not reached the HTTP server.
    async fn refuse(&self, caller: &mut TcpStream) {
        // The caller may have gone, which ends the connection as well.
        let _ = caller.write_all((self.refusal)().as_bytes()).await;
        finish(caller).await;
    }

    async fn wait_stopping(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let mut stage = self.stage.subscribe();
        let _ = stage.wait_for(|stage| *stage == Stage::Stopping).await;
    }

    fn is_stopping(&self) -> bool {
        *self.stage.borrow() == Stage::Stopping
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u16, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts as an open connection while it lives.
struct Open(Arc<Relay>);

impl Open {
    fn new(relay: &Arc<Relay>) -> Self {
        relay.open.send_modify(|open| *open += 1);
        Self(Arc::clone(relay))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.send_modify(|open| *open -= 1);
    }
}

/// Whether the caller sends another request within the time that its connection is kept for it. An
/// idle connection that is closed at once loses a request that is already on its way.
async fn has_request(caller: &TcpStream) -> bool {
    matches!(timeout(LINGER, caller.peek(&mut [0])).await, Ok(Ok(1)))
}

/// Copies both directions until one side ends, the answer is broken off or the connection idles.
async fn run(caller: &mut TcpStream, mut server: TcpStream, link: &Link) -> End {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_server, mut to_server) = server.split();
    // The deadline of the call limits the time for which its request is not read.
    let up = copy(&mut from_caller, &mut to_server, Duration::MAX, || {
        link.note_bytes();
        true
    });
    // The server ends a failed answer like a complete one, but only after the connection was broken
    // off. Checked after each read, that end never reaches the caller.
    let down = copy(&mut from_server, &mut to_caller, STALL_LIMIT, || {
        !link.is_broken()
    });
    tokio::pin!(up, down);
    let delivered = tokio::select! {
        result = &mut up => match result {
            Ok(()) => return End::Cut,
            // A request that cannot be passed on means that the server has ended its side.
            Err(_) => down.await,
        },
        result = &mut down => result,
        () = link.wait_broken() => return End::Cut,
        () = wait_idle(link) => return End::Cut,
    };
    match delivered {
        _ if link.is_broken() => End::Cut,
        Ok(()) => End::Complete,
        Err(_) => End::Lost,
    }
}

/// Copies until the end of the stream, until a piece is not taken within `limit`, or until `allow`
/// says no to a piece that was read.
async fn copy<F>(
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    limit: Duration,
    allow: F,
) -> io::Result<()>
where
    F: Fn() -> bool,
{
    loop {
        // The buffer exists only while there is data, so an idle connection holds none.
        reader.readable().await?;
        let mut buffer = BytesMut::with_capacity(PIECE);
        match reader.try_read_buf(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) if allow() => timeout(limit, writer.write_all(&buffer)).await??,
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
