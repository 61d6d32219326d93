use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError, RwLockReadGuard};
use std::time::Duration;

use bundle::Bundle;
use member::{Record, State, Table};
use schema::control::DomainSummary;
use store::Store;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use types::{Version, id, size::Slots};

use crate::shared::Shared;
use crate::{
    Config, Source, Traffic, accept, floor, gossip, liveness, parent, reader, region, source,
    standby,
};

/// Delay between sending the final record and closing the links, and time limit for the links to
/// close. It covers one batch window of gossip.
const LEAVE_DELAY: Duration = Duration::from_millis(300);

/// Time limit for the tasks to end after the links were closed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle on the tasks that distribute versions and membership. Clones share the tasks, which end
/// when the last clone is dropped.
#[derive(Clone)]
pub struct Spread {
    shared: Shared,
    tasks: Arc<Tasks>,
}

struct Tasks {
    shared: Shared,
    set: Mutex<JoinSet<()>>,
}

impl Drop for Tasks {
    fn drop(&mut self) {
        // Ends the links that peers have opened, which tasks of the caller serve.
        self.shared.closing.send_replace(true);
    }
}

impl Spread {
    /// Starts the tasks. `record` is the initial record of this node. Without a store the node gets
    /// versions from its parent only.
    ///
    /// Must be called inside a `tokio` runtime.
    #[must_use]
    pub fn start(config: Config, record: Record, store: Option<Store>) -> Self {
        let shared = Shared::new(config, record, store);
        let mut set = JoinSet::new();
        set.spawn(gossip::run(shared.clone()));
        set.spawn(reader::run(shared.clone()));
        set.spawn(parent::run(shared.clone()));
        set.spawn(standby::run(shared.clone()));
        set.spawn(region::run(shared.clone()));
        set.spawn(liveness::run(shared.clone()));
        set.spawn(floor::run(shared.clone()));
        if shared.config.source == Source::Store {
            set.spawn(read_store(shared.clone()));
        }
        let tasks = Arc::new(Tasks {
            shared: shared.clone(),
            set: Mutex::new(set),
        });
        Self { shared, tasks }
    }

    /// Bundle of the held version; the empty bundle until the first version has arrived.
    #[must_use]
    pub fn bundle(&self) -> Arc<Bundle> {
        self.shared.bundle()
    }

    /// Watches the bundle of the held version.
    #[must_use]
    pub fn watch_bundle(&self) -> watch::Receiver<Arc<Bundle>> {
        self.shared.bundles.subscribe()
    }

    /// Read access to the membership table. The guard must not be held across an await.
    pub fn table(&self) -> RwLockReadGuard<'_, Table> {
        self.shared.table()
    }

    /// Record of this node in the membership table.
    #[must_use]
    pub fn own_record(&self) -> Option<Record> {
        self.shared.own_record()
    }

    /// Whether the version floor is known and the held version is at or above it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.shared.ready.borrow()
    }

    /// Watches [`Spread::is_ready`].
    #[must_use]
    pub fn watch_ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }

    /// Version floor, the lowest version that this node may serve; `None` while it is not known.
    #[must_use]
    pub fn floor(&self) -> Option<Version> {
        *self.shared.floor.borrow()
    }

    /// Parent in the tree; `None` for a root and for a detached node.
    #[must_use]
    pub fn parent(&self) -> Option<id::Node> {
        self.shared.parent()
    }

    /// Whether this node holds the reader lease of its region.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.shared.role().is_reader(Instant::now())
    }

    /// Whether this node is the root of its region's tree: the reader, or the node that acts as
    /// root while the store does not answer.
    #[must_use]
    pub fn is_root(&self) -> bool {
        self.shared.is_root()
    }

    /// Sets service, slots and state of the upstream beside this node; `None` without an upstream.
    pub fn set_upstream(&self, upstream: Option<(id::Service, Slots, State)>) {
        self.shared.set_upstream(upstream);
    }

    /// Summary of the held versions for each failure domain: of the whole mesh at a root, of the
    /// subtree at any other node.
    #[must_use]
    pub fn summaries(&self) -> Vec<DomainSummary> {
        self.shared.summaries()
    }

    /// Message counts since the start by kind, direction and region of the peer.
    #[must_use]
    pub fn traffic(&self) -> Vec<Traffic> {
        self.shared.counters.rows()
    }

    /// Serves a control stream that a peer has opened, until it ends.
    pub fn serve(&self, stream: wire::Stream) -> impl Future<Output = ()> + Send + use<> {
        accept::run(self.shared.clone(), stream)
    }

    /// Begins a graceful shutdown: sets the state `Draining` and releases the reader lease. Links
    /// stay open until [`Spread::close`].
    pub fn drain(&self) {
        self.shared.draining.send_replace(true);
        self.shared.refresh_state();
    }

    /// Completes a graceful shutdown: sets the state `Left`, sends it to the peers, closes the
    /// links and ends the tasks.
    pub async fn close(self) {
        if !self.shared.is_draining() {
            self.drain();
        }
        self.shared
            .update_own_record(|record| record.state = State::Left);
        sleep(LEAVE_DELAY).await;
        self.shared.closing.send_replace(true);
        let mut set = {
            let mut set = self
                .tasks
                .set
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *set)
        };
        let _ = timeout(LEAVE_DELAY, self.shared.wait_links_closed()).await;
        let _ = timeout(SHUTDOWN_TIMEOUT, set.shutdown()).await;
    }
}

/// Reads versions from the store at this node, with [`Source::Store`].
async fn read_store(shared: Shared) {
    if let Some(store) = &shared.store {
        source::follow(&shared, store).await;
    }
}
