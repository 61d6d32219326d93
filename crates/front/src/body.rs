use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

/// Reason why an answer breaks off. The connection is closed without a proper end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aborted(pub String);

impl Display for Aborted {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "answer broken off: {}", self.0)
    }
}

impl std::error::Error for Aborted {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// Body that is in memory.
#[must_use]
pub fn whole<B>(content: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body that comes in pieces. An error breaks the answer off.
#[must_use]
pub fn stream<S>(pieces: S) -> Body
where
    S: Stream<Item = Result<Bytes, Aborted>> + Send + 'static,
{
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}
