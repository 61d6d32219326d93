use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use wire::{Kind, Stream};

use crate::Node;

/// Most connections of other nodes at the same time. A node has about 12 children and the callers'
/// nodes of its subset.
const CONNECTIONS: usize = 4096;

/// Wait after a failed accept, which happens when the process is out of file descriptors.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes until the task is dropped.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!(reason:% = error; "connection not accepted");
                sleep(ACCEPT_WAIT).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(limit = CONNECTIONS; "connection refused: too many are open");
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            run(socket, node).await;
            drop(permit);
        });
    }
}

async fn run(socket: TcpStream, node: Arc<Node>) {
    let peer = socket
        .peer_addr()
        .map_or_else(|_| String::new(), |peer| peer.to_string());
    let handle = move |kind, stream| dispatch(Arc::clone(&node), kind, stream);
    if let Err(error) = wire::serve(socket, handle).await {
        log::debug!(peer, reason:% = error; "connection of a node ended");
    }
}

async fn dispatch(node: Arc<Node>, kind: Kind, stream: Stream) {
    match kind {
        Kind::Control => node.spread.serve(stream).await,
        Kind::Call => node.target.serve(stream).await,
    }
}
