//! Repeating calls to the store until a deadline.

use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep_until};
use types::Deadline;

use crate::Failure;

/// Longest time for one call to the store, in milliseconds. A silent connection is given up after
/// this time, as everywhere in the system.
const CALL_MS: u64 = 2000;

/// First wait between two tries, in milliseconds. It doubles up to [`WAIT_LIMIT_MS`].
const WAIT_MS: u64 = 20;

/// Longest wait between two tries, in milliseconds.
const WAIT_LIMIT_MS: u64 = 1000;

/// Deadline of the next call: that of the command, or earlier.
pub(crate) fn call_deadline(command: Deadline) -> Deadline {
    Deadline::after_ms(CALL_MS).min(command)
}

/// Waits before try number `attempt`, counted from 0. The wait is random, so that publishers that
/// collided do not collide again. Returns whether time is left.
pub(crate) async fn wait(attempt: u32, command: Deadline) -> bool {
    let limit = WAIT_MS
        .saturating_mul(1 << attempt.min(16))
        .min(WAIT_LIMIT_MS);
    let ms = rand::rng().random_range(limit / 2..=limit);
    let until = Instant::now() + Duration::from_millis(ms);
    sleep_until(until.min(command.instant())).await;
    !command.has_passed(Instant::now())
}

/// Repeats a read until it succeeds or the deadline passes. At least one try is made.
pub(crate) async fn read<V, F, R>(command: Deadline, mut call: R) -> Result<V, Failure>
where
    R: FnMut(Deadline) -> F,
    F: Future<Output = Result<V, store::Error>>,
{
    let mut attempt = 0;
    loop {
        match call(call_deadline(command)).await {
            Ok(value) => return Ok(value),
            Err(error) => {
                if !wait(attempt, command).await {
                    return Err(Failure::Unreachable(error.to_string()));
                }
            }
        }
        attempt += 1;
    }
}
