//! Mesh of real nodes in one process, over loopback, with the stand-in store.

#![allow(dead_code, reason = "each test file uses a part of the support")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed step ends the test"
)]

pub mod node;
pub mod publisher;
pub mod relay;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use spread::Config;
use standin::{Faults, Outage};
use tokio::time::sleep;
use types::Version;

pub use node::Node;

/// Longest wait for a state that the design bounds more tightly. The machine is shared, so the bound
/// of the test is several times that of the design.
pub const LIMIT: Duration = Duration::from_secs(40);

/// A store and nodes that use it.
pub struct Mesh {
    pub store: standin::store::Store,
    pub nodes: Vec<Node>,
    /// Highest version that a ready node has held at each address.
    served: Mutex<HashMap<SocketAddr, u64>>,
}

impl Mesh {
    pub async fn start() -> Self {
        Self {
            store: standin::store::Store::start_local().await.unwrap(),
            nodes: Vec::new(),
            served: Mutex::default(),
        }
    }

    /// Starts nodes in two failure domains of one region, at version 1.
    pub async fn start_nodes(count: usize) -> Self {
        let mut mesh = Self::start().await;
        mesh.publish(1).await;
        for number in 0..count {
            mesh.add(&format!("n{number}"), ["a", "b"][number % 2])
                .await;
        }
        mesh.wait_version(1).await;
        mesh.wait_members().await;
        mesh
    }

    /// Client of the store.
    pub fn client(&self) -> store::Store {
        store::Store::new(vec![self.store.url().parse().unwrap()]).unwrap()
    }

    /// Settings with the first nodes as seeds.
    pub fn config(&self) -> Config {
        let seeds = self.nodes.iter().take(3).map(|node| node.address);
        Config::default().with_seeds(seeds.collect())
    }

    /// Starts a node that knows the store and the first nodes.
    pub async fn add(&mut self, id: &str, place: &str) -> &Node {
        let config = self.config();
        self.add_with(id, place, config, None).await
    }

    pub async fn add_with(
        &mut self,
        id: &str,
        place: &str,
        config: Config,
        address: Option<SocketAddr>,
    ) -> &Node {
        let node = Node::start(id, place, config, Some(self.client()), address, None).await;
        self.nodes.push(node);
        self.nodes.last().unwrap()
    }

    pub async fn publish(&self, version: u64) {
        publisher::publish(&self.client(), Version::new(version)).await;
    }

    pub async fn set_outage(&self, outage: Outage) {
        self.store
            .apply_faults(Faults {
                outage: outage.into(),
                ..Faults::default()
            })
            .await;
    }

    /// Removes a node from the list, to kill or close it.
    pub fn take(&mut self, id: &str) -> Node {
        let index = self.nodes.iter().position(|node| node.id == id).unwrap();
        self.nodes.remove(index)
    }

    pub fn node(&self, id: &str) -> &Node {
        self.nodes.iter().find(|node| node.id == id).unwrap()
    }

    /// Checks that no ready node is below a version that its address has held (P1).
    pub fn check(&self) {
        let mut served = self.served.lock().unwrap();
        for node in &self.nodes {
            if node.spread.is_ready() {
                let version = node.version();
                let highest = served.entry(node.address).or_insert(0);
                assert!(
                    version >= *highest,
                    "{} went back to {version} from {highest}",
                    node.id
                );
                *highest = version;
            }
        }
    }

    /// Waits for a condition, no longer than [`LIMIT`]; checks P1 all the time.
    pub async fn wait<C>(&self, what: &str, condition: C)
    where
        C: Fn(&Self) -> bool,
    {
        let deadline = Instant::now() + LIMIT;
        while !condition(self) {
            self.check();
            assert!(
                Instant::now() < deadline,
                "not reached in {LIMIT:?}: {what}"
            );
            sleep(Duration::from_millis(20)).await;
        }
        self.check();
    }

    /// Lets time pass; checks P1 all the time.
    pub async fn pass(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check();
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all nodes hold the version and are ready.
    pub async fn wait_version(&self, version: u64) {
        self.wait(&format!("all nodes at version {version}"), |mesh| {
            let mut nodes = mesh.nodes.iter();
            nodes.all(|node| node.version() == version && node.spread.is_ready())
        })
        .await;
    }

    /// Waits until one node of region `north` holds the reader lease; returns its id.
    pub async fn wait_reader(&self) -> String {
        self.wait("a reader", |mesh| mesh.reader().is_some()).await;
        self.reader().unwrap()
    }

    pub fn reader(&self) -> Option<String> {
        let reader = self.nodes.iter().find(|node| node.spread.is_reader());
        reader.map(|node| node.id.clone())
    }

    /// Waits until every node knows exactly the running nodes as live.
    pub async fn wait_members(&self) {
        self.wait("whole tables", |mesh| {
            let expected: BTreeSet<_> = mesh.nodes.iter().map(|node| node.id.clone()).collect();
            mesh.nodes.iter().all(|node| node.live() == expected)
        })
        .await;
    }

    /// Id of a node that has children and is not the reader.
    pub fn inner_node(&self) -> Option<String> {
        let parents = self.nodes.iter().filter_map(|node| node.spread.parent());
        let mut parents = parents.map(|parent| parent.to_string());
        parents.find(|parent| !self.node(parent).spread.is_root())
    }
}
