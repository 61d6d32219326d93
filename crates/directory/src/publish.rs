//! Task that publishes the entry of this node in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use types::Deadline;

use crate::handle::Shared;
use crate::own_entry::Written;
use crate::source::Backoff;
use crate::{CallKind, Error, Item, Lease, LeaseId, Revision};

/// Time to live of the lease. The entry of a node that has died remains for this long.
const LEASE_TTL: Duration = Duration::from_secs(9);

/// Lease renewals per time to live. Two of them may fail without the lease expiring.
const RENEWALS_PER_TTL: u32 = 3;

/// Time within which the other nodes read a new entry. They watch the entries at most every 3 s.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// Longest time for which an entry that equals the one of an earlier process is not written. Upstreams
/// announce themselves every 1.5 s, and the first announcement often changes the entry.
const REWRITE_DELAY: Duration = Duration::from_secs(2);

/// Publishes the own entry until the future is dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut publisher = Publisher {
        own_entry: shared.own_entry.subscribe(),
        shared,
        lease: None,
        renew_at: Instant::now(),
        stored_revision: Revision::default(),
    };
    publisher.run().await;
}

struct Publisher {
    shared: Arc<Shared>,
    own_entry: watch::Receiver<crate::Entry>,
    lease: Option<Lease>,
    renew_at: Instant,
    /// Last known revision of the own key in the store.
    stored_revision: Revision,
}

impl Publisher {
    async fn run(&mut self) {
        // The entry of an earlier process must be read before it is replaced.
        self.shared.wait_previous_entry().await;
        // A node without an upstream, present or departed, has nothing to publish, and each write wakes
        // all other nodes. The sender lives in `shared`, so the wait cannot fail.
        let _ = self
            .own_entry
            .wait_for(|own| own.record.service.is_some() || own.departed.is_some())
            .await;
        let mut is_written = false;
        if let Some(stored) = self.shared.known_previous_entry() {
            self.stored_revision = stored.revision;
            self.adopt_lease(stored.lease).await;
            let is_changed = |own: &crate::Entry| !own.is_equivalent(&stored.entry);
            // A timeout means that the entry stays as it was.
            let _ = timeout(REWRITE_DELAY, self.own_entry.wait_for(is_changed)).await;
            let own = self.own_entry.borrow_and_update().clone();
            if self.lease.is_some() && !is_changed(&own) {
                is_written = true;
                self.record_written(own.record.sequence);
            }
        }
        let mut backoff = Backoff::new();
        // Whether the store is asked by a renewal, which costs it less than a write, until it
        // answers again.
        let mut is_probing = false;
        loop {
            let result = if is_written || is_probing && self.lease.is_some() {
                self.renew().await
            } else {
                self.write().await
            };
            match result {
                Ok(()) if is_probing && !is_written => {
                    is_probing = false;
                    continue;
                }
                Ok(()) => {
                    is_written = true;
                    is_probing = false;
                    backoff.reset();
                }
                Err(Error::LeaseExpired) => {
                    log::warn!("lease of the own entry has expired");
                    self.lease = None;
                    is_written = false;
                    is_probing = false;
                    continue;
                }
                Err(Error::Conflict(revision)) if revision != self.stored_revision => {
                    self.stored_revision = revision;
                    continue;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "failed to publish the own entry");
                    is_probing = true;
                    backoff.wait().await;
                    continue;
                }
            }
            tokio::select! {
                () = sleep_until(self.renew_at) => {}
                // The sender lives in `shared`, so the wait cannot fail.
                _ = self.own_entry.changed() => is_written = false,
                () = self.shared.entry_outdated.notified() => {
                    log::warn!("own entry is missing from the store or was replaced there");
                    is_written = false;
                }
            }
        }
    }

    /// Takes over the lease of the entry that an earlier process has left, unless it has expired. A
    /// renewal costs the store less than a new lease and a write, and after a loss of power all nodes
    /// return at the same time.
    async fn adopt_lease(&mut self, lease: Option<LeaseId>) {
        let Some(id) = lease else { return };
        let requested_at = Instant::now();
        match self.call_renew(id).await {
            Ok(()) => {
                log::info!(lease:% = id; "lease of an earlier process taken over");
                self.renew_at = requested_at + LEASE_TTL / RENEWALS_PER_TTL;
                self.lease = Some(Lease { id, ttl: LEASE_TTL });
            }
            Err(error) => {
                log::info!(lease:% = id, reason:% = error; "lease of an earlier process not taken over");
            }
        }
    }

    fn record_written(&self, sequence: u32) {
        let revision = self.stored_revision;
        let written = Written { sequence, revision };
        self.shared.written.send_replace(Some(written));
        let known_to_others_at = &self.shared.known_to_others_at;
        known_to_others_at.get_or_init(|| Deadline::after(PROPAGATION_TIME));
    }

    async fn renew(&mut self) -> Result<(), Error> {
        let Some(lease) = self.lease else {
            return Err(Error::LeaseExpired);
        };
        let requested_at = Instant::now();
        self.call_renew(lease.id).await?;
        self.renew_at = requested_at + lease.ttl / RENEWALS_PER_TTL;
        Ok(())
    }

    async fn call_renew(&self, lease: LeaseId) -> Result<(), Error> {
        let backend = &self.shared.backend;
        let result = (backend.renew)(lease).await;
        backend.health.record(CallKind::Renew, &result);
        result
    }

    /// Writes the entry, under a new lease when there is none.
    async fn write(&mut self) -> Result<(), Error> {
        let requested_at = Instant::now();
        let lease = if let Some(lease) = self.lease {
            lease
        } else {
            let result = (self.shared.backend.grant)(LEASE_TTL).await;
            self.shared.backend.health.record(CallKind::Grant, &result);
            let lease = result?;
            self.renew_at = requested_at + lease.ttl / RENEWALS_PER_TTL;
            *self.lease.insert(lease)
        };
        let entry = self.own_entry.borrow_and_update().clone();
        let bytes = entry
            .encode()
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let item = Item {
            key: self.shared.key(),
            value: Bytes::from(bytes),
            revision: self.stored_revision,
            lease: Some(lease.id),
        };
        let result = (self.shared.backend.put)((item, lease.id, self.stored_revision)).await;
        self.shared.backend.health.record(CallKind::Put, &result);
        self.stored_revision = result?;
        self.record_written(entry.record.sequence);
        log::info!(
            state:? = entry.record.state, sequence = entry.record.sequence, lease:% = lease.id;
            "own entry written"
        );
        Ok(())
    }
}
