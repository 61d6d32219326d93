use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use schema::standin::{Log as Message, LogEntry, Progress};
use tokio::time::Instant;

/// Entries kept. The oldest are dropped first and no longer count as runs.
const LIMIT: usize = 500_000;

/// Requests received, with how far each came.
pub(crate) struct Log {
    start: Instant,
    entries: Mutex<Entries>,
}

struct Entries {
    list: VecDeque<LogEntry>,
    /// Number of entries dropped from the front.
    dropped: usize,
}

impl Log {
    pub(crate) fn new(start: Instant) -> Self {
        let list = VecDeque::new();
        let dropped = 0;
        Self {
            start,
            entries: Mutex::new(Entries { list, dropped }),
        }
    }

    /// Enters a request that arrived now.
    pub(crate) fn enter(self: &Arc<Self>, mut entry: LogEntry) -> Run {
        entry.start_ms = self.elapsed_ms();
        let mut entries = self.lock();
        entries.list.push_back(entry);
        if entries.list.len() > LIMIT {
            entries.list.pop_front();
            entries.dropped += 1;
        }
        let number = entries.dropped + entries.list.len() - 1;
        drop(entries);
        Run {
            log: Arc::clone(self),
            number,
            ended: false,
        }
    }

    /// All entries, oldest first.
    pub(crate) fn message(&self) -> Message {
        Message {
            entries: self.lock().list.iter().cloned().collect(),
        }
    }

    /// Times that the service ran for an idempotency key or request id.
    pub(crate) fn runs(&self, key: &str) -> u32 {
        let entries = self.lock();
        let named = |entry: &&LogEntry| entry.idempotency_key == key || entry.request_id == key;
        let ran = entries.list.iter().filter(named).filter(|entry| entry.ran);
        u32::try_from(ran.count()).unwrap_or(u32::MAX)
    }

    fn elapsed_ms(&self) -> u32 {
        u32::try_from(self.start.elapsed().as_millis()).unwrap_or(u32::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a request under way. Dropping it before [`Run::end`] records a cancellation, since a
/// request is dropped when its caller leaves.
pub(crate) struct Run {
    log: Arc<Log>,
    number: usize,
    ended: bool,
}

impl Run {
    /// Records that the service began to run.
    pub(crate) fn begin(&self) {
        self.change(|entry| {
            entry.ran = true;
            entry.set_progress(Progress::Running);
        });
    }

    /// Records the end.
    pub(crate) fn end(&mut self, progress: Progress) {
        self.ended = true;
        let end_ms = self.log.elapsed_ms();
        self.change(|entry| {
            entry.end_ms = end_ms;
            entry.set_progress(progress);
        });
    }

    fn change<C>(&self, change: C)
    where
        C: FnOnce(&mut LogEntry),
    {
        let mut entries = self.log.lock();
        let index = self.number.checked_sub(entries.dropped);
        if let Some(entry) = index.and_then(|index| entries.list.get_mut(index)) {
            change(entry);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Progress::Cancelled);
        }
    }
}
