//! Mesh of a few nodes in one process, connected by real sockets, and upstreams that inject faults.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod relay;
mod upstream;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use bundle::{Bundle, Service};
use call::{Accounts, Announcement, Answer, Caller, MeshView, Request, Target, TargetOptions};
use http::Method;
use route::{Candidate, Locality};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use types::rate::Bandwidth;
use types::{Deadline, Timestamp, Version, id, size};

pub use relay::{Link, Relay};
pub use upstream::{Behaviour, Upstream, wait};

pub const SERVICE: &str = "renewals";

/// Configuration and membership shared by all nodes of a test.
pub struct TestMesh {
    pub bundle: ArcSwap<Bundle>,
    pub candidates: Mutex<Vec<Candidate>>,
    pub ready: AtomicBool,
}

pub struct Node {
    pub caller: Caller,
    pub target: Target,
    pub accounts: Arc<Accounts>,
    pub address: SocketAddr,
    peers: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.peers.abort();
    }
}

const CONFIG: &str = "
[service]
name = renewals
owner = caroni
slots = 4
connections = 20
queue = 8
[retry]
attempts = 2
[route status]
path = /status
deadline_ms = 5000
repeatable = yes
[route pack]
path = /pack
deadline_ms = 5000
repeatable = yes
bulk = yes
objective_ms = 1000
[route renew]
path = /renew
deadline_ms = 5000
repeatable = no
";

pub fn service() -> Service {
    let (source, findings) = bundle::Source::parse("renewals.ini", "renewals.ini", CONFIG);
    assert!(findings.is_empty(), "{findings}");
    source.unwrap().service
}

impl TestMesh {
    pub fn new(service: Service) -> Arc<Self> {
        let bundle = Bundle::new(Version::new(7), Timestamp::new(1), [service]).unwrap();
        Arc::new(Self {
            bundle: ArcSwap::from_pointee(bundle),
            candidates: Mutex::default(),
            ready: AtomicBool::new(true),
        })
    }

    pub fn mesh(self: &Arc<Self>) -> MeshView {
        let (bundles, targets, ready) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        MeshView::new(
            move || bundles.bundle.load_full(),
            move |_| targets.candidates.lock().unwrap().clone(),
            move || ready.ready.load(Ordering::SeqCst),
        )
    }

    /// Starts a node without an upstream.
    pub async fn node(self: &Arc<Self>, name: &str, store: Option<store::Store>) -> Node {
        let target = Target::new(self.mesh(), store);
        self.node_with(name, target).await
    }

    async fn node_with(self: &Arc<Self>, name: &str, target: Target) -> Node {
        let mesh = self.mesh();
        let accounts = Arc::new(Accounts::new());
        let locality = Locality {
            node: name.parse().unwrap(),
            region: "north".parse().unwrap(),
            domain: "north-a".parse().unwrap(),
        };
        let idle = Duration::from_mins(1);
        let caller = Caller::new(locality, mesh, target.clone(), Arc::clone(&accounts), idle);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = target.clone();
        let peers = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                let serving = serving.clone();
                connections.spawn(wire::serve(socket, move |_, stream| {
                    let serving = serving.clone();
                    async move { serving.serve(stream).await }
                }));
            }
        });
        Node {
            caller,
            target,
            accounts,
            address,
            peers,
        }
    }

    /// Starts a target whose instance has a link of the given bandwidth.
    pub async fn target_with_link(
        self: &Arc<Self>,
        name: &str,
        upstream: SocketAddr,
        link: Bandwidth,
    ) -> Node {
        let options = TargetOptions {
            link,
            ..TargetOptions::default()
        };
        let target = Target::with_options(self.mesh(), None, options);
        let node = self.node_with(name, target).await;
        node.target.announce(announcement(upstream));
        self.add(name, node.address);
        node
    }

    /// Starts a node beside an upstream and makes it a target.
    pub async fn target(self: &Arc<Self>, name: &str, upstream: SocketAddr) -> Node {
        let node = self.node(name, None).await;
        node.target.announce(announcement(upstream));
        self.add(name, node.address);
        node
    }

    pub fn add(&self, name: &str, address: SocketAddr) {
        self.candidates.lock().unwrap().push(Candidate {
            node: name.parse().unwrap(),
            address,
            region: "north".parse().unwrap(),
            domain: "north-a".parse().unwrap(),
            slots: size::Slots::new(4),
            build: None,
            started: None,
        });
    }

    /// Adds a target in another region, which is chosen only when none is left in the caller's
    /// region.
    pub fn add_in_other_region(&self, name: &str) {
        self.add(name, "127.0.0.1:1".parse().unwrap());
        let mut candidates = self.candidates.lock().unwrap();
        candidates.last_mut().unwrap().region = "south".parse().unwrap();
    }

    pub fn remove(&self, name: &str) {
        let mut candidates = self.candidates.lock().unwrap();
        candidates.retain(|candidate| candidate.node.as_str() != name);
    }
}

pub fn announcement(upstream: SocketAddr) -> Announcement {
    Announcement::new(
        SERVICE.parse().unwrap(),
        upstream,
        size::Slots::new(4),
        size::Connections::new(20),
    )
}

/// A repeatable request.
pub fn status(id: &str) -> Request {
    request(id, Method::GET, "/status/1")
}

/// A repeatable request with a large answer.
pub fn pack(id: &str) -> Request {
    request(id, Method::GET, "/pack/1")
}

/// A non-repeatable request.
pub fn renewal(id: &str) -> Request {
    request(id, Method::POST, "/renew").with_body("payment")
}

fn request(id: &str, method: Method, target: &str) -> Request {
    Request::new(id.parse().unwrap(), method, target)
        .with_owner("koperglans".parse().unwrap())
        .with_deadline(Deadline::after_ms(2_000))
}

/// Formats the outcome, fault and status of an answer.
pub fn summary(answer: &Answer) -> String {
    format!(
        "{} {} {}",
        answer.outcome,
        answer.fault,
        answer.status.as_u16()
    )
}

/// Returns an address on which nothing listens.
pub async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

pub fn owner() -> id::Owner {
    "koperglans".parse().unwrap()
}
