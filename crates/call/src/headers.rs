use http::HeaderMap;
use http::header::{self, HeaderName};

/// Headers that apply to one connection only or that the node sets itself. An `expect` is not
/// forwarded because the node has satisfied it by reading the body.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Length of a body in bytes as its headers state it; `None` when it is absent or not a number.
#[must_use]
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Removes the headers that apply to one connection only, including those named by `connection`. A
/// `host` is kept in any case, since it selects the route.
#[must_use]
pub fn remove_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST)
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}
