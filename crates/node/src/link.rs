use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch};
use types::Deadline;

/// Longest time for a request to reach its handler once its first byte has come, in milliseconds.
const HEAD_LIMIT_MS: u64 = 10_000;

/// Longest time that an open connection waits for its next request, in milliseconds.
const IDLE_LIMIT_MS: u64 = 60_000;

/// Connection of a caller, as shared by the relay and the handler of its call.
pub struct Link {
    state: Mutex<State>,
    changed: Notify,
    ended: watch::Sender<End>,
}

/// Progress of the connection.
struct State {
    calls: u32,
    /// Whether bytes of a request have come that has not reached its handler.
    started: bool,
    /// Time at which the connection is closed unless a call begins.
    deadline: Deadline,
}

/// How the connection ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum End {
    #[default]
    Open,
    Gone,
    Broken,
}

/// A call on a connection; the connection does not idle while it lives.
pub struct Busy(Arc<Link>);

impl Link {
    /// Creates the state of a connection that was just accepted.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                calls: 0,
                started: false,
                deadline: Deadline::after_ms(IDLE_LIMIT_MS),
            }),
            changed: Notify::new(),
            ended: watch::Sender::default(),
        }
    }

    /// Marks a call on the connection until the result is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Busy {
        let mut state = self.lock();
        state.calls += 1;
        state.started = false;
        drop(state);
        self.changed.notify_one();
        Busy(Arc::clone(self))
    }

    /// Breaks the connection off, so that the caller cannot take the answer for complete.
    pub fn break_off(&self) {
        self.end(End::Broken);
    }

    /// Records that the caller has gone.
    pub fn hang_up(&self) {
        self.end(End::Gone);
    }

    /// Waits until the caller has gone or the connection was broken off.
    pub async fn wait_gone(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let mut ended = self.ended.subscribe();
        let _ = ended.wait_for(|end| *end != End::Open).await;
    }

    /// Waits until the connection was broken off.
    pub(crate) async fn wait_broken(&self) {
        let mut ended = self.ended.subscribe();
        let _ = ended.wait_for(|end| *end == End::Broken).await;
    }

    pub(crate) fn is_broken(&self) -> bool {
        *self.ended.borrow() == End::Broken
    }

    /// Whether bytes of a request have come that has not reached its handler.
    pub(crate) fn is_started(&self) -> bool {
        self.lock().started
    }

    /// Records that bytes of the caller came in.
    pub(crate) fn note_bytes(&self) {
        let mut state = self.lock();
        if state.calls > 0 || state.started {
            return;
        }
        state.started = true;
        state.deadline = Deadline::after_ms(HEAD_LIMIT_MS);
        drop(state);
        self.changed.notify_one();
    }

    /// Time at which the connection is closed; `None` while it carries a call.
    pub(crate) fn idle_deadline(&self) -> Option<Deadline> {
        let state = self.lock();
        (state.calls == 0).then_some(state.deadline)
    }

    /// Waits until [`Link::idle_deadline`] may have changed.
    pub(crate) async fn wait_changed(&self) {
        self.changed.notified().await;
    }

    fn end(&self, end: End) {
        self.ended.send_if_modified(|current| {
            let first = *current == End::Open;
            if first {
                *current = end;
            }
            first
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Link {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.calls -= 1;
        state.deadline = Deadline::after_ms(IDLE_LIMIT_MS);
        drop(state);
        self.0.changed.notify_one();
    }
}
