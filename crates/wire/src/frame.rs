use bytes::Bytes as Buffer;
use types::size::Bytes;

/// A received message with its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received<M> {
    /// The message.
    pub message: M,
    /// Size on the stream, including the length prefix.
    pub size: Bytes,
}

/// Size of the little-endian length prefix of a frame.
pub(crate) const PREFIX_BYTES: usize = 4;

/// Bit of the prefix that marks a frame of plain data, as opposed to an encoded message.
pub(crate) const DATA_FLAG: u32 = 1 << 31;

/// Content of a frame on a stream that carries messages and plain data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame<M> {
    /// A message.
    Message(M),
    /// Plain data, such as a chunk of a body.
    Data(Buffer),
}
