/// Purpose of a stream, carried as the path of its `h2` request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Versions, membership and heartbeats.
    Control,
    /// One call.
    Call,
}

impl Kind {
    /// Path of the request that opens the stream.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Control => "/control",
            Self::Call => "/call",
        }
    }

    /// Kind for a request path.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        [Self::Control, Self::Call]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}
