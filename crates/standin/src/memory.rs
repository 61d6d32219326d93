//! Store in memory behind the closures of the [`directory`] crate, with the faults of a platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use directory::{
    Backend, Change, Error, Health, Item, Lease, LeaseId, ListRequest, Listing, Revision,
    WatchRequest,
};
use futures::FutureExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time after which a call that gets no answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Copy of a [`Memory`] at one time.
pub struct Backup {
    items: BTreeMap<String, (u64, Bytes, u64)>,
    leases: BTreeSet<u64>,
    revision: u64,
}

/// Store in memory. Clones share one state.
#[derive(Clone, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    /// Rises with each restore.
    era: u64,
    items: BTreeMap<String, (u64, Bytes, u64)>,
    history: Vec<(u64, Change)>,
    compacted: u64,
    leases: BTreeSet<u64>,
    next_lease: u64,
    down: bool,
    silent: bool,
    /// Watches that began before this one wait without an answer.
    deaf: usize,
    /// Puts that are done and not answered.
    lost: usize,
    calls: BTreeMap<&'static str, usize>,
}

impl Memory {
    /// The store as a node uses it that may be cut off: while the flag is set, its reads get no
    /// answer.
    #[must_use]
    pub fn backend_with_cut(&self, cut: watch::Receiver<bool>) -> Arc<Backend> {
        let backend = self.backend();
        let Some(mut backend) = Arc::into_inner(backend) else {
            unreachable!("the backend was just created");
        };
        let (list, watch, check) = (backend.list, backend.watch, backend.check);
        let (list_cut, check_cut) = (cut.clone(), cut.clone());
        backend.list = Box::new(move |request| cut_off(list(request), list_cut.clone()).boxed());
        backend.check = Box::new(move |asked| cut_off(check(asked), check_cut.clone()).boxed());
        backend.watch = Box::new(move |request| cut_off(watch(request), cut.clone()).boxed());
        Arc::new(backend)
    }

    /// The store as nodes use it.
    #[must_use]
    pub fn backend(&self) -> Arc<Backend> {
        let (list, watch, grant) = (self.clone(), self.clone(), self.clone());
        let (renew, put, check) = (self.clone(), self.clone(), self.clone());
        Arc::new(Backend {
            health: Health::default(),
            list: Box::new(move |request| {
                let store = list.clone();
                let call = async move { store.list(&request) };
                list.clone().answer(CALL_TIMEOUT, call).boxed()
            }),
            watch: Box::new(move |request| {
                let (store, timeout) = (watch.clone(), request.wait + CALL_TIMEOUT);
                let call = async move { store.watch(&request).await };
                watch.clone().answer(timeout, call).boxed()
            }),
            check: Box::new(move |(key, revision)| {
                let store = check.clone();
                let call = async move { store.check(&key, revision) };
                check.clone().answer(CALL_TIMEOUT, call).boxed()
            }),
            grant: Box::new(move |ttl| {
                let store = grant.clone();
                let call = async move { store.grant(ttl) };
                grant.clone().answer(CALL_TIMEOUT, call).boxed()
            }),
            renew: Box::new(move |lease| {
                let store = renew.clone();
                let call = async move { store.renew(lease) };
                renew.clone().answer(CALL_TIMEOUT, call).boxed()
            }),
            put: Box::new(move |(item, lease, held)| {
                let store = put.clone();
                let call = async move { store.write(item, lease, held) };
                put.clone().answer(CALL_TIMEOUT, call).boxed()
            }),
        })
    }

    /// Makes a call. It gets no answer and times out when it is made, or its answer is due, while the
    /// store is silent.
    async fn answer<T, F>(self, timeout: Duration, call: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let times_out_at = Instant::now() + timeout;
        if !self.lock().silent {
            let result = call.await;
            if !self.lock().silent {
                return result;
            }
        }
        sleep_until(times_out_at).await;
        Err(Error::Unavailable("timed out".to_owned()))
    }

    /// Writes a key as somebody else.
    pub fn set(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        self.apply(&mut state, key, Some(Bytes::copy_from_slice(value)), 0);
    }

    /// Writes a key as somebody else under a lease, which may have expired.
    pub fn set_under_lease(&self, key: &str, value: &[u8], lease: u64) {
        let mut state = self.lock();
        self.apply(&mut state, key, Some(Bytes::copy_from_slice(value)), lease);
    }

    /// Ends all leases, as the store does when it was away for long.
    pub fn revoke_all(&self) {
        let mut state = self.lock();
        state.leases.clear();
        let leased: Vec<String> = state
            .items
            .iter()
            .filter(|(_, (.., lease))| *lease > 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in leased {
            self.apply(&mut state, &key, None, 0);
        }
    }

    /// Forgets what has changed so far.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted = *self.revision.borrow();
    }

    /// Copies the items and the leases.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        let state = self.lock();
        Backup {
            items: state.items.clone(),
            leases: state.leases.clone(),
            revision: *self.revision.borrow(),
        }
    }

    /// Goes back to a copy. What was written since is lost, and its revisions are given out again.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.lock();
        state.era += 1;
        state.items = backup.items;
        state.leases = backup.leases;
        state.history.retain(|(at, _)| *at <= backup.revision);
        self.revision.send_replace(backup.revision);
    }

    /// Refuses all calls, or serves them again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Leaves the calls without an answer that are made, or whose answers are due, while this is set.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Lets the watches that wait now never answer, as after an outage in which their connections stayed
    /// open.
    pub fn deafen_watches(&self) {
        let mut state = self.lock();
        state.deaf = state.calls.get("watch").copied().unwrap_or_default();
    }

    /// Does the next writes and does not answer them.
    pub fn lose_puts(&self, count: usize) {
        self.lock().lost = count;
    }

    /// Value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let state = self.lock();
        state.items.get(key).map(|(_, value, _)| value.clone())
    }

    /// Calls of a kind so far.
    #[must_use]
    pub fn calls(&self, kind: &str) -> usize {
        let state = self.lock();
        state.calls.get(kind).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn called(&self, kind: &'static str) -> Result<MutexGuard<'_, State>, Error> {
        let mut state = self.lock();
        *state.calls.entry(kind).or_default() += 1;
        if state.down {
            return Err(Error::Unavailable("down".to_owned()));
        }
        Ok(state)
    }

    fn list(&self, request: &ListRequest) -> Result<Listing, Error> {
        let kind = if request.allow_stale {
            "stale list"
        } else {
            "list"
        };
        let state = self.called(kind)?;
        let era = state.era;
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&request.prefix))
            .map(|(key, (revision, value, lease))| Item {
                key: key.clone(),
                value: value.clone(),
                revision: Revision::new(era, *revision),
                lease: (*lease > 0).then_some(LeaseId(*lease)),
            });
        Ok(Listing {
            items: items.collect(),
            revision: Revision::new(era, *self.revision.borrow()),
        })
    }

    async fn watch(&self, request: &WatchRequest) -> Result<(Vec<Change>, Revision), Error> {
        let (prefix, after) = (request.prefix.as_str(), request.after.number());
        let mut revisions = self.revision.subscribe();
        let number = {
            let state = self.called("watch")?;
            state.calls.get("watch").copied().unwrap_or_default()
        };
        let until = Instant::now() + request.wait;
        loop {
            {
                let state = self.lock();
                if state.down && number > state.deaf {
                    return Err(Error::Unavailable("cut".to_owned()));
                }
                let is_unknown =
                    request.after.era() != state.era || after > *self.revision.borrow();
                if after < state.compacted || is_unknown {
                    return Err(Error::Compacted);
                }
                let new = state.history.iter().filter(|(at, change)| {
                    let key = match change {
                        Change::Put(item) => &item.key,
                        Change::Removed(key) => key,
                    };
                    *at > after && key.starts_with(prefix)
                });
                let changes: Vec<_> = new.map(|(_, change)| change.clone()).collect();
                if !changes.is_empty() && number > state.deaf {
                    let revision = *revisions.borrow_and_update();
                    return Ok((changes, Revision::new(state.era, revision)));
                }
            }
            if tokio::time::timeout_at(until, revisions.changed())
                .await
                .is_err()
            {
                return Ok((Vec::new(), request.after));
            }
        }
    }

    fn check(&self, key: &str, revision: Revision) -> Result<bool, Error> {
        let state = self.called("check")?;
        let current = state.items.get(key).map_or(0, |(at, ..)| *at);
        Ok(Revision::new(state.era, current) == revision)
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let mut state = self.called("grant")?;
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id);
        Ok(Lease {
            id: LeaseId(id),
            ttl,
        })
    }

    fn renew(&self, lease: LeaseId) -> Result<(), Error> {
        let lives = self.called("renew")?.leases.contains(&lease.0);
        lives.then_some(()).ok_or(Error::LeaseExpired)
    }

    fn write(&self, item: Item, lease: LeaseId, held: Revision) -> Result<Revision, Error> {
        let mut state = self.called("put")?;
        if lease != LeaseId::NONE && !state.leases.contains(&lease.0) {
            return Err(Error::LeaseExpired);
        }
        let current = state.items.get(&item.key).map_or(0, |(at, ..)| *at);
        let is_later = held.number() > 0 && held.era() != state.era;
        if current != held.number() || is_later {
            let era = state.era;
            return Err(Error::Conflict(Revision::new(era, current)));
        }
        let revision = self.apply(&mut state, &item.key, Some(item.value), lease.0);
        if state.lost > 0 {
            state.lost -= 1;
            return Err(Error::Unavailable("answer lost".to_owned()));
        }
        Ok(Revision::new(state.era, revision))
    }

    fn apply(&self, state: &mut State, key: &str, value: Option<Bytes>, lease: u64) -> u64 {
        let revision = *self.revision.borrow() + 1;
        let change = if let Some(value) = value {
            state
                .items
                .insert(key.to_owned(), (revision, value.clone(), lease));
            Change::Put(Item {
                key: key.to_owned(),
                value,
                revision: Revision::new(state.era, revision),
                lease: (lease > 0).then_some(LeaseId(lease)),
            })
        } else {
            state.items.remove(key);
            Change::Removed(key.to_owned())
        };
        state.history.push((revision, change));
        self.revision.send_replace(revision);
        revision
    }
}

/// Delivers the answer of a call unless the connection is cut at any time until then. The call then
/// times out.
async fn cut_off<T, F>(call: F, mut cut: watch::Receiver<bool>) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let is_cut = async move {
        // An error means that the connection will not be cut any more.
        if cut.wait_for(|cut| *cut).await.is_err() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        () = is_cut => Err(Error::Unavailable("timed out".to_owned())),
        result = call => result,
    }
}
