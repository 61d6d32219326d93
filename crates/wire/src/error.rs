use std::io;

use thiserror::Error;

/// Reason why a connection or stream failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be established. Nothing was sent.
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The deadline passed before the connection was established. Nothing was sent.
    #[error("connect: deadline passed")]
    ConnectDeadline,
    /// The peer uses a different protocol version.
    #[error("protocol version {peer} of the peer differs from {local}")]
    ProtocolVersion {
        /// Version of this process.
        local: u32,
        /// Version of the peer.
        peer: String,
    },
    /// The peer refused the stream.
    #[error("stream refused with status {0}")]
    Refused(u16),
    /// The stream or its connection failed.
    #[error("stream: {0}")]
    Stream(#[from] h2::Error),
    /// The stream ended inside a frame.
    #[error("stream ended inside a frame")]
    Truncated,
    /// The content of a frame is larger than the limit for a message.
    #[error("frame of {0} bytes is over the limit")]
    TooLarge(usize),
    /// A frame of plain data arrived where a message was expected.
    #[error("frame of {0} bytes of data in place of a message")]
    UnexpectedData(usize),
    /// A message could not be encoded or decoded.
    #[error("{0}")]
    Codec(#[from] schema::codec::Error),
    /// The connection, or the sending direction of the stream, is closed.
    #[error("stream is closed")]
    Closed,
}

impl Error {
    /// Whether the error alone proves that the peer's application got no message of the stream.
    #[must_use]
    pub fn is_unprocessed(&self) -> bool {
        match self {
            Self::Connect(_)
            | Self::ConnectDeadline
            | Self::ProtocolVersion { .. }
            | Self::Refused(_) => true,
            Self::Stream(error) => error.reason() == Some(h2::Reason::REFUSED_STREAM),
            _ => false,
        }
    }
}
