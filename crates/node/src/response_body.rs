use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use call::{Answer, Body};
use futures::StreamExt;
use futures::future::BoxFuture;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;
use types::{Fault, Outcome};

use crate::limiter::Permit;
use crate::{Connection, Metrics};

/// Streams the body of an answer to the caller.
///
/// It also drives the forwarding of the rest of the request body, and ends when the caller
/// disconnects. When the answer is truncated, it aborts the caller's connection before it reports
/// the error.
pub struct ResponseBody<'r> {
    body: Body,
    chunk: Bytes,
    /// Bytes that the caller still expects, if the length is known.
    remaining: Option<u64>,
    forwarding: Option<BoxFuture<'r, ()>>,
    closed: BoxFuture<'static, ()>,
    call: ActiveCall,
}

/// A call that counts as in flight until its answer is delivered.
pub struct ActiveCall {
    pub connection: Arc<Connection>,
    pub metrics: Arc<Metrics>,
    pub _permit: Permit,
    /// Time at which the request reached its handler.
    pub started_at: Instant,
    /// Result of the call, counted when the call is dropped.
    pub result: (Outcome, Fault),
}

impl<'r> ResponseBody<'r> {
    /// Creates the stream of `body`, of which the caller expects `length` bytes if that is known.
    /// `forwarding` forwards the rest of the request body.
    #[must_use]
    pub fn new(
        body: Body,
        length: Option<u64>,
        forwarding: Option<BoxFuture<'r, ()>>,
        call: ActiveCall,
    ) -> Self {
        let connection = Arc::clone(&call.connection);
        Self {
            body,
            chunk: Bytes::new(),
            remaining: length,
            forwarding,
            closed: Box::pin(async move { connection.wait_closed().await }),
            call,
        }
    }

    /// Reads and discards a body that the caller does not receive, such as that of `HEAD`.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.body.next().await {}
    }

    /// Polls for the next chunk; false at the end of a complete body.
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if let Some(forwarding) = &mut self.forwarding
            && forwarding.as_mut().poll(context).is_ready()
        {
            self.forwarding = None;
        }
        // A caller that has received every byte may disconnect before the end of the body is polled.
        let is_delivered = self.remaining == Some(0);
        if !is_delivered && self.closed.as_mut().poll(context).is_ready() {
            self.call.result = (Outcome::Unknown, Fault::Caller);
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        match ready!(self.body.poll_next_unpin(context)) {
            Some(Ok(chunk)) => {
                if let Some(remaining) = &mut self.remaining {
                    *remaining = remaining.saturating_sub(chunk.len() as u64);
                }
                self.chunk = chunk;
                Poll::Ready(Ok(true))
            }
            Some(Err(error)) => {
                self.call.connection.abort();
                self.call.result = (Outcome::Unknown, error.fault.clone());
                Poll::Ready(Err(io::Error::other(error)))
            }
            None => Poll::Ready(Ok(false)),
        }
    }
}

impl AsyncRead for ResponseBody<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.chunk.is_empty() {
            if !ready!(self.poll_chunk(context))? {
                return Poll::Ready(Ok(()));
            }
        }
        let length = self.chunk.len().min(buffer.remaining());
        buffer.put_slice(&self.chunk[..length]);
        self.chunk.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl ActiveCall {
    /// Records the result of the call from the head of its answer.
    pub fn record_answer(&mut self, answer: &Answer) {
        if let Some(upstream) = answer.upstream_time {
            let added = self.started_at.elapsed().saturating_sub(upstream);
            self.metrics.observe_added_latency(added);
        }
        self.result = (answer.outcome, answer.fault.clone());
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let (outcome, fault) = &self.result;
        self.metrics.count_call(*outcome, fault);
    }
}
