//! Distribution of versions and membership between the store and the nodes.
//!
//! In each region one node, the reader, holds a lease and reads new versions from the store. It is
//! the root of a tree of the region's nodes, which carries versions down, summaries up and gossip
//! about members both ways. Roots of different regions exchange membership and summaries.
//!
//! [`Spread`] is the handle that the rest of a node uses. One task serves each link: to the parent,
//! to the standby, to each child and to the root of each other region. The reader has one more task
//! for the store. The tasks call decisions that are plain functions on plain data, here and in
//! `member`:
//!
//! - [`transfer`] and [`history`]: what a child is sent, and how it assembles the parts.
//! - [`admission`]: which children a node accepts.
//! - [`placement`]: which peers a node asks to be its parent.
//! - [`floor`], [`fresh_reads`] and [`reported_versions`]: the lowest version that a node may serve
//!   after its start.
//! - [`reader`]: when a node requests the reader lease of its region.
//! - [`liveness`]: which nodes a root reports as down.
//! - [`summary`]: which versions the nodes of a subtree hold.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! use member::Record;
//! use spread::{Config, Spread};
//! use types::Incarnation;
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let address = listener.local_addr()?;
//! let (region, domain) = ("north".parse()?, "north-a".parse()?);
//! let record = Record::new("n1".parse()?, address, region, domain, Incarnation::new(1));
//! let spread = Spread::start(Config::default(), record, None);
//! let handle = spread.clone();
//! tokio::spawn(async move {
//!     while let Ok((socket, _)) = listener.accept().await {
//!         let handle = handle.clone();
//!         tokio::spawn(wire::serve(socket, move |_, stream| handle.serve(stream)));
//!     }
//! });
//! assert!(!spread.is_ready());
//! spread.close().await;
//! # Ok(())
//! # }
//! ```

mod accept;
pub mod admission;
mod child;
mod condition;
mod config;
mod dial;
pub mod floor;
pub mod fresh_reads;
mod gossip;
pub mod history;
mod lease;
mod link;
pub mod liveness;
mod membership_sync;
mod parent;
pub mod placement;
pub mod reader;
mod region;
mod report;
pub mod reported_versions;
mod shared;
mod source;
mod spread;
mod standby;
pub mod summary;
mod traffic;
pub mod transfer;

pub use config::{Config, Source};
pub use spread::Spread;
pub use traffic::{Direction, Traffic};
