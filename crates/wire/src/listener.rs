use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use types::Deadline;

use crate::{Kind, Stream, serve_until};

/// Delay after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for the peers to end their connections. The way to another region and back takes
/// about 60 ms.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Accepts connections from other nodes, each served in its own task.
///
/// Dropping it ends the accepting only; open connections continue.
pub struct Listener {
    shutdown: CancellationToken,
    accepting: JoinHandle<()>,
}

impl Listener {
    /// Starts accepting. `handle` is called for each accepted stream. At most `max_connections` are
    /// open at a time; further ones are closed at once.
    ///
    /// Must be called within a Tokio runtime.
    pub fn start<H, F>(socket: TcpListener, max_connections: usize, handle: H) -> Self
    where
        H: Fn(Kind, Stream) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let shutdown = CancellationToken::new();
        let accepting = accept(socket, max_connections, shutdown.clone(), handle);
        Self {
            shutdown,
            accepting: tokio::spawn(accepting),
        }
    }

    /// Stops accepting and ends the open connections as [`serve_until`] says. Waits a quarter of a
    /// second for their ends, at most until `deadline`.
    pub async fn close(mut self, deadline: Deadline) {
        self.shutdown.cancel();
        let deadline = deadline.min(Deadline::after(CLOSE_TIMEOUT));
        if timeout_at(deadline.instant(), &mut self.accepting)
            .await
            .is_err()
        {
            log::debug!("peer connections are still open");
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Accepts connections until `shutdown` is cancelled, then waits until all have ended.
async fn accept<H, F>(
    socket: TcpListener,
    max_connections: usize,
    shutdown: CancellationToken,
    handle: H,
) where
    H: Fn(Kind, Stream) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        let (connection, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "connection not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(limit = max_connections; "connection refused: too many are open");
            continue;
        };
        let (handle, shutdown) = (handle.clone(), shutdown.clone());
        connections.spawn(async move {
            if let Err(error) = serve_until(connection, shutdown, handle).await {
                log::debug!(peer:% = peer, reason:% = error; "peer connection failed");
            }
            drop(permit);
        });
    }
    drop(socket);
    connections.close();
    connections.wait().await;
}
