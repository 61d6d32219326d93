use std::fmt::{self, Debug, Formatter};

/// Digest of an API key.
///
/// Keys are compared and looked up by digest only, so that neither a copy of the configuration in memory
/// nor the time of a comparison tells anything about a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key([u8; blake3::OUT_LEN]);

impl Key {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(*blake3::hash(text.as_bytes()).as_bytes())
    }
}

impl Debug for Key {
    /// Writes nothing of the digest, which could confirm a guessed key.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}
