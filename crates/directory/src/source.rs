//! Task that follows the keys of a table in the store.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use types::BootTime;

use crate::relay::{Shared, State};
use crate::table::Table;
use crate::{CallKind, Change, Error, Item, ListRequest, Revision, WatchRequest};

/// Backoff after the first failed call. It doubles up to a maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff of a reader. It limits the time until a recovered store is noticed.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Backoff range of a node that reads the store only because it has no current parent. It learns of
/// the recovery from the readers.
const FALLBACK_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));

/// Time for which a node without a current parent tries others before it reads the store.
const FALLBACK_DELAY: Duration = Duration::from_millis(250);

/// Time after the first listing for which a node that knows other nodes waits for one of them to be
/// current before it reads the store. All nodes may have started at the same time, and the platform
/// expects the newest version 4 s after the start.
const START_FALLBACK_DELAY: Duration = Duration::from_millis(2800);

/// Time within which new entries change the plan of this node.
const PLAN_DELAY: Duration = Duration::from_millis(250);

/// Time for which the first watch waits where other nodes depend on this one: they wait for its answer,
/// which shows that the store serves this node.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Time for which the watches of a store may miss changes before it compacts its history. An answer to a
/// watch confirms nothing about this time before its call.
const WATCH_BLIND_TIME: Duration = Duration::from_secs(1);

/// Update of the items below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All items; keys that are not among them don't exist.
    Snapshot(Vec<Item>),
    /// Changes since the last update.
    Changes(Vec<Change>),
}

impl Update {
    /// Newest item with a key.
    pub(crate) fn newest_item(&self, key: &str) -> Option<&Item> {
        match self {
            Self::Snapshot(items) => items.iter().rfind(|item| item.key == key),
            Self::Changes(changes) => changes.iter().rev().find_map(|change| match change {
                Change::Put(item) if item.key == key => Some(item),
                Change::Put(_) | Change::Removed(_) => None,
            }),
        }
    }
}

/// Options for following the keys of a table in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchOptions {
    /// Minimum time between the starts of two calls, so that a burst of changes costs only one
    /// call.
    pub min_interval: Duration,
    /// Longest time for which a watch waits. A change whose answer is lost is noticed soon after it, when
    /// the watch times out.
    pub max_wait: Duration,
    /// Longest time for which a watch waits where other nodes depend on this one.
    pub max_reader_wait: Duration,
    /// Time between the first listing and the next call, unless other nodes depend on this one. After
    /// a common start of all nodes, most of them have found nodes to follow by then and make no
    /// further call.
    pub first_watch_delay: Duration,
    /// Whether the call after the first listing is another one, which may be stale. It is cheaper
    /// than a watch and shows the nodes that have started together with this one.
    pub relist_after_start: bool,
    /// Whether the prefix is listed again after a change, until there are no new values, instead of
    /// watched. A watch returns every intermediate value of a key, which is a lot of data while a
    /// large configuration changes often.
    pub reread_on_change: bool,
    /// Whether the first listing may be stale, which is cheaper. Only for the first start of a fleet: a
    /// node that starts again must not begin with an older version than it had.
    pub list_stale_first: bool,
    /// Time between two checks that the item whose key is the whole prefix has not changed. They confirm
    /// it sooner than watches, which may miss changes for a while. `None` for no checks.
    pub check_interval: Option<Duration>,
}

/// Exponential backoff with jitter, so that nodes don't retry in step.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) const fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    pub(crate) const fn reset(&mut self) {
        self.0 = INITIAL_BACKOFF;
    }

    pub(crate) async fn wait(&mut self) {
        self.wait_within(INITIAL_BACKOFF, MAX_BACKOFF).await;
    }

    async fn wait_within(&mut self, least: Duration, most: Duration) {
        let backoff = self.0.clamp(least, most);
        sleep(backoff.mul_f64(rand::random_range(0.7..1.0))).await;
        self.0 = (backoff * 2).min(most);
    }
}

/// Lists the keys of a table once, then watches them whenever this node has no parent that is
/// current. Runs until the future is dropped.
pub(crate) async fn run(shared: Arc<Shared>, table: Arc<Table>) {
    let mut source = Source::new(&shared, &table);
    while source.reached.is_none() {
        source.call().await;
    }
    shared.add_loaded_table();
    // Not before the first watch: until then this node does not notice changes.
    shared.set_source_current(&table, false);
    let mut state = shared.subscribe();
    let mut fallback_at = Instant::now() + START_FALLBACK_DELAY;
    source.wait_after_start(&mut state).await;
    loop {
        // The sender lives in `shared`, so the waits cannot fail.
        let _ = state.wait_for(State::reads_store).await;
        fallback_at = fallback_at.max(Instant::now() + FALLBACK_DELAY);
        let is_decided = |state: &State| !state.reads_store() || state.is_reader();
        // A timeout means that no parent has become current.
        let _ = timeout_at(fallback_at, state.wait_for(is_decided)).await;
        if !state.borrow_and_update().reads_store() {
            continue;
        }
        let mut ending = state.clone();
        tokio::select! {
            () = source.follow() => {}
            () = check_item(&shared, &table) => {}
            _ = ending.wait_for(|state| !state.reads_store()) => {}
        }
        shared.set_source_current(&table, false);
    }
}

/// Checks at intervals that the item whose key is the whole prefix has not changed, and confirms the table
/// when it has not. Runs until the future is dropped.
async fn check_item(shared: &Shared, table: &Table) {
    let Some(interval) = table.options.check_interval else {
        return std::future::pending().await;
    };
    loop {
        let next = Instant::now() + interval;
        let sent_at = BootTime::now();
        if let Some(revision) = table.item_revision() {
            let backend = &shared.backend;
            let result = (backend.check)((table.prefix.clone(), revision)).await;
            backend.health.record(CallKind::Check, &result);
            match result {
                Ok(true) => table.confirm(sent_at),
                Ok(false) => table.request_listing(),
                Err(error) => {
                    log::debug!(prefix = table.prefix.as_str(), reason:% = error; "check failed");
                }
            }
        } else {
            // A value from another node comes without its revision.
            table.request_listing();
        }
        sleep_until(next).await;
    }
}

struct Source<'a> {
    shared: &'a Shared,
    table: &'a Table,
    backoff: Backoff,
    is_available: bool,
    /// Whether the last listing contained nothing new.
    is_settled: bool,
    /// Revision from which to watch; `None` when the prefix has to be listed.
    reached: Option<Revision>,
    /// Whether no watch has been answered since this node began to follow the store.
    is_first_watch: bool,
}

impl<'a> Source<'a> {
    const fn new(shared: &'a Shared, table: &'a Table) -> Self {
        Self {
            shared,
            table,
            backoff: Backoff::new(),
            is_available: true,
            is_settled: true,
            reached: None,
            is_first_watch: true,
        }
    }

    /// Waits between the first listing and the next call, so that this node learns whom to follow.
    async fn wait_after_start(&mut self, state: &mut watch::Receiver<State>) {
        let options = self.table.options;
        let is_needed = timeout(
            options.first_watch_delay,
            state.wait_for(State::has_followers),
        );
        if is_needed.await.is_ok() || !options.relist_after_start || !state.borrow().reads_store() {
            return;
        }
        let before = state.borrow().plan.clone();
        self.relist().await;
        // The listing may show that this node is to follow others. A timeout means that it does not.
        let is_changed = |state: &State| state.plan != before;
        let _ = timeout(PLAN_DELAY, state.wait_for(is_changed)).await;
    }

    /// Watches the prefix until the future is dropped.
    async fn follow(&mut self) {
        self.backoff.reset();
        // Parents may have delivered later changes than the last call.
        self.reached = self.reached.max(self.table.revision());
        self.is_settled = true;
        self.is_first_watch = true;
        loop {
            let next_call = Instant::now() + self.table.options.min_interval;
            if self.call().await {
                sleep_until(next_call).await;
            }
        }
    }

    /// Makes one call; returns whether it succeeded. Waits after a failure.
    async fn call(&mut self) -> bool {
        let backend = &self.shared.backend;
        let mut recovery = backend.health.listen_for_recovery();
        let was_watch = self.reached.is_some();
        let is_stale = !was_watch && self.may_be_stale();
        let sent_at = BootTime::now();
        let result = match self.reached {
            None => self.list(is_stale).await,
            Some(reached) => tokio::select! {
                result = self.watch(reached) => result,
                () = recovery.wait() => return false,
                () = self.table.wait_listing_requested() => {
                    self.reached = None;
                    return false;
                }
            },
        };
        let prefix = self.table.prefix.as_str();
        match result {
            Ok((update, revision)) => {
                if !self.is_available {
                    log::info!(prefix, revision:%; "store is available again");
                }
                self.is_available = true;
                self.is_first_watch &= !was_watch;
                self.backoff.reset();
                self.shared.set_source_current(self.table, true);
                let known = self.table.revision();
                if known.is_some_and(|known| known.era() < revision.era()) {
                    log::warn!(prefix, revision:%; "store was restored from a copy");
                }
                let is_new = update.is_some_and(|update| self.table.apply(&update, revision));
                if was_watch {
                    self.table.confirm(sent_at.before(WATCH_BLIND_TIME));
                } else if !is_stale {
                    self.table.confirm(sent_at);
                }
                self.is_settled = !is_new || self.is_settled && !was_watch;
                let rereads = self.table.options.reread_on_change && !self.is_settled;
                self.reached = (!rereads).then_some(revision);
                true
            }
            Err(Error::Compacted) => {
                log::info!(prefix; "store does not have the history any more; listing the prefix again");
                self.reached = None;
                false
            }
            Err(error) => {
                if self.is_available {
                    log::warn!(prefix, reason:% = error; "store is unavailable");
                }
                self.is_available = false;
                self.shared.set_source_current(self.table, false);
                let (least, most) = if self.shared.is_reader() {
                    (INITIAL_BACKOFF, MAX_BACKOFF)
                } else {
                    FALLBACK_BACKOFF
                };
                self.backoff.wait_within(least, most).await;
                false
            }
        }
    }

    /// Whether a stale listing suffices now.
    fn may_be_stale(&self) -> bool {
        self.table.options.list_stale_first && self.table.revision().is_none()
    }

    /// Lists the keys once more. A failure is left to the next call.
    async fn relist(&mut self) {
        if let Ok((Some(update), revision)) = self.list(true).await {
            // An older answer changes nothing.
            self.table.apply(&update, revision);
            self.reached = self.reached.max(Some(revision));
        }
    }

    async fn list(&self, allow_stale: bool) -> Result<(Option<Update>, Revision), Error> {
        let request = ListRequest {
            prefix: self.table.prefix.clone(),
            allow_stale,
        };
        let kind = if allow_stale {
            CallKind::StaleList
        } else {
            CallKind::List
        };
        let listing = (self.shared.backend.list)(request).await;
        self.shared.backend.health.record(kind, &listing);
        let listing = listing?;
        Ok((Some(Update::Snapshot(listing.items)), listing.revision))
    }

    async fn watch(&self, reached: Revision) -> Result<(Option<Update>, Revision), Error> {
        // Parents may have delivered later changes.
        let after = reached.max(self.table.revision().unwrap_or_default());
        let max_wait = self.table.options.max_wait;
        let wait = match (self.shared.has_followers(), self.is_first_watch) {
            (true, true) => FIRST_WATCH_WAIT,
            (true, false) => max_wait.min(self.table.options.max_reader_wait),
            (false, _) => max_wait,
        };
        let request = WatchRequest {
            prefix: self.table.prefix.clone(),
            after,
            wait,
        };
        let result = (self.shared.backend.watch)(request).await;
        self.shared.backend.health.record(CallKind::Watch, &result);
        let (changes, reached) = result?;
        let update = (!changes.is_empty()).then_some(Update::Changes(changes));
        Ok((update, reached.max(after)))
    }
}
