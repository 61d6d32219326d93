use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, HeaderValue, header};
use route::Plan;
use types::{Fault, Outcome, Timestamp, Version, id};

use crate::target_stats::InFlight;
use crate::upstream_answer::UpstreamAnswer;
use crate::{Accounts, Answer, Body, BodyError, FailedCall, Failure, content_length};

/// Record of one call, which enters the owners' accounts exactly once. A call that is dropped
/// before its end counts as cancelled.
pub(crate) struct CallRecord {
    accounts: Arc<Accounts>,
    request: id::Request,
    owner: Option<id::Owner>,
    plan: Option<Arc<Plan>>,
    version: Version,
    finished: bool,
}

impl CallRecord {
    pub(crate) fn new(
        accounts: Arc<Accounts>,
        request: id::Request,
        owner: Option<id::Owner>,
        version: Version,
    ) -> Self {
        Self {
            accounts,
            request,
            owner,
            plan: None,
            version,
            finished: false,
        }
    }

    /// Sets the route and returns the call's owner, which is the route's owner when the caller
    /// named none.
    pub(crate) fn set_plan(&mut self, plan: &Arc<Plan>) -> id::Owner {
        self.plan = Some(Arc::clone(plan));
        self.owner.get_or_insert_with(|| plan.owner.clone()).clone()
    }

    /// Records a failure and builds the caller's answer from it.
    pub(crate) fn fail(mut self, failure: Failure) -> Answer {
        self.finish(failure.outcome, &failure.fault, &failure.reason);
        let text = Bytes::from(format!("{failure}\n"));
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        headers.insert(header::CONTENT_LENGTH, text.len().into());
        Answer {
            request: self.request.clone(),
            status: failure.status,
            headers,
            outcome: failure.outcome,
            fault: failure.fault,
            reason: to_header_text(&failure.reason),
            version: self.version,
            upstream_time: None,
            retry_after: failure.retry_after,
            body: Body::from_bytes(text),
        }
    }

    /// Builds the caller's answer from the answer of the upstream. The call ends with the body.
    pub(crate) fn succeed(self, answer: UpstreamAnswer, in_flight: InFlight) -> Answer {
        let (fault, reason) = match &self.plan {
            Some(plan) if answer.status.is_server_error() => (
                Fault::Service(plan.service.clone()),
                format!("upstream answered {}", answer.status.as_u16()),
            ),
            _ if answer.recorded => (Fault::None, "recorded answer".to_owned()),
            _ => (Fault::None, "answered".to_owned()),
        };
        let (request, version) = (self.request.clone(), self.version);
        let upstream_time = Some(answer.upstream_time).filter(|time| !time.is_zero());
        let remaining = content_length(&answer.headers);
        let mut body = TrackedBody {
            chunks: answer.body,
            remaining,
            fault: fault.clone(),
            reason: reason.clone(),
            record: self,
            _in_flight: in_flight,
        };
        if body.remaining == Some(0) {
            body.finish();
        }
        Answer {
            request,
            status: answer.status,
            headers: answer.headers,
            outcome: Outcome::Ran,
            fault,
            reason,
            version,
            upstream_time,
            retry_after: None,
            body: Body::new(stream::unfold(Some(body), next_chunk)),
        }
    }

    /// Records the end of the call.
    fn finish(&mut self, outcome: Outcome, fault: &Fault, reason: &str) {
        self.finished = true;
        let failed = *fault != Fault::None || outcome != Outcome::Ran;
        if failed {
            self.log(outcome, fault, reason);
        }
        let Some(owner) = &self.owner else {
            return;
        };
        if !failed {
            return self.accounts.record_success(owner);
        }
        let failed_call = self.failed_call(outcome, fault, reason);
        if let (Some(plan), Fault::Service(_)) = (&self.plan, fault)
            && plan.service_owner != *owner
        {
            self.accounts
                .record_failure(&plan.service_owner, failed_call.clone());
        }
        self.accounts.record_failure(owner, failed_call);
    }

    fn failed_call(&self, outcome: Outcome, fault: &Fault, reason: &str) -> FailedCall {
        FailedCall {
            time: Timestamp::now(),
            request: self.request.clone(),
            route: self.plan.as_ref().map(|plan| plan.route.clone()),
            service: self.plan.as_ref().map(|plan| plan.service.clone()),
            outcome,
            fault: fault.clone(),
            reason: reason.to_owned(),
            version: self.version,
        }
    }

    fn log(&self, outcome: Outcome, fault: &Fault, reason: &str) {
        let owner = self.owner.as_ref().map_or("", |owner| owner.as_str());
        let service = self.plan.as_ref().map_or("", |plan| plan.service.as_str());
        log::info!(
            request:% = self.request, owner, service, version:% = self.version,
            outcome:%, fault:%, reason; "call failed"
        );
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if let (false, Some(owner)) = (self.finished, &self.owner) {
            self.accounts.record_cancellation(owner);
        }
    }
}

/// Body of an answer, whose end is recorded as the end of the call.
struct TrackedBody {
    chunks: BoxStream<'static, Result<Bytes, BodyError>>,
    /// Bytes still to come, if the length is known.
    remaining: Option<u64>,
    fault: Fault,
    reason: String,
    record: CallRecord,
    _in_flight: InFlight,
}

impl TrackedBody {
    fn finish(&mut self) {
        if !self.record.finished {
            self.record.finish(Outcome::Ran, &self.fault, &self.reason);
        }
    }

    /// Counts the bytes of a chunk. A reader that knows the length may stop at the last byte
    /// without polling for the end of the body, so the call ends with that byte.
    fn count_bytes(&mut self, chunk: &Bytes) {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(chunk.len() as u64);
            if *remaining == 0 {
                self.finish();
            }
        }
    }
}

/// Returns the next chunk of the body; the state is `None` after the end.
async fn next_chunk(
    body: Option<TrackedBody>,
) -> Option<(Result<Bytes, BodyError>, Option<TrackedBody>)> {
    let mut body = body?;
    match body.chunks.next().await {
        Some(Ok(chunk)) => {
            body.count_bytes(&chunk);
            Some((Ok(chunk), Some(body)))
        }
        Some(Err(error)) => {
            let record = &mut body.record;
            if !record.finished {
                record.finish(Outcome::Unknown, &error.fault, &error.to_string());
            }
            Some((Err(error), None))
        }
        None => {
            body.finish();
            None
        }
    }
}

/// Replaces all characters but spaces and printable ASCII, so that the text can be sent in a
/// header.
fn to_header_text(text: &str) -> String {
    text.chars()
        .map(|c| {
            if c == ' ' || c.is_ascii_graphic() {
                c
            } else {
                '?'
            }
        })
        .collect()
}
