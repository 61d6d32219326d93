use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::Response;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};
use types::{Deadline, Fault, Outcome};

use crate::active_calls::ActiveCall;
use crate::connection::Connection;
use crate::headers::remove_hop_headers;
use crate::idempotency_store::{Claim, ClaimResult, IdempotencyStore, MAX_RECORDED_ANSWER_BYTES};
use crate::limiter::Permit;
use crate::local_upstream::LocalUpstream;
use crate::payload::Payload;
use crate::peer::body_deadline;
use crate::routed_call::RoutedCall;
use crate::upstream::{Exchange, SendError};
use crate::upstream_answer::UpstreamAnswer;
use crate::{BodyError, Failure, message};

/// One run of an admitted call, which holds its slot until the answer has ended.
pub(crate) struct Run {
    call: RoutedCall,
    local: Arc<LocalUpstream>,
    permit: Permit,
    idempotency: Option<Arc<IdempotencyStore>>,
    _active_call: ActiveCall,
    /// Time from sending the request to the upstream until the head of the answer.
    upstream_time: Duration,
}

impl Run {
    pub(crate) fn new(
        call: RoutedCall,
        local: Arc<LocalUpstream>,
        permit: Permit,
        idempotency: Option<Arc<IdempotencyStore>>,
        active_call: ActiveCall,
    ) -> Self {
        Self {
            call,
            local,
            permit,
            idempotency,
            _active_call: active_call,
            upstream_time: Duration::ZERO,
        }
    }

    /// Runs the call. A non-repeatable call with an idempotency key needs a claim on that key.
    pub(crate) async fn start(mut self, payload: Payload) -> Result<UpstreamAnswer, Failure> {
        let key = self.call.key.clone().filter(|_| !self.call.repeatable);
        let Some(key) = key else {
            let exchange = self.send(&payload).await?;
            return Ok(self.into_answer(exchange, None));
        };
        let idempotency = self
            .idempotency
            .clone()
            .ok_or_else(|| Failure::mesh("no store for calls with idempotency keys"))?;
        let claimed = idempotency.claim(&self.call, &key).await;
        // The load tells the caller's node that the target itself works.
        let claimed = claimed.map_err(|failure| failure.with_load(self.local.limiter.load()))?;
        let claim = match claimed {
            ClaimResult::Claimed(claim) => claim,
            ClaimResult::Finished(record) => return replay(record, &self.local),
            ClaimResult::Pending => {
                let reason = "another attempt has the idempotency key and its end is not known";
                return Err(Failure::unknown(
                    Fault::Caller,
                    StatusCode::CONFLICT,
                    reason,
                ));
            }
        };
        match self.send(&payload).await {
            Ok(exchange) => {
                let recorder = AnswerRecorder::new(idempotency, claim, &exchange.response);
                Ok(self.into_answer(exchange, Some(recorder)))
            }
            Err(failure) => {
                if failure.outcome == Outcome::NotRun
                    && let Err(error) = idempotency.release(&claim).await
                {
                    log::warn!(
                        request:% = self.call.request, error:%;
                        "failed to release the idempotency key"
                    );
                }
                Err(failure)
            }
        }
    }

    /// Sends the request once and waits for the head of the answer.
    async fn send(&mut self, payload: &Payload) -> Result<Exchange, Failure> {
        if self.call.deadline.has_passed(Instant::now()) {
            let failure = Failure::service(&self.call.service, "deadline passed before hand-over");
            return Err(failure.with_load(self.local.limiter.load()));
        }
        self.permit.mark_sent();
        let sent_at = Instant::now();
        let result = self.local.upstream.send(&self.call, payload).await;
        if let Ok(Exchange { notice, .. }) | Err(SendError::Rejected { notice, .. }) = &result {
            self.local.record_notice(notice, sent_at);
        }
        let exchange = match result {
            Ok(exchange) => exchange,
            Err(error) => return Err(self.handle_error(error)),
        };
        self.upstream_time = sent_at.elapsed();
        self.local
            .observe(|health| health.record_answer(Instant::now()));
        Ok(exchange)
    }

    fn handle_error(&mut self, error: SendError) -> Failure {
        match error {
            SendError::InvalidRequest(reason) => {
                self.permit.mark_unsent();
                Failure::caller(StatusCode::BAD_REQUEST, reason)
            }
            SendError::NotConnected(reason) => {
                self.permit.mark_unsent();
                self.local
                    .observe(route::UpstreamHealth::record_refused_connection);
                let reason = format!("connection to the upstream refused: {reason}");
                Failure::service(&self.call.service, reason)
            }
            SendError::Rejected {
                reason, overloaded, ..
            } => {
                self.permit.mark_unsent();
                if overloaded {
                    self.local
                        .limiter
                        .update(|admission| admission.record_overload(Instant::now()));
                }
                let failure = Failure::service(&self.call.service, reason).with_reached_upstream();
                failure.with_load(self.local.limiter.load())
            }
            SendError::WrongInstance => {
                self.permit.mark_unsent();
                // No further requests are sent there until an upstream announces itself.
                self.local
                    .observe(route::UpstreamHealth::record_address_reuse);
                let reason = "another upstream has the address";
                let failure = Failure::service(&self.call.service, reason).with_reached_upstream();
                failure.with_load(self.local.limiter.load())
            }
            SendError::DeadlinePassed => {
                self.local.upstream.drop_idle();
                self.unknown(
                    StatusCode::GATEWAY_TIMEOUT,
                    "deadline passed after hand-over",
                )
            }
            SendError::Interrupted(reason) => {
                let reason = format!("upstream broke off: {reason}");
                self.unknown(StatusCode::BAD_GATEWAY, &reason)
            }
        }
    }

    fn unknown(&self, status: StatusCode, reason: &str) -> Failure {
        let fault = Fault::Service(self.call.service.clone());
        Failure::unknown(fault, status, reason).with_load(self.local.limiter.load())
    }

    /// Builds an answer whose body holds the slot.
    fn into_answer(self, exchange: Exchange, recorder: Option<AnswerRecorder>) -> UpstreamAnswer {
        let Exchange {
            response,
            connection,
            ..
        } = exchange;
        let status = response.status();
        let headers = remove_hop_headers(response.headers().clone());
        let load = Some(self.local.limiter.load());
        let upstream_time = self.upstream_time;
        let body = UpstreamBody {
            incoming: response.into_body(),
            connection,
            deadline: body_deadline(self.call.deadline),
            run: self,
            recorder,
        };
        UpstreamAnswer {
            status,
            headers,
            load,
            recorded: false,
            upstream_time,
            body: stream::unfold(Some(body), next_chunk).boxed(),
        }
    }
}

/// Body of an answer that the upstream is sending.
struct UpstreamBody {
    incoming: Incoming,
    connection: Connection,
    run: Run,
    recorder: Option<AnswerRecorder>,
    /// Deadline for the end of the answer.
    deadline: Deadline,
}

/// Returns the next chunk of the body; the state is `None` after the end.
async fn next_chunk(
    body: Option<UpstreamBody>,
) -> Option<(Result<Bytes, BodyError>, Option<UpstreamBody>)> {
    let mut body = body?;
    let deadline = body.deadline.instant();
    let reason = loop {
        match timeout_at(deadline, body.incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded: they apply to the connection to the upstream only.
                let Ok(chunk) = frame.into_data() else {
                    continue;
                };
                if let Some(recorder) = &mut body.recorder {
                    recorder.add(&chunk);
                }
                if body.incoming.is_end_stream() {
                    // A reader that knows the length may not poll for the end of the body.
                    finish(body).await;
                    return Some((Ok(chunk), None));
                }
                return Some((Ok(chunk), Some(body)));
            }
            Ok(None) => {
                finish(body).await;
                return None;
            }
            Ok(Some(Err(error))) => break format!("upstream broke off: {error}"),
            Err(_) => break "deadline passed".to_owned(),
        }
    };
    let fault = Fault::Service(body.run.call.service.clone());
    Some((Err(BodyError { fault, reason }), None))
}

/// Records the answer to a keyed call and releases the slot and the connection. The slot does not
/// wait for the connection, which the upstream may take longer to make ready.
async fn finish(body: UpstreamBody) {
    let UpstreamBody {
        connection,
        run,
        recorder,
        ..
    } = body;
    if let Some(recorder) = recorder {
        recorder.finish(&run.call).await;
    }
    let local = Arc::clone(&run.local);
    drop(run);
    tokio::spawn(async move { local.upstream.release(connection).await });
}

/// Collects the answer to a keyed call and writes it to the store.
struct AnswerRecorder {
    idempotency: Arc<IdempotencyStore>,
    claim: Claim,
    status: StatusCode,
    headers: HeaderMap,
    /// Chunks received so far; `None` once they exceed [`MAX_RECORDED_ANSWER_BYTES`].
    chunks: Option<Vec<Bytes>>,
    length: usize,
}

impl AnswerRecorder {
    fn new(
        idempotency: Arc<IdempotencyStore>,
        claim: Claim,
        response: &Response<Incoming>,
    ) -> Self {
        Self {
            idempotency,
            claim,
            status: response.status(),
            headers: remove_hop_headers(response.headers().clone()),
            chunks: Some(Vec::new()),
            length: 0,
        }
    }

    fn add(&mut self, chunk: &Bytes) {
        self.length += chunk.len();
        if self.length > MAX_RECORDED_ANSWER_BYTES {
            self.chunks = None;
        } else if let Some(chunks) = &mut self.chunks {
            chunks.push(chunk.clone());
        }
    }

    /// Records the complete answer. The write continues when the caller disconnects or the deadline
    /// passes, since the run has ended in any case.
    async fn finish(self, call: &RoutedCall) {
        let request = call.request.clone();
        let write = tokio::spawn(async move {
            let answer = self.chunks.map(|chunks| Bytes::from(chunks.concat()));
            let written = self
                .idempotency
                .finish(&self.claim, self.status, &self.headers, answer);
            if let Err(error) = written.await {
                log::warn!(
                    request:%, error:%;
                    "failed to record the answer to a call with an idempotency key"
                );
            }
        });
        // A failed write is not reported to the caller: its answer is complete, and the key stays
        // claimed.
        let _ = timeout_at(call.deadline.instant(), write).await;
    }
}

/// Builds the answer from the record of an earlier run.
fn replay(
    record: schema::bundle::OnceRecord,
    local: &LocalUpstream,
) -> Result<UpstreamAnswer, Failure> {
    let status = u16::try_from(record.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok());
    let headers = message::decode_headers(record.headers);
    let (Some(status), Ok(headers), true) = (status, headers, record.whole) else {
        return Err(Failure {
            outcome: Outcome::Ran,
            fault: Fault::None,
            reason: "the call ran before; its answer was too large to record".to_owned(),
            status: StatusCode::CONFLICT,
            load: None,
            reached_upstream: true,
            retry_after: None,
        });
    };
    let answer = Bytes::from(record.answer);
    let chunks = (!answer.is_empty()).then_some(Ok(answer));
    Ok(UpstreamAnswer {
        status,
        headers,
        load: Some(local.limiter.load()),
        recorded: true,
        upstream_time: Duration::ZERO,
        body: stream::iter(chunks).boxed(),
    })
}
