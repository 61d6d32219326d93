use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::watch;

use crate::Error;

/// Whether the store answers, as far as the calls of all tasks have shown.
///
/// A watch that waited while the store was away may never hear of a change, although its connection is
/// alive. So each recovery that any call notices ends the watches that wait, and they are asked anew.
#[derive(Debug, Default)]
pub struct Health {
    lost: Mutex<bool>,
    recoveries: watch::Sender<u64>,
}

/// State of the store at a moment, from which a recovery is told.
pub(crate) struct Outlook(watch::Receiver<u64>);

impl Health {
    /// Notes what a call has shown.
    pub(crate) fn note<T>(&self, result: &Result<T, Error>) {
        let is_lost = matches!(result, Err(Error::Unavailable(_)));
        let was_lost = {
            let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *lost, is_lost)
        };
        if was_lost && !is_lost {
            self.recoveries.send_modify(|count| *count += 1);
        }
    }

    /// The state as it is now.
    pub(crate) fn outlook(&self) -> Outlook {
        Outlook(self.recoveries.subscribe())
    }
}

impl Outlook {
    /// Waits until the store has recovered since the outlook was taken.
    pub(crate) async fn wait_recovery(&mut self) {
        if self.0.changed().await.is_err() {
            // The store's client is gone, and the task that waits ends with it.
            std::future::pending::<()>().await;
        }
    }
}
