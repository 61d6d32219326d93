/// Purpose of a stream, sent as the path of the HTTP/2 request that opens it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Configuration versions, membership and heartbeats.
    Control,
    /// A single call.
    Call,
    /// Handoff of a departure that the store does not have yet.
    Handoff,
    /// Reports on the usage of tenants.
    Quota,
    /// Reports on the answers of upstreams during a roll-out.
    Rollout,
}

impl Kind {
    /// Path of the request that opens the stream.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Control => "/control",
            Self::Call => "/call",
            Self::Handoff => "/handoff",
            Self::Quota => "/quota",
            Self::Rollout => "/rollout",
        }
    }

    /// Returns the kind with a request path, or `None` for an unknown path.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        [
            Self::Control,
            Self::Call,
            Self::Handoff,
            Self::Quota,
            Self::Rollout,
        ]
        .into_iter()
        .find(|kind| kind.path() == path)
    }
}
