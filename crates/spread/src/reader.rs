//! The reader role: which node holds the reader lease of its region.

use std::time::Duration;

use store::{Lease, Store};
use tokio::time::{Instant, sleep, sleep_until};
use types::Deadline;

use crate::admission::Role;
use crate::lease::{self, Attempt};
use crate::shared::{Attachment, Shared};
use crate::{Source, placement, source};

/// Time between two attempts to acquire the lease, and between two renewals.
const LEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next attempt to renew the lease after a failure.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without a parent before a node that is not a reader candidate may request the lease, and
/// before a node may act as root.
const DETACHED_LIMIT: Duration = Duration::from_secs(3);

/// Maximum random delay, in addition to [`DETACHED_LIMIT`] for a node that knows other nodes.
const MAX_JITTER: Duration = Duration::from_secs(2);

/// Maximum random delay of a node that has had an answer from another node. The region will have a
/// reader soon, and after a restart of the whole region thousands of nodes would otherwise query
/// the store at once.
const MAX_JITTER_WITH_PEERS: Duration = Duration::from_secs(16);

/// What a node without a parent knows when it decides whether to request the reader lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConditions {
    /// Whether the node is one of the reader candidates of its region.
    pub is_candidate: bool,
    /// Whether the node knows no other node that it could ask for a parent.
    pub has_no_peers: bool,
    /// Whether another node has answered since this node lost its parent.
    pub peer_answered: bool,
    /// Time for which the node has had no parent.
    pub detached_for: Duration,
}

/// Whether a node without a parent should request the reader lease. `jitter` is a random number
/// from 0 to 1 that stays the same while the node is without a parent.
#[must_use]
pub fn should_request_lease(conditions: LeaseConditions, jitter: f64) -> bool {
    let delay = if conditions.is_candidate {
        Duration::ZERO
    } else if conditions.has_no_peers {
        MAX_JITTER.mul_f64(jitter)
    } else if conditions.peer_answered {
        DETACHED_LIMIT + MAX_JITTER_WITH_PEERS.mul_f64(jitter)
    } else {
        DETACHED_LIMIT + MAX_JITTER.mul_f64(jitter)
    };
    conditions.detached_for >= delay
}

/// Requests the reader lease when this node has no parent, and acts as reader while it holds the
/// lease.
pub(crate) async fn run(shared: Shared) {
    let mut jitter = rand::random();
    let mut next = Instant::now() + LEASE_INTERVAL.mul_f64(rand::random());
    loop {
        sleep_until(next).await;
        next = Instant::now() + LEASE_INTERVAL;
        if shared.is_draining() {
            continue;
        }
        let Some(detached_for) = detached_duration(&shared) else {
            jitter = rand::random();
            continue;
        };
        if shared.role() != Role::ActingRoot
            && !should_request_lease(lease_conditions(&shared, detached_for), jitter)
        {
            continue;
        }
        match acquire_lease(&shared).await {
            Some(Attempt::Acquired(lease, until)) => run_as_reader(&shared, lease, until).await,
            Some(Attempt::HeldByOther(reader)) => {
                shared
                    .reader_address
                    .send_replace(reader.address.parse().ok());
                stop_acting_as_root(&shared, "another node is the reader");
            }
            None => update_acting_root(&shared, detached_for),
        }
    }
}

/// Time for which the node has had no parent; `None` with a parent.
fn detached_duration(shared: &Shared) -> Option<Duration> {
    match &*shared.attachment.borrow() {
        Attachment::Detached(since) => Some(since.elapsed()),
        Attachment::Attached(_) => None,
    }
}

fn lease_conditions(shared: &Shared, detached_for: Duration) -> LeaseConditions {
    let table = shared.table();
    let me = table.get(&shared.local.id);
    let is_candidate = me.is_some_and(|me| placement::is_reader_candidate(&table, me));
    let seeds = &shared.config.seeds;
    let answered = *shared.peer_answered_at.borrow();
    LeaseConditions {
        is_candidate,
        has_no_peers: table.len() <= 1 && seeds.iter().all(|seed| *seed == shared.local.address),
        peer_answered: answered.is_some_and(|answered| answered.elapsed() < detached_for),
        detached_for,
    }
}

/// Tries to acquire the lease; `None` without a store or when the request fails.
async fn acquire_lease(shared: &Shared) -> Option<Attempt> {
    let store = shared.store.as_ref()?;
    match lease::acquire(shared, store).await {
        Ok(attempt) => Some(attempt),
        Err(error) => {
            log::warn!(
                node = shared.local.id.as_str(), reason:% = error; "reader lease request failed"
            );
            None
        }
    }
}

/// Starts or stops acting as root for membership while the store does not answer.
fn update_acting_root(shared: &Shared, detached_for: Duration) {
    let (has_lowest_priority, has_lower_root) = {
        let table = shared.table();
        let Some(me) = table.get(&shared.local.id) else {
            return;
        };
        (
            placement::has_lowest_priority(&table, me),
            placement::has_lower_priority_root(&table, me),
        )
    };
    if has_lower_root {
        stop_acting_as_root(shared, "a root with a lower priority value exists");
    } else if has_lowest_priority && detached_for >= DETACHED_LIMIT && shared.role() == Role::Member
    {
        shared.set_role(Role::ActingRoot);
        if detached_duration(shared).is_none() {
            // A parent accepted the node in the meantime.
            shared.stop_acting_as_root();
            return;
        }
        log::warn!(
            node = shared.local.id.as_str(), region = shared.local.region.as_str(),
            reason = "store does not answer"; "acting as root for membership"
        );
    }
}

fn stop_acting_as_root(shared: &Shared, reason: &str) {
    if shared.stop_acting_as_root() {
        log::info!(node = shared.local.id.as_str(), reason = reason; "stopped acting as root");
    }
}

/// Reads the store and renews the lease until the lease is lost or the node begins to stop.
async fn run_as_reader(shared: &Shared, lease: Lease, until: Instant) {
    let Some(store) = &shared.store else {
        return;
    };
    shared.set_role(Role::Reader(until));
    log::info!(
        node = shared.local.id.as_str(), region = shared.local.region.as_str(),
        version = shared.version().get(), reason = "lease acquired"; "became the reader"
    );
    let read_versions = async {
        if shared.config.source == Source::Tree {
            source::follow(shared, store).await;
        }
        // With `source = store` another task of this node reads the store.
        std::future::pending::<()>().await;
    };
    let reason = tokio::select! {
        reason = keep_lease(shared, store, lease, until) => reason,
        () = read_versions => "reading ended",
        () = shared.wait_draining() => {
            // If the call fails, the lease expires on its own.
            let _ = store.revoke(lease, Deadline::after(LEASE_INTERVAL)).await;
            "node is stopping"
        }
    };
    shared
        .attachment
        .send_replace(Attachment::Detached(Instant::now()));
    shared.set_role(Role::Member);
    log::warn!(
        node = shared.local.id.as_str(), region = shared.local.region.as_str(),
        version = shared.version().get(), reason = reason; "no longer the reader"
    );
}

/// Renews the lease until it is lost. Returns the reason for the loss.
async fn keep_lease(
    shared: &Shared,
    store: &Store,
    lease: Lease,
    mut until: Instant,
) -> &'static str {
    let mut next = Instant::now() + LEASE_INTERVAL;
    loop {
        sleep_until(next.min(until)).await;
        let before = Instant::now();
        if before >= until {
            return "lease expired";
        }
        let limit = (before + shared.config.store_timeout).min(until);
        match store.keep_alive(lease, Deadline::new(limit)).await {
            Ok(ttl) => {
                until = before + ttl.min(shared.config.lease_ttl);
                if Instant::now() >= until {
                    return "lease expired";
                }
                shared.role.send_replace(Role::Reader(until));
                next = before + LEASE_INTERVAL;
            }
            Err(store::Error::LeaseLapsed) => return "lease expired in the store",
            Err(error) => {
                log::warn!(
                    node = shared.local.id.as_str(), reason:% = error; "reader lease renewal failed"
                );
                sleep(RENEWAL_RETRY_DELAY).await;
                next = Instant::now();
            }
        }
    }
}
