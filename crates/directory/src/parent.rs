//! Tasks that follow other nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use schema::directory::{
    Batch, Confirmation, FollowMessage, KeyChange, Probe, follow_message::Kind,
};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use types::{BootTime, Deadline, id};
use wire::{Connection, Sender, Stream};

use crate::message::{self, DecodeError, KnownValues};
use crate::plan::{Parent, Plan};
use crate::relay::{Shared, State};
use crate::table::Table;
use crate::{CallKind, Change, ListRequest, Revision, Update};

/// Timeout for connecting to a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a parent that failed is tried after the others only.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Delay before the next parent is tried after a failure. The second parent delivers the changes
/// meanwhile, or the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two probes of a parent.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Reason why this node no longer follows a parent.
#[derive(Debug, Error)]
enum EndReason {
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("{0}")]
    Decode(#[from] DecodeError),
    #[error("ended by the parent")]
    EndedByParent,
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error("no longer planned")]
    NotPlanned,
    #[error("a large value was read from the store")]
    ReadStore,
    #[error("a large value cannot be read from the store: {0}")]
    StoreUnavailable(crate::Error),
}

/// Keeps one parent until the future is dropped. Several of these tasks follow different parents.
pub(crate) async fn run(shared: Arc<Shared>, index: usize) {
    let mut failures = HashMap::new();
    let mut state = shared.subscribe();
    let mut whole = false;
    loop {
        let (plan, loaded_tables) = {
            let state = state.borrow_and_update();
            (state.plan.clone(), state.loaded_tables)
        };
        let tables = shared.tables();
        let is_loaded = loaded_tables == tables.len();
        let parent = plan.and_then(|plan| choose_parent(&plan, index, &failures));
        let Some(parent) = parent.filter(|_| is_loaded) else {
            // The sender lives in `shared`, so the wait cannot fail.
            let _ = state.changed().await;
            continue;
        };
        let node = parent.node.clone();
        let mut link = Link::new(&shared, tables);
        let Err(reason) = link.follow(&parent, whole, &mut state).await;
        log::info!(parent:% = node, reason:%; "no longer following a parent");
        whole = matches!(reason, EndReason::StoreUnavailable(_));
        let is_failure = !matches!(
            reason,
            EndReason::NotPlanned | EndReason::ReadStore | EndReason::StoreUnavailable(_)
        );
        if is_failure {
            failures.insert(node, Instant::now());
            sleep(RETRY_DELAY.mul_f64(rand::random_range(0.7..1.3))).await;
        }
        failures.retain(|_, failed_at: &mut Instant| failed_at.elapsed() < FAILURE_MEMORY);
    }
}

/// Chooses the parent of a task: those that have not failed come first, the one that failed longest
/// ago after them. The tasks choose from different parts of the list, and from different failure
/// domains where the plan allows it.
fn choose_parent(
    plan: &Plan,
    index: usize,
    failures: &HashMap<id::Node, Instant>,
) -> Option<Parent> {
    let first = plan.parents.first()?;
    let is_for_task = |position: usize, parent: &Parent| match index {
        0 => position == 0 || parent.domain == first.domain,
        _ => position != 0 && parent.domain != first.domain,
    };
    let mut candidates: Vec<&Parent> = plan
        .parents
        .iter()
        .enumerate()
        .filter(|(position, parent)| is_for_task(*position, parent))
        .map(|(_, parent)| parent)
        .collect();
    if candidates.is_empty() {
        candidates = plan.parents.iter().skip(index).collect();
    }
    candidates.sort_by_key(|parent| failures.get(&parent.node).copied());
    candidates.first().map(|parent| (*parent).clone())
}

/// Stream on which this node follows a parent.
struct Link<'a> {
    shared: &'a Shared,
    tables: Vec<Arc<Table>>,
    /// Large values that the parent knows this node has, by table.
    known: Vec<KnownValues>,
    /// Parts of a batch that is not complete yet.
    parts: Vec<KeyChange>,
    is_current: bool,
    /// Time at which the probe that has no answer yet was sent.
    probed_at: Option<BootTime>,
    next_probe: Instant,
}

impl<'a> Link<'a> {
    fn new(shared: &'a Shared, tables: Vec<Arc<Table>>) -> Self {
        let known = tables
            .iter()
            .map(|table| table.large_values().into_iter().collect());
        Self {
            shared,
            known: known.collect(),
            tables,
            parts: Vec::new(),
            is_current: false,
            probed_at: None,
            next_probe: Instant::now(),
        }
    }

    async fn follow(
        &mut self,
        parent: &Parent,
        whole: bool,
        state: &mut watch::Receiver<State>,
    ) -> Result<std::convert::Infallible, EndReason> {
        let deadline = Deadline::after(CONNECT_TIMEOUT);
        let connection = Connection::connect(parent.address, deadline).await?;
        let Stream {
            mut sender,
            mut receiver,
        } = connection.open(wire::Kind::Control).await?;
        let tables = self.tables.iter().map(AsRef::as_ref).zip(&self.known);
        let subscription = message::encode_subscription(&self.shared.node, tables, whole);
        sender.send(&subscription).await?;
        loop {
            let received = tokio::select! {
                received = receiver.recv::<FollowMessage>() => received?,
                () = wait_not_planned(state, &parent.node) => return Err(EndReason::NotPlanned),
                () = sleep_until(self.next_probe), if self.may_probe() => {
                    self.send_probe(&mut sender).await?;
                    continue;
                }
            };
            let received = received.ok_or(EndReason::EndedByParent)?;
            match received.message.kind {
                Some(Kind::Freshness(freshness)) => {
                    log::info!(parent:% = parent.node, is_current = freshness.fresh; "following a parent");
                    self.set_current(freshness.fresh);
                }
                Some(Kind::Batch(batch)) => self.apply(batch).await?,
                Some(Kind::Confirmation(confirmation)) => self.confirm(&confirmation),
                _ => return Err(EndReason::UnexpectedMessage),
            }
        }
    }

    async fn apply(&mut self, batch: Batch) -> Result<(), EndReason> {
        self.parts.extend(batch.changes);
        if batch.more {
            return Ok(());
        }
        let mut tables = self.tables.iter().zip(&mut self.known);
        let found = tables.find(|(table, _)| table.prefix == batch.prefix);
        let (table, known) = found.ok_or(EndReason::UnexpectedMessage)?;
        let parts = std::mem::take(&mut self.parts).into_iter();
        let changes = parts.map(|change| message::decode_change(change, known));
        let changes: Vec<Change> = match changes.collect::<Result<_, _>>() {
            Err(DecodeError::Notice(key)) => {
                log::info!(key:%; "reading a large value from the store");
                let table = Arc::clone(table);
                return read_store(self.shared, &table, Revision(batch.revision)).await;
            }
            changes => changes?,
        };
        let update = if batch.snapshot {
            let items = changes.into_iter().filter_map(Change::into_item);
            Update::Snapshot(items.collect())
        } else {
            Update::Changes(changes)
        };
        table.apply(&update, Revision(batch.revision));
        Ok(())
    }

    /// Whether a probe may be sent. A parent that answers slowly gets no further ones.
    fn may_probe(&self) -> bool {
        self.shared.confirms() && self.probed_at.is_none()
    }

    async fn send_probe(&mut self, sender: &mut Sender) -> Result<(), wire::Error> {
        self.probed_at = Some(BootTime::now());
        self.next_probe = Instant::now() + PROBE_INTERVAL;
        sender
            .send(&message::wrap(Kind::Probe(Probe {})))
            .await
            .map(drop)
    }

    /// Takes over the confirmations of the parent. Their age counts from the probe: the answer may have
    /// been on its way for a long time.
    fn confirm(&mut self, confirmation: &Confirmation) {
        let Some(probed_at) = self.probed_at.take() else {
            return;
        };
        for table in &self.tables {
            let mut ages = confirmation.tables.iter();
            if let Some(found) = ages.find(|age| age.prefix == table.prefix) {
                table.confirm(probed_at.before(Duration::from_micros(found.age_us)));
            }
        }
    }

    fn set_current(&mut self, is_current: bool) {
        match (self.is_current, is_current) {
            (false, true) => self.shared.add_current_parent(),
            (true, false) => self.shared.remove_current_parent(),
            _ => {}
        }
        self.is_current = is_current;
    }
}

impl Drop for Link<'_> {
    fn drop(&mut self) {
        self.set_current(false);
    }
}

/// Lists the keys of a table in the store, unless another task has reached `revision` meanwhile. Always
/// ends the stream: the next subscription names the value that was read, so that later versions of it
/// are differences again.
async fn read_store(shared: &Shared, table: &Table, revision: Revision) -> Result<(), EndReason> {
    let _reading = table.start_reading().await;
    if table.revision() < Some(revision) {
        let request = ListRequest {
            prefix: table.prefix.clone(),
            allow_stale: false,
        };
        let sent_at = BootTime::now();
        let listing = (shared.backend.list)(request).await;
        shared.backend.health.record(CallKind::List, &listing);
        let listing = listing.map_err(EndReason::StoreUnavailable)?;
        table.apply(&Update::Snapshot(listing.items), listing.revision);
        table.confirm(sent_at);
    }
    Err(EndReason::ReadStore)
}

/// Waits until the plan no longer contains a parent.
async fn wait_not_planned(state: &mut watch::Receiver<State>, parent: &id::Node) {
    let is_planned = |state: &State| {
        let plan = state.plan.as_ref();
        plan.is_some_and(|plan| plan.parents.iter().any(|known| known.node == *parent))
    };
    // The sender lives in the shared state, so the wait cannot fail.
    let _ = state.wait_for(|state| !is_planned(state)).await;
}
