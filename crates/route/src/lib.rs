//! Decisions of the call path, as plain functions and structs on plain data.
//!
//! - [`Routes`] finds the [`Plan`] of a call.
//! - [`Balancer`] chooses a target among [`Candidate`]s by [`Tier`], subset, load and recent
//!   failures.
//! - [`AgeEstimator`] estimates from the deadline of a call how long ago its first attempt was
//!   sent.
//! - [`Admission`] admits, queues or refuses a call at a target, according to its [`Requirements`].
//! - [`Egress`] refuses large answers that the link cannot send in time and paces the others.
//! - [`Ingress`] refuses large request bodies that the link cannot receive in time.
//! - [`UpstreamHealth`] decides whether an upstream may be sent calls.
//! - [`StartTracker`] decides which start of an upstream is sent calls.
//! - [`Hedger`] decides which slow calls are sent to a second target.
//! - [`RetryBudget`] limits retries, [`TokenBucket`] limits calls with idempotency keys.
//!
//! Nothing in this crate reads a clock, creates random numbers or does I/O: `now` and the random
//! number generator are arguments.
//!
//! ```
//! use route::{Admission, Decision, Refusal, Requirements};
//! use tokio::time::Instant;
//! use types::{Deadline, size};
//!
//! let now = Instant::now();
//! let requirements = Requirements::new(Deadline::after_ms(100));
//! let mut admission = Admission::new(size::Slots::new(1), size::Queue::new(0), now);
//! assert_eq!(admission.admit(requirements, now), Decision::Admit);
//! assert_eq!(admission.admit(requirements, now), Decision::Refuse(Refusal::QueueFull));
//! ```

mod admission;
mod age_estimator;
mod balancer;
mod candidate;
mod choice;
mod concurrency_limit;
mod declared_limit;
mod egress;
mod hedge;
mod ingress;
mod load;
mod rate_limiter;
mod requirements;
mod retry_budget;
mod routes;
mod start_tracker;
mod target_state;
mod token_bucket;
mod upstream_health;

pub use admission::{Admission, Decision, Refusal, Ticket};
pub use age_estimator::AgeEstimator;
pub use balancer::Balancer;
pub use candidate::{Candidate, Locality, Tier};
pub use choice::{Choice, Criteria, Scope};
pub use declared_limit::DeclaredLimit;
pub use egress::Egress;
pub use hedge::{Hedge, Hedger, NoHedge};
pub use ingress::Ingress;
pub use load::Load;
pub use rate_limiter::RateLimiter;
pub use requirements::Requirements;
pub use retry_budget::RetryBudget;
pub use routes::{NoRoute, Plan, Query, Routes, is_normalized_path};
pub use start_tracker::{AnnouncementHeader, AnnouncementOutcome, StartTracker, is_ahead};
pub use token_bucket::TokenBucket;
pub use upstream_health::{ANNOUNCEMENT_TTL, Availability, Probe, Stage, UpstreamHealth};
