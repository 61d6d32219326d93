//! Messages, stored values and settings, generated from the `.proto` files of this crate.
//!
//! - [`bundle`]: values in the store, also carried between nodes.
//! - [`control`] and [`call`]: messages of the streams between nodes.
//! - [`directory`]: entries of nodes in the platform's store.
//! - [`quota`]: reports on the usage of tenants.
//! - [`rollout`]: state of roll-outs.
//! - [`settings`] and [`operator`]: sections of INI files, with a key table for each.
//! - [`gateway`], [`upstream`] and [`standin`]: JSON messages of the store's gateway, of upstreams and
//!   of the stand-ins.
//! - [`codec`]: the binary form of messages.
//!
//! The types of this crate are used where data enters or leaves the process; the other crates
//! convert them to their own types.
//!
//! ```
//! use schema::{bundle::Head, codec};
//!
//! let head = Head { version: 7, ..Head::default() };
//! let bytes = codec::encode(&head)?;
//! assert_eq!(codec::decode::<Head>(&bytes)?, head);
//! # Ok::<(), codec::Error>(())
//! ```

pub mod codec;
mod json;
pub mod section;

/// Values kept in the store and carried between nodes.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/bundle.rs"]
#[rustfmt::skip]
pub mod bundle;

/// Messages of the call streams between nodes.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/call.rs"]
#[rustfmt::skip]
pub mod call;

/// Messages of the control streams between nodes.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/control.rs"]
#[rustfmt::skip]
pub mod control;

/// Entries of nodes in the platform's store.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/directory.rs"]
#[rustfmt::skip]
pub mod directory;

/// Messages of the etcd v3 HTTP/JSON gateway.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/gateway.rs"]
#[rustfmt::skip]
pub mod gateway;

/// Sections of operator files.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/operator.rs"]
#[rustfmt::skip]
pub mod operator;

/// Messages about the quotas of tenants.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/quota.rs"]
#[rustfmt::skip]
pub mod quota;

/// State of roll-outs and reports of their answers.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/rollout.rs"]
#[rustfmt::skip]
pub mod rollout;

/// Sections of the daemon's settings.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/settings.rs"]
#[rustfmt::skip]
pub mod settings;

/// Control messages of the stand-ins.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/standin.rs"]
#[rustfmt::skip]
pub mod standin;

/// Messages of an upstream to the node beside it.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/upstream.rs"]
#[rustfmt::skip]
pub mod upstream;
