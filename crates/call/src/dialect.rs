use std::time::Duration;

use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use types::id;

/// Header by which an upstream marks a 503 as refused before any work was done.
const SHED_HEADER: &str = "shed";

/// One request on its way to an upstream, as far as the headers tell about it.
#[derive(Clone, Copy, Debug)]
pub struct Handover<'a> {
    /// Identity of the call.
    pub request: &'a id::Request,
    /// Owner on whose account the call runs.
    pub owner: &'a id::Owner,
    /// Start of the upstream that the request is meant for; empty when it announced none.
    pub instance: &'a str,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Key under which a non-repeatable call runs at most once.
    pub key: Option<&'a str>,
}

/// What the head of an answer says about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers the request.
    Answer,
    /// The upstream refused the request and has not run it.
    Refused {
        /// Why, for headers, accounts and log lines.
        reason: &'static str,
        /// Whether it refused because of its load.
        overloaded: bool,
    },
    /// Another upstream has the address; it has not run the request.
    Moved,
    /// It answers some other request, so nothing is known about this one.
    Foreign,
}

type Write = dyn Fn(Handover<'_>, &mut HeaderMap) + Send + Sync;
type Read = dyn Fn(Handover<'_>, StatusCode, &HeaderMap) -> Verdict + Send + Sync;

/// Headers that pass between a node and its upstream: what the upstream is told beside a request and
/// how its answers are read.
pub struct Dialect {
    /// Adds the headers that the node sets itself.
    pub write: Box<Write>,
    /// Reads the head of an answer.
    pub read: Box<Read>,
}

impl Default for Dialect {
    /// Headers of this project's own interface.
    fn default() -> Self {
        Self {
            write: Box::new(write),
            read: Box::new(read),
        }
    }
}

fn write(handover: Handover<'_>, headers: &mut HeaderMap) {
    let remaining = handover.remaining.as_millis().to_string();
    let texts = [
        ("dandelionseam-request-id", handover.request.as_str()),
        ("dandelionseam-owner", handover.owner.as_str()),
        ("dandelionseam-deadline-ms", &remaining),
        ("idempotency-key", handover.key.unwrap_or_default()),
    ];
    for (name, text) in texts {
        if let Ok(value) = HeaderValue::from_str(text)
            && !text.is_empty()
        {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

fn read(_: Handover<'_>, status: StatusCode, headers: &HeaderMap) -> Verdict {
    if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(SHED_HEADER) {
        Verdict::Refused {
            reason: "shed by the upstream",
            overloaded: true,
        }
    } else {
        Verdict::Answer
    }
}
