use std::collections::BTreeMap;
use std::sync::Arc;

use types::{Digest, Timestamp, Version, id};

use crate::bundle::digest_bundle;
use crate::{Bundle, Delta, Service, digest_service};

/// List of all services of one version, with the piece that holds each of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// Version; [`Version::NONE`] when nothing has been published.
    pub version: Version,
    /// Version before this one.
    pub parent: Version,
    /// Publication that created the version; `None` when nothing has been published.
    pub publication: Option<id::Publication>,
    /// Name of the publisher, as free text.
    pub publisher: String,
    /// Time of publication.
    pub published: Timestamp,
    /// Digest of the whole bundle.
    pub digest: Digest,
    /// Entries by the name of the service.
    pub entries: BTreeMap<id::Service, ManifestEntry>,
    /// Pieces of the parent that this version no longer uses.
    pub replaced: Vec<PieceKey>,
}

/// One service in a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestEntry {
    /// Key of the piece that holds the service's configuration.
    pub piece: PieceKey,
    /// Digest of the service's configuration.
    pub digest: Digest,
    /// Owner of the service.
    pub owner: id::Owner,
}

/// Key of the piece that stores a service's configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceKey {
    /// Publication that wrote the piece.
    pub publication: id::Publication,
    /// Service that the piece configures.
    pub service: id::Service,
}

impl ManifestEntry {
    /// Creates the entry of a service that `publication` writes.
    #[must_use]
    pub fn new(publication: &id::Publication, service: &Service) -> Self {
        Self {
            piece: PieceKey {
                publication: publication.clone(),
                service: service.name.clone(),
            },
            digest: digest_service(service),
            owner: service.owner.clone(),
        }
    }
}

impl Manifest {
    /// Creates the manifest of a store in which nothing has been published.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            version: Version::NONE,
            parent: Version::NONE,
            publication: None,
            publisher: String::new(),
            published: Timestamp::default(),
            digest: Bundle::empty().digest,
            entries: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// Computes the digest from the entries and sets it.
    #[must_use]
    pub(crate) fn with_computed_digest(mut self) -> Self {
        let pieces = self
            .entries
            .iter()
            .map(|(name, entry)| (name, &entry.digest));
        self.digest = digest_bundle(self.version, self.published, pieces);
        self
    }

    /// Entries whose pieces must be read from the store to get from `held` to this version.
    #[must_use]
    pub fn missing_entries(&self, held: &Bundle) -> Vec<&ManifestEntry> {
        let is_held = |entry: &ManifestEntry| {
            let service = held.services.get(&entry.piece.service);
            service.is_some_and(|service| digest_service(service) == entry.digest)
        };
        self.entries
            .values()
            .filter(|entry| !is_held(entry))
            .collect()
    }

    /// Creates the delta from `held` to this version. `changed` are the services that
    /// [`Manifest::missing_entries`] names.
    #[must_use]
    pub fn delta_from(&self, held: &Bundle, changed: Vec<Arc<Service>>) -> Delta {
        let removed = held
            .services
            .keys()
            .filter(|name| !self.entries.contains_key(*name));
        Delta {
            from: held.version,
            to: self.version,
            changed,
            removed: removed.cloned().collect(),
            digest: self.digest,
            published: self.published,
        }
    }
}
