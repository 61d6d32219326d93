use std::io;

use thiserror::Error;
use types::id;

/// Error that prevents the node from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// A port cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An address in the settings is invalid.
    #[error("`{0}` is not a valid IP address and port")]
    InvalidAddress(String),
    /// An id in the settings is invalid.
    #[error("{0}")]
    InvalidId(#[from] id::Invalid),
    /// A metric cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}
