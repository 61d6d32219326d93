//! Relays the connections of callers to the internal listener of the HTTP server.
//!
//! The HTTP library ends a failed body in the same way as a complete one, does not tell a handler
//! that its caller has disconnected, and waits for request heads without a time limit. The relay
//! can abort a connection, detects when the caller disconnects, and closes connections that have
//! been idle for too long.

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

use crate::connection::Connection;

/// Most bytes that are read from a socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Longest time that a connection is kept open after the server has closed its side.
///
/// The rest of a request is still read, because unread bytes make the kernel reset the connection
/// and the caller may lose the answer. During a shutdown, a request that is already in transit is
/// still received.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for a caller to accept one chunk of its answer. The HTTP library does not poll a
/// body while an earlier chunk waits, so a caller that reads nothing would keep its call open
/// forever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why relaying a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The server has closed its side and all its bytes are delivered.
    Complete,
    /// The server has reset its side, as it does when it shuts down while a request arrives.
    ServerReset,
    /// The answer was aborted, the caller has disconnected, or the connection was idle for too
    /// long.
    Aborted,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ShutdownPhase {
    #[default]
    Running,
    Draining,
    Stopping,
}

/// TCP relay between the callers and the HTTP server.
pub struct Relay {
    /// Open connections by the peer port that the HTTP server sees.
    connections: Mutex<HashMap<u16, Arc<Connection>>>,
    open_count: watch::Sender<usize>,
    phase: watch::Sender<ShutdownPhase>,
    format_refusal: Box<dyn Fn() -> String + Send + Sync>,
}

impl Relay {
    /// Creates a relay without connections. `format_refusal` returns the HTTP answer to requests
    /// that arrive during a shutdown after the HTTP server has stopped accepting them.
    pub fn new<F>(format_refusal: F) -> Self
    where
        F: Fn() -> String + Send + Sync + 'static,
    {
        Self {
            connections: Mutex::default(),
            open_count: watch::Sender::default(),
            phase: watch::Sender::default(),
            format_refusal: Box::new(format_refusal),
        }
    }

    /// Accepts connections until [`Relay::stop`] and relays each to `server`.
    ///
    /// At most `max_connections` are open; further ones are closed at once.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        server: SocketAddr,
        max_connections: usize,
    ) {
        let accepting = OpenGuard::new(&self);
        let permits = Arc::new(Semaphore::new(max_connections));
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((caller, _)) => self.spawn_connection(caller, server, &permits),
                    Err(error) => {
                        log::warn!(reason:% = error; "connection not accepted");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = self.wait_stopping() => break,
            }
        }
        // The runtime may not have seen all connections in the accept queue yet, and closing the
        // listener would reset them.
        if let Ok(listener) = listener.into_std() {
            while let Ok((caller, _)) = listener.accept() {
                if let Ok(()) = caller.set_nonblocking(true)
                    && let Ok(caller) = TcpStream::from_std(caller)
                {
                    self.spawn_connection(caller, server, &permits);
                }
            }
        }
        drop(accepting);
    }

    /// Starts the task of one connection, unless too many are open.
    fn spawn_connection(
        self: &Arc<Self>,
        caller: TcpStream,
        server: SocketAddr,
        permits: &Arc<Semaphore>,
    ) {
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
            log::warn!("connection refused: too many are open");
            return;
        };
        let guard = OpenGuard::new(self);
        tokio::spawn(async move {
            if let Err(error) = guard.0.relay_connection(caller, server).await {
                log::debug!(reason:% = error; "connection ended");
            }
            drop(permit);
        });
    }

    /// Finds a connection by the peer address that the HTTP server sees.
    #[must_use]
    pub fn find_connection(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().get(&peer.port()).cloned()
    }

    /// Starts draining: each connection closes after its current answer, so that callers send no
    /// further requests on it.
    pub fn drain(&self) {
        self.phase.send_replace(ShutdownPhase::Draining);
    }

    /// Whether each connection closes after its current answer.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() != ShutdownPhase::Running
    }

    /// Stops accepting connections and refuses requests that the HTTP server no longer accepts.
    pub fn stop(&self) {
        self.phase.send_replace(ShutdownPhase::Stopping);
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self
            .open_count
            .subscribe()
            .wait_for(|open| *open == 0)
            .await;
    }

    async fn relay_connection(&self, mut caller: TcpStream, server: SocketAddr) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let server = match TcpStream::connect(server).await {
            Ok(server) => server,
            Err(_) if self.is_stopping() && receives_request(&caller).await => {
                self.refuse(&mut caller).await;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        server.set_nodelay(true)?;
        // The internal connection is dropped only when nothing is left to deliver, and a reset
        // frees its port immediately.
        server.set_zero_linger()?;
        let port = server.local_addr()?.port();
        let connection = Arc::new(Connection::new());
        self.lock().insert(port, Arc::clone(&connection));
        let reason = copy_streams(&mut caller, server, &connection).await;
        let idle = reason != CloseReason::Aborted && connection.idle_deadline().is_some();
        connection.mark_disconnected();
        self.lock().remove(&port);
        if self.is_stopping()
            && idle
            && (connection.is_receiving() || receives_request(&caller).await)
        {
            self.refuse(&mut caller).await;
        } else if reason == CloseReason::Complete {
            close_gracefully(&mut caller).await;
        } else {
            // The caller sees a reset as an error even in the middle of a chunk.
            caller.set_zero_linger()?;
        }
        Ok(())
    }

    /// Refuses a request that has not reached the HTTP server.
    async fn refuse(&self, caller: &mut TcpStream) {
        // A failed write means that the caller has disconnected, which ends the connection as well.
        let _ = caller.write_all((self.format_refusal)().as_bytes()).await;
        close_gracefully(caller).await;
    }

    async fn wait_stopping(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let mut phase = self.phase.subscribe();
        let _ = phase
            .wait_for(|phase| *phase == ShutdownPhase::Stopping)
            .await;
    }

    fn is_stopping(&self) -> bool {
        *self.phase.borrow() == ShutdownPhase::Stopping
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u16, Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts as one open connection while it lives.
struct OpenGuard(Arc<Relay>);

impl OpenGuard {
    fn new(relay: &Arc<Relay>) -> Self {
        relay.open_count.send_modify(|open| *open += 1);
        Self(Arc::clone(relay))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_count.send_modify(|open| *open -= 1);
    }
}

/// Whether the caller sends another request within [`LINGER_TIMEOUT`]. Closing an idle connection
/// at once would lose a request that is already in transit.
async fn receives_request(caller: &TcpStream) -> bool {
    matches!(
        timeout(LINGER_TIMEOUT, caller.peek(&mut [0])).await,
        Ok(Ok(1))
    )
}

/// Copies both directions until one side ends, the answer is aborted or the connection has been
/// idle for too long.
async fn copy_streams(
    caller: &mut TcpStream,
    mut server: TcpStream,
    connection: &Connection,
) -> CloseReason {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_server, mut to_server) = server.split();
    // No write timeout: the deadline of the call limits how long a request may remain unread.
    let requests = copy(&mut from_caller, &mut to_server, Duration::MAX, || {
        connection.mark_receiving();
        true
    });
    // The server ends a failed answer like a complete one, but only after the connection was
    // aborted. The check after each read keeps that end from reaching the caller.
    let answers = copy(&mut from_server, &mut to_caller, WRITE_TIMEOUT, || {
        !connection.is_aborted()
    });
    tokio::pin!(requests, answers);
    let delivered = tokio::select! {
        result = &mut requests => match result {
            Ok(()) => return CloseReason::Aborted,
            // A request that cannot be forwarded means that the server has closed its side.
            Err(_) => answers.await,
        },
        result = &mut answers => result,
        () = connection.wait_aborted() => return CloseReason::Aborted,
        () = wait_idle(connection) => return CloseReason::Aborted,
    };
    match delivered {
        _ if connection.is_aborted() => CloseReason::Aborted,
        Ok(()) => CloseReason::Complete,
        Err(_) => CloseReason::ServerReset,
    }
}

/// Copies until the end of the stream, until writing a chunk takes longer than `write_timeout`, or
/// until `allow` returns false for a chunk that was read.
async fn copy<F>(
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    write_timeout: Duration,
    allow: F,
) -> io::Result<()>
where
    F: Fn() -> bool,
{
    loop {
        // The buffer exists only while there is data, so an idle connection holds none.
        reader.readable().await?;
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        match reader.try_read_buf(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) if allow() => timeout(write_timeout, writer.write_all(&buffer)).await??,
            Ok(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Closes the sending side and discards what the caller still sends.
async fn close_gracefully(caller: &mut TcpStream) {
    if caller.shutdown().await.is_err() {
        return;
    }
    let mut rest = tokio::io::sink();
    // The connection may be closed now, whatever the result is.
    let _ = timeout(LINGER_TIMEOUT, tokio::io::copy(caller, &mut rest)).await;
}

/// Waits until the idle deadline of the connection has passed.
async fn wait_idle(connection: &Connection) {
    loop {
        match connection.idle_deadline() {
            Some(deadline) if deadline.has_passed(Instant::now()) => return,
            Some(deadline) => {
                tokio::select! {
                    () = sleep_until(deadline.instant()) => {}
                    () = connection.wait_activity() => {}
                }
            }
            None => connection.wait_activity().await,
        }
    }
}
