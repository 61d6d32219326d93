use std::cmp::Reverse;
use std::net::SocketAddr;

use member::{Record, compute_priority};
use types::id;
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of nodes that all read the store. The cost of their calls grows with the square
/// of their number when entries change.
const MAX_DIRECT_NODES: usize = 32;

/// Nodes of each region that read the store. Each other node follows two of the nodes above it, so
/// that the loss of one reader delays nothing.
const READERS_PER_REGION: usize = 3;

/// Nodes on each level of the tree for one node on the level above.
const FANOUT: usize = 8;

/// Largest number of possible parents.
const MAX_PARENTS: usize = 8;

/// Way in which a node follows the store: as one of its readers, or by following other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether this node reads the store.
    pub is_reader: bool,
    /// Whether other nodes follow this one because it reads the store.
    pub has_followers: bool,
    /// Other nodes to follow, in order of preference. Empty for a reader.
    pub parents: Vec<Parent>,
}

/// Node that another one may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Id of the node.
    pub node: id::Node,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
}

impl Plan {
    /// Computes the plan of a node from the records of the live nodes, `own` among them or not.
    ///
    /// The nodes of a region are ordered by a hash of their ids. The first ones read the store, and
    /// each further level is [`FANOUT`] times as large as the one above. A node that joins or leaves
    /// moves at most one node on each level. The parents come from the level above, in rendezvous
    /// order, so that only the children of a lost node change their parents.
    #[must_use]
    pub fn new<'a, I>(own: &Record, live: I) -> Self
    where
        I: Iterator<Item = &'a Record>,
    {
        let mut total = 1;
        let mut region = Vec::new();
        for record in live.filter(|record| record.id != own.id) {
            total += 1;
            if record.region == own.region {
                region.push((compute_priority(&record.id), record));
            }
        }
        let own_priority = compute_priority(&own.id);
        // Only nodes with a lower priority can be above this one.
        region.retain(|(priority, _)| *priority < own_priority);
        let rank = region.len();
        let is_large = total > MAX_DIRECT_NODES;
        if !is_large || rank < READERS_PER_REGION {
            return Self {
                is_reader: true,
                has_followers: is_large,
                parents: Vec::new(),
            };
        }
        region.sort_unstable_by_key(|(priority, _)| *priority);
        let levels = level_starts(rank);
        let mut parents = Vec::new();
        for bounds in levels.windows(2).rev() {
            let mut level = region[bounds[0]..bounds[1]].to_vec();
            level.sort_unstable_by_key(|(priority, _)| {
                Reverse(compute_score(own_priority, *priority))
            });
            parents.extend(level.into_iter().map(|(_, record)| Parent {
                node: record.id.clone(),
                address: record.address,
                domain: record.domain.clone(),
            }));
        }
        parents.truncate(MAX_PARENTS);
        Self {
            is_reader: false,
            has_followers: false,
            parents,
        }
    }
}

/// Whether a node may follow another one. The order by priority rules out that nodes follow each
/// other in a circle, whatever each of them knows of the fleet.
#[must_use]
pub fn is_above(parent: &id::Node, child: &id::Node) -> bool {
    compute_priority(parent) < compute_priority(child)
}

/// First ranks of the levels from the readers down to the one that holds `rank`.
fn level_starts(rank: usize) -> Vec<usize> {
    let (mut start, mut size) = (0, READERS_PER_REGION);
    let mut starts = vec![0];
    while start + size <= rank {
        start += size;
        size *= FANOUT;
        starts.push(start);
    }
    starts
}

/// Computes the rendezvous hash of a node and a possible parent; the highest one is preferred.
fn compute_score(child: u64, parent: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&child.to_le_bytes());
    bytes[8..].copy_from_slice(&parent.to_le_bytes());
    xxh3_64(&bytes)
}
