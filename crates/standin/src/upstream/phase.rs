use std::fmt::{self, Display, Formatter};

/// State of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Ready,
    Draining,
}

impl Display for Phase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}
