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
        /// Error of the system.
        source: io::Error,
    },
    /// An address in the settings is not valid.
    #[error("`{0}` is not a valid address")]
    Address(String),
    /// The peer address is a wildcard, which other nodes cannot connect to.
    #[error(
        "listen.peers: {0} is a wildcard address; set an address that other nodes can connect to"
    )]
    Unspecified(std::net::IpAddr),
    /// An id in the section `node` of the settings is not valid.
    #[error("node: {0}")]
    Id(#[from] types::id::Invalid),
    /// The store client could not be set up.
    #[error("store: {0}")]
    Store(#[from] store::Error),
    /// The metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// An HTTP port did not start.
    #[error(transparent)]
    Frontend(#[from] crate::front::Error),
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(io::Error),
}
