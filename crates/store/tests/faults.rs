//! Every operation of the client under every fault of the store.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{client, set_faults, soon, start};
use futures::future::join_all;
use standin::store::Store as Standin;
use store::{Compare, Error, Kind, Lease, Operation, Revision, Span, Store, Txn};
use tokio::time::timeout;
use types::Deadline;

/// Longest time for a call, as in the design.
const LIMIT_MS: u64 = 2000;

/// Time after which a call has outlived its deadline, even on a busy machine.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(20);

/// Store with `k` changed twice and the key `leased` on a lease.
struct Fixture {
    standin: Standin,
    store: Store,
    lease: Lease,
    revision: Revision,
}

impl Fixture {
    async fn new() -> Self {
        let (standin, store) = start().await;
        store.put("k", b"old".into(), None, soon()).await.unwrap();
        store.put("k", b"new".into(), None, soon()).await.unwrap();
        let lease = store.grant(Duration::from_mins(10), soon()).await.unwrap();
        let put = store.put("leased", vec![], Some(lease), soon());
        let revision = put.await.unwrap();
        Self {
            standin,
            store,
            lease,
            revision,
        }
    }

    /// Runs one operation of a kind; returns the value for a read of `k`.
    async fn run(&self, kind: Kind, deadline: Deadline) -> Result<Option<Vec<u8>>, Error> {
        let (store, k) = (&self.store, || Span::Key("k".into()));
        match kind {
            Kind::Range => return Ok(store.get("k", deadline).await?.map(|value| value.bytes)),
            Kind::Put => drop(store.put("k", vec![], None, deadline).await?),
            Kind::Delete => drop(store.delete(&k(), deadline).await?),
            Kind::Txn => drop(
                store
                    .txn(
                        Txn::new().with_then(Operation::Delete("k".into())),
                        deadline,
                    )
                    .await?,
            ),
            Kind::Grant => drop(store.grant(Duration::from_mins(10), deadline).await?),
            Kind::KeepAlive => drop(store.keep_alive(self.lease, deadline).await?),
            Kind::Revoke => store.revoke(self.lease, deadline).await?,
            Kind::Watch => drop(store.watch(&k(), Revision::NONE, deadline).await?),
        }
        Ok(None)
    }

    /// Number of changes since the start.
    async fn changes(&self) -> i64 {
        let fresh = client([&self.standin]);
        let listing = fresh.range(&Span::Key("k".into()), soon()).await.unwrap();
        listing.revision.get() - self.revision.get()
    }

    /// Calls of a kind that reached the store.
    fn arrived(&self, kind: Kind) -> u32 {
        let counters = self.standin.counters();
        match kind {
            Kind::Range => counters.range,
            Kind::Put => counters.put,
            Kind::Delete => counters.delete_range,
            Kind::Txn => counters.txn,
            Kind::Grant => counters.grant,
            Kind::KeepAlive => counters.keep_alive,
            Kind::Revoke => counters.revoke,
            Kind::Watch => counters.watch,
        }
    }
}

/// Changes that an operation makes when it takes effect once.
fn changes_of(kind: Kind) -> i64 {
    i64::from(matches!(
        kind,
        Kind::Put | Kind::Delete | Kind::Txn | Kind::Revoke
    ))
}

/// Expected result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expect {
    Done,
    NotSent,
    Lost,
    Refused(u16),
    Ended,
}

fn classify<T>(result: &Result<T, Error>) -> Expect {
    match result {
        Ok(_) => Expect::Done,
        Err(Error::NotSent(_)) => Expect::NotSent,
        Err(Error::AnswerLost(_)) => Expect::Lost,
        Err(Error::Refused { status, .. }) => Expect::Refused(*status),
        Err(Error::WatchEnded(_)) => Expect::Ended,
        Err(other) => panic!("unexpected {other}"),
    }
}

/// Fault with the results that a read, a write and the opening of a watch must have, and whether a
/// write takes effect.
type Case = (&'static str, [Expect; 3], bool);

fn cases() -> [Case; 10] {
    use Expect::{Done, Ended, Lost, NotSent, Refused};
    [
        ("", [Done; 3], true),
        (r#""outage": "REFUSE""#, [NotSent; 3], false),
        (r#""outage": "HANG""#, [Lost; 3], false),
        (r#""lose_answers": 1"#, [Done, Lost, Done], true),
        (
            r#""lose_answers": 1, "lose_silently": true"#,
            [Done, Lost, Done],
            true,
        ),
        (r#""latency_ms": 60000"#, [Lost; 3], true),
        (r#""stale_revisions": 2"#, [Done; 3], true),
        (r#""damage_answers": true"#, [Lost, Lost, Ended], true),
        (LIMITS, [Refused(429); 3], false),
        (UNAVAILABLE, [Refused(503), Lost, Refused(503)], false),
    ]
}

/// One read and one write are within these limits.
const LIMITS: &str = r#""read_limit": 1, "write_limit": 1, "limit_window_ms": 600000"#;
const UNAVAILABLE: &str =
    r#""read_limit": 1, "write_limit": 1, "limit_window_ms": 600000, "refusal_status": 503"#;

/// Guards against an error that hides whether a write took effect, a write that is sent twice, and a
/// call that outlives its deadline or leaves the client unusable.
#[tokio::test]
async fn each_operation_tells_what_is_known() {
    for case in cases() {
        let runs = Kind::ALL.map(async |kind| check(case, kind).await);
        // Many wait for their deadline, so they run at the same time.
        join_all(runs).await;
    }
}

async fn check((faults, [read, write, watch], takes_effect): Case, kind: Kind) {
    let name = format!("{kind} under {{{faults}}}");
    let fixture = Fixture::new().await;
    let before = fixture.arrived(kind);
    set_faults(&fixture.standin, faults).await;
    if faults.contains("limit") {
        // Takes the one call of each sort that is within the limit.
        let _ = fixture.run(Kind::Range, soon()).await;
        let _ = fixture.run(Kind::KeepAlive, soon()).await;
    }
    let spent = fixture.arrived(kind) - before;
    let run = fixture.run(kind, Deadline::after_ms(LIMIT_MS));
    let result = timeout(OVERDUE_TIMEOUT, run).await;
    let result = result.unwrap_or_else(|_| panic!("{name}: outlives its deadline"));
    let (expected, writes) = match kind {
        Kind::Range => (read, false),
        Kind::Watch => (watch, false),
        _ => (write, true),
    };
    assert_eq!(classify(&result), expected, "{name}: {result:?}");
    let arrivals = fixture.arrived(kind) - before - spent;
    set_faults(&fixture.standin, "").await;
    let silent = faults.contains("outage");
    assert_eq!(
        arrivals,
        u32::from(!silent),
        "{name}: calls that reached the store"
    );
    if kind == Kind::Range && expected == Expect::Done {
        let stale = faults.contains("stale");
        let value: &[u8] = if stale { b"old" } else { b"new" };
        assert_eq!(result.unwrap().as_deref(), Some(value), "{name}");
    }
    let effect = if writes && takes_effect {
        changes_of(kind)
    } else {
        0
    };
    assert_eq!(
        fixture.changes().await,
        effect,
        "{name}: effect on the store"
    );
    let again = fixture.run(Kind::Range, soon()).await;
    assert!(
        again.is_ok(),
        "{name}: the client does not recover: {again:?}"
    );
}

/// Guards against a write that is sent to a second address after the first may have run it, and
/// against a store that is given up while another address works.
#[tokio::test]
async fn next_address_is_tried_only_when_that_is_safe() {
    for (faults, writes_move_on) in [
        (r#""outage": "REFUSE""#, true),
        (r#""outage": "HANG""#, false),
        (r#""lose_answers": 1, "break_reads": 2"#, false),
    ] {
        let case = async |kind| check_next_address(faults, writes_move_on, kind).await;
        join_all(Kind::ALL.map(case)).await;
    }
}

async fn check_next_address(faults: &str, writes_move_on: bool, kind: Kind) {
    let mut fixture = Fixture::new().await;
    let (first, _) = start().await;
    set_faults(&first, faults).await;
    fixture.store = client([&first, &fixture.standin]);
    let before = fixture.arrived(kind);
    let opens_at_first = kind == Kind::Watch && faults.contains("break_reads");
    let moves_on = writes_move_on || matches!(kind, Kind::Range | Kind::Watch);
    let result = fixture.run(kind, Deadline::after_ms(LIMIT_MS)).await;
    let expected = if moves_on { Expect::Done } else { Expect::Lost };
    assert_eq!(classify(&result), expected, "{faults}, {kind}: {result:?}");
    let sent = fixture.arrived(kind) - before;
    assert_eq!(
        sent,
        u32::from(moves_on && !opens_at_first),
        "{faults}, {kind}"
    );
    let again = fixture.run(kind, soon()).await;
    let revoked = kind == Kind::Revoke && writes_move_on;
    assert_eq!(again.is_ok(), !revoked, "{faults}, {kind}: {again:?}");
}

/// Guards against a read that fails because the store closed its connection, and against one that is
/// sent without end.
#[tokio::test]
async fn broken_read_is_sent_once_more() {
    for (breaks, expected) in [(1, Expect::Done), (2, Expect::Lost)] {
        let fixture = Fixture::new().await;
        set_faults(&fixture.standin, &format!(r#""break_reads": {breaks}"#)).await;
        let result = fixture.run(Kind::Range, soon()).await;
        assert_eq!(classify(&result), expected);
        assert_eq!(fixture.arrived(Kind::Range), 2);
    }
}

/// Guards against a pooled connection that went silent and is used again, and against a write that
/// waits on one.
#[tokio::test]
async fn silent_connection_is_not_used_again() {
    let fixture = Fixture::new().await;
    // Reads at the same time leave several connections in the pool.
    set_faults(&fixture.standin, r#""latency_ms": 300"#).await;
    join_all((0..4).map(|_| fixture.run(Kind::Range, soon()))).await;
    set_faults(&fixture.standin, r#""silence_connections": true"#).await;
    fixture.run(Kind::Put, soon()).await.unwrap();
    let silent = fixture.run(Kind::Range, Deadline::after_ms(LIMIT_MS)).await;
    assert_eq!(classify(&silent), Expect::Lost);
    fixture.run(Kind::Range, soon()).await.unwrap();
}

/// Guards against a call that is sent after its deadline.
#[tokio::test]
async fn passed_deadline_sends_nothing() {
    let fixture = Fixture::new().await;
    for kind in Kind::ALL {
        let before = fixture.arrived(kind);
        let result = fixture.run(kind, Deadline::after_ms(0)).await;
        assert_eq!(classify(&result), Expect::NotSent, "{kind}");
        assert_eq!(fixture.arrived(kind), before, "{kind}");
    }
}

/// Guards against a holder that believes in a lease which lapsed while it was paused.
#[tokio::test]
async fn lapsed_lease_is_reported_by_each_operation() {
    let fixture = Fixture::new().await;
    set_faults(&fixture.standin, r#""lapse_leases": true"#).await;
    assert_eq!(
        fixture.run(Kind::KeepAlive, soon()).await,
        Err(Error::LeaseLapsed)
    );
    assert_eq!(
        fixture.run(Kind::Revoke, soon()).await,
        Err(Error::LeaseLapsed)
    );
    let (lease, key) = (Some(fixture.lease), "leased".to_owned());
    let put = fixture.store.put(&key, vec![], lease, soon()).await;
    assert_eq!(classify(&put), Expect::Refused(404));
    let operation = Operation::Put {
        key,
        bytes: vec![],
        lease,
    };
    let txn = fixture
        .store
        .txn(Txn::new().with_then(operation), soon())
        .await;
    assert_eq!(classify(&txn), Expect::Refused(404));
    assert_eq!(fixture.store.get("leased", soon()).await, Ok(None));
}

/// Guards against a transaction that writes although a comparison does not hold.
#[tokio::test]
async fn failed_compare_changes_nothing() {
    let fixture = Fixture::new().await;
    for compare in [
        Compare::Absent("k".into()),
        Compare::Unchanged("k".into(), fixture.revision),
        Compare::Unchanged("k".into(), Revision::NONE),
        Compare::Equal("k".into(), b"old".into()),
        Compare::Equal("absent".into(), vec![]),
    ] {
        let txn = Txn::new().with_compare(compare.clone());
        let txn = txn.with_compare(Compare::Equal("k".into(), b"new".into()));
        let txn = txn.with_then(Operation::Delete("k".into()));
        let reply = fixture.store.txn(txn, soon()).await.unwrap();
        assert!(!reply.succeeded && reply.replies.is_empty(), "{compare:?}");
        assert_eq!(fixture.changes().await, 0, "{compare:?}");
    }
    let compare = Compare::Equal("k".into(), b"new".into());
    let txn = fixture.store.txn(Txn::new().with_compare(compare), soon());
    assert!(txn.await.unwrap().succeeded);
}
