use std::time::Duration;

use tokio::time::Instant;

/// Default time after which an announcement expires unless it is renewed.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// Consecutive refused connections after which an upstream counts as absent.
const MAX_REFUSED_CONNECTIONS: u32 = 2;

/// Consecutive unhealthy probes, without an answered call, after which an upstream is doubted.
const MAX_UNHEALTHY_PROBES: u32 = 2;

/// Time during which an answered call outweighs unhealthy probes.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Lifecycle stage that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The upstream does not accept calls yet.
    Starting,
    /// The upstream accepts calls.
    Ready,
    /// The upstream completes running calls and accepts no new ones.
    Draining,
}

/// Result of a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Probe {
    /// The upstream reported that it is healthy.
    Healthy,
    /// The upstream gave another answer, or none in time.
    Unhealthy,
    /// The upstream refused the connection.
    Refused,
}

/// Whether an upstream may be sent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// There is no valid announcement, or the upstream refuses connections.
    Absent,
    /// The upstream does not accept calls yet.
    Starting,
    /// The upstream accepts no new calls.
    Draining,
    /// The upstream is sent one call at a time until it answers one, like a half-open circuit
    /// breaker.
    Doubted,
    /// The upstream is sent calls.
    Ready,
}

/// Health of one upstream, derived from its announcements, health probes and call results.
///
/// Health endpoints can lag or be wrong, so probes can make an upstream doubted, but only an
/// answered call ends that state.
#[derive(Debug)]
pub struct UpstreamHealth {
    stage: Stage,
    announced_at: Instant,
    ttl: Duration,
    refused_connections: u32,
    unhealthy_probes: u32,
    doubted: bool,
    leaving: bool,
    last_answer: Option<Instant>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that announced itself at `now`.
    #[must_use]
    pub const fn new(stage: Stage, now: Instant) -> Self {
        Self {
            stage,
            announced_at: now,
            ttl: ANNOUNCEMENT_TTL,
            refused_connections: 0,
            unhealthy_probes: 0,
            doubted: false,
            leaving: false,
            last_answer: None,
        }
    }

    /// Sets the time after which an announcement expires.
    #[must_use]
    pub const fn with_ttl(mut self, ttl: Duration) -> Self {
        self.ttl = ttl;
        self
    }

    /// Renews the announcement and resets the count of refused connections. A doubted upstream
    /// stays doubted until it answers a call.
    pub const fn record_announcement(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.announced_at = now;
        self.refused_connections = 0;
    }

    /// Records that the upstream is about to leave. It counts as draining from now on, whatever later
    /// announcements say.
    pub const fn record_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether the upstream is about to leave.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that another upstream uses the address, so that this one counts as absent.
    pub const fn record_address_reuse(&mut self) {
        self.refused_connections = MAX_REFUSED_CONNECTIONS;
        self.doubted = true;
    }

    /// Records the result of a health probe.
    pub fn record_probe(&mut self, probe: Probe, now: Instant) {
        let has_recent_answer = self
            .last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_TTL);
        match probe {
            Probe::Refused => self.record_refused_connection(),
            Probe::Healthy => {
                self.refused_connections = 0;
                self.unhealthy_probes = 0;
            }
            Probe::Unhealthy => {
                self.refused_connections = 0;
                self.unhealthy_probes += 1;
                if self.unhealthy_probes >= MAX_UNHEALTHY_PROBES && !has_recent_answer {
                    self.doubted = true;
                }
            }
        }
    }

    /// Records a call or probe whose connection was refused.
    pub const fn record_refused_connection(&mut self) {
        self.refused_connections = self.refused_connections.saturating_add(1);
        if self.refused_connections >= MAX_REFUSED_CONNECTIONS {
            self.doubted = true;
        }
    }

    /// Records a call that the upstream answered.
    pub const fn record_answer(&mut self, now: Instant) {
        self.refused_connections = 0;
        self.unhealthy_probes = 0;
        self.doubted = false;
        self.last_answer = Some(now);
    }

    /// Time at which the announcement expires unless it is renewed.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        self.announced_at + self.ttl
    }

    /// Whether the upstream may be sent calls at `now`.
    #[must_use]
    pub fn availability(&self, now: Instant) -> Availability {
        if now >= self.expires_at() || self.refused_connections >= MAX_REFUSED_CONNECTIONS {
            return Availability::Absent;
        }
        match self.stage {
            _ if self.leaving => Availability::Draining,
            Stage::Starting => Availability::Starting,
            Stage::Draining => Availability::Draining,
            Stage::Ready if self.doubted => Availability::Doubted,
            Stage::Ready => Availability::Ready,
        }
    }
}
