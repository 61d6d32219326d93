use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use schema::control::message::Kind;
use types::{id, size::Bytes};

/// Direction of a message, seen from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From this node to the peer.
    Sent,
    /// From the peer to this node.
    Received,
}

/// Number and size of the messages of one kind, direction and peer region since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// Kind of message, as the schema names it.
    pub kind: &'static str,
    /// Direction of the messages.
    pub direction: Direction,
    /// Region of the peer; `None` before the peer has named it.
    pub region: Option<id::Region>,
    /// Number of messages.
    pub messages: u64,
    /// Size of the messages with their length prefixes.
    pub bytes: Bytes,
}

type Key = (&'static str, Direction, Option<id::Region>);

/// Counters of sent and received messages.
#[derive(Debug, Default)]
pub(crate) struct Counters(Mutex<BTreeMap<Key, (u64, u64)>>);

impl Counters {
    /// Counts one message.
    pub(crate) fn add(
        &self,
        kind: &'static str,
        direction: Direction,
        region: Option<&id::Region>,
        size: Bytes,
    ) {
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = counters.entry((kind, direction, region.cloned()));
        let (messages, bytes) = counter.or_default();
        *messages += 1;
        *bytes += size.get();
    }

    /// Current totals.
    pub(crate) fn rows(&self) -> Vec<Traffic> {
        let counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = counters
            .iter()
            .map(|((kind, direction, region), count)| Traffic {
                kind,
                direction: *direction,
                region: region.clone(),
                messages: count.0,
                bytes: Bytes::new(count.1),
            });
        rows.collect()
    }
}

/// Name of a message kind in metrics.
pub(crate) const fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Hello(_) => "hello",
        Kind::Welcome(_) => "welcome",
        Kind::Busy(_) => "busy",
        Kind::Update(_) => "update",
        Kind::Resync(_) => "resync",
        Kind::Records(_) => "records",
        Kind::Buckets(_) => "buckets",
        Kind::Held(_) => "held",
        Kind::Heartbeat(_) => "heartbeat",
        Kind::FloorRequest(_) => "floor_request",
        Kind::FloorReply(_) => "floor_reply",
        Kind::Bye(_) => "bye",
    }
}
