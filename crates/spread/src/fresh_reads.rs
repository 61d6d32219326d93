//! Requests for a fresh read of the store. Each node on the way up the tree merges the requests of
//! its children into one.

use tokio::sync::watch;
use types::Version;

use crate::condition::wait_for;

/// Requests for a version that is read from the store after the request.
///
/// Each request takes the next ticket number. A read completes every ticket that was taken before
/// the read began, so one read serves any number of pending requests.
#[derive(Debug, Default)]
pub struct FreshReads {
    /// Latest ticket.
    requested: watch::Sender<u64>,
    /// Latest completed ticket, and the highest version that was read.
    completed: watch::Sender<(u64, Version)>,
}

impl FreshReads {
    /// Requests a read and returns its ticket.
    #[must_use]
    pub fn request(&self) -> u64 {
        self.requested.send_modify(|ticket| *ticket += 1);
        self.latest_ticket()
    }

    /// Latest ticket. A read that begins now completes all tickets up to this one.
    #[must_use]
    pub fn latest_ticket(&self) -> u64 {
        *self.requested.borrow()
    }

    /// Whether a request is pending.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.latest_ticket() > self.completed.borrow().0
    }

    /// Waits until a request is pending.
    pub async fn wait_pending(&self) {
        wait_for(&self.requested, |ticket| {
            *ticket > self.completed.borrow().0
        })
        .await;
    }

    /// Completes all tickets up to `ticket` with the version that was read.
    pub fn complete(&self, ticket: u64, version: Version) {
        self.completed.send_if_modified(|completed| {
            let is_newer = ticket > completed.0;
            if is_newer {
                *completed = (ticket, version.max(completed.1));
            }
            is_newer
        });
    }

    /// Waits until a ticket is completed and returns the version that was read.
    pub async fn wait_completed(&self, ticket: u64) -> Version {
        wait_for(&self.completed, |(latest, _)| *latest >= ticket)
            .await
            .1
    }
}
