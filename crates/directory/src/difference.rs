use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

/// Byte at which a value may be split. Each object of a JSON document starts with it, so objects that
/// are equal in both values are found at any position.
const SEPARATOR: u8 = b'{';

/// Part of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Bytes of the older value.
    Copy {
        /// Position of the first byte in the older value.
        offset: usize,
        /// Number of bytes.
        length: usize,
    },
    /// New bytes.
    Literal(Vec<u8>),
}

/// Difference between two versions of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Hash of the older value.
    pub base: u64,
    /// Hash of the newer value.
    pub hash: u64,
    /// Parts of the newer value, in order.
    pub segments: Vec<Segment>,
}

impl Difference {
    /// Computes the difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut offsets = HashMap::new();
        let mut offset = 0;
        for piece in split(old) {
            offsets.entry(piece).or_insert(offset);
            offset += piece.len();
        }
        let mut segments: Vec<Segment> = Vec::new();
        for piece in split(new) {
            match (segments.last_mut(), offsets.get(piece)) {
                (Some(Segment::Copy { offset, length }), _)
                    if old[*offset + *length..].starts_with(piece) =>
                {
                    *length += piece.len();
                }
                (_, Some(offset)) => segments.push(Segment::Copy {
                    offset: *offset,
                    length: piece.len(),
                }),
                (Some(Segment::Literal(bytes)), None) => bytes.extend_from_slice(piece),
                (_, None) => segments.push(Segment::Literal(piece.to_vec())),
            }
        }
        Self {
            base: xxh3_64(old),
            hash: xxh3_64(new),
            segments,
        }
    }

    /// Builds the newer value from the older one; `None` when the difference does not fit to it.
    #[must_use]
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::with_capacity(old.len());
        for segment in &self.segments {
            match segment {
                Segment::Copy { offset, length } => {
                    let end = offset.checked_add(*length)?;
                    // A difference without end would exhaust the memory.
                    if new.len() > schema::codec::MESSAGE_LIMIT {
                        return None;
                    }
                    new.extend_from_slice(old.get(*offset..end)?);
                }
                Segment::Literal(bytes) => new.extend_from_slice(bytes),
            }
        }
        (xxh3_64(&new) == self.hash).then_some(new)
    }

    /// Number of new bytes.
    #[must_use]
    pub fn literal_bytes(&self) -> usize {
        let literals = self.segments.iter().map(|segment| match segment {
            Segment::Copy { .. } => 0,
            Segment::Literal(bytes) => bytes.len(),
        });
        literals.sum()
    }
}

/// Splits a value before each separator.
fn split(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = value;
    std::iter::from_fn(move || {
        let end = rest
            .iter()
            .skip(1)
            .position(|byte| *byte == SEPARATOR)
            .map_or(rest.len(), |position| position + 1);
        let (piece, remaining) = rest.split_at(end);
        rest = remaining;
        (!piece.is_empty()).then_some(piece)
    })
}
