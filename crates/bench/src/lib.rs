//! The measuring program: it starts the real daemon, tool and stand-ins on loopback and reads what
//! they cost.
//!
//! - [`spread`]: convergence time and control bytes while versions are published.
//! - [`restart`]: death and return of a whole failure domain.
//! - [`state`]: memory of a node that holds the state of the full size.
//! - [`calls`]: time that the mesh adds to a call.
//!
//! Every figure comes from the metrics of the processes or from the operating system.
//!
//! ```
//! use bench::Fit;
//!
//! let line = Fit::new(&[(10.0, 30.0), (20.0, 50.0)]).expect("two points");
//! assert!((line.at(40.0) - 90.0).abs() < 1e-9);
//! ```

mod error;
mod files;
mod fit;
mod mesh;
mod plan;
mod process;
mod sample;
mod scrape;
mod table;
mod usage;

pub mod calls;
pub mod restart;
pub mod spread;
pub mod state;

pub use error::Error;
pub use files::Address;
pub use fit::Fit;
pub use mesh::{Mesh, Node};
pub use plan::{Baseline, Plan};
pub use process::Process;
pub use sample::Sample;
pub use scrape::{Labels, Scrape};
pub use table::Table;
pub use usage::Usage;
