//! Stand-ins for the systems around dandelionseam, for tests and the demo.
//!
//! - [`store::Store`]: key-value store with the HTTP/JSON gateway of etcd v3 and [`Faults`].
//! - [`upstream::Upstream`]: HTTP service with a log of its runs and a [`Behaviour`].
//!
//! Both run in the process that starts them or as the programs `standin-store` and
//! `standin-upstream`.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! use standin::upstream::Upstream;
//! use standin::{Behaviour, UpstreamSettings};
//!
//! let upstream = Upstream::start_local(UpstreamSettings::default()).await?;
//! upstream.set_behaviour(Behaviour { status: 418, ..Behaviour::default() });
//! let call = reqwest::Client::new().get(upstream.url()).header("idempotency-key", "k");
//! assert_eq!(call.send().await?.status(), 418);
//! assert_eq!(upstream.runs("k"), 1);
//! # Ok(())
//! # }
//! ```

mod memory;
mod reply;
mod server;
pub mod store;
pub mod upstream;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Loopback address with a free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub use memory::{Backup, Memory};
pub use schema::standin::{
    Behaviour, Counters, Faults, HealthMode, Log, LogEntry, Outage, Progress, ServiceTime,
    UpstreamSettings,
};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error when the signals cannot be received.
pub async fn wait_for_stop() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
