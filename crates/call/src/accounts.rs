use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use types::{Fault, Outcome, Timestamp, Version, id};

/// Failures kept for each owner; the oldest one is dropped first.
const MAX_FAILURES_PER_OWNER: usize = 1024;

/// Owners that have an account. Callers name owners in a header, so the number must be bounded.
const MAX_OWNERS: usize = 4096;

/// Failures kept for all owners together, about 4 MB. Beyond this, the owner with the most failures
/// loses its oldest one.
const MAX_FAILURES: usize = 16 * MAX_FAILURES_PER_OWNER;

/// Failed call in an owner's account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedCall {
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

/// Calls of one owner, counted by outcome and fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// All calls that ended, cancelled ones included.
    pub calls: u64,
    /// Failed calls that were not run.
    pub not_run: u64,
    /// Failed calls that ran.
    pub ran: u64,
    /// Failed calls that may have run.
    pub unknown: u64,
    /// Calls that the caller cancelled before their end.
    pub cancelled: u64,
    /// Failures caused by the caller.
    pub caller: u64,
    /// Failures caused by a service.
    pub service: u64,
    /// Failures caused by the mesh.
    pub mesh: u64,
}

/// Account of one owner at one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Counters since the node started.
    pub counters: Counters,
    /// The last 1,024 failures, oldest first.
    pub failures: VecDeque<FailedCall>,
}

/// Accounts of all owners at this node.
#[derive(Debug, Default)]
pub struct Accounts(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    accounts: HashMap<id::Owner, Account>,
    /// Number of failures in all accounts.
    total: usize,
}

impl Accounts {
    /// Creates accounts without any owner.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call that succeeded.
    pub fn record_success(&self, owner: &id::Owner) {
        if let Some(account) = self.lock().get_or_create(owner) {
            account.counters.calls += 1;
        }
    }

    /// Counts a call that the caller cancelled.
    pub fn record_cancellation(&self, owner: &id::Owner) {
        if let Some(account) = self.lock().get_or_create(owner) {
            account.counters.calls += 1;
            account.counters.cancelled += 1;
        }
    }

    /// Records a failed call.
    pub fn record_failure(&self, owner: &id::Owner, entry: FailedCall) {
        self.lock().record(owner, entry);
    }

    /// Returns a copy of an owner's account, which is empty when nothing was recorded.
    #[must_use]
    pub fn account(&self, owner: &id::Owner) -> Account {
        self.lock().accounts.get(owner).cloned().unwrap_or_default()
    }

    /// Returns the owners that have an account, sorted by name.
    #[must_use]
    pub fn owners(&self) -> Vec<id::Owner> {
        let mut owners: Vec<_> = self.lock().accounts.keys().cloned().collect();
        owners.sort();
        owners
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the account of `owner`, creating it unless [`MAX_OWNERS`] accounts exist.
    fn get_or_create(&mut self, owner: &id::Owner) -> Option<&mut Account> {
        if !self.accounts.contains_key(owner) && self.accounts.len() >= MAX_OWNERS {
            return None;
        }
        Some(self.accounts.entry(owner.clone()).or_default())
    }

    fn record(&mut self, owner: &id::Owner, entry: FailedCall) {
        let Some(account) = self.get_or_create(owner) else {
            return;
        };
        account.counters.count(&entry);
        account.failures.push_back(entry);
        let full = account.failures.len() > MAX_FAILURES_PER_OWNER;
        self.total += 1;
        let longest = if full {
            self.accounts.get_mut(owner)
        } else if self.total > MAX_FAILURES {
            let accounts = self.accounts.values_mut();
            accounts.max_by_key(|account| account.failures.len())
        } else {
            None
        };
        if let Some(account) = longest {
            account.failures.pop_front();
            self.total -= 1;
        }
    }
}

impl Counters {
    fn count(&mut self, entry: &FailedCall) {
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
