use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::{self, BoxStream, Stream, StreamExt};

use crate::BodyError;

/// Body of an answer. It ends with an error when the answer was interrupted.
pub struct Body(BoxStream<'static, Result<Bytes, BodyError>>);

impl Body {
    /// Creates a body from a stream.
    #[must_use]
    pub fn new<S>(stream: S) -> Self
    where
        S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
    {
        Self(stream.boxed())
    }

    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn from_bytes(content: Bytes) -> Self {
        Self::new(stream::iter((!content.is_empty()).then_some(Ok(content))))
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] when the answer was interrupted.
    pub async fn read_to_end(mut self) -> Result<Vec<u8>, BodyError> {
        let mut content = Vec::new();
        while let Some(part) = self.0.next().await {
            content.extend_from_slice(&part?);
        }
        Ok(content)
    }
}

impl Stream for Body {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next_unpin(context)
    }
}
