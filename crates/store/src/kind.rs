use std::fmt::{self, Display, Formatter};

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Read of a key or prefix.
    Range,
    /// Write of one key.
    Put,
    /// Delete of a key or prefix.
    Delete,
    /// Transaction.
    Txn,
    /// Creation of a lease.
    Grant,
    /// Renewal of a lease.
    KeepAlive,
    /// End of a lease.
    Revoke,
    /// Watch; counted once when it opens.
    Watch,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Range,
        Self::Put,
        Self::Delete,
        Self::Txn,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// Path of the gateway.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Put => "/v3/kv/put",
            Self::Delete => "/v3/kv/deleterange",
            Self::Txn => "/v3/kv/txn",
            Self::Grant => "/v3/lease/grant",
            Self::KeepAlive => "/v3/lease/keepalive",
            Self::Revoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }

    /// Whether the call changes nothing, so it may be sent again.
    pub(crate) const fn is_read(self) -> bool {
        matches!(self, Self::Range | Self::Watch)
    }
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Range => "range",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Txn => "txn",
            Self::Grant => "grant",
            Self::KeepAlive => "keep-alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        })
    }
}
