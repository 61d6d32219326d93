use std::net::SocketAddr;
use std::time::Duration;

use schema::settings;

/// Source of the versions that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The parent in the tree. Only the reader of a region reads the store.
    Tree,
    /// The store, read by every node. A baseline for measurements.
    Store,
}

/// Settings of the distribution of versions and membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Source of the versions that the node holds.
    pub source: Source,
    /// Whether a node sends deltas to its children instead of snapshots.
    pub deltas: bool,
    /// Number of children for each node when the levels of the tree are computed.
    pub fanout: u32,
    /// Maximum number of children that a node accepts.
    pub max_children: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a link counts as lost and its peer becomes suspect.
    pub silence_timeout: Duration,
    /// Time to live of the reader lease.
    pub lease_ttl: Duration,
    /// Time limit for one store call.
    pub store_timeout: Duration,
    /// Artificial delay of messages to other failure domains, for measurements.
    pub domain_delay: Duration,
    /// Artificial delay of messages to other regions, for measurements.
    pub region_delay: Duration,
    /// Peer addresses of some nodes of the mesh, for a node that knows no other node.
    pub seeds: Vec<SocketAddr>,
}

impl Config {
    /// Sets the peer addresses that a node asks when it knows no other node.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the time limit for one store call.
    #[must_use]
    pub const fn with_store_timeout(mut self, timeout: Duration) -> Self {
        self.store_timeout = timeout;
        self
    }
}

impl Default for Config {
    fn default() -> Self {
        Self::from(&settings::Spread::default())
    }
}

impl From<&settings::Spread> for Config {
    fn from(section: &settings::Spread) -> Self {
        Self {
            source: if section.source == "store" {
                Source::Store
            } else {
                Source::Tree
            },
            deltas: section.deltas,
            fanout: section.fanout,
            max_children: section.children as usize,
            heartbeat_interval: Duration::from_millis(section.heartbeat_ms),
            silence_timeout: Duration::from_millis(section.silence_ms),
            lease_ttl: Duration::from_secs(section.lease_s.into()),
            store_timeout: Duration::from_secs(2),
            domain_delay: Duration::from_micros(section.domain_delay_us),
            region_delay: Duration::from_micros(section.region_delay_us),
            seeds: Vec::new(),
        }
    }
}
