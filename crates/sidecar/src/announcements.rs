//! Messages from the upstream to the node beside it.

use std::sync::Arc;
use std::time::Duration;

use call::Announcement;
use directory::UpstreamStart;
use front::{Aborted, Body, full};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use route::{AnnouncementHeader, AnnouncementOutcome, Stage};
use thiserror::Error;
use types::{Deadline, Timestamp};

use crate::{Node, UpstreamMessage};

/// Largest accepted message.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Longest time that a message waits for the directory to load and for a departure to be kept. The
/// sender accepts an acknowledgement within one second and sends its next message about a second
/// later.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason why a message is not acknowledged.
#[derive(Debug, Error)]
enum Refusal {
    #[error("{0}")]
    Invalid(String),
    #[error("departure is neither stored nor kept by other nodes")]
    NotKept,
}

impl Refusal {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) => StatusCode::BAD_REQUEST,
            Self::NotKept => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Handles one message and returns its acknowledgement, or a refusal with the reason.
pub(crate) async fn handle_message(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let (head, body) = request.into_parts();
    let content = match Limited::new(body, MAX_MESSAGE_BYTES).collect().await {
        Ok(content) => content.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            log::warn!(path = head.uri.path(), limit = MAX_MESSAGE_BYTES; "message is too large");
            return Ok(build_refusal(
                StatusCode::PAYLOAD_TOO_LARGE,
                "message is too large",
            ));
        }
        Err(error) => return Err(Aborted(error.to_string())),
    };
    let path = head.uri.path();
    let handled = match (node.adapter.parse_message)(&head.method, path, &content) {
        Ok(UpstreamMessage::Heartbeat(header, announcement)) => {
            handle_heartbeat(&node, &header, announcement).await
        }
        Ok(UpstreamMessage::Leave { instance, started }) => {
            handle_leave(&node, instance, started).await
        }
        Err(reason) => Err(Refusal::Invalid(reason)),
    };
    match handled {
        Ok(()) => Ok(build_acknowledgement()),
        Err(refusal) => {
            log::warn!(path, reason:% = refusal; "message from the upstream not acknowledged");
            Ok(build_refusal(refusal.status(), &refusal.to_string()))
        }
    }
}

fn build_acknowledgement() -> Response<Body> {
    let mut response = Response::new(full("{}"));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds the refusal of a message. The connection closes after it, since part of the message may
/// not have been read.
fn build_refusal(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{reason}\n")));
    *response.status_mut() = status;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Applies a heartbeat. One that says that the upstream drains is acknowledged only when this outlives
/// the process.
async fn handle_heartbeat(
    node: &Node,
    header: &AnnouncementHeader,
    announcement: Announcement,
) -> Result<(), Refusal> {
    node.check_announcement(header, &announcement)
        .map_err(Refusal::Invalid)?;
    let deadline = Deadline::after(ACKNOWLEDGEMENT_TIMEOUT);
    let is_draining = header.stage == Stage::Draining;
    if !node.is_restored() {
        if is_draining {
            // The stored entry of an earlier process of this node may name this process of the
            // upstream as the one that receives calls.
            node.record_departure(&header.instance, Some(header.started));
        }
        // An earlier process of this node may have stored a departure; a late announcement must not make
        // a process of the upstream that has left receive calls again.
        if !node.wait_restored(deadline).await {
            log::info!(
                instance:% = header.instance;
                "announcement ignored: directory is not loaded yet"
            );
            return if is_draining {
                keep_departure(node, header.instance.clone(), header.started, deadline).await
            } else {
                Ok(())
            };
        }
    }
    let announcement = Announcement {
        // Only told where it matters, so that entries stay readable for earlier builds elsewhere.
        build: announcement.build.filter(|_| node.rollouts.is_enabled()),
        ..announcement
    };
    match node.apply_announcement(header, announcement.clone()) {
        AnnouncementOutcome::Unconfirmed => {
            node.confirm_upstream(announcement.with_state(header.stage), deadline)
                .await;
        }
        AnnouncementOutcome::Ignored(reason) => {
            log::info!(
                instance:% = header.instance, started:% = header.started,
                sequence = header.sequence, reason; "announcement ignored"
            );
        }
        AnnouncementOutcome::Current(_) => {}
        AnnouncementOutcome::New(stage) => {
            log::info!(
                instance:% = header.instance, started:% = header.started, stage:?;
                "announcement from a new process of the upstream"
            );
        }
    }
    if !is_draining {
        return Ok(());
    }
    if node.is_upstream_ready(&header.instance, header.started) {
        return Err(Refusal::Invalid("announcement is out of order".to_owned()));
    }
    keep_departure(node, header.instance.clone(), header.started, deadline).await
}

async fn handle_leave(
    node: &Node,
    instance: String,
    started: Option<Timestamp>,
) -> Result<(), Refusal> {
    if started.is_some_and(|started| route::is_ahead(started, Timestamp::now())) {
        return Err(Refusal::Invalid("start lies in the future".to_owned()));
    }
    let deadline = Deadline::after(ACKNOWLEDGEMENT_TIMEOUT);
    let current = node.record_departure(&instance, started);
    log::info!(instance:%, is_current = current.is_some(); "upstream left");
    let started = current.or(started).unwrap_or_else(Timestamp::now);
    keep_departure(node, instance, started, deadline).await
}

/// Makes a departure outlive this process of the node, which may end before the upstream does.
async fn keep_departure(
    node: &Node,
    instance: String,
    started: Timestamp,
    deadline: Deadline,
) -> Result<(), Refusal> {
    if node.is_upstream_superseded(started) {
        return Ok(());
    }
    let departed = UpstreamStart {
        instance,
        started,
        address: None,
    };
    if node.directory.keep_departure(departed, deadline).await {
        Ok(())
    } else {
        Err(Refusal::NotKept)
    }
}
