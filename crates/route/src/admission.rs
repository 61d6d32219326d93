use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use types::rate::PerSecond;
use types::{Deadline, size};

use crate::requirements::QueueKey;
use crate::{Load, RateLimiter, Requirements, concurrency_limit::ConcurrencyLimit};

/// Ratio of the slack of an objective, beyond the average service time, that a call may spend in
/// the queue. Service times vary, so a call that waits longer would often miss its objective.
const MAX_WAIT_RATIO: f64 = 0.3;

/// Wait that is always allowed, even for a call that misses its objective anyway.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(40);

/// Time in the queue after which a call that misses its objective anyway is refused while others
/// still go ahead of it.
const MAX_LATE_QUEUE_TIME: Duration = Duration::from_millis(150);

/// Ratio of the average service time that must be left before the deadline when a call starts.
const MIN_REMAINING_RATIO: f64 = 0.5;

/// Weight of a new sample in the moving average of the service time.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Weight of a longer sample in the minimum service time; a shorter sample replaces it at once.
const MIN_RISE_FACTOR: f64 = 0.05;

/// Identifies a call in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Reason for refusing a call. A refused call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The deadline has passed.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The deadline leaves too little time for the expected wait or the service time.
    DeadlineUnreachable,
    /// The call would miss its objective because of the wait.
    ObjectiveUnreachable,
    /// The link cannot send the answer by the objective.
    LinkBusy,
    /// The target takes no new calls.
    Draining,
}

impl Refusal {
    /// Text for headers, accounts and log lines.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline passed before hand-over",
            Self::QueueFull => "queue full",
            Self::DeadlineUnreachable => "deadline cannot be met",
            Self::ObjectiveUnreachable => "objective cannot be met",
            Self::LinkBusy => "link is busy",
            Self::Draining => "draining",
        }
    }
}

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call gets a slot.
    Admit,
    /// The call is queued until [`Admission::advance_queue`] returns its ticket.
    Wait(Ticket),
    /// The call is refused.
    Refuse(Refusal),
}

#[derive(Debug)]
struct QueuedCall {
    ticket: Ticket,
    deadline: Deadline,
    key: QueueKey,
    arrived_at: Instant,
}

/// Admission control of one target: concurrency slots, a bounded queue and an estimate of the wait.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    rate_limiter: RateLimiter,
    queue_limit: size::Queue,
    in_use: u32,
    /// Queued calls, the next one first.
    queue: VecDeque<QueuedCall>,
    next_ticket: u64,
    /// Moving average of the service time; zero until a call has completed.
    mean_service_seconds: f64,
    /// Minimum of recent service times. A call with less time left than this cannot finish by its
    /// deadline.
    min_service_seconds: f64,
    refusals: RefusalCounter,
    draining: bool,
}

impl Admission {
    /// Creates the admission control of a target that became ready at `now`.
    #[must_use]
    pub fn new(slots: size::Slots, queue_limit: size::Queue, now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(slots, now),
            rate_limiter: RateLimiter::new(now),
            queue_limit,
            in_use: 0,
            queue: VecDeque::new(),
            next_ticket: 0,
            mean_service_seconds: 0.0,
            min_service_seconds: 0.0,
            refusals: RefusalCounter::new(now),
            draining: false,
        }
    }

    /// Changes the declared slots and queue limit; calls that already run or wait are kept.
    pub const fn resize(&mut self, slots: size::Slots, queue_limit: size::Queue) {
        self.limit.resize(slots);
        self.queue_limit = queue_limit;
    }

    /// Restarts the warm-up after the upstream became ready again.
    pub const fn restart_warm_up(&mut self, now: Instant) {
        self.limit.restart_warm_up(now);
    }

    /// Sets whether new and queued calls are refused.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Sets whether only one call may run at a time because the upstream is doubted.
    pub const fn set_doubted(&mut self, doubted: bool) {
        self.limit.set_doubted(doubted);
    }

    /// Decides on a call that arrived at `now`.
    ///
    /// A call with time left that finds a free slot runs even if it may miss its deadline, since no
    /// other call needs the slot and its service time is unknown.
    pub fn admit(&mut self, requirements: Requirements, now: Instant) -> Decision {
        match self.decide(&requirements, now) {
            Ok(()) if self.queue.is_empty() && self.can_start(now) => {
                self.start(now);
                Decision::Admit
            }
            Ok(()) => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                let key = self.queue_key(&requirements, now);
                let call = QueuedCall {
                    ticket,
                    deadline: requirements.deadline,
                    key,
                    arrived_at: now,
                };
                self.queue.insert(self.queue_position(key), call);
                Decision::Wait(ticket)
            }
            Err(refusal) => {
                self.refusals.count(now);
                Decision::Refuse(refusal)
            }
        }
    }

    fn decide(&self, requirements: &Requirements, now: Instant) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::Draining);
        }
        if requirements.deadline.has_passed(now) {
            return Err(Refusal::DeadlinePassed);
        }
        if self.queue.is_empty() && self.can_start(now) {
            return Ok(());
        }
        if self.queue.len() >= self.queue_limit.get() as usize {
            return Err(Refusal::QueueFull);
        }
        // The wait cannot be estimated before the first call has completed.
        if self.mean_service_seconds == 0.0 && self.queue.len() >= self.limit.slots(now) as usize {
            return Err(Refusal::QueueFull);
        }
        let wait = self.estimate_wait(self.queue_position(self.queue_key(requirements, now)), now);
        if wait + self.min_service_time() >= requirements.deadline.remaining(now) {
            return Err(Refusal::DeadlineUnreachable);
        }
        match self.max_wait(requirements, now) {
            Some(longest) if wait > longest => Err(Refusal::ObjectiveUnreachable),
            _ => Ok(()),
        }
    }

    /// Longest acceptable wait of a call; `None` for calls without an objective and for those of
    /// the highest priority, which other calls depend on.
    fn max_wait(&self, requirements: &Requirements, now: Instant) -> Option<Duration> {
        let objective = requirements
            .objective
            .filter(|_| requirements.priority > 0)?;
        let service = self.mean_service_time();
        let slack = objective.remaining(now).saturating_sub(service);
        Some(slack.mul_f64(MAX_WAIT_RATIO).max(MIN_WAIT_LIMIT))
    }

    fn queue_key(&self, requirements: &Requirements, now: Instant) -> QueueKey {
        requirements.queue_key(self.mean_service_time(), now)
    }

    /// Number of queued calls ahead of a call with this key.
    fn queue_position(&self, key: QueueKey) -> usize {
        self.queue.partition_point(|queued| queued.key <= key)
    }

    /// Frees the slot of a call that completed and records its service time `elapsed`.
    pub fn complete(&mut self, elapsed: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let sample = elapsed.as_secs_f64();
        if self.mean_service_seconds == 0.0 {
            self.mean_service_seconds = sample;
            self.min_service_seconds = sample;
        } else {
            self.mean_service_seconds += SMOOTHING_FACTOR * (sample - self.mean_service_seconds);
            let rise = MIN_RISE_FACTOR * (sample - self.min_service_seconds);
            self.min_service_seconds = (self.min_service_seconds + rise).min(sample);
        }
    }

    /// Frees the slot of a call that never reached the upstream, without recording a service time.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Takes one call out of the queue: admits it if a slot is free, or refuses it if it can no
    /// longer meet its deadline or objective.
    ///
    /// Returns the ticket and the decision. Must be called after each change until it returns
    /// `None`.
    pub fn advance_queue(&mut self, now: Instant) -> Option<(Ticket, Result<(), Refusal>)> {
        if let Some(ticket) = self.pop_starved(now) {
            self.refusals.count(now);
            return Some((ticket, Err(Refusal::ObjectiveUnreachable)));
        }
        if let Some(ticket) = self.pop_beyond_rate_limit(now) {
            self.refusals.count(now);
            return Some((ticket, Err(Refusal::DeadlineUnreachable)));
        }
        let refusal = self.check_queued(self.queue.front()?.deadline, now);
        if refusal.is_none() && !self.can_start(now) {
            return None;
        }
        let ticket = self.queue.pop_front()?.ticket;
        if let Some(refusal) = refusal {
            self.refusals.count(now);
            return Some((ticket, Err(refusal)));
        }
        self.start(now);
        Some((ticket, Ok(())))
    }

    /// Whether a slot is free and the rate limit allows a call.
    fn can_start(&self, now: Instant) -> bool {
        self.in_use < self.limit.slots(now) && self.rate_limiter.wait(0, now).is_zero()
    }

    fn start(&mut self, now: Instant) {
        self.in_use += 1;
        self.rate_limiter.take(now);
    }

    /// Time until the rate limit allows the first queued call; `None` if no call waits for it.
    #[must_use]
    pub fn rate_limit_wait(&self, now: Instant) -> Option<Duration> {
        let wait = self.rate_limiter.wait(0, now);
        (!self.queue.is_empty() && !wait.is_zero()).then_some(wait)
    }

    /// Removes the last call if it misses its objective and has waited for [`MAX_LATE_QUEUE_TIME`].
    fn pop_starved(&mut self, now: Instant) -> Option<Ticket> {
        let is_starved = |queued: &mut QueuedCall| {
            let waited = now.saturating_duration_since(queued.arrived_at);
            queued.key.misses_objective && waited >= MAX_LATE_QUEUE_TIME
        };
        self.queue
            .pop_back_if(is_starved)
            .map(|queued| queued.ticket)
    }

    /// Removes the last call if the rate limit, which may be lower than when it was queued, lets it
    /// start too late for its deadline.
    fn pop_beyond_rate_limit(&mut self, now: Instant) -> Option<Ticket> {
        let wait = self
            .rate_limiter
            .wait(self.queue.len().checked_sub(1)?, now);
        if wait.is_zero() {
            return None;
        }
        let needed = wait.saturating_add(self.min_service_time());
        let is_late = |queued: &mut QueuedCall| needed >= queued.deadline.remaining(now);
        self.queue.pop_back_if(is_late).map(|queued| queued.ticket)
    }

    /// Returns the reason for refusing a queued call, if there is one.
    fn check_queued(&self, deadline: Deadline, now: Instant) -> Option<Refusal> {
        if self.draining {
            Some(Refusal::Draining)
        } else if deadline.has_passed(now) {
            Some(Refusal::DeadlinePassed)
        } else if deadline.remaining(now) < self.min_service_time().max(self.min_remaining_time()) {
            Some(Refusal::DeadlineUnreachable)
        } else {
            None
        }
    }

    /// Removes a call from the queue; returns false if it was not queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let mut queue = self.queue.iter();
        let index = queue.position(|queued| queued.ticket == ticket);
        index.and_then(|index| self.queue.remove(index)).is_some()
    }

    /// Lowers the concurrency limit after the upstream refused a call because of overload.
    pub fn record_overload(&mut self, now: Instant) {
        self.limit.reduce(now);
        self.refusals.count(now);
    }

    /// Records the rate limit in the answer to a request that was sent at `sent_at`; `None` if the
    /// answer has none. Returns whether the limit has changed.
    pub fn record_rate_limit(
        &mut self,
        limit: Option<PerSecond>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        self.rate_limiter.record(limit, sent_at, now)
    }

    /// Rate limit in force; `None` without one.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<PerSecond> {
        self.rate_limiter.limit()
    }

    /// Adopts the rate limit that a caller's node knows, until the upstream answers this node.
    pub fn adopt_rate_limit(&mut self, limit: PerSecond, now: Instant) {
        self.rate_limiter.adopt(limit, now);
    }

    /// Load that is reported to the nodes of callers.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        Load {
            in_use: self.in_use,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.limit.slots(now),
            wait_us: u64::try_from(self.estimate_wait(self.queue.len(), now).as_micros())
                .unwrap_or(u64::MAX),
            link_us: 0,
            shed: self.refusals.last_second(now),
            cold: self.limit.is_cold(now),
        }
    }

    /// Slots in use.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Sets until when the upstream declares itself cold. All of its slots may still be used.
    pub const fn set_cold_until(&mut self, until: Instant) {
        self.limit.set_cold_until(until);
    }

    /// Slots that may be in use at `now`.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        self.limit.slots(now)
    }

    /// Estimates the latency of a call that arrives at `now`: its wait for a slot plus the average
    /// service time.
    #[must_use]
    pub fn estimate_latency(&self, requirements: &Requirements, now: Instant) -> Duration {
        let service = self.mean_service_time();
        let wait = self.estimate_wait(self.queue_position(self.queue_key(requirements, now)), now);
        wait.saturating_add(service)
    }

    fn mean_service_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.mean_service_seconds).unwrap_or(Duration::MAX)
    }

    fn min_service_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.min_service_seconds).unwrap_or(Duration::MAX)
    }

    /// Shortest time before the deadline with which a queued call still gets a slot.
    fn min_remaining_time(&self) -> Duration {
        let least = self.mean_service_seconds * MIN_REMAINING_RATIO;
        Duration::try_from_secs_f64(least).unwrap_or(Duration::MAX)
    }

    /// Estimates the wait behind `ahead` queued calls, for a slot and for the rate limit.
    fn estimate_wait(&self, ahead: usize, now: Instant) -> Duration {
        self.estimate_slot_wait(ahead, now)
            .max(self.rate_limiter.wait(ahead, now))
    }

    fn estimate_slot_wait(&self, ahead: usize, now: Instant) -> Duration {
        let limit = self.limit.slots(now);
        if self.queue.is_empty() && self.in_use < limit {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let rounds = (f64::from(ahead) + 1.0) / f64::from(limit);
        Duration::try_from_secs_f64(rounds * self.mean_service_seconds).unwrap_or(Duration::MAX)
    }
}

/// Counts refused calls in windows of one second.
#[derive(Debug)]
struct RefusalCounter {
    window_start: Instant,
    current: u32,
    previous: u32,
}

impl RefusalCounter {
    const fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current: 0,
            previous: 0,
        }
    }

    fn count(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start).as_secs();
        if age > 0 {
            self.previous = if age == 1 { self.current } else { 0 };
            self.current = 0;
            self.window_start = now;
        }
        self.current = self.current.saturating_add(1);
    }

    fn last_second(&self, now: Instant) -> u32 {
        match now.saturating_duration_since(self.window_start).as_secs() {
            0 => self.current.max(self.previous),
            1 => self.current,
            _ => 0,
        }
    }
}
