use std::time::Duration;

use http::{HeaderMap, StatusCode};
use types::{Fault, Outcome, Version, id};

use crate::Body;

/// Answer to a call, from the upstream or, if the call failed, from the mesh.
///
/// Dropping it, or its body, cancels the call.
pub struct Answer {
    /// Id of the call.
    pub request: id::Request,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the upstream, including `content-length`. A front end that forwards them lets the
    /// caller detect a truncated body.
    pub headers: HeaderMap,
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Party at fault.
    pub fault: Fault,
    /// Why the call failed, or how it was answered, in printable ASCII.
    pub reason: String,
    /// Configuration version that the whole call used.
    pub version: Version,
    /// Time from sending the request to the upstream until the head of its answer; `None` when no
    /// upstream answered this call. The rest of the time until the head was added by the mesh.
    pub upstream_time: Option<Duration>,
    /// Time after which the caller should send the request again; `None` for the default of the front end.
    pub retry_after: Option<Duration>,
    /// Body. An error means that the answer is incomplete: the front end must then abort the
    /// connection to the caller, since a normal end would make the answer look complete.
    pub body: Body,
}
