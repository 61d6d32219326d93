//! HTTP headers that the node exchanges with callers.

use std::str::FromStr;

use call::{Answer, Failure};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rocket::{Request, Response};
use types::{Deadline, Version};

/// Request id; the node creates one when the caller sends none.
pub const REQUEST_ID: &str = "dandelionseam-request-id";
/// Owner whose account the call is counted in.
pub const OWNER: &str = "dandelionseam-owner";
/// Time until the deadline of the call, in milliseconds.
pub const DEADLINE_MS: &str = "dandelionseam-deadline-ms";
/// Calls with the same idempotency key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
const OUTCOME: &str = "dandelionseam-outcome";
const FAULT: &str = "dandelionseam-fault";
const VERSION: &str = "dandelionseam-version";
const REASON: &str = "dandelionseam-reason";

/// Hop-by-hop headers, which apply to one connection only and are not forwarded (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// Parses the value of a header that may occur at most once.
///
/// # Errors
///
/// Returns a failure with the caller at fault when the header occurs twice or its value is not
/// valid.
pub fn parse_header<V>(request: &Request<'_>, name: &str) -> Result<Option<V>, Failure>
where
    V: FromStr,
{
    let mut values = request.headers().get(name);
    let Some(text) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(reject(format!("header {name} comes twice")));
    }
    match text.trim().parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(reject(format!("header {name} is not valid"))),
    }
}

/// Reads the deadline that the caller set.
///
/// # Errors
///
/// Returns a failure with the caller at fault when the value is not a number of milliseconds.
pub fn read_deadline(request: &Request<'_>) -> Result<Option<Deadline>, Failure> {
    // A much longer time would overflow the clock; the limit of the route is far shorter.
    const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
    let remaining = parse_header::<u64>(request, DEADLINE_MS)?;
    Ok(remaining.map(|ms| Deadline::after_ms(ms.min(MAX_DEADLINE_MS))))
}

/// Reads the idempotency key that the caller set.
///
/// # Errors
///
/// Returns a failure with the caller at fault when the key is empty, too long or contains anything
/// but visible ASCII characters.
pub fn read_idempotency_key(request: &Request<'_>) -> Result<Option<String>, Failure> {
    let key = parse_header::<String>(request, IDEMPOTENCY_KEY)?;
    let valid = |key: &String| {
        (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&key.len())
            && key.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match key {
        Some(key) if !valid(&key) => Err(reject(format!("header {IDEMPOTENCY_KEY} is not valid"))),
        key => Ok(key),
    }
}

/// Collects the headers of the request that are forwarded to the upstream.
#[must_use]
pub fn collect_forwarded(request: &Request<'_>) -> HeaderMap {
    let connection_options: Vec<String> = request
        .headers()
        .get("connection")
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::new();
    for header in request.headers().iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if HOP_BY_HOP_HEADERS.contains(&name.as_str()) || connection_options.contains(&name) {
            continue;
        }
        // The HTTP server has already validated both, so no header is lost here.
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_str(header.value()),
        ) {
            headers.append(name, value);
        }
    }
    headers
}

/// Adds the headers of the upstream and those of the mesh to the response.
pub fn apply_answer(answer: &Answer, response: &mut Response<'_>) {
    for (name, value) in &answer.headers {
        // The HTTP library accepts header values as text only.
        let Ok(text) = std::str::from_utf8(value.as_bytes()) else {
            log::warn!(
                request:% = answer.request, header:% = name;
                "header is not UTF-8, left out"
            );
            continue;
        };
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            response.adjoin_raw_header(name.to_string(), text.to_owned());
        }
    }
    response.set_raw_header(REQUEST_ID, answer.request.to_string());
    response.set_raw_header(OUTCOME, answer.outcome.to_string());
    response.set_raw_header(FAULT, answer.fault.to_string());
    response.set_raw_header(VERSION, answer.version.to_string());
    response.set_raw_header(REASON, answer.reason.clone());
}

/// Formats the HTTP answer to a request that arrives during a shutdown after the HTTP server has
/// stopped accepting requests.
#[must_use]
pub fn format_refusal(version: Version) -> String {
    let id = format!("{:032x}", rand::random::<u128>());
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\
         {REQUEST_ID}: {id}\r\n{OUTCOME}: not-run\r\n{FAULT}: mesh\r\n\
         {VERSION}: {version}\r\n{REASON}: draining\r\n\r\n"
    )
}

fn reject(reason: String) -> Failure {
    Failure::caller(StatusCode::BAD_REQUEST, reason)
}
