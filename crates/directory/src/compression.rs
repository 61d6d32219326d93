//! Compression of large values that are sent to other nodes.

use std::io::{self, Read};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};

/// Largest value, that of a message.
const MAX_VALUE_BYTES: usize = schema::codec::MESSAGE_LIMIT;

/// Compresses a value. Configurations repeat their keys, so the fast level suffices.
pub(crate) fn compress(value: &[u8]) -> Bytes {
    let mut compressed = Vec::new();
    let read = ZlibEncoder::new(value, Compression::fast()).read_to_end(&mut compressed);
    debug_assert!(read.is_ok(), "reading from memory cannot fail");
    Bytes::from(compressed)
}

/// Decompresses a value.
///
/// # Errors
///
/// Returns an error when the bytes are invalid or the value is larger than a message.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let limit = MAX_VALUE_BYTES as u64 + 1;
    let mut value = Vec::new();
    ZlibDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(io::Error::other("value is too large"));
    }
    Ok(value)
}
