//! Requests for a fresh read of the store, merged on their way up the tree.

use tokio::sync::watch;
use types::Version;

use crate::signal::wait_for;

/// Requests for a version that was read from the store after the request.
///
/// Each request takes the next ticket. An answer covers every ticket that was taken before the read
/// began, so any number of waiting requests need one read.
#[derive(Debug, Default)]
pub struct Fresh {
    requested: watch::Sender<u64>,
    served: watch::Sender<(u64, Version)>,
}

impl Fresh {
    /// Takes a ticket.
    #[must_use]
    pub fn request(&self) -> u64 {
        self.requested.send_modify(|ticket| *ticket += 1);
        self.newest()
    }

    /// Newest ticket; an answer whose read begins now covers it.
    #[must_use]
    pub fn newest(&self) -> u64 {
        *self.requested.borrow()
    }

    /// Whether a ticket waits for an answer.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.newest() > self.served.borrow().0
    }

    /// Waits until a ticket waits for an answer.
    pub async fn wait_request(&self) {
        wait_for(&self.requested, |ticket| *ticket > self.served.borrow().0).await;
    }

    /// Answers all tickets up to `ticket`.
    pub fn serve(&self, ticket: u64, version: Version) {
        self.served.send_if_modified(|served| {
            let newer = ticket > served.0;
            if newer {
                *served = (ticket, version.max(served.1));
            }
            newer
        });
    }

    /// Waits for the answer to a ticket.
    pub async fn wait(&self, ticket: u64) -> Version {
        wait_for(&self.served, |(answered, _)| *answered >= ticket)
            .await
            .1
    }
}
