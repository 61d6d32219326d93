//! Decisions on the membership of the mesh: plain functions on plain data, without a clock or I/O.
//!
//! - [`Record`], [`Change`] and [`State`]: what is known about one node.
//! - [`Table`]: the records of all nodes, their merge, and the digests for anti-entropy.
//! - [`candidates`], [`standby`], [`reader_candidates`], [`witnesses`]: places in the tree.
//! - [`orphans`] and [`detached`]: nodes that nobody else would report as down.
//!
//! ```
//! use member::{Merge, Record, Table};
//! use tokio::time::Instant;
//! use types::Incarnation;
//!
//! let now = Instant::now();
//! let mut table = Table::default();
//! for name in ["n1", "n2", "n3"] {
//!     let address = "127.0.0.1:8081".parse()?;
//!     let (region, domain) = ("north".parse()?, "north-a".parse()?);
//!     let record = Record::new(name.parse()?, address, region, domain, Incarnation::new(1));
//!     assert_eq!(table.merge(record.clone(), now), Merge::Added);
//!     assert_eq!(table.merge(record, now), Merge::Old);
//! }
//! let lowest = &member::reader_candidates(&table, &"north".parse()?)[0];
//! let me = table.get(lowest).expect("known node");
//! assert!(member::candidates(&table, me, 6).is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod record;
mod state;
mod table;
mod tree;

pub use record::{Change, Invalid, Record, priority};
pub use state::State;
pub use table::{BUCKETS, GONE_LIMIT, Merge, Table};
pub use tree::{
    CANDIDATES, WITNESSES, candidates, detached, level, may_adopt, orphans, reader_candidates,
    remote_candidates, standby, standbys, witnesses,
};
