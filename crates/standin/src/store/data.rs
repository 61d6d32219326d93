//! Content of the stand-in store: keys with revisions, leases and history. No I/O and no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use schema::gateway::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event,
    EventType, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};
use tokio::time::Instant;

use super::refusal::Refusal;
use super::span::Span;

/// Events kept for watches and reads of the past. The oldest are compacted first.
const HISTORY_LIMIT: usize = 100_000;

/// Largest value, in bytes, as on the platform's store.
const VALUE_LIMIT: usize = 1024 * 1024;

/// Lease with its end.
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Keys, leases and history.
pub(crate) struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// Keys as they were at `compacted`.
    base: BTreeMap<Vec<u8>, KeyValue>,
    compacted: i64,
    history: VecDeque<Event>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Data {
    /// An empty store; its revision is 1.
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            base: BTreeMap::new(),
            compacted: 0,
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// Newest revision.
    pub(crate) const fn revision(&self) -> i64 {
        self.revision
    }

    /// Head of an answer.
    pub(crate) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    /// Reads a range as a store does whose newest revision is `newest`.
    pub(crate) fn range(
        &self,
        request: &RangeRequest,
        newest: i64,
    ) -> Result<RangeResponse, Refusal> {
        let wanted = match request.revision {
            0 => newest,
            revision => revision,
        };
        if wanted > newest {
            return Err(Refusal::out_of_range(
                "required revision is a future revision",
            ));
        }
        if wanted < self.compacted {
            return Err(Refusal::out_of_range(
                "required revision has been compacted",
            ));
        }
        let span = Span::new(&request.key, &request.range_end);
        let found = if wanted == self.revision {
            select(&self.keys, &span)
        } else {
            select(&self.keys_at(wanted), &span)
        };
        Ok(self.listing(found, request.limit, newest))
    }

    fn listing(&self, mut found: Vec<KeyValue>, limit: i64, newest: i64) -> RangeResponse {
        let count = found.len();
        let limit = usize::try_from(limit).unwrap_or(0);
        let more = limit > 0 && count > limit;
        if more {
            found.truncate(limit);
        }
        let mut header = self.header();
        header.revision = newest;
        RangeResponse {
            header: Some(header),
            kvs: found,
            more,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        }
    }

    /// Keys as they were at a revision that is not compacted.
    fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        let mut keys = self.base.clone();
        for event in self.history.iter().filter(|e| revision_of(e) <= revision) {
            replay(&mut keys, event);
        }
        keys
    }

    /// Writes one key.
    pub(crate) fn put(&mut self, request: &PutRequest) -> Result<PutResponse, Refusal> {
        self.check_put(request)?;
        self.apply_put(request, self.revision + 1);
        self.revision += 1;
        Ok(PutResponse {
            header: Some(self.header()),
        })
    }

    /// Deletes a range. The revision grows only when a key was deleted.
    pub(crate) fn delete(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let deleted = self.apply_delete(request, self.revision + 1);
        self.revision += i64::from(deleted > 0);
        DeleteRangeResponse {
            header: Some(self.header()),
            deleted,
        }
    }

    /// Runs a transaction; all its writes have the same revision.
    pub(crate) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Refusal> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        self.check_operations(operations)?;
        let revision = self.revision + 1;
        let recorded = self.history.len();
        let mut responses = Vec::with_capacity(operations.len());
        for operation in operations {
            responses.push(self.apply(operation, revision)?);
        }
        if self.history.len() != recorded {
            self.revision = revision;
        }
        Ok(TxnResponse {
            header: Some(self.header()),
            succeeded,
            responses,
        })
    }

    /// Checks a list of operations; a key may be written only once in a transaction.
    fn check_operations(&self, operations: &[RequestOp]) -> Result<(), Refusal> {
        let mut written = BTreeSet::new();
        let duplicate = || Refusal::invalid("duplicate key given in txn request");
        for put in operations.iter().filter_map(|o| o.request_put.as_ref()) {
            self.check_put(put)?;
            if !written.insert(&put.key) {
                return Err(duplicate());
            }
        }
        for delete in operations
            .iter()
            .filter_map(|o| o.request_delete_range.as_ref())
        {
            let span = Span::new(&delete.key, &delete.range_end);
            if written.iter().any(|key| span.holds(key)) {
                return Err(duplicate());
            }
        }
        Ok(())
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), Refusal> {
        if request.key.is_empty() {
            return Err(Refusal::invalid("key is not provided"));
        }
        if request.value.len() > VALUE_LIMIT {
            return Err(Refusal::invalid("request is too large"));
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Refusal::not_found("requested lease not found"));
        }
        Ok(())
    }

    fn apply(&mut self, operation: &RequestOp, revision: i64) -> Result<ResponseOp, Refusal> {
        let mut response = ResponseOp::default();
        if let Some(range) = &operation.request_range {
            response.response_range = Some(self.range(range, self.revision)?);
        } else if let Some(put) = &operation.request_put {
            self.apply_put(put, revision);
            response.response_put = Some(PutResponse {
                header: Some(self.header()),
            });
        } else if let Some(delete) = &operation.request_delete_range {
            let deleted = self.apply_delete(delete, revision);
            response.response_delete_range = Some(DeleteRangeResponse {
                header: Some(self.header()),
                deleted,
            });
        }
        Ok(response)
    }

    fn apply_put(&mut self, request: &PutRequest, revision: i64) {
        let held = self.keys.get(&request.key);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: held.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: held.map_or(1, |kv| kv.version + 1),
            value: request.value.clone(),
            lease: request.lease,
        };
        self.keys.insert(request.key.clone(), kv.clone());
        self.record(EventType::Put, kv);
    }

    fn apply_delete(&mut self, request: &DeleteRangeRequest, revision: i64) -> i64 {
        let span = Span::new(&request.key, &request.range_end);
        let gone = select(&self.keys, &span);
        for kv in &gone {
            self.keys.remove(&kv.key);
            let kv = KeyValue {
                key: kv.key.clone(),
                mod_revision: revision,
                ..KeyValue::default()
            };
            self.record(EventType::Delete, kv);
        }
        i64::try_from(gone.len()).unwrap_or(i64::MAX)
    }

    fn record(&mut self, kind: EventType, kv: KeyValue) {
        self.history.push_back(Event {
            r#type: kind.into(),
            kv: Some(kv),
        });
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.front().map(revision_of)
        {
            self.compact(oldest);
        }
    }

    /// Whether a comparison holds. An absent key has zero numbers and an empty value.
    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let held = self.keys.get(&compare.key).unwrap_or(&absent);
        let order = match compare.target() {
            CompareTarget::Version => held.version.cmp(&compare.version),
            CompareTarget::Create => held.create_revision.cmp(&compare.create_revision),
            CompareTarget::Mod => held.mod_revision.cmp(&compare.mod_revision),
            CompareTarget::Value if held.mod_revision == 0 => return false,
            CompareTarget::Value => held.value.cmp(&compare.value),
            CompareTarget::Lease => held.lease.cmp(&compare.lease),
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Creates a lease; returns its id.
    pub(crate) fn grant(
        &mut self,
        wanted: i64,
        ttl: Duration,
        now: Instant,
    ) -> Result<i64, Refusal> {
        if ttl.is_zero() {
            return Err(Refusal::invalid("lease TTL is too small"));
        }
        let id = if wanted > 0 { wanted } else { self.next_lease };
        if self.leases.contains_key(&id) {
            return Err(Refusal::invalid("lease already exists"));
        }
        self.next_lease = self.next_lease.max(id) + 1;
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        Ok(id)
    }

    /// Renews a lease; returns its time to live, or zero when it has lapsed.
    pub(crate) fn keep_alive(&mut self, id: i64, now: Instant) -> Duration {
        self.leases.get_mut(&id).map_or(Duration::ZERO, |lease| {
            lease.expires = now + lease.ttl;
            lease.ttl
        })
    }

    /// Ends a lease and deletes its keys.
    pub(crate) fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        if self.leases.remove(&id).is_none() {
            return Err(Refusal::not_found("requested lease not found"));
        }
        let keys: Vec<_> = self.keys.values().filter(|kv| kv.lease == id).collect();
        let keys: Vec<_> = keys.into_iter().map(|kv| kv.key.clone()).collect();
        let revision = self.revision + 1;
        self.revision += i64::from(!keys.is_empty());
        for key in keys {
            let range_end = Vec::new();
            self.apply_delete(&DeleteRangeRequest { key, range_end }, revision);
        }
        Ok(())
    }

    /// Ends the leases whose time has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        let lapsed = self.leases.iter().filter(|(_, l)| l.expires <= now);
        let lapsed: Vec<_> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            // The lease was found above, so this cannot fail.
            let _ = self.revoke(id);
        }
    }

    /// Ends all leases.
    pub(crate) fn lapse(&mut self) {
        let ids: Vec<_> = self.leases.keys().copied().collect();
        for id in ids {
            // The lease was found above, so this cannot fail.
            let _ = self.revoke(id);
        }
    }

    /// Earliest end of a lease.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }

    /// Forgets the history up to `revision`, which is kept as the oldest state.
    pub(crate) fn compact(&mut self, revision: i64) {
        while let Some(event) = self.history.front()
            && revision_of(event) <= revision
        {
            replay(&mut self.base, event);
            self.history.pop_front();
        }
        self.compacted = self.compacted.max(revision.min(self.revision));
    }

    /// Oldest revision that can be read.
    pub(crate) const fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Events of a span from a revision on, in order.
    pub(crate) fn events(&self, span: &Span, from: i64) -> Vec<Event> {
        let start = self
            .history
            .partition_point(|event| revision_of(event) < from);
        let later = self.history.range(start..);
        let wanted = later.filter(|event| event.kv.as_ref().is_some_and(|kv| span.holds(&kv.key)));
        wanted.cloned().collect()
    }
}

fn select(keys: &BTreeMap<Vec<u8>, KeyValue>, span: &Span) -> Vec<KeyValue> {
    let later = keys.range(span.start().to_vec()..);
    let inside = later.take_while(|(key, _)| span.holds(key));
    inside.map(|(_, kv)| kv.clone()).collect()
}

fn revision_of(event: &Event) -> i64 {
    event.kv.as_ref().map_or(0, |kv| kv.mod_revision)
}

fn replay(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &Event) {
    let Some(kv) = &event.kv else { return };
    match event.r#type() {
        EventType::Put => keys.insert(kv.key.clone(), kv.clone()),
        EventType::Delete => keys.remove(&kv.key),
    };
}
