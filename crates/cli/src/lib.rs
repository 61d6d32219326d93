//! Publishing and reporting, as used by the tool `dandelionseam`.
//!
//! - [`Publisher`]: publishes operator files as one new version.
//! - [`Archive`]: reads published versions from the store.
//! - [`Difference`]: what changed between two versions.
//! - [`wait`]: follows a version until it is in force everywhere.
//! - [`admin`]: questions to the admin ports of nodes.
//! - [`Failure`]: reasons for a failed command, each with its exit code.
//!
//! The binary only reads arguments and prints; everything it does can be called from here.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! use bundle::{SourceSet, Source};
//! use cli::{Archive, Order, Publisher};
//! use store::Store;
//! use types::{Deadline, Version};
//!
//! let standin = standin::store::Store::start_local().await?;
//! let store = Store::new(vec![standin.url().parse()?])?;
//!
//! let text = "[service]\nname = renewals\nowner = caroni\n";
//! let (source, _) = Source::parse("renewals.ini", "renewals.ini", text);
//! let order = Order::new(SourceSet { sources: source.into_iter().collect() });
//! let mut publisher = Publisher::new(Archive::new(store), "operator");
//! let published = publisher.publish(&order, Deadline::after_ms(5000)).await?;
//! assert_eq!(published.version, Version::new(1));
//! # Ok(())
//! # }
//! ```

pub mod admin;
mod archive;
mod difference;
mod failure;
mod order;
mod publisher;
mod retry;
mod swap;
pub mod wait;

pub use archive::{Archive, NewestVersion};
pub use difference::{Difference, FieldChange};
pub use failure::Failure;
pub use order::{Effect, Order, Published};
pub use publisher::Publisher;
