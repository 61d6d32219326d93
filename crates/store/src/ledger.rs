use std::collections::HashMap;

use crate::{Change, Error, Event, Revision};

/// What a watch has reported so far; finds events that were left out, repeated or out of order.
///
/// The store numbers the changes of a key since its creation, so a change that does not follow the
/// last one reveals a gap. A gap at the end can only be found by reading the key.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// First revision that the watch reports.
    from: Revision,
    newest: Revision,
    keys: HashMap<String, Seen>,
}

/// Last change of a key.
#[derive(Clone, Copy, Debug)]
struct Seen {
    revision: Revision,
    /// Number of the change; 0 after a delete.
    version: i64,
}

impl Ledger {
    /// Creates the ledger of a watch from `from` on.
    pub(crate) fn new(from: Revision) -> Self {
        Self {
            from,
            newest: Revision::NONE,
            keys: HashMap::new(),
        }
    }

    /// Enters an event, or returns [`Error::Gap`] when it does not follow the ones before it.
    pub(crate) fn enter(&mut self, event: &Event) -> Result<(), Error> {
        let version = match &event.change {
            Change::Put(value) => value.version,
            Change::Delete => 0,
        };
        if event.revision < self.newest.max(self.from) || !self.follows(event) {
            return Err(Error::Gap {
                key: event.key.clone(),
                revision: event.revision,
            });
        }
        self.newest = event.revision;
        let revision = event.revision;
        self.keys
            .insert(event.key.clone(), Seen { revision, version });
        Ok(())
    }

    fn follows(&self, event: &Event) -> bool {
        let seen = self.keys.get(&event.key);
        match (&event.change, seen) {
            (Change::Put(value), _) if value.version == 1 => seen.is_none_or(|s| s.version == 0),
            (Change::Put(value), Some(seen)) => {
                value.version == seen.version + 1 && value.create_revision <= seen.revision
            }
            (Change::Put(value), None) => value.create_revision < self.from,
            (Change::Delete, Some(seen)) => seen.version > 0,
            (Change::Delete, None) => true,
        }
    }
}
