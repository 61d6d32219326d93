//! Requests of callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use call::{Answer, BodyError, Failure, RequestBody};
use front::{Aborted, Body, full};
use futures::StreamExt;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use types::{Deadline, Fault, Outcome, id};

use crate::Node;
use crate::access::{self, Charge};

/// Delay after which a caller should retry a request that was not run.
const RETRY_AFTER: Duration = Duration::from_millis(80);

/// Reason for refusing a request or breaking off its body.
const BODY_OVER_LIMIT: &str = "request body is over the limit";

/// Longest accepted timeout of a caller. A longer one would overflow the clock.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);

/// Serves one request of a caller.
pub(crate) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let start = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = (node.adapter.read_request)(&head);
    let id = metadata.id.unwrap_or_else(call::new_request_id);
    let max_body_bytes = node
        .config_watcher
        .current()
        .map_or(u64::MAX, |config| config.max_body_bytes);
    let refusal = if node.is_closed() {
        Some(Failure::mesh("stopping"))
    } else if !node.config_watcher.is_ready() {
        // Without a configuration it is not known whether requests need a key.
        Some(Failure::mesh("starting"))
    } else {
        check_body_size(max_body_bytes, &head)
    };
    if let Some(failure) = refusal {
        log::info!(request:% = id, reason = failure.reason.as_str(); "request refused");
        node.metrics
            .record_outcome("not-run", &failure.fault, failure.status);
        return Ok(build_refusal(&node, &failure));
    }
    let body = stream_request_body(body, max_body_bytes);
    let (call, charge) = build_call(&node, id.clone(), metadata.timeout, &head, body);
    let answer = tokio::select! {
        answer = node.caller.call(call) => answer,
        () = node.wait_cut_off() => {
            log::warn!(request:% = id; "request cut off: the node stops");
            let failure =
                Failure::unknown(Fault::Mesh, StatusCode::GATEWAY_TIMEOUT, "node stops");
            node.metrics
                .record_outcome("unknown", &failure.fault, failure.status);
            return Ok(build_refusal(&node, &failure));
        }
    };
    if let Some(charge) = charge
        && answer.outcome == Outcome::NotRun
    {
        charge.give_back(&node);
    }
    node.metrics.record_answer(&answer, start.elapsed());
    Ok(build_response(&node, answer))
}

/// Returns the refusal of a request whose declared body is over the limit.
fn check_body_size(max_bytes: u64, head: &Parts) -> Option<Failure> {
    let length = call::content_length(&head.headers);
    length.filter(|length| *length > max_bytes)?;
    Some(Failure::caller(
        StatusCode::PAYLOAD_TOO_LARGE,
        BODY_OVER_LIMIT,
    ))
}

/// Builds the call, and returns it with what it may charge to the quota of a tenant.
fn build_call(
    node: &Arc<Node>,
    id: id::Request,
    timeout: Option<Duration>,
    head: &Parts,
    body: RequestBody,
) -> (call::Request, Option<Charge>) {
    let target = head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let mut call = call::Request::new(id, head.method.clone(), target);
    let host_header = head.headers.get(header::HOST);
    let host = head
        .uri
        .host()
        .or_else(|| host_header.and_then(|value| value.to_str().ok()));
    strip_port(host.unwrap_or_default()).clone_into(&mut call.host);
    // Before the node sets its own, which the caller may have named as headers of its connection.
    call.headers = call::remove_hop_headers(head.headers.clone());
    let settings = node.settings.load();
    (node.adapter.set_caller_service)(&settings.upstream.service, &mut call.headers);
    let mut charge = None;
    if let Some(access) = access::build_guard(node, &call.id, head, &mut call.headers) {
        charge = access.charge;
        call.guard = Some(access.guard);
    }
    if let Some(timeout) = timeout {
        call.deadline = Some(Deadline::after(timeout.min(MAX_TIMEOUT)));
    }
    call.body = body;
    (call, charge)
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Converts a request body to a stream, which fails after `max_bytes`: a body without a declared
/// length may have no end. Trailers are dropped, since they apply to the caller's connection only.
fn stream_request_body(body: Incoming, max_bytes: u64) -> RequestBody {
    let mut received = 0;
    let chunks = body.into_data_stream().map(move |chunk| {
        let chunk = chunk.map_err(io::Error::other)?;
        received += chunk.len() as u64;
        if received > max_bytes {
            return Err(io::Error::other(BODY_OVER_LIMIT));
        }
        Ok(chunk)
    });
    chunks.boxed()
}

fn build_response(node: &Node, answer: Answer) -> Response<Body> {
    let is_from_mesh = answer.outcome != Outcome::Ran;
    let chunks = answer
        .body
        .map(|chunk| chunk.map_err(|error: BodyError| Aborted(error.to_string())));
    let mut response = Response::new(front::stream(chunks));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if is_from_mesh && answer.outcome == Outcome::NotRun {
        add_retry_after(node, answer.retry_after, &mut response);
    }
    response
}

fn build_refusal(node: &Node, failure: &Failure) -> Response<Body> {
    let mut response = Response::new(full(format!("{}\n", failure.reason)));
    *response.status_mut() = failure.status;
    add_retry_after(node, failure.retry_after, &mut response);
    response
}

/// Tells a caller after which delay to retry a request that was not run, or which credentials it needs.
fn add_retry_after(node: &Node, delay: Option<Duration>, response: &mut Response<Body>) {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let delay = delay.unwrap_or(RETRY_AFTER);
            (node.adapter.set_retry_after)(&delay, response.headers_mut());
        }
        StatusCode::UNAUTHORIZED => {
            let scheme = HeaderValue::from_static("Bearer");
            let headers = response.headers_mut();
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        _ => {}
    }
}
