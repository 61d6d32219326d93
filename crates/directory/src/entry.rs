use std::net::SocketAddr;

use member::{ConversionError, Record};
use schema::{codec, directory as message};
use thiserror::Error;
use types::{Timestamp, id};

use crate::Item;

/// Format of a stored entry, which is the first byte of its value.
const PLAIN_FORMAT: u8 = 1;

/// Format of an entry with the version of the upstream's software.
const VERSIONED_FORMAT: u8 = 2;

/// Entry of a node in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Membership record of the node and the upstream beside it.
    pub record: Record,
    /// Start of the upstream that has departed last.
    pub departed: Option<UpstreamStart>,
    /// Current start of the upstream, which gets the calls.
    pub current: Option<UpstreamStart>,
}

/// One start of an upstream, that is, one run of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    /// Identity of the upstream process.
    pub instance: String,
    /// Time of the start, by the upstream's clock.
    pub started: Timestamp,
    /// Address of the HTTP port; `None` if unknown.
    pub address: Option<SocketAddr>,
}

impl From<&UpstreamStart> for message::UpstreamStart {
    fn from(start: &UpstreamStart) -> Self {
        Self {
            instance: start.instance.clone(),
            started_ms: start.started.get(),
            address: start
                .address
                .map_or_else(String::new, |address| address.to_string()),
        }
    }
}

impl From<message::UpstreamStart> for UpstreamStart {
    fn from(start: message::UpstreamStart) -> Self {
        Self {
            instance: start.instance,
            started: Timestamp::new(start.started_ms),
            address: start.address.parse().ok(),
        }
    }
}

/// Error of decoding an entry.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    #[error("unknown format")]
    Format,
    #[error("{0}")]
    Codec(#[from] codec::Error),
    #[error("{0}")]
    Record(#[from] ConversionError),
    #[error("entry of node `{0}`")]
    OtherNode(id::Node),
    #[error("no node at {0}")]
    Address(SocketAddr),
}

impl Entry {
    /// Whether another entry tells the same about the node and its upstream, from whichever process
    /// of the node.
    pub(crate) fn is_equivalent(&self, other: &Self) -> bool {
        let record = Record {
            incarnation: other.record.incarnation,
            sequence: other.record.sequence,
            ..self.record.clone()
        };
        record == other.record && self.departed == other.departed && self.current == other.current
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        let message = message::Entry {
            record: Some(self.record.to_message(0)),
            departed: self.departed.as_ref().map(Into::into),
            current: self.current.as_ref().map(Into::into),
        };
        let Some(build) = &self.record.build else {
            return Ok([vec![PLAIN_FORMAT], codec::encode(&message)?].concat());
        };
        let message = message::VersionedEntry {
            entry: Some(message),
            build: build.to_string(),
        };
        Ok([vec![VERSIONED_FORMAT], codec::encode(&message)?].concat())
    }

    /// Decodes the entry of the node that the key of an item names.
    pub(crate) fn decode_item(prefix: &str, item: &Item) -> Result<Self, DecodeError> {
        let entry = Self::decode(&item.value)?;
        let record = &entry.record;
        if item.key.strip_prefix(prefix) != Some(record.id.as_str()) {
            return Err(DecodeError::OtherNode(record.id.clone()));
        }
        if record.address.port() == 0 || record.address.ip().is_unspecified() {
            return Err(DecodeError::Address(record.address));
        }
        Ok(entry)
    }

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (message, build) = match bytes {
            [PLAIN_FORMAT, content @ ..] => (codec::decode::<message::Entry>(content)?, None),
            [VERSIONED_FORMAT, content @ ..] => {
                let message: message::VersionedEntry = codec::decode(content)?;
                (
                    message.entry.unwrap_or_default(),
                    message.build.parse().ok(),
                )
            }
            _ => return Err(DecodeError::Format),
        };
        let record = Record::try_from(&message.record.unwrap_or_default())?;
        let current: Option<UpstreamStart> = message.current.map(Into::into);
        Ok(Self {
            record: Record {
                build,
                started: current.as_ref().map(|start| start.started),
                ..record
            },
            departed: message.departed.map(Into::into),
            current,
        })
    }
}
