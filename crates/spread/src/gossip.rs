use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use member::MergeOutcome;
use schema::control::{Change, Record, Records};
use tokio::sync::{Notify, broadcast};
use tokio::time::{Instant, sleep_until};
use types::id;

use crate::shared::Shared;

/// Time for which membership updates are collected into one batch, so that the loss of a failure
/// domain takes a few messages and not one for each node.
const BATCH_WINDOW: Duration = Duration::from_millis(200);

/// Number of batches that a link may fall behind before it is dropped.
const MAX_BACKLOG_BATCHES: usize = 64;

/// Maximum number of records and changes in one message.
const MAX_MESSAGE_ITEMS: usize = 250;

/// Where a membership update came from. It is not sent back there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This node, or more than one link.
    Local,
    /// The tree link with this id.
    Tree(u64),
    /// The link with this id to another region. Every two regions are linked directly, so the
    /// update is not forwarded to further regions.
    Region(u64),
}

impl Origin {
    /// Whether an update from `self` is forwarded on `link`.
    fn is_forwarded_to(self, link: Self) -> bool {
        match (self, link) {
            (Self::Region(_), Self::Region(_)) => false,
            (from, to) => from != to,
        }
    }
}

/// Membership updates that wait for the next batch, and the channel that carries the batches to the
/// links.
#[derive(Debug)]
pub(crate) struct Gossip {
    pending: Mutex<BTreeMap<id::Node, Pending>>,
    added: Notify,
    batches: broadcast::Sender<Arc<Batch>>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    origin: Origin,
    /// Whether the whole record is sent, not only the change of its state.
    whole_record: bool,
}

/// Updates of one window.
pub(crate) type Batch = Vec<Item>;

/// Update about one node.
#[derive(Debug)]
pub(crate) struct Item {
    origin: Origin,
    content: Content,
}

#[derive(Debug)]
enum Content {
    Record(Record),
    Change(Change),
}

impl Default for Gossip {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            added: Notify::new(),
            batches: broadcast::Sender::new(MAX_BACKLOG_BATCHES),
        }
    }
}

impl Gossip {
    /// Adds a node to the next batch when `merge` changed its record.
    pub(crate) fn queue(&self, node: &id::Node, origin: Origin, merge: MergeOutcome) {
        if !merge.is_applied() {
            return;
        }
        let whole_record = merge != MergeOutcome::StateChanged;
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending
            .entry(node.clone())
            .and_modify(|known| {
                known.whole_record |= whole_record;
                if known.origin != origin {
                    known.origin = Origin::Local;
                }
            })
            .or_insert(Pending {
                origin,
                whole_record,
            });
        drop(pending);
        self.added.notify_one();
    }

    pub(crate) fn subscribe(&self) -> broadcast::Receiver<Arc<Batch>> {
        self.batches.subscribe()
    }

    fn take_pending(&self) -> BTreeMap<id::Node, Pending> {
        std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Messages of a batch for a link.
pub(crate) fn messages_for(batch: &Batch, link: Origin) -> Vec<Records> {
    let mut messages = Vec::new();
    for item in batch
        .iter()
        .filter(|item| item.origin.is_forwarded_to(link))
    {
        match &item.content {
            Content::Record(record) => add_record(&mut messages, record.clone()),
            Content::Change(change) => writable_message(&mut messages).changes.push(change.clone()),
        }
    }
    messages
}

/// Adds a record to the last message, or to a new one when the last is full.
pub(crate) fn add_record(messages: &mut Vec<Records>, record: Record) {
    writable_message(messages).records.push(record);
}

/// Last message, or a new one when the last is full.
fn writable_message(messages: &mut Vec<Records>) -> &mut Records {
    let full =
        |message: &Records| message.records.len() + message.changes.len() >= MAX_MESSAGE_ITEMS;
    if messages.last().is_none_or(full) {
        messages.push(Records::default());
    }
    let last = messages.len() - 1;
    &mut messages[last]
}

/// Sends batches: the first update after an idle period at once, then at most one batch in each
/// window.
pub(crate) async fn run(shared: Shared) {
    let mut next = Instant::now();
    loop {
        shared.gossip.added.notified().await;
        sleep_until(next).await;
        let batch = collect_batch(&shared);
        next = Instant::now() + BATCH_WINDOW;
        // Fails when no link is open. A new link compares tables, so nothing is lost.
        let _ = shared.gossip.batches.send(Arc::new(batch));
    }
}

fn collect_batch(shared: &Shared) -> Batch {
    let now = Instant::now();
    let pending = shared.gossip.take_pending();
    let table = shared.table();
    let items = pending.into_iter().filter_map(|(node, pending)| {
        let record = table.get(&node)?;
        let content = if pending.whole_record {
            let age = table.time_since_gone(&node, now).as_secs();
            Content::Record(record.to_message(u32::try_from(age).unwrap_or(u32::MAX)))
        } else {
            Content::Change((&record.state_change()).into())
        };
        Some(Item {
            origin: pending.origin,
            content,
        })
    });
    items.collect()
}
