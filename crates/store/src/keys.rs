//! Layout of the keys.
//!
//! Ids have no `/`, so the parts of a key cannot run together. The last part of [`once`] is the
//! caller's text and may have any character.

use types::{Version, id};

/// Newest version; publishers swap it.
pub const HEAD: &str = "/dandelionseam/head";

/// Prefix of the manifests, in order of their versions.
pub const MANIFESTS: &str = "/dandelionseam/manifest/";

/// Prefix of the reader leases.
pub const READERS: &str = "/dandelionseam/reader/";

/// Manifest of a version. The 20 digits keep the order of the keys the same as that of the versions.
#[must_use]
pub fn manifest(version: Version) -> String {
    format!("{MANIFESTS}{:020}", version.get())
}

/// Version of a manifest's key.
#[must_use]
pub fn manifest_version(key: &str) -> Option<Version> {
    let digits = key.strip_prefix(MANIFESTS)?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

/// Configuration of one service, written by one publication.
#[must_use]
pub fn piece(publication: &id::Publication, service: &id::Service) -> String {
    format!("/dandelionseam/piece/{publication}/{service}")
}

/// Record of the version that a publication became.
#[must_use]
pub fn publication(publication: &id::Publication) -> String {
    format!("/dandelionseam/publication/{publication}")
}

/// Lease of a region's reader.
#[must_use]
pub fn reader(region: &id::Region) -> String {
    format!("{READERS}{region}")
}

/// Region of a reader's key.
#[must_use]
pub fn reader_region(key: &str) -> Option<id::Region> {
    key.strip_prefix(READERS)?.parse().ok()
}

/// Record of a call with an idempotency key. Names of routes are unique within the file of one service,
/// so the service is part of the key.
#[must_use]
pub fn once(owner: &id::Owner, service: &id::Service, route: &id::Route, key: &str) -> String {
    format!("/dandelionseam/once/{owner}/{service}/{route}/{key}")
}
