//! Tenants of a deployment: their keys, and quotas that hold over all nodes.
//!
//! - [`Key`] is the digest of an API key; the key itself is never kept.
//! - [`Registry`] holds the [`Tenant`]s of one configuration version and finds the holder of a key.
//! - [`Meter`] decides at each node whether a request is within the tenant's [`Quota`]. It counts what the
//!   node takes, and applies the shares that a [`Coordinator`] computes from the reports of all nodes.
//!   While no coordinator answers, it takes no more than the node's even part of each quota, and nothing
//!   while the number of nodes is not known.
//!
//! ```
//! use tenant::{Key, Registry, Tenant};
//!
//! let tenant = Tenant::new("porto".parse()?).with_keys([Key::new("s3cret")]);
//! let registry = Registry::new([tenant])?;
//! assert!(registry.find(Key::new("s3cret")).is_some());
//! assert!(registry.find(Key::new("other")).is_none());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod coordinator;
mod key;
mod level;
mod meter;
mod quota;
mod registry;

pub use coordinator::{Coordinator, REPORT_INTERVAL, REPORT_TIMEOUT};
pub use key::Key;
pub use meter::{Excess, Meter, Refusal, Usage};
pub use quota::Quota;
pub use registry::{Registry, SharedKey, Tenant};
