//! Requests of the gateway and of the control endpoints.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use schema::gateway::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseKeepAliveStream, LeaseRevokeRequest, LeaseRevokeResponse, RangeRequest, WatchRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use super::kind::Kind;
use super::refusal::Refusal;
use super::watch::Watch;
use super::{Shared, set_faults};
use crate::reply::{self, Body, Cut};
use crate::server::{Connection, Gate};

/// Answers one request of the gateway's port.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    gate: Arc<Gate>,
    connection: Connection,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let Some(kind) = Kind::from_path(request.uri().path()) else {
        return control(shared, gate, request).await;
    };
    if request.method() != Method::POST {
        return Ok(reply::text(StatusCode::METHOD_NOT_ALLOWED, "use POST"));
    }
    if let Err(refusal) = admit(&shared, kind) {
        return Ok(refusal.response());
    }
    let body = reply::read(request).await.map_err(|_| Cut)?;
    if kind == Kind::Watch {
        delay(&shared).await;
        return Ok(match watch(&shared, connection, &body) {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        });
    }
    let done = run(&shared, kind, &body);
    delay(&shared).await;
    deliver(&shared, kind, done).await
}

/// Counts a call and checks the rate limits.
fn admit(shared: &Shared, kind: Kind) -> Result<(), Refusal> {
    let mut inner = shared.lock();
    *kind.counter(&mut inner.counters) += 1;
    if inner.faults.admit(kind, Instant::now()) {
        return Ok(());
    }
    inner.counters.refused += 1;
    Err(Refusal::over_limit(inner.faults.faults().refusal_status))
}

/// Waits as long as the latency in force. The call has taken effect by then.
async fn delay(shared: &Shared) {
    let latency = shared.lock().faults.faults().latency_ms;
    if latency > 0 {
        sleep(Duration::from_millis(latency.into())).await;
    }
}

/// Sends an answer, loses it or damages it.
async fn deliver(
    shared: &Shared,
    kind: Kind,
    done: Result<Vec<u8>, Refusal>,
) -> Result<Response<Body>, Cut> {
    let (lost, silently, damaged) = {
        let mut inner = shared.lock();
        let lost = inner.faults.take_loss(kind);
        let faults = inner.faults.faults();
        (lost, faults.lose_silently, faults.damage_answers)
    };
    if lost && silently && kind.is_write() {
        pending::<()>().await;
    }
    if lost {
        return Err(Cut);
    }
    Ok(match done {
        Ok(mut text) => {
            if damaged {
                damage(&mut text);
            }
            reply::json_text(StatusCode::OK, text)
        }
        Err(refusal) => refusal.response(),
    })
}

/// Cuts a JSON text in the middle.
pub(crate) fn damage(text: &mut Vec<u8>) {
    text.truncate(text.len() / 2);
}

/// Runs a call that has a single answer; returns its JSON.
fn run(shared: &Shared, kind: Kind, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    match kind {
        Kind::Range => range(shared, body),
        Kind::Put => print(&shared.change(|data, _| data.put(&parse(body)?))?),
        Kind::DeleteRange => {
            let request = parse(body)?;
            print(&shared.change(|data, _| data.delete(&request)))
        }
        Kind::Txn => print(&shared.change(|data, _| data.txn(&parse(body)?))?),
        Kind::Grant => grant(shared, body),
        Kind::KeepAlive => keep_alive(shared, body),
        Kind::Revoke => revoke(shared, body),
        Kind::Watch => Err(Refusal::invalid("a watch has no single answer")),
    }
}

fn range(shared: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let request: RangeRequest = parse(body)?;
    let behind = i64::from(shared.lock().faults.faults().stale_revisions);
    print(&shared.change(|data, _| {
        let oldest = data.compacted().max(1);
        let revision = (data.revision() - behind).max(oldest);
        data.range(&request, revision)
    })?)
}

fn grant(shared: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let request: LeaseGrantRequest = parse(body)?;
    let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or(0));
    let answer = shared.change(|data, now| {
        let id = data.grant(request.id, ttl, now)?;
        Ok(LeaseGrantResponse {
            header: Some(data.header()),
            id,
            ttl: request.ttl,
            error: String::new(),
        })
    })?;
    shared.leases.notify_one();
    print(&answer)
}

fn keep_alive(shared: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let request: LeaseKeepAliveRequest = parse(body)?;
    let answer = shared.change(|data, now| {
        let ttl = data.keep_alive(request.id, now).as_secs();
        LeaseKeepAliveResponse {
            header: Some(data.header()),
            id: request.id,
            ttl: i64::try_from(ttl).unwrap_or(i64::MAX),
        }
    });
    print(&LeaseKeepAliveStream {
        result: Some(answer),
        error: None,
    })
}

fn revoke(shared: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let request: LeaseRevokeRequest = parse(body)?;
    print(&shared.change(|data, _| {
        data.revoke(request.id)?;
        Ok(LeaseRevokeResponse {
            header: Some(data.header()),
        })
    })?)
}

fn watch(
    shared: &Arc<Shared>,
    connection: Connection,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let request: WatchRequest = parse(body)?;
    let create = request
        .create_request
        .ok_or_else(|| Refusal::invalid("create_request is missing"))?;
    let watch = Watch::new(Arc::clone(shared), connection, &create);
    Ok(Response::new(reply::stream(watch.into_stream())))
}

/// Answers `POST /control`, which replaces the faults, and `GET /counters`.
pub(crate) async fn control(
    shared: Arc<Shared>,
    gate: Arc<Gate>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/counters") => {
            let counters = shared.lock().counters;
            Ok(reply::json(StatusCode::OK, &counters))
        }
        (&Method::POST, "/control") => {
            let body = reply::read(request).await.map_err(|_| Cut)?;
            Ok(match reply::parse(&body) {
                Ok(faults) => {
                    set_faults(&shared, &gate, faults);
                    gate.wait_settled().await;
                    reply::text(StatusCode::OK, "")
                }
                Err(error) => reply::text(StatusCode::BAD_REQUEST, error.to_string()),
            })
        }
        _ => Ok(reply::text(StatusCode::NOT_FOUND, "no such endpoint")),
    }
}

fn parse<T>(body: &[u8]) -> Result<T, Refusal>
where
    T: DeserializeOwned + Default,
{
    reply::parse(body).map_err(|error| Refusal::invalid(&error.to_string()))
}

fn print<T>(answer: &T) -> Result<Vec<u8>, Refusal>
where
    T: Serialize,
{
    serde_json::to_vec(answer).map_err(|error| Refusal::invalid(&error.to_string()))
}
