//! Conversions between the messages of the schema and the types of this crate.

use std::collections::HashMap;

use bytes::Bytes;
use schema::directory::{
    self as schema_type, FollowMessage, HeldValue, KeyChange, Position, Subscription,
    follow_message::Kind, key_change::State,
};
use thiserror::Error;
use types::id;
use xxhash_rust::xxh3::xxh3_64;

use crate::compression;
use crate::difference::{Difference, Segment};
use crate::mirror::LARGE_VALUE_BYTES;
use crate::table::Table;
use crate::{Change, Item, Revision};

/// Largest number of new bytes of a value that is sent to a follower, after compression. A thin link
/// would be busy for seconds with a large configuration for each follower, while the store has a wide
/// one.
const MAX_NEW_BYTES: usize = 32 * 1024;

/// Large values that both ends of a stream have, by key.
pub(crate) type KnownValues = HashMap<String, Bytes>;

/// Reason why a change from another node cannot be applied.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    #[error("`{0}` has to be read from the store")]
    Notice(String),
    #[error("change of `{0}` has no content")]
    Empty(String),
    #[error("difference of `{0}` does not fit to the known value")]
    Difference(String),
    #[error("`{0}` cannot be decompressed: {1}")]
    Compression(String, std::io::Error),
}

pub(crate) fn wrap(kind: Kind) -> FollowMessage {
    FollowMessage { kind: Some(kind) }
}

/// Builds the first message of a node that follows another one.
pub(crate) fn encode_subscription<'a, T>(node: &id::Node, tables: T, whole: bool) -> FollowMessage
where
    T: Iterator<Item = (&'a Table, &'a KnownValues)>,
{
    let positions = tables.map(|(table, known)| Position {
        prefix: table.prefix.clone(),
        revision: table.revision().unwrap_or_default().0,
        held: known
            .iter()
            .map(|(key, value)| HeldValue {
                key: key.clone(),
                hash: xxh3_64(value),
            })
            .collect(),
    });
    wrap(Kind::Subscription(Subscription {
        node: node.to_string(),
        positions: positions.collect(),
        whole,
    }))
}

/// Encodes a change for a node that has the `known` values, and adds the value to them. With `whole`,
/// a large value is sent as a whole rather than not at all.
pub(crate) fn encode_change(
    table: &Table,
    change: Change,
    known: &mut KnownValues,
    whole: bool,
) -> KeyChange {
    let (key, state) = match change {
        Change::Removed(key) => {
            known.remove(&key);
            (key, State::Absence(schema_type::Absence {}))
        }
        Change::Put(item) if item.value.len() < LARGE_VALUE_BYTES => {
            known.remove(&item.key);
            (item.key, State::Value(item.value.to_vec()))
        }
        Change::Put(item) => {
            let base = known.insert(item.key.clone(), item.value.clone());
            let state = encode_large_value(table, base.as_ref(), &item.value, whole);
            (item.key, state)
        }
    };
    KeyChange {
        key,
        state: Some(state),
    }
}

fn encode_large_value(table: &Table, base: Option<&Bytes>, value: &Bytes, whole: bool) -> State {
    let difference = base.map(|base| table.compute_difference(base, value));
    match difference {
        Some(difference) if difference.literal_bytes() <= MAX_NEW_BYTES.min(value.len() / 2) => {
            State::Difference(encode_difference(&difference))
        }
        _ => {
            let compressed = table.compress(value);
            if whole || compressed.len() <= MAX_NEW_BYTES {
                State::Compressed(compressed.to_vec())
            } else {
                State::Notice(schema_type::Notice {})
            }
        }
    }
}

/// Decodes a change, and adds its value to the `known` ones.
pub(crate) fn decode_change(
    change: KeyChange,
    known: &mut KnownValues,
) -> Result<Change, DecodeError> {
    let key = change.key;
    let value = match change.state {
        None => return Err(DecodeError::Empty(key)),
        Some(State::Notice(_)) => return Err(DecodeError::Notice(key)),
        Some(State::Absence(_)) => {
            known.remove(&key);
            return Ok(Change::Removed(key));
        }
        Some(State::Value(value)) => Bytes::from(value),
        Some(State::Compressed(compressed)) => match compression::decompress(&compressed) {
            Ok(value) => Bytes::from(value),
            Err(error) => return Err(DecodeError::Compression(key, error)),
        },
        Some(State::Difference(difference)) => {
            let base = known.get(&key);
            let value = base.and_then(|base| decode_difference(difference).apply(base));
            let Some(value) = value else {
                return Err(DecodeError::Difference(key));
            };
            Bytes::from(value)
        }
    };
    if value.len() < LARGE_VALUE_BYTES {
        known.remove(&key);
    } else {
        known.insert(key.clone(), value.clone());
    }
    Ok(Change::Put(Item {
        key,
        value,
        revision: Revision::default(),
        lease: None,
    }))
}

fn encode_difference(difference: &Difference) -> schema_type::Difference {
    // Offsets and lengths are below the limit of a message.
    let number = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    let segments = difference.segments.iter().map(|segment| match segment {
        Segment::Copy { offset, length } => schema_type::Segment {
            offset: number(*offset),
            length: number(*length),
            literal: Vec::new(),
        },
        Segment::Literal(bytes) => schema_type::Segment {
            offset: 0,
            length: 0,
            literal: bytes.clone(),
        },
    });
    schema_type::Difference {
        base: difference.base,
        hash: difference.hash,
        segments: segments.collect(),
    }
}

fn decode_difference(difference: schema_type::Difference) -> Difference {
    let segments = difference.segments.into_iter().map(|segment| {
        if segment.length == 0 {
            Segment::Literal(segment.literal)
        } else {
            Segment::Copy {
                offset: segment.offset as usize,
                length: segment.length as usize,
            }
        }
    });
    Difference {
        base: difference.base,
        hash: difference.hash,
        segments: segments.collect(),
    }
}
