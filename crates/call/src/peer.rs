use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::StatusCode;
use schema::call::{AnswerHead, End, Message, message::Kind};
use tokio::time::{Instant, timeout_at};
use types::{Deadline, Fault, id};
use wire::{Connection, Error, Frame, Receiver, Sender, Stream};

use crate::inlet::large_body_size;
use crate::message;
use crate::payload::Payload;
use crate::routed_call::RoutedCall;
use crate::upstream_answer::UpstreamAnswer;
use crate::{BodyError, Failure, RequestBody};

/// Time by which each hop shortens the deadline, so that the target's node gives up before the
/// caller's node does.
pub(crate) const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Time after the deadline for which the caller's node still waits for the report of the target's
/// node, which knows whether the call ran. It covers a round trip between regions.
const REPORT_GRACE: Duration = Duration::from_millis(100);

/// Time for the body of an answer whose head arrived just before the deadline. The call has run,
/// and aborting its answer would waste the work.
const BODY_GRACE: Duration = Duration::from_secs(2);

/// Deadline for the body of an answer whose head arrives now.
pub(crate) fn body_deadline(deadline: Deadline) -> Deadline {
    deadline.max(Deadline::after(BODY_GRACE))
}

/// Sends a call to the node beside a target and waits for the head of the answer.
///
/// # Errors
///
/// Returns a failure with outcome `not-run` only when the head was not sent or the other node
/// reports so.
pub(crate) async fn send_call(
    connection: &Connection,
    call: &RoutedCall,
    payload: &Payload,
) -> Result<UpstreamAnswer, Failure> {
    let report_deadline = Deadline::new(call.deadline.instant() + REPORT_GRACE);
    let Stream {
        mut sender,
        receiver,
    } = open(connection, call).await?;
    let head = call.to_message(HOP_MARGIN, Instant::now());
    let mut call_stream = CallStream {
        receiver,
        upload: None,
        service: call.service.clone(),
        deadline: report_deadline,
        length: 0,
    };
    match timeout_at(report_deadline.instant(), sender.send(&head)).await {
        Ok(sent) => sent.map_err(|error| link_lost(&error))?,
        Err(_) => return Err(no_report()),
    };
    if large_body_size(&call.headers).is_some() {
        wait_proceed(&mut call_stream, call).await?;
    }
    call_stream.upload = Some(Box::pin(send_body(sender, payload.stream())));
    match timeout_at(report_deadline.instant(), call_stream.next()).await {
        Ok(Ok(Event::Answer(head))) => {
            let end = body_deadline(call.deadline).instant() + REPORT_GRACE;
            call_stream.deadline = Deadline::new(end);
            decode_answer(head, call_stream)
        }
        Ok(Ok(Event::Failure(failure))) => Err(failure),
        Ok(Ok(Event::Data(_) | Event::End | Event::Proceed)) => {
            Err(unknown_outcome("answer without a head"))
        }
        Ok(Err(StreamError::Caller(reason))) => Err(caller_aborted(&reason)),
        Ok(Err(StreamError::Link(error))) => Err(link_lost(&error)),
        Err(_) => Err(no_report()),
    }
}

/// Waits until the target's node asks for the large body of a call. Without the body, the call cannot run.
async fn wait_proceed(call_stream: &mut CallStream, call: &RoutedCall) -> Result<(), Failure> {
    match timeout_at(call.deadline.instant(), call_stream.next()).await {
        Ok(Ok(Event::Proceed)) => Ok(()),
        Ok(Ok(Event::Failure(failure))) => Err(failure),
        Ok(Ok(Event::Answer(_) | Event::Data(_) | Event::End)) => {
            Err(unknown_outcome("answer before the body was sent"))
        }
        Ok(Err(_)) => Err(Failure::mesh("link lost before the body was sent")),
        Err(_) => Err(Failure::mesh("deadline passed before the body was sent")),
    }
}

/// Opens a stream. A call that must not be repeated needs a connection that has answered recently.
/// Other calls need one that has answered at least once; a ping in parallel with the call is enough
/// for them.
async fn open(connection: &Connection, call: &RoutedCall) -> Result<Stream, Failure> {
    let opening = async {
        if !call.repeatable || !connection.has_answered() {
            connection.ensure_alive(call.deadline).await?;
        }
        connection.open(wire::Kind::Call).await
    };
    match timeout_at(call.deadline.instant(), opening).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(Failure::mesh(format!(
            "link failed before hand-over: {error}"
        ))),
        Err(_) => Err(Failure::mesh("deadline passed before hand-over")),
    }
}

fn decode_answer(head: AnswerHead, call_stream: CallStream) -> Result<UpstreamAnswer, Failure> {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .ok_or_else(|| unknown_outcome("answer with a status that is not valid"))?;
    let headers = message::decode_headers(head.headers).map_err(|error| {
        unknown_outcome(&format!("answer with a header that is not valid: {error}"))
    })?;
    Ok(UpstreamAnswer {
        status,
        headers,
        load: head.load.as_ref().map(message::decode_load),
        recorded: head.recorded,
        upstream_time: Duration::from_micros(head.upstream_us),
        body: stream::unfold(Some(call_stream), next_chunk).boxed(),
    })
}

/// Returns the next chunk of an answer's body; the state is `None` after the end.
async fn next_chunk(
    call_stream: Option<CallStream>,
) -> Option<(Result<Bytes, BodyError>, Option<CallStream>)> {
    let mut call_stream = call_stream?;
    let event = timeout_at(call_stream.deadline.instant(), call_stream.next()).await;
    let error = match event {
        Ok(Ok(Event::Data(data))) => {
            call_stream.length += data.len() as u64;
            return Some((Ok(data), Some(call_stream)));
        }
        Ok(Ok(Event::End)) => return None,
        Ok(Ok(Event::Failure(failure))) => BodyError {
            fault: failure.fault,
            reason: failure.reason,
        },
        Ok(Ok(Event::Answer(_) | Event::Proceed)) => mesh_error("second head in an answer"),
        Ok(Err(StreamError::Caller(reason))) => BodyError {
            fault: Fault::Caller,
            reason,
        },
        Ok(Err(StreamError::Link(error))) => mesh_error(&format!("link lost: {error}")),
        Err(_) => mesh_error("deadline passed"),
    };
    Some((Err(error), None))
}

fn mesh_error(reason: &str) -> BodyError {
    BodyError {
        fault: Fault::Mesh,
        reason: reason.to_owned(),
    }
}

fn unknown_outcome(reason: &str) -> Failure {
    Failure::unknown(Fault::Mesh, StatusCode::BAD_GATEWAY, reason)
}

fn no_report() -> Failure {
    let reason = "deadline passed without a report of the target's node";
    Failure::unknown(Fault::Mesh, StatusCode::GATEWAY_TIMEOUT, reason)
}

fn caller_aborted(reason: &str) -> Failure {
    let reason = format!("caller broke off: {reason}");
    Failure::unknown(Fault::Caller, StatusCode::BAD_REQUEST, reason)
}

fn link_lost(error: &Error) -> Failure {
    if error.is_unprocessed() {
        Failure::mesh(format!("link failed before hand-over: {error}"))
    } else {
        unknown_outcome(&format!("link lost after hand-over: {error}"))
    }
}

type UploadFuture = Pin<Box<dyn Future<Output = Result<(), StreamError>> + Send>>;

/// Receiving side of a call, with the upload of the request body that may still be running.
struct CallStream {
    receiver: Receiver,
    upload: Option<UploadFuture>,
    service: id::Service,
    deadline: Deadline,
    /// Bytes of the answer's body received so far.
    length: u64,
}

enum Event {
    Answer(AnswerHead),
    Data(Bytes),
    End,
    Failure(Failure),
    Proceed,
}

enum StreamError {
    Caller(String),
    Link(Error),
}

impl CallStream {
    /// Returns the next event from the target's node and drives the upload meanwhile.
    async fn next(&mut self) -> Result<Event, StreamError> {
        loop {
            let frame = match &mut self.upload {
                None => self.receiver.recv_frame::<Message>().await,
                Some(upload) => tokio::select! {
                    frame = self.receiver.recv_frame::<Message>() => frame,
                    sent = upload => {
                        self.upload = None;
                        match sent {
                            Err(StreamError::Caller(reason)) => {
                                return Err(StreamError::Caller(reason));
                            }
                            // The peer may have answered before it stopped reading, so its answer
                            // or the error of the stream follows.
                            Ok(()) | Err(StreamError::Link(_)) => continue,
                        }
                    }
                },
            };
            return self.decode_event(frame);
        }
    }

    fn decode_event(
        &self,
        frame: Result<Option<Frame<Message>>, Error>,
    ) -> Result<Event, StreamError> {
        match frame.map_err(StreamError::Link)? {
            Some(Frame::Data(data)) => Ok(Event::Data(data)),
            Some(Frame::Message(Message { kind })) => match kind {
                Some(Kind::Answer(head)) => Ok(Event::Answer(head)),
                Some(Kind::End(End { length })) if length == self.length => Ok(Event::End),
                Some(Kind::Failure(failure)) => Ok(Event::Failure(message::decode_failure(
                    failure,
                    &self.service,
                ))),
                Some(Kind::Proceed(_)) => Ok(Event::Proceed),
                Some(Kind::End(_) | Kind::Call(_) | Kind::LimitedCall(_)) | None => {
                    Err(StreamError::Link(Error::Truncated))
                }
            },
            None => Err(StreamError::Link(Error::Truncated)),
        }
    }
}

/// Sends a body and its end message. An error of the body resets the stream.
async fn send_body(mut sender: Sender, mut body: RequestBody) -> Result<(), StreamError> {
    let mut length = 0;
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|error| StreamError::Caller(error.to_string()))?;
        length += chunk.len() as u64;
        sender.send_data(chunk).await.map_err(StreamError::Link)?;
    }
    let end = message::wrap(Kind::End(End { length }));
    sender.send(&end).await.map_err(StreamError::Link)?;
    sender.finish().map_err(StreamError::Link)
}
