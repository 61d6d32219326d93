use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch};
use types::Deadline;

/// Longest time from the first byte of a request until its head is complete and it reaches its
/// handler, in milliseconds.
const REQUEST_HEAD_TIMEOUT_MS: u64 = 10_000;

/// Longest time that an open connection waits for its next request, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// Connection of a caller, shared by the relay and the handlers of its requests.
pub struct Connection {
    activity: Mutex<Activity>,
    activity_changed: Notify,
    state: watch::Sender<State>,
}

/// Requests of a connection.
struct Activity {
    active_requests: u32,
    /// Whether bytes of a request have arrived that has not reached its handler yet.
    receiving: bool,
    /// Time at which the connection is closed unless a request reaches its handler.
    deadline: Deadline,
}

/// Whether the connection is open, or why it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Open,
    Disconnected,
    Aborted,
}

/// Marks a request as active; the connection is not idle while the guard lives.
pub struct RequestGuard(Arc<Connection>);

impl Connection {
    /// Creates the state of a connection that was just accepted.
    #[must_use]
    pub fn new() -> Self {
        Self {
            activity: Mutex::new(Activity {
                active_requests: 0,
                receiving: false,
                deadline: Deadline::after_ms(IDLE_TIMEOUT_MS),
            }),
            activity_changed: Notify::new(),
            state: watch::Sender::default(),
        }
    }

    /// Marks a request as active until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        let mut activity = self.lock();
        activity.active_requests += 1;
        activity.receiving = false;
        drop(activity);
        self.activity_changed.notify_one();
        RequestGuard(Arc::clone(self))
    }

    /// Aborts the connection, so that the caller does not take a truncated answer for a complete
    /// one.
    pub fn abort(&self) {
        self.end(State::Aborted);
    }

    /// Records that the caller has disconnected.
    pub fn mark_disconnected(&self) {
        self.end(State::Disconnected);
    }

    /// Waits until the caller has disconnected or the connection was aborted.
    pub async fn wait_closed(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| *state != State::Open).await;
    }

    /// Waits until the connection is aborted.
    pub(crate) async fn wait_aborted(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| *state == State::Aborted).await;
    }

    pub(crate) fn is_aborted(&self) -> bool {
        *self.state.borrow() == State::Aborted
    }

    /// Whether bytes of a request have arrived that has not reached its handler yet.
    pub(crate) fn is_receiving(&self) -> bool {
        self.lock().receiving
    }

    /// Records that bytes of the caller have arrived.
    pub(crate) fn mark_receiving(&self) {
        let mut activity = self.lock();
        if activity.active_requests > 0 || activity.receiving {
            return;
        }
        activity.receiving = true;
        activity.deadline = Deadline::after_ms(REQUEST_HEAD_TIMEOUT_MS);
        drop(activity);
        self.activity_changed.notify_one();
    }

    /// Time at which the connection is closed; `None` while a request is active.
    pub(crate) fn idle_deadline(&self) -> Option<Deadline> {
        let activity = self.lock();
        (activity.active_requests == 0).then_some(activity.deadline)
    }

    /// Waits until [`Connection::idle_deadline`] may have changed.
    pub(crate) async fn wait_activity(&self) {
        self.activity_changed.notified().await;
    }

    fn end(&self, state: State) {
        self.state.send_if_modified(|current| {
            let first = *current == State::Open;
            if first {
                *current = state;
            }
            first
        });
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Connection {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut activity = self.0.lock();
        activity.active_requests -= 1;
        activity.deadline = Deadline::after_ms(IDLE_TIMEOUT_MS);
        drop(activity);
        self.0.activity_changed.notify_one();
    }
}
