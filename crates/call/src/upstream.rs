use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use reqwest::{Body, Client, Response, Url, redirect, retry};
use route::Probe;
use tokio::time::{Instant, timeout_at};
use types::{Deadline, size};

use crate::exchange::HOP_MARGIN;
use crate::job::Job;
use crate::payload::Payload;

/// Longest time to connect to an upstream, which is on the same instance or beside it.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time after which an unused connection to the upstream is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Header by which an upstream marks a 503 as refused before any work was done.
const SHED_HEADER: &str = "shed";

/// Headers that concern one connection only, or that are written anew.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// HTTP client of one upstream.
pub(crate) struct Upstream {
    address: SocketAddr,
    /// Connections that are kept when unused.
    idle: AtomicUsize,
    /// Client for calls that may be repeated; it keeps connections.
    pooled: ArcSwap<Client>,
    /// Client for calls that must not be repeated and for probes: each one has a new connection.
    single: Client,
}

/// Reason why no answer of an upstream came.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request is not valid HTTP; nothing was sent.
    Invalid(String),
    /// No connection was made; nothing was sent.
    Refused(String),
    /// The deadline passed after hand-over.
    Late,
    /// The upstream broke off after hand-over.
    Broken(String),
}

impl Upstream {
    /// Creates a client that opens at most `connections`, of which `slots` may be in use and one is
    /// left for probes.
    pub(crate) fn new(
        address: SocketAddr,
        slots: size::Slots,
        connections: size::Connections,
    ) -> Result<Self, reqwest::Error> {
        let idle = idle(slots, connections);
        Ok(Self {
            address,
            idle: AtomicUsize::new(idle),
            pooled: ArcSwap::from_pointee(client(idle)?),
            single: client(0)?,
        })
    }

    /// Slots that the connections allow; each call needs one, and one is left for probes.
    pub(crate) fn usable_slots(slots: size::Slots, connections: size::Connections) -> size::Slots {
        let allowed = connections.get().saturating_sub(1).max(1);
        size::Slots::new(slots.get().min(allowed))
    }

    /// Sends a call once and waits for the head of the answer.
    pub(crate) async fn send(&self, job: &Job, payload: &Payload) -> Result<Response, SendError> {
        let url = Url::parse(&format!("http://{}{}", self.address, job.target))
            .map_err(|error| SendError::Invalid(error.to_string()))?;
        let client = if job.repeatable {
            self.pooled.load_full()
        } else {
            Arc::new(self.single.clone())
        };
        let request = client
            .request(job.method.clone(), url)
            .headers(request_headers(job, payload, Instant::now()));
        let request = match body(payload) {
            Some(body) => request.body(body),
            None => request,
        };
        match timeout_at(job.deadline.instant(), request.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(SendError::Refused(cause(&error))),
            Ok(Err(error)) if error.is_builder() => Err(SendError::Invalid(cause(&error))),
            Ok(Err(error)) => Err(SendError::Broken(cause(&error))),
            Err(_) => Err(SendError::Late),
        }
    }

    /// Follows a change of the declared sizes.
    pub(crate) fn resize(&self, slots: size::Slots, connections: size::Connections) {
        let idle = idle(slots, connections);
        if self.idle.swap(idle, Ordering::Relaxed) != idle {
            self.drop_idle();
        }
    }

    /// Drops the idle connections, which may have gone silent.
    pub(crate) fn drop_idle(&self) {
        if let Ok(client) = client(self.idle.load(Ordering::Relaxed)) {
            self.pooled.store(Arc::new(client));
        }
    }

    /// Asks the health endpoint over a new connection.
    pub(crate) async fn probe(&self, path: &str, deadline: Deadline) -> Probe {
        let url = format!("http://{}{path}", self.address);
        match timeout_at(deadline.instant(), self.single.get(url).send()).await {
            Ok(Ok(response)) if response.status().is_success() => Probe::Healthy,
            Ok(Err(error)) if error.is_connect() => Probe::Refused,
            Ok(_) | Err(_) => Probe::Unhealthy,
        }
    }
}

/// Connections to keep when unused, so that those in use, those kept and one for probes stay within
/// the declared number.
fn idle(slots: size::Slots, connections: size::Connections) -> usize {
    let spare = connections
        .get()
        .saturating_sub(slots.get().saturating_add(1));
    spare.min(slots.get()) as usize
}

fn client(idle: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .referer(false)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(CONNECT_LIMIT)
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(IDLE_LIMIT)
        .build()
}

/// Body of a request; `None` when it is empty.
fn body(payload: &Payload) -> Option<Body> {
    match payload.whole() {
        Some([]) => None,
        Some([part]) => Some(Body::from(part.clone())),
        Some(_) | None => Some(Body::wrap_stream(payload.stream())),
    }
}

fn request_headers(job: &Job, payload: &Payload, now: Instant) -> HeaderMap {
    let mut headers = without_hop_headers(job.headers.clone());
    if let Some(parts) = payload.whole() {
        headers.remove(header::CONTENT_LENGTH);
        if parts.len() > 1 {
            let length: usize = parts.iter().map(bytes::Bytes::len).sum();
            headers.insert(header::CONTENT_LENGTH, length.into());
        }
    }
    let remaining = job.deadline.remaining(now).saturating_sub(HOP_MARGIN);
    let texts = [
        ("dandelionseam-request-id", job.request.to_string()),
        ("dandelionseam-owner", job.owner.to_string()),
        (
            "dandelionseam-deadline-ms",
            remaining.as_millis().to_string(),
        ),
        ("idempotency-key", job.key.clone().unwrap_or_default()),
    ];
    for (name, text) in texts {
        if let Ok(value) = HeaderValue::from_str(&text)
            && !text.is_empty()
        {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    headers
}

/// Removes the headers that concern one connection, those named by `connection` included.
pub(crate) fn without_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

/// Whether the upstream refused the call itself, before any work was done.
pub(crate) fn is_shed(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(SHED_HEADER)
}

/// Whether the end of the answer can be told from a cut: it has a length, is chunked, or has no body.
pub(crate) fn has_end(response: &Response, method: &Method) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    *method == Method::HEAD
        || bodiless.contains(&response.status())
        || response.headers().contains_key(header::CONTENT_LENGTH)
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Text of the innermost cause of an error, which names the reason.
pub(crate) fn cause(error: &reqwest::Error) -> String {
    let mut cause = error.source();
    let mut text = error.to_string();
    while let Some(inner) = cause {
        text = inner.to_string();
        cause = inner.source();
    }
    text
}
