//! In-memory model of the store.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Keys of the test; few, so that steps meet.
const KEYS: [&str; 4] = ["a/1", "a/2", "b/1", "b/2"];

/// Step of the test. Leases are named by the order of their creation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Key, value and lease.
    Put(&'static str, u8, Option<usize>),
    /// Prefix.
    Delete(&'static str),
    /// Comparison on the first key, which is written; the second key is deleted.
    Txn(Compare, &'static str, &'static str, u8),
    Grant,
    KeepAlive(usize),
    Revoke(usize),
    /// All leases lapse while their holders are paused.
    Lapse,
    /// Opens a watch of a prefix that starts some revisions ago.
    Watch(&'static str, i64),
    /// All connections are closed, and the watches are opened again.
    Break,
    /// The answer of the next put, delete or transaction is lost.
    LoseAnswer,
}

/// Comparison on the key that the transaction writes.
#[derive(Clone, Copy, Debug)]
pub enum Compare {
    Absent,
    Newest,
    Outdated,
    Equal(u8),
}

/// Expected result of the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    #[default]
    Done,
    Deleted(u64),
    Txn(bool),
    LeaseGone,
    Refused,
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub value: u8,
    pub created: i64,
    pub modified: i64,
    pub version: i64,
    pub lease: Option<usize>,
}

/// Change of a key; `None` for a delete.
pub type Change = (i64, String, Option<Held>);

#[derive(Clone, Debug)]
pub struct Oracle {
    pub revision: i64,
    pub keys: BTreeMap<String, Held>,
    /// Whether each lease is alive.
    pub leases: Vec<bool>,
    pub changes: Vec<Change>,
    pub outcome: Outcome,
    /// Revision that the compared key had before the last step.
    pub compared: i64,
    losing: bool,
}

impl Oracle {
    fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: Vec::new(),
            changes: Vec::new(),
            outcome: Outcome::Done,
            compared: 0,
            losing: false,
        }
    }

    /// Changes that a watch of a prefix reports from a revision on.
    pub fn changes_from(&self, prefix: &str, from: i64) -> Vec<Change> {
        let wanted = |c: &&Change| c.0 >= from && c.1.starts_with(prefix);
        self.changes.iter().filter(wanted).cloned().collect()
    }

    fn put(&mut self, key: &str, value: u8, lease: Option<usize>) {
        let held = self.keys.get(key);
        let held = Held {
            value,
            created: held.map_or(self.revision, |held| held.created),
            modified: self.revision,
            version: held.map_or(1, |held| held.version + 1),
            lease,
        };
        self.keys.insert(key.to_owned(), held.clone());
        self.changes
            .push((self.revision, key.to_owned(), Some(held)));
    }

    /// Deletes the keys that match, in a revision of their own when there are any.
    fn delete(&mut self, matches: impl Fn(&str, &Held) -> bool) -> u64 {
        let gone = self.keys.iter().filter(|(key, held)| matches(key, held));
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        self.revision += i64::from(!gone.is_empty());
        for key in &gone {
            self.keys.remove(key);
            self.changes.push((self.revision, key.clone(), None));
        }
        gone.len() as u64
    }

    fn end_lease(&mut self, number: usize) -> Outcome {
        if !self.leases[number] {
            return Outcome::LeaseGone;
        }
        self.leases[number] = false;
        self.delete(|_, held| held.lease == Some(number));
        Outcome::Done
    }

    fn holds(&self, compare: Compare, key: &str) -> bool {
        let held = self.keys.get(key);
        match compare {
            Compare::Absent => held.is_none(),
            Compare::Newest => true,
            Compare::Outdated => false,
            Compare::Equal(value) => held.is_some_and(|held| held.value == value),
        }
    }

    fn txn(&mut self, compare: Compare, put: &str, delete: &str, value: u8) -> Outcome {
        self.compared = self.keys.get(put).map_or(0, |held| held.modified);
        let succeeded = self.holds(compare, put);
        if succeeded {
            self.revision += 1;
            self.put(put, value, None);
            if self.keys.remove(delete).is_some() {
                self.changes.push((self.revision, delete.to_owned(), None));
            }
        }
        Outcome::Txn(succeeded)
    }

    fn run(&mut self, step: &Step) -> Outcome {
        match *step {
            Step::Put(_, _, Some(lease)) if !self.leases[lease] => return Outcome::Refused,
            Step::Put(key, value, lease) => {
                self.revision += 1;
                self.put(key, value, lease);
            }
            Step::Delete(prefix) => {
                return Outcome::Deleted(self.delete(|key, _| key.starts_with(prefix)));
            }
            Step::Txn(compare, put, delete, value) => return self.txn(compare, put, delete, value),
            Step::Grant => self.leases.push(true),
            Step::KeepAlive(lease) if !self.leases[lease] => return Outcome::LeaseGone,
            Step::Revoke(lease) => return self.end_lease(lease),
            Step::Lapse => {
                for lease in 0..self.leases.len() {
                    self.end_lease(lease);
                }
            }
            Step::LoseAnswer => self.losing = true,
            Step::KeepAlive(_) | Step::Watch(..) | Step::Break => {}
        }
        Outcome::Done
    }
}

fn key() -> impl Strategy<Value = &'static str> {
    prop::sample::select(KEYS.to_vec())
}

fn prefix() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a/", "b/", "a/1", ""])
}

fn compare() -> impl Strategy<Value = Compare> {
    prop_oneof![
        Just(Compare::Absent),
        Just(Compare::Newest),
        Just(Compare::Outdated),
        (0..3u8).prop_map(Compare::Equal),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::new()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let lease = 0..state.leases.len().max(1);
        let txn = (compare(), key(), key(), 0..3u8);
        prop_oneof![
            4 => (key(), 0..3u8).prop_map(|(key, value)| Step::Put(key, value, None)),
            3 => (key(), 0..3u8, lease.clone())
                .prop_map(|(key, value, lease)| Step::Put(key, value, Some(lease))),
            2 => prefix().prop_map(Step::Delete),
            4 => txn.prop_map(|(compare, put, delete, value)| Step::Txn(compare, put, delete, value)),
            2 => Just(Step::Grant),
            1 => lease.clone().prop_map(Step::KeepAlive),
            1 => lease.prop_map(Step::Revoke),
            1 => Just(Step::Lapse),
            2 => (prefix(), 0..5i64).prop_map(|(prefix, back)| Step::Watch(prefix, back)),
            1 => Just(Step::Break),
            2 => Just(Step::LoseAnswer),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::KeepAlive(lease) | Step::Revoke(lease) | Step::Put(_, _, Some(lease)) => {
                *lease < state.leases.len()
            }
            Step::Txn(_, put, delete, _) => put != delete,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.outcome = state.run(step);
        if matches!(step, Step::Put(..) | Step::Delete(_) | Step::Txn(..)) && state.losing {
            state.losing = false;
            state.outcome = Outcome::Lost;
        }
        state
    }
}
