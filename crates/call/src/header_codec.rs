use std::time::Duration;

use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use types::id;
use types::rate::PerSecond;

/// Header with which an upstream marks a 503 as refused before it did any work.
const SHED_HEADER: &str = "shed";

/// Header with the number of requests a second that an upstream takes from all nodes together.
const RATE_LIMIT_HEADER: &str = "rate-limit";

/// Header with the value 1 in the answers of an upstream that is about to leave.
const LEAVING_HEADER: &str = "leaving";

/// Values of a call that may be sent to the upstream as headers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// Id of the call.
    pub request: &'a id::Request,
    /// Owner on whose account the call runs.
    pub owner: &'a id::Owner,
    /// Identity of the upstream process that the request is meant for; empty when it announced
    /// none.
    pub instance: &'a str,
    /// Remaining time for the answer.
    pub remaining: Duration,
    /// Idempotency key, under which a non-repeatable call runs at most once.
    pub key: Option<&'a str>,
}

/// Meaning of the head of an upstream's answer for the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is the answer to the request.
    Valid,
    /// The upstream refused the request without running it.
    Refused {
        /// Reason for headers, accounts and log lines.
        reason: &'static str,
        /// Whether it refused because of its load.
        overloaded: bool,
    },
    /// Another upstream process now has the address; it did not run the request.
    WrongInstance,
    /// It answers a different request, so it is not known whether this one ran.
    WrongRequest,
}

/// What an upstream tells about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Requests that it takes from all nodes together; `None` without a limit.
    pub rate_limit: Option<PerSecond>,
    /// Whether it is about to leave and takes no further calls.
    pub is_leaving: bool,
}

type Encode = dyn Fn(RequestContext<'_>, &mut HeaderMap) + Send + Sync;
type Decode = dyn Fn(RequestContext<'_>, StatusCode, &HeaderMap) -> AnswerKind + Send + Sync;
type IsInstance = dyn Fn(&str, &HeaderMap) -> bool + Send + Sync;
type ReadNotice = dyn Fn(&HeaderMap) -> Notice + Send + Sync;

/// Headers exchanged between a node and its upstream: those added to requests and those that
/// classify an answer.
pub struct HeaderCodec {
    /// Adds the node's headers to a request.
    pub encode: Box<Encode>,
    /// Classifies an answer by its head.
    pub decode: Box<Decode>,
    /// Whether the head of an answer of the health endpoint comes from an upstream process with this
    /// identity.
    pub is_instance: Box<IsInstance>,
    /// Reads the notice in an answer or a refusal of the upstream.
    pub read_notice: Box<ReadNotice>,
}

impl Default for HeaderCodec {
    /// Creates the codec for the `dandelionseam-*` headers.
    fn default() -> Self {
        Self {
            encode: Box::new(encode),
            decode: Box::new(decode),
            // The health endpoint does not tell the identity.
            is_instance: Box::new(|_, _| true),
            read_notice: Box::new(read_notice),
        }
    }
}

fn encode(context: RequestContext<'_>, headers: &mut HeaderMap) {
    let remaining = context.remaining.as_millis().to_string();
    let texts = [
        ("dandelionseam-request-id", context.request.as_str()),
        ("dandelionseam-owner", context.owner.as_str()),
        ("dandelionseam-deadline-ms", &remaining),
        ("idempotency-key", context.key.unwrap_or_default()),
    ];
    for (name, text) in texts {
        if let Ok(value) = HeaderValue::from_str(text)
            && !text.is_empty()
        {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

fn decode(_: RequestContext<'_>, status: StatusCode, headers: &HeaderMap) -> AnswerKind {
    if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(SHED_HEADER) {
        AnswerKind::Refused {
            reason: "shed by the upstream",
            overloaded: true,
        }
    } else {
        AnswerKind::Valid
    }
}

fn read_notice(headers: &HeaderMap) -> Notice {
    Notice {
        rate_limit: parse_rate_limit(headers.get(RATE_LIMIT_HEADER)),
        is_leaving: headers
            .get(LEAVING_HEADER)
            .is_some_and(|value| value == "1"),
    }
}

/// Parses a rate in requests a second; `None` if it is missing or not a number.
#[must_use]
pub fn parse_rate_limit(value: Option<&HeaderValue>) -> Option<PerSecond> {
    value?.to_str().ok()?.trim().parse().ok()
}
