use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, StatusCode};
use reqwest::Response;
use tokio::time::{Instant, timeout_at};
use types::{Fault, Outcome};

use crate::active::Entry;
use crate::gate::Permit;
use crate::job::Job;
use crate::local::Local;
use crate::once::{ANSWER_LIMIT, Claim, Once, Permission};
use crate::payload::Payload;
use crate::reply::Reply;
use crate::upstream::{self, SendError};
use crate::{Cut, Failure, message};

/// One run of an admitted call. It holds the slot until the answer has ended.
pub(crate) struct Run {
    job: Job,
    local: Arc<Local>,
    permit: Permit,
    once: Option<Arc<Once>>,
    _entry: Entry,
    /// Time from the hand-over to the head of the answer.
    upstream: Duration,
}

impl Run {
    pub(crate) fn new(
        job: Job,
        local: Arc<Local>,
        permit: Permit,
        once: Option<Arc<Once>>,
        entry: Entry,
    ) -> Self {
        Self {
            job,
            local,
            permit,
            once,
            _entry: entry,
            upstream: Duration::ZERO,
        }
    }

    /// Runs the call, under a claim when it has an idempotency key and must not be repeated.
    pub(crate) async fn start(mut self, payload: Payload) -> Result<Reply, Failure> {
        let key = self.job.key.clone().filter(|_| !self.job.repeatable);
        let Some(key) = key else {
            let response = self.send(&payload).await?;
            return Ok(self.reply(response, None));
        };
        let once = self
            .once
            .clone()
            .ok_or_else(|| Failure::mesh("no store for calls with idempotency keys"))?;
        let permission = once.claim(&self.job, &key).await;
        // The load shows the caller's node that the target itself is not broken.
        let permission = permission.map_err(|failure| failure.with_load(self.local.gate.load()))?;
        let claim = match permission {
            Permission::Run(claim) => claim,
            Permission::Ran(record) => return replay(record, &self.local),
            Permission::Taken => {
                let reason = "another attempt has the idempotency key and its end is not known";
                return Err(Failure::unknown(
                    Fault::Caller,
                    StatusCode::CONFLICT,
                    reason,
                ));
            }
        };
        match self.send(&payload).await {
            Ok(response) => {
                let record = Recording::new(once, claim, &response);
                Ok(self.reply(response, Some(record)))
            }
            Err(failure) => {
                if failure.outcome == Outcome::NotRun
                    && let Err(error) = once.release(&claim).await
                {
                    log::warn!(request:% = self.job.request, error:%; "idempotency key stays taken");
                }
                Err(failure)
            }
        }
    }

    /// Sends the request once and takes the head of the answer.
    async fn send(&mut self, payload: &Payload) -> Result<Response, Failure> {
        if self.job.deadline.has_passed(Instant::now()) {
            let failure = Failure::service(&self.job.service, "deadline passed before hand-over");
            return Err(failure.with_load(self.local.gate.load()));
        }
        self.permit.hand_over();
        let handed_over = Instant::now();
        let response = match self.local.upstream.send(&self.job, payload).await {
            Ok(response) => response,
            Err(error) => return Err(self.failure(error)),
        };
        self.upstream = handed_over.elapsed();
        if upstream::is_shed(&response) {
            self.permit.take_back();
            self.local
                .gate
                .update(|admission| admission.shed(Instant::now()));
            let failure = Failure::service(&self.job.service, "shed by the upstream");
            return Err(failure.with_load(self.local.gate.load()));
        }
        if !upstream::has_end(&response, &self.job.method) {
            return Err(self.unknown(StatusCode::BAD_GATEWAY, "answer without a length"));
        }
        self.local
            .observe(|presence| presence.answered(Instant::now()));
        Ok(response)
    }

    fn failure(&mut self, error: SendError) -> Failure {
        match error {
            SendError::Invalid(reason) => {
                self.permit.take_back();
                Failure::caller(StatusCode::BAD_REQUEST, reason)
            }
            SendError::Refused(reason) => {
                self.permit.take_back();
                self.local.observe(route::Presence::refused);
                let reason = format!("connection to the upstream refused: {reason}");
                Failure::service(&self.job.service, reason)
            }
            SendError::Late => {
                self.local.upstream.drop_idle();
                self.unknown(
                    StatusCode::GATEWAY_TIMEOUT,
                    "deadline passed after hand-over",
                )
            }
            SendError::Broken(reason) => {
                let reason = format!("upstream broke off: {reason}");
                self.unknown(StatusCode::BAD_GATEWAY, &reason)
            }
        }
    }

    fn unknown(&self, status: StatusCode, reason: &str) -> Failure {
        let fault = Fault::Service(self.job.service.clone());
        Failure::unknown(fault, status, reason).with_load(self.local.gate.load())
    }

    /// Turns the answer into a reply whose body holds the slot.
    fn reply(self, response: Response, recording: Option<Recording>) -> Reply {
        let status = response.status();
        let headers = upstream::without_hop_headers(response.headers().clone());
        let load = Some(self.local.gate.load());
        let upstream = self.upstream;
        let body = Running {
            parts: response.bytes_stream().boxed(),
            run: self,
            recording,
        };
        Reply {
            status,
            headers,
            load,
            recorded: false,
            upstream,
            body: stream::unfold(Some(body), next_part).boxed(),
        }
    }
}

/// Body of an answer that comes from the upstream.
struct Running {
    parts: BoxStream<'static, reqwest::Result<Bytes>>,
    run: Run,
    recording: Option<Recording>,
}

/// Next piece of the body; the state is empty after the end.
async fn next_part(running: Option<Running>) -> Option<(Result<Bytes, Cut>, Option<Running>)> {
    let mut running = running?;
    let deadline = running.run.job.deadline.instant();
    let reason = match timeout_at(deadline, running.parts.next()).await {
        Ok(Some(Ok(part))) => {
            if let Some(recording) = &mut running.recording {
                recording.add(&part);
            }
            return Some((Ok(part), Some(running)));
        }
        Ok(None) => {
            if let Some(recording) = running.recording.take() {
                recording.finish(&running.run.job).await;
            }
            return None;
        }
        Ok(Some(Err(error))) => format!("upstream broke off: {}", upstream::cause(&error)),
        Err(_) => "deadline passed".to_owned(),
    };
    let fault = Fault::Service(running.run.job.service.clone());
    Some((Err(Cut { fault, reason }), None))
}

/// Answer of a keyed call on its way into the store.
struct Recording {
    once: Arc<Once>,
    claim: Claim,
    status: StatusCode,
    headers: HeaderMap,
    /// Pieces so far; `None` when they are over the limit.
    parts: Option<Vec<Bytes>>,
    length: usize,
}

impl Recording {
    fn new(once: Arc<Once>, claim: Claim, response: &Response) -> Self {
        Self {
            once,
            claim,
            status: response.status(),
            headers: upstream::without_hop_headers(response.headers().clone()),
            parts: Some(Vec::new()),
            length: 0,
        }
    }

    fn add(&mut self, part: &Bytes) {
        self.length += part.len();
        if self.length > ANSWER_LIMIT {
            self.parts = None;
        } else if let Some(parts) = &mut self.parts {
            parts.push(part.clone());
        }
    }

    /// Records the whole answer. The write goes on when the caller hangs up or the deadline passes,
    /// since the run has ended either way.
    async fn finish(self, job: &Job) {
        let request = job.request.clone();
        let write = tokio::spawn(async move {
            let answer = self.parts.map(|parts| Bytes::from(parts.concat()));
            let written = self
                .once
                .finish(&self.claim, self.status, &self.headers, answer);
            if let Err(error) = written.await {
                log::warn!(request:%, error:%; "answer of a keyed call is not recorded");
            }
        });
        // The caller is not told of a failed write: its answer is whole, and the key stays taken.
        let _ = timeout_at(job.deadline.instant(), write).await;
    }
}

/// Answer of an earlier run.
fn replay(record: schema::bundle::OnceRecord, local: &Local) -> Result<Reply, Failure> {
    let status = u16::try_from(record.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok());
    let headers = message::header_map(record.headers);
    let (Some(status), Ok(headers), true) = (status, headers, record.whole) else {
        return Err(Failure {
            outcome: Outcome::Ran,
            fault: Fault::None,
            reason: "the call ran before; its answer was too large to record".to_owned(),
            status: StatusCode::CONFLICT,
            load: None,
        });
    };
    let answer = Bytes::from(record.answer);
    let parts = (!answer.is_empty()).then_some(Ok(answer));
    Ok(Reply {
        status,
        headers,
        load: Some(local.gate.load()),
        recorded: true,
        upstream: Duration::ZERO,
        body: stream::iter(parts).boxed(),
    })
}
