use std::sync::Arc;

use tokio::net::TcpListener;
use wire::{Kind, Stream};

use crate::Node;

/// Most connections of other nodes at the same time. A node has about 12 children and the callers'
/// nodes of its subset.
const CONNECTIONS: usize = 4096;

/// Accepts connections of other nodes until the task is dropped.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let handle = move |kind, stream| dispatch(Arc::clone(&node), kind, stream);
    wire::listen(listener, CONNECTIONS, handle).await;
}

async fn dispatch(node: Arc<Node>, kind: Kind, stream: Stream) {
    match kind {
        Kind::Control => node.spread.serve(stream).await,
        Kind::Call => node.target.serve(stream).await,
    }
}
