//! Membership of the mesh: the records of all nodes, how they are merged, and the tree in which
//! each region connects its nodes.
//!
//! Everything here is a plain function on plain data, without a clock or I/O.
//!
//! - [`Record`], [`StateChange`] and [`State`]: what is known about one node.
//! - [`Table`]: the records of all nodes, their merge, and the digests for anti-entropy.
//! - [`find_parent_candidates`], [`find_standby_candidates`], [`find_reader_candidates`] and
//!   [`find_witnesses`]: which nodes take which role in the tree.
//! - [`find_descendants`] and [`find_detached`]: nodes that no other node would report as down.
//!
//! ```
//! use member::{MergeOutcome, Record, Table};
//! use tokio::time::Instant;
//! use types::Incarnation;
//!
//! let now = Instant::now();
//! let mut table = Table::default();
//! for name in ["n1", "n2", "n3"] {
//!     let address = "127.0.0.1:8081".parse()?;
//!     let (region, domain) = ("north".parse()?, "north-a".parse()?);
//!     let record = Record::new(name.parse()?, address, region, domain, Incarnation::new(1));
//!     assert_eq!(table.merge(record.clone(), now), MergeOutcome::Added);
//!     assert_eq!(table.merge(record, now), MergeOutcome::Stale);
//! }
//! let lowest = &member::find_reader_candidates(&table, &"north".parse()?)[0];
//! let node = table.get(lowest).expect("known node");
//! assert!(member::find_parent_candidates(&table, node, 6).is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod record;
mod state;
mod table;
mod tree;

pub use record::{ConversionError, Record, StateChange, compute_priority};
pub use state::State;
pub use table::{BUCKET_COUNT, GONE_RETENTION, MergeOutcome, Table};
pub use tree::{
    MAX_PARENT_CANDIDATES, WITNESS_COUNT, choose_standby, compute_level, find_descendants,
    find_detached, find_parent_candidates, find_reader_candidates, find_remote_candidates,
    find_standby_candidates, find_witnesses, is_allowed_parent,
};
