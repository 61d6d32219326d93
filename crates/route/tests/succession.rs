//! Tracking of the current start of an upstream.

use std::time::Duration;

use route::{AnnouncementHeader, AnnouncementOutcome, Stage, StartTracker};
use tokio::time::Instant;
use types::Timestamp;

/// Time at which starts depart.
const DEPARTED_AT: Timestamp = Timestamp::new(100);

fn header(instance: &str, started: u64, sequence: u64, stage: Stage) -> AnnouncementHeader {
    AnnouncementHeader {
        instance: instance.to_owned(),
        started: Timestamp::new(started),
        sequence,
        stage,
    }
}

/// Guards against announcements that arrive late or out of order and restore an earlier stage or
/// start.
#[test]
fn late_announcements_have_no_effect() {
    use Stage::{Draining, Ready};
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    let ignored = |outcome| matches!(outcome, AnnouncementOutcome::Ignored(_));
    let mut announce = |instance, started, sequence, stage| {
        tracker.record_announcement(&header(instance, started, sequence, stage), now)
    };
    assert_eq!(announce("a", 10, 1, Ready), AnnouncementOutcome::New(Ready));
    assert_eq!(
        announce("a", 10, 3, Ready),
        AnnouncementOutcome::Current(Ready)
    );
    assert!(ignored(announce("a", 10, 2, Draining)), "out of order");
    assert_eq!(
        announce("a", 10, 4, Draining),
        AnnouncementOutcome::Current(Draining)
    );
    assert_eq!(
        announce("a", 10, 5, Ready),
        AnnouncementOutcome::Current(Draining),
        "a start that drains never gets calls again"
    );
    assert_eq!(announce("b", 20, 1, Ready), AnnouncementOutcome::New(Ready));
    assert!(ignored(announce("a", 10, 6, Ready)), "an earlier start");
    assert_eq!(
        announce("b", 30, 1, Ready),
        AnnouncementOutcome::New(Ready),
        "a restart under the same identity is a new start"
    );
}

/// Guards against an upstream that is ignored for good because the clock of an earlier one was
/// ahead.
#[test]
fn an_older_start_is_current_once_the_later_one_is_silent() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    tracker.record_announcement(&header("ahead", 50, 1, Stage::Ready), now);
    let old = header("behind", 40, 1, Stage::Ready);
    let soon = now + Duration::from_secs(1);
    assert!(matches!(
        tracker.record_announcement(&old, soon),
        AnnouncementOutcome::Ignored(_)
    ));
    let later = now + Duration::from_secs(6);
    assert_eq!(
        tracker.record_announcement(&old, later),
        AnnouncementOutcome::New(Stage::Ready)
    );
}

/// Guards against a departed start that becomes current again through a late announcement or the
/// state of an earlier process.
#[test]
fn departed_starts_never_become_current_again() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    tracker.record_announcement(&header("a", 10, 7, Stage::Ready), now);
    assert_eq!(
        tracker.record_departure("b", None, DEPARTED_AT),
        None,
        "not the current one"
    );
    assert_eq!(
        tracker.record_departure("a", None, DEPARTED_AT),
        Some(Timestamp::new(10))
    );
    assert!(matches!(
        tracker.record_announcement(&header("a", 10, 8, Stage::Ready), now),
        AnnouncementOutcome::Ignored(_)
    ));
    tracker.restore("a", Timestamp::new(10), now);
    assert!(!tracker.is_current("a", Timestamp::new(10)));
    assert_eq!(
        tracker.record_announcement(&header("a", 11, 1, Stage::Ready), now),
        AnnouncementOutcome::New(Stage::Ready)
    );
    assert!(tracker.is_current("a", Timestamp::new(11)));
}

/// Guards against a restored start whose announcements are ignored as late.
#[test]
fn a_restored_start_is_current() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    tracker.restore("a", Timestamp::new(10), now);
    assert!(tracker.is_current("a", Timestamp::new(10)));
    assert_eq!(
        tracker.record_announcement(&header("a", 10, 1, Stage::Ready), now),
        AnnouncementOutcome::Current(Stage::Ready)
    );
}

/// Guards against a start that departs before the node knows it, and becomes current again when the
/// entry of the earlier process is read. This happens after a restart while the store is
/// unavailable.
#[test]
fn a_start_that_departed_unknown_is_not_restored() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    assert_eq!(tracker.record_departure("a", None, DEPARTED_AT), None);
    tracker.restore("a", Timestamp::new(10), now);
    assert!(!tracker.is_current("a", Timestamp::new(10)));
    assert!(matches!(
        tracker.record_announcement(&header("a", 10, 9, Stage::Ready), now),
        AnnouncementOutcome::Ignored(_)
    ));
    assert_eq!(
        tracker.record_announcement(&header("a", 101, 1, Stage::Ready), now),
        AnnouncementOutcome::New(Stage::Ready),
        "a start after the departure"
    );
}

/// Guards against a start that departed before the last departure, which alone is stored, and becomes
/// current in a new process of the node through a late announcement.
#[test]
fn starts_before_a_restored_departure_are_ignored_for_some_seconds() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    tracker.restore_departure("b", Timestamp::new(20), now);
    for (instance, started) in [("a", 10), ("b", 20)] {
        let outcome = tracker.record_announcement(&header(instance, started, 9, Stage::Ready), now);
        assert!(
            matches!(outcome, AnnouncementOutcome::Ignored(_)),
            "{instance}"
        );
    }
    assert_eq!(
        tracker.record_announcement(&header("c", 30, 1, Stage::Ready), now),
        AnnouncementOutcome::New(Stage::Ready)
    );
    // The clock of `b` may have been ahead.
    let mut tracker = StartTracker::default();
    tracker.restore_departure("b", Timestamp::new(20), now);
    let later = now + Duration::from_secs(6);
    assert_eq!(
        tracker.record_announcement(&header("a", 10, 9, Stage::Ready), later),
        AnnouncementOutcome::New(Stage::Ready)
    );
}

/// Guards against calls to a start that has departed at an earlier process of the node, which nobody knows
/// any more, and against an upstream that is left out although it was confirmed or has started since.
#[test]
fn starts_before_the_process_get_calls_when_they_are_confirmed() {
    use Stage::{Draining, Ready};
    let now = Instant::now();
    let new_tracker = || StartTracker::with_predecessor(Timestamp::new(100), now);
    let mut tracker = new_tracker();
    tracker.restore("a", Timestamp::new(90), now);
    for sequence in 1..3 {
        let outcome = tracker.record_announcement(&header("a", 90, sequence, Ready), now);
        assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
    }
    assert!(!tracker.confirm("b", Timestamp::new(90)));
    assert!(tracker.confirm("a", Timestamp::new(90)));
    assert_eq!(
        tracker.record_announcement(&header("a", 90, 3, Ready), now),
        AnnouncementOutcome::Current(Ready)
    );

    // The store may have been read long after the start of the process.
    let mut tracker = new_tracker();
    tracker.restore("a", Timestamp::new(90), now + Duration::from_mins(1));
    assert!(!tracker.is_confirmed());

    // A departure or the drain of a start outranks an answer that was on its way.
    let mut tracker = new_tracker();
    tracker.record_announcement(&header("a", 90, 1, Ready), now);
    tracker.record_departure("a", None, Timestamp::new(100));
    assert!(!tracker.confirm("a", Timestamp::new(90)));
    let mut tracker = new_tracker();
    tracker.record_announcement(&header("a", 90, 1, Ready), now);
    assert_eq!(
        tracker.record_announcement(&header("a", 90, 2, Draining), now),
        AnnouncementOutcome::Current(Draining)
    );
    assert!(!tracker.confirm("a", Timestamp::new(90)));

    // Later starts, and announcements that cannot have been sent before the process.
    assert_eq!(
        new_tracker().record_announcement(&header("a", 110, 1, Ready), now),
        AnnouncementOutcome::New(Ready)
    );
    let later = now + Duration::from_secs(6);
    assert_eq!(
        new_tracker().record_announcement(&header("a", 90, 9, Ready), later),
        AnnouncementOutcome::New(Ready)
    );
}

/// Guards against an upstream that is ignored for good after another sender has announced it with
/// the largest sequence number.
#[test]
fn a_sequence_number_that_is_too_large_is_forgotten_after_a_silence() {
    let now = Instant::now();
    let mut tracker = StartTracker::default();
    tracker.record_announcement(&header("a", 10, u64::MAX, Stage::Ready), now);
    let soon = now + Duration::from_secs(1);
    assert!(matches!(
        tracker.record_announcement(&header("a", 10, 5, Stage::Ready), soon),
        AnnouncementOutcome::Ignored(_)
    ));
    let later = now + Duration::from_secs(6);
    assert_eq!(
        tracker.record_announcement(&header("a", 10, 6, Stage::Ready), later),
        AnnouncementOutcome::Current(Stage::Ready)
    );
}

/// Guards against a start that outranks every true one, and against an identity that cannot be sent
/// to the upstream.
#[test]
fn headers_of_no_running_upstream_are_found() {
    let clock = Timestamp::new(1_000_000);
    let long = "i".repeat(200);
    for (instance, started, is_valid) in [
        ("i-1", 0, true),
        ("i-1", 1_000_000, true),
        ("i-1", 1_010_000, true),
        ("i-1", 2_000_000, false),
        ("i-1", u64::MAX, false),
        ("", 1_000_000, false),
        (long.as_str(), 1_000_000, false),
    ] {
        let fault = header(instance, started, 1, Stage::Ready).find_fault(clock);
        assert_eq!(fault.is_none(), is_valid, "{instance} {started} {fault:?}");
    }
}
