//! Every operation of the client against the stand-in without faults.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{soon, start};
use store::{Change, Compare, Error, Kind, Operation, Reply, Revision, Span, Txn};
use types::Deadline;

fn put(key: &str, bytes: &[u8]) -> Operation {
    Operation::Put {
        key: key.into(),
        bytes: bytes.into(),
        lease: None,
    }
}

/// Guards against a value, revision or version that is lost or altered on the way.
#[tokio::test]
async fn reads_return_what_was_written() {
    let (_standin, store) = start().await;
    assert_eq!(store.get("a", soon()).await.unwrap(), None);
    let bytes: Vec<u8> = (0..=255).collect();
    let first = store.put("a/1", bytes.clone(), None, soon()).await.unwrap();
    let second = store.put("a/1", bytes.clone(), None, soon()).await.unwrap();
    store.put("b", vec![], None, soon()).await.unwrap();
    let value = store.get("a/1", soon()).await.unwrap().unwrap();
    assert_eq!((value.bytes, value.version), (bytes, 2));
    assert_eq!((value.create_revision, value.mod_revision), (first, second));
    let listing = store
        .range(&Span::Prefix("a/".into()), soon())
        .await
        .unwrap();
    assert_eq!(listing.entries.len(), 1);
    assert_eq!(listing.revision, second.next());
    assert_eq!(
        store.delete(&Span::Prefix(String::new()), soon()).await,
        Ok(2)
    );
    assert_eq!(store.get("b", soon()).await.unwrap(), None);
}

/// Guards against a compare-and-swap that lets two writers win.
#[tokio::test]
async fn one_of_two_swaps_wins() {
    let (_standin, store) = start().await;
    let create = |bytes: &[u8]| {
        Txn::new()
            .with_compare(Compare::Absent("k".into()))
            .with_then(put("k", bytes))
            .with_otherwise(Operation::Get("k".into()))
    };
    let won = store.txn(create(b"one"), soon()).await.unwrap();
    assert!(won.succeeded && won.replies == [Reply::Put]);
    let lost = store.txn(create(b"two"), soon()).await.unwrap();
    let [Reply::Get(Some(held))] = &lost.replies[..] else {
        panic!("{lost:?}")
    };
    assert!(!lost.succeeded && held.bytes == b"one");
    let swap = |seen| {
        Txn::new()
            .with_compare(Compare::Unchanged("k".into(), seen))
            .with_then(Operation::Delete("k".into()))
            .with_then(put("other", b"x"))
    };
    assert!(
        !store
            .txn(swap(won.revision.next()), soon())
            .await
            .unwrap()
            .succeeded
    );
    let swapped = store.txn(swap(won.revision), soon()).await.unwrap();
    assert_eq!(swapped.replies, [Reply::Delete(true), Reply::Put]);
}

/// Guards against a key that outlives its lease, and a renewal that hides the loss of the lease.
#[tokio::test]
async fn lease_lapses_without_renewal() {
    let (_standin, store) = start().await;
    let lease = store.grant(Duration::from_secs(1), soon()).await.unwrap();
    store.put("l", vec![1], Some(lease), soon()).await.unwrap();
    let held = store.get("l", soon()).await.unwrap().unwrap();
    assert_eq!(held.lease, Some(lease));
    assert_eq!(
        store.keep_alive(lease, soon()).await,
        Ok(Duration::from_secs(1))
    );
    let mut watch = store
        .watch(&Span::Key("l".into()), held.mod_revision.next(), soon())
        .await
        .unwrap();
    let events = watch.next(Deadline::after_ms(5000)).await.unwrap();
    assert_eq!(events[0].change, Change::Delete);
    assert_eq!(
        store.keep_alive(lease, soon()).await,
        Err(Error::LeaseLapsed)
    );
    assert_eq!(store.revoke(lease, soon()).await, Err(Error::LeaseLapsed));
    let refused = store.put("l", vec![1], Some(lease), soon()).await;
    assert!(
        matches!(refused, Err(Error::Refused { status: 404, .. })),
        "{refused:?}"
    );
    let second = store.grant(Duration::from_mins(1), soon()).await.unwrap();
    store.put("l", vec![2], Some(second), soon()).await.unwrap();
    store.revoke(second, soon()).await.unwrap();
    assert_eq!(store.get("l", soon()).await.unwrap(), None);
}

/// Guards against a watch that starts at another revision than the one asked for, and against calls
/// that the metrics do not show.
#[tokio::test]
async fn watch_reports_from_its_revision() {
    let (standin, store) = start().await;
    let span = Span::Prefix("w/".into());
    store.put("w/1", vec![1], None, soon()).await.unwrap();
    let from = store.range(&span, soon()).await.unwrap().revision.next();
    store.put("w/2", vec![2], None, soon()).await.unwrap();
    store.put("x", vec![], None, soon()).await.unwrap();
    let mut watch = store.watch(&span, from, soon()).await.unwrap();
    let events = watch.next(soon()).await.unwrap();
    assert_eq!((events.len(), events[0].key.as_str()), (1, "w/2"));
    let mut newer = store.watch(&span, Revision::NONE, soon()).await.unwrap();
    store
        .delete(&Span::Key("w/1".into()), soon())
        .await
        .unwrap();
    for watch in [&mut watch, &mut newer] {
        let events = watch.next(soon()).await.unwrap();
        assert_eq!((events.len(), &events[0].change), (1, &Change::Delete));
        assert_eq!(watch.next_revision(), events[0].revision.next());
    }
    let idle = newer.next(Deadline::after_ms(50)).await;
    assert_eq!(idle, Err(Error::WatchSilent));
    let counted = standin.counters();
    assert_eq!((counted.watch, counted.put, counted.range), (2, 3, 1));
    let sent: Vec<u64> = store.counters().map(|(_, calls)| calls).to_vec();
    assert_eq!(
        sent,
        [1, 3, 1, 0, 0, 0, 0, 2],
        "in the order of {:?}",
        Kind::ALL
    );
}
