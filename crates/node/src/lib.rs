//! The node daemon.

mod front;
mod link;
pub mod logs;
mod metrics;
mod options;
pub mod process;
mod relay;

pub use front::{Front, server};
pub use link::{Busy, Link};
pub use metrics::{Control, Metrics};
pub use options::Options;
pub use relay::Relay;
