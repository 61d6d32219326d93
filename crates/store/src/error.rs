use thiserror::Error;

use crate::Revision;

/// Reason why a call or a watch failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// Nothing reached the store.
    #[error("store: not sent: {0}")]
    NotSent(String),
    /// The call was sent and no usable answer came. A write may have taken effect.
    #[error("store: answer lost: {0}")]
    AnswerLost(String),
    /// The store answered that it did not run the call.
    #[error("store: refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Text of the store.
        message: String,
    },
    /// The lease has lapsed or was revoked; its keys are gone.
    #[error("store: lease has lapsed")]
    LeaseLapsed,
    /// A watch reported nothing by the deadline. The watch may be idle or its connection silent.
    #[error("store: watch is silent")]
    WatchSilent,
    /// A watch ended.
    #[error("store: watch ended: {0}")]
    WatchEnded(String),
    /// The history before `oldest` is gone; read the keys and watch from there.
    #[error("store: history before revision {oldest} is compacted")]
    Compacted {
        /// First revision that can be watched.
        oldest: Revision,
    },
    /// A watch left out or repeated a change of `key`; read the keys and watch from there.
    #[error("store: watch has a gap at revision {revision} of `{key}`")]
    Gap {
        /// Key of the event that does not follow the one before it.
        key: String,
        /// Revision of that event.
        revision: Revision,
    },
}

impl Error {
    /// Whether a write that failed in this way may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::AnswerLost(_))
    }
}
