//! Node directory and configuration in the platform's store.
//!
//! - [`Backend`] is the client of the store, as closures. An adapter implements its protocol.
//! - [`Relay`] follows keys of the store. A few nodes of each region read the store; the others
//!   follow these, or read the store while they have no node to follow. [`Plan`] decides who follows
//!   whom, [`Mirror`] keeps what is passed on, and [`Difference`] keeps new versions of a large value
//!   small.
//! - [`Directory`] publishes the entry of this node under a lease and collects the entries of the
//!   others. The known entries stay in use during outages of the store.
//!   A departure that the store does not take is handed over to other nodes, so that it outlives the
//!   process.
//! - [`ConfigWatcher`] provides the configuration. It ignores versions that are older than the one
//!   in force or cannot be decoded.
//! - [`Replica`] decides which entries are valid. Removed ones stay valid for a grace time, because
//!   a store loses the entries of live nodes during an outage.
//!
//! One task reads the keys with each prefix from the store, one follows each parent, one serves each
//! child, and one publishes the own entry.
//!
//! ```
//! use std::time::Duration;
//!
//! use directory::Replica;
//! use member::Record;
//! use tokio::time::Instant;
//! use types::Incarnation;
//!
//! let now = Instant::now();
//! let address = "127.0.0.1:8081".parse()?;
//! let (region, domain) = ("north".parse()?, "north-a".parse()?);
//! let record = Record::new("n1".parse()?, address, region, domain, Incarnation::new(1));
//! let mut replica = Replica::default();
//! replica.put("n1", record);
//! replica.mark_removed("n1", now);
//! assert_eq!(replica.live(now).count(), 1);
//! assert_eq!(replica.live(now + Duration::from_secs(5)).count(), 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod backend;
mod child;
mod compression;
mod difference;
mod election;
mod entry;
mod handle;
mod handoff;
mod health;
mod message;
mod mirror;
mod own_entry;
mod parent;
mod plan;
mod publish;
mod relay;
mod replica;
mod source;
mod table;
mod versions;

pub use backend::{
    Backend, Change, Error, Item, Lease, LeaseId, ListRequest, Listing, Revision, WatchRequest,
};
pub use difference::{Difference, Segment};
pub use election::{FAILURE_MEMORY, choose_coordinator};
pub use entry::{Entry, UpstreamStart};
pub use handle::{Directory, Upstream};
pub use health::{CallCount, CallKind, Health};
pub use mirror::{Batch, LARGE_VALUE_BYTES, Mirror};
pub use plan::{Parent, Plan, is_above};
pub use relay::Relay;
pub use replica::Replica;
pub use source::{Update, WatchOptions};
pub use versions::ConfigWatcher;
