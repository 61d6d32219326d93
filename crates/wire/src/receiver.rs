use std::sync::Arc;

use bytes::{Buf, Bytes as Buffer, BytesMut};
use h2::RecvStream;
use h2::client::ResponseFuture;
use http::{HeaderMap, StatusCode};
use schema::codec;
use types::size::Bytes;

use crate::frame::{DATA_FLAG, PREFIX_BYTES};
use crate::liveness::Liveness;
use crate::{Error, Frame, PROTOCOL_HEADER, PROTOCOL_VERSION, Received};

/// Receiving direction of a stream.
pub struct Receiver {
    state: State,
    buffer: BytesMut,
    _guard: StreamGuard,
}

/// Counts a stream as open until the guard is dropped.
struct StreamGuard(Arc<Liveness>);

impl StreamGuard {
    fn new(liveness: &Arc<Liveness>) -> Self {
        liveness.add_stream();
        Self(Arc::clone(liveness))
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.remove_stream();
    }
}

/// State of the receiving direction.
enum State {
    /// The peer has not accepted the stream yet.
    AwaitingResponse(ResponseFuture),
    /// The stream is accepted and data may arrive.
    Accepted(RecvStream),
}

impl Receiver {
    /// Creates the receiver of a stream that this process opened.
    pub(crate) fn with_response(response: ResponseFuture, liveness: &Arc<Liveness>) -> Self {
        Self {
            state: State::AwaitingResponse(response),
            buffer: BytesMut::new(),
            _guard: StreamGuard::new(liveness),
        }
    }

    /// Creates the receiver of a stream that the peer opened.
    pub(crate) fn new(stream: RecvStream, liveness: &Arc<Liveness>) -> Self {
        Self {
            state: State::Accepted(stream),
            buffer: BytesMut::new(),
            _guard: StreamGuard::new(liveness),
        }
    }

    /// Receives the next message, or `None` after a clean end of the stream.
    ///
    /// This method is cancel safe: no data is lost when its future is dropped early.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] or [`Error::ProtocolVersion`] when the peer did not accept the
    /// stream, [`Error::Truncated`] or [`Error::Stream`] when the stream broke off, and
    /// [`Error::UnexpectedData`], [`Error::TooLarge`] or [`Error::Codec`] for invalid input.
    pub async fn recv<M>(&mut self) -> Result<Option<Received<M>>, Error>
    where
        M: bincode::Decode<()>,
    {
        match self.next_frame().await? {
            Some((true, body)) => Err(Error::UnexpectedData(body.len())),
            Some((false, body)) => {
                let message = codec::decode(&body)?;
                let size = Bytes::new((PREFIX_BYTES + body.len()) as u64);
                Ok(Some(Received { message, size }))
            }
            None => Ok(None),
        }
    }

    /// Receives the next message or chunk of plain data, or `None` after a clean end of the stream.
    ///
    /// This method is cancel safe: no data is lost when its future is dropped early.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Receiver::recv`] except [`Error::UnexpectedData`].
    pub async fn recv_frame<M>(&mut self) -> Result<Option<Frame<M>>, Error>
    where
        M: bincode::Decode<()>,
    {
        match self.next_frame().await? {
            Some((true, body)) => Ok(Some(Frame::Data(body))),
            Some((false, body)) => Ok(Some(Frame::Message(codec::decode(&body)?))),
            None => Ok(None),
        }
    }

    /// Waits for a complete frame and returns its content with `true` for plain data.
    async fn next_frame(&mut self) -> Result<Option<(bool, Buffer)>, Error> {
        loop {
            if let Some(frame) = self.parse_frame()? {
                return Ok(Some(frame));
            }
            if !self.fill_buffer().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::Truncated)
                };
            }
        }
    }

    /// Removes the first frame from the buffer if it is complete; `true` for plain data.
    fn parse_frame(&mut self) -> Result<Option<(bool, Buffer)>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let prefix = u32::from_le_bytes(*prefix);
        let length = (prefix & !DATA_FLAG) as usize;
        if length > codec::MESSAGE_LIMIT {
            return Err(Error::TooLarge(length));
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let body = self.buffer.split_to(length).freeze();
        Ok(Some((prefix & DATA_FLAG != 0, body)))
    }

    /// Reads data into the buffer. Returns `false` at a clean end of the stream.
    async fn fill_buffer(&mut self) -> Result<bool, Error> {
        if let State::AwaitingResponse(response) = &mut self.state {
            let (head, stream) = response.await?.into_parts();
            check_response(head.status, &head.headers)?;
            self.state = State::Accepted(stream);
        }
        let State::Accepted(stream) = &mut self.state else {
            return Err(Error::Closed);
        };
        match stream.data().await {
            Some(data) => {
                let data = data?;
                self.buffer.extend_from_slice(&data);
                stream.flow_control().release_capacity(data.len())?;
                Ok(true)
            }
            None => Ok(false),
        }
    }
}

/// Returns an error unless the response to the request of a stream accepts it.
fn check_response(status: StatusCode, headers: &HeaderMap) -> Result<(), Error> {
    if status == StatusCode::OK {
        return Ok(());
    }
    match headers.get(PROTOCOL_HEADER) {
        Some(peer) if status == StatusCode::HTTP_VERSION_NOT_SUPPORTED => {
            Err(Error::ProtocolVersion {
                local: PROTOCOL_VERSION,
                peer: String::from_utf8_lossy(peer.as_bytes()).into_owned(),
            })
        }
        _ => Err(Error::Refused(status.as_u16())),
    }
}
