use std::time::Duration;

use tokio::time::Instant;

use crate::{Deadline, size};

/// Longest time without any byte.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Slowest rate of a transfer that goes on, in bytes a second. It bounds how long a peer that sends a few
/// bytes now and then can hold a transfer.
const MIN_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// Deadline of a transfer that moves on with the bytes that arrive.
///
/// A transfer takes as long as its size and the link require, so a fixed deadline would break off every
/// attempt to transfer a large value over a thin link.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    deadline: Deadline,
}

impl Progress {
    /// Starts a transfer at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            deadline: Deadline::new(now + STALL_TIMEOUT),
        }
    }

    /// Records that bytes have arrived at `now`.
    pub fn record(&mut self, bytes: size::Bytes, now: Instant) {
        #[allow(clippy::cast_precision_loss, reason = "transfers are small")]
        let seconds = bytes.get() as f64 / MIN_BYTES_PER_SECOND;
        let earned = Duration::from_secs_f64(seconds).min(STALL_TIMEOUT);
        let extended = self.deadline.instant() + earned;
        self.deadline = Deadline::new(extended.min(now + STALL_TIMEOUT));
    }

    /// Time at which the transfer is given up unless further bytes arrive.
    #[must_use]
    pub const fn deadline(&self) -> Deadline {
        self.deadline
    }
}
