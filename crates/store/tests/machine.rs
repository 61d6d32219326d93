//! The client with the stand-in against an in-memory model, over random steps.

#![allow(clippy::unwrap_used)]

mod common;
mod oracle;

use std::time::Duration;

use common::{set_faults, soon, start};
use oracle::{Change, Compare, Held, Oracle, Outcome, Step};
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use standin::store::Store as Standin;
use store::{Error, Lease, Operation, Revision, Span, Store, Txn, Value, Watch};
use tokio::runtime::Runtime;
use types::Deadline;

/// Time in which a watch must not report anything more.
const QUIET_MS: u64 = 20;

/// Client, stand-in and what the watches have reported.
struct System {
    runtime: Runtime,
    standin: Standin,
    store: Store,
    leases: Vec<Lease>,
    watches: Vec<Reported>,
}

struct Reported {
    prefix: &'static str,
    from: i64,
    watch: Watch,
    changes: Vec<Change>,
}

impl System {
    fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let (standin, store) = runtime.block_on(start());
        Self {
            runtime,
            standin,
            store,
            leases: Vec::new(),
            watches: Vec::new(),
        }
    }

    fn held(&self, value: &Value) -> Held {
        let number = |lease| self.leases.iter().position(|held| *held == lease);
        Held {
            value: value.bytes[0],
            created: value.create_revision.get(),
            modified: value.mod_revision.get(),
            version: value.version,
            lease: value.lease.map(|lease| number(lease).unwrap()),
        }
    }

    async fn open(&self, prefix: &str, from: i64) -> Watch {
        let span = Span::Prefix(prefix.to_owned());
        self.store
            .watch(&span, Revision::new(from), soon())
            .await
            .unwrap()
    }

    /// Runs a step; returns what the client reported.
    async fn run(&mut self, step: Step, oracle: &Oracle) -> Result<Outcome, Error> {
        let store = self.store.clone();
        let lost = u8::from(oracle.outcome == Outcome::Lost);
        set_faults(&self.standin, &format!(r#""lose_answers": {lost}"#)).await;
        match step {
            Step::Put(key, value, lease) => {
                let lease = lease.map(|lease| self.leases[lease]);
                store.put(key, vec![value], lease, soon()).await?;
            }
            Step::Delete(prefix) => {
                let span = Span::Prefix(prefix.to_owned());
                return store.delete(&span, soon()).await.map(Outcome::Deleted);
            }
            Step::Txn(compare, put, delete, value) => {
                let (key, bytes, lease) = (put.into(), vec![value], None);
                let txn = txn(compare, put, oracle.compared)
                    .with_then(Operation::Put { key, bytes, lease })
                    .with_then(Operation::Delete(delete.into()));
                let reply = store.txn(txn, soon()).await?;
                return Ok(Outcome::Txn(reply.succeeded));
            }
            Step::Grant => self
                .leases
                .push(store.grant(Duration::from_hours(1), soon()).await?),
            Step::KeepAlive(lease) => drop(store.keep_alive(self.leases[lease], soon()).await?),
            Step::Revoke(lease) => store.revoke(self.leases[lease], soon()).await?,
            Step::Lapse => set_faults(&self.standin, r#""lapse_leases": true"#).await,
            Step::Watch(prefix, back) => {
                let from = (oracle.revision - back).max(2);
                let (watch, changes) = (self.open(prefix, from).await, Vec::new());
                self.watches.push(Reported {
                    prefix,
                    from,
                    watch,
                    changes,
                });
            }
            Step::Break => self.break_connections().await,
            Step::LoseAnswer => {}
        }
        Ok(Outcome::Done)
    }

    async fn break_connections(&mut self) {
        set_faults(&self.standin, r#""outage": "REFUSE""#).await;
        set_faults(&self.standin, "").await;
        for index in 0..self.watches.len() {
            let reported = &mut self.watches[index];
            let error = reported.watch.next(soon()).await.unwrap_err();
            assert!(matches!(error, Error::WatchEnded(_)), "{error}");
            let (prefix, next) = (reported.prefix, reported.watch.next_revision().get());
            self.watches[index].watch = self.open(prefix, next).await;
        }
    }

    /// Compares the keys and the reports of the watches with the model.
    async fn check(&mut self, oracle: &Oracle) {
        let all = Span::Prefix(String::new());
        let listing = self.store.range(&all, soon()).await.unwrap();
        assert_eq!(listing.revision.get(), oracle.revision);
        let held = listing
            .entries
            .iter()
            .map(|(key, value)| (key.clone(), self.held(value)));
        assert_eq!(
            held.collect::<std::collections::BTreeMap<_, _>>(),
            oracle.keys
        );
        let mut watches = std::mem::take(&mut self.watches);
        for reported in &mut watches {
            let expected = oracle.changes_from(reported.prefix, reported.from);
            while reported.changes.len() < expected.len() {
                self.receive(reported, soon()).await.unwrap();
            }
            assert_eq!(reported.changes, expected);
        }
        self.watches = watches;
    }

    async fn receive(&self, reported: &mut Reported, deadline: Deadline) -> Result<(), Error> {
        for event in reported.watch.next(deadline).await? {
            let held = match &event.change {
                store::Change::Put(value) => Some(self.held(value)),
                store::Change::Delete => None,
            };
            reported
                .changes
                .push((event.revision.get(), event.key, held));
        }
        Ok(())
    }
}

fn txn(compare: Compare, key: &str, modified: i64) -> Txn {
    let key = key.to_owned();
    Txn::new().with_compare(match compare {
        Compare::Absent => store::Compare::Absent(key),
        Compare::Newest => store::Compare::Unchanged(key, Revision::new(modified)),
        Compare::Outdated => store::Compare::Unchanged(key, Revision::new(modified + 1)),
        Compare::Equal(value) => store::Compare::Equal(key, vec![value]),
    })
}

/// Outcome in the words of the model.
fn classify(result: Result<Outcome, Error>) -> Outcome {
    match result {
        Ok(outcome) => outcome,
        Err(Error::AnswerLost(_)) => Outcome::Lost,
        Err(Error::LeaseLapsed) => Outcome::LeaseGone,
        Err(Error::Refused { status: 404, .. }) => Outcome::Refused,
        Err(error) => panic!("{error}"),
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::new()
    }

    fn apply(mut system: Self, oracle: &Oracle, step: Step) -> Self {
        let runtime = system.runtime.handle().clone();
        runtime.block_on(async {
            let name = format!("{step:?}");
            let outcome = classify(system.run(step, oracle).await);
            assert_eq!(outcome, oracle.outcome, "{name}");
            system.check(oracle).await;
        });
        system
    }

    fn teardown(mut system: Self, _: <Oracle as ReferenceStateMachine>::State) {
        let runtime = system.runtime.handle().clone();
        runtime.block_on(async {
            for reported in &mut system.watches {
                let more = reported.watch.next(Deadline::after_ms(QUIET_MS)).await;
                assert_eq!(more, Err(Error::WatchSilent), "a change is reported twice");
            }
        });
        system.runtime.shutdown_background();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 48,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    })]

    /// Guards against a write that takes effect twice or not at all, a stale or foreign value, a key
    /// that outlives its lease, and a watch that loses, repeats or reorders a change, also across lost
    /// answers and broken connections.
    #[test]
    fn client_and_store_follow_the_model(sequential 1..40 => System);
}
