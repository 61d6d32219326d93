use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::StatusCode;
use schema::call::{AnswerHead, End, Message, Proceed, message::Kind};
use tokio::time::{Instant, timeout, timeout_at};
use types::Deadline;
use wire::{Error, Frame, Receiver, Sender, Stream};

use crate::inlet::Arrival;
use crate::message;
use crate::payload::Payload;
use crate::routed_call::RoutedCall;
use crate::shaper::{CHUNK_BYTES, Reservation, read_ahead};
use crate::upstream_answer::UpstreamAnswer;
use crate::{BodyError, Failure, RequestBody, Target, content_length};

/// Body of an answer.
type AnswerBody = BoxStream<'static, Result<Bytes, BodyError>>;

/// Timeout for the head of a call after its stream was opened.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the deadline for sending a report or the rest of an answer to the caller's node.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

impl Target {
    /// Serves one call stream of another node until it ends.
    pub async fn serve(&self, stream: Stream) {
        let _serving = self.start_serving();
        let Stream {
            mut sender,
            mut receiver,
        } = stream;
        let head = timeout(HEAD_TIMEOUT, receiver.recv::<Message>()).await;
        let Ok(Ok(Some(frame))) = head else {
            return sender.reset();
        };
        let Some(decoded) = RoutedCall::from_message(frame.message, Instant::now()) else {
            return sender.reset();
        };
        let call = match decoded {
            Ok(call) => call,
            Err(error) => {
                let failure = Failure::caller(StatusCode::BAD_REQUEST, error.to_string());
                let _ = send_failure(&mut sender, &failure).await;
                return;
            }
        };
        let end = Deadline::new(call.deadline.instant() + REPORT_TIMEOUT);
        if timeout_at(end.instant(), self.answer(call, &mut sender, receiver))
            .await
            .is_err()
        {
            sender.reset();
        }
    }

    /// Runs a call and sends its answer. The run is cancelled when the caller's node resets the
    /// stream.
    async fn answer(&self, call: RoutedCall, sender: &mut Sender, receiver: Receiver) {
        let arrival = match self.request_body(&call, sender).await {
            Ok(arrival) => arrival,
            Err(Some(failure)) => {
                if send_failure(sender, &failure).await.is_err() {
                    sender.reset();
                }
                return;
            }
            Err(None) => return,
        };
        let result = tokio::select! {
            result = self.receive_and_run(call, receiver, arrival) => result,
            () = sender.wait_reset() => return,
        };
        let sent = match result {
            Ok((answer, reservation)) => send_answer(sender, answer, reservation).await,
            Err(failure) => send_failure(sender, &failure).await,
        };
        if sent.is_err() {
            sender.reset();
        }
    }

    /// Asks for the body of a call if it is large, when the link can receive it. Returns the failure with
    /// which the call is refused, or `None` if the caller's node has left.
    async fn request_body(
        &self,
        call: &RoutedCall,
        sender: &mut Sender,
    ) -> Result<Option<Arrival>, Option<Failure>> {
        let Some(mut arrival) = self.reserve_body(call).map_err(Some)? else {
            return Ok(None);
        };
        let requirements = call.requirements();
        let is_due = tokio::select! {
            is_due = arrival.wait_turn(&requirements) => is_due,
            () = sender.wait_reset() => return Err(None),
        };
        if !is_due {
            let reason = route::Refusal::LinkBusy.reason();
            return Err(Some(Failure::service(&call.service, reason)));
        }
        let proceed = message::wrap(Kind::Proceed(Proceed {}));
        sender.send(&proceed).await.map_err(|_| None)?;
        Ok(Some(arrival))
    }

    async fn receive_and_run(
        &self,
        call: RoutedCall,
        receiver: Receiver,
        arrival: Option<Arrival>,
    ) -> Result<(UpstreamAnswer, Option<Reservation>), Failure> {
        let reservation = self.reserve(&call)?;
        let reading = Payload::read(request_body(receiver));
        let read = timeout_at(call.deadline.instant(), reading).await;
        drop(arrival);
        match read {
            Ok(Ok(payload)) => Ok((self.run(call, payload).await?, reservation)),
            Ok(Err(error)) => Err(Failure::caller(
                StatusCode::BAD_REQUEST,
                format!("request body broke off: {error}"),
            )),
            Err(_) => Err(Failure::caller(
                StatusCode::REQUEST_TIMEOUT,
                "request body did not arrive by the deadline",
            )),
        }
    }
}

/// Body of a request that the caller's node is sending.
fn request_body(receiver: Receiver) -> RequestBody {
    stream::unfold(Some((receiver, 0)), next_chunk).boxed()
}

type UploadState = (Receiver, u64);

async fn next_chunk(
    state: Option<UploadState>,
) -> Option<(Result<Bytes, io::Error>, Option<UploadState>)> {
    let (mut receiver, length) = state?;
    match receiver.recv_frame::<Message>().await {
        Ok(Some(Frame::Data(data))) => {
            let length = length + data.len() as u64;
            Some((Ok(data), Some((receiver, length))))
        }
        Ok(Some(Frame::Message(Message {
            kind: Some(Kind::End(end)),
        }))) if end.length == length => None,
        Ok(_) => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        Err(error) => Some((Err(io::Error::other(error)), None)),
    }
}

async fn send_failure(sender: &mut Sender, failure: &Failure) -> Result<(), Error> {
    sender.send(&message::encode_failure(failure)).await?;
    sender.finish()
}

/// Sends an answer and its end message. An answer that is interrupted ends with a failure instead.
async fn send_answer(
    sender: &mut Sender,
    mut answer: UpstreamAnswer,
    reservation: Option<Reservation>,
) -> Result<(), Error> {
    let head = AnswerHead {
        status: u32::from(answer.status.as_u16()),
        headers: message::encode_headers(&answer.headers),
        load: answer.load.map(message::encode_load),
        recorded: answer.recorded,
        upstream_us: u64::try_from(answer.upstream_time.as_micros()).unwrap_or(u64::MAX),
    };
    sender.send(&message::wrap(Kind::Answer(head))).await?;
    let Some(mut reservation) = reservation else {
        return send_body(sender, answer.body, None).await;
    };
    if let Some(length) = content_length(&answer.headers) {
        reservation.set_size(length);
    }
    answer.body = read_ahead(answer.body);
    let shaper = reservation.shaper();
    let send_permit = tokio::select! {
        send_permit = shaper.acquire_send_permit() => send_permit,
        () = sender.wait_reset() => return Err(Error::Closed),
    };
    let sent = send_body(sender, answer.body, Some(reservation)).await;
    drop(send_permit);
    sent
}

/// Sends the body of an answer, paced to the rate of the link if it has a reservation.
async fn send_body(
    sender: &mut Sender,
    mut body: AnswerBody,
    mut reservation: Option<Reservation>,
) -> Result<(), Error> {
    let mut length = 0;
    loop {
        let chunk = tokio::select! {
            chunk = body.next() => chunk,
            () = sender.wait_reset() => return Err(Error::Closed),
        };
        match chunk {
            Some(Ok(chunk)) => {
                length += chunk.len() as u64;
                match &mut reservation {
                    Some(reservation) => send_paced(sender, chunk, reservation).await?,
                    None => drop(sender.send_data(chunk).await?),
                }
            }
            Some(Err(error)) => {
                sender.send(&message::encode_body_error(&error)).await?;
                return sender.finish();
            }
            None => break,
        }
    }
    sender
        .send(&message::wrap(Kind::End(End { length })))
        .await?;
    sender.finish()
}

async fn send_paced(
    sender: &mut Sender,
    mut bytes: Bytes,
    reservation: &mut Reservation,
) -> Result<(), Error> {
    while !bytes.is_empty() {
        let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
        let size = chunk.len();
        sender.send_data(chunk).await?;
        reservation.pace(size).await;
    }
    Ok(())
}
