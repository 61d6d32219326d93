use std::collections::BTreeMap;
use std::net::SocketAddr;

use schema::bundle::ReaderLease;
use store::{Compare, Error, Lease, Operation, Reply, Span, Store, Txn, Value, keys, values};
use tokio::time::Instant;
use types::{Deadline, id};

use crate::shared::Shared;

/// Result of a completed attempt to acquire the reader lease.
pub(crate) enum Attempt {
    /// This node holds the lease until the instant.
    Acquired(Lease, Instant),
    /// Another node holds the lease.
    HeldByOther(ReaderLease),
}

/// Tries to acquire the reader lease of this node's region.
///
/// The key is read first, because a read costs the store less than a lease that is not used.
pub(crate) async fn acquire(shared: &Shared, store: &Store) -> Result<Attempt, Error> {
    let deadline = Deadline::after(shared.config.store_timeout);
    let key = keys::reader(&shared.local.region);
    if let Some(value) = store.get(&key, deadline).await?
        && let Some(attempt) = check_holder(shared, store, &value, deadline).await?
    {
        return Ok(attempt);
    }
    // This node counts the time to live from before the call. The store counts from a later moment,
    // so the lease never ends in the store first.
    let until = Instant::now() + shared.config.lease_ttl;
    let lease = store.grant(shared.config.lease_ttl, deadline).await?;
    let result = create_key(shared, store, &key, lease, deadline).await;
    match result {
        Ok(None) => Ok(Attempt::Acquired(lease, until)),
        Ok(Some(value)) => {
            // An unused lease expires on its own. The revocation only frees it earlier.
            let _ = store.revoke(lease, deadline).await;
            Ok(Attempt::HeldByOther(
                values::decode(&value.bytes).unwrap_or_default(),
            ))
        }
        // The next attempt reads the key and learns whether this one took effect.
        Err(error) => Err(error),
    }
}

/// Checks who holds an existing key; `None` when the lease expired meanwhile. A key of this node
/// comes from an attempt whose answer was lost, and its lease is renewed.
async fn check_holder(
    shared: &Shared,
    store: &Store,
    value: &Value,
    deadline: Deadline,
) -> Result<Option<Attempt>, Error> {
    let reader: ReaderLease = values::decode(&value.bytes).unwrap_or_default();
    let own = own_lease(shared);
    let Some(lease) = value.lease.filter(|_| Some(&reader) == own.as_ref()) else {
        return Ok(Some(Attempt::HeldByOther(reader)));
    };
    let before = Instant::now();
    match store.keep_alive(lease, deadline).await {
        Ok(ttl) => Ok(Some(Attempt::Acquired(
            lease,
            before + ttl.min(shared.config.lease_ttl),
        ))),
        Err(Error::LeaseLapsed) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Creates the key if it is absent. Returns the value of another holder if it exists.
async fn create_key(
    shared: &Shared,
    store: &Store,
    key: &str,
    lease: Lease,
    deadline: Deadline,
) -> Result<Option<Value>, Error> {
    let own = own_lease(shared)
        .ok_or_else(|| Error::NotSent("this node has no membership record".to_owned()))?;
    let bytes = values::encode(&own).map_err(|error| Error::NotSent(error.to_string()))?;
    let put = Operation::Put {
        key: key.to_owned(),
        bytes,
        lease: Some(lease),
    };
    let txn = Txn::new()
        .with_compare(Compare::Absent(key.to_owned()))
        .with_then(put)
        .with_otherwise(Operation::Get(key.to_owned()));
    let reply = store.txn(txn, deadline).await?;
    match reply.replies.into_iter().next() {
        Some(Reply::Get(Some(value))) if !reply.succeeded => Ok(Some(value)),
        _ if reply.succeeded => Ok(None),
        // The key of another holder expired between the comparison and the read. Try again later.
        _ => Err(Error::NotSent(
            "reader key changed during the request".to_owned(),
        )),
    }
}

fn own_lease(shared: &Shared) -> Option<ReaderLease> {
    let me = shared.own_record()?;
    Some(ReaderLease {
        node: me.id.to_string(),
        address: me.address.to_string(),
        incarnation: shared.incarnation.get(),
    })
}

/// Addresses of the readers of all regions; `None` when the store does not answer.
pub(crate) async fn readers(
    shared: &Shared,
    deadline: Deadline,
) -> Option<BTreeMap<id::Region, SocketAddr>> {
    let store = shared.store.as_ref()?;
    let span = Span::Prefix(keys::READERS.to_owned());
    let listing = store.range(&span, deadline).await.ok()?;
    let readers = listing.entries.into_iter().filter_map(|(key, value)| {
        let reader: ReaderLease = values::decode(&value.bytes).ok()?;
        Some((keys::reader_region(&key)?, reader.address.parse().ok()?))
    });
    Some(readers.collect())
}
