use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, StatusCode};
use route::Load;
use tokio::time::timeout_at;
use types::Fault;

use crate::routed_call::RoutedCall;
use crate::{BodyError, Failure};

/// Time after the deadline for the first bytes of a body whose head arrived just before it.
const BODY_START_GRACE: Duration = Duration::from_millis(100);

/// Answer of an upstream as it passes through the mesh. Dropping it cancels the call.
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) load: Option<Load>,
    /// Whether the answer was recorded by an earlier run under the same idempotency key.
    pub(crate) recorded: bool,
    /// Time from sending the request to the upstream until the head of its answer; zero for a
    /// recorded one.
    pub(crate) upstream_time: Duration,
    pub(crate) body: BoxStream<'static, Result<Bytes, BodyError>>,
}

impl UpstreamAnswer {
    /// Waits for the first chunk of the body, so that an answer that breaks off or stalls before it
    /// becomes a failure, which can be repeated or reported to the caller. A bulk answer may wait for the
    /// link of its target, so it is passed on when the deadline passes, and delivered late.
    ///
    /// # Errors
    ///
    /// Returns a failure with an unknown outcome when the answer breaks off or the deadline passes.
    pub(crate) async fn wait_body(mut self, call: &RoutedCall) -> Result<Self, Failure> {
        let mut deadline = call.deadline.instant();
        if !call.bulk {
            deadline += BODY_START_GRACE;
        }
        let first = timeout_at(deadline, self.body.next()).await;
        let (fault, status, reason) = match first {
            Ok(Some(Ok(chunk))) => {
                let first = stream::once(async { Ok(chunk) });
                self.body = first.chain(self.body).boxed();
                return Ok(self);
            }
            Ok(None) => {
                self.body = stream::empty().boxed();
                return Ok(self);
            }
            Ok(Some(Err(error))) => (error.fault, StatusCode::BAD_GATEWAY, error.reason),
            Err(_) if call.bulk => return Ok(self),
            Err(_) => {
                let reason = "deadline passed before the body began".to_owned();
                (Fault::Mesh, StatusCode::GATEWAY_TIMEOUT, reason)
            }
        };
        let failure = Failure::unknown(fault, status, reason);
        Err(Failure {
            load: self.load,
            ..failure
        })
    }
}
