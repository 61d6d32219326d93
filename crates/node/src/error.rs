use std::io;

use thiserror::Error;

/// Reason why the node did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// A port could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Address in the settings.
        address: String,
        /// Reason.
        source: io::Error,
    },
    /// An address in the settings is not usable.
    #[error("`{0}` is not a usable address")]
    Address(String),
    /// Other nodes cannot reach the peer address.
    #[error("listen.peers: {0} names no single address that other nodes can reach")]
    Unspecified(std::net::IpAddr),
    /// A name in the settings is not valid.
    #[error("node: {0}")]
    Id(#[from] types::id::Invalid),
    /// The store client could not be set up.
    #[error("store: {0}")]
    Store(#[from] store::Error),
    /// The figures could not be set up.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// An HTTP port did not start.
    #[error(transparent)]
    Front(#[from] crate::front::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(io::Error),
}
