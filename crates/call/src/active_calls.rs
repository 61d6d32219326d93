use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::timeout_at;
use types::{Deadline, id};

/// Calls sent to this node's upstream that have not ended, by request id. They are kept when
/// another upstream announces itself.
#[derive(Default)]
pub(crate) struct ActiveCalls {
    requests: Mutex<HashMap<id::Request, u32>>,
    count: watch::Sender<u32>,
}

/// Registration of one call; dropping it removes the call.
pub(crate) struct ActiveCall {
    calls: Arc<ActiveCalls>,
    request: id::Request,
}

impl ActiveCalls {
    /// Registers a call until the result is dropped.
    pub(crate) fn add(self: &Arc<Self>, request: &id::Request) -> ActiveCall {
        *self.lock().entry(request.clone()).or_default() += 1;
        self.count.send_modify(|count| *count += 1);
        ActiveCall {
            calls: Arc::clone(self),
            request: request.clone(),
        }
    }

    /// Returns whether a call with this request id is running.
    pub(crate) fn contains(&self, request: &id::Request) -> bool {
        self.lock().contains_key(request)
    }

    /// Waits until no call is running; returns the number of calls still running at the deadline.
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

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let mut requests = self.calls.lock();
        if let Some(count) = requests.get_mut(&self.request) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&self.request);
            }
        }
        drop(requests);
        self.calls.count.send_modify(|count| *count -= 1);
    }
}
