//! In-memory model of the store.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Keys of the test; few, so that steps meet.
const KEYS: [&str; 4] = ["a/1", "a/2", "b/1", "b/2"];

/// Step of the test. Leases are named by the order of their creation.
#[derive(Clone, Debug)]
pub enum Step {
    Put {
        key: &'static str,
        value: u8,
        lease: Option<usize>,
        lost: bool,
    },
    Delete {
        prefix: &'static str,
        lost: bool,
    },
    Txn {
        compare: Compare,
        put: &'static str,
        delete: &'static str,
        value: u8,
        lost: bool,
    },
    Grant,
    KeepAlive(usize),
    Revoke(usize),
    /// All leases lapse while their holders are paused.
    Lapse,
    /// Opens a watch that starts some revisions ago.
    Watch {
        prefix: &'static str,
        back: i64,
    },
    /// All connections are closed, and the watches are opened again.
    Break,
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
            Step::Put {
                lease: Some(lease), ..
            } if !self.leases[lease] => Outcome::Refused,
            Step::Put {
                key, value, lease, ..
            } => {
                self.revision += 1;
                self.put(key, value, lease);
                Outcome::Done
            }
            Step::Delete { prefix, .. } => {
                Outcome::Deleted(self.delete(|key, _| key.starts_with(prefix)))
            }
            Step::Txn {
                compare,
                put,
                delete,
                value,
                ..
            } => self.txn(compare, put, delete, value),
            Step::Grant => {
                self.leases.push(true);
                Outcome::Done
            }
            Step::KeepAlive(lease) if self.leases[lease] => Outcome::Done,
            Step::KeepAlive(_) => Outcome::LeaseGone,
            Step::Revoke(lease) => self.end_lease(lease),
            Step::Lapse => {
                for lease in 0..self.leases.len() {
                    self.end_lease(lease);
                }
                Outcome::Done
            }
            Step::Watch { .. } | Step::Break => Outcome::Done,
        }
    }
}

fn loses(step: &Step) -> bool {
    matches!(
        step,
        Step::Put { lost: true, .. }
            | Step::Delete { lost: true, .. }
            | Step::Txn { lost: true, .. }
    )
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

fn lost() -> impl Strategy<Value = bool> {
    prop::bool::weighted(0.2)
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::new()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let count = state.leases.len();
        let lease = prop::option::of(0..count.max(1))
            .prop_map(move |lease| lease.filter(|lease| *lease < count));
        let named = 0..count.max(1);
        prop_oneof![
            6 => (key(), 0..3u8, lease, lost())
                .prop_map(|(key, value, lease, lost)| Step::Put { key, value, lease, lost }),
            2 => (prefix(), lost()).prop_map(|(prefix, lost)| Step::Delete { prefix, lost }),
            4 => (compare(), key(), key(), 0..3u8, lost()).prop_map(|(compare, put, delete, value, lost)| {
                Step::Txn { compare, put, delete, value, lost }
            }),
            2 => Just(Step::Grant),
            1 => named.clone().prop_map(Step::KeepAlive),
            1 => named.prop_map(Step::Revoke),
            1 => Just(Step::Lapse),
            2 => (prefix(), 0..5i64).prop_map(|(prefix, back)| Step::Watch { prefix, back }),
            1 => Just(Step::Break),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::KeepAlive(lease) | Step::Revoke(lease) => *lease < state.leases.len(),
            Step::Put { lease, .. } => lease.is_none_or(|lease| lease < state.leases.len()),
            Step::Txn { put, delete, .. } => put != delete,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let outcome = state.run(step);
        state.outcome = if loses(step) { Outcome::Lost } else { outcome };
        state
    }
}
