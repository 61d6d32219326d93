use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

/// Time between pings on an open connection.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time without an answer to a ping. With [`PING_INTERVAL`], a path that lost its state is
/// noticed within 2 seconds.
pub const PING_LIMIT: Duration = Duration::from_secs(1);

/// Pings the peer until it fails to answer in time.
pub(crate) async fn watch(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        match timeout(PING_LIMIT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => sleep(PING_INTERVAL).await,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
