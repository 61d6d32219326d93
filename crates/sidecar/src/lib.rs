//! Sidecar node for platforms that use a key-value store for service discovery.
//!
//! - [`Adapter`] is the interface to the platform: its store, and closures that convert its
//!   messages.
//! - [`Node`] is the shared state: the configuration in force, the directory of nodes, the call
//!   path.
//! - [`run`] runs the process: it binds the ports, handles signals, reloads the settings and shuts
//!   down gracefully.
//!
//! A request arrives in `callers` and passes the caller side of [`call`], which sends it as a
//! stream to the node beside the target; the target side of that node forwards it to the upstream.
//! Where the configuration has tenants, `access` finds the holder of a request's key and checks that the
//! key cannot have been revoked meanwhile, and `quotas` keeps the tenants within their quotas.
//!
//! Where the settings have roll-outs, `rollout_driver` decides on them at one node, `rollouts` leaves the
//! targets that requests may go to, and `rollout_reports` passes on what the targets answer.
//!
//! An announcement of the upstream arrives in `announcements`; [`route::StartTracker`] decides
//! which process of the upstream, called a start in [`route`], receives calls, and the
//! [`directory`] publishes the decision to the other nodes.

mod access;
mod adapter;
mod announcements;
mod callers;
mod daemon;
mod error;
mod log_budget;
mod metrics;
mod node;
mod quotas;
mod retry_slack;
mod rollout_driver;
mod rollout_message;
mod rollout_reports;
mod rollouts;
mod stop;
mod tenant_metrics;

pub use adapter::{Adapter, Configuration, Keys, RequestMetadata, Tenants, UpstreamMessage};
pub use daemon::run;
pub use error::Error;
pub use metrics::Metrics;
pub use node::{CONFIGURATION_WATCH_OPTIONS, NODE_WATCH_OPTIONS, Node};
pub use quotas::Quotas;
pub use retry_slack::divide_retry_slack;
pub use rollouts::{RolloutAdapter, Rollouts};
