use std::time::Duration;

use http::StatusCode;
use route::Load;
use thiserror::Error;
use types::{Fault, Outcome, id};

/// Failure of a call that got no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason} ({outcome}, fault {fault})")]
pub struct Failure {
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Party at fault.
    pub fault: Fault,
    /// Why the call failed.
    pub reason: String,
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Load that the target reported, if any.
    pub load: Option<Load>,
    /// Whether the request reached the upstream, in which case another attempt counts as a retry.
    pub reached_upstream: bool,
    /// Time after which the caller should send the request again; `None` for the default of the front end.
    pub retry_after: Option<Duration>,
}

/// Error of an answer that was interrupted after its head. The upstream may have run the call.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("answer broke off: {reason} (fault {fault})")]
pub struct BodyError {
    /// Party at fault.
    pub fault: Fault,
    /// Why the answer was interrupted.
    pub reason: String,
}

impl Failure {
    /// Creates the failure of a call that was not run and that the caller must change before it
    /// sends it again.
    pub fn caller<R>(status: StatusCode, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self::new(Outcome::NotRun, Fault::Caller, status, reason)
    }

    /// Creates the failure of a call that was not run because of the mesh.
    pub fn mesh<R>(reason: R) -> Self
    where
        R: Into<String>,
    {
        Self::new(
            Outcome::NotRun,
            Fault::Mesh,
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
        )
    }

    /// Creates the failure of a call that was not run because of the service.
    pub fn service<R>(service: &id::Service, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self::new(
            Outcome::NotRun,
            Fault::Service(service.clone()),
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
        )
    }

    /// Creates the failure of a call that may have run.
    pub fn unknown<R>(fault: Fault, status: StatusCode, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self::new(Outcome::Unknown, fault, status, reason)
    }

    fn new<R>(outcome: Outcome, fault: Fault, status: StatusCode, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self {
            outcome,
            fault,
            reason: reason.into(),
            status,
            load: None,
            reached_upstream: outcome != Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Marks that the upstream received the request and refused it.
    #[must_use]
    pub const fn with_reached_upstream(mut self) -> Self {
        self.reached_upstream = true;
        self
    }

    /// Sets the time after which the caller should send the request again.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Adds the load of the target.
    #[must_use]
    pub fn with_load(mut self, load: Load) -> Self {
        self.load = Some(load);
        self
    }
}
