//! Headers between callers and the mesh.

use std::str::FromStr;

use call::{Answer, Failure};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rocket::{Request, Response};
use types::{Deadline, Version};

/// Identity of the call; drawn when the caller sends none.
pub const REQUEST_ID: &str = "dandelionseam-request-id";
/// Owner on whose account the call runs.
pub const OWNER: &str = "dandelionseam-owner";
/// Time that the caller leaves for the call, in milliseconds.
pub const DEADLINE: &str = "dandelionseam-deadline-ms";
/// Key under which a call runs at most once.
pub const KEY: &str = "idempotency-key";
const OUTCOME: &str = "dandelionseam-outcome";
const FAULT: &str = "dandelionseam-fault";
const VERSION: &str = "dandelionseam-version";
const REASON: &str = "dandelionseam-reason";

/// Headers that concern one connection only and are not passed on (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
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
const KEY_LIMIT: usize = 255;

/// Value of a header that a caller may send once.
///
/// # Errors
///
/// Returns a failure by fault of the caller when the header comes twice or its value is refused.
pub fn read<V>(request: &Request<'_>, name: &str) -> Result<Option<V>, Failure>
where
    V: FromStr,
{
    let mut values = request.headers().get(name);
    let Some(text) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(refuse(format!("header {name} comes twice")));
    }
    match text.trim().parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(refuse(format!("header {name} is not valid"))),
    }
}

/// Deadline that the caller set.
///
/// # Errors
///
/// Returns a failure by fault of the caller when the value is not a number of milliseconds.
pub fn read_deadline(request: &Request<'_>) -> Result<Option<Deadline>, Failure> {
    // A longer time would overflow the clock; the route's own limit is far below.
    const LONGEST_MS: u64 = 24 * 60 * 60 * 1000;
    let remaining = read::<u64>(request, DEADLINE)?;
    Ok(remaining.map(|ms| Deadline::after_ms(ms.min(LONGEST_MS))))
}

/// Idempotency key that the caller set.
///
/// # Errors
///
/// Returns a failure by fault of the caller when the key is empty, too long or not visible ASCII.
pub fn read_key(request: &Request<'_>) -> Result<Option<String>, Failure> {
    let key = read::<String>(request, KEY)?;
    let valid = |key: &String| {
        (1..=KEY_LIMIT).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match key {
        Some(key) if !valid(&key) => Err(refuse(format!("header {KEY} is not valid"))),
        key => Ok(key),
    }
}

/// Headers of the request that go on to the upstream.
#[must_use]
pub fn forward(request: &Request<'_>) -> HeaderMap {
    let named: Vec<String> = request
        .headers()
        .get("connection")
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::new();
    for header in request.headers().iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if CONNECTION_HEADERS.contains(&name.as_str()) || named.contains(&name) {
            continue;
        }
        // Both were valid when the HTTP server read them.
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_str(header.value()),
        ) {
            headers.append(name, value);
        }
    }
    headers
}

/// Puts the upstream's headers and those of the mesh on the response.
pub fn apply(answer: &Answer, response: &mut Response<'_>) {
    for (name, value) in &answer.headers {
        // The HTTP library takes header values as text only.
        let Ok(text) = std::str::from_utf8(value.as_bytes()) else {
            log::warn!(request:% = answer.request, header:% = name; "header is not UTF-8, left out");
            continue;
        };
        if !CONNECTION_HEADERS.contains(&name.as_str()) {
            response.adjoin_raw_header(name.to_string(), text.to_owned());
        }
    }
    response.set_raw_header(REQUEST_ID, answer.request.to_string());
    response.set_raw_header(OUTCOME, answer.outcome.to_string());
    response.set_raw_header(FAULT, answer.fault.to_string());
    response.set_raw_header(VERSION, answer.version.to_string());
    response.set_raw_header(REASON, answer.reason.clone());
}

/// HTTP answer to a request that came too late for a handler during a stop.
#[must_use]
pub fn refusal(version: Version) -> String {
    let id = format!("{:032x}", rand::random::<u128>());
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\
         {REQUEST_ID}: {id}\r\n{OUTCOME}: not-run\r\n{FAULT}: mesh\r\n\
         {VERSION}: {version}\r\n{REASON}: draining\r\n\r\n"
    )
}

fn refuse(reason: String) -> Failure {
    Failure::caller(StatusCode::BAD_REQUEST, reason)
}
