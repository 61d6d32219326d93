use std::sync::Arc;

use thiserror::Error;
use types::{Digest, Findings, Timestamp, Version, id};

use crate::{Bundle, Service};

/// Difference between a version and a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Version that the delta starts at; [`Version::NONE`] for a snapshot.
    pub from: Version,
    /// Version that the delta leads to.
    pub to: Version,
    /// Services that are new or changed.
    pub changed: Vec<Arc<Service>>,
    /// Services that are removed.
    pub removed: Vec<id::Service>,
    /// Digest of the bundle that the delta leads to.
    pub digest: Digest,
    /// Time of publication of the version that the delta leads to.
    pub published: Timestamp,
}

/// Reason why a delta cannot be applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta does not lead to a newer version than the held one.
    #[error("version {offered} is not newer than the held version {held}")]
    Stale {
        /// Version held.
        held: Version,
        /// Version that the delta leads to.
        offered: Version,
    },
    /// The delta starts at another version than the held one.
    #[error("delta starts at version {from}, but version {held} is held")]
    BaseMismatch {
        /// Version held.
        held: Version,
        /// Version that the delta starts at.
        from: Version,
    },
    /// The delta is damaged or incomplete.
    #[error("digest is {found}, but the delta names {expected}")]
    DigestMismatch {
        /// Digest that the delta names.
        expected: Digest,
        /// Digest of the result.
        found: Digest,
    },
    /// The result fails validation.
    #[error("configuration is invalid:\n{0}")]
    Validation(Findings),
}

impl Delta {
    /// Creates the delta from `old` to `new`; a snapshot when `old` is the empty bundle.
    #[must_use]
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let changed = new
            .services
            .iter()
            .filter(|(name, service)| old.services.get(*name) != Some(service));
        let removed = old
            .services
            .keys()
            .filter(|name| !new.services.contains_key(*name));
        Self {
            from: old.version,
            to: new.version,
            changed: changed.map(|(_, service)| Arc::clone(service)).collect(),
            removed: removed.cloned().collect(),
            digest: new.digest,
            published: new.published,
        }
    }

    /// Creates the delta that leads to `bundle` from any older version.
    #[must_use]
    pub fn snapshot(bundle: &Bundle) -> Self {
        Self::between(&Bundle::empty(), bundle)
    }
}
