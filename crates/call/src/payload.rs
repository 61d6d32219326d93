use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::stream::{self, StreamExt};

use crate::RequestBody;

/// Size up to which a request body is buffered, so that the call can be repeated and a slow caller
/// does not occupy a slot.
const BUFFER_LIMIT_BYTES: usize = 64 * 1024;

/// Request body, whose first part is buffered and whose rest, if any, is streamed.
#[derive(Clone)]
pub(crate) struct Payload {
    chunks: Arc<[Bytes]>,
    /// `None` if the whole body is buffered; the inner option is `None` once the rest has been
    /// taken.
    rest: Option<Arc<Mutex<Option<RequestBody>>>>,
}

impl Payload {
    /// Reads a body up to its end or up to [`BUFFER_LIMIT_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns the error of the body when the caller aborted it.
    pub(crate) async fn read(mut body: RequestBody) -> Result<Self, io::Error> {
        let mut chunks = Vec::new();
        let mut length = 0;
        while length < BUFFER_LIMIT_BYTES {
            match body.next().await {
                Some(chunk) => {
                    let chunk = chunk?;
                    length += chunk.len();
                    chunks.push(chunk);
                }
                None => {
                    return Ok(Self {
                        chunks: chunks.into(),
                        rest: None,
                    });
                }
            }
        }
        Ok(Self {
            chunks: chunks.into(),
            rest: Some(Arc::new(Mutex::new(Some(body)))),
        })
    }

    /// Whether the body can still be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        self.rest.as_ref().is_none_or(|rest| {
            rest.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some()
        })
    }

    /// Chunks of a body that is buffered completely; `None` if it is longer.
    pub(crate) fn buffered(&self) -> Option<&[Bytes]> {
        self.rest.is_none().then_some(&self.chunks)
    }

    /// Streams the body from its start. The rest of a long body is taken when its buffered part has
    /// been sent, so a call that is refused before that can be repeated.
    pub(crate) fn stream(&self) -> RequestBody {
        let chunks = Arc::clone(&self.chunks);
        let count = chunks.len();
        let first = stream::iter((0..count).map(move |index| Ok(chunks[index].clone())));
        match self.rest.clone() {
            None => first.boxed(),
            Some(rest) => {
                let rest = stream::once(async move { take_rest(&rest) }).flatten();
                first.chain(rest).boxed()
            }
        }
    }
}

fn take_rest(rest: &Mutex<Option<RequestBody>>) -> RequestBody {
    let taken = rest.lock().unwrap_or_else(PoisonError::into_inner).take();
    taken.unwrap_or_else(|| {
        let error = io::Error::other("body was sent before");
        stream::once(async move { Err(error) }).boxed()
    })
}
