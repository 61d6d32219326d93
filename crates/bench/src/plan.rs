use crate::Error;

/// How nodes get versions; the tree is the product, the others are for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Baseline {
    /// Readers and a tree, with deltas.
    #[default]
    Tree,
    /// Every node watches the store.
    Store,
    /// Readers and a tree, with a snapshot for each version.
    Snapshots,
}

impl Baseline {
    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tree => "tree",
            Self::Store => "store",
            Self::Snapshots => "snapshots",
        }
    }
}

impl std::str::FromStr for Baseline {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        [Self::Tree, Self::Store, Self::Snapshots]
            .into_iter()
            .find(|baseline| baseline.name() == text)
            .ok_or_else(|| Error::Answer(format!("`{text}` is none of tree, store, snapshots")))
    }
}

/// Mesh to start.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of failure domains, spread over the regions.
    pub domains: usize,
    /// Number of services in the configuration.
    pub services: usize,
    /// Children for each node of the tree.
    pub fanout: u32,
    /// One-way delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// One-way delay between regions, in microseconds.
    pub region_delay_us: u64,
    /// How nodes get versions.
    pub baseline: Baseline,
}

impl Plan {
    /// Failure domain of a node, by its number.
    #[must_use]
    pub const fn domain(&self, node: usize) -> usize {
        node % self.domains
    }

    /// Region of a failure domain, by their numbers.
    #[must_use]
    pub const fn region(&self, domain: usize) -> usize {
        domain % self.regions
    }
}
