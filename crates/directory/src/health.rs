use std::fmt::{self, Display, Formatter};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use crate::Error;

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Listing of the newest items.
    List,
    /// Listing that may be seconds old.
    StaleList,
    /// Wait for changes.
    Watch,
    /// Comparison of a revision.
    Check,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    Renew,
    /// Write of the own entry.
    Put,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::List,
        Self::StaleList,
        Self::Watch,
        Self::Check,
        Self::Grant,
        Self::Renew,
        Self::Put,
    ];
}

impl Display for CallKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::List => "list",
            Self::StaleList => "stale-list",
            Self::Watch => "watch",
            Self::Check => "check",
            Self::Grant => "grant",
            Self::Renew => "renew",
            Self::Put => "put",
        })
    }
}

/// Number of calls of one kind since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCount {
    /// Kind of the calls.
    pub kind: CallKind,
    /// Calls that the store answered, also with an error such as a conflict.
    pub answered: u64,
    /// Calls that the store did not answer or refused.
    pub failed: u64,
}

/// Availability of the store, as seen by the calls of all tasks.
///
/// A watch that was pending during an outage may never receive a change, although its connection is
/// alive. So each recovery that any call notices cancels the pending watches, which then restart.
#[derive(Debug, Default)]
pub struct Health {
    unavailable: Mutex<bool>,
    answered: [AtomicU64; CallKind::ALL.len()],
    failed: [AtomicU64; CallKind::ALL.len()],
    recoveries: watch::Sender<u64>,
}

/// Waits for the next recovery of the store after its creation.
pub(crate) struct RecoveryListener(watch::Receiver<u64>);

impl Health {
    /// Numbers of calls by kind.
    #[must_use]
    pub fn calls(&self) -> [CallCount; CallKind::ALL.len()] {
        CallKind::ALL.map(|kind| CallCount {
            kind,
            answered: self.answered[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        })
    }

    /// Records the result of a call.
    pub(crate) fn record<T>(&self, kind: CallKind, result: &Result<T, Error>) {
        let is_unavailable = matches!(result, Err(Error::Unavailable(_)));
        let counters = if is_unavailable {
            &self.failed
        } else {
            &self.answered
        };
        counters[kind as usize].fetch_add(1, Ordering::Relaxed);
        let was_unavailable = {
            let mut unavailable = self
                .unavailable
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *unavailable, is_unavailable)
        };
        if was_unavailable && !is_unavailable {
            self.recoveries.send_modify(|count| *count += 1);
        }
    }

    /// Creates a listener for the next recovery.
    pub(crate) fn listen_for_recovery(&self) -> RecoveryListener {
        RecoveryListener(self.recoveries.subscribe())
    }
}

impl RecoveryListener {
    /// Waits until the store has recovered since the listener was created.
    pub(crate) async fn wait(&mut self) {
        if self.0.changed().await.is_err() {
            // The backend was dropped, and the waiting task ends with it.
            std::future::pending::<()>().await;
        }
    }
}
