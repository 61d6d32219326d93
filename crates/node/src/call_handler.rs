use std::sync::Arc;

use call::{Answer, Failure, Request};
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderMap, StatusCode};
use rocket::form::Form;
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome};
use rocket::{Build, Catcher, Data, Response, Rocket, Route, catcher};
use tokio::time::Instant;
use types::{Fault, Version, id, size};

use crate::limiter::Limiter;
use crate::request_body::{self, Forwarder};
use crate::response_body::{ActiveCall, ResponseBody};
use crate::{Metrics, Relay, build_base_server, headers};

/// Largest chunk of an answer that is passed to the HTTP server at once, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Longest method override in a form that the HTTP library looks for, `_method=delete`, in bytes.
const METHOD_OVERRIDE_BYTES: usize = 14;

const METHODS: [Method; 9] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

/// Executes the calls of the caller port.
pub struct Dispatcher {
    /// Runs a call.
    pub call: Box<dyn Fn(Request) -> BoxFuture<'static, Answer> + Send + Sync>,
    /// Returns the configuration version held, for requests that are refused before a call starts.
    pub version: Box<dyn Fn() -> Version + Send + Sync>,
}

/// Limits of the caller port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body.
    pub body: size::Bytes,
    /// Largest number of concurrent calls.
    pub in_flight: usize,
}

/// Handles the requests of the caller port, for any method and any path.
#[derive(Clone)]
pub struct CallHandler {
    dispatcher: Arc<Dispatcher>,
    relay: Arc<Relay>,
    metrics: Arc<Metrics>,
    limits: Limits,
    limiter: Arc<Limiter>,
}

impl CallHandler {
    /// Creates a handler for connections that arrive through `relay`.
    #[must_use]
    pub fn new(
        dispatcher: Dispatcher,
        relay: Arc<Relay>,
        metrics: Arc<Metrics>,
        limits: Limits,
    ) -> Self {
        Self {
            dispatcher: Arc::new(dispatcher),
            relay,
            metrics,
            limits,
            limiter: Arc::new(Limiter::new(limits.in_flight)),
        }
    }

    /// Builds the HTTP server of the caller port.
    #[must_use]
    pub fn build_server(&self) -> Rocket<Build> {
        let routes: Vec<Route> = METHODS
            .into_iter()
            .map(|method| Route::new(method, "/<path..>", self.clone()))
            .collect();
        build_base_server()
            .mount("/", routes)
            .register("/", [Catcher::new(None, catch_refused)])
    }

    /// Number of calls in flight; a call counts until its answer is delivered.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.limiter.in_flight()
    }

    /// Waits until no call is in flight.
    pub async fn wait_idle(&self) {
        self.limiter.wait_idle().await;
    }

    /// Handles a request from its head to the start of its answer.
    async fn serve<'r>(
        &self,
        request: &'r rocket::Request<'_>,
        mut data: Data<'r>,
    ) -> Response<'r> {
        let started_at = Instant::now();
        let id = read_request_id(request);
        let Some(connection) = request
            .remote()
            .and_then(|peer| self.relay.find_connection(peer))
        else {
            let failure = Failure::caller(StatusCode::FORBIDDEN, "not a connection of the port");
            return self.refuse(id, failure);
        };
        let Some(permit) = self.limiter.try_acquire() else {
            return self.refuse(id, Failure::mesh("too many calls at this node"));
        };
        let method = read_sent_method(request, &mut data).await;
        let (forwarder, body) = request_body::channel();
        let mut call = match self.parse_request(request, id.clone(), method) {
            Ok(call) => call,
            Err(failure) => return self.refuse(id, failure),
        };
        call.body = body;
        let active = ActiveCall {
            connection,
            metrics: Arc::clone(&self.metrics),
            _permit: permit,
            started_at,
            result: (types::Outcome::Unknown, Fault::Caller),
        };
        self.run(request.method(), call, active, (forwarder, data))
            .await
    }

    /// Runs the call while its request body is forwarded, until the answer starts or the caller
    /// disconnects.
    async fn run<'r>(
        &self,
        method: Method,
        call: Request,
        mut active: ActiveCall,
        (forwarder, data): (Forwarder, Data<'r>),
    ) -> Response<'r> {
        let connection = Arc::clone(&active.connection);
        let mut forwarding = Some(forwarder.run(data, self.limits.body).boxed());
        let mut running = (self.dispatcher.call)(call);
        let answer = loop {
            tokio::select! {
                answer = &mut running => break answer,
                () = drive_forwarding(&mut forwarding) => {}
                () = connection.wait_closed() => return Response::new(),
            }
        };
        active.record_answer(&answer);
        let length = call::content_length(&answer.headers);
        build_response(method, answer, |body| {
            ResponseBody::new(body, length, forwarding, active)
        })
        .await
    }

    /// Reads the call from the head of the request.
    fn parse_request(
        &self,
        request: &rocket::Request<'_>,
        id: id::Request,
        method: http::Method,
    ) -> Result<Request, Failure> {
        if let Some(length) = headers::parse_header::<u64>(request, "content-length")?
            && length > self.limits.body.get()
        {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Failure::caller(status, "request body is over the limit"));
        }
        let uri = request.uri();
        let target = match uri.query() {
            Some(query) => format!("{}?{query}", uri.path()),
            None => uri.path().to_string(),
        };
        let mut call = Request::new(id, method, target);
        if let Some(host) = request.host() {
            call.host = host.domain().to_string();
        }
        call.owner = headers::parse_header(request, headers::OWNER)?;
        call.deadline = headers::read_deadline(request)?;
        call.idempotency_key = headers::read_idempotency_key(request)?;
        call.headers = headers::collect_forwarded(request);
        Ok(call)
    }

    /// Refuses a request before a call starts.
    fn refuse(&self, id: id::Request, failure: Failure) -> Response<'static> {
        self.metrics.count_call(failure.outcome, &failure.fault);
        let version = (self.dispatcher.version)();
        build_refusal(id, failure, version)
    }
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r rocket::Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.serve(request, data).await)
    }
}

/// Answers requests that the HTTP library refuses itself, such as those with an unknown method.
fn catch_refused<'r>(
    status: Status,
    request: &'r rocket::Request<'_>,
) -> BoxFuture<'r, catcher::Result<'r>> {
    let code = StatusCode::from_u16(status.code).unwrap_or(StatusCode::BAD_REQUEST);
    let failure = Failure::caller(code, "not a valid request");
    let response = build_refusal(read_request_id(request), failure, Version::NONE);
    futures::future::ready(Ok(response)).boxed()
}

/// Reads the method that the caller sent.
///
/// The HTTP library replaces `POST` with the value of the first field of a form when that field is
/// named `_method`, but the upstream must receive the request unchanged.
async fn read_sent_method(request: &rocket::Request<'_>, data: &mut Data<'_>) -> http::Method {
    let method = request.method();
    let is_form = request.content_type().is_some_and(|kind| kind.is_form());
    let replaced =
        is_form && parse_form_method(data.peek(METHOD_OVERRIDE_BYTES).await) == Some(method);
    let name = if replaced { "POST" } else { method.as_str() };
    http::Method::from_bytes(name.as_bytes()).unwrap_or(http::Method::POST)
}

/// Parses the method override in the first field of a form in the same way as the HTTP library.
fn parse_form_method(start: &[u8]) -> Option<Method> {
    let text = std::str::from_utf8(start).ok()?;
    let field = Form::values(text).next()?;
    (field.name == "_method").then(|| field.value.parse().ok())?
}

/// Reads the request id that the caller sent, or creates one.
fn read_request_id(request: &rocket::Request<'_>) -> id::Request {
    let sent = request.headers().get_one(headers::REQUEST_ID);
    sent.and_then(|text| text.parse().ok())
        .unwrap_or_else(call::new_request_id)
}

/// Drives the forwarding of a request body; pending forever once that is done.
async fn drive_forwarding(forwarding: &mut Option<BoxFuture<'_, ()>>) {
    match forwarding {
        Some(future) => {
            future.await;
            *forwarding = None;
        }
        None => std::future::pending().await,
    }
}

async fn build_response<'r, F>(method: Method, mut answer: Answer, wrap_body: F) -> Response<'r>
where
    F: FnOnce(call::Body) -> ResponseBody<'r>,
{
    let mut response = Response::new();
    response.set_status(Status::new(answer.status.as_u16()));
    headers::apply_answer(&answer, &mut response);
    let body = std::mem::replace(
        &mut answer.body,
        call::Body::from_bytes(bytes::Bytes::new()),
    );
    let body = wrap_body(body);
    let status = answer.status;
    if method == Method::Head
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
    {
        // The HTTP library drops these bodies unread, which the call path would take for a
        // disconnected caller.
        body.discard().await;
    } else {
        response.set_streamed_body(body);
        response.set_max_chunk_size(CHUNK_BYTES);
    }
    response
}

fn build_refusal(id: id::Request, failure: Failure, version: Version) -> Response<'static> {
    let text = format!("{}\n", failure.reason);
    let answer = Answer {
        request: id,
        status: failure.status,
        headers: HeaderMap::new(),
        outcome: failure.outcome,
        fault: failure.fault,
        reason: failure.reason,
        version,
        upstream_time: None,
        retry_after: None,
        body: call::Body::from_bytes(bytes::Bytes::new()),
    };
    let mut response = Response::new();
    response.set_status(Status::new(answer.status.as_u16()));
    headers::apply_answer(&answer, &mut response);
    response.set_sized_body(text.len(), std::io::Cursor::new(text));
    response
}
