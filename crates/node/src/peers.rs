use std::sync::Arc;

use tokio::net::TcpListener;
use wire::{Kind, Listener, Stream};

use crate::Node;

/// Most concurrent connections of other nodes. These are about 12 children and the nodes of the
/// callers whose subset contains this node.
const MAX_CONNECTIONS: usize = 4096;

/// Accepts connections of other nodes.
pub fn start(socket: TcpListener, node: Arc<Node>) -> Listener {
    let handle = move |kind, stream| dispatch(Arc::clone(&node), kind, stream);
    Listener::start(socket, MAX_CONNECTIONS, handle)
}

async fn dispatch(node: Arc<Node>, kind: Kind, stream: Stream) {
    match kind {
        Kind::Control => node.spread.serve(stream).await,
        Kind::Call => node.target.serve(stream).await,
        // Departures are handed over between sidecars only. The stream is reset.
        Kind::Handoff | Kind::Quota | Kind::Rollout => drop(stream),
    }
}
