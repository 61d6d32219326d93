//! Calls of the service: from the request to the body of the answer.

use std::future::{Future, pending};
use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use futures::stream::unfold;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use schema::standin::{Behaviour, LogEntry, Progress};
use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, sleep, timeout_at};

use super::log::Run;
use super::nested;
use super::phase::Phase;
use super::state::{Place, State};
use crate::reply::{self, Body, Cut};

/// Remaining time of a call, in milliseconds.
pub(crate) const DEADLINE: &str = "dandelionseam-deadline-ms";
/// Identity of a call.
pub(crate) const REQUEST_ID: &str = "dandelionseam-request-id";
/// Identity of a request that runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Largest part of a body, in bytes.
const PART: usize = 16 * 1024;

/// Call with what it needs until its end.
pub(crate) struct Call {
    pub(crate) id: String,
    /// When the caller gives up; `None` without a deadline header.
    pub(crate) deadline: Option<Instant>,
    pub(crate) behaviour: Behaviour,
    run: Run,
    _place: Place,
}

/// Answers one call of the service.
pub(crate) async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let entry = describe(&state, &request);
    let id = entry.request_id.clone();
    let mut run = state.log.enter(entry);
    let behaviour = state.behaviour();
    let open = state.phase() != Phase::Draining && !behaviour.shed;
    let Some(place) = open.then(|| state.enter()).flatten() else {
        run.end(Progress::Shed);
        return Ok(shed());
    };
    let call = Call {
        id,
        deadline: read_deadline(request.headers()),
        behaviour,
        run,
        _place: place,
    };
    serve(&state, call, request).await
}

/// Runs a call in a slot.
async fn serve(
    state: &State,
    mut call: Call,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let deadline = call.deadline;
    let slot = match by(deadline, state.slots.acquire()).await {
        Some(Ok(slot)) => slot,
        Some(Err(_)) => return Err(Cut),
        None => return Ok(expire(&mut call.run)),
    };
    let Ok(body) = reply::read(request).await else {
        return Err(Cut);
    };
    call.run.begin();
    match by(deadline, work(state, &call, slot)).await {
        Some(Ok(())) => Ok(respond(call, &body)),
        Some(Err(reason)) => {
            call.run.end(Progress::Complete);
            Ok(reply::text(StatusCode::BAD_GATEWAY, reason))
        }
        None => Ok(expire(&mut call.run)),
    }
}

/// The service itself: its time and the nested call.
async fn work(state: &State, call: &Call, _slot: SemaphorePermit<'_>) -> Result<(), String> {
    sleep(state.service_time()).await;
    if !call.behaviour.nested_url.is_empty() {
        nested::call(&state.client, call).await?;
    }
    if call.behaviour.never_answer {
        pending::<()>().await;
    }
    Ok(())
}

fn respond(mut call: Call, request: &Bytes) -> Response<Body> {
    let content = content(&call, request);
    let length = content.len();
    let status = u16::try_from(call.behaviour.status).unwrap_or(0);
    let cut = call.behaviour.break_off_after as usize;
    let with_length = !call.behaviour.without_length;
    let id = HeaderValue::from_str(&call.id);
    if content.is_empty() {
        call.run.end(Progress::Complete);
    }
    let mut response = Response::new(reply::stream(parts(call, content, cut)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    if with_length {
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if let Ok(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Body of the answer. Each of its lines names the request, so that a test notices a foreign part.
fn content(call: &Call, request: &Bytes) -> Bytes {
    let line = format!("{}\n", call.id);
    let mut content = BytesMut::new();
    if call.behaviour.echo {
        content.extend_from_slice(line.as_bytes());
        content.extend_from_slice(request);
    }
    let wanted = call.behaviour.answer_bytes as usize;
    while content.len() < wanted {
        let rest = line.len().min(wanted - content.len());
        content.extend_from_slice(&line.as_bytes()[..rest]);
    }
    content.freeze()
}

/// Parts of a body. The call ends with the last one; an error after `cut` bytes closes the
/// connection.
fn parts(call: Call, content: Bytes, cut: usize) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let limit = if cut == 0 { content.len() } else { cut };
    unfold(
        (call, content, limit),
        |(mut call, mut rest, limit)| async move {
            if rest.is_empty() {
                return None;
            }
            if limit == 0 {
                // Lets the connection write the parts before the cut.
                sleep(std::time::Duration::from_millis(5)).await;
                call.run.end(Progress::Complete);
                let cut = Err(io::Error::from(io::ErrorKind::ConnectionAborted));
                return Some((cut, (call, Bytes::new(), 0)));
            }
            let part = rest.split_to(rest.len().min(PART).min(limit));
            let limit = limit - part.len();
            if rest.is_empty() {
                call.run.end(Progress::Complete);
            }
            Some((Ok(part), (call, rest, limit)))
        },
    )
}

fn describe(state: &State, request: &Request<Incoming>) -> LogEntry {
    let header = |name| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    LogEntry {
        request_id: header(REQUEST_ID),
        idempotency_key: header(IDEMPOTENCY_KEY),
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        deadline_ms: header(DEADLINE).parse().unwrap_or(0),
        draining: state.phase() == Phase::Draining,
        ..LogEntry::default()
    }
}

fn read_deadline(headers: &HeaderMap) -> Option<Instant> {
    let text = headers.get(DEADLINE)?.to_str().ok()?;
    let ms = text.parse().ok()?;
    Some(Instant::now() + std::time::Duration::from_millis(ms))
}

/// Waits for a result until the deadline, if there is one.
async fn by<F>(deadline: Option<Instant>, wait: F) -> Option<F::Output>
where
    F: Future,
{
    match deadline {
        Some(deadline) => timeout_at(deadline, wait).await.ok(),
        None => Some(wait.await),
    }
}

fn expire(run: &mut Run) -> Response<Body> {
    run.end(Progress::Expired);
    reply::text(StatusCode::GATEWAY_TIMEOUT, "deadline has passed")
}

fn shed() -> Response<Body> {
    let mut response = reply::text(StatusCode::SERVICE_UNAVAILABLE, "no room");
    let one = HeaderValue::from_static("1");
    response.headers_mut().insert("shed", one);
    response
}
