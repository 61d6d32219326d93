//! Rate limits that upstreams declare.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use route::{Admission, Decision, RateLimiter, Refusal, Requirements};
use tokio::time::Instant;
use types::rate::PerSecond;
use types::{Deadline, size};

/// Window in which a target counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

fn requirements(deadline: Deadline) -> Requirements {
    Requirements {
        deadline,
        objective: None,
        priority: 0,
    }
}

/// Largest number of times in one window.
fn count_most(times: &[Instant]) -> usize {
    let counts = times.iter().map(|from| {
        let window = *from..*from + WINDOW;
        times.iter().filter(|at| window.contains(at)).count()
    });
    counts.max().unwrap_or_default()
}

proptest! {
    #![proptest_config(Config { cases: 200, ..Config::default() })]

    /// Guards against bursts beyond the limit, whatever the arrivals, pauses and completions are, and
    /// against a limit that keeps all calls away.
    #[test]
    fn calls_stay_within_the_limit(
        rate in 0.0..40.0_f64,
        gaps_ms in prop::collection::vec(prop_oneof![9 => 0..80_u64, 1 => 0..5000_u64], 50..400),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut admission = Admission::new(size::Slots::new(8), size::Queue::new(16), now);
        admission.record_rate_limit(Some(PerSecond::new(rate)), now, now);
        let mut starts = Vec::new();
        for gap in gaps_ms {
            now += Duration::from_millis(gap);
            while let Some((_, decision)) = admission.advance_queue(now) {
                starts.extend(decision.ok().map(|()| now));
            }
            let deadline = Deadline::new(now + Duration::from_secs(2));
            if admission.admit(requirements(deadline), now) == Decision::Admit {
                starts.push(now);
            }
            while admission.in_use() > 0 {
                admission.complete(Duration::from_millis(1));
            }
        }
        let most = count_most(&starts);
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        let most_allowed = (0..=most).filter(|count| f64::from(u32::try_from(*count).unwrap()) <= allowed).count();
        prop_assert!(most < most_allowed, "{most} calls in {WINDOW:?} at {rate}/s");
        prop_assert!(!starts.is_empty());
    }
}

/// Guards against a limit that is lifted by an answer to an earlier request, or never lifted.
#[test]
fn limit_ends_with_an_answer_to_a_later_request() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let limit = Some(PerSecond::new(3.0));
    let mut limiter = RateLimiter::new(start);
    assert!(limiter.record(limit, at(0), at(100)));
    assert!(!limiter.record(None, at(50), at(150)));
    assert_eq!(limiter.limit(), limit);
    assert!(limiter.record(None, at(110), at(200)));
    assert!(limiter.wait(0, at(200)).is_zero());
}

/// Guards against a limit of an earlier time that a caller's node still knows.
#[test]
fn limit_of_a_caller_holds_until_the_upstream_answers() {
    let start = Instant::now();
    let (limit, later) = (PerSecond::new(3.0), start + Duration::from_millis(10));
    let mut limiter = RateLimiter::new(start);
    limiter.adopt(limit, start);
    assert_eq!(limiter.limit(), Some(limit));
    assert!(limiter.record(None, start, later));
    limiter.adopt(limit, later);
    assert_eq!(limiter.limit(), None);
}

/// Guards against queued calls that wait for a limit that leaves them no time.
#[test]
fn queued_calls_that_a_new_limit_delays_too_long_are_refused() {
    let now = Instant::now();
    let mut admission = Admission::new(size::Slots::new(4), size::Queue::new(16), now);
    let call = requirements(Deadline::new(now + Duration::from_secs(1)));
    admission.set_cold_until(now);
    for _ in 0..4 {
        assert_eq!(admission.admit(call, now), Decision::Admit);
    }
    admission.complete(Duration::from_millis(20));
    assert_eq!(admission.admit(call, now), Decision::Admit);
    for _ in 0..6 {
        assert!(matches!(admission.admit(call, now), Decision::Wait(_)));
    }
    admission.record_rate_limit(Some(PerSecond::new(2.0)), now, now);
    let mut refused = 0;
    while let Some((_, decision)) = admission.advance_queue(now) {
        assert_eq!(decision, Err(Refusal::DeadlineUnreachable));
        refused += 1;
    }
    // The saved call waits for a slot, and the next one for half a second.
    assert_eq!(refused, 4);
}
