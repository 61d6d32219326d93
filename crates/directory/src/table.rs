use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::{Notify, watch};
use types::BootTime;
use xxhash_rust::xxh3::xxh3_64;

use crate::compression;
use crate::difference::Difference;
use crate::mirror::{Batch, Mirror};
use crate::{Revision, Update, WatchOptions};

/// Applies an update that is complete up to a revision; returns whether it contains anything new.
pub(crate) type Consumer = Box<dyn FnMut(&Update, Revision) -> bool + Send>;

/// Keys with a prefix that this node follows, from the store or from other nodes.
pub(crate) struct Table {
    pub(crate) prefix: String,
    pub(crate) options: WatchOptions,
    content: Mutex<Content>,
    /// Counts the changes of all tables.
    changes: watch::Sender<u64>,
    is_source_current: AtomicBool,
    /// Time up to which all changes are known.
    confirmed_at: Mutex<Option<BootTime>>,
    /// Requests a listing in place of the watch that is waiting.
    relist: Notify,
    /// Keeps two tasks from reading the same value from the store.
    reading: tokio::sync::Mutex<()>,
}

struct Content {
    mirror: Mirror,
    /// Revision of the item whose key is the whole prefix; `None` while it is not known.
    item_revision: Option<Revision>,
    consumer: Consumer,
    /// Difference that was computed last; most followers need the same one.
    difference: Option<Difference>,
    /// Hash and compressed bytes of the value that was compressed last.
    compressed: Option<(u64, Bytes)>,
}

impl Table {
    pub(crate) fn new(
        prefix: &str,
        options: WatchOptions,
        consumer: Consumer,
        changes: watch::Sender<u64>,
    ) -> Self {
        Self {
            prefix: prefix.to_owned(),
            options,
            content: Mutex::new(Content {
                mirror: Mirror::default(),
                item_revision: None,
                consumer,
                difference: None,
                compressed: None,
            }),
            changes,
            is_source_current: AtomicBool::new(false),
            confirmed_at: Mutex::default(),
            relist: Notify::new(),
            reading: tokio::sync::Mutex::default(),
        }
    }

    /// Revision up to which all changes are known; `None` before the first listing.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.lock().mirror.revision()
    }

    /// Applies an update unless it is outdated; returns whether it contained anything new.
    pub(crate) fn apply(&self, update: &Update, revision: Revision) -> bool {
        // The lock orders the updates of the store and of the parents.
        let mut content = self.lock();
        let is_applied = content.mirror.apply(update, revision);
        if is_applied && let Some(item) = update.newest_item(&self.prefix) {
            content.item_revision = Some(item.revision).filter(|known| *known > Revision(0));
        }
        let is_new = is_applied && (content.consumer)(update, revision);
        drop(content);
        self.changes.send_modify(|count| *count += 1);
        is_new
    }

    /// Revision of the item whose key is the whole prefix; `None` if it was not read from the store.
    pub(crate) fn item_revision(&self) -> Option<Revision> {
        self.lock().item_revision
    }

    /// Makes the task that watches the keys list them.
    pub(crate) fn request_listing(&self) {
        self.relist.notify_one();
    }

    /// Waits until a listing is requested.
    pub(crate) async fn wait_listing_requested(&self) {
        self.relist.notified().await;
    }

    /// Waits until no other task reads the keys from the store. They may be read until the guard is
    /// dropped.
    pub(crate) async fn start_reading(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.reading.lock().await
    }

    /// Changes after a revision; `None` when nothing is known beyond it.
    pub(crate) fn changes_since(&self, after: Revision) -> Option<Batch> {
        self.lock().mirror.changes_since(after)
    }

    /// Large values that this node has, by key.
    pub(crate) fn large_values(&self) -> Vec<(String, Bytes)> {
        let content = self.lock();
        let values = content.mirror.large_values();
        values
            .map(|(key, value)| (key.to_owned(), value.clone()))
            .collect()
    }

    /// Finds a large value that is current or was replaced recently.
    pub(crate) fn find_large_value(&self, hash: u64) -> Option<Bytes> {
        self.lock().mirror.find_large_value(hash)
    }

    /// Computes the difference between two large values.
    pub(crate) fn compute_difference(&self, old: &Bytes, new: &Bytes) -> Difference {
        let (base, hash) = (xxh3_64(old), xxh3_64(new));
        let mut content = self.lock();
        let known = content.difference.take();
        let difference = known
            .filter(|known| known.base == base && known.hash == hash)
            .unwrap_or_else(|| Difference::between(old, new));
        content.difference.insert(difference).clone()
    }

    /// Compresses a large value.
    pub(crate) fn compress(&self, value: &Bytes) -> Bytes {
        let hash = xxh3_64(value);
        let mut content = self.lock();
        let known = content.compressed.take();
        let compressed = known
            .filter(|(known, _)| *known == hash)
            .unwrap_or_else(|| (hash, compression::compress(value)));
        content.compressed.insert(compressed).1.clone()
    }

    /// Records that all changes that were acknowledged up to a time are known.
    pub(crate) fn confirm(&self, until: BootTime) {
        let mut confirmed_at = self.lock_confirmed_at();
        *confirmed_at = (*confirmed_at).max(Some(until));
    }

    /// Time up to which all changes are known; `None` before the first confirmation.
    pub(crate) fn confirmed_at(&self) -> Option<BootTime> {
        *self.lock_confirmed_at()
    }

    fn lock_confirmed_at(&self) -> MutexGuard<'_, Option<BootTime>> {
        self.confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the store has answered the last call for this table.
    pub(crate) fn set_source_current(&self, is_current: bool) {
        self.is_source_current.store(is_current, Ordering::Release);
    }

    pub(crate) fn is_source_current(&self) -> bool {
        self.is_source_current.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
