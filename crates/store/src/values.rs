//! Form of the values: one format byte followed by a message of the schema.

use bincode::{Decode, Encode};
use schema::codec;
use thiserror::Error;

/// Format of the values that this version writes.
pub const FORMAT: u8 = 1;

/// Reason why bytes are not a value.
#[derive(Debug, Error)]
pub enum Error {
    /// The value has another format; a newer version wrote it.
    #[error("value has format {0}, expected {FORMAT}")]
    Format(u8),
    /// The value has no format byte.
    #[error("value is empty")]
    Empty,
    /// The message cannot be written or read.
    #[error("value: {0}")]
    Codec(#[from] codec::Error),
}

/// Encodes a message as a value.
///
/// # Errors
///
/// Returns [`Error::Codec`] when the message cannot be encoded.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, Error>
where
    M: Encode,
{
    let mut value = vec![FORMAT];
    value.extend(codec::encode(message)?);
    Ok(value)
}

/// Decodes a value.
///
/// # Errors
///
/// Returns an error when the value has another format or is damaged.
pub fn decode<M>(value: &[u8]) -> Result<M, Error>
where
    M: Decode<()>,
{
    match value.split_first() {
        Some((&FORMAT, message)) => Ok(codec::decode(message)?),
        Some((&format, _)) => Err(Error::Format(format)),
        None => Err(Error::Empty),
    }
}
