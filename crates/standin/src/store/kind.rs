use schema::standin::Counters;

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Range,
    Put,
    DeleteRange,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Kind {
    /// Kind of a request path of the gateway.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        Some(match path {
            "/v3/kv/range" => Self::Range,
            "/v3/kv/put" => Self::Put,
            "/v3/kv/deleterange" => Self::DeleteRange,
            "/v3/kv/txn" => Self::Txn,
            "/v3/lease/grant" => Self::Grant,
            "/v3/lease/keepalive" => Self::KeepAlive,
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Self::Revoke,
            "/v3/watch" => Self::Watch,
            _ => return None,
        })
    }

    /// Whether the call counts against the limit of writes.
    pub(crate) const fn is_write(self) -> bool {
        !matches!(self, Self::Range | Self::Watch)
    }

    /// Counter of the kind.
    pub(crate) const fn counter(self, counters: &mut Counters) -> &mut u32 {
        match self {
            Self::Range => &mut counters.range,
            Self::Put => &mut counters.put,
            Self::DeleteRange => &mut counters.delete_range,
            Self::Txn => &mut counters.txn,
            Self::Grant => &mut counters.grant,
            Self::KeepAlive => &mut counters.keep_alive,
            Self::Revoke => &mut counters.revoke,
            Self::Watch => &mut counters.watch,
        }
    }
}
