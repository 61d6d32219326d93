//! Decisions of the call path, as plain functions and structs on plain data.
//!
//! - [`Routes`] finds the [`Plan`] of a call.
//! - [`Picture`] chooses a target from [`Candidate`]s by [`Tier`], subset, load and recent failures.
//! - [`Patience`] tells from the time that a caller leaves whether it has come back.
//! - [`Admission`] decides by the [`Demand`] of a call whether a target takes a call, lets it wait or refuses it.
//! - [`Egress`] decides by the rate of the link whether a large answer can be sent in time, and when its pieces go.
//! - [`Presence`] decides whether an upstream may get calls.
//! - [`Succession`] decides which start of an upstream gets calls.
//! - [`Budget`] bounds retries, [`Bucket`] bounds keyed calls.
//!
//! Nothing here reads a clock, draws its own random numbers or does I/O: `now` and the random source
//! are arguments.
//!
//! ```
//! use route::{Admission, Decision, Demand, Refusal};
//! use tokio::time::Instant;
//! use types::{Deadline, size};
//!
//! let now = Instant::now();
//! let demand = Demand::new(Deadline::after_ms(100));
//! let mut admission = Admission::new(size::Slots::new(1), size::Queue::new(0), now);
//! assert_eq!(admission.admit(demand, now), Decision::Admit);
//! assert_eq!(admission.admit(demand, now), Decision::Refuse(Refusal::QueueFull));
//! ```

mod admission;
mod bucket;
mod budget;
mod candidate;
mod demand;
mod egress;
mod limit;
mod load;
mod patience;
mod picture;
mod presence;
mod routes;
mod succession;

pub use admission::{Admission, Decision, Refusal, Ticket};
pub use bucket::Bucket;
pub use budget::Budget;
pub use candidate::{Candidate, Place, Tier};
pub use demand::Demand;
pub use egress::Egress;
pub use load::Load;
pub use patience::Patience;
pub use picture::{Aim, Choice, Picture, Scope};
pub use presence::{ANNOUNCEMENT_LIFE, Presence, Probe, Stage, Verdict};
pub use routes::{NoRoute, Plan, Query, Routes, is_plain_path};
pub use succession::{Notice, Standing, Succession};
