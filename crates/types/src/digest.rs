use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

/// Digest of some content: the first 16 bytes of its BLAKE3 hash.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; Digest::LENGTH]);

/// Reason why a text or byte string is not a digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("digest is not {} bytes long or not hexadecimal", Digest::LENGTH)]
pub struct InvalidDigest;

impl Digest {
    /// Length in bytes.
    pub const LENGTH: usize = 16;

    /// Digest of one byte string.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self::of_parts([content])
    }

    /// Digest of several byte strings; each part's length is included, so parts cannot run together.
    #[must_use]
    pub fn of_parts<'a, P>(parts: P) -> Self
    where
        P: IntoIterator<Item = &'a [u8]>,
    {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; Self::LENGTH];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..Self::LENGTH]);
        Self(bytes)
    }

    /// The bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; Self::LENGTH] {
        &self.0
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = InvalidDigest;

    fn try_from(bytes: &[u8]) -> Result<Self, InvalidDigest> {
        bytes.try_into().map(Self).map_err(|_| InvalidDigest)
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        if text.len() != 2 * Self::LENGTH || !text.is_ascii() {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; Self::LENGTH];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(bytes))
    }
}
