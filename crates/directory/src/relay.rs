use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::task::JoinSet;
use types::{BootTime, id};
use wire::Stream;

use crate::plan::Plan;
use crate::table::{Consumer, Table};
use crate::{Backend, Revision, Update, WatchOptions, child, parent, source};

/// Parents that a node follows at a time. Each delivers all changes, so that the loss of one delays
/// nothing.
const PARENT_LINKS: usize = 2;

/// Follows keys of the platform's store and passes their changes on to other nodes.
///
/// A few nodes read the store; the others follow two nodes above them, and the store only while
/// neither of these is current. Clones share one state.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

/// State that the tasks of a relay share.
pub(crate) struct Shared {
    pub(crate) backend: Arc<Backend>,
    /// Id of this node.
    pub(crate) node: id::Node,
    tables: Mutex<Vec<Arc<Table>>>,
    /// Counts the changes of all tables.
    changes: watch::Sender<u64>,
    state: watch::Sender<State>,
    children: watch::Sender<usize>,
    /// Whether parents are asked up to when their state is complete.
    confirms: AtomicBool,
}

/// How this node follows the store now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// `None` until the other nodes are known.
    pub(crate) plan: Option<Arc<Plan>>,
    /// Parents that are connected and current.
    pub(crate) current_parents: usize,
    /// Tables whose first listing has been read.
    pub(crate) loaded_tables: usize,
    /// Whether the store has answered the last call for each table.
    are_sources_current: bool,
    /// Whether other nodes may follow this one.
    is_closed: bool,
}

impl State {
    /// Whether this node reads the store even while others are current.
    pub(crate) fn is_reader(&self) -> bool {
        self.plan.as_ref().is_none_or(|plan| plan.is_reader)
    }

    /// Whether this node reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        self.is_reader() || self.current_parents == 0
    }

    /// Whether other nodes follow this one because it reads the store.
    pub(crate) fn has_followers(&self) -> bool {
        self.plan.as_ref().is_some_and(|plan| plan.has_followers)
    }

    /// Whether this node knows the changes of the store soon after they were made.
    pub(crate) const fn is_current(&self) -> bool {
        !self.is_closed && (self.current_parents > 0 || self.are_sources_current)
    }

    pub(crate) const fn is_closed(&self) -> bool {
        self.is_closed
    }
}

impl Relay {
    /// Starts the tasks that follow other nodes. The tables are added before the first
    /// [`Relay::set_plan`].
    ///
    /// Must be called within a Tokio runtime.
    #[must_use]
    pub fn start(backend: Arc<Backend>, node: id::Node) -> Self {
        let shared = Arc::new(Shared {
            backend,
            node,
            tables: Mutex::default(),
            changes: watch::Sender::new(0),
            state: watch::Sender::default(),
            children: watch::Sender::new(0),
            confirms: AtomicBool::new(false),
        });
        let mut tasks = JoinSet::new();
        for index in 0..PARENT_LINKS {
            tasks.spawn(parent::run(Arc::clone(&shared), index));
        }
        Self {
            shared,
            tasks: Arc::new(Mutex::new(tasks)),
        }
    }

    /// Follows the keys with a prefix. `consumer` is called with each update and the revision up to
    /// which it is complete, and returns whether the update contained anything new.
    ///
    /// Must be called within a Tokio runtime.
    pub fn add_table<C>(&self, prefix: &str, options: WatchOptions, consumer: C)
    where
        C: FnMut(&Update, Revision) -> bool + Send + 'static,
    {
        let consumer: Consumer = Box::new(consumer);
        let table = Table::new(prefix, options, consumer, self.shared.changes.clone());
        let table = Arc::new(table);
        self.shared.lock_tables().push(Arc::clone(&table));
        let following = source::run(Arc::clone(&self.shared), table);
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .spawn(following);
    }

    /// Asks parents up to when their state is complete. Without it, [`Relay::confirmed_at`] is known only
    /// while this node reads the store itself.
    #[must_use]
    pub fn with_confirmations(self, confirms: bool) -> Self {
        self.shared.confirms.store(confirms, Ordering::Release);
        self
    }

    /// Time up to which all changes of the keys with a prefix are known, whoever was asked; `None` before
    /// the first confirmation.
    #[must_use]
    pub fn confirmed_at(&self, prefix: &str) -> Option<BootTime> {
        let tables = self.shared.lock_tables();
        let table = tables.iter().find(|table| table.prefix == prefix)?;
        table.confirmed_at()
    }

    /// Sets which nodes this one follows.
    pub fn set_plan(&self, plan: Plan) {
        self.shared.state.send_if_modified(|state| {
            let is_changed = state.plan.as_deref() != Some(&plan);
            if is_changed {
                log::info!(
                    is_reader = plan.is_reader, parents = plan.parents.len();
                    "way of following the store changed"
                );
                state.plan = Some(Arc::new(plan));
            }
            is_changed
        });
    }

    /// Serves a stream on which another node follows this one, until the stream ends.
    pub async fn serve(&self, stream: Stream) {
        child::serve(&self.shared, stream).await;
    }

    /// Number of nodes that follow this one.
    #[must_use]
    pub fn children(&self) -> usize {
        *self.shared.children.borrow()
    }

    /// Number of parents that are connected and current.
    #[must_use]
    pub fn current_parents(&self) -> usize {
        self.shared.state.borrow().current_parents
    }

    /// Ends the streams of the nodes that follow this one, so that they follow others. This node
    /// itself goes on following.
    pub fn close_children(&self) {
        self.shared
            .state
            .send_modify(|state| state.is_closed = true);
    }
}

impl Shared {
    pub(crate) fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    pub(crate) fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn tables(&self) -> Vec<Arc<Table>> {
        self.lock_tables().clone()
    }

    pub(crate) fn is_reader(&self) -> bool {
        self.state.borrow().is_reader()
    }

    /// Whether parents are asked up to when their state is complete.
    pub(crate) fn confirms(&self) -> bool {
        self.confirms.load(Ordering::Acquire)
    }

    /// Whether other nodes depend on the calls of this one.
    pub(crate) fn has_followers(&self) -> bool {
        *self.children.borrow() > 0 || self.state.borrow().has_followers()
    }

    /// Counts a child until the guard is dropped.
    pub(crate) fn add_child(&self) -> ChildGuard {
        self.children.send_modify(|count| *count += 1);
        ChildGuard(self.children.clone())
    }

    pub(crate) fn child_count(&self) -> usize {
        *self.children.borrow()
    }

    /// Records that the first listing of a table has been read.
    pub(crate) fn add_loaded_table(&self) {
        self.state.send_modify(|state| state.loaded_tables += 1);
    }

    pub(crate) fn add_current_parent(&self) {
        self.state.send_modify(|state| state.current_parents += 1);
    }

    pub(crate) fn remove_current_parent(&self) {
        self.state.send_modify(|state| state.current_parents -= 1);
    }

    /// Records whether the store has answered the last call for a table.
    pub(crate) fn set_source_current(&self, table: &Table, is_current: bool) {
        table.set_source_current(is_current);
        let all = self
            .lock_tables()
            .iter()
            .all(|table| table.is_source_current());
        self.state.send_if_modified(|state| {
            let is_changed = state.are_sources_current != all;
            state.are_sources_current = all;
            is_changed
        });
    }

    fn lock_tables(&self) -> MutexGuard<'_, Vec<Arc<Table>>> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a child while it lives.
pub(crate) struct ChildGuard(watch::Sender<usize>);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
