//! Nodes on an in-memory store and real sockets, and an upstream that counts its requests.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "each test file uses a part of it"
)]

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bundle::{Bundle, Source};
use call::{Announcement, HeaderCodec};
use front::{Limits, Server, full};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rollout::Order;
use route::{AnnouncementHeader, Stage};
use settings::Settings;
use sidecar::{
    Adapter, Configuration, Keys, RequestMetadata, RolloutAdapter, Tenants, UpstreamMessage,
};
use standin::Memory;
use tenant::{Key, Quota, Registry, Tenant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use types::rate::PerSecond;
use types::{Timestamp, Version, size};

/// Upper bound for operations that take a few messages, with room for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Version of the configuration that allows large request bodies.
pub const LARGE_BODIES_VERSION: u64 = 100;

/// Versions of the configuration from which there are tenants, and from which the key of one is revoked.
pub const TENANTS_VERSION: u64 = 200;
pub const REVOKED_VERSION: u64 = 201;

/// Quota of the tenant `limited`: requests a second, and requests at a time beyond that.
pub const QUOTA: u32 = 5;

/// Time for which callers wait.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time from the signal to the kill of a process, in seconds.
pub const GRACE_S: u64 = 4;

const CONFIG: &str = "
[service]
name = renewals
owner = caroni
[route status]
path = /status/
repeatable = yes
[route pay]
path = /pay/
repeatable = no
[route about]
path = /about/
repeatable = yes
";

/// Returns `CONFIG` as a configuration; the stored value is its version.
fn decode(bytes: &[u8]) -> Result<(Version, Configuration), String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let version: Version = text.parse().map_err(|_| "invalid version".to_owned())?;
    let (source, findings) = Source::parse("renewals.ini", "renewals.ini", CONFIG);
    assert!(findings.is_empty(), "{findings}");
    let bundle = Bundle::new(version, Timestamp::default(), [source.unwrap().service]);
    let config = Configuration {
        bundle: Arc::new(bundle.unwrap()),
        max_header_bytes: 16 * 1024,
        max_body_bytes: if version.get() == LARGE_BODIES_VERSION {
            1024 * 1024
        } else {
            1024
        },
        idle_timeout: Duration::from_secs(15),
        health_paths: HashMap::new(),
        tenants: (version.get() >= TENANTS_VERSION).then(|| build_tenants(version.get())),
    };
    Ok((version, config))
}

/// The tenants `free` and `limited`, and a route that needs no key.
fn build_tenants(version: u64) -> Tenants {
    let free_keys = if version < REVOKED_VERSION {
        vec!["key-free", "key-revoked"]
    } else {
        vec!["key-free"]
    };
    let free = Tenant::new("free".parse().unwrap()).with_keys(free_keys.into_iter().map(Key::new));
    let quota = Quota {
        rate: PerSecond::new(f64::from(QUOTA)),
        burst: size::Burst::new(QUOTA),
    };
    let limited = Tenant::new("limited".parse().unwrap())
        .with_keys([Key::new("key-limited")])
        .with_quota(Some(quota));
    let public = ("renewals".parse().unwrap(), "about".parse().unwrap());
    Tenants {
        registry: Registry::new([free, limited]).unwrap(),
        public_routes: HashSet::from([public]),
    }
}

/// Parses `/heartbeat/INSTANCE/STARTED/SEQUENCE/STAGE/ADDRESS` and `/leave/INSTANCE[/STARTED]`.
fn parse_message(_: &Method, path: &str, _: &[u8]) -> Result<UpstreamMessage, String> {
    let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
    match parts[..] {
        [
            kind @ ("heartbeat" | "unknown-service"),
            instance,
            started,
            sequence,
            stage,
            address,
        ] => {
            let stage = if stage == "ready" {
                Stage::Ready
            } else {
                Stage::Draining
            };
            let started = Timestamp::new(started.parse().unwrap());
            let header = AnnouncementHeader {
                instance: instance.to_owned(),
                started,
                sequence: sequence.parse().unwrap(),
                stage,
            };
            let (slots, connections) = (size::Slots::new(4), size::Connections::new(20));
            let service = match kind {
                "heartbeat" => "renewals",
                _ => "other",
            };
            let service = service.parse().unwrap();
            let mut announcement =
                Announcement::new(service, address.parse().unwrap(), slots, connections);
            instance.clone_into(&mut announcement.instance);
            announcement.started = started;
            Ok(UpstreamMessage::Heartbeat(header, announcement))
        }
        ["leave", instance] => Ok(UpstreamMessage::Leave {
            instance: instance.to_owned(),
            started: None,
        }),
        ["leave", instance, started] => Ok(UpstreamMessage::Leave {
            instance: instance.to_owned(),
            started: Some(Timestamp::new(started.parse().unwrap())),
        }),
        _ => Err("unknown path".to_owned()),
    }
}

fn build_adapter(store: &Memory) -> Adapter {
    Adapter {
        backend: store.backend(),
        keys: Keys {
            configuration: "config".to_owned(),
            node_prefix: "mesh/".to_owned(),
        },
        decode_configuration: Arc::new(decode),
        read_request: Box::new(|_| RequestMetadata {
            id: None,
            timeout: Some(REQUEST_TIMEOUT),
        }),
        read_key: Box::new(|head| {
            let key = head.headers.get("authorization")?.to_str().ok()?;
            Some(key.to_owned())
        }),
        set_tenant: Box::new(|tenant, headers| {
            headers.remove("tenant");
            if !tenant.is_empty() {
                headers.insert("tenant", tenant.parse().unwrap());
            }
        }),
        set_caller_service: Box::new(|service, headers| {
            headers.insert("caller-service", service.parse().unwrap());
        }),
        set_retry_after: Box::new(|delay, headers| {
            let text = delay.as_millis().to_string();
            headers.insert("retry-after-ms", text.parse().unwrap());
        }),
        parse_message: Box::new(parse_message),
        rollouts: Some(build_rollout_adapter()),
        header_codec: Arc::new(HeaderCodec::default()),
    }
}

/// Orders are `BUILD SECONDS` below `orders/`, statuses the stage below `statuses/`.
fn build_rollout_adapter() -> RolloutAdapter {
    RolloutAdapter {
        order_prefix: "orders/".to_owned(),
        state_prefix: "rollouts/".to_owned(),
        decode_order: Box::new(|item| {
            let text = String::from_utf8(item.value.to_vec()).map_err(|error| error.to_string())?;
            let (build, seconds) = text.split_once(' ').ok_or("no duration")?;
            Ok(Order {
                service: item.key.trim_start_matches("orders/").parse().unwrap(),
                build: build.parse().unwrap(),
                duration: Duration::from_secs(seconds.parse().unwrap()),
                revision: item.revision.0,
            })
        }),
        encode_status: Box::new(|rollout| {
            let value = rollout.stage.to_string().into_bytes();
            Some((format!("statuses/{}", rollout.service), value))
        }),
    }
}

/// Ports of a running node.
#[derive(Clone)]
pub struct Node {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub announcements: SocketAddr,
    pub metrics: SocketAddr,
    settings: Arc<tempfile::NamedTempFile>,
}

/// First of the ports of a node. Below the range from which the system takes the ports of clients.
const FIRST_PORT: u16 = 7601;

/// Addresses of the ports of the next node, on a loopback IP of its own. A port that is found free and
/// bound later may be taken in between, by a node of another test or by a client.
fn reserve_ports() -> [SocketAddr; 5] {
    static NODES: AtomicU8 = AtomicU8::new(1);
    let node = NODES.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    [0, 1, 2, 3, 4].map(|port| SocketAddr::from(([127, high | 128, low, node], FIRST_PORT + port)))
}

impl Node {
    /// Reserves the ports of a node and writes its settings.
    fn prepare(name: &str) -> Self {
        let [callers, peers, ready, announcements, metrics] = reserve_ports();
        let text = format!(
            "[node]\nid = {name}\nregion = north\ndomain = north-a\n[listen]\ncallers = {callers}\n\
             peers = {peers}\nready = {ready}\nannouncements = {announcements}\nmetrics = {metrics}\n\
             [upstream]\nservice = {name}-service\n[stop]\ngrace_s = {GRACE_S}\n"
        );
        let settings = Arc::new(tempfile::NamedTempFile::new().unwrap());
        std::fs::write(settings.path(), &text).unwrap();
        Self {
            callers,
            ready,
            announcements,
            metrics,
            settings,
        }
    }

    async fn run(path: PathBuf, store: Memory) {
        let text = std::fs::read_to_string(&path).unwrap();
        loop {
            let settings = Settings::read("node.ini", &text).unwrap();
            match sidecar::run(path.clone(), settings, build_adapter(&store)).await {
                // The tasks of a killed process may hold their ports for a moment.
                Err(sidecar::Error::Listen { .. }) => sleep(Duration::from_millis(10)).await,
                result => return result.unwrap(),
            }
        }
    }

    /// Waits until the process of the node listens, or does not any more.
    pub async fn wait_listening(&self, expected: bool) {
        let connecting = async {
            while TcpStream::connect(self.announcements).await.is_ok() != expected {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, connecting).await.unwrap();
    }
}

pub async fn start_node(store: &Memory, name: &str) -> Node {
    start_node_with(store, name, "").await
}

/// Starts a node with further settings.
pub async fn start_node_with(store: &Memory, name: &str, settings: &str) -> Node {
    let node = Node::prepare(name);
    let text = std::fs::read_to_string(node.settings.path()).unwrap();
    std::fs::write(node.settings.path(), text + settings).unwrap();
    tokio::spawn(Node::run(node.settings.path().to_owned(), store.clone()));
    node.wait_listening(true).await;
    node
}

/// Starts a node beside an upstream that handles no signals, and serves other nodes.
pub fn start_target(store: &Memory, name: &str, upstream: SocketAddr) -> wire::Listener {
    let node = Node::prepare(name);
    let text = std::fs::read_to_string(node.settings.path()).unwrap();
    let settings = Settings::read("node.ini", &text).unwrap();
    let peers = front::bind(settings.listen.peers.parse().unwrap()).unwrap();
    let node = sidecar::Node::start(settings, build_adapter(store)).unwrap();
    let (slots, connections) = (size::Slots::new(50), size::Connections::new(100));
    let service = "renewals".parse().unwrap();
    let mut announcement = Announcement::new(service, upstream, slots, connections);
    "i-1".clone_into(&mut announcement.instance);
    node.target.announce(announcement);
    wire::Listener::start(peers, 100, move |_, stream| {
        let node = Arc::clone(&node);
        async move { node.target.serve(stream).await }
    })
}

/// Node in a runtime of its own, so that its process can be killed and started again.
pub struct Process {
    pub node: Node,
    store: Memory,
    runtime: Option<Runtime>,
    running: Option<JoinHandle<()>>,
}

impl Process {
    pub async fn start(store: &Memory, name: &str) -> Self {
        Self::start_with(store, name, "").await
    }

    /// Starts a process with further settings.
    pub async fn start_with(store: &Memory, name: &str, settings: &str) -> Self {
        let node = Node::prepare(name);
        let text = std::fs::read_to_string(node.settings.path()).unwrap();
        std::fs::write(node.settings.path(), text + settings).unwrap();
        let mut process = Self {
            node,
            store: store.clone(),
            runtime: None,
            running: None,
        };
        process.restart().await;
        process
    }

    /// Ends the tasks and closes the sockets, as a kill does.
    pub async fn kill(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
        self.node.wait_listening(false).await;
    }

    /// Waits until the process ends by itself after a signal.
    pub async fn wait_ended(&mut self) {
        self.running.take().unwrap().await.unwrap();
        self.kill().await;
    }

    /// Starts a process of the node after [`Process::kill`].
    pub async fn restart(&mut self) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let path = self.node.settings.path().to_owned();
        self.running = Some(runtime.spawn(Node::run(path, self.store.clone())));
        self.runtime = Some(runtime);
        self.node.wait_listening(true).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Sends one request on a new connection and returns the complete response.
pub async fn send(address: SocketAddr, line: &str) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let text = format!(
        "{line} HTTP/1.1\r\nhost: portal.example\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    let result = timeout(TIMEOUT, socket.read_to_string(&mut response)).await;
    result.unwrap().unwrap();
    response
}

pub fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// Sends a request repeatedly until its response has the expected status.
pub async fn wait_status(address: SocketAddr, line: &str, expected: &str) -> String {
    let poll = async {
        loop {
            let response = send(address, line).await;
            if status(&response) == expected {
                return response;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TIMEOUT, poll).await.unwrap()
}

/// Upstream that counts its requests and records the last one.
pub struct Upstream {
    pub address: SocketAddr,
    pub request_count: Arc<AtomicUsize>,
    pub last_request: Arc<Mutex<Option<http::request::Parts>>>,
    /// Whether its health endpoint says that it takes calls.
    pub is_healthy: Arc<AtomicBool>,
}

pub fn start_upstream() -> Upstream {
    start_upstream_with(&[])
}

/// Starts an upstream whose answers have further headers.
pub fn start_upstream_with(headers: &'static [(&str, &str)]) -> Upstream {
    let limits = Limits {
        max_header_bytes: 16 * 1024,
        idle_timeout: TIMEOUT,
        max_connections: 100,
    };
    let listener = front::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (request_count, last_request) = (Arc::<AtomicUsize>::default(), Arc::<Mutex<_>>::default());
    let (counter, recorder) = (Arc::clone(&request_count), Arc::clone(&last_request));
    let is_healthy = Arc::new(AtomicBool::new(true));
    let health = Arc::clone(&is_healthy);
    let handler = move |request: Request<Incoming>| {
        if request.uri().path() == "/health" {
            let mut response = Response::new(full(""));
            if !health.load(Ordering::SeqCst) {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            return std::future::ready(Ok(response));
        }
        counter.fetch_add(1, Ordering::SeqCst);
        *recorder.lock().unwrap() = Some(request.into_parts().0);
        let mut response = Response::new(full("done"));
        for (name, value) in headers {
            response.headers_mut().insert(*name, value.parse().unwrap());
        }
        std::future::ready(Ok(response))
    };
    tokio::spawn(Arc::new(Server::new(move || limits)).serve(listener, handler));
    Upstream {
        address,
        request_count,
        last_request,
        is_healthy,
    }
}

impl Upstream {
    pub async fn send_heartbeat(&self, node: &Node, instance: &str, sequence: u32, stage: &str) {
        let address = self.address;
        let line = format!("POST /heartbeat/{instance}/7/{sequence}/{stage}/{address}");
        assert_eq!(status(&send(node.announcements, &line).await), "200");
    }
}
