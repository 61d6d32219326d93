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
use types::{Deadline, Timestamp};

use crate::{Node, UpstreamMessage};

/// Largest accepted message.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Longest time that the acknowledgement of a departure waits for the store. The departure takes
/// effect in this process of the node at once; the stored copy is for its next process.
const DEPARTURE_FLUSH_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that an announcement waits for the directory to load. The sender accepts an
/// acknowledgement within one second and sends its next announcement about a second later.
const DIRECTORY_LOAD_TIMEOUT: Duration = Duration::from_millis(800);

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
        Err(reason) => Err(reason),
    };
    match handled {
        Ok(()) => Ok(build_acknowledgement()),
        Err(reason) => {
            log::warn!(path, reason = reason.as_str(); "invalid message from the upstream ignored");
            Ok(build_refusal(StatusCode::BAD_REQUEST, &reason))
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

/// Applies a heartbeat. Returns the reason when it names no upstream that calls can be sent to.
async fn handle_heartbeat(
    node: &Node,
    header: &AnnouncementHeader,
    announcement: Announcement,
) -> Result<(), String> {
    node.check_announcement(header, &announcement)?;
    if !node.directory.is_ready() {
        if header.stage == Stage::Draining {
            // The stored entry of an earlier process of this node may name this process of the
            // upstream as the one that receives calls.
            node.record_departure(&header.instance, Some(header.started));
        }
        // The directory holds departures recorded by an earlier process of this node; a late
        // announcement must not make a process of the upstream that has left receive calls again.
        let deadline = Deadline::after(DIRECTORY_LOAD_TIMEOUT);
        if !node.directory.wait_ready(deadline).await {
            log::info!(
                instance:% = header.instance;
                "announcement ignored: directory is not loaded yet"
            );
            return Ok(());
        }
    }
    let outcome = node.apply_announcement(header);
    match outcome {
        AnnouncementOutcome::Ignored(reason) => {
            log::info!(
                instance:% = header.instance, started:% = header.started,
                sequence = header.sequence, reason; "announcement ignored"
            );
        }
        AnnouncementOutcome::Current(stage) => node.target.announce(announcement.with_state(stage)),
        AnnouncementOutcome::New(stage) => {
            log::info!(
                instance:% = header.instance, started:% = header.started, stage:?;
                "announcement from a new process of the upstream"
            );
            node.target.announce(announcement.with_state(stage));
        }
    }
    if header.stage == Stage::Draining && !matches!(outcome, AnnouncementOutcome::Ignored(_)) {
        store_departure(node, header.instance.clone(), header.started).await;
    }
    Ok(())
}

async fn handle_leave(
    node: &Node,
    instance: String,
    started: Option<Timestamp>,
) -> Result<(), String> {
    if started.is_some_and(|started| route::is_ahead(started, Timestamp::now())) {
        return Err("start lies in the future".to_owned());
    }
    let current = node.record_departure(&instance, started);
    log::info!(instance:%, is_current = current.is_some(); "upstream left");
    if current.is_some() {
        node.target.withdraw();
    }
    let started = current.or(started).unwrap_or_else(Timestamp::now);
    store_departure(node, instance, started).await;
    Ok(())
}

/// Writes a departure to the store, in case this process of the node ends before the upstream does.
async fn store_departure(node: &Node, instance: String, started: Timestamp) {
    node.directory.set_departed(UpstreamStart {
        instance,
        started,
        address: None,
    });
    if !node
        .directory
        .flush(Deadline::after(DEPARTURE_FLUSH_TIMEOUT))
        .await
    {
        log::warn!("departure of the upstream is not stored yet");
    }
}
