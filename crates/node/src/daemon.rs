//! Life cycle of the process: start, operation and graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use call::{Answer, Body, Failure, Request};
use futures::FutureExt;
use futures::future::BoxFuture;
use member::Record;
use settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout_at;
use types::{Deadline, Incarnation, Timestamp, Version, size};

use crate::{CallHandler, Dispatcher, Error, Frontend, Limits, Node, Relay, admin, headers, peers};

/// Open connections of the admin port. The upstream, operators and a metrics collector need a few.
const MAX_ADMIN_CONNECTIONS: usize = 256;

/// Connections of callers beyond the limit of concurrent calls, for idle connections.
const MAX_IDLE_CONNECTIONS: usize = 1024;

/// Least time for delivering the last bytes of answers after all calls have ended, even when the
/// drain limit has passed by then.
const MIN_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Listeners of the three ports.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

/// Addresses that the three ports are bound to.
struct Addresses {
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

/// Runs the node until a graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error when the node cannot start.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let signals = Signals::new()?;
    let listeners = Listeners::bind(&settings.listen).await?;
    let addresses = listeners.addresses()?;
    let node = Node::start(&settings, build_record(&settings, &addresses)?)?;
    let servers = Servers::start(&settings, listeners, &node).await?;
    // The parent process reads the ports from this line when the settings contain port 0.
    println!(
        "dandelionseamd {} callers {} peers {} admin {}",
        node.locality.node, addresses.callers, addresses.peers, addresses.admin
    );
    log::info!(node:% = node.locality.node, version = env!("CARGO_PKG_VERSION"); "started");
    signals.wait().await;
    let limit = Deadline::after_ms(settings.calls.drain_limit_ms);
    shut_down(node, servers, limit).await;
    Ok(())
}

/// HTTP servers of a running node.
struct Servers {
    peers: wire::Listener,
    call_handler: CallHandler,
    caller_frontend: Frontend,
    _admin_frontend: Frontend,
}

impl Servers {
    async fn start(
        settings: &Settings,
        listeners: Listeners,
        node: &Arc<Node>,
    ) -> Result<Self, Error> {
        let peers = peers::start(listeners.peers, Arc::clone(node));
        let relay = Arc::new(Relay::new(|| headers::format_refusal(Version::NONE)));
        let server = admin::build_server(Arc::clone(node));
        let admin_frontend =
            Frontend::start(listeners.admin, relay, server, MAX_ADMIN_CONNECTIONS).await?;
        let limits = Limits {
            body: size::Bytes::new(settings.calls.body_limit),
            in_flight: settings.calls.in_flight as usize,
        };
        let spread = node.spread.clone();
        let format_refusal = move || headers::format_refusal(spread.bundle().version);
        let relay = Arc::new(Relay::new(format_refusal));
        let metrics = Arc::clone(&node.metrics);
        let handler = CallHandler::new(build_dispatcher(node), Arc::clone(&relay), metrics, limits);
        let connections = limits.in_flight + MAX_IDLE_CONNECTIONS;
        let caller_frontend = Frontend::start(
            listeners.callers,
            relay,
            handler.build_server(),
            connections,
        )
        .await?;
        Ok(Self {
            peers,
            call_handler: handler,
            caller_frontend,
            _admin_frontend: admin_frontend,
        })
    }
}

/// Shuts down gracefully: refuses new calls, finishes the calls in flight up to `limit` and leaves
/// the mesh.
async fn shut_down(node: Arc<Node>, servers: Servers, limit: Deadline) {
    log::info!(in_flight = servers.call_handler.in_flight(); "stopping");
    node.drain();
    servers.caller_frontend.drain();
    let finished = timeout_at(limit.instant(), servers.call_handler.wait_idle());
    let (finished, running) = tokio::join!(finished, node.target.drain(limit));
    if finished.is_err() || running > 0 {
        let in_flight = servers.call_handler.in_flight();
        log::warn!(
            callers = in_flight, target = running;
            "drain limit reached with calls in flight"
        );
    }
    let delivery = limit.max(Deadline::after(MIN_DELIVERY_TIME));
    let delivered = timeout_at(delivery.instant(), servers.caller_frontend.close());
    if delivered.await.is_err() {
        log::warn!("callers did not read their answers before the deadline");
    }
    node.spread.clone().close().await;
    servers.peers.close(delivery).await;
    log::info!("stopped");
    log::logger().flush();
}

/// Builds the dispatcher of the caller port, which passes calls to the mesh or, during a graceful
/// shutdown, refuses them.
fn build_dispatcher(node: &Arc<Node>) -> Dispatcher {
    let (call_node, version_node) = (Arc::clone(node), Arc::clone(node));
    Dispatcher {
        call: Box::new(move |request| dispatch(Arc::clone(&call_node), request)),
        version: Box::new(move || version_node.spread.bundle().version),
    }
}

fn dispatch(node: Arc<Node>, request: Request) -> BoxFuture<'static, Answer> {
    async move {
        // To finish a call in flight, the upstream may have to make calls of its own, which carry
        // the same request id.
        if node.is_draining() && !node.target.is_running(&request.id) {
            return refuse_draining(&node, &request);
        }
        node.caller.call(request).await
    }
    .boxed()
}

fn refuse_draining(node: &Node, request: &Request) -> Answer {
    let failure = Failure::mesh("draining");
    Answer {
        request: request.id.clone(),
        status: failure.status,
        headers: http::HeaderMap::new(),
        outcome: failure.outcome,
        fault: failure.fault,
        reason: failure.reason,
        version: node.spread.bundle().version,
        upstream_time: None,
        retry_after: None,
        body: Body::from_bytes(bytes::Bytes::from_static(b"draining\n")),
    }
}

impl Listeners {
    async fn bind(listen: &schema::settings::Listen) -> Result<Self, Error> {
        Ok(Self {
            callers: bind(&listen.callers).await?,
            peers: bind(&listen.peers).await?,
            admin: bind(&listen.admin).await?,
        })
    }

    fn addresses(&self) -> Result<Addresses, Error> {
        Ok(Addresses {
            callers: local_address(&self.callers)?,
            peers: local_address(&self.peers)?,
            admin: local_address(&self.admin)?,
        })
    }
}

async fn bind(address: &str) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen {
        address: address.to_owned(),
        source,
    })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    let address = listener.local_addr();
    address.map_err(|source| Error::Listen {
        address: String::new(),
        source,
    })
}

/// Builds the membership record with which this process starts.
fn build_record(settings: &Settings, addresses: &Addresses) -> Result<Record, Error> {
    let (peers, admin) = (addresses.peers, addresses.admin);
    if peers.ip().is_unspecified() {
        return Err(Error::Unspecified(peers.ip()));
    }
    let reachable = admin.ip() == peers.ip() || admin.ip().is_unspecified();
    let record = Record::new(
        settings.node.id.parse()?,
        peers,
        settings.node.region.parse()?,
        settings.node.domain.parse()?,
        Incarnation::new(Timestamp::now().get()),
    );
    Ok(record.with_admin_port(reachable.then_some(admin.port())))
}

/// Signals that request a graceful shutdown. Their handlers stay installed until the process ends,
/// so a second signal has no effect.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(Error::Signals)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::Signals)?,
        })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
