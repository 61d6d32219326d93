//! Deadlines of transfers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use tokio::time::Instant;
use types::{Progress, size};

/// Time at which a transfer is given up that gets `bytes` every `interval` for at most `limit`; `None` if it
/// goes on.
fn give_up_after(bytes: u64, interval: Duration, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    let mut now = start;
    let mut progress = Progress::new(start);
    while now.duration_since(start) < limit {
        now += interval;
        if progress.deadline().has_passed(now) {
            return Some(progress.deadline().instant().duration_since(start));
        }
        progress.record(size::Bytes::new(bytes), now);
    }
    None
}

/// Guards against a large value that is never transferred because its link is thin, and against a peer that
/// holds a transfer with a few bytes now and then.
#[test]
fn a_transfer_goes_on_as_long_as_bytes_arrive_at_a_fair_rate() {
    let cases = [
        // 7 Mbit/s, and a tenth of it, in packets and in pieces with pauses.
        (1_460, 2, true),
        (1_460, 17, true),
        (64 * 1024, 700, true),
        (24 * 1024, 1_400, true),
        // Too slow, or silent for too long.
        (1, 10, false),
        (1_000, 100, false),
        (64 * 1024, 1_600, false),
    ];
    for (bytes, interval_ms, goes_on) in cases {
        let limit = Duration::from_mins(1);
        let given_up = give_up_after(bytes, Duration::from_millis(interval_ms), limit);
        assert_eq!(
            given_up.is_none(),
            goes_on,
            "{bytes} bytes every {interval_ms} ms: {given_up:?}"
        );
    }
}

/// Guards against bytes that arrived fast and make a later silence go unnoticed.
#[test]
fn a_silence_ends_a_transfer_however_fast_it_was_before() {
    let start = Instant::now();
    let mut progress = Progress::new(start);
    progress.record(size::Bytes::new(10 * 1024 * 1024), start);
    assert!(
        progress
            .deadline()
            .has_passed(start + Duration::from_millis(1500))
    );
}
