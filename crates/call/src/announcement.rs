use std::net::SocketAddr;
use std::time::Duration;

use route::Stage;
use types::{Timestamp, id, size};

/// State that an upstream reports to the node beside it, every second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Service that the upstream runs.
    pub service: id::Service,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Calls that it runs concurrently.
    pub slots: size::Slots,
    /// Connections that it accepts.
    pub connections: size::Connections,
    /// Stage of its life cycle.
    pub state: Stage,
    /// Path of its health endpoint; empty for `/health`.
    pub health: String,
    /// Identity of the upstream process, which tells a new process at the same address from an old
    /// one; empty when the upstream does not report it.
    pub instance: String,
    /// Start time of that process by the upstream's clock; zero when the upstream does not report
    /// it.
    pub started: Timestamp,
    /// Remaining time for which it is slow after its start; `None` when the upstream does not
    /// report it.
    pub cold_remaining: Option<Duration>,
    /// Version of its software; `None` when the upstream does not report it.
    pub build: Option<id::Build>,
}

impl Announcement {
    /// Path of the health endpoint.
    #[must_use]
    pub fn health_path(&self) -> &str {
        match self.health.as_str() {
            "" => "/health",
            path => path,
        }
    }

    /// Creates the announcement of a ready upstream with the default health endpoint.
    #[must_use]
    pub fn new(
        service: id::Service,
        address: SocketAddr,
        slots: size::Slots,
        connections: size::Connections,
    ) -> Self {
        Self {
            service,
            address,
            slots,
            connections,
            state: Stage::Ready,
            health: String::new(),
            instance: String::new(),
            started: Timestamp::default(),
            cold_remaining: None,
            build: None,
        }
    }

    /// Sets the life-cycle stage.
    #[must_use]
    pub const fn with_state(mut self, state: Stage) -> Self {
        self.state = state;
        self
    }
}
