use std::sync::atomic::Ordering;

use schema::control::{DomainSummary, Heartbeat};
use types::Version;

use crate::shared::Node;
use crate::summary;

/// Reports of this node about itself and its subtree.
impl Node {
    /// Summaries of the subtree, including this node.
    pub(crate) fn subtree_summaries(&self) -> Vec<DomainSummary> {
        let version = self.version().get();
        let own = [DomainSummary {
            region: self.local.region.to_string(),
            domain: self.local.domain.to_string(),
            nodes: 1,
            lowest: version,
            highest: version,
            current: 1,
            lagging: Vec::new(),
            convergence_ms: self.convergence_ms.load(Ordering::Relaxed),
        }];
        let children = self.children();
        let below = children
            .iter()
            .map(|(id, child)| (id, child.summaries.as_slice()));
        let own = std::iter::once((&self.local.id, own.as_slice()));
        summary::aggregate(own.chain(below))
    }

    /// Summaries of the whole mesh at a root, of the subtree at any other node.
    pub(crate) fn summaries(&self) -> Vec<DomainSummary> {
        let mut all = self.subtree_summaries();
        let regions = self.regions();
        all.extend(regions.values().flat_map(|region| region.summaries.clone()));
        all
    }

    /// Heartbeat with the summaries of the subtree, or without them when they still equal `last`.
    pub(crate) fn heartbeat(&self, last: &mut Vec<DomainSummary>) -> Heartbeat {
        let summaries = self.subtree_summaries();
        let changed = summaries != *last;
        if changed {
            last.clone_from(&summaries);
        }
        Heartbeat {
            version: self.version().get(),
            table: self.table().digest(),
            summaries: if changed { summaries } else { Vec::new() },
        }
    }

    /// Heartbeat without summaries.
    pub(crate) fn heartbeat_without_summaries(&self) -> Heartbeat {
        Heartbeat {
            version: self.version().get(),
            table: self.table().digest(),
            summaries: Vec::new(),
        }
    }

    /// Highest version that any node is known to have held.
    pub(crate) fn highest_known_version(&self) -> Version {
        let summaries = self.summaries();
        let summarized = summaries.iter().map(|summary| summary.highest).max();
        let reported_by_peers = self.reported_versions().highest();
        Version::new(summarized.unwrap_or_default()).max(reported_by_peers)
    }
}
