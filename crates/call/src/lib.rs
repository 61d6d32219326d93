//! The call path, from the caller's node to the upstream and back.
//!
//! - [`Caller`] takes a [`Request`], finds its route, chooses a target and returns an [`Answer`].
//!   It sends the call over [`wire`], or passes it to the [`Target`] of its own node.
//! - [`Target`] runs beside an upstream: it admits calls, forwards them over HTTP and streams the
//!   answers back. The upstream registers itself with an [`Announcement`].
//! - [`Accounts`] keep counters and the latest failures of each owner.
//! - [`HeaderCodec`] writes and reads the headers exchanged between a node and its upstream.
//! - [`MeshView`] provides the configuration and the membership that both sides need.
//!
//! Every answer states whether the call ran. Its outcome is `not-run` only when the node beside the
//! upstream reports so or the head of the call was never sent.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use bundle::Bundle;
//! use call::{Accounts, Caller, MeshView, Request, Target};
//! use http::Method;
//! use route::Locality;
//! use types::{Fault, Outcome};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), types::id::Invalid> {
//! let bundle = Arc::new(Bundle::empty());
//! let mesh = MeshView::new(move || Arc::clone(&bundle), |_| Vec::new(), || true);
//! let target = Target::new(mesh.clone(), None);
//! let locality = Locality {
//!     node: "node-1".parse()?,
//!     region: "north".parse()?,
//!     domain: "north-a".parse()?,
//! };
//! let accounts = Arc::new(Accounts::new());
//! let caller = Caller::new(locality, mesh, target, accounts, Duration::from_secs(60));
//!
//! let request = Request::new("request-1".parse()?, Method::GET, "/renewals/7");
//! let answer = caller.call(request).await;
//! assert_eq!(answer.status, 404);
//! assert_eq!((answer.outcome, answer.fault), (Outcome::NotRun, Fault::Caller));
//! # Ok(())
//! # }
//! ```

mod accounts;
mod active_calls;
mod announcement;
mod answer;
mod body;
mod call_record;
mod caller;
mod connection;
mod failure;
mod header_codec;
mod headers;
mod idempotency_store;
mod inlet;
mod limiter;
mod local_upstream;
mod mesh_view;
mod message;
mod payload;
mod peer;
mod pool;
mod request;
mod routed_call;
mod run;
mod serve;
mod shaper;
mod target;
mod target_stats;
mod upstream;
mod upstream_answer;

pub use accounts::{Account, Accounts, Counters, FailedCall};
pub use announcement::Announcement;
pub use answer::Answer;
pub use body::Body;
pub use caller::{Caller, HedgeCounts};
pub use failure::{BodyError, Failure};
pub use header_codec::{AnswerKind, HeaderCodec, Notice, RequestContext, parse_rate_limit};
pub use headers::{content_length, remove_hop_headers};
pub use mesh_view::MeshView;
pub use request::{Guard, Request, RequestBody, new_request_id};
pub use target::{Observe, Target, TargetOptions};
