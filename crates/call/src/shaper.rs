use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{BoxStream, StreamExt};
use route::{Egress, Refusal, Requirements};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, SemaphorePermit, mpsc};
use tokio::time::{Instant, sleep_until};
use tokio_stream::wrappers::ReceiverStream;
use types::rate::Bandwidth;

use crate::BodyError;

/// Large answers that are sent concurrently. With more, all of them would end late; with one, a
/// stalled receiver would block the others.
const MAX_CONCURRENT_ANSWERS: usize = 2;

/// Largest chunk of a large answer that is sent at once. Small answers wait until it has been sent.
pub(crate) const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks of an answer that are read ahead, so that the answer does not occupy a slot of the
/// upstream while it waits for the link.
const READ_AHEAD_CHUNKS: usize = 128;

/// Bytes of an answer that are read ahead. An upstream may send a body without end.
const READ_AHEAD_BYTES: usize = 1024 * 1024;

/// Traffic shaper for the large answers that share the link of this instance.
pub(crate) struct Shaper {
    egress: Mutex<Egress>,
    send_permits: Semaphore,
}

/// Time on the link reserved for one large answer. Dropping it releases what is left.
pub(crate) struct Reservation {
    shaper: Arc<Shaper>,
    /// Bytes that are reserved and have not been sent.
    remaining_bytes: u64,
}

impl Shaper {
    pub(crate) fn new(link: Bandwidth) -> Self {
        Self {
            egress: Mutex::new(Egress::new(link, Instant::now())),
            send_permits: Semaphore::new(MAX_CONCURRENT_ANSWERS),
        }
    }

    /// Reserves time on the link for the answer to a call that the target is expected to answer
    /// after `service_time`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call is refused; it has not run.
    pub(crate) fn admit(
        self: &Arc<Self>,
        requirements: &Requirements,
        service_time: Duration,
    ) -> Result<Reservation, Refusal> {
        let remaining_bytes = self
            .lock()
            .admit(requirements, service_time, Instant::now())?;
        Ok(Reservation {
            shaper: Arc::clone(self),
            remaining_bytes,
        })
    }

    /// Waits until an answer may be sent. Permits are granted in first-come, first-served order.
    pub(crate) async fn acquire_send_permit(&self) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.send_permits.acquire().await.ok()
    }

    /// Time that the link needs for all reserved bytes.
    pub(crate) fn drain_time(&self) -> Duration {
        self.lock().drain_time()
    }

    fn lock(&self) -> MutexGuard<'_, Egress> {
        self.egress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Adjusts the reservation to the actual size of the answer.
    pub(crate) fn set_size(&mut self, size: u64) {
        self.shaper.lock().record_size(self.remaining_bytes, size);
        self.remaining_bytes = size;
    }

    /// The shaper that the reservation belongs to.
    pub(crate) fn shaper(&self) -> Arc<Shaper> {
        Arc::clone(&self.shaper)
    }

    /// Waits until the link has capacity for a chunk of `size` bytes.
    pub(crate) async fn pace(&mut self, size: usize) {
        let size = size as u64;
        let free_at = {
            let mut egress = self.shaper.lock();
            egress.release(self.remaining_bytes);
            self.remaining_bytes = self.remaining_bytes.saturating_sub(size);
            egress.reserve(self.remaining_bytes);
            egress.schedule_chunk(size, Instant::now())
        };
        sleep_until(free_at).await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shaper.lock().release(self.remaining_bytes);
    }
}

/// Reads an answer ahead of sending it. Dropping the result cancels the call.
pub(crate) fn read_ahead(
    mut chunks: BoxStream<'static, Result<Bytes, BodyError>>,
) -> BoxStream<'static, Result<Bytes, BodyError>> {
    let (sender, receiver) = mpsc::channel(READ_AHEAD_CHUNKS);
    let budget = Arc::new(Semaphore::new(READ_AHEAD_BYTES));
    tokio::spawn(async move {
        loop {
            let chunk = tokio::select! {
                chunk = chunks.next() => chunk,
                () = sender.closed() => return,
            };
            let Some(chunk) = chunk else { return };
            let permit = tokio::select! {
                permit = reserve(&budget, &chunk) => permit,
                () = sender.closed() => return,
            };
            if sender.send((chunk, permit)).await.is_err() {
                return;
            }
        }
    });
    ReceiverStream::new(receiver)
        .map(|(chunk, _)| chunk)
        .boxed()
}

/// Waits until a chunk fits into the read-ahead buffer.
async fn reserve(
    budget: &Arc<Semaphore>,
    chunk: &Result<Bytes, BodyError>,
) -> Option<OwnedSemaphorePermit> {
    let size = chunk.as_ref().map_or(0, Bytes::len).min(READ_AHEAD_BYTES);
    let size = u32::try_from(size).unwrap_or(u32::MAX);
    // The semaphore is never closed.
    Arc::clone(budget).acquire_many_owned(size).await.ok()
}
