//! Stand-in for the key-value store, with the HTTP/JSON gateway of etcd v3.

mod data;
mod fault;
mod gateway;
mod kind;
mod refusal;
mod span;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use schema::standin::{Counters, Faults, Outage};
use tokio::sync::{Notify, watch as channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::server::{Gate, Limits, Server};

use data::Data;

/// What the requests share.
pub(crate) struct Shared {
    inner: Mutex<Inner>,
    /// Newest revision, for waiting watches.
    revision: channel::Sender<i64>,
    /// Wakes the task that ends leases after a lease was granted.
    leases: Notify,
}

pub(crate) struct Inner {
    data: Data,
    faults: fault::State,
    counters: Counters,
}

impl Shared {
    fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                data: Data::new(),
                faults: fault::State::default(),
                counters: Counters::default(),
            }),
            revision: channel::Sender::new(1),
            leases: Notify::new(),
        }
    }

    /// Locks the state. It stays whole when a holder panics, since each change is one step.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `change` on the data after ending lapsed leases, and wakes the watches.
    fn change<C, T>(&self, change: C) -> T
    where
        C: FnOnce(&mut Data, Instant) -> T,
    {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.data.expire(now);
        let result = change(&mut inner.data, now);
        let revision = inner.data.revision();
        drop(inner);
        self.revision.send_if_modified(|newest| {
            let grows = revision > *newest;
            *newest = revision.max(*newest);
            grows
        });
        result
    }
}

/// Ends leases when their time has passed.
async fn run_leases(shared: Arc<Shared>) {
    loop {
        let next = shared.lock().data.next_expiry();
        match next {
            Some(expiry) => tokio::select! {
                () = sleep_until(expiry) => shared.change(|_, _| ()),
                () = shared.leases.notified() => {}
            },
            None => shared.leases.notified().await,
        }
    }
}

/// Running stand-in store. Dropping it stops it.
///
/// The control endpoints `POST /control` and `GET /counters` are served on both addresses; only the
/// control address answers during an outage.
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
    leases: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store on two addresses; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when an address cannot be listened on.
    pub async fn start(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::new());
        let state = Arc::clone(&shared);
        let server = Server::start(listen, Limits::default(), |gate| {
            move |connection, request| {
                gateway::answer(Arc::clone(&state), Arc::clone(&gate), connection, request)
            }
        })
        .await?;
        let state = Arc::clone(&shared);
        let gate = Arc::clone(server.gate());
        let control = Server::start(control, Limits::default(), |_| {
            move |_, request| gateway::control(Arc::clone(&state), Arc::clone(&gate), request)
        })
        .await?;
        let leases = tokio::spawn(run_leases(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            control,
            leases,
        })
    }

    /// Starts an empty store on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when no port is free.
    pub async fn start_local() -> io::Result<Self> {
        Self::start(crate::LOOPBACK, crate::LOOPBACK).await
    }

    /// Address of the gateway.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Address of the control endpoints.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Replaces the faults in force. The listening socket follows an outage a moment later.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.shared, self.server.gate(), faults);
    }

    /// Replaces the faults in force; returns when the listening socket has followed.
    pub async fn apply_faults(&self, faults: Faults) {
        self.set_faults(faults);
        self.server.gate().wait_settled().await;
    }

    /// Calls that arrived so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Stops the store; its content is lost.
    pub async fn close(mut self) {
        self.server.stop().await;
        self.control.stop().await;
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.leases.abort();
    }
}

/// Puts faults in force.
fn set_faults(shared: &Shared, gate: &Gate, faults: Faults) {
    let outage = faults.outage();
    if faults.silence_connections {
        gate.silence();
    }
    if faults.compact_before > 0 {
        let before = i64::from(faults.compact_before);
        shared.change(|data, _| data.compact(before - 1));
    }
    if faults.lapse_leases {
        shared.change(|data, _| data.lapse());
    }
    shared.lock().faults.set(faults);
    gate.hang(outage == Outage::Hang);
    gate.refuse(outage == Outage::Refuse);
}
