use std::collections::BTreeMap;
use std::sync::Arc;

use types::{Digest, Findings, Timestamp, Version, id};

use crate::{ApplyError, Delta, Service, digest_service, validate, validate_references};

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// Version; [`Version::NONE`] for the empty bundle of a node that does not hold a version yet.
    pub version: Version,
    /// Digest of the version, the time of publication and all services.
    pub digest: Digest,
    /// Time of publication.
    pub published: Timestamp,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
}

impl Bundle {
    /// Creates the bundle without services, at [`Version::NONE`].
    #[must_use]
    pub fn empty() -> Self {
        Self::from_services(Version::NONE, Timestamp::default(), BTreeMap::new())
    }

    /// Creates a bundle from services that pass [`validate`].
    ///
    /// # Errors
    ///
    /// Returns all findings of the validation.
    pub fn new<I>(version: Version, published: Timestamp, services: I) -> Result<Self, Findings>
    where
        I: IntoIterator<Item: Into<Arc<Service>>>,
    {
        let services = services.into_iter().map(Into::into).collect();
        let findings = |services: &[Arc<Service>]| validate(services.iter().map(Arc::as_ref));
        Self::new_checked(version, published, services, findings)
    }

    /// Creates a bundle from services that another store has accepted.
    ///
    /// The limits of operator files and of the mesh's own store do not apply to them. Only
    /// [`validate_references`] is run, so that no route names a service that does not exist.
    ///
    /// # Errors
    ///
    /// Returns all findings of [`validate_references`].
    pub fn from_accepted<I>(
        version: Version,
        published: Timestamp,
        services: I,
    ) -> Result<Self, Findings>
    where
        I: IntoIterator<Item: Into<Arc<Service>>>,
    {
        let services = services.into_iter().map(Into::into).collect();
        let findings =
            |services: &[Arc<Service>]| validate_references(services.iter().map(Arc::as_ref));
        Self::new_checked(version, published, services, findings)
    }

    fn new_checked<C>(
        version: Version,
        published: Timestamp,
        services: Vec<Arc<Service>>,
        check: C,
    ) -> Result<Self, Findings>
    where
        C: FnOnce(&[Arc<Service>]) -> Findings,
    {
        let findings = check(&services);
        let by_name = services
            .into_iter()
            .map(|service| (service.name.clone(), service));
        findings.or(Self::from_services(version, published, by_name.collect()))
    }

    fn from_services(
        version: Version,
        published: Timestamp,
        services: BTreeMap<id::Service, Arc<Service>>,
    ) -> Self {
        let pieces: Vec<_> = services
            .iter()
            .map(|(name, service)| (name, digest_service(service)))
            .collect();
        let digest = digest_bundle(
            version,
            published,
            pieces.iter().map(|(name, digest)| (*name, digest)),
        );
        Self {
            version,
            digest,
            published,
            services,
        }
    }

    /// Applies a delta to this bundle and returns the result. A delta from [`Version::NONE`] is a
    /// snapshot and applies to any older version.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] when the delta is not newer, does not start at the held version, is
    /// damaged, or leads to a bundle that fails validation.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ApplyError> {
        if delta.to <= self.version {
            return Err(ApplyError::Stale {
                held: self.version,
                offered: delta.to,
            });
        }
        if delta.from != Version::NONE && delta.from != self.version {
            return Err(ApplyError::BaseMismatch {
                held: self.version,
                from: delta.from,
            });
        }
        let bundle = Self::from_services(delta.to, delta.published, self.apply_to_services(delta));
        if bundle.digest != delta.digest {
            return Err(ApplyError::DigestMismatch {
                expected: delta.digest,
                found: bundle.digest,
            });
        }
        let findings = validate(bundle.services.values().map(Arc::as_ref));
        findings.or(bundle).map_err(ApplyError::Validation)
    }

    fn apply_to_services(&self, delta: &Delta) -> BTreeMap<id::Service, Arc<Service>> {
        let mut services = if delta.from == Version::NONE {
            BTreeMap::new()
        } else {
            self.services.clone()
        };
        for name in &delta.removed {
            services.remove(name);
        }
        for service in &delta.changed {
            services.insert(service.name.clone(), Arc::clone(service));
        }
        services
    }
}

/// Computes the digest of a whole version. The version number and the time of publication are part
/// of it, so that a damaged number is not taken for another version with the same services.
pub(crate) fn digest_bundle<'a, I>(version: Version, published: Timestamp, pieces: I) -> Digest
where
    I: IntoIterator<Item = (&'a id::Service, &'a Digest)>,
{
    let version = version.get().to_le_bytes();
    let published = published.get().to_le_bytes();
    let pieces = pieces
        .into_iter()
        .flat_map(|(name, digest)| [name.as_str().as_bytes(), digest.as_bytes().as_slice()]);
    Digest::of_parts(
        [version.as_slice(), published.as_slice()]
            .into_iter()
            .chain(pieces),
    )
}
