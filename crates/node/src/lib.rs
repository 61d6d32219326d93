//! The node daemon.

mod callers;
mod download;
mod front;
mod headers;
mod link;
pub mod logs;
mod metrics;
mod options;
pub mod process;
mod relay;
mod upload;

pub use callers::{Backend, Callers, Limits};
pub use front::{Front, server};
pub use link::{Busy, Link};
pub use metrics::{Control, Metrics};
pub use options::Options;
pub use relay::Relay;
