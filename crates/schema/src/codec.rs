//! Binary form of messages: `bincode` with variable-length integers.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use thiserror::Error;

/// Largest message, in bytes. It bounds what a decoder allocates for damaged input.
pub const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MESSAGE_LIMIT>> =
    bincode::config::standard().with_limit::<MESSAGE_LIMIT>();

/// Reason why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The message is too large or cannot be represented.
    #[error("encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a message of the expected type.
    #[error("decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes follow the message.
    #[error("decode: {0} bytes after the message")]
    Trailing(usize),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`Error::Encode`] when the message cannot be encoded.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, Error>
where
    M: bincode::Encode,
{
    Ok(bincode::encode_to_vec(message, CONFIG)?)
}

/// Decodes a message that fills `bytes` exactly.
///
/// # Errors
///
/// Returns [`Error::Decode`] for damaged input and [`Error::Trailing`] when bytes are left over.
pub fn decode<M>(bytes: &[u8]) -> Result<M, Error>
where
    M: bincode::Decode<()>,
{
    let (message, used) = bincode::decode_from_slice(bytes, CONFIG)?;
    if used == bytes.len() {
        Ok(message)
    } else {
        Err(Error::Trailing(bytes.len() - used))
    }
}
