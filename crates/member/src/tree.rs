use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::ops::Range;

use types::id;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::compute_priority;
use crate::table::{DomainIndex, Key};
use crate::{Record, Table};

/// Maximum number of candidates from each higher level. With more, a child whose next higher level
/// is full only takes longer to find a parent.
const MAX_CANDIDATES_PER_LEVEL: usize = 8;

/// Maximum number of candidates from all higher levels together.
const MAX_HIGHER_LEVEL_CANDIDATES: usize = 12;

/// Maximum number of parent candidates. Those after the higher levels are nodes of the child's own
/// level: in a small failure domain the next higher level may by chance be too small for its
/// children.
pub const MAX_PARENT_CANDIDATES: usize = 20;

/// Maximum number of peers that a started node asks for the version its address has held.
pub const WITNESS_COUNT: usize = 4;

/// Finds possible parents of `child` in its failure domain, in order of preference.
///
/// The nodes of the next higher level come first, then those of the levels above it, then nodes of
/// the child's own level with a lower priority. The list is empty for the node with the lowest
/// priority of a failure domain, whose parent is the root of the region.
#[must_use]
pub fn find_parent_candidates(table: &Table, child: &Record, fanout: u32) -> Vec<id::Node> {
    let Some(domain) = table.domain(&child.domain) else {
        return Vec::new();
    };
    let child_priority = compute_priority(&child.id);
    let levels = Levels::new(domain.live.len(), fanout);
    let own_level = levels.level(child_priority);
    let mut keys = Vec::new();
    for level in (0..own_level).rev() {
        keys.extend(
            rank_nodes(domain, levels.range(level), child_priority)
                .into_iter()
                .take(MAX_CANDIDATES_PER_LEVEL),
        );
        if keys.len() >= MAX_HIGHER_LEVEL_CANDIDATES {
            break;
        }
    }
    keys.truncate(MAX_HIGHER_LEVEL_CANDIDATES);
    let level_start = levels.range(own_level).start;
    let same_level = domain
        .live
        .range(lower_bound(level_start)..lower_bound(child_priority));
    keys.extend(
        same_level
            .map(|(_, key)| *key)
            .take(MAX_PARENT_CANDIDATES - keys.len()),
    );
    let nodes = keys.into_iter().map(|key| table.record(key).id.clone());
    nodes.filter(|node| *node != child.id).collect()
}

/// Finds possible parents of `child` in the other failure domains of its region, in order of
/// preference. They are on the level above the one that the child would have in their domain.
#[must_use]
pub fn find_remote_candidates(table: &Table, child: &Record, fanout: u32) -> Vec<id::Node> {
    let child_priority = compute_priority(&child.id);
    let mut others: Vec<_> = table
        .domains_in(&child.region)
        .filter(|(name, domain)| **name != child.domain && !domain.live.is_empty())
        .collect();
    others.sort_by_key(|(name, _)| {
        Reverse(compute_score(
            child_priority,
            xxh3_64(name.as_str().as_bytes()),
        ))
    });
    let mut nodes = Vec::new();
    for (_, domain) in others {
        let levels = Levels::new(domain.live.len(), fanout);
        let level_above = levels.level(child_priority).saturating_sub(1);
        let mut keys = rank_nodes(domain, levels.range(level_above), child_priority);
        // A level may be empty in a small domain; the node with the lowest priority always exists.
        keys.extend(domain.live.iter().take(2).map(|(_, key)| *key));
        for key in keys.into_iter().take(MAX_PARENT_CANDIDATES) {
            let node = &table.record(key).id;
            if !nodes.contains(node) {
                nodes.push(node.clone());
            }
        }
    }
    nodes
}

/// Chooses the standby parent of `child`: the first choice in another failure domain of the region,
/// or the next candidate after `parent` where the region has no other domain.
#[must_use]
pub fn choose_standby(
    table: &Table,
    child: &Record,
    parent: Option<&id::Node>,
    fanout: u32,
) -> Option<id::Node> {
    find_standby_candidates(table, child, fanout)
        .into_iter()
        .find(|node| Some(node) != parent)
}

/// Finds possible standby parents of `child`, in order of preference.
#[must_use]
pub fn find_standby_candidates(table: &Table, child: &Record, fanout: u32) -> Vec<id::Node> {
    let remote = find_remote_candidates(table, child, fanout);
    if remote.is_empty() {
        find_parent_candidates(table, child, fanout)
    } else {
        remote
    }
}

/// Finds the witnesses of `node`, which remember the version that its address last reported: its
/// first choices as parent and as standby parent, in turn.
#[must_use]
pub fn find_witnesses(table: &Table, node: &Record, fanout: u32) -> Vec<id::Node> {
    let mut parents = find_parent_candidates(table, node, fanout);
    if parents.is_empty() {
        let roots = table.roots(&node.region).map(|record| record.id.clone());
        parents = roots
            .chain(find_reader_candidates(table, &node.region))
            .collect();
    }
    let standbys = find_standby_candidates(table, node, fanout);
    let longest = parents.len().max(standbys.len());
    let mut witnesses = Vec::new();
    for index in 0..longest {
        for peer in [parents.get(index), standbys.get(index)]
            .into_iter()
            .flatten()
        {
            if *peer != node.id && !witnesses.contains(peer) && witnesses.len() < WITNESS_COUNT {
                witnesses.push(peer.clone());
            }
        }
    }
    witnesses
}

/// Finds the nodes that may become the reader of a region: the two live nodes with the lowest
/// priorities in different failure domains, or in the only one.
#[must_use]
pub fn find_reader_candidates(table: &Table, region: &id::Region) -> Vec<id::Node> {
    let domains: Vec<&DomainIndex> = table
        .domains_in(region)
        .map(|(_, domain)| domain)
        .filter(|domain| !domain.live.is_empty())
        .collect();
    let per_domain = if domains.len() == 1 { 2 } else { 1 };
    let lowest = domains
        .iter()
        .flat_map(|domain| domain.live.iter().take(per_domain));
    let lowest: BTreeSet<_> = lowest.collect();
    let keys = lowest.into_iter().take(2).map(|(_, key)| *key);
    keys.map(|key| table.record(key).id.clone()).collect()
}

/// Finds the nodes below `ancestor` in the tree that are not gone.
#[must_use]
pub fn find_descendants(table: &Table, ancestor: &id::Node) -> Vec<id::Node> {
    let keys = table.descendants(ancestor);
    keys.keys()
        .map(|key| table.record(key).id.clone())
        .collect()
}

/// Finds the nodes in the region of `root` that are not gone and not below it in the tree.
///
/// Other roots of the region are among them, because no other node would report a reader that has
/// failed.
#[must_use]
pub fn find_detached(table: &Table, root: &Record) -> Vec<id::Node> {
    let attached = table.descendants(&root.id);
    let records = table.iter_with_keys().filter(|(key, record)| {
        record.region == root.region && !record.state.is_gone() && !attached.contains_key(*key)
    });
    let others = records.filter(|(_, record)| record.id != root.id);
    others.map(|(_, record)| record.id.clone()).collect()
}

/// Whether `child` may attach to `parent` without the risk of a cycle.
///
/// The tree of a region never includes nodes of other regions: the root of the child's own region
/// would report the child as detached.
#[must_use]
pub fn is_allowed_parent(parent: &Record, child: &Record) -> bool {
    let is_higher =
        parent.domain == child.domain && compute_priority(&parent.id) < compute_priority(&child.id);
    parent.region == child.region && (parent.root || is_higher)
}

/// Computes the level of a node in its failure domain; 0 is the highest level.
#[must_use]
pub fn compute_level(table: &Table, node: &Record, fanout: u32) -> usize {
    let nodes = table
        .domain(&node.domain)
        .map_or(1, |domain| domain.live.len());
    Levels::new(nodes, fanout).level(compute_priority(&node.id))
}

/// Lowest priority of each level of a failure domain, from the highest level down.
struct Levels(Vec<u64>);

impl Levels {
    /// Creates the levels of a failure domain with `nodes` live nodes. The number is rounded to a
    /// power of two, so that the levels stay the same when a few nodes join or leave.
    fn new(nodes: usize, fanout: u32) -> Self {
        let nodes = nodes.max(1) as u64;
        let mut exponent = nodes.ilog2();
        // Rounds up when the number is above the geometric mean of the two powers around it.
        if u128::from(nodes).pow(2) > 1 << (2 * exponent + 1) {
            exponent += 1;
        }
        let fanout = u64::from(fanout.max(2));
        let mut starts = vec![0];
        let (mut level_size, mut nodes_above) = (1, 1);
        while nodes_above < 1 << exponent {
            // Priorities are spread evenly, so a share of the nodes is a share of the value range.
            starts.push(nodes_above << (64 - exponent));
            level_size *= fanout;
            nodes_above += level_size;
        }
        Self(starts)
    }

    fn level(&self, priority: u64) -> usize {
        self.0.partition_point(|start| *start <= priority) - 1
    }

    /// Priorities of the nodes on a level; empty for a level that does not exist.
    fn range(&self, level: usize) -> Range<u64> {
        let end = self.0.get(level + 1).copied().unwrap_or(u64::MAX);
        self.0.get(level).copied().unwrap_or(u64::MAX)..end
    }
}

/// Sorts the live nodes with a priority in `range` by the preference of a child.
fn rank_nodes(domain: &DomainIndex, range: Range<u64>, child_priority: u64) -> Vec<Key> {
    let nodes = domain
        .live
        .range(lower_bound(range.start)..lower_bound(range.end));
    let mut scored: Vec<_> = nodes
        .map(|(priority, key)| (Reverse(compute_score(child_priority, *priority)), *key))
        .collect();
    scored.sort_unstable();
    scored.into_iter().map(|(_, key)| key).collect()
}

/// Computes the rendezvous hash of a child and a candidate; a child prefers the highest one.
fn compute_score(child: u64, candidate: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&child.to_le_bytes());
    bytes[8..].copy_from_slice(&candidate.to_le_bytes());
    xxh3_64(&bytes)
}

/// Bound below all index entries with a priority of at least `priority`.
fn lower_bound(priority: u64) -> (u64, Key) {
    (priority, Key::default())
}
