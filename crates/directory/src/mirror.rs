use std::collections::{BTreeMap, HashSet, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Change, Item, Revision, Update};

/// Size from which a value is sent as a difference. For smaller ones, the difference would save
/// little.
pub const LARGE_VALUE_BYTES: usize = 4096;

/// Removed keys that are remembered. A follower that lacks an older removal gets a snapshot.
const MAX_REMOVED_KEYS: usize = 1024;

/// Replaced large values that are kept as the bases of differences.
const MAX_REPLACED_VALUES: usize = 3;

/// Copy of the keys with a prefix, with the order of their changes, from which other nodes can
/// follow the store.
#[derive(Debug, Default)]
pub struct Mirror {
    revision: Option<Revision>,
    items: BTreeMap<String, StoredItem>,
    removed: BTreeMap<String, Revision>,
    /// Removals up to this revision may have been forgotten.
    floor: Revision,
    replaced: VecDeque<Bytes>,
}

#[derive(Debug)]
struct StoredItem {
    value: Bytes,
    /// Revision of the last change or, where it is not known, up to which its batch was complete.
    changed_at: Revision,
}

/// Changes of the keys with a prefix, which are complete up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Whether keys that the batch does not contain don't exist.
    pub is_snapshot: bool,
    /// Newest state of each changed key.
    pub changes: Vec<Change>,
}

impl Mirror {
    /// Revision up to which all changes are known; `None` before the first snapshot.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Applies an update that is complete up to `revision`; returns whether it is not outdated.
    ///
    /// Updates from several sources may overlap. Each must continue from a revision that was reached
    /// before.
    pub fn apply(&mut self, update: &Update, revision: Revision) -> bool {
        // Changes continue the history of one era only.
        let is_new_era = self
            .revision
            .is_some_and(|reached| reached.era() != revision.era());
        match (self.revision, update) {
            (None, Update::Changes(_)) => return false,
            (_, Update::Changes(_)) if is_new_era => return false,
            (Some(reached), Update::Changes(_)) if revision <= reached => return false,
            (Some(reached), Update::Snapshot(_)) if revision < reached => return false,
            _ => {}
        }
        match update {
            Update::Snapshot(items) => {
                let kept: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
                let known = self.items.keys();
                let vanished = known.filter(|key| !kept.contains(key.as_str()));
                for key in vanished.cloned().collect::<Vec<_>>() {
                    self.remove(&key, revision);
                }
                for item in items {
                    self.put(item, known_revision(item), revision);
                }
                // A follower in an earlier era may have changes that this node has never seen.
                if self.revision.is_none() || is_new_era {
                    self.floor = revision;
                }
            }
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            let changed_at = known_revision(item).unwrap_or(revision);
                            self.put(item, Some(changed_at), revision);
                        }
                        Change::Removed(key) => self.remove(key, revision),
                    }
                }
            }
        }
        self.revision = Some(revision);
        true
    }

    /// Changes after a revision; `None` when nothing is known beyond it.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Option<Batch> {
        let revision = self.revision.filter(|reached| *reached > after)?;
        let is_snapshot = after < self.floor;
        let puts = self
            .items
            .iter()
            .filter(|(_, item)| is_snapshot || item.changed_at > after)
            .map(|(key, item)| {
                Change::Put(Item {
                    key: key.clone(),
                    value: item.value.clone(),
                    revision: Revision::default(),
                    lease: None,
                })
            });
        let removals = self
            .removed
            .iter()
            .filter(|(_, removed_at)| !is_snapshot && **removed_at > after)
            .map(|(key, _)| Change::Removed(key.clone()));
        Some(Batch {
            revision,
            is_snapshot,
            changes: puts.chain(removals).collect(),
        })
    }

    /// Large values, by key.
    pub fn large_values(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        let items = self
            .items
            .iter()
            .map(|(key, item)| (key.as_str(), &item.value));
        items.filter(|(_, value)| value.len() >= LARGE_VALUE_BYTES)
    }

    /// Finds a large value that is current or was replaced recently.
    #[must_use]
    pub fn find_large_value(&self, hash: u64) -> Option<Bytes> {
        let current = self.large_values().map(|(_, value)| value);
        let mut known = current.chain(&self.replaced);
        known.find(|value| xxh3_64(value) == hash).cloned()
    }

    /// Stores an item of an update that is complete up to `reached`. `changed_at` is its last change,
    /// if that is known.
    fn put(&mut self, item: &Item, changed_at: Option<Revision>, reached: Revision) {
        self.removed.remove(&item.key);
        let stored = StoredItem {
            value: item.value.clone(),
            changed_at: changed_at.unwrap_or(reached),
        };
        match self.items.get_mut(&item.key) {
            // The key may have had another value in between, which a follower may still have.
            Some(known) if known.value == item.value => {
                known.changed_at = known.changed_at.max(changed_at.unwrap_or_default());
            }
            Some(known) => {
                let before = std::mem::replace(known, stored).value;
                if before.len() >= LARGE_VALUE_BYTES {
                    self.replaced.truncate(MAX_REPLACED_VALUES - 1);
                    self.replaced.push_front(before);
                }
            }
            None => {
                self.items.insert(item.key.clone(), stored);
            }
        }
    }

    fn remove(&mut self, key: &str, removed_at: Revision) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.removed.insert(key.to_owned(), removed_at);
        if self.removed.len() > MAX_REMOVED_KEYS {
            let oldest = self
                .removed
                .iter()
                .min_by_key(|(_, removed_at)| **removed_at);
            if let Some((key, removed_at)) = oldest.map(|(key, at)| (key.clone(), *at)) {
                self.removed.remove(&key);
                self.floor = self.floor.max(removed_at);
            }
        }
    }
}

/// Last change of an item; items from other nodes have none.
fn known_revision(item: &Item) -> Option<Revision> {
    (item.revision > Revision::default()).then_some(item.revision)
}
