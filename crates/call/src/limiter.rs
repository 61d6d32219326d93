use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use route::{Admission, Decision, Load, Refusal, Requirements, Ticket};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};
use types::rate::PerSecond;
use types::{Deadline, size};

use crate::shaper::Shaper;

/// Concurrency limiter of one target: its admission state and the calls that wait for a slot.
pub(crate) struct Limiter {
    inner: Mutex<Inner>,
    in_use: watch::Sender<u32>,
    shaper: Arc<Shaper>,
}

struct Inner {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    /// Whether a task waits until the rate limit allows the next queued call.
    is_pacing: bool,
}

/// Slot held by one call. Dropping it frees the slot.
pub(crate) struct Permit {
    limiter: Arc<Limiter>,
    sent_at: Option<Instant>,
}

/// Call waiting in the queue; dropping it removes the call from the queue.
struct Waiter<'a> {
    limiter: &'a Arc<Limiter>,
    ticket: Ticket,
    granted: oneshot::Receiver<Result<(), Refusal>>,
}

impl Limiter {
    pub(crate) fn new(slots: size::Slots, queue: size::Queue, shaper: Arc<Shaper>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                admission: Admission::new(slots, queue, Instant::now()),
                waiting: HashMap::new(),
                is_pacing: false,
            }),
            in_use: watch::Sender::new(0),
            shaper,
        }
    }

    /// Waits for a slot until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call is refused; it has not run.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        requirements: Requirements,
    ) -> Result<Permit, Refusal> {
        let (ticket, granted) = {
            let mut inner = self.lock();
            match inner.admission.admit(requirements, Instant::now()) {
                Decision::Admit => {
                    self.in_use.send_replace(inner.admission.in_use());
                    return Ok(self.new_permit());
                }
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => {
                    let (grant, granted) = oneshot::channel();
                    inner.waiting.insert(ticket, grant);
                    self.schedule_advance(&mut inner);
                    (ticket, granted)
                }
            }
        };
        let mut waiter = Waiter {
            limiter: self,
            ticket,
            granted,
        };
        let decision = timeout_at(requirements.deadline.instant(), &mut waiter.granted).await;
        let Ok(Ok(decision)) = decision else {
            return Err(Refusal::DeadlinePassed);
        };
        decision.map(|()| self.new_permit())
    }

    fn new_permit(self: &Arc<Self>) -> Permit {
        Permit {
            limiter: Arc::clone(self),
            sent_at: None,
        }
    }

    /// Changes the admission state and wakes the waiting calls that it now admits or refuses.
    pub(crate) fn update<F>(self: &Arc<Self>, change: F)
    where
        F: FnOnce(&mut Admission),
    {
        let mut inner = self.lock();
        change(&mut inner.admission);
        while let Some((ticket, decision)) = inner.admission.advance_queue(Instant::now()) {
            let grant = inner.waiting.remove(&ticket);
            let received = grant.is_some_and(|grant| grant.send(decision).is_ok());
            if !received && decision.is_ok() {
                inner.admission.release();
            }
        }
        self.schedule_advance(&mut inner);
        self.in_use.send_replace(inner.admission.in_use());
    }

    /// Advances the queue when the rate limit allows its first call, if one waits for that.
    fn schedule_advance(self: &Arc<Self>, inner: &mut Inner) {
        let wait = inner.admission.rate_limit_wait(Instant::now());
        let (Some(wait), false) = (wait, inner.is_pacing) else {
            return;
        };
        // A slot may be freed after the runtime has ended.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        inner.is_pacing = true;
        let limiter = Arc::downgrade(self);
        runtime.spawn(async move {
            sleep(wait).await;
            if let Some(limiter) = limiter.upgrade() {
                limiter.lock().is_pacing = false;
                limiter.update(|_| ());
            }
        });
    }

    /// Current load, which is reported to callers' nodes.
    pub(crate) fn load(&self) -> Load {
        Load {
            link_us: u64::try_from(self.shaper.drain_time().as_micros()).unwrap_or(u64::MAX),
            ..self.lock().admission.load(Instant::now())
        }
    }

    /// Rate limit of the upstream; `None` without one.
    pub(crate) fn rate_limit(&self) -> Option<PerSecond> {
        self.lock().admission.rate_limit()
    }

    /// Expected time until the answer to a call that arrives now.
    pub(crate) fn expected_time(&self, requirements: &Requirements) -> Duration {
        self.lock()
            .admission
            .estimate_latency(requirements, Instant::now())
    }

    /// Waits until no slot is in use; returns the number of slots still in use at the deadline.
    pub(crate) async fn wait_idle(&self, deadline: Deadline) -> u32 {
        let mut in_use = self.in_use.subscribe();
        let idle = in_use.wait_for(|in_use| *in_use == 0);
        let is_idle = timeout_at(deadline.instant(), idle).await.is_ok();
        if is_idle { 0 } else { *self.in_use.borrow() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Marks the start of the request to the upstream, from which the service time is measured.
    pub(crate) fn mark_sent(&mut self) {
        self.sent_at = Some(Instant::now());
    }

    /// Reverts [`Permit::mark_sent`], so that a call that did not run does not count as service
    /// time.
    pub(crate) const fn mark_unsent(&mut self) {
        self.sent_at = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let sent_at = self.sent_at;
        self.limiter.update(|admission| match sent_at {
            Some(start) => admission.complete(start.elapsed()),
            None => admission.release(),
        });
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let queued = {
            let mut inner = self.limiter.lock();
            inner.waiting.remove(&self.ticket);
            inner.admission.cancel(self.ticket)
        };
        // A slot that was granted while the call was being dropped is released. A grant that
        // `acquire` has received is no longer in the channel.
        if !queued && matches!(self.granted.try_recv(), Ok(Ok(()))) {
            self.limiter.update(Admission::release);
        }
    }
}
