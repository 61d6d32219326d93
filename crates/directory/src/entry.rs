use member::{Invalid, Record};
use schema::{codec, directory as message};
use thiserror::Error;
use types::Timestamp;

/// Format of a stored entry; the first byte of its value.
const FORMAT: u8 = 1;

/// What a node tells the others about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Membership record of the node and the upstream beside it.
    pub record: Record,
    /// Start of the upstream that has taken its leave last.
    pub departed: Option<Departed>,
}

/// Start of an upstream that has taken its leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departed {
    /// Identity of the start.
    pub instance: String,
    /// When it began.
    pub started: Timestamp,
}

/// Reason why a value is not an entry.
#[derive(Debug, Error)]
pub(crate) enum Unreadable {
    #[error("format is not {FORMAT}")]
    Format,
    #[error("{0}")]
    Codec(#[from] codec::Error),
    #[error("{0}")]
    Record(#[from] Invalid),
}

impl Entry {
    pub(crate) fn encode(&self) -> Result<Vec<u8>, codec::Error> {
        let departed = self.departed.as_ref();
        let message = message::Entry {
            record: Some(self.record.to_message(0)),
            departed: departed.map_or_else(String::new, |departed| departed.instance.clone()),
            departed_started_ms: departed.map_or(0, |departed| departed.started.get()),
        };
        let mut bytes = vec![FORMAT];
        bytes.extend(codec::encode(&message)?);
        Ok(bytes)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Unreadable> {
        let [FORMAT, content @ ..] = bytes else {
            return Err(Unreadable::Format);
        };
        let message: message::Entry = codec::decode(content)?;
        let departed = Departed {
            instance: message.departed,
            started: Timestamp::new(message.departed_started_ms),
        };
        Ok(Self {
            record: Record::try_from(&message.record.unwrap_or_default())?,
            departed: Some(departed).filter(|departed| !departed.instance.is_empty()),
        })
    }
}
