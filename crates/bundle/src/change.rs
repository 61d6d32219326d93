use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;
use types::{Timestamp, Version, id};

use crate::{ManifestEntry, Service};

/// What one publication wants to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id of the publication.
    pub publication: id::Publication,
    /// Name of the publisher, as free text.
    pub publisher: String,
    /// Time of publication.
    pub published: Timestamp,
    /// Services that are added or replaced, by name.
    pub set: BTreeMap<id::Service, ManifestEntry>,
    /// Services that are removed.
    pub removed: BTreeSet<id::Service>,
}

/// Reason why a change cannot be merged.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Conflict {
    /// Another publisher has changed the same service since the base version.
    #[error("service `{service}` was changed by {publisher} in version {version}")]
    Changed {
        /// Service that both publishers change.
        service: id::Service,
        /// Publication that wrote the service; `None` when the other publisher removed it.
        publication: Option<id::Publication>,
        /// The other publisher. Before [`Conflict::with_other_publisher`] sets it, the publisher of
        /// the newest version.
        publisher: String,
        /// Version with the other change. Before [`Conflict::with_other_publisher`] sets it, the
        /// newest version.
        version: Version,
    },
    /// The service belongs to another owner.
    #[error("service `{service}` belongs to owner `{owner}`, not to `{claimed}`")]
    OwnerMismatch {
        /// Service that the change sets.
        service: id::Service,
        /// Owner in the newest version.
        owner: id::Owner,
        /// Owner in the change.
        claimed: id::Owner,
    },
    /// A service that the change removes does not exist.
    #[error("service `{0}` cannot be removed, because it does not exist")]
    Absent(id::Service),
}

impl Change {
    /// Creates an empty change. `time` is the time of publication.
    #[must_use]
    pub fn new(publication: id::Publication, publisher: &str, time: Timestamp) -> Self {
        Self {
            publication,
            publisher: publisher.to_owned(),
            published: time,
            set: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Adds or replaces services.
    #[must_use]
    pub fn with_services<'a, I>(mut self, services: I) -> Self
    where
        I: IntoIterator<Item = &'a Service>,
    {
        for service in services {
            let entry = ManifestEntry::new(&self.publication, service);
            self.set.insert(service.name.clone(), entry);
        }
        self
    }

    /// Removes services.
    #[must_use]
    pub fn with_removed<I>(mut self, names: I) -> Self
    where
        I: IntoIterator<Item = id::Service>,
    {
        self.removed.extend(names);
        self
    }
}

impl Conflict {
    /// Sets the other publisher and the version that it published.
    #[must_use]
    pub fn with_other_publisher(mut self, other_publisher: &str, other_version: Version) -> Self {
        if let Self::Changed {
            publisher, version, ..
        } = &mut self
        {
            other_publisher.clone_into(publisher);
            *version = other_version;
        }
        self
    }
}
