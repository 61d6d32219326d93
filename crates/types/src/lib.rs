//! Small value types that the other crates share.
//!
//! - [`id`]: names of nodes, services, owners, regions and so on. Cheap to clone.
//! - [`Version`], [`Incarnation`], [`Digest`]: what orders and identifies state.
//! - [`size`] and [`rate`]: amounts with their unit in the type.
//! - [`Deadline`]: a point in time; durations are turned into deadlines where they enter.
//! - [`Progress`]: the deadline of a transfer, which moves on with the bytes that arrive.
//! - [`BootTime`]: a point in time for ages that count while the machine is suspended.
//! - [`Outcome`] and [`Fault`]: what is known about a failed call.
//! - [`report`]: JSON of the admin port, shared by the node and the tool.
//! - [`Finding`] and [`Findings`]: every fault of an input, with its place.
//!
//! ```
//! use types::{Version, id};
//!
//! let service: id::Service = "renewals".parse()?;
//! assert_eq!(format!("{service} {}", Version::new(7).next()), "renewals 8");
//! # Ok::<(), id::Invalid>(())
//! ```

mod boot_time;
mod deadline;
mod digest;
mod fault;
mod finding;
pub mod id;
mod incarnation;
mod outcome;
mod progress;
pub mod rate;
pub mod report;
pub mod size;
mod timestamp;
mod version;

pub use boot_time::BootTime;
pub use deadline::Deadline;
pub use digest::{Digest, InvalidDigest};
pub use fault::Fault;
pub use finding::{Finding, Findings};
pub use incarnation::Incarnation;
pub use outcome::{InvalidOutcome, Outcome};
pub use progress::Progress;
pub use timestamp::Timestamp;
pub use version::Version;
