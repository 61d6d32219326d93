//! HTTP/1.1 server for callers.
//!
//! [`Server`] serves each connection in a task of its own and passes each request to a handler. The
//! handler's future is dropped when the caller disconnects. A response body that ends with an error
//! aborts the connection, so that a truncated response never looks complete. [`Limits`] are read
//! again for each connection and each idle period, so a new idle timeout applies to open
//! connections as well.
//!
//! ```no_run
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use front::{Limits, Server, full};
//! use http::Response;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let limits = Limits {
//!     max_header_bytes: 16 * 1024,
//!     idle_timeout: Duration::from_secs(15),
//!     max_connections: 1000,
//! };
//! let server = Arc::new(Server::new(move || limits));
//! let listener = front::bind("127.0.0.1:8080".parse().expect("valid address"))?;
//! server.serve(listener, |_| async { Ok(Response::new(full("hello\n"))) }).await;
//! # Ok(())
//! # }
//! ```

mod activity;
mod body;
mod server;

pub use body::{Aborted, Body, full, stream};
pub use server::{Limits, Peer, Server, bind};
