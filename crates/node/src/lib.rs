//! The node daemon `dandelionseamd`.

mod admin;
mod callers;
pub mod daemon;
mod download;
mod error;
mod front;
mod gate;
mod headers;
mod link;
pub mod logs;
mod metrics;
mod node;
mod options;
mod peers;
mod process;
mod relay;
mod report;
mod upload;
mod upstream;

pub use callers::{Backend, Callers, Limits};
pub use error::Error;
pub use front::{Front, server};
pub use link::{Busy, Link};
pub use metrics::{Control, Metrics};
pub use node::Node;
pub use options::Options;
pub use relay::Relay;
