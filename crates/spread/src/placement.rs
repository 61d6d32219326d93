//! Which peers a node asks to be its parent, and whether it may keep one.

use std::net::SocketAddr;

use member::{Record, State, Table};
use types::id;

use crate::Config;

/// Maximum number of addresses that a refusal names.
const MAX_ALTERNATIVES: usize = 8;

/// Addresses of the peers to ask to be the parent of `me`, in order of preference. `excluded` is a
/// parent that was faulty.
#[must_use]
pub fn parent_candidates(
    table: &Table,
    me: &Record,
    fanout: u32,
    excluded: Option<&id::Node>,
) -> Vec<SocketAddr> {
    let mut nodes = member::find_parent_candidates(table, me, fanout);
    nodes.extend(table.roots(&me.region).map(|record| record.id.clone()));
    nodes.extend(member::find_reader_candidates(table, &me.region));
    nodes.retain(|node| *node != me.id && Some(node) != excluded);
    addresses(table, &nodes)
}

/// Addresses that a refused child should try. Roots come last, because there are few of them.
#[must_use]
pub fn alternatives(table: &Table, child: &Record, me: &id::Node, fanout: u32) -> Vec<SocketAddr> {
    let mut nodes = member::find_parent_candidates(table, child, fanout);
    nodes.truncate(MAX_ALTERNATIVES - 2);
    nodes.extend(table.roots(&child.region).map(|record| record.id.clone()));
    nodes.retain(|node| *node != child.id && node != me);
    nodes.truncate(MAX_ALTERNATIVES);
    addresses(table, &nodes)
}

/// Whether `parent` is among the candidates that the tree order gives to `me`, or there are none.
#[must_use]
pub fn is_candidate_parent(table: &Table, me: &Record, parent: &id::Node, fanout: u32) -> bool {
    let nodes = member::find_parent_candidates(table, me, fanout);
    nodes.is_empty() || nodes.contains(parent)
}

/// Whether `parent` is on a level above `me`, or no candidate is. Nodes that started before the
/// others may have parents on their own level, which makes the tree deeper than necessary.
#[must_use]
pub fn is_parent_above(table: &Table, me: &Record, parent: &id::Node, fanout: u32) -> bool {
    let own = member::compute_level(table, me, fanout);
    let is_higher = |node: &id::Node| {
        let record = table.get(node);
        record.is_some_and(|record| member::compute_level(table, record, fanout) < own)
    };
    let candidates = member::find_parent_candidates(table, me, fanout);
    is_higher(parent) || !candidates.first().is_some_and(is_higher)
}

/// Child limit of `me` for accepting `child`. Nodes that only a root accepts, because they have
/// found no parent in their own failure domain, may fill half of the limit. The rest is for the top
/// nodes of the failure domains, which have no other parent.
#[must_use]
pub fn child_limit(table: &Table, me: &Record, child: &Record, config: &Config) -> usize {
    let is_in_order = member::is_allowed_parent(
        &Record {
            root: false,
            ..me.clone()
        },
        child,
    );
    if is_in_order || member::find_parent_candidates(table, child, config.fanout).is_empty() {
        config.max_children
    } else {
        config.max_children / 2
    }
}

/// Whether the node may request the reader lease without delay: it is one of the two reader
/// candidates of its region and knows other nodes.
#[must_use]
pub fn is_reader_candidate(table: &Table, me: &Record) -> bool {
    table.len() > 1 && member::find_reader_candidates(table, &me.region).contains(&me.id)
}

/// Whether the node has the lowest priority value of the live nodes of its region. This node acts
/// as root while no node can become the reader.
#[must_use]
pub fn has_lowest_priority(table: &Table, me: &Record) -> bool {
    member::find_reader_candidates(table, &me.region).first() == Some(&me.id)
}

/// Whether another live root of the region has a lower priority value.
#[must_use]
pub fn has_lower_priority_root(table: &Table, me: &Record) -> bool {
    let mine = member::compute_priority(&me.id);
    table
        .roots(&me.region)
        .any(|root| member::compute_priority(&root.id) < mine)
}

/// Whether an earlier process with the id or the address of `child` is in the table.
#[must_use]
pub fn has_earlier_incarnation(table: &Table, child: &Record) -> bool {
    table.iter().any(|record| {
        (record.id == child.id || record.address == child.address)
            && record.incarnation < child.incarnation
    })
}

/// Addresses of those nodes that are starting, ready or draining, without duplicates.
#[must_use]
pub fn addresses(table: &Table, nodes: &[id::Node]) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for record in nodes.iter().filter_map(|node| table.get(node)) {
        if record.state <= State::Draining && !addresses.contains(&record.address) {
            addresses.push(record.address);
        }
    }
    addresses
}
