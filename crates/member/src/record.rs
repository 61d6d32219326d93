use std::cmp::Ordering;
use std::net::SocketAddr;

use schema::control;
use thiserror::Error;
use types::{Incarnation, Timestamp, id, size::Slots};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::State;

/// What the mesh knows about one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Id of the node.
    pub id: id::Node,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: id::Region,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Service of the upstream that runs beside the node; `None` without an upstream.
    pub service: Option<id::Service>,
    /// Number of requests that the upstream handles concurrently.
    pub slots: Slots,
    /// Version of the upstream's software; `None` if it is not known. It is published in the platform's
    /// store only.
    pub build: Option<id::Build>,
    /// Start time of the upstream's process, by its own clock; `None` if it is not known. It is
    /// published in the platform's store only.
    pub started: Option<Timestamp>,
    /// State of the node and its upstream.
    pub state: State,
    /// Start time of the node process.
    pub incarnation: Incarnation,
    /// Number of changes to the record since the process started.
    pub sequence: u32,
    /// Parent of the node in the tree of its region.
    pub parent: Option<id::Node>,
    /// Whether the node is the root of its region's tree.
    pub root: bool,
    /// Port of the admin interface, on the IP address of the peer port; `None` when other nodes
    /// cannot reach it.
    pub admin_port: Option<u16>,
}

/// Change of a node's state, sent in place of the whole record when nothing else has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Id of the node.
    pub id: id::Node,
    /// Start time of the node process.
    pub incarnation: Incarnation,
    /// Sequence number of the changed record.
    pub sequence: u32,
    /// State of the changed record.
    pub state: State,
    /// [`Record::content_hash`] of the changed record. The change applies only to a record with the
    /// same hash.
    pub content_hash: u32,
}

/// Reason why a message cannot be converted into a record or a state change.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ConversionError {
    /// An id is not valid.
    #[error("{0}")]
    Id(#[from] id::Invalid),
    /// The address is not an IP address and port.
    #[error("`{0}` is not an IP address and port")]
    Address(String),
    /// The number does not stand for a state.
    #[error("unknown state {0}")]
    State(i32),
}

impl Record {
    /// Creates the first record of a node process, in state [`State::Starting`], without a service
    /// or parent.
    #[must_use]
    pub fn new(
        id: id::Node,
        address: SocketAddr,
        region: id::Region,
        domain: id::Domain,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            id,
            address,
            region,
            domain,
            service: None,
            slots: Slots::default(),
            build: None,
            started: None,
            state: State::Starting,
            incarnation,
            sequence: 0,
            parent: None,
            root: false,
            admin_port: None,
        }
    }

    /// Sets the port of the admin interface.
    #[must_use]
    pub const fn with_admin_port(mut self, port: Option<u16>) -> Self {
        self.admin_port = port;
        self
    }

    /// Address of the admin interface, when other nodes can reach it.
    #[must_use]
    pub fn admin_address(&self) -> Option<SocketAddr> {
        let port = self.admin_port?;
        Some(SocketAddr::new(self.address.ip(), port))
    }

    /// Compares two records of the same node; a merge keeps the greater one.
    ///
    /// Incarnation, sequence and state decide. The hash of the other fields matters only when a
    /// faulty sender gives two records the same sequence; comparing it keeps the result of a merge
    /// independent of the order of arrival.
    #[must_use]
    pub fn precedence(&self, other: &Self) -> Ordering {
        let key = |record: &Self| (record.incarnation, record.sequence, record.state);
        key(self)
            .cmp(&key(other))
            .then_with(|| self.content_hash_64().cmp(&other.content_hash_64()))
    }

    /// Returns `self` with a sequence above that of `reported`, a newer record about this node that
    /// another node or an earlier process has made.
    ///
    /// The incarnation rises as well when that of `reported` is higher, because an earlier process
    /// may have run with a clock that was ahead.
    #[must_use]
    pub fn refute(&self, reported: &Self) -> Self {
        Self {
            incarnation: self.incarnation.max(reported.incarnation),
            sequence: self.sequence.max(reported.sequence).saturating_add(1),
            ..self.clone()
        }
    }

    /// Hash of all fields except incarnation, sequence and state.
    #[must_use]
    pub fn content_hash(&self) -> u32 {
        (self.content_hash_64() >> 32) as u32
    }

    /// State change that turns a record with the same content hash into this one.
    #[must_use]
    pub fn state_change(&self) -> StateChange {
        StateChange {
            id: self.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            content_hash: self.content_hash(),
        }
    }

    /// Converts the record into a message. `gone_s` is the time since the node went down or left,
    /// in seconds; zero for other nodes.
    #[must_use]
    pub fn to_message(&self, gone_s: u32) -> control::Record {
        control::Record {
            id: self.id.to_string(),
            address: self.address.to_string(),
            region: self.region.to_string(),
            domain: self.domain.to_string(),
            service: self
                .service
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            slots: self.slots.get(),
            state: control::State::from(self.state) as i32,
            incarnation: self.incarnation.get(),
            sequence: self.sequence,
            parent: self
                .parent
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            root: self.root,
            gone_s,
            admin_port: self.admin_port.map_or(0, u32::from),
        }
    }

    /// Hash of the whole record.
    pub(crate) fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.content_hash_64().to_le_bytes());
        hasher.update(&self.incarnation.get().to_le_bytes());
        hasher.update(&self.sequence.to_le_bytes());
        hasher.update(&[self.state as u8]);
        hasher.digest()
    }

    fn content_hash_64(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let address = self.address.to_string();
        let texts = [
            self.id.as_str(),
            &address,
            self.region.as_str(),
            self.domain.as_str(),
            self.service.as_ref().map_or("", id::Service::as_str),
            self.parent.as_ref().map_or("", id::Node::as_str),
        ];
        for text in texts {
            // Ids never contain a zero byte, so it separates the fields unambiguously.
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&self.slots.get().to_le_bytes());
        hasher.update(&[u8::from(self.root)]);
        hasher.update(&self.admin_port.unwrap_or(0).to_le_bytes());
        hasher.digest()
    }
}

impl TryFrom<&control::Record> for Record {
    type Error = ConversionError;

    fn try_from(message: &control::Record) -> Result<Self, ConversionError> {
        Ok(Self {
            id: message.id.parse()?,
            address: message
                .address
                .parse()
                .map_err(|_| ConversionError::Address(message.address.clone()))?,
            region: message.region.parse()?,
            domain: message.domain.parse()?,
            service: parse_optional(&message.service)?,
            slots: Slots::new(message.slots),
            build: None,
            started: None,
            state: parse_state(message.state)?,
            incarnation: Incarnation::new(message.incarnation),
            sequence: message.sequence,
            parent: parse_optional(&message.parent)?,
            root: message.root,
            admin_port: u16::try_from(message.admin_port)
                .ok()
                .filter(|port| *port > 0),
        })
    }
}

impl From<&StateChange> for control::Change {
    fn from(change: &StateChange) -> Self {
        Self {
            id: change.id.to_string(),
            incarnation: change.incarnation.get(),
            sequence: change.sequence,
            state: control::State::from(change.state) as i32,
            content: change.content_hash,
        }
    }
}

impl TryFrom<&control::Change> for StateChange {
    type Error = ConversionError;

    fn try_from(message: &control::Change) -> Result<Self, ConversionError> {
        Ok(Self {
            id: message.id.parse()?,
            incarnation: Incarnation::new(message.incarnation),
            sequence: message.sequence,
            state: parse_state(message.state)?,
            content_hash: message.content,
        })
    }
}

/// Computes the priority of a node, by which the nodes of a failure domain are ordered in the tree.
/// The node with the lowest priority is at the top.
#[must_use]
pub fn compute_priority(node: &id::Node) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}

fn parse_state(number: i32) -> Result<State, ConversionError> {
    control::State::try_from(number)
        .map(State::from)
        .map_err(|_| ConversionError::State(number))
}

fn parse_optional<I>(text: &str) -> Result<Option<I>, ConversionError>
where
    I: std::str::FromStr<Err = id::Invalid>,
{
    if text.is_empty() {
        Ok(None)
    } else {
        Ok(Some(text.parse()?))
    }
}
