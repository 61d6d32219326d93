use std::sync::Arc;

use types::{Digest, Timestamp, Version, id};

use crate::{Delta, Manifest, ManifestEntry, Service};

/// Differences between the manifest of a version and that of the version before it.
///
/// It is stored with the head, so that a reader which holds the version before reads only the
/// changed pieces. A whole manifest is hundreds of times larger than a usual change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestDelta {
    /// Version that the delta starts at.
    pub from: Version,
    /// Version that the delta leads to.
    pub to: Version,
    /// Entries that are new or changed.
    pub changed: Vec<ManifestEntry>,
    /// Services that are removed.
    pub removed: Vec<id::Service>,
    /// Digest of the bundle that the delta leads to.
    pub digest: Digest,
    /// Time of publication of the version that the delta leads to.
    pub published: Timestamp,
}

impl ManifestDelta {
    /// Maximum number of differences that are stored with the head.
    pub const MAX_CHANGES: usize = 64;

    /// Creates the delta from `old` to `new`; `None` when they differ in more than
    /// [`ManifestDelta::MAX_CHANGES`] services.
    #[must_use]
    pub fn between(old: &Manifest, new: &Manifest) -> Option<Self> {
        let changed: Vec<_> = new
            .entries
            .iter()
            .filter(|(name, entry)| old.entries.get(*name) != Some(entry))
            .map(|(_, entry)| entry.clone())
            .collect();
        let removed: Vec<_> = old
            .entries
            .keys()
            .filter(|name| !new.entries.contains_key(*name))
            .cloned()
            .collect();
        (changed.len() + removed.len() <= Self::MAX_CHANGES).then_some(Self {
            from: old.version,
            to: new.version,
            changed,
            removed,
            digest: new.digest,
            published: new.published,
        })
    }

    /// Converts the differences into a delta of the bundle. `changed` are the services that
    /// [`ManifestDelta::changed`] names.
    #[must_use]
    pub fn into_delta(self, changed: Vec<Arc<Service>>) -> Delta {
        Delta {
            from: self.from,
            to: self.to,
            changed,
            removed: self.removed,
            digest: self.digest,
            published: self.published,
        }
    }
}
