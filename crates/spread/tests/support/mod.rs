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

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use spread::Config;
use standin::{Faults, Outage};
use types::Version;

pub use node::Node;

/// Longest wait for a state that the design bounds more tightly. The machine is shared, so the bound
/// of the test is several times that of the design.
pub const LIMIT: Duration = Duration::from_secs(40);

/// A store and nodes that use it.
pub struct Mesh {
    pub store: standin::store::Store,
    pub nodes: Vec<Node>,
}

impl Mesh {
    pub async fn start() -> Self {
        Self {
            store: standin::store::Store::start_local().await.unwrap(),
            nodes: Vec::new(),
        }
    }

    /// Client of the store.
    pub fn client(&self) -> store::Store {
        store::Store::new(vec![self.store.url().parse().unwrap()]).unwrap()
    }

    /// Settings with the first node as seed.
    pub fn config(&self) -> Config {
        let seeds = self.nodes.first().map(|node| node.address);
        Config::default().with_seeds(seeds.into_iter().collect())
    }

    /// Starts a node that knows the store and the first node.
    pub async fn add(&mut self, id: &str, domain: &str) -> &Node {
        let config = self.config();
        self.add_with(id, domain, config, None).await
    }

    pub async fn add_with(
        &mut self,
        id: &str,
        domain: &str,
        config: Config,
        address: Option<SocketAddr>,
    ) -> &Node {
        let node = Node::start(id, domain, config, Some(self.client()), address).await;
        self.nodes.push(node);
        self.nodes.last().unwrap()
    }

    pub async fn publish(&self, version: u64) {
        publisher::publish(&self.client(), Version::new(version)).await;
    }

    pub fn set_outage(&self, outage: Outage) {
        self.store.set_faults(Faults {
            outage: outage.into(),
            ..Faults::default()
        });
    }

    /// Waits until all nodes hold the version and are ready.
    pub async fn wait_version(&self, version: u64) {
        for node in &self.nodes {
            wait(&format!("{} at version {version}", node.id), || {
                node.version() == version && node.spread.is_ready()
            })
            .await;
        }
    }

    /// Index of the node that holds the reader lease.
    pub async fn wait_reader(&self) -> usize {
        wait("a reader", || {
            self.nodes.iter().any(|node| node.spread.is_reader())
        })
        .await;
        self.nodes
            .iter()
            .position(|node| node.spread.is_reader())
            .unwrap()
    }

    /// Waits until every node knows every node as live.
    pub async fn wait_members(&self) {
        for node in &self.nodes {
            wait(&format!("whole table at {}", node.id), || {
                let table = node.spread.table();
                let live = table.iter().filter(|record| record.state.is_live());
                live.count() == self.nodes.len()
            })
            .await;
        }
    }
}

/// Waits for a condition, no longer than [`LIMIT`].
pub async fn wait<C>(what: &str, mut condition: C)
where
    C: FnMut() -> bool,
{
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not reached in {LIMIT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
