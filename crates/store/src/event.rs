use schema::gateway::{self, EventType};

use crate::listing::entry;
use crate::{Error, Revision, Value};

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Key that changed.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// New value or delete.
    pub change: Change,
}

/// What happened to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has a new value.
    Put(Value),
    /// The key was deleted or its lease lapsed.
    Delete,
}

impl TryFrom<gateway::Event> for Event {
    type Error = Error;

    fn try_from(event: gateway::Event) -> Result<Self, Error> {
        let kind = event.r#type();
        let kv = event
            .kv
            .ok_or_else(|| Error::AnswerLost("event without a key".to_owned()))?;
        let (key, value) = entry(kv)?;
        Ok(Self {
            key,
            revision: value.mod_revision,
            change: match kind {
                EventType::Put => Change::Put(value),
                EventType::Delete => Change::Delete,
            },
        })
    }
}
