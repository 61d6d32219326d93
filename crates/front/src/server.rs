use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::activity::Activity;
use crate::body::GuardedBody;
use crate::{Aborted, Body};

/// Length of the accept queue. When it is full, the SYN of a further connection is dropped, and its
/// sender retries after one second.
const BACKLOG: u32 = 4096;

/// Delay after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for one exchange. It limits how long a caller that never reads its response holds
/// resources.
const EXCHANGE_TIMEOUT: Duration = Duration::from_mins(2);

/// Smallest read buffer that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits of a server and its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Time after which a connection without an exchange is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; further ones are closed when they are accepted.
    pub max_connections: usize,
}

/// Address of the sender of a request, in the extensions of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub SocketAddr);

/// HTTP server of one or more ports.
pub struct Server {
    limits: Box<dyn Fn() -> Limits + Send + Sync>,
    open_connections: watch::Sender<usize>,
    exchanges: watch::Sender<usize>,
    draining: watch::Sender<bool>,
}

/// Adds one to a counter until it is dropped.
struct CountGuard(watch::Sender<usize>);

impl CountGuard {
    fn new(counter: &watch::Sender<usize>) -> Self {
        counter.send_modify(|count| *count += 1);
        Self(counter.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl Server {
    /// Creates a server without ports. `limits` is called for each connection and each idle period.
    pub fn new<L>(limits: L) -> Self
    where
        L: Fn() -> Limits + Send + Sync + 'static,
    {
        Self {
            limits: Box::new(limits),
            open_connections: watch::Sender::new(0),
            exchanges: watch::Sender::new(0),
            draining: watch::Sender::new(false),
        }
    }

    /// Accepts connections until the future is dropped. Connections that are open then stay open.
    pub async fn serve<H, F>(self: Arc<Self>, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Aborted>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        loop {
            let (socket, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(reason:% = error; "connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let limits = (self.limits)();
            if *self.open_connections.borrow() >= limits.max_connections {
                log::warn!(limit = limits.max_connections; "connection refused: too many are open");
                continue;
            }
            let (server, handler) = (Arc::clone(&self), Arc::clone(&handler));
            let guard = CountGuard::new(&self.open_connections);
            tokio::spawn(async move {
                server.serve_connection(socket, peer, limits, handler).await;
                drop(guard);
            });
        }
    }

    /// Closes each connection after its next response. Idle connections stay open until then,
    /// because closing one would lose a request that is already on its way.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        *self.open_connections.borrow()
    }

    /// Number of requests whose responses have not been delivered.
    #[must_use]
    pub fn exchanges(&self) -> usize {
        *self.exchanges.borrow()
    }

    /// Waits until no exchange is in progress.
    pub async fn wait_idle(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self
            .exchanges
            .subscribe()
            .wait_for(|count| *count == 0)
            .await;
    }

    async fn serve_connection<H, F>(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        handler: Arc<H>,
    ) where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Aborted>> + Send + 'static,
    {
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!(reason:% = error; "cannot set TCP_NODELAY, closing the connection");
            return;
        }
        let activity = Activity::new();
        let service = service_fn(|mut request: Request<Incoming>| {
            request.extensions_mut().insert(Peer(peer));
            let guard = (activity.begin_exchange(), CountGuard::new(&self.exchanges));
            let response = handler(request);
            async move {
                let mut response = response.await?;
                if *self.draining.borrow() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Aborted>(response.map(|body| GuardedBody::new(body, guard)))
            }
        });
        let mut connection = pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(socket), service)
        );
        let mut shutting_down = false;
        loop {
            let deadline = activity.deadline((self.limits)().idle_timeout, EXCHANGE_TIMEOUT);
            tokio::select! {
                result = &mut connection => {
                    if let Err(error) = result {
                        log::debug!(reason:% = error; "connection ended with an error");
                    }
                    return;
                }
                () = sleep_until(deadline.instant()) => {
                    let now = Instant::now();
                    let latest = activity.deadline((self.limits)().idle_timeout, EXCHANGE_TIMEOUT);
                    if !latest.has_passed(now) {
                        continue;
                    }
                    if shutting_down || !activity.is_idle() {
                        return;
                    }
                    shutting_down = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Binds a listener whose accept queue holds the connections of many callers.
///
/// Must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns the error of the operating system when the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
