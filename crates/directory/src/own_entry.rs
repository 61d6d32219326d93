//! What the store holds for this node.

use crate::{Entry, Item, LeaseId, Revision};

/// State of the own entry in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Written {
    /// Sequence number of the record.
    pub(crate) sequence: u32,
    /// Revision of the key.
    pub(crate) revision: Revision,
}

/// Entry that an earlier process of this node has left in the store.
pub(crate) enum PreviousEntry {
    /// The store has not been read yet.
    Unknown,
    Absent,
    Found(Box<StoredEntry>),
}

/// Entry of this node as the store holds it.
#[derive(Clone)]
pub(crate) struct StoredEntry {
    pub(crate) entry: Entry,
    pub(crate) revision: Revision,
    pub(crate) lease: Option<LeaseId>,
}

/// What an update says about the own entry.
pub(crate) enum OwnUpdate {
    None,
    /// The entry does not exist, or cannot be used.
    Missing,
    Found(Box<StoredEntry>),
}

impl OwnUpdate {
    pub(crate) fn new(entry: Option<Entry>, item: &Item) -> Self {
        entry.map_or(Self::Missing, |entry| {
            Self::Found(Box::new(StoredEntry {
                entry,
                revision: item.revision,
                lease: item.lease,
            }))
        })
    }
}

impl PreviousEntry {
    pub(crate) const fn is_known(&self) -> bool {
        !matches!(self, Self::Unknown)
    }
}
