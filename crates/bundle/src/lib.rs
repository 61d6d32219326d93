//! The configuration of the mesh as plain data, and the decisions about it.
//!
//! - [`Source`] and [`SourceSet`]: operator files, read into services.
//! - [`Service`] and [`Route`]: one service and its routes. Its stored form is a piece.
//! - [`validate`]: the one validation, used by publishers and nodes.
//! - [`Bundle`]: one complete published version; [`Delta`]: the difference between two versions.
//! - [`Manifest`]: the list of pieces of a version; [`ManifestDelta`]: the difference between two
//!   manifests.
//! - [`Change`] and [`merge`]: what a publisher wants to change, and its merge with what others
//!   have published in the meantime.
//!
//! Nothing here does I/O except [`read_sources`], and nothing reads a clock.
//!
//! ```
//! use bundle::{Bundle, Delta};
//! use types::{Timestamp, Version};
//!
//! let text = "[service]\nname = renewals\nowner = caroni\n[route renew]\npath = /renewals\nmethods = POST\n";
//! let (source, findings) = bundle::Source::parse("renewals.ini", "renewals.ini", text);
//! assert!(findings.is_empty());
//! let service = source.expect("a file with a name and an owner").service;
//!
//! let held = Bundle::empty();
//! let new = Bundle::new(Version::new(1), Timestamp::new(5), [service])?;
//! let delta = Delta::between(&held, &new);
//! assert_eq!(held.apply(&delta)?, new);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod bundle;
mod change;
mod convert;
mod delta;
mod manifest;
mod manifest_delta;
mod merge;
mod reach;
mod route;
mod service;
mod source;
mod source_set;
mod validate;

pub use bundle::Bundle;
pub use change::{Change, Conflict};
pub use convert::ConversionError;
pub use delta::{ApplyError, Delta};
pub use manifest::{Manifest, ManifestEntry, PieceKey};
pub use manifest_delta::ManifestDelta;
pub use merge::merge;
pub use reach::{InvalidReach, Reach};
pub use route::{Route, WeightedService};
pub use service::{Service, digest_service};
pub use source::Source;
pub use source_set::{SourceSet, read_sources};
pub use validate::{
    MAX_PATH_BYTES, MAX_PIECE_BYTES, MAX_SERVICES, METHODS, validate, validate_references,
};
