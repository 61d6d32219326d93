use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, SizeHint};

/// Reason why a response is aborted. The connection is closed without completing the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aborted(pub String);

impl Display for Aborted {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "response aborted: {}", self.0)
    }
}

impl std::error::Error for Aborted {}

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// Creates a body from content in memory.
#[must_use]
pub fn full<B>(content: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body from a stream of chunks. An error aborts the response.
#[must_use]
pub fn stream<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, Aborted>> + Send + 'static,
{
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Body that owns a guard, which is dropped with it.
pub(crate) struct GuardedBody<G> {
    body: Body,
    /// Error of the body, until the bytes before it have been flushed.
    error: Option<Aborted>,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) const fn new(body: Body, guard: G) -> Self {
        Self {
            body,
            error: None,
            _guard: guard,
        }
    }
}

impl<G> hyper::body::Body for GuardedBody<G>
where
    G: Unpin,
{
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                // The connection drops what it has not flushed when the body fails, the head included.
                // It flushes when the body is pending.
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
