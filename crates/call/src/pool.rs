use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::Instant;
use types::Deadline;
use wire::{Connection, Error};

/// Timeout for connecting to a node. The way to another region and back takes about 60 ms; a node
/// that has lost power or is cut off does not refuse the connection, and the call must still meet
/// its objective at another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections to other nodes. All calls to a node share one connection.
pub(crate) struct Pool {
    idle_limit: Duration,
    entries: Mutex<HashMap<SocketAddr, Entry>>,
}

struct Entry {
    connection: Arc<OnceCell<Connection>>,
    last_used: Instant,
}

impl Pool {
    /// Creates a pool whose connections are closed after `idle_limit` without use.
    pub(crate) fn new(idle_limit: Duration) -> Self {
        Self {
            idle_limit,
            entries: Mutex::default(),
        }
    }

    /// Returns the connection to a node, opening it if necessary. Concurrent calls share one
    /// attempt.
    pub(crate) async fn get(
        &self,
        peer: SocketAddr,
        deadline: Deadline,
    ) -> Result<Connection, Error> {
        let cell = self.cell(peer, Instant::now());
        let deadline = deadline.min(Deadline::after(CONNECT_TIMEOUT));
        let connecting = cell.get_or_try_init(|| Connection::connect(peer, deadline));
        tokio::time::timeout_at(deadline.instant(), connecting)
            .await
            .map_err(|_| Error::ConnectDeadline)?
            .cloned()
    }

    fn cell(&self, peer: SocketAddr, now: Instant) -> Arc<OnceCell<Connection>> {
        let mut entries = self.lock();
        let entry = entries.entry(peer).or_insert_with(|| Entry {
            connection: Arc::default(),
            last_used: now,
        });
        if entry.connection.get().is_some_and(Connection::is_closed) {
            entry.connection = Arc::default();
        }
        entry.last_used = now;
        Arc::clone(&entry.connection)
    }

    /// Removes connections that are closed or have been idle for the limit. Open streams keep their
    /// connection alive.
    pub(crate) fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, entry| {
            let idle = now.saturating_duration_since(entry.last_used) >= self.idle_limit;
            !idle && !entry.connection.get().is_some_and(Connection::is_closed)
        });
    }

    /// Number of connections that are open or being opened.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
