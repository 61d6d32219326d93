//! Task of one node that follows this one.

use std::sync::Arc;
use std::time::Duration;

use schema::directory::{
    Batch, Confirmation, FollowMessage, Freshness, HeldValue, Position, Subscription, TableAge,
    follow_message::Kind,
};
use tokio::time::timeout;
use types::{BootTime, id};
use wire::{Error, Sender, Stream};

use crate::Revision;
use crate::message::{self, KnownValues};
use crate::plan::is_above;
use crate::relay::Shared;
use crate::table::Table;

/// Timeout for the first message of a stream.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of nodes that follow this one. The tree plans for about two thirds of it; the rest
/// is for children of lost nodes.
const MAX_CHILDREN: usize = 32;

/// Size from which the changes of a batch are sent in parts.
const PART_BYTES: usize = 512 * 1024;

/// Sends the changes of the tables to a child until the stream ends.
pub(crate) async fn serve(shared: &Arc<Shared>, stream: Stream) {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    let first = timeout(SUBSCRIPTION_TIMEOUT, receiver.recv::<FollowMessage>()).await;
    let subscription = match first {
        Ok(Ok(Some(received))) => match received.message.kind {
            Some(Kind::Subscription(subscription)) => subscription,
            _ => return sender.reset(),
        },
        _ => return sender.reset(),
    };
    if let Err(reason) = check(shared, &subscription) {
        log::info!(node = subscription.node.as_str(), reason; "node may not follow this one");
        return sender.reset();
    }
    let _guard = shared.add_child();
    log::info!(node = subscription.node.as_str(); "node follows this one");
    let mut child = Child::new(shared, &subscription, sender);
    let mut is_probed = false;
    let mut state = shared.subscribe();
    let mut changes = shared.subscribe_changes();
    loop {
        let (is_current, is_closed) = {
            let state = state.borrow_and_update();
            (state.is_current(), state.is_closed())
        };
        changes.mark_unchanged();
        // Read before the changes are sent, which are then complete up to these times.
        let confirmation = is_probed.then(|| child.confirmation());
        if is_closed || child.send(is_current, confirmation).await.is_err() {
            break;
        }
        is_probed = false;
        tokio::select! {
            // The senders live in `shared`, so the waits cannot fail.
            _ = state.changed() => {}
            _ = changes.changed() => {}
            received = receiver.recv::<FollowMessage>() => match received {
                Ok(Some(received)) if is_probe(&received.message) => is_probed = true,
                _ => break,
            },
            () = child.sender.wait_reset() => break,
        }
    }
    child.sender.reset();
    log::info!(node = subscription.node.as_str(); "node no longer follows this one");
}

fn is_probe(message: &FollowMessage) -> bool {
    matches!(message.kind, Some(Kind::Probe(_)))
}

fn check(shared: &Shared, subscription: &Subscription) -> Result<(), &'static str> {
    let Ok(child) = subscription.node.parse::<id::Node>() else {
        return Err("invalid id");
    };
    if !is_above(&shared.node, &child) {
        return Err("order of the nodes");
    }
    if shared.child_count() >= MAX_CHILDREN {
        return Err("too many followers");
    }
    Ok(())
}

struct Child {
    sender: Sender,
    feeds: Vec<Feed>,
    /// Freshness that was sent last.
    is_current: Option<bool>,
}

/// What a child has of one table.
struct Feed {
    table: Arc<Table>,
    revision: Revision,
    known: KnownValues,
    /// Large values that the child has and this node has not read yet.
    unresolved: Vec<HeldValue>,
    /// Whether large values are sent as a whole.
    whole: bool,
}

impl Child {
    fn new(shared: &Shared, subscription: &Subscription, sender: Sender) -> Self {
        let find_position = |table: &Arc<Table>| {
            let mut positions = subscription.positions.iter();
            positions.find(|position| position.prefix == table.prefix)
        };
        let feeds = shared.tables().into_iter().filter_map(|table| {
            let position = find_position(&table)?;
            Some(Feed::new(table, position, subscription.whole))
        });
        Self {
            sender,
            feeds: feeds.collect(),
            is_current: None,
        }
    }

    /// Ages of the tables.
    fn confirmation(&self) -> Confirmation {
        let now = BootTime::now();
        let ages = self.feeds.iter().filter_map(|feed| {
            let age = feed.table.confirmed_at()?.age(now);
            Some(TableAge {
                prefix: feed.table.prefix.clone(),
                age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            })
        });
        Confirmation {
            tables: ages.collect(),
        }
    }

    /// Sends what has changed since the last call.
    async fn send(
        &mut self,
        is_current: bool,
        confirmation: Option<Confirmation>,
    ) -> Result<(), Error> {
        for feed in &mut self.feeds {
            feed.send(&mut self.sender).await?;
        }
        // Sent last: what it says includes the changes before it.
        if self.is_current != Some(is_current) {
            let freshness = Freshness { fresh: is_current };
            let freshness = message::wrap(Kind::Freshness(freshness));
            self.sender.send(&freshness).await?;
            self.is_current = Some(is_current);
        }
        if let Some(confirmation) = confirmation {
            let confirmation = message::wrap(Kind::Confirmation(confirmation));
            self.sender.send(&confirmation).await?;
        }
        Ok(())
    }
}

impl Feed {
    fn new(table: Arc<Table>, position: &Position, whole: bool) -> Self {
        Self {
            revision: Revision(position.revision),
            known: KnownValues::new(),
            unresolved: position.held.clone(),
            whole,
            table,
        }
    }

    async fn send(&mut self, sender: &mut Sender) -> Result<(), Error> {
        let Some(batch) = self.table.changes_since(self.revision) else {
            return Ok(());
        };
        self.revision = batch.revision;
        self.resolve_held();
        if batch.changes.is_empty() && !batch.is_snapshot {
            return Ok(());
        }
        let mut part = self.start_part(batch.is_snapshot);
        let mut size = 0;
        for change in batch.changes {
            if size > PART_BYTES {
                part.more = true;
                sender.send(&message::wrap(Kind::Batch(part))).await?;
                part = self.start_part(batch.is_snapshot);
                size = 0;
            }
            size += change.size();
            let change = message::encode_change(&self.table, change, &mut self.known, self.whole);
            part.changes.push(change);
        }
        sender.send(&message::wrap(Kind::Batch(part))).await?;
        Ok(())
    }

    /// Finds the large values that the child has. The child may have subscribed before this node had
    /// read the store.
    fn resolve_held(&mut self) {
        let Self {
            table,
            known,
            unresolved,
            ..
        } = self;
        // The child no longer has a value in place of which another one was sent.
        unresolved.retain(|held| !known.contains_key(&held.key));
        unresolved.retain(|held| match table.find_large_value(held.hash) {
            Some(value) => {
                known.insert(held.key.clone(), value);
                false
            }
            None => true,
        });
    }

    fn start_part(&self, is_snapshot: bool) -> Batch {
        Batch {
            prefix: self.table.prefix.clone(),
            revision: self.revision.0,
            snapshot: is_snapshot,
            more: false,
            changes: Vec::new(),
        }
    }
}
