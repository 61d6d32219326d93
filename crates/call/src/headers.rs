use http::{HeaderMap, header};

/// Length of a body in bytes as its headers state it; `None` when it is absent or not a number.
#[must_use]
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
