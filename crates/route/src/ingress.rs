use std::time::Duration;

use tokio::time::Instant;
use types::rate::Bandwidth;

use crate::{Refusal, Requirements};

/// Ratio of the link rate that large request bodies may use. Small requests, answers of other nodes and the
/// configuration share the link and wait behind everything that is already on its way.
const BULK_RATIO: f64 = 0.8;

/// Admission control of large request bodies on the incoming link of an instance.
///
/// A body that is refused is not sent, so it takes nothing from those that can arrive in time.
#[derive(Debug)]
pub struct Ingress {
    /// Rate for large bodies; zero if the link is unlimited.
    bytes_per_second: f64,
    /// Bytes that were admitted and have not arrived.
    backlog_bytes: u64,
}

impl Ingress {
    /// Creates the ingress of an instance with this link rate.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate needs no more than 52 bits"
    )]
    pub fn new(link: Bandwidth) -> Self {
        Self {
            bytes_per_second: link.bytes() as f64 * BULK_RATIO,
            backlog_bytes: 0,
        }
    }

    /// Decides whether a body of `bytes` is sent to this instance, whose target would answer
    /// `service_time` after it has arrived, and counts it if so.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::LinkBusy`] if the answer would be too late for the objective. A call that has
    /// missed its objective is admitted while no other body is on its way.
    pub fn admit(
        &mut self,
        bytes: u64,
        requirements: &Requirements,
        service_time: Duration,
        now: Instant,
    ) -> Result<(), Refusal> {
        let own = self.transmission_time(bytes) + service_time;
        let objective = requirements.objective.unwrap_or(requirements.deadline);
        let limit = if self.backlog_bytes == 0 && objective.remaining(now) < own {
            requirements.deadline
        } else {
            objective
        };
        let is_bounded = self.bytes_per_second > 0.0;
        if is_bounded && self.transmission_time(self.backlog_bytes) + own > limit.remaining(now) {
            return Err(Refusal::LinkBusy);
        }
        self.backlog_bytes = self.backlog_bytes.saturating_add(bytes);
        Ok(())
    }

    /// Removes admitted bytes that have arrived or will not be sent.
    pub const fn release(&mut self, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes.saturating_sub(bytes);
    }

    #[allow(clippy::cast_precision_loss, reason = "sizes are far below 52 bits")]
    fn transmission_time(&self, bytes: u64) -> Duration {
        if self.bytes_per_second <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = bytes as f64 / self.bytes_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
