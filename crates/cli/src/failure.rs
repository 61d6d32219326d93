use bundle::Conflict;
use thiserror::Error;
use types::{Findings, Version, id};

/// Reason why a command did not do what it was asked for.
#[derive(Clone, Debug, Error)]
pub enum Failure {
    /// Files or the resulting configuration have faults.
    #[error("{0}")]
    Findings(Findings),
    /// An argument has no meaning.
    #[error("{0}")]
    Usage(String),
    /// Another publisher changed the same service, or owns it.
    #[error("conflict: {0}; nothing was published")]
    Conflict(Conflict),
    /// Other publishers were faster each time.
    #[error("conflict: other publishers were faster {0} times; nothing was published")]
    Races(u32),
    /// The store or a node was not reachable.
    #[error("{0}")]
    Unreachable(String),
    /// The store was not reachable, and the transaction was not run.
    #[error("{0}; nothing was published")]
    NotPublished(String),
    /// The content of the store cannot be used.
    #[error("store: {0}")]
    Damaged(String),
    /// The transaction may or may not have taken effect.
    #[error(
        "the answer of the store was lost, so it is not known whether publication {publication} took effect; \
         `dandelionseam history` shows it once the store answers ({reason})"
    )]
    Unknown {
        /// Publication concerned.
        publication: id::Publication,
        /// Last error of the store.
        reason: String,
    },
    /// The version was published, but not every node held it before the wait ended.
    #[error("version {version} is published, but not in force everywhere: {state}")]
    NotInForce {
        /// Version published.
        version: Version,
        /// What was last seen.
        state: String,
    },
}

impl Failure {
    /// Exit code of the tool.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) | Self::Races(_) => 3,
            Self::Unreachable(_) | Self::NotPublished(_) | Self::Damaged(_) => 4,
            Self::Unknown { .. } => 5,
            Self::NotInForce { .. } => 6,
        }
    }

    /// Name of the kind, for output in JSON.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Findings(_) => "findings",
            Self::Usage(_) => "usage",
            Self::Conflict(_) | Self::Races(_) => "conflict",
            Self::Unreachable(_) | Self::NotPublished(_) => "unreachable",
            Self::Damaged(_) => "damaged",
            Self::Unknown { .. } => "unknown",
            Self::NotInForce { .. } => "not-in-force",
        }
    }
}
