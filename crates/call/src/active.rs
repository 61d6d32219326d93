use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::timeout_at;
use types::{Deadline, id};

/// Calls that this node has handed to its upstream, by request id. It outlives a change of the
/// upstream.
#[derive(Default)]
pub(crate) struct Active {
    requests: Mutex<HashMap<id::Request, u32>>,
    count: watch::Sender<u32>,
}

/// Entry of one call; dropped at its end.
pub(crate) struct Entry {
    active: Arc<Active>,
    request: id::Request,
}

impl Active {
    /// Adds a call.
    pub(crate) fn add(self: &Arc<Self>, request: &id::Request) -> Entry {
        *self.lock().entry(request.clone()).or_default() += 1;
        self.count.send_modify(|count| *count += 1);
        Entry {
            active: Arc::clone(self),
            request: request.clone(),
        }
    }

    /// Whether a call with this request id runs.
    pub(crate) fn contains(&self, request: &id::Request) -> bool {
        self.lock().contains_key(request)
    }

    /// Waits until no call runs; returns the number that still runs at the deadline.
    pub(crate) async fn wait_idle(&self, deadline: Deadline) -> u32 {
        let mut count = self.count.subscribe();
        let idle = count.wait_for(|count| *count == 0);
        // The sender lives as long as `self`, so only the deadline ends the wait early.
        let ended = timeout_at(deadline.instant(), idle).await.is_ok();
        if ended { 0 } else { *self.count.borrow() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Request, u32>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut requests = self.active.lock();
        if let Some(count) = requests.get_mut(&self.request) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&self.request);
            }
        }
        drop(requests);
        self.active.count.send_modify(|count| *count -= 1);
    }
}
