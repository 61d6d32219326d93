use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use rand::Rng;
use route::TokenBucket;
use schema::bundle::OnceRecord;
use store::{Compare, Error, Lease, Operation, Reply, Revision, Store, Txn, keys, values};
use tokio::time::Instant;
use types::{Deadline, rate::PerSecond};

use crate::routed_call::RoutedCall;
use crate::{Failure, MeshView, message};

/// Timeout of one request to the store. Two attempts fit into the store's deadline of 2 s.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Attempts to create a record. All use the same claim id, so that a later attempt recognizes a
/// record whose creation was not confirmed.
const CREATE_ATTEMPTS: u32 = 3;

/// Time to live of the lease that records are attached to.
const LEASE_TTL: Duration = Duration::from_hours(24);

/// Time for which new records are attached to the same lease. Sharing it limits a keyed call to two
/// writes; a record expires after 23 to 24 hours.
const LEASE_REUSE_PERIOD: Duration = Duration::from_hours(1);

/// Largest body of an answer that is recorded.
pub(crate) const MAX_RECORDED_ANSWER_BYTES: usize = 16 * 1024;

/// Keyed calls per second in the whole mesh, which bounds the load on the store.
const MESH_CALLS_PER_SECOND: f64 = 100.0;

/// Keyed calls that one target may accept in a burst.
const BURST_CALLS: u32 = 4;

/// Time between two counts of the targets that share [`MESH_CALLS_PER_SECOND`].
const TARGET_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Records in the store of calls with idempotency keys, called keyed calls here.
pub(crate) struct IdempotencyStore {
    store: Store,
    mesh: MeshView,
    lease: Mutex<Option<(Lease, Instant)>>,
    budget: Mutex<Budget>,
}

/// This target's share of the keyed calls of the mesh.
struct Budget {
    bucket: TokenBucket,
    rate: PerSecond,
    counted_at: Option<Instant>,
}

/// Exclusive right to run a keyed call.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: String,
    id: String,
    revision: Revision,
    lease: Lease,
}

/// Result of claiming a key.
pub(crate) enum ClaimResult {
    /// The call may run under this claim.
    Claimed(Claim),
    /// The call ran before and has this record.
    Finished(OnceRecord),
    /// Another attempt has claimed the key, and its result is not known.
    Pending,
}

impl IdempotencyStore {
    pub(crate) fn new(store: Store, mesh: MeshView) -> Self {
        Self {
            store,
            mesh,
            lease: Mutex::default(),
            budget: Mutex::new(Budget {
                bucket: TokenBucket::new(BURST_CALLS, Instant::now()),
                rate: PerSecond::default(),
                counted_at: None,
            }),
        }
    }

    /// Creates the record of a key by compare-and-swap, or reads the existing one.
    ///
    /// # Errors
    ///
    /// Returns a `not-run` failure when the budget is exhausted or the store does not answer.
    pub(crate) async fn claim(&self, call: &RoutedCall, key: &str) -> Result<ClaimResult, Failure> {
        if !self.try_consume(Instant::now()) {
            return Err(Failure::mesh("too many calls with idempotency keys"));
        }
        let key = keys::once(&call.owner, &call.declared_by, &call.route, key);
        let id = format!("{:032x}", rand::rng().random::<u128>());
        let mut last_error = Error::NotSent("no time left".to_owned());
        for _ in 0..CREATE_ATTEMPTS {
            if call.deadline.has_passed(Instant::now()) {
                break;
            }
            match self.create(&key, &id, call.deadline).await {
                Ok(Some(claimed)) => return Ok(claimed),
                Ok(None) => {}
                Err(error) => {
                    self.discard_lease();
                    last_error = error;
                }
            }
        }
        Err(Failure::mesh(format!("no record of the key: {last_error}")))
    }

    /// Tries once to create a record. Returns `None` when an existing record expired before it was
    /// read.
    async fn create(
        &self,
        key: &str,
        id: &str,
        deadline: Deadline,
    ) -> Result<Option<ClaimResult>, Error> {
        let lease = self.current_lease(cap_deadline(deadline)).await?;
        let record = OnceRecord {
            claim: id.to_owned(),
            ..OnceRecord::default()
        };
        let txn = Txn::new()
            .with_compare(Compare::Absent(key.to_owned()))
            .with_then(put_operation(key, &record, lease)?)
            .with_otherwise(Operation::Get(key.to_owned()));
        let reply = self.store.txn(txn, cap_deadline(deadline)).await?;
        let claim = |revision| Claim {
            key: key.to_owned(),
            id: id.to_owned(),
            revision,
            lease,
        };
        if reply.succeeded {
            return Ok(Some(ClaimResult::Claimed(claim(reply.revision))));
        }
        let Some(Reply::Get(Some(value))) = reply.replies.into_iter().next() else {
            return Ok(None);
        };
        let record: OnceRecord =
            values::decode(&value.bytes).map_err(|error| Error::AnswerLost(error.to_string()))?;
        Ok(Some(if record.claim == id {
            ClaimResult::Claimed(claim(value.mod_revision))
        } else if record.finished {
            ClaimResult::Finished(record)
        } else {
            ClaimResult::Pending
        }))
    }

    /// Records the answer to a call. `answer` is `None` when the body exceeds
    /// [`MAX_RECORDED_ANSWER_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns the error of the store. The record then stays unfinished, and no other call runs
    /// under the key.
    pub(crate) async fn finish(
        &self,
        claim: &Claim,
        status: StatusCode,
        headers: &HeaderMap,
        answer: Option<Bytes>,
    ) -> Result<(), Error> {
        let record = OnceRecord {
            claim: claim.id.clone(),
            finished: true,
            status: u32::from(status.as_u16()),
            headers: message::encode_headers(headers),
            whole: answer.is_some(),
            answer: answer.unwrap_or_default().to_vec(),
        };
        self.update_record(claim, put_operation(&claim.key, &record, claim.lease)?)
            .await
    }

    /// Releases the key of a call that did not run.
    ///
    /// # Errors
    ///
    /// Returns the error of the store. The key then stays claimed.
    pub(crate) async fn release(&self, claim: &Claim) -> Result<(), Error> {
        self.update_record(claim, Operation::Delete(claim.key.clone()))
            .await
    }

    /// Changes a record that is still unchanged since the claim. Retries once when the store may
    /// have applied the change but its answer was lost.
    async fn update_record(&self, claim: &Claim, operation: Operation) -> Result<(), Error> {
        let attempt = || {
            let txn = Txn::new()
                .with_compare(Compare::Unchanged(claim.key.clone(), claim.revision))
                .with_then(operation.clone());
            self.store.txn(txn, Deadline::after(STORE_TIMEOUT))
        };
        match attempt().await {
            Err(error) if error.may_have_taken_effect() => attempt().await.map(drop),
            result => result.map(drop),
        }
    }

    /// Returns the lease for new records, requesting one when there is none or the current one is
    /// older than [`LEASE_REUSE_PERIOD`].
    async fn current_lease(&self, deadline: Deadline) -> Result<Lease, Error> {
        let current = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some((lease, granted)) = current
            && now.saturating_duration_since(granted) < LEASE_REUSE_PERIOD
        {
            return Ok(lease);
        }
        let lease = self.store.grant(LEASE_TTL, deadline).await?;
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some((lease, now));
        Ok(lease)
    }

    /// Discards the lease, which the store may have lost, so that the next record requests a new
    /// one.
    fn discard_lease(&self) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Takes a token from this target's share of the mesh-wide budget.
    fn try_consume(&self, now: Instant) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let stale = budget
            .counted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TARGET_COUNT_INTERVAL);
        if stale {
            budget.counted_at = Some(now);
            budget.rate = PerSecond::new(MESH_CALLS_PER_SECOND / f64::from(self.count_targets()));
        }
        let rate = budget.rate;
        budget.bucket.try_take(rate, now)
    }

    /// Counts the live targets of all services that have a non-repeatable route, but at least 1.
    fn count_targets(&self) -> u32 {
        let services = self.mesh.routes().non_repeatable_services();
        let targets: usize = services
            .iter()
            .map(|service| self.mesh.targets(service).len())
            .sum();
        u32::try_from(targets).unwrap_or(u32::MAX).max(1)
    }
}

fn cap_deadline(deadline: Deadline) -> Deadline {
    deadline.min(Deadline::after(STORE_TIMEOUT))
}

fn put_operation(key: &str, record: &OnceRecord, lease: Lease) -> Result<Operation, Error> {
    let bytes = values::encode(record).map_err(|error| Error::NotSent(error.to_string()))?;
    Ok(Operation::Put {
        key: key.to_owned(),
        bytes,
        lease: Some(lease),
    })
}
