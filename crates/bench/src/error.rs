use std::io;

use thiserror::Error;

/// Reason why a measurement failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or process could not be used.
    #[error("{0}: {1}")]
    Io(String, #[source] io::Error),
    /// An HTTP call to a process failed.
    #[error("http: {0}")]
    Http(#[from] reqwest::Error),
    /// A histogram could not be created.
    #[error("histogram: {0}")]
    Histogram(String),
    /// A process ended by itself.
    #[error("{0} ended early")]
    Ended(String),
    /// Something did not happen before its deadline.
    #[error("{0} did not happen in time")]
    Deadline(String),
    /// A process answered with something unexpected.
    #[error("unexpected answer: {0}")]
    Answer(String),
    /// A message stream to a node failed.
    #[error("stream: {0}")]
    Stream(#[from] wire::Error),
}
