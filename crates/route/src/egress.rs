use std::time::Duration;

use tokio::time::Instant;
use types::rate::Bandwidth;

use crate::{Refusal, Requirements};

/// Ratio of the link rate that large answers may use. Small answers, requests and acknowledgements
/// share the link and wait behind everything that is already queued on it.
const BULK_RATIO: f64 = 0.8;

/// Assumed size of a large answer before the first one is sent.
const INITIAL_SIZE_BYTES: f64 = 64.0 * 1024.0;

/// Weight of a new sample in the moving average of the size.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Maximum backlog, in average large answers, with which a call that misses its objective anyway is
/// still admitted.
const MAX_LATE_BACKLOG_RATIO: f64 = 1.0;

/// Admission control and pacing of large answers on the outgoing link of an instance.
///
/// Data that is queued on a link cannot be overtaken. So large answers are paced below the link
/// rate, and a call whose answer cannot be sent by its objective is refused before it runs.
#[derive(Debug)]
pub struct Egress {
    /// Rate for large answers; zero if the link is unlimited.
    bytes_per_second: f64,
    /// Bytes that are still to be sent, partly estimated.
    backlog_bytes: u64,
    /// Moving average of the size of large answers.
    mean_size_bytes: f64,
    /// Time at which the link has sent all scheduled chunks.
    idle_at: Instant,
}

impl Egress {
    /// Creates the egress of an instance with this link rate at `now`.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate needs no more than 52 bits"
    )]
    pub fn new(link: Bandwidth, now: Instant) -> Self {
        Self {
            bytes_per_second: link.bytes() as f64 * BULK_RATIO,
            backlog_bytes: 0,
            mean_size_bytes: INITIAL_SIZE_BYTES,
            idle_at: now,
        }
    }

    /// Decides whether a call with a large answer may run, which its target would answer after
    /// `service_time`. Returns the number of bytes reserved for the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::LinkBusy`] if the answer would be sent too late.
    pub fn admit(
        &mut self,
        requirements: &Requirements,
        service_time: Duration,
        now: Instant,
    ) -> Result<u64, Refusal> {
        let size = self.expected_size();
        if self.is_bounded() {
            let sent_after = self.drain_time().max(service_time) + self.transmission_time(size);
            let objective = requirements.objective.unwrap_or(requirements.deadline);
            let is_late = objective.remaining(now) < service_time + self.transmission_time(size);
            let limit = if is_late
                && self.drain_time() <= self.transmission_time(size).mul_f64(MAX_LATE_BACKLOG_RATIO)
            {
                requirements.deadline
            } else {
                objective
            };
            if sent_after > limit.remaining(now) {
                return Err(Refusal::LinkBusy);
            }
        }
        self.reserve(size);
        Ok(size)
    }

    /// Records the size of an answer and replaces its `reserved` bytes by that size.
    #[allow(clippy::cast_precision_loss, reason = "sizes are far below 52 bits")]
    pub fn record_size(&mut self, reserved: u64, size: u64) {
        self.release(reserved);
        self.reserve(size);
        self.mean_size_bytes += SMOOTHING_FACTOR * (size as f64 - self.mean_size_bytes);
    }

    /// Removes reserved bytes from the backlog, because they were sent or will not be sent.
    pub const fn release(&mut self, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes.saturating_sub(bytes);
    }

    /// Adds bytes to the backlog.
    pub const fn reserve(&mut self, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes.saturating_add(bytes);
    }

    /// Schedules a chunk of an answer; returns the time at which the link has sent it.
    pub fn schedule_chunk(&mut self, bytes: u64, now: Instant) -> Instant {
        self.idle_at = self.idle_at.max(now) + self.transmission_time(bytes);
        self.idle_at
    }

    /// Time that the link needs to send the backlog.
    #[must_use]
    pub fn drain_time(&self) -> Duration {
        self.transmission_time(self.backlog_bytes)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    const fn expected_size(&self) -> u64 {
        self.mean_size_bytes as u64
    }

    fn is_bounded(&self) -> bool {
        self.bytes_per_second > 0.0
    }

    #[allow(clippy::cast_precision_loss, reason = "sizes are far below 52 bits")]
    fn transmission_time(&self, bytes: u64) -> Duration {
        if !self.is_bounded() {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(bytes as f64 / self.bytes_per_second).unwrap_or(Duration::MAX)
    }
}
