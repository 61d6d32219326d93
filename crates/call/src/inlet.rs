use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::HeaderMap;
use route::{Ingress, Refusal, Requirements};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};
use types::rate::Bandwidth;

use crate::content_length;

/// Declared size from which a request body is sent only after the target's node has asked for it.
const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Large bodies that are sent to this instance at the same time. With more, all of them would arrive late;
/// with one, a stalled sender would block the others.
const MAX_CONCURRENT_BODIES: usize = 2;

/// Size of a request body if it is large enough to wait for the go-ahead of the target's node. Both nodes
/// decide by the same header.
pub(crate) fn large_body_size(headers: &HeaderMap) -> Option<u64> {
    content_length(headers).filter(|size| *size >= LARGE_BODY_BYTES)
}

/// Admits large request bodies of other nodes to the link of this instance, a few at a time.
pub(crate) struct Inlet {
    ingress: Mutex<Ingress>,
    permits: Arc<Semaphore>,
}

/// Large body that was admitted. Dropping it makes room for the next one.
pub(crate) struct Arrival {
    inlet: Arc<Inlet>,
    bytes: u64,
    permit: Option<OwnedSemaphorePermit>,
}

impl Inlet {
    pub(crate) fn new(link: Bandwidth) -> Self {
        Self {
            ingress: Mutex::new(Ingress::new(link)),
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)),
        }
    }

    /// Reserves the link for a body that the target is expected to answer `service_time` after it arrived.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call is refused; its body was not sent.
    pub(crate) fn admit(
        self: &Arc<Self>,
        bytes: u64,
        requirements: &Requirements,
        service_time: Duration,
    ) -> Result<Arrival, Refusal> {
        let mut ingress = self.ingress.lock().unwrap_or_else(PoisonError::into_inner);
        ingress.admit(bytes, requirements, service_time, Instant::now())?;
        Ok(Arrival {
            inlet: Arc::clone(self),
            bytes,
            permit: None,
        })
    }
}

impl Arrival {
    /// Waits until it is the body's turn; returns false if the deadline passes first.
    pub(crate) async fn wait_turn(&mut self, requirements: &Requirements) -> bool {
        let acquiring = Arc::clone(&self.inlet.permits).acquire_owned();
        let acquired = timeout_at(requirements.deadline.instant(), acquiring).await;
        // The semaphore is never closed.
        self.permit = acquired.ok().and_then(Result::ok);
        self.permit.is_some()
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let ingress = &self.inlet.ingress;
        let mut ingress = ingress.lock().unwrap_or_else(PoisonError::into_inner);
        ingress.release(self.bytes);
    }
}
