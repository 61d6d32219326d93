use types::size::Bytes;

/// A message as it came from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<M> {
    /// The message.
    pub message: M,
    /// Size on the stream, the length prefix included.
    pub size: Bytes,
}

/// Length of the prefix, in bytes.
pub(crate) const PREFIX: usize = 4;
