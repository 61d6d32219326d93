use std::collections::HashMap;
use std::time::Duration;

use member::{Record, State};
use tokio::time::Instant;
use types::id;

/// Time for which the record of a removed entry stays valid. The leases of all nodes may expire
/// while the store is unavailable, and live nodes write their entries again within about two
/// seconds of its recovery.
const REMOVAL_GRACE: Duration = Duration::from_millis(2500);

/// Local copy of the records of the nodes that have an entry in the store.
#[derive(Debug, Default)]
pub struct Replica {
    records: HashMap<String, CachedRecord>,
}

#[derive(Debug)]
struct CachedRecord {
    record: Record,
    /// Time at which the entry was removed, if it was.
    removed_at: Option<Instant>,
}

impl Replica {
    /// Stores the record of an entry; returns whether it differs from the one that was valid.
    pub fn put(&mut self, key: &str, record: Record) -> bool {
        let known = self.records.get(key);
        if known.is_some_and(|known| known.removed_at.is_none() && known.record == record) {
            return false;
        }
        let cached = CachedRecord {
            record,
            removed_at: None,
        };
        self.records.insert(key.to_owned(), cached);
        true
    }

    /// Marks an entry as removed from the store.
    pub fn mark_removed(&mut self, key: &str, now: Instant) {
        if let Some(cached) = self.records.get_mut(key) {
            cached.removed_at.get_or_insert(now);
        }
    }

    /// Marks the entries that don't exist in the store as removed, and drops those whose grace
    /// time has passed.
    pub fn retain<F>(&mut self, exists: F, now: Instant)
    where
        F: Fn(&str) -> bool,
    {
        for (key, cached) in &mut self.records {
            if !exists(key) {
                cached.removed_at.get_or_insert(now);
            }
        }
        self.records.retain(|_, cached| cached.is_valid(now));
    }

    /// Records of the nodes that have neither left nor been removed for longer than the grace time.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Record> {
        let valid = self
            .records
            .values()
            .filter(move |cached| cached.is_valid(now));
        valid
            .map(|cached| &cached.record)
            .filter(|record| !record.state.is_gone())
    }

    /// Records of the ready targets of a service.
    pub fn targets(&self, service: &id::Service, now: Instant) -> impl Iterator<Item = &Record> {
        self.live(now).filter(move |record| {
            record.state == State::Ready && record.service.as_ref() == Some(service)
        })
    }
}

impl CachedRecord {
    fn is_valid(&self, now: Instant) -> bool {
        self.removed_at
            .is_none_or(|removed_at| now.saturating_duration_since(removed_at) < REMOVAL_GRACE)
    }
}
