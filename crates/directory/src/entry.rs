use std::net::SocketAddr;

use member::{ConversionError, Record};
use schema::{codec, directory as message};
use thiserror::Error;
use types::{Timestamp, id};

use crate::Item;

/// Format version of a stored entry, which is the first byte of its value.
const FORMAT_VERSION: u8 = 1;

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
    #[error("format version is not {FORMAT_VERSION}")]
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
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(codec::encode(&message)?);
        Ok(bytes)
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
        let [FORMAT_VERSION, content @ ..] = bytes else {
            return Err(DecodeError::Format);
        };
        let message: message::Entry = codec::decode(content)?;
        Ok(Self {
            record: Record::try_from(&message.record.unwrap_or_default())?,
            departed: message.departed.map(Into::into),
            current: message.current.map(Into::into),
        })
    }
}
