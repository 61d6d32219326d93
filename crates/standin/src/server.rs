//! HTTP server with faults at the level of connections: refused, hanging and silent ones.

use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::reply::{Body, Cut};

/// Wait between two tries to listen again on an address after an outage.
const REBIND_WAIT: Duration = Duration::from_millis(20);

/// Tries to listen again after an outage, about 5 seconds in all.
const REBIND_TRIES: u32 = 250;

/// Wait after a failed accept, for example while the process has no free file descriptor.
const ACCEPT_WAIT: Duration = Duration::from_millis(10);

/// What the listening socket does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Refusing,
    Closed,
}

/// Switch for the connections of one server.
pub(crate) struct Gate {
    phase: watch::Sender<Phase>,
    /// Phase that the listening socket has reached.
    reached: watch::Sender<Phase>,
    hanging: AtomicBool,
    /// Connections with a lower number are silent for good.
    silent_below: AtomicU64,
    next_connection: AtomicU64,
}

impl Gate {
    fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Open),
            reached: watch::Sender::new(Phase::Open),
            hanging: AtomicBool::new(false),
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
        }
    }

    /// Refuses connections and closes the open ones, or accepts them again. See [`Gate::wait_settled`].
    pub(crate) fn refuse(&self, refuse: bool) {
        let wanted = if refuse { Phase::Refusing } else { Phase::Open };
        self.phase.send_if_modified(|phase| {
            let changes = *phase != Phase::Closed && *phase != wanted;
            if changes {
                *phase = wanted;
            }
            changes
        });
    }

    /// Waits until the listening socket has followed the last [`Gate::refuse`].
    pub(crate) async fn wait_settled(&self) {
        let wanted = *self.phase.borrow();
        let mut reached = self.reached.subscribe();
        // The sender is in `self`, so this cannot fail.
        let _ = reached
            .wait_for(|phase| *phase == wanted || *phase == Phase::Closed)
            .await;
    }

    /// Leaves every request without an answer, or answers those on new connections again.
    pub(crate) fn hang(&self, hang: bool) {
        self.hanging.store(hang, Ordering::SeqCst);
        if hang {
            self.silence();
        }
    }

    /// Makes the open connections silent for good. Later ones work.
    pub(crate) fn silence(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.silent_below.fetch_max(next, Ordering::SeqCst);
    }
}

/// Accepted connection, as its requests see it.
#[derive(Clone)]
pub(crate) struct Connection {
    number: u64,
    gate: Arc<Gate>,
}

impl Connection {
    /// Returns at once on a working connection and never on a silent one.
    pub(crate) async fn wait_audible(&self) {
        let below = self.gate.silent_below.load(Ordering::SeqCst);
        if self.gate.hanging.load(Ordering::SeqCst) || self.number < below {
            pending::<()>().await;
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Open connections; further ones are closed at once.
    pub(crate) connections: usize,
    /// Time that a new connection waits before its first request.
    pub(crate) accept_delay: Duration,
}

impl Default for Limits {
    /// Hardly any limit; it only bounds the file descriptors of a test.
    fn default() -> Self {
        Self {
            connections: 10_000,
            accept_delay: Duration::ZERO,
        }
    }
}

/// Running server. Dropping it stops it.
pub(crate) struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers each request with the handler that `make` returns.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the address cannot be listened on.
    pub(crate) async fn start<M, H, F>(
        address: SocketAddr,
        limits: Limits,
        make: M,
    ) -> io::Result<Self>
    where
        M: FnOnce(Arc<Gate>) -> H,
        H: Fn(Connection, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let gate = Arc::new(Gate::new());
        let handle = make(Arc::clone(&gate));
        let task = tokio::spawn(run(listener, limits, Arc::clone(&gate), handle));
        Ok(Self {
            address,
            gate,
            task,
        })
    }

    /// Address that the server listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switch for the connections.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Stops listening and closes the open connections.
    pub(crate) async fn stop(&mut self) {
        self.gate.phase.send_replace(Phase::Closed);
        // An error means that the task has ended, which is what is waited for.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens until the gate is closed.
async fn run<H, F>(mut listener: TcpListener, limits: Limits, gate: Arc<Gate>, handle: H)
where
    H: Fn(Connection, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    let mut phase = gate.phase.subscribe();
    loop {
        accept(&listener, limits, &gate, &handle).await;
        let Ok(address) = listener.local_addr() else {
            break;
        };
        drop(listener);
        gate.reached.send_replace(Phase::Refusing);
        if !wait_reopened(&mut phase).await {
            break;
        }
        match rebind(address).await {
            Ok(bound) => listener = bound,
            Err(error) => {
                log::error!("listen again on {address}: {error}");
                break;
            }
        }
        gate.reached.send_replace(Phase::Open);
    }
    gate.reached.send_replace(Phase::Closed);
}

/// Waits for the end of an outage; `false` when the gate is closed.
async fn wait_reopened(phase: &mut watch::Receiver<Phase>) -> bool {
    let ended = phase.wait_for(|phase| *phase != Phase::Refusing).await;
    matches!(ended.as_deref(), Ok(Phase::Open))
}

/// Waits for an outage or the end.
async fn wait_interrupted(phase: &mut watch::Receiver<Phase>) {
    // An error means that the server is gone, which ends the connections too.
    let _ = phase.wait_for(|phase| *phase != Phase::Open).await;
}

/// Accepts connections while the gate is open, then closes them all.
async fn accept<H, F>(listener: &TcpListener, limits: Limits, gate: &Arc<Gate>, handle: &H)
where
    H: Fn(Connection, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    let mut phase = gate.phase.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = wait_interrupted(&mut phase) => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) if connections.len() < limits.connections => {
                    let number = gate.next_connection.fetch_add(1, Ordering::SeqCst);
                    let connection = Connection { number, gate: Arc::clone(gate) };
                    let handle = handle.clone();
                    connections.spawn(serve(socket, limits.accept_delay, connection, handle));
                }
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_WAIT).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

/// Runs one connection until it ends.
async fn serve<H, F>(socket: TcpStream, delay: Duration, connection: Connection, handle: H)
where
    H: Fn(Connection, Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, Cut>>,
{
    if socket.set_nodelay(true).is_err() {
        return;
    }
    if !delay.is_zero() {
        sleep(delay).await;
    }
    let service = service_fn(|request| {
        let answer = handle(connection.clone(), request);
        let connection = connection.clone();
        async move {
            connection.wait_audible().await;
            let answer = answer.await;
            connection.wait_audible().await;
            answer
        }
    });
    // Connections end with an error when a peer leaves or an answer is cut on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn rebind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..REBIND_TRIES {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => last = error,
        }
        sleep(REBIND_WAIT).await;
    }
    Err(last)
}
