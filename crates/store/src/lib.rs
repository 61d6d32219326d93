//! Client of the key-value store through the etcd v3 HTTP/JSON gateway.
//!
//! - [`Store`]: calls with a [`types::Deadline`]; a write is sent at most once for each call.
//! - [`Error`]: tells apart what was not sent, what may have taken effect and what was refused.
//! - [`Watch`]: changes of a key or prefix from a revision on.
//! - [`keys`] and [`values`]: the layout of the project's own keys.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! use schema::bundle::Head;
//! use store::{Store, keys, values};
//! use types::Deadline;
//!
//! let standin = standin::store::Store::start_local().await?;
//! let store = Store::new(vec![standin.url().parse()?])?;
//! let head = Head { version: 7, ..Head::default() };
//! let deadline = Deadline::after_ms(2000);
//! store.put(keys::HEAD, values::encode(&head)?, None, deadline).await?;
//! let value = store.get(keys::HEAD, deadline).await?.ok_or("head is absent")?;
//! assert_eq!(values::decode::<Head>(&value.bytes)?, head);
//! # Ok(())
//! # }
//! ```

mod counters;
mod error;
mod event;
pub mod keys;
mod kind;
mod lease;
mod ledger;
mod listing;
mod revision;
mod span;
mod store;
mod transport;
mod txn;
mod value;
pub mod values;
mod watch;

pub use error::Error;
pub use event::{Change, Event};
pub use kind::Kind;
pub use lease::Lease;
pub use listing::Listing;
pub use reqwest::Url;
pub use revision::Revision;
pub use span::Span;
pub use store::Store;
pub use txn::{Compare, Operation, Reply, Txn, TxnReply};
pub use value::Value;
pub use watch::Watch;
