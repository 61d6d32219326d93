use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard};

use arc_swap::ArcSwap;
use bundle::Bundle;
use member::{MergeOutcome, Record, State, Table};
use schema::control::{DomainSummary, Records};
use store::Store;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use types::{Incarnation, Timestamp, Version, id, size::Slots};

use crate::admission::{Admission, MAX_CONCURRENT_SNAPSHOTS, Role};
use crate::condition::wait_for;
use crate::fresh_reads::FreshReads;
use crate::gossip::{Gossip, Origin};
use crate::history::History;
use crate::reported_versions::ReportedVersions;
use crate::traffic::Counters;
use crate::{Config, Source};

/// Handle on the state that the tasks of one node share.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Node>);

/// Id, peer address and location of this node. They never change.
pub(crate) struct Identity {
    pub(crate) id: id::Node,
    pub(crate) address: SocketAddr,
    pub(crate) region: id::Region,
    pub(crate) domain: id::Domain,
}

/// State of this node. No lock is held across an await.
pub(crate) struct Node {
    pub(crate) config: Config,
    pub(crate) local: Identity,
    pub(crate) store: Option<Store>,
    pub(crate) gossip: Gossip,
    pub(crate) bundles: watch::Sender<Arc<Bundle>>,
    pub(crate) role: watch::Sender<Role>,
    pub(crate) attachment: watch::Sender<Attachment>,
    pub(crate) floor: watch::Sender<Option<Version>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) fresh_reads: FreshReads,
    pub(crate) snapshot_permits: Arc<Semaphore>,
    pub(crate) standby_links: AtomicUsize,
    pub(crate) counters: Counters,
    /// Set when the graceful shutdown begins.
    pub(crate) draining: watch::Sender<bool>,
    /// Set when all links must be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// Number of open links.
    pub(crate) open_links: watch::Sender<usize>,
    pub(crate) incarnation: Incarnation,
    /// Address of the reader of the region, as last read from the store.
    pub(crate) reader_address: watch::Sender<Option<SocketAddr>>,
    /// Set when the standby has been ahead of this node for too long. The node then changes its
    /// parent.
    pub(crate) parent_lagging: watch::Sender<bool>,
    /// Time at which a peer last answered an attempt to attach.
    pub(crate) peer_answered_at: watch::Sender<Option<Instant>>,
    /// Whether the first parent knew the id or address of this node from an earlier process.
    pub(crate) known_before_start: OnceLock<bool>,
    bundle: ArcSwap<Bundle>,
    history: Mutex<History>,
    table: RwLock<Table>,
    upstream: Mutex<Option<Upstream>>,
    reported_versions: Mutex<ReportedVersions>,
    children: Mutex<Admission<ChildState>>,
    regions: Mutex<BTreeMap<id::Region, RegionState>>,
    pub(crate) convergence_ms: AtomicU64,
    next_link_id: AtomicU64,
    /// Highest sequence that was sent in a `Hello`.
    hello_sequence: AtomicU32,
}

/// Service, slots and state of the upstream beside this node.
pub(crate) type Upstream = (id::Service, Slots, State);

/// Link of this node to its parent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Attachment {
    /// Without a parent since the instant.
    Detached(Instant),
    /// Child of this parent.
    Attached(id::Node),
}

/// State that a parent keeps for one child.
pub(crate) struct ChildState {
    /// Link that serves the child. An older link of the child is closed.
    pub(crate) link_id: u64,
    pub(crate) summaries: Vec<DomainSummary>,
}

/// State that a root keeps for another region.
pub(crate) struct RegionState {
    pub(crate) link_id: u64,
    pub(crate) summaries: Vec<DomainSummary>,
}

impl Deref for Shared {
    type Target = Node;

    fn deref(&self) -> &Node {
        &self.0
    }
}

impl Shared {
    pub(crate) fn new(config: Config, record: Record, store: Option<Store>) -> Self {
        let local = Identity {
            id: record.id.clone(),
            address: record.address,
            region: record.region.clone(),
            domain: record.domain.clone(),
        };
        let incarnation = record.incarnation;
        let mut table = Table::default();
        table.merge(record, Instant::now());
        let empty = Arc::new(Bundle::empty());
        Self(Arc::new(Node {
            config,
            local,
            store,
            gossip: Gossip::default(),
            bundles: watch::Sender::new(Arc::clone(&empty)),
            role: watch::Sender::default(),
            attachment: watch::Sender::new(Attachment::Detached(Instant::now())),
            floor: watch::Sender::default(),
            ready: watch::Sender::default(),
            fresh_reads: FreshReads::default(),
            snapshot_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_SNAPSHOTS)),
            standby_links: AtomicUsize::new(0),
            counters: Counters::default(),
            draining: watch::Sender::default(),
            closing: watch::Sender::default(),
            open_links: watch::Sender::default(),
            incarnation,
            reader_address: watch::Sender::default(),
            parent_lagging: watch::Sender::default(),
            peer_answered_at: watch::Sender::default(),
            known_before_start: OnceLock::new(),
            bundle: ArcSwap::new(empty),
            history: Mutex::default(),
            table: RwLock::new(table),
            upstream: Mutex::default(),
            reported_versions: Mutex::default(),
            children: Mutex::default(),
            regions: Mutex::default(),
            convergence_ms: AtomicU64::new(0),
            next_link_id: AtomicU64::new(1),
            hello_sequence: AtomicU32::new(0),
        }))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Allocates the id of a new link.
    pub(crate) fn next_link_id(&self) -> u64 {
        self.next_link_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn table(&self) -> RwLockReadGuard<'_, Table> {
        self.table.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reported_versions(&self) -> MutexGuard<'_, ReportedVersions> {
        lock(&self.reported_versions)
    }

    pub(crate) fn children(&self) -> MutexGuard<'_, Admission<ChildState>> {
        lock(&self.children)
    }

    pub(crate) fn regions(&self) -> MutexGuard<'_, BTreeMap<id::Region, RegionState>> {
        lock(&self.regions)
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }

    pub(crate) fn bundle(&self) -> Arc<Bundle> {
        self.bundle.load_full()
    }

    pub(crate) fn version(&self) -> Version {
        self.bundle.load().version
    }

    pub(crate) fn role(&self) -> Role {
        *self.role.borrow()
    }

    pub(crate) fn is_root(&self) -> bool {
        self.role().is_root(Instant::now())
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until all links must be closed.
    pub(crate) async fn wait_closing(&self) {
        wait_for(&self.closing, |closing| *closing).await;
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Waits until the graceful shutdown begins.
    pub(crate) async fn wait_draining(&self) {
        wait_for(&self.draining, |draining| *draining).await;
    }

    /// Waits until no link is open.
    pub(crate) async fn wait_links_closed(&self) {
        wait_for(&self.open_links, |open| *open == 0).await;
    }

    /// Parent in the tree; `None` for a root.
    pub(crate) fn parent(&self) -> Option<id::Node> {
        match &*self.attachment.borrow() {
            Attachment::Attached(parent) if !self.is_root() => Some(parent.clone()),
            _ => None,
        }
    }

    /// Whether this node has a parent or is a root. A node that is cut off cannot judge the state
    /// of others.
    pub(crate) fn is_in_tree(&self) -> bool {
        self.is_root() || matches!(*self.attachment.borrow(), Attachment::Attached(_))
    }

    /// Record of this node as the table holds it.
    pub(crate) fn own_record(&self) -> Option<Record> {
        self.table().get(&self.local.id).cloned()
    }

    /// Replaces the held version by a newer one. Returns false and changes nothing when `bundle` is
    /// not newer. `source` is the reason in the log.
    pub(crate) fn install(&self, bundle: Bundle, source: &str) -> bool {
        let bundle = Arc::new(bundle);
        let mut history = self.history();
        let held = self.bundle();
        if bundle.version <= held.version {
            return false;
        }
        history.push(&held, &bundle);
        let convergence = Timestamp::now().since(bundle.published);
        self.convergence_ms.store(convergence, Ordering::Relaxed);
        self.bundle.store(Arc::clone(&bundle));
        self.bundles.send_replace(Arc::clone(&bundle));
        drop(history);
        log::info!(
            node = self.local.id.as_str(), version = bundle.version.get(),
            from = held.version.get(), convergence_ms = convergence, reason = source;
            "version applied"
        );
        true
    }

    /// Changes the record of this node, raises its sequence and sends it to the peers.
    pub(crate) fn update_own_record<F>(&self, change: F) -> Option<Record>
    where
        F: FnOnce(&mut Record),
    {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let mut me = table.get(&self.local.id)?.clone();
        change(&mut me);
        let hello_sequence = self.hello_sequence.load(Ordering::Relaxed);
        me.sequence = me.sequence.max(hello_sequence).saturating_add(1);
        let merge = table.merge(me.clone(), Instant::now());
        drop(table);
        self.gossip.queue(&me.id, Origin::Local, merge);
        Some(me)
    }

    /// Record of this node for a `Hello` to a parent. It has a new sequence, so the record that the
    /// parent derives from it wins over the records that earlier attempts left at other nodes. This
    /// node does not send it to other peers, since most attempts are refused when many nodes start
    /// at once.
    pub(crate) fn hello_record(&self) -> Option<Record> {
        let mut me = self.own_record()?;
        me.parent = None;
        let hello_sequence = self
            .hello_sequence
            .fetch_max(me.sequence, Ordering::Relaxed);
        me.sequence = me.sequence.max(hello_sequence).saturating_add(1);
        self.hello_sequence
            .fetch_max(me.sequence, Ordering::Relaxed);
        Some(me)
    }

    /// Sets the role and updates the record of this node.
    pub(crate) fn set_role(&self, role: Role) {
        let now = Instant::now();
        let old = self.role.send_replace(role);
        let is_root = role.is_root(now);
        if is_root != (old != Role::Member) {
            self.update_own_record(|me| {
                me.root = is_root;
                if is_root {
                    me.parent = None;
                }
            });
        }
    }

    /// Stops acting as root. Returns false when the node did not act as root.
    pub(crate) fn stop_acting_as_root(&self) -> bool {
        let stopped = self.role.send_if_modified(|role| {
            let acting = *role == Role::ActingRoot;
            if acting {
                *role = Role::Member;
            }
            acting
        });
        if stopped {
            self.update_own_record(|me| me.root = false);
        }
        stopped
    }

    pub(crate) fn set_upstream(&self, upstream: Option<Upstream>) {
        let mut held = lock(&self.upstream);
        if *held == upstream {
            return;
        }
        *held = upstream;
        drop(held);
        self.refresh_state();
    }

    /// Updates state, service and slots in the record of this node.
    pub(crate) fn refresh_state(&self) {
        let upstream = lock(&self.upstream).clone();
        let ready = *self.ready.borrow();
        let draining = self.is_draining();
        self.update_own_record(|me| {
            me.state = match &upstream {
                _ if me.state == State::Left => State::Left,
                _ if draining => State::Draining,
                _ if !ready => State::Starting,
                Some((_, _, state)) => *state,
                None => State::Ready,
            };
            me.service = upstream.as_ref().map(|(service, _, _)| service.clone());
            me.slots = upstream.map(|(_, slots, _)| slots).unwrap_or_default();
        });
    }

    /// Merges a record that came from `origin` and forwards it when it is new.
    pub(crate) fn merge(&self, record: Record, age_s: u32, origin: Origin) -> MergeOutcome {
        let now = Instant::now();
        let id = record.id.clone();
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if id == self.local.id {
            return self.refute(&mut table, &record, now);
        }
        let age = std::time::Duration::from_secs(age_s.into());
        let merge = table.merge_with_age(record, age, now);
        drop(table);
        self.gossip.queue(&id, origin, merge);
        merge
    }

    /// Overrides a record about this node that this process has not made.
    fn refute(&self, table: &mut Table, seen: &Record, now: Instant) -> MergeOutcome {
        let Some(mine) = table.get(&self.local.id) else {
            return MergeOutcome::Stale;
        };
        if seen.precedence(mine).is_le() {
            return MergeOutcome::Stale;
        }
        let answer = mine.refute(seen);
        let merge = table.merge(answer, now);
        self.gossip.queue(&self.local.id, Origin::Local, merge);
        log::info!(
            node = self.local.id.as_str(), state = seen.state.as_str();
            "record about this node overridden"
        );
        merge
    }

    /// Sets the state of a node if its record is still `seen`.
    pub(crate) fn mark(&self, seen: &Record, state: State, reason: &str) -> bool {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let merge = table.mark_state(seen, state, Instant::now());
        drop(table);
        if !merge.is_applied() {
            return false;
        }
        self.gossip.queue(&seen.id, Origin::Local, merge);
        log::warn!(
            node = self.local.id.as_str(), peer = seen.id.as_str(), state = state.as_str(),
            reason = reason; "member state changed"
        );
        true
    }

    /// Merges a gossip message. Returns true when a change belongs to a record that is not held.
    pub(crate) fn merge_records(&self, message: &Records, origin: Origin) -> bool {
        for record in &message.records {
            match Record::try_from(record) {
                Ok(merged) => {
                    self.merge(merged, record.gone_s, origin);
                }
                Err(error) => {
                    log::warn!(
                        id = record.id.as_str(), reason:% = error;
                        "invalid membership record ignored"
                    );
                }
            }
        }
        let mut missing = false;
        for change in &message.changes {
            match member::StateChange::try_from(change) {
                Ok(merged) => {
                    missing |= self.merge_change(&merged, origin) == MergeOutcome::BaseMismatch;
                }
                Err(error) => {
                    log::warn!(
                        id = change.id.as_str(), reason:% = error;
                        "invalid membership change ignored"
                    );
                }
            }
        }
        missing
    }

    fn merge_change(&self, change: &member::StateChange, origin: Origin) -> MergeOutcome {
        let now = Instant::now();
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if change.id == self.local.id {
            let Some(mine) = table.get(&change.id) else {
                return MergeOutcome::BaseMismatch;
            };
            let mut seen = mine.clone();
            seen.incarnation = change.incarnation;
            seen.sequence = change.sequence;
            seen.state = change.state;
            return self.refute(&mut table, &seen, now);
        }
        let merge = table.merge_state_change(change, now);
        drop(table);
        self.gossip.queue(&change.id, origin, merge);
        merge
    }

    /// Drops the records of nodes that went down or left long ago.
    pub(crate) fn drop_gone(&self) -> usize {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        table.remove_expired(Instant::now())
    }

    /// Whether versions are distributed through the tree.
    pub(crate) fn distributes_versions(&self) -> bool {
        self.config.source == Source::Tree
    }
}
