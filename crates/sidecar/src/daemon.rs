use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use front::{Aborted, Body, Limits, Server, full};
use http::{Response, StatusCode};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};
use wire::{Kind, Listener, Stream};

use crate::{
    Adapter, Error, Node, announcements, callers, quotas, rollout_driver, rollout_reports, stop,
};

/// Maximum number of open connections from callers. The file descriptor limit of the process
/// applies as well.
const MAX_CALLER_CONNECTIONS: usize = 3000;

/// Maximum number of open connections from other nodes; each node that calls the target opens one.
const MAX_PEER_CONNECTIONS: usize = 1024;

/// Maximum number of open connections on each of the ports for readiness, announcements and
/// metrics.
const MAX_AUXILIARY_CONNECTIONS: usize = 128;

/// Idle timeout of a caller's connection until a configuration is loaded, and of the auxiliary
/// ports.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest request head until a configuration is loaded, and on the auxiliary ports.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the node until a graceful shutdown is complete. Settings are reloaded when `file` changes.
///
/// # Errors
///
/// Returns an error when the node cannot start.
pub async fn run(file: PathBuf, settings: Settings, adapter: Adapter) -> Result<(), Error> {
    let mut signals = Signals::new()?;
    let listen = settings.listen.clone();
    let ports = Ports {
        callers: bind(&listen.callers)?,
        peers: bind(&listen.peers)?,
        ready: bind(&listen.ready)?,
        announcements: bind(&listen.announcements)?,
        metrics: match listen.metrics.as_str() {
            "" => None,
            address => Some(bind(address)?),
        },
    };
    let node = Node::start(settings, adapter)?;
    log::info!(
        node:% = node.locality.node, region:% = node.locality.region,
        domain:% = node.locality.domain, version = env!("CARGO_PKG_VERSION"); "started"
    );
    let restoring_node = Arc::clone(&node);
    tokio::spawn(async move { restoring_node.restore().await });
    tokio::spawn(quotas::run(Arc::clone(&node)));
    if node.rollouts.is_enabled() {
        tokio::spawn(rollout_driver::run(Arc::clone(&node)));
        tokio::spawn(rollout_reports::run(Arc::clone(&node)));
    }
    let peers = accept_peers(ports.peers, Arc::clone(&node));
    let limits_node = Arc::clone(&node);
    let server = Arc::new(Server::new(move || caller_limits(&limits_node)));
    let handler_node = Arc::clone(&node);
    let handler = move |request| callers::serve(Arc::clone(&handler_node), request);
    tokio::spawn(Arc::clone(&server).serve(ports.callers, handler));
    if let Some(metrics) = ports.metrics {
        tokio::spawn(serve_metrics(
            metrics,
            Arc::clone(&node),
            Arc::clone(&server),
        ));
    }
    tokio::spawn(serve_ready(ports.ready, Arc::clone(&node)));
    tokio::spawn(serve_announcements(ports.announcements, Arc::clone(&node)));
    signals.wait_shutdown(&file, &node).await;
    // The text was validated when the settings were read.
    let grace: f64 = node
        .settings
        .load()
        .stop
        .grace_s
        .parse()
        .unwrap_or_default();
    stop::shut_down(node, &server, peers, Duration::from_secs_f64(grace)).await;
    Ok(())
}

struct Ports {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    announcements: TcpListener,
    metrics: Option<TcpListener>,
}

fn bind(address: &str) -> Result<TcpListener, Error> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|_| Error::InvalidAddress(address.to_owned()))?;
    front::bind(parsed).map_err(|source| Error::Listen {
        address: address.to_owned(),
        source,
    })
}

fn caller_limits(node: &Node) -> Limits {
    let config = node.config_watcher.current();
    Limits {
        max_header_bytes: config
            .as_ref()
            .map_or(DEFAULT_MAX_HEADER_BYTES, |config| config.max_header_bytes),
        idle_timeout: config.map_or(DEFAULT_IDLE_TIMEOUT, |config| config.idle_timeout),
        max_connections: MAX_CALLER_CONNECTIONS,
    }
}

fn auxiliary_limits() -> Limits {
    Limits {
        max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        max_connections: MAX_AUXILIARY_CONNECTIONS,
    }
}

async fn serve_ready(listener: TcpListener, node: Arc<Node>) {
    let server = Arc::new(Server::new(auxiliary_limits));
    let handler = move |_| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { Ok::<_, Aborted>(build_status_response(status)) }
    };
    server.serve(listener, handler).await;
}

async fn serve_metrics(listener: TcpListener, node: Arc<Node>, callers: Arc<Server>) {
    let server = Arc::new(Server::new(auxiliary_limits));
    let handler = move |_| {
        let encoded = node.encode_metrics(&callers);
        async move {
            let text = encoded.map_err(|error| Aborted(error.to_string()))?;
            Ok(Response::new(full(text)))
        }
    };
    server.serve(listener, handler).await;
}

async fn serve_announcements(listener: TcpListener, node: Arc<Node>) {
    let server = Arc::new(Server::new(auxiliary_limits));
    let handler = move |request| announcements::handle_message(Arc::clone(&node), request);
    server.serve(listener, handler).await;
}

fn build_status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

/// Accepts connections from other nodes.
fn accept_peers(socket: TcpListener, node: Arc<Node>) -> Listener {
    let handler = move |kind, stream| dispatch_stream(Arc::clone(&node), kind, stream);
    Listener::start(socket, MAX_PEER_CONNECTIONS, handler)
}

async fn dispatch_stream(node: Arc<Node>, kind: Kind, stream: Stream) {
    match kind {
        Kind::Call => node.target.serve(stream).await,
        Kind::Control => node.relay.serve(stream).await,
        Kind::Handoff => node.serve_handoff(stream).await,
        Kind::Quota => quotas::serve(&node, stream).await,
        Kind::Rollout => rollout_reports::serve(&node, stream).await,
    }
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(Error::Signals)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::Signals)?,
            hangup: signal(SignalKind::hangup()).map_err(Error::Signals)?,
        })
    }

    /// Waits for a signal to shut down. Reloads the settings on SIGHUP and at intervals.
    async fn wait_shutdown(&mut self, file: &Path, node: &Node) {
        let mut polls = interval(SETTINGS_POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::info!("SIGHUP received, reloading the settings");
                    reload(file, node);
                }
                _ = polls.tick() => reload(file, node),
            }
        }
    }
}

/// Applies the settings in the file if they have changed and are valid. The addresses and the
/// identity of the node keep their values from startup.
fn reload(file: &Path, node: &Node) {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(
                file = name.as_str(), reason:% = error;
                "cannot read the settings file, keeping the current settings"
            );
            return;
        }
    };
    match Settings::read(&name, &text) {
        Ok(settings) if settings != **node.settings.load() => {
            log::info!(file = name.as_str(); "settings reloaded");
            node.settings.store(Arc::new(settings));
        }
        Ok(_) => {}
        Err(findings) => {
            log::warn!(
                file = name.as_str(), reason:% = findings;
                "settings are invalid, keeping the current ones"
            );
        }
    }
}
