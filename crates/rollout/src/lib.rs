//! Decisions of a roll-out, which moves the traffic of a service to targets of a new build.
//!
//! - [`Order`] is the request of an operator; [`Rollout`] is its state, kept in the platform's store.
//! - [`select_targets`] leaves the targets that a request may go to in the present [`Stage`].
//! - [`Evidence`] collects what the targets of a build have answered; [`judge`] compares two builds.
//! - [`advance`] computes the next state from the time, the targets and the evidence.
//!
//! ```
//! use rollout::{Evidence, Sample, Verdict, judge};
//! use std::time::Duration;
//!
//! let route: types::id::Route = "status".parse()?;
//! let (mut old, mut new) = (Evidence::default(), Evidence::default());
//! for count in 0..200 {
//!     let elapsed = Duration::from_millis(80 + count % 7);
//!     old.record(&route, Sample { elapsed, is_failure: false });
//!     new.record(&route, Sample { elapsed, is_failure: count % 3 == 0 });
//! }
//! assert!(matches!(judge(&old, &new), Verdict::Bad(_)));
//! # Ok::<(), types::id::Invalid>(())
//! ```

mod advance;
mod evidence;
mod judge;
mod selection;
mod state;

pub use advance::{Situation, advance};
pub use evidence::{Evidence, Sample, Tally};
pub use judge::{Fault, Verdict, judge};
pub use selection::{base_build, select_targets};
pub use state::{Order, Rollout, Stage};
