//! Forwards request bodies from the HTTP server to the call path.

use std::io;

use bytes::{Bytes, BytesMut};
use call::RequestBody;
use futures::StreamExt;
use rocket::Data;
use rocket::data::ToByteUnit;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use types::size;

/// Largest chunk of a body, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks that may wait for the call path.
const CHANNEL_CAPACITY: usize = 4;

/// Chunk of a body, or how the body ended.
enum Event {
    Data(Bytes),
    End,
    Failed(io::Error),
}

/// Forwards a request body to the call path.
pub struct Forwarder(mpsc::Sender<Event>);

/// Creates a body and the forwarder that fills it.
///
/// The body ends without an error only after the forwarder has read the whole request. When the
/// forwarder is dropped earlier, the body ends with an error, so that a truncated request is never
/// taken for a complete one.
#[must_use]
pub fn channel() -> (Forwarder, RequestBody) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let upload = futures::stream::unfold(Some(receiver), |state| async {
        let mut receiver = state?;
        match receiver.recv().await {
            Some(Event::Data(data)) => Some((Ok(data), Some(receiver))),
            Some(Event::End) => None,
            Some(Event::Failed(error)) => Some((Err(error), None)),
            None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        }
    });
    (Forwarder(sender), upload.boxed())
}

impl Forwarder {
    /// Forwards the request body to its end; a body longer than `limit` ends with an error.
    pub async fn run(self, data: Data<'_>, limit: size::Bytes) {
        let last = match self.copy(data, limit.get()).await {
            Ok(()) => Event::End,
            Err(error) => Event::Failed(error),
        };
        // The send fails when the call path has dropped the body because it no longer needs it.
        let _ = self.0.send(last).await;
    }

    async fn copy(&self, data: Data<'_>, limit: u64) -> io::Result<()> {
        // The reader ends at its limit without an error, so one more byte detects a longer body.
        let mut reader = data.open(limit.saturating_add(1).bytes());
        let mut total = 0;
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            let read = reader.read_buf(&mut chunk).await?;
            total += read as u64;
            if read == 0 {
                return Ok(());
            }
            if total > limit {
                return Err(io::Error::other("request body is over the limit"));
            }
            if self.0.send(Event::Data(chunk.freeze())).await.is_err() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
    }
}
