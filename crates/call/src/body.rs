use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::{self, BoxStream, Stream, StreamExt};

use crate::Cut;

/// Body of an answer. It ends with an error when the answer broke off.
pub struct Body(BoxStream<'static, Result<Bytes, Cut>>);

impl Body {
    /// Creates a body from a stream.
    #[must_use]
    pub fn new<S>(stream: S) -> Self
    where
        S: Stream<Item = Result<Bytes, Cut>> + Send + 'static,
    {
        Self(stream.boxed())
    }

    /// Creates a body that is in memory.
    #[must_use]
    pub fn whole(content: Bytes) -> Self {
        Self::new(stream::iter((!content.is_empty()).then_some(Ok(content))))
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Cut`] when the answer broke off.
    pub async fn read(mut self) -> Result<Vec<u8>, Cut> {
        let mut content = Vec::new();
        while let Some(part) = self.0.next().await {
            content.extend_from_slice(&part?);
        }
        Ok(content)
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Cut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next_unpin(context)
    }
}
