//! Stand-ins for the systems around dandelionseam, for tests and the demo.

mod reply;
mod server;
pub mod store;
pub mod upstream;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Loopback address with a free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

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
