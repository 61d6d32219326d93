use std::fmt::{self, Display, Formatter};

use schema::control;

/// Lifecycle state of a node and its upstream. Between records with the same incarnation and
/// sequence, a merge keeps the one with the later state in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The node does not hold the lowest version that it may serve yet, or its upstream is not
    /// ready.
    #[default]
    Starting,
    /// The node accepts calls.
    Ready,
    /// The node finishes calls in flight and accepts no new ones.
    Draining,
    /// The parent has lost the connection to the node.
    Suspect,
    /// The node has not attached to any parent before the deadline.
    Down,
    /// The node has shut down as planned.
    Left,
}

impl State {
    /// Whether the node may be chosen as a parent: it is starting or ready.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }

    /// Whether the node counts as gone: it is down or has left.
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
