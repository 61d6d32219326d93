//! Watches under the faults of the store.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{set_faults, soon, start};
use store::{Error, Event, Revision, Span, Store, Watch};
use tokio::time::timeout;
use types::Deadline;

/// Deadline of a watch that hears nothing.
const SILENCE_MS: u64 = 300;

async fn open(store: &Store, from: Revision) -> Watch {
    let all = Span::Prefix(String::new());
    store.watch(&all, from, soon()).await.unwrap()
}

async fn put(store: &Store, key: &str) -> Revision {
    store.put(key, vec![], None, soon()).await.unwrap()
}

async fn next(watch: &mut Watch) -> Result<Vec<Event>, Error> {
    watch.next(soon()).await
}

fn revisions(events: &[Event]) -> Vec<Revision> {
    events.iter().map(|event| event.revision).collect()
}

/// Guards against a reader that trusts a watch whose connection went silent: it must end with an
/// error by its deadline, and a new watch must continue where the silent one stood.
#[tokio::test]
async fn silent_watch_is_noticed_and_resumed() {
    for faults in [r#""watch_silent": true"#, r#""silence_connections": true"#] {
        let (standin, store) = start().await;
        let first = put(&store, "a").await;
        let mut watch = open(&store, first).await;
        assert_eq!(revisions(&next(&mut watch).await.unwrap()), [first]);
        set_faults(&standin, faults).await;
        let second = put(&store, "a").await;
        let silent = watch.next(Deadline::after_ms(SILENCE_MS));
        let silent = timeout(Duration::from_secs(10), silent).await.unwrap();
        assert_eq!(silent, Err(Error::WatchSilent));
        set_faults(&standin, "").await;
        let silent = watch.next(Deadline::after_ms(SILENCE_MS)).await;
        assert_eq!(silent, Err(Error::WatchSilent), "silent for good");
        let mut resumed = open(&store, watch.next_revision()).await;
        assert_eq!(revisions(&next(&mut resumed).await.unwrap()), [second]);
    }
}

/// Guards against a change that is left out unnoticed. The first event is skipped in each case.
#[tokio::test]
async fn gap_is_reported() {
    let cases: [(&str, &[&str]); 3] = [
        ("change of a known key", &["put", "put"]),
        ("creation", &["delete", "put", "put"]),
        ("delete", &["delete", "put"]),
    ];
    for (name, steps) in cases {
        let (standin, store) = start().await;
        let mut watch = open(&store, Revision::NONE).await;
        put(&store, "k").await;
        next(&mut watch).await.unwrap();
        let skip = steps.len() - 1;
        set_faults(&standin, &format!(r#""skip_events": {skip}"#)).await;
        for step in steps {
            match *step {
                "put" => drop(put(&store, "k").await),
                _ => drop(store.delete(&Span::Key("k".into()), soon()).await.unwrap()),
            }
        }
        let error = next(&mut watch).await.unwrap_err();
        assert!(
            matches!(&error, Error::Gap { key, .. } if key == "k"),
            "{name}: {error}"
        );
        assert_eq!(
            next(&mut watch).await,
            Err(error),
            "{name}: the watch has ended"
        );
    }
}

/// Guards against a gap that is missed because the watch started after the key's creation, and
/// against a change that is reported twice.
#[tokio::test]
async fn skipped_creation_and_repeated_change_are_reported() {
    for (faults, repeats) in [
        (r#""skip_events": 1"#, false),
        (r#""repeat_messages": 1"#, true),
    ] {
        let (standin, store) = start().await;
        let mut watch = open(&store, Revision::NONE).await;
        set_faults(&standin, faults).await;
        put(&store, "k").await;
        put(&store, "k").await;
        let mut reported = next(&mut watch).await;
        if repeats {
            reported.unwrap();
            reported = next(&mut watch).await;
        }
        assert!(matches!(reported, Err(Error::Gap { .. })), "{reported:?}");
    }
}

/// Guards against a watch that silently starts later because the store has forgotten its history.
#[tokio::test]
async fn compaction_is_reported_with_the_oldest_revision() {
    let (standin, store) = start().await;
    for _ in 0..5 {
        put(&store, "k").await;
    }
    let newest = put(&store, "k").await;
    set_faults(&standin, &format!(r#""compact_before": {newest}"#)).await;
    let mut watch = open(&store, Revision::new(2)).await;
    assert_eq!(
        next(&mut watch).await,
        Err(Error::Compacted { oldest: newest })
    );
    let mut watch = open(&store, newest).await;
    assert_eq!(revisions(&next(&mut watch).await.unwrap()), [newest]);
}

/// Guards against an event that is lost or repeated when a watch breaks and is opened again.
#[tokio::test]
async fn broken_watch_resumes_without_loss_or_repetition() {
    for faults in [r#""outage": "REFUSE""#, r#""damage_answers": true"#] {
        let (standin, store) = start().await;
        let mut watch = open(&store, Revision::NONE).await;
        let first = put(&store, "k").await;
        assert_eq!(revisions(&next(&mut watch).await.unwrap()), [first]);
        set_faults(&standin, faults).await;
        // The write takes effect when the answer is damaged, and is not sent during the outage.
        let written = store.put("k", vec![], None, soon()).await.unwrap_err();
        let error = next(&mut watch).await.unwrap_err();
        assert!(matches!(error, Error::WatchEnded(_)), "{error}");
        set_faults(&standin, "").await;
        let last = put(&store, "k").await;
        let mut expected = vec![first.next(), last];
        expected.dedup();
        assert_eq!(expected.len() == 2, written.may_have_taken_effect());
        let mut resumed = open(&store, watch.next_revision()).await;
        let mut seen = Vec::new();
        while seen.len() < expected.len() {
            seen.extend(revisions(&next(&mut resumed).await.unwrap()));
        }
        assert_eq!(seen, expected);
        assert_eq!(
            next(&mut watch).await,
            Err(error),
            "an ended watch stays ended"
        );
    }
}

/// Guards against a watch that waits for its confirmation for ever.
#[tokio::test]
async fn opening_ends_by_its_deadline() {
    let (standin, store) = start().await;
    set_faults(&standin, r#""outage": "HANG""#).await;
    let all = Span::Prefix(String::new());
    let opened = store.watch(&all, Revision::NONE, Deadline::after_ms(SILENCE_MS));
    let opened = timeout(Duration::from_secs(10), opened).await.unwrap();
    assert!(matches!(opened.err(), Some(Error::AnswerLost(_))));
}
