use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use types::{Fault, Outcome, Timestamp, Version, id};

/// Failures kept for each owner.
const FAILURE_LIMIT: usize = 1024;

/// Owners that accounts are kept for. Callers name owners in a header, so the number must be bounded.
const OWNER_LIMIT: usize = 4096;

/// A failed call in an owner's account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When the call failed.
    pub time: Timestamp,
    /// Identity of the call.
    pub request: id::Request,
    /// Route, when one matched.
    pub route: Option<id::Route>,
    /// Service, when a route matched.
    pub service: Option<id::Service>,
    /// What is known about the run.
    pub outcome: Outcome,
    /// Party at fault.
    pub fault: Fault,
    /// Why the call failed.
    pub reason: String,
    /// Configuration version that the call used.
    pub version: Version,
}

/// Calls of one owner, counted by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that ended in any way.
    pub calls: u64,
    /// Failed calls that were not run.
    pub not_run: u64,
    /// Failed calls that ran.
    pub ran: u64,
    /// Failed calls that may have run.
    pub unknown: u64,
    /// Calls that the caller gave up before their end.
    pub cancelled: u64,
    /// Failures by fault of the caller.
    pub caller: u64,
    /// Failures by fault of a service.
    pub service: u64,
    /// Failures by fault of the mesh.
    pub mesh: u64,
}

/// Account of one owner at one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Counters since the node started.
    pub counters: Counters,
    /// The last 1,024 failures, oldest first.
    pub failures: VecDeque<Entry>,
}

/// Accounts of all owners at this node.
#[derive(Debug, Default)]
pub struct Accounts(Mutex<HashMap<id::Owner, Account>>);

impl Accounts {
    /// Creates accounts without any owner.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call that ended well.
    pub fn success(&self, owner: &id::Owner) {
        with_account(&mut self.lock(), owner, |account| {
            account.counters.calls += 1;
        });
    }

    /// Counts a call that the caller gave up.
    pub fn cancelled(&self, owner: &id::Owner) {
        with_account(&mut self.lock(), owner, |account| {
            account.counters.calls += 1;
            account.counters.cancelled += 1;
        });
    }

    /// Records a failed call.
    pub fn record(&self, owner: &id::Owner, entry: Entry) {
        with_account(&mut self.lock(), owner, |account| {
            account.counters.count(&entry);
            if account.failures.len() == FAILURE_LIMIT {
                account.failures.pop_front();
            }
            account.failures.push_back(entry);
        });
    }

    /// Copy of an owner's account; empty when nothing was recorded.
    #[must_use]
    pub fn read(&self, owner: &id::Owner) -> Account {
        self.lock().get(owner).cloned().unwrap_or_default()
    }

    /// Owners with an account, in order.
    #[must_use]
    pub fn owners(&self) -> Vec<id::Owner> {
        let mut owners: Vec<_> = self.lock().keys().cloned().collect();
        owners.sort();
        owners
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Owner, Account>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Changes the account of `owner`, which is created when there is room for one more.
fn with_account<F>(accounts: &mut HashMap<id::Owner, Account>, owner: &id::Owner, change: F)
where
    F: FnOnce(&mut Account),
{
    if let Some(account) = accounts.get_mut(owner) {
        change(account);
    } else if accounts.len() < OWNER_LIMIT {
        change(accounts.entry(owner.clone()).or_default());
    }
}

impl Counters {
    fn count(&mut self, entry: &Entry) {
        self.calls += 1;
        match entry.outcome {
            Outcome::NotRun => self.not_run += 1,
            Outcome::Ran => self.ran += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        match entry.fault {
            Fault::None => {}
            Fault::Caller => self.caller += 1,
            Fault::Service(_) => self.service += 1,
            Fault::Mesh => self.mesh += 1,
        }
    }
}
