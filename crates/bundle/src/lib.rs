//! The configuration of the mesh as plain data, and the decisions about it.
//!
//! - [`Folder`]: operator files read into services, with the place of every fault.
//! - [`Service`], [`Route`]: one service and its routes.
//! - [`validate`]: the one validation, used by publishers and nodes.
//! - [`Bundle`]: one whole published version; [`Delta`]: the step from one version to another.
//! - [`Manifest`], [`merge`]: what a publisher makes of a change when others publish too.
//!
//! Nothing here does I/O except [`read_folder`], and nothing reads a clock.
//!
//! ```
//! use bundle::{Bundle, Delta};
//! use types::{Timestamp, Version};
//!
//! let text = "[service]\nname = renewals\nowner = caroni\n[route renew]\npath = /renewals\nmethods = POST\n";
//! let (source, findings) = bundle::Source::read("renewals.ini", "renewals.ini", text);
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
mod folder;
mod manifest;
mod merge;
mod reach;
mod route;
mod service;
mod source;
mod step;
mod validate;

pub use bundle::Bundle;
pub use change::{Change, Conflict};
pub use convert::Invalid;
pub use delta::{Delta, Rejection};
pub use folder::{Folder, read_folder};
pub use manifest::{Entry, Manifest, Piece};
pub use merge::merge;
pub use reach::{InvalidReach, Reach};
pub use route::{Route, Share};
pub use service::{Service, piece_digest};
pub use source::Source;
pub use step::Step;
pub use validate::{
    METHODS, PATH_LIMIT, PIECE_LIMIT, SERVICE_LIMIT, validate, validate_references,
};
