use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use member::{Record, State, compute_priority};
use route::Candidate;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use types::{Deadline, id, size};
use wire::Stream;

use crate::election::choose_coordinator;
use crate::entry::{Entry, UpstreamStart};
use crate::handoff::{self, Handoff};
use crate::own_entry::{OwnUpdate, PreviousEntry, StoredEntry, Written};
use crate::plan::Plan;
use crate::publish;
use crate::{Backend, Change, Item, Relay, Replica, Revision, Update, WatchOptions};

/// Directory of the nodes in the store, and publisher of the own entry. Clones share one state.
#[derive(Clone)]
pub struct Directory {
    pub(crate) shared: Arc<Shared>,
    tasks: Arc<Tasks>,
}

/// Upstream beside a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Service that the upstream runs.
    pub service: id::Service,
    /// Number of calls that the upstream runs concurrently.
    pub slots: size::Slots,
    /// Version of its software; `None` if it is not known.
    pub build: Option<id::Build>,
    /// State of the upstream, which determines whether it gets calls.
    pub state: State,
    /// Current start of the upstream.
    pub start: UpstreamStart,
}

pub(crate) struct Shared {
    pub(crate) backend: Arc<Backend>,
    pub(crate) prefix: String,
    /// Entry that the store should hold for this node.
    pub(crate) own_entry: watch::Sender<Entry>,
    /// Wakes the publisher if the own entry is missing from the store or was replaced there.
    pub(crate) entry_outdated: Notify,
    /// Own entry that this process has last written to the store, or found there.
    pub(crate) written: watch::Sender<Option<Written>>,
    /// Time by which the other nodes have read the entry that this process has written first.
    pub(crate) known_to_others_at: OnceLock<Deadline>,
    /// Whether the entries that this node has read include the one that it has written.
    is_listed: AtomicBool,
    replica: Mutex<Replica>,
    previous_entry: watch::Sender<PreviousEntry>,
    pub(crate) handoff: Handoff,
    /// Wakes the task that maintains the plan.
    updated: Notify,
}

struct Tasks {
    plan: JoinHandle<()>,
    publish: JoinHandle<()>,
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.plan.abort();
        self.publish.abort();
    }
}

/// Time for which a departure waits for the store before other nodes are asked to keep it.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time until a removed node is left out of the plan after its grace time.
const PLAN_INTERVAL: Duration = Duration::from_secs(3);

impl Directory {
    /// Starts the tasks of the node with the initial `record`. The keys of entries start with
    /// `prefix`, and `relay` follows them.
    ///
    /// Must be called within a Tokio runtime.
    #[must_use]
    pub fn start(
        backend: Arc<Backend>,
        relay: &Relay,
        prefix: &str,
        options: WatchOptions,
        record: Record,
    ) -> Self {
        let shared = Arc::new(Shared {
            backend,
            prefix: prefix.to_owned(),
            own_entry: watch::Sender::new(Entry {
                record,
                departed: None,
                current: None,
            }),
            entry_outdated: Notify::new(),
            written: watch::Sender::new(None),
            known_to_others_at: OnceLock::new(),
            is_listed: AtomicBool::new(false),
            replica: Mutex::default(),
            previous_entry: watch::Sender::new(PreviousEntry::Unknown),
            handoff: Handoff::default(),
            updated: Notify::new(),
        });
        let consumer = Arc::clone(&shared);
        relay.add_table(prefix, options, move |update, reached| {
            consumer.apply(update, reached);
            true
        });
        let plan = tokio::spawn(maintain_plan(Arc::clone(&shared), relay.clone()));
        let publish = tokio::spawn(publish::run(Arc::clone(&shared)));
        let tasks = Arc::new(Tasks { plan, publish });
        Self { shared, tasks }
    }

    /// Whether the entries of the other nodes are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_loaded()
    }

    /// Whether this node knows the other live nodes and they know it, so that what all nodes share may be
    /// divided by [`Directory::node_count`].
    ///
    /// The leases of all nodes may have expired when a process starts, and the entries are written again
    /// within seconds of each other. Once a node has read its own entry, it knows all that were written
    /// before; the others know it some time later. A process that finds the entry of an earlier process
    /// of its node follows no such loss.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        match &*self.shared.previous_entry.borrow() {
            PreviousEntry::Unknown => false,
            PreviousEntry::Found(_) => true,
            PreviousEntry::Absent => {
                let known_at = self.shared.known_to_others_at.get();
                self.shared.is_listed.load(Ordering::Acquire)
                    && known_at.is_some_and(|at| at.has_passed(Instant::now()))
            }
        }
    }

    /// Waits until the entries of the other nodes are known; returns false if the deadline passes
    /// first.
    pub async fn wait_ready(&self, deadline: Deadline) -> bool {
        let loading = self.shared.wait_previous_entry();
        tokio::time::timeout_at(deadline.instant(), loading)
            .await
            .is_ok()
    }

    /// Ready targets of a service.
    #[must_use]
    pub fn targets(&self, service: &id::Service) -> Vec<Candidate> {
        let own = self.shared.own_entry.borrow().record.clone();
        let replica = self.shared.lock();
        // The own upstream is known before its entry is in the store, and during outages of the
        // store.
        let others = replica
            .targets(service, Instant::now())
            .filter(|record| record.id != own.id);
        let is_own = own.state == State::Ready && own.service.as_ref() == Some(service);
        let own = is_own.then_some(&own);
        others.chain(own).map(Candidate::from).collect()
    }

    /// Number of live nodes, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let own = self.shared.own_entry.borrow().record.id.clone();
        let replica = self.shared.lock();
        let others = replica
            .live(Instant::now())
            .filter(|record| record.id != own);
        others.count() + 1
    }

    /// Selects the live node that coordinates what one node has to decide for all, with its address.
    /// `avoided` holds the times until which nodes are selected after the others only.
    #[must_use]
    #[allow(
        clippy::implicit_hasher,
        reason = "the map is internal state of the caller"
    )]
    pub fn elect(&self, avoided: &HashMap<id::Node, Deadline>) -> Option<(id::Node, SocketAddr)> {
        choose_node(self.live_nodes(), avoided)
    }

    /// Selects like [`Directory::elect`], but this node only when it [is settled](Directory::is_settled).
    #[must_use]
    #[allow(
        clippy::implicit_hasher,
        reason = "the map is internal state of the caller"
    )]
    pub fn elect_settled(
        &self,
        avoided: &HashMap<id::Node, Deadline>,
    ) -> Option<(id::Node, SocketAddr)> {
        let mut nodes = self.live_nodes();
        if !self.is_settled() {
            let own = self.shared.node();
            nodes.retain(|(node, _)| *node != own);
        }
        choose_node(nodes, avoided)
    }

    /// Record of this node.
    #[must_use]
    pub fn own_record(&self) -> Record {
        self.shared.own_entry.borrow().record.clone()
    }

    /// Records of the live nodes with an upstream of a service, in whatever state.
    #[must_use]
    pub fn records_of(&self, service: &id::Service) -> Vec<Record> {
        let own = self.own_record();
        let replica = self.shared.lock();
        let others = replica
            .live(Instant::now())
            .filter(|record| record.id != own.id);
        others
            .chain([&own])
            .filter(|record| record.service.as_ref() == Some(service))
            .cloned()
            .collect()
    }

    /// Ids and addresses of the live nodes, this one included.
    #[must_use]
    pub fn live_nodes(&self) -> Vec<(id::Node, SocketAddr)> {
        let own = self.shared.own_entry.borrow().record.clone();
        let replica = self.shared.lock();
        let others = replica
            .live(Instant::now())
            .filter(|record| record.id != own.id);
        others
            .chain([&own])
            .map(|record| (record.id.clone(), record.address))
            .collect()
    }

    /// Returns the entry that an earlier process of this node has left. Waits until the store has
    /// been read.
    pub async fn previous_entry(&self) -> Option<Entry> {
        self.shared.wait_previous_entry().await;
        match &*self.shared.previous_entry.borrow() {
            PreviousEntry::Found(stored) => Some(stored.entry.clone()),
            PreviousEntry::Unknown | PreviousEntry::Absent => None,
        }
    }

    /// Publishes the state of the upstream beside this node.
    pub fn set_upstream(&self, upstream: Option<Upstream>) {
        self.update_entry(|entry| {
            let record = &mut entry.record;
            if let Some(upstream) = upstream {
                record.service = Some(upstream.service);
                record.slots = upstream.slots;
                record.build = upstream.build;
                record.started = Some(upstream.start.started);
                record.state = upstream.state;
                entry.current = Some(upstream.start);
            } else {
                record.service = None;
                record.build = None;
                record.started = None;
                record.state = State::Starting;
                entry.current = None;
            }
        });
    }

    /// Publishes the start of the upstream that has departed.
    pub fn set_departed(&self, departed: UpstreamStart) {
        self.shared.set_departed(departed);
    }

    /// Publishes the start of the upstream that has departed, and waits until the departure outlives
    /// this process: in the store or, while it does not answer, at other nodes. Returns false if the
    /// deadline passes first.
    pub async fn keep_departure(&self, departed: UpstreamStart, deadline: Deadline) -> bool {
        self.set_departed(departed.clone());
        let store_deadline = deadline.min(Deadline::after(STORE_TIMEOUT));
        if self.flush(store_deadline).await {
            return true;
        }
        tokio::select! {
            is_stored = self.flush(deadline) => is_stored,
            is_kept = handoff::deposit(&self.shared, departed, deadline) => is_kept,
        }
    }

    /// Serves a stream on which another node hands over a departure. `apply` is called with one that
    /// concerns this node, and returns whether it has to be recorded.
    pub async fn serve_handoff<A>(&self, stream: Stream, apply: A)
    where
        A: FnOnce(&UpstreamStart) -> bool,
    {
        handoff::serve(&self.shared, stream, apply).await;
    }

    /// Stops publishing. The entry remains until its lease expires, so that a process that restarts
    /// soon finds it.
    pub fn close(self) {
        self.tasks.publish.abort();
    }

    /// Waits until the store has the current own entry; returns false if the deadline passes first.
    pub async fn flush(&self, deadline: Deadline) -> bool {
        let waiting = self.shared.wait_written(self.shared.sequence());
        tokio::time::timeout_at(deadline.instant(), waiting)
            .await
            .is_ok()
    }

    /// Publishes that this node accepts no more calls.
    pub fn mark_left(&self) {
        self.update_entry(|entry| entry.record.state = State::Left);
    }

    fn update_entry<F>(&self, change: F)
    where
        F: FnOnce(&mut Entry),
    {
        self.shared.own_entry.send_if_modified(|entry| {
            if entry.record.state == State::Left {
                return false;
            }
            let before = entry.clone();
            change(entry);
            let changed = *entry != before;
            entry.record.sequence += u32::from(changed);
            changed
        });
    }
}

impl Shared {
    /// Key of the own entry.
    pub(crate) fn key(&self) -> String {
        format!("{}{}", self.prefix, self.own_entry.borrow().record.id)
    }

    /// Id of this node.
    pub(crate) fn node(&self) -> id::Node {
        self.own_entry.borrow().record.id.clone()
    }

    /// Sequence number of the own record.
    pub(crate) fn sequence(&self) -> u32 {
        self.own_entry.borrow().record.sequence
    }

    /// Waits until the store has the own record with this sequence number or a later one.
    pub(crate) async fn wait_written(&self, sequence: u32) {
        let is_written =
            |written: &Option<Written>| written.is_some_and(|written| written.sequence >= sequence);
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.written.subscribe().wait_for(is_written).await;
    }

    /// Records the start of the upstream that has departed.
    pub(crate) fn set_departed(&self, departed: UpstreamStart) {
        // The next process must know the departure, so it is published even after this node has
        // left.
        self.own_entry.send_if_modified(|entry| {
            let is_known = entry.departed.as_ref().is_some_and(|known| {
                known.instance == departed.instance && known.started >= departed.started
            });
            if !is_known {
                entry.departed = Some(departed);
                entry.record.sequence += 1;
            }
            !is_known
        });
    }

    /// A departure of the upstream beside this node.
    pub(crate) fn departure(&self, departed: UpstreamStart) -> handoff::Departure {
        let own = self.own_entry.borrow();
        handoff::Departure {
            node: own.record.id.clone(),
            address: own.record.address,
            departed,
        }
    }

    /// Other live nodes, in random order, with the addresses of their peer ports.
    pub(crate) fn choose_peers(&self, count: usize) -> Vec<(id::Node, SocketAddr)> {
        let own = self.node();
        let replica = self.lock();
        let others = replica
            .live(Instant::now())
            .filter(|record| record.id != own);
        handoff::choose_peers(
            others.map(|record| (record.id.clone(), record.address)),
            count,
        )
    }

    /// Waits until the entry of an earlier process of this node is known.
    pub(crate) async fn wait_previous_entry(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self
            .previous_entry
            .subscribe()
            .wait_for(PreviousEntry::is_known)
            .await;
    }

    /// Entry that an earlier process has left, once the store has been read.
    pub(crate) fn known_previous_entry(&self) -> Option<StoredEntry> {
        match &*self.previous_entry.borrow() {
            PreviousEntry::Found(stored) => Some(stored.as_ref().clone()),
            PreviousEntry::Unknown | PreviousEntry::Absent => None,
        }
    }

    /// Applies an update that is complete up to the revision `reached`.
    fn apply(&self, update: &Update, reached: Revision) {
        match self.update_replica(update, reached) {
            OwnUpdate::None => {}
            OwnUpdate::Found(stored) => {
                let own_incarnation = self.own_entry.borrow().record.incarnation;
                if stored.entry.record.incarnation == own_incarnation {
                    self.is_listed.store(true, Ordering::Release);
                }
                self.keep_departed(&stored.entry);
                if self.is_replaced_by(&stored.entry, reached) {
                    self.entry_outdated.notify_one();
                }
                self.resolve_previous(PreviousEntry::Found(stored));
            }
            OwnUpdate::Missing => {
                // An update from before the write does not contain the entry.
                let was_written = |written: Written| reached > written.revision;
                if self.written.borrow().is_some_and(was_written) {
                    self.entry_outdated.notify_one();
                }
                self.resolve_previous(PreviousEntry::Absent);
            }
        }
        self.updated.notify_one();
    }

    /// Updates the records of the nodes; returns what the update says about the own entry.
    fn update_replica(&self, update: &Update, reached: Revision) -> OwnUpdate {
        let now = Instant::now();
        let own_key = self.key();
        let mut replica = self.lock();
        let mut own = OwnUpdate::None;
        match update {
            Update::Snapshot(items) => {
                own = OwnUpdate::Missing;
                let is_first = !self.is_loaded();
                replica.retain(|key| items.iter().any(|item| item.key == key), now);
                for item in items {
                    let entry = store_entry(&mut replica, &self.prefix, item, is_first);
                    if item.key == own_key {
                        own = OwnUpdate::new(entry, item);
                    }
                }
                if is_first {
                    let nodes = replica.live(now).count();
                    log::info!(nodes, revision:% = reached; "node entries listed");
                }
            }
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            let entry = store_entry(&mut replica, &self.prefix, item, false);
                            if item.key == own_key {
                                own = OwnUpdate::new(entry, item);
                            }
                        }
                        Change::Removed(key) => {
                            log::info!(key:%; "node entry removed");
                            replica.mark_removed(key, now);
                            if *key == own_key {
                                own = OwnUpdate::Missing;
                            }
                        }
                    }
                }
            }
        }
        own
    }

    /// Whether the store has an older entry in place of the one that this node has written or taken over.
    /// A late write of an earlier process may have replaced it, or the store was restored from a copy.
    fn is_replaced_by(&self, stored: &Entry, reached: Revision) -> bool {
        let own = self.own_entry.borrow();
        let Some(written) = *self.written.borrow() else {
            return false;
        };
        if stored.record.incarnation == own.record.incarnation {
            reached > written.revision && stored.record.sequence < written.sequence
        } else {
            !own.is_equivalent(stored)
        }
    }

    /// Takes over the departure that an earlier process has published.
    fn keep_departed(&self, stored: &Entry) {
        self.own_entry.send_if_modified(|own| {
            let is_new = own.departed.is_none() && stored.departed.is_some();
            if is_new {
                own.departed.clone_from(&stored.departed);
            }
            is_new
        });
    }

    /// Records what an earlier process has left, as the first listing shows it.
    fn resolve_previous(&self, previous: PreviousEntry) {
        self.previous_entry.send_if_modified(|known| {
            let is_first = !known.is_known();
            if is_first {
                *known = previous;
            }
            is_first
        });
    }

    fn plan(&self) -> Plan {
        let own = self.own_entry.borrow().record.clone();
        Plan::new(&own, self.lock().live(Instant::now()))
    }

    fn is_loaded(&self) -> bool {
        self.previous_entry.borrow().is_known()
    }

    fn lock(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Selects the node that coordinates.
fn choose_node(
    nodes: Vec<(id::Node, SocketAddr)>,
    avoided: &HashMap<id::Node, Deadline>,
) -> Option<(id::Node, SocketAddr)> {
    let ranked = nodes
        .iter()
        .map(|(node, _)| (compute_priority(node), node.clone()));
    let elected = choose_coordinator(ranked, avoided, Instant::now())?;
    nodes.into_iter().find(|(node, _)| *node == elected)
}

/// Tells the relay which nodes to follow whenever the entries change, until the future is dropped.
async fn maintain_plan(shared: Arc<Shared>, relay: Relay) {
    shared.wait_previous_entry().await;
    loop {
        relay.set_plan(shared.plan());
        // A timeout is the usual end of a quiet time.
        let _ = timeout(PLAN_INTERVAL, shared.updated.notified()).await;
    }
}

/// Stores an entry in the replica. Entries that name no node to use are ignored: other writers share
/// the store. With `is_first`, the entry belongs to the first listing, which is logged as a whole.
fn store_entry(replica: &mut Replica, prefix: &str, item: &Item, is_first: bool) -> Option<Entry> {
    match Entry::decode_item(prefix, item) {
        Ok(entry) => {
            let record = &entry.record;
            if replica.put(&item.key, record.clone()) && !is_first {
                log::info!(
                    node:% = record.id, state:? = record.state,
                    service = record.service.as_ref().map_or("", id::Service::as_str);
                    "node entry updated"
                );
            }
            Some(entry)
        }
        Err(error) => {
            log::warn!(key:% = item.key, reason:% = error; "invalid node entry ignored");
            None
        }
    }
}
