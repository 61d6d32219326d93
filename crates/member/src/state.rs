use std::fmt::{self, Display, Formatter};

use schema::control;

/// Life cycle of a node and its upstream. At equal sequence the later state wins a merge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The node has no floor yet, or its upstream is not ready.
    #[default]
    Starting,
    /// The node takes calls.
    Ready,
    /// The node finishes calls in flight and takes no new ones.
    Draining,
    /// The parent has lost contact with the node.
    Suspect,
    /// The node has not appeared anywhere before the deadline.
    Down,
    /// The node has stopped as planned.
    Left,
}

impl State {
    /// Whether the node may be chosen as a parent.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }

    /// Whether the node no longer exists.
    #[must_use]
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Down | Self::Left)
    }

    /// Name of the state in logs and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Suspect => "suspect",
            Self::Down => "down",
            Self::Left => "left",
        }
    }
}

impl Display for State {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl From<State> for control::State {
    fn from(state: State) -> Self {
        match state {
            State::Starting => Self::Starting,
            State::Ready => Self::Ready,
            State::Draining => Self::Draining,
            State::Suspect => Self::Suspect,
            State::Down => Self::Down,
            State::Left => Self::Left,
        }
    }
}

impl From<control::State> for State {
    fn from(state: control::State) -> Self {
        match state {
            control::State::Starting => Self::Starting,
            control::State::Ready => Self::Ready,
            control::State::Draining => Self::Draining,
            control::State::Suspect => Self::Suspect,
            control::State::Down => Self::Down,
            control::State::Left => Self::Left,
        }
    }
}
