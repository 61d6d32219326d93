//! Watches under the faults of the store.

#![allow(clippy::unwrap_used)]

use standin::store::Store as Standin;
use standin::{Faults, Outage};
use store::{Error, Event, Revision, Span, Store, Watch};
use types::Deadline;

/// Deadline of a watch that hears nothing.
const SILENCE_MS: u64 = 300;

fn soon() -> Deadline {
    Deadline::after_ms(5000)
}

async fn start() -> (Standin, Store) {
    let standin = Standin::start_local().await.unwrap();
    let store = Store::new(vec![standin.url().parse().unwrap()]).unwrap();
    (standin, store)
}

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
    let silent_watch = Faults {
        watch_silent: true,
        ..Faults::default()
    };
    let silent_connection = Faults {
        silence_connections: true,
        ..Faults::default()
    };
    for faults in [silent_watch, silent_connection] {
        let (standin, store) = start().await;
        let first = put(&store, "a").await;
        let mut watch = open(&store, first).await;
        assert_eq!(revisions(&next(&mut watch).await.unwrap()), [first]);
        standin.apply_faults(faults).await;
        let second = put(&store, "a").await;
        let silent = watch.next(Deadline::after_ms(SILENCE_MS)).await;
        assert_eq!(silent, Err(Error::WatchSilent));
        standin.apply_faults(Faults::default()).await;
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
        let skip = u32::try_from(steps.len() - 1).unwrap();
        standin
            .apply_faults(Faults {
                skip_events: skip,
                ..Faults::default()
            })
            .await;
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
    for (skip_events, repeat_messages) in [(1, 0), (0, 1)] {
        let (standin, store) = start().await;
        let mut watch = open(&store, Revision::NONE).await;
        let faults = Faults {
            skip_events,
            repeat_messages,
            ..Faults::default()
        };
        standin.apply_faults(faults).await;
        put(&store, "k").await;
        put(&store, "k").await;
        let mut reported = next(&mut watch).await;
        if repeat_messages > 0 {
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
    let compact_before = u32::try_from(newest.get()).unwrap();
    standin
        .apply_faults(Faults {
            compact_before,
            ..Faults::default()
        })
        .await;
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
    let refuse = Faults {
        outage: Outage::Refuse.into(),
        ..Faults::default()
    };
    let damage = Faults {
        damage_answers: true,
        ..Faults::default()
    };
    for faults in [refuse, damage] {
        let (standin, store) = start().await;
        let mut watch = open(&store, Revision::NONE).await;
        let first = put(&store, "k").await;
        assert_eq!(revisions(&next(&mut watch).await.unwrap()), [first]);
        standin.apply_faults(faults).await;
        // The write takes effect when the answer is damaged, and is not sent during the outage.
        let written = store.put("k", vec![], None, soon()).await.unwrap_err();
        let error = next(&mut watch).await.unwrap_err();
        assert!(matches!(error, Error::WatchEnded(_)), "{error}");
        standin.apply_faults(Faults::default()).await;
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
    standin
        .apply_faults(Faults {
            outage: Outage::Hang.into(),
            ..Faults::default()
        })
        .await;
    let all = Span::Prefix(String::new());
    let opened = store
        .watch(&all, Revision::NONE, Deadline::after_ms(SILENCE_MS))
        .await;
    assert!(matches!(opened.err(), Some(Error::AnswerLost(_))));
}
