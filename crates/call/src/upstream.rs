use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use route::Probe;
use tokio::time::{Instant, timeout, timeout_at};
use types::{Deadline, size};

use crate::connection::{self, Body, Connection};
use crate::header_codec::{AnswerKind, HeaderCodec, Notice, RequestContext};
use crate::headers::remove_hop_headers;
use crate::payload::Payload;
use crate::peer::HOP_MARGIN;
use crate::routed_call::RoutedCall;

/// Timeout for connecting to an upstream, which is on the same instance or next to it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of a refusal that is read so that its connection can be reused.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;

/// Longest time for reading the body of a refusal. An upstream may send one without end, and the
/// refusal is known from its head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// HTTP client of one upstream.
pub(crate) struct Upstream {
    address: SocketAddr,
    /// Identity of the upstream process that requests are meant for; empty when it announced none.
    instance: String,
    header_codec: Arc<HeaderCodec>,
    idle: Mutex<Vec<Connection>>,
    /// Largest number of idle connections.
    idle_limit: AtomicUsize,
}

/// Answer whose head has arrived. Its connection carries nothing else until the body has ended.
pub(crate) struct Exchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) notice: Notice,
}

/// Reason why an upstream returned no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request is not valid HTTP; nothing was sent.
    InvalidRequest(String),
    /// No connection could be used; nothing was sent.
    NotConnected(String),
    /// The upstream refused the request without running it.
    Rejected {
        reason: &'static str,
        overloaded: bool,
        notice: Notice,
    },
    /// Another upstream process now has the address; it did not run the request.
    WrongInstance,
    /// The deadline passed while the request may have been running.
    DeadlinePassed,
    /// The connection failed after the request was written, at least in part.
    Interrupted(String),
}

impl Upstream {
    /// Creates a client that opens at most `connections`, of which up to `slots` carry calls and
    /// one is reserved for probes.
    pub(crate) fn new(
        address: SocketAddr,
        instance: String,
        header_codec: Arc<HeaderCodec>,
        slots: size::Slots,
        connections: size::Connections,
    ) -> Self {
        Self {
            address,
            instance,
            header_codec,
            idle: Mutex::default(),
            idle_limit: AtomicUsize::new(idle_limit(slots, connections)),
        }
    }

    /// Number of slots that the connections allow: each call needs a connection, and one is
    /// reserved for probes.
    pub(crate) fn usable_slots(slots: size::Slots, connections: size::Connections) -> size::Slots {
        let allowed = connections.get().saturating_sub(1).max(1);
        size::Slots::new(slots.get().min(allowed))
    }

    /// Sends a call once and waits for the head of the answer.
    ///
    /// A call that must not be repeated is sent over a new connection: an idle one may be closing,
    /// or may hold a late answer to an earlier request.
    pub(crate) async fn send(
        &self,
        call: &RoutedCall,
        payload: &Payload,
    ) -> Result<Exchange, SendError> {
        let sending = async {
            let mut reused = call.repeatable.then(|| self.take_idle()).flatten();
            loop {
                let request = self.build_request(call, payload)?;
                let (mut connection, is_reused) = match reused.take() {
                    Some(connection) => (connection, true),
                    None => (self.connect().await?, false),
                };
                match connection.send(request).await {
                    Ok(response) => return self.classify(call, response, connection).await,
                    // Nothing was written, so sending over a new connection does not repeat the
                    // call.
                    Err(connection::SendError::Unsent) if is_reused => {}
                    Err(connection::SendError::Unsent) => {
                        let reason = "connection closed before the request was written";
                        return Err(SendError::NotConnected(reason.to_owned()));
                    }
                    Err(connection::SendError::Interrupted(error)) => {
                        return Err(SendError::Interrupted(error.to_string()));
                    }
                }
            }
        };
        timeout_at(call.deadline.instant(), sending)
            .await
            .unwrap_or(Err(SendError::DeadlinePassed))
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let limit = Deadline::after(CONNECT_TIMEOUT);
        match timeout_at(limit.instant(), Connection::open(self.address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(SendError::NotConnected(error.to_string())),
            Err(_) => Err(SendError::NotConnected(
                "connect deadline passed".to_owned(),
            )),
        }
    }

    /// Classifies the answer by its head.
    async fn classify(
        &self,
        call: &RoutedCall,
        response: Response<Incoming>,
        mut connection: Connection,
    ) -> Result<Exchange, SendError> {
        let status = response.status();
        // HTTP has no others; 101 answers a request for another protocol, which no node makes.
        if !(200..600).contains(&status.as_u16()) {
            return Err(SendError::Interrupted(format!(
                "answer with status {}",
                status.as_u16()
            )));
        }
        let context = self.request_context(call);
        connection.update_idle_limit(response.headers());
        let notice = (self.header_codec.read_notice)(response.headers());
        match (self.header_codec.decode)(context, status, response.headers()) {
            AnswerKind::Valid => Ok(Exchange {
                response,
                connection,
                notice,
            }),
            AnswerKind::Refused { reason, overloaded } => {
                let body = Limited::new(response.into_body(), MAX_REFUSAL_BODY_BYTES);
                if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body.collect()).await {
                    self.release(connection).await;
                }
                Err(SendError::Rejected {
                    reason,
                    overloaded,
                    notice,
                })
            }
            AnswerKind::WrongInstance => Err(SendError::WrongInstance),
            AnswerKind::WrongRequest => Err(SendError::Interrupted(
                "answer to another request".to_owned(),
            )),
        }
    }

    /// Returns a connection to the idle ones once its answer has ended.
    pub(crate) async fn release(&self, mut connection: Connection) {
        if connection.wait_ready().await {
            let mut idle = self.lock();
            if idle.len() < self.idle_limit.load(Ordering::Relaxed) {
                idle.push(connection);
            }
        }
    }

    /// Applies a change of the announced slots and connections.
    pub(crate) fn resize(&self, slots: size::Slots, connections: size::Connections) {
        let limit = idle_limit(slots, connections);
        self.idle_limit.store(limit, Ordering::Relaxed);
        self.lock().truncate(limit);
    }

    /// Closes the idle connections, which may have become unresponsive.
    pub(crate) fn drop_idle(&self) {
        self.lock().clear();
    }

    /// Probes the health endpoint over a new connection. An answer of another process is unhealthy.
    pub(crate) async fn probe(&self, path: &str, deadline: Deadline) -> Probe {
        let probing = async {
            let Ok(mut connection) = self.connect().await else {
                return Probe::Refused;
            };
            let request = Request::get(path).header(header::HOST, self.address.to_string());
            let Ok(request) = request.body(connection::empty()) else {
                return Probe::Unhealthy;
            };
            match connection.send(request).await {
                Ok(response)
                    if response.status().is_success()
                        && (self.header_codec.is_instance)(&self.instance, response.headers()) =>
                {
                    Probe::Healthy
                }
                Ok(_) | Err(_) => Probe::Unhealthy,
            }
        };
        timeout_at(deadline.instant(), probing)
            .await
            .unwrap_or(Probe::Unhealthy)
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|connection| connection.is_usable(now));
        idle.pop()
    }

    fn build_request(
        &self,
        call: &RoutedCall,
        payload: &Payload,
    ) -> Result<Request<Body>, SendError> {
        let uri: Uri = call
            .target
            .parse()
            .map_err(|error: http::uri::InvalidUri| SendError::InvalidRequest(error.to_string()))?;
        let mut request = Request::new(request_body(payload));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.build_headers(call, payload);
        Ok(request)
    }

    fn build_headers(&self, call: &RoutedCall, payload: &Payload) -> HeaderMap {
        let mut headers = remove_hop_headers(call.headers.clone());
        if let Some(chunks) = payload.buffered() {
            let length: usize = chunks.iter().map(Bytes::len).sum();
            if length > 0 || headers.contains_key(header::CONTENT_LENGTH) {
                headers.insert(header::CONTENT_LENGTH, length.into());
            }
        } else if !headers.contains_key(header::CONTENT_LENGTH) {
            // Without a framing header, hyper sends no body with some methods, such as GET.
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(header::TRANSFER_ENCODING, chunked);
        }
        if !headers.contains_key(header::HOST)
            && let Ok(host) = HeaderValue::from_str(&self.address.to_string())
        {
            headers.insert(header::HOST, host);
        }
        (self.header_codec.encode)(self.request_context(call), &mut headers);
        headers
    }

    fn request_context<'a>(&'a self, call: &'a RoutedCall) -> RequestContext<'a> {
        let remaining = call.deadline.remaining(Instant::now());
        RequestContext {
            request: &call.request,
            owner: &call.owner,
            instance: &self.instance,
            remaining: remaining.saturating_sub(HOP_MARGIN),
            key: call.key.as_deref(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Largest number of idle connections with which those in use, the idle ones and one for probes
/// stay within the announced number.
fn idle_limit(slots: size::Slots, connections: size::Connections) -> usize {
    let spare = connections
        .get()
        .saturating_sub(slots.get().saturating_add(1));
    spare.min(slots.get()) as usize
}

fn request_body(payload: &Payload) -> Body {
    match payload.buffered() {
        Some([]) => connection::empty(),
        Some(_) | None => connection::stream(payload.stream()),
    }
}
