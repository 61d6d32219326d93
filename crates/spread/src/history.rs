//! Recent deltas, for children that reconnect with an older version.

use std::collections::VecDeque;
use std::sync::Arc;

use bundle::{Bundle, Delta};
use types::{Digest, Version};

/// Maximum number of deltas that are kept. Children with an older version get a snapshot.
pub const MAX_DELTAS: usize = 256;

/// The latest deltas, up to the held version.
#[derive(Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    /// Digest of the version to which the delta applies.
    base: Digest,
    delta: Arc<Delta>,
}

/// What a child needs to reach the held version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Nothing. The child holds this version or a newer one.
    Current,
    /// These deltas, in this order.
    Deltas(Vec<Arc<Delta>>),
    /// A snapshot of the held version.
    Snapshot,
}

impl History {
    /// Adds the delta from `old` to `new`. The first version of a node has no predecessor and adds
    /// none.
    pub fn push(&mut self, old: &Bundle, new: &Bundle) {
        if old.version == Version::NONE {
            return;
        }
        if self.entries.len() == MAX_DELTAS {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            base: old.digest,
            delta: Arc::new(Delta::between(old, new)),
        });
    }

    /// Decides what to send to a child that holds `version` with `digest`.
    #[must_use]
    pub fn plan(&self, held: &Bundle, version: Version, digest: Digest) -> Plan {
        if version >= held.version {
            return Plan::Current;
        }
        let matches = |entry: &Entry| entry.delta.from == version && entry.base == digest;
        match self.entries.iter().position(matches) {
            Some(first) => {
                let entries = self.entries.iter().skip(first);
                Plan::Deltas(entries.map(|entry| Arc::clone(&entry.delta)).collect())
            }
            None => Plan::Snapshot,
        }
    }
}
