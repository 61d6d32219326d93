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

use crate::difference::{Difference, Segment};
use crate::mirror::LARGE_VALUE_BYTES;
use crate::table::Table;
use crate::{Change, Item, Revision};

/// Large values that both ends of a stream have, by key.
pub(crate) type KnownValues = HashMap<String, Bytes>;

/// Reason why a change from another node cannot be applied.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    #[error("change of `{0}` has no content")]
    Empty(String),
    #[error("difference of `{0}` does not fit to the known value")]
    Difference(String),
}

pub(crate) fn wrap(kind: Kind) -> FollowMessage {
    FollowMessage { kind: Some(kind) }
}

/// Builds the first message of a node that follows another one.
pub(crate) fn encode_subscription<'a, T>(node: &id::Node, tables: T) -> FollowMessage
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
    }))
}

/// Encodes a change for a node that has the `known` values, and adds the value to them.
pub(crate) fn encode_change(table: &Table, change: Change, known: &mut KnownValues) -> KeyChange {
    let item = match change {
        Change::Put(item) => item,
        Change::Removed(key) => {
            known.remove(&key);
            return KeyChange {
                key,
                state: Some(State::Absence(schema_type::Absence {})),
            };
        }
    };
    let state = if item.value.len() < LARGE_VALUE_BYTES {
        known.remove(&item.key);
        State::Value(item.value.to_vec())
    } else {
        let base = known.insert(item.key.clone(), item.value.clone());
        let difference = base.map(|base| table.compute_difference(&base, &item.value));
        match difference {
            Some(difference) if difference.literal_bytes() * 2 < item.value.len() => {
                State::Difference(encode_difference(&difference))
            }
            _ => State::Value(item.value.to_vec()),
        }
    };
    KeyChange {
        key: item.key,
        state: Some(state),
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
        Some(State::Absence(_)) => {
            known.remove(&key);
            return Ok(Change::Removed(key));
        }
        Some(State::Value(value)) => Bytes::from(value),
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
