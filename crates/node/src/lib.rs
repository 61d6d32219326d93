//! The node daemon `dandelionseamd`.
//!
//! One process runs beside each upstream. It connects the other crates to three ports:
//!
//! - callers: [`CallHandler`] converts HTTP requests to calls and streams the answers back.
//! - peers: accepts streams of other nodes, which carry either control messages or calls.
//! - admin: announcements of the upstream, health, metrics and reports.
//!
//! Each of the two HTTP ports is a [`Frontend`]: a [`Relay`] on the public address and an HTTP
//! server behind it. [`Node`] is the state that the ports share, and [`daemon::run`] runs the
//! process from the start to a graceful shutdown.
//!
//! ```
//! use std::sync::Arc;
//!
//! use futures::FutureExt;
//! use node::{CallHandler, Dispatcher, Frontend, Limits, Metrics, Relay};
//! use types::{Version, size};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let dispatcher = Dispatcher {
//!     call: Box::new(|request| {
//!         async move {
//!             call::Answer {
//!                 request: request.id,
//!                 status: http::StatusCode::OK,
//!                 headers: http::HeaderMap::new(),
//!                 outcome: types::Outcome::Ran,
//!                 fault: types::Fault::None,
//!                 reason: "answered".to_owned(),
//!                 version: Version::new(1),
//!                 upstream_time: None,
//!                 retry_after: None,
//!                 body: call::Body::from_bytes(bytes::Bytes::from_static(b"hello")),
//!             }
//!         }
//!         .boxed()
//!     }),
//!     version: Box::new(|| Version::new(1)),
//! };
//! let limits = Limits { body: size::Bytes::new(1024), in_flight: 8 };
//! let relay = Arc::new(Relay::new(String::new));
//! let metrics = Arc::new(Metrics::new()?);
//! let handler = CallHandler::new(dispatcher, Arc::clone(&relay), metrics, limits);
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let front = Frontend::start(listener, relay, handler.build_server(), 16).await?;
//! front.close().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod call_handler;
mod connection;
pub mod daemon;
mod error;
mod front;
mod headers;
mod limiter;
pub mod logs;
mod metrics;
mod node;
mod options;
mod peers;
mod process;
mod relay;
mod report;
mod request_body;
mod response_body;
mod upstream;

pub use call_handler::{CallHandler, Dispatcher, Limits};
pub use connection::{Connection, RequestGuard};
pub use error::Error;
pub use front::{Frontend, build_base_server};
pub use metrics::{ControlTraffic, Metrics};
pub use node::Node;
pub use options::Options;
pub use relay::Relay;
