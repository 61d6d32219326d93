use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::{SecondaryMap, SlotMap, new_key_type};
use tokio::time::Instant;
use types::id;

use crate::record::compute_priority;
use crate::{Record, State, StateChange};

/// Number of buckets whose digests two tables compare for anti-entropy.
pub const BUCKET_COUNT: usize = 256;

/// Time for which the record of a node that is down or has left is kept.
pub const GONE_RETENTION: Duration = Duration::from_mins(10);

new_key_type! {
    /// Key of a record in the table.
    pub(crate) struct Key;
}

/// What a merge did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table already holds the same or a newer record, or the node is unknown and has been gone
    /// for [`GONE_RETENTION`] or longer.
    Stale,
    /// The record of an unknown node was added.
    Added,
    /// The record replaced one that differs in more than incarnation, sequence and state.
    Replaced,
    /// Only incarnation, sequence or state changed, so a [`StateChange`] is enough to pass it on.
    StateChanged,
    /// The state change applies to a record that the table does not hold.
    BaseMismatch,
}

impl MergeOutcome {
    /// Whether the merge has changed the table.
    #[must_use]
    pub const fn is_applied(self) -> bool {
        matches!(self, Self::Added | Self::Replaced | Self::StateChanged)
    }
}

/// Records of all nodes of the mesh, with indexes by failure domain, service and parent.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<id::Node, Key>,
    by_domain: BTreeMap<id::Domain, DomainIndex>,
    by_service: HashMap<id::Service, BTreeSet<Key>>,
    by_parent: HashMap<id::Node, BTreeSet<Key>>,
    gone_by_time: BTreeSet<(Instant, Key)>,
    roots: BTreeSet<Key>,
    buckets: Buckets,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    priority: u64,
    /// Time at which the node went down or left; `None` for other nodes.
    gone_at: Option<Instant>,
}

/// Live nodes of one failure domain, ordered by priority.
#[derive(Clone, Debug)]
pub(crate) struct DomainIndex {
    pub(crate) region: id::Region,
    pub(crate) live: BTreeSet<(u64, Key)>,
}

/// For each bucket the XOR of the hashes of its records, without those of gone nodes.
#[derive(Clone, Debug)]
struct Buckets([u64; BUCKET_COUNT]);

impl Default for Buckets {
    fn default() -> Self {
        Self([0; BUCKET_COUNT])
    }
}

impl Table {
    /// Merges a record. A node that is down or has left counts as gone since `now`.
    pub fn merge(&mut self, record: Record, now: Instant) -> MergeOutcome {
        self.merge_with_age(record, Duration::ZERO, now)
    }

    /// Merges a record whose node went down or left `age` ago. Without the age, two nodes could
    /// send each other such a record again and again and never remove it.
    pub fn merge_with_age(&mut self, record: Record, age: Duration, now: Instant) -> MergeOutcome {
        let gone_at = record
            .state
            .is_gone()
            .then(|| now.checked_sub(age).unwrap_or(now));
        match self.by_id.get(&record.id).copied() {
            None if gone_at.is_some() && age >= GONE_RETENTION => MergeOutcome::Stale,
            None => {
                self.insert(record, gone_at);
                MergeOutcome::Added
            }
            Some(key) if record.precedence(&self.entries[key].record).is_gt() => {
                let is_same_content =
                    self.entries[key].record.content_hash() == record.content_hash();
                self.remove(key);
                self.insert(record, gone_at);
                if is_same_content {
                    MergeOutcome::StateChanged
                } else {
                    MergeOutcome::Replaced
                }
            }
            Some(_) => MergeOutcome::Stale,
        }
    }

    /// Merges a state change into the record of its node. It is not applied when the table does not
    /// hold the record that it was made from.
    pub fn merge_state_change(&mut self, change: &StateChange, now: Instant) -> MergeOutcome {
        let Some(held) = self.get(&change.id) else {
            return MergeOutcome::BaseMismatch;
        };
        let key = (change.incarnation, change.sequence, change.state);
        if key <= (held.incarnation, held.sequence, held.state) {
            return MergeOutcome::Stale;
        }
        if held.content_hash() != change.content_hash {
            return MergeOutcome::BaseMismatch;
        }
        let mut record = held.clone();
        (record.incarnation, record.sequence, record.state) = key;
        self.merge(record, now)
    }

    /// Sets the state of a node if its record still has the incarnation and sequence of `seen`.
    pub fn mark_state(&mut self, seen: &Record, state: State, now: Instant) -> MergeOutcome {
        match self.get(&seen.id) {
            Some(held)
                if (held.incarnation, held.sequence) == (seen.incarnation, seen.sequence) =>
            {
                let mut record = held.clone();
                record.state = state;
                self.merge(record, now)
            }
            _ => MergeOutcome::Stale,
        }
    }

    /// Removes the records of nodes that went down or left at least [`GONE_RETENTION`] ago and
    /// returns their number.
    pub fn remove_expired(&mut self, now: Instant) -> usize {
        let mut removed = 0;
        while let Some(&(gone_at, key)) = self.gone_by_time.first() {
            if now.saturating_duration_since(gone_at) < GONE_RETENTION {
                break;
            }
            self.remove(key);
            removed += 1;
        }
        removed
    }

    /// Record of a node.
    #[must_use]
    pub fn get(&self, node: &id::Node) -> Option<&Record> {
        self.by_id.get(node).map(|key| &self.entries[*key].record)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Ready targets of a service.
    pub fn targets(&self, service: &id::Service) -> impl Iterator<Item = &Record> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.map(|key| &self.entries[*key].record)
            .filter(|record| record.state == State::Ready)
    }

    /// Children of `parent` that are not gone.
    pub fn children(&self, parent: &id::Node) -> impl Iterator<Item = &Record> {
        let keys = self.by_parent.get(parent).into_iter().flatten();
        keys.map(|key| &self.entries[*key].record)
            .filter(|record| !record.state.is_gone())
    }

    /// Live roots of a region.
    pub fn roots(&self, region: &id::Region) -> impl Iterator<Item = &Record> {
        let records = self.roots.iter().map(|key| &self.entries[*key].record);
        records.filter(move |record| record.state.is_live() && record.region == *region)
    }

    /// Regions of the known failure domains.
    #[must_use]
    pub fn regions(&self) -> BTreeSet<id::Region> {
        let regions = self.by_domain.values().map(|index| index.region.clone());
        regions.collect()
    }

    /// Digest of the records of all nodes that are not gone. Gone nodes are left out because each
    /// table removes them at a different time.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let fold = |sum: u64, bucket: &u64| sum.rotate_left(7) ^ bucket;
        self.buckets.0.iter().fold(0, fold)
    }

    /// Digest of each bucket, without the records of gone nodes.
    #[must_use]
    pub const fn bucket_digests(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets.0
    }

    /// Compares the bucket digests with those of another table; `true` marks a bucket that differs.
    #[must_use]
    pub fn differing_buckets(&self, theirs: &[u64]) -> [bool; BUCKET_COUNT] {
        let mut differing = [true; BUCKET_COUNT];
        for ((differing, ours), theirs) in differing.iter_mut().zip(&self.buckets.0).zip(theirs) {
            *differing = ours != theirs;
        }
        differing
    }

    /// Records of the marked buckets, each with the time since its node went down or left.
    pub fn records_in_buckets(
        &self,
        marked: &[bool; BUCKET_COUNT],
        now: Instant,
    ) -> impl Iterator<Item = (&Record, Duration)> {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| marked[bucket_of(entry.priority)]);
        entries.map(move |entry| (&entry.record, entry.time_since_gone(now)))
    }

    /// Time since a node went down or left; zero for other nodes.
    #[must_use]
    pub fn time_since_gone(&self, node: &id::Node, now: Instant) -> Duration {
        let entry = self.by_id.get(node).map(|key| &self.entries[*key]);
        entry.map_or(Duration::ZERO, |entry| entry.time_since_gone(now))
    }

    pub(crate) fn domain(&self, domain: &id::Domain) -> Option<&DomainIndex> {
        self.by_domain.get(domain)
    }

    /// Failure domains of a region, with their live nodes.
    pub(crate) fn domains_in(
        &self,
        region: &id::Region,
    ) -> impl Iterator<Item = (&id::Domain, &DomainIndex)> {
        let all = self.by_domain.iter();
        all.filter(move |(_, index)| index.region == *region)
    }

    /// Nodes below `node` in the tree that are not gone.
    pub(crate) fn descendants(&self, node: &id::Node) -> SecondaryMap<Key, ()> {
        let mut found = SecondaryMap::new();
        let mut pending = vec![node];
        while let Some(parent) = pending.pop() {
            for key in self.by_parent.get(parent).into_iter().flatten() {
                let record = &self.entries[*key].record;
                // Records that are still propagating may name each other as parents for a moment.
                let is_new = !record.state.is_gone() && record.id != *node;
                if is_new && found.insert(*key, ()).is_none() {
                    pending.push(&record.id);
                }
            }
        }
        found
    }

    /// Records with their keys, in no particular order.
    pub(crate) fn iter_with_keys(&self) -> impl Iterator<Item = (Key, &Record)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.record))
    }

    pub(crate) fn record(&self, key: Key) -> &Record {
        &self.entries[key].record
    }

    fn insert(&mut self, mut record: Record, gone_at: Option<Instant>) {
        self.intern_names(&mut record);
        let (id, priority) = (record.id.clone(), compute_priority(&record.id));
        let hash = record.hash();
        let state = record.state;
        let key = self.entries.insert(Entry {
            record,
            priority,
            gone_at,
        });
        self.by_id.insert(id, key);
        let record = &self.entries[key].record;
        if let Some(service) = &record.service {
            self.by_service
                .entry(service.clone())
                .or_default()
                .insert(key);
        }
        if let Some(parent) = &record.parent {
            self.by_parent
                .entry(parent.clone())
                .or_default()
                .insert(key);
        }
        if record.root {
            self.roots.insert(key);
        }
        let index = self.by_domain.entry(record.domain.clone());
        let index = index.or_insert_with(|| DomainIndex {
            region: record.region.clone(),
            live: BTreeSet::new(),
        });
        if state.is_live() {
            index.live.insert((priority, key));
        }
        match gone_at {
            Some(gone_at) => {
                self.gone_by_time.insert((gone_at, key));
            }
            None => self.buckets.0[bucket_of(priority)] ^= hash,
        }
    }

    fn remove(&mut self, key: Key) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let record = &entry.record;
        self.by_id.remove(&record.id);
        if let Some(service) = &record.service {
            remove_from_index(&mut self.by_service, service, key);
        }
        if let Some(parent) = &record.parent {
            remove_from_index(&mut self.by_parent, parent, key);
        }
        self.roots.remove(&key);
        if let Some(index) = self.by_domain.get_mut(&record.domain) {
            index.live.remove(&(entry.priority, key));
        }
        match entry.gone_at {
            Some(gone_at) => {
                self.gone_by_time.remove(&(gone_at, key));
            }
            None => self.buckets.0[bucket_of(entry.priority)] ^= record.hash(),
        }
    }

    /// Replaces names by the copies that the indexes hold, so that each name is stored only once.
    fn intern_names(&self, record: &mut Record) {
        if let Some((domain, index)) = self.by_domain.get_key_value(&record.domain) {
            record.domain = domain.clone();
            if index.region == record.region {
                record.region = index.region.clone();
            }
        }
        if let Some(service) = &mut record.service
            && let Some((shared, _)) = self.by_service.get_key_value(service)
        {
            *service = shared.clone();
        }
        if let Some(parent) = &mut record.parent
            && let Some((shared, _)) = self.by_id.get_key_value(parent)
        {
            *parent = shared.clone();
        }
    }
}

impl Entry {
    fn time_since_gone(&self, now: Instant) -> Duration {
        self.gone_at.map_or(Duration::ZERO, |gone_at| {
            now.saturating_duration_since(gone_at)
        })
    }
}

/// Bucket of a node with this priority: the highest byte of the priority.
const fn bucket_of(priority: u64) -> usize {
    (priority >> 56) as usize
}

fn remove_from_index<N>(index: &mut HashMap<N, BTreeSet<Key>>, name: &N, key: Key)
where
    N: Eq + std::hash::Hash,
{
    if let Some(keys) = index.get_mut(name) {
        keys.remove(&key);
        if keys.is_empty() {
            index.remove(name);
        }
    }
}
