use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use route::{Availability, Stage, UpstreamHealth};
use tokio::time::Instant;
use types::rate::PerSecond;
use types::{Deadline, id, size};

use crate::limiter::Limiter;
use crate::upstream::Upstream;
use crate::{Announcement, Failure, Notice};

/// Time between two health probes, and the timeout of one.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstream beside this node, with its announcement, health, slots and connections.
pub(crate) struct LocalUpstream {
    pub(crate) limiter: Arc<Limiter>,
    pub(crate) upstream: Upstream,
    state: Mutex<State>,
}

struct State {
    announcement: Announcement,
    health: UpstreamHealth,
}

impl LocalUpstream {
    pub(crate) fn new(
        announcement: Announcement,
        limiter: Limiter,
        upstream: Upstream,
        ttl: Duration,
    ) -> Self {
        Self {
            limiter: Arc::new(limiter),
            upstream,
            state: Mutex::new(State {
                health: UpstreamHealth::new(announcement.state, Instant::now()).with_ttl(ttl),
                announcement,
            }),
        }
    }

    /// Whether an announcement comes from this upstream process. If so, its slots and health state
    /// are kept.
    pub(crate) fn is_same_process(&self, new: &Announcement) -> bool {
        let old = &self.lock().announcement;
        old.service == new.service
            && old.address == new.address
            && old.instance == new.instance
            && old.started == new.started
    }

    /// Whether this upstream runs `service`.
    pub(crate) fn serves(&self, service: &id::Service) -> bool {
        self.lock().announcement.service == *service
    }

    /// Renews the announcement. `queue` is the limit of the current configuration; `draining` is
    /// set when the node itself accepts no new calls.
    pub(crate) fn announce(&self, announcement: Announcement, queue: size::Queue, draining: bool) {
        let (slots, connections) = (announcement.slots, announcement.connections);
        let usable_slots = Upstream::usable_slots(slots, connections);
        let is_leaving = self.is_leaving();
        let draining = draining || is_leaving || announcement.state == Stage::Draining;
        let cold_until = announcement
            .cold_remaining
            .map(|remaining| Instant::now() + remaining);
        self.upstream.resize(slots, connections);
        let became_ready = {
            let mut state = self.lock();
            let before = state.announcement.state;
            state
                .health
                .record_announcement(announcement.state, Instant::now());
            state.announcement = if is_leaving {
                announcement.with_state(Stage::Draining)
            } else {
                announcement
            };
            before != Stage::Ready && state.announcement.state == Stage::Ready
        };
        self.limiter.update(|admission| {
            admission.resize(usable_slots, queue);
            admission.set_draining(draining);
            if let Some(until) = cold_until {
                admission.set_cold_until(until);
            }
            if became_ready {
                admission.restart_warm_up(Instant::now());
            }
        });
    }

    /// Applies an observation to the health of the upstream and adapts its slots to the result.
    pub(crate) fn observe<F>(&self, change: F)
    where
        F: FnOnce(&mut UpstreamHealth),
    {
        let (before, after) = {
            let mut state = self.lock();
            let now = Instant::now();
            let before = state.health.availability(now);
            change(&mut state.health);
            (before, state.health.availability(now))
        };
        if before != after {
            let doubted = after == Availability::Doubted;
            self.limiter
                .update(|admission| admission.set_doubted(doubted));
            log::info!(verdict:? = after; "upstream health changed");
        }
    }

    /// Applies a notice in the answer to a request that was sent at `sent_at`.
    pub(crate) fn record_notice(&self, notice: &Notice, sent_at: Instant) {
        if notice.is_leaving && !self.is_leaving() {
            self.mark_leaving();
        }
        let mut is_changed = false;
        self.limiter.update(|admission| {
            is_changed = admission.record_rate_limit(notice.rate_limit, sent_at, Instant::now());
        });
        if is_changed {
            let instance = self.lock().announcement.instance.clone();
            match notice.rate_limit {
                Some(limit) => log::info!(instance:%, limit:%; "upstream limits its requests"),
                None => log::info!(instance:%; "upstream no longer limits its requests"),
            }
        }
    }

    /// Whether the upstream has told in an answer that it is about to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().health.is_leaving()
    }

    /// Refuses new and queued calls, since the upstream is about to leave.
    fn mark_leaving(&self) {
        let instance = {
            let mut state = self.lock();
            state.health.record_leaving();
            state.announcement.state = Stage::Draining;
            state.announcement.instance.clone()
        };
        log::info!(instance:%; "upstream is about to leave");
        self.limiter
            .update(|admission| admission.set_draining(true));
    }

    /// Adopts the rate limit that a caller's node knows, until the upstream answers this node.
    pub(crate) fn adopt_rate_limit(&self, limit: PerSecond) {
        self.limiter
            .update(|admission| admission.adopt_rate_limit(limit, Instant::now()));
    }

    pub(crate) fn availability(&self) -> Availability {
        self.lock().health.availability(Instant::now())
    }

    /// Time at which the announcement expires.
    pub(crate) fn expires_at(&self) -> Deadline {
        Deadline::new(self.lock().health.expires_at())
    }

    /// The announcement to publish to callers' nodes; `None` when the upstream is absent.
    pub(crate) fn announcement(&self) -> Option<Announcement> {
        let state = self.lock();
        let present = state.health.availability(Instant::now()) != Availability::Absent;
        present.then(|| state.announcement.clone())
    }

    /// Checks that the upstream accepts calls.
    ///
    /// # Errors
    ///
    /// Returns a `not-run` failure caused by the service.
    pub(crate) fn check(&self) -> Result<(), Failure> {
        let reason = match self.availability() {
            Availability::Ready | Availability::Doubted => return Ok(()),
            Availability::Absent => "upstream is gone",
            Availability::Starting => "upstream is starting",
            Availability::Draining => "upstream is draining",
        };
        let service = self.lock().announcement.service.clone();
        Err(Failure::service(&service, reason))
    }

    /// Probes the health endpoint once. The result is ignored if the announcement expires first.
    pub(crate) async fn probe(&self) {
        let path = self.lock().announcement.health_path().to_owned();
        let deadline = Deadline::after(PROBE_INTERVAL).min(self.expires_at());
        let result = self.upstream.probe(&path, deadline).await;
        if !self.expires_at().has_passed(Instant::now()) {
            self.observe(|health| health.record_probe(result, Instant::now()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
