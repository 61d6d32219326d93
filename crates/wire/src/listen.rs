use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::{Kind, Stream, serve};

/// Wait after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes and serves each in a task of its own, until the future is dropped.
///
/// At most `limit` connections are open; further ones are closed at once.
pub async fn listen<H, F>(listener: TcpListener, limit: usize, handle: H)
where
    H: Fn(Kind, Stream) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "connection not accepted");
                sleep(ACCEPT_WAIT).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(limit; "connection refused: too many are open");
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(socket, handle).await {
                log::debug!(peer:% = peer, reason:% = error; "connection of a node ended");
            }
            drop(permit);
        });
    }
}
