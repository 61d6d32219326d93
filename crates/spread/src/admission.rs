//! Admission control for the children of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use member::{Record, compute_priority, is_allowed_parent};
use tokio::time::Instant;
use types::id;

/// Maximum number of new children that a node accepts in one second.
pub const MAX_NEW_CHILDREN_PER_SECOND: u32 = 32;

/// Maximum number of snapshots that a node sends at the same time.
pub const MAX_CONCURRENT_SNAPSHOTS: usize = 4;

/// Number of standby links that a node accepts for each child in its child limit. Standby links
/// carry only heartbeats and held versions.
pub const STANDBY_LINKS_PER_CHILD: usize = 4;

/// Role of this node in the tree of its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Not the root. The node may be without a parent.
    #[default]
    Member,
    /// Root for membership only, while the store does not answer.
    ActingRoot,
    /// Holder of the reader lease until the instant.
    Reader(Instant),
}

impl Role {
    /// Whether the node is the root of its region at `now`.
    #[must_use]
    pub fn is_root(self, now: Instant) -> bool {
        match self {
            Self::Member => false,
            Self::ActingRoot => true,
            Self::Reader(until) => now < until,
        }
    }

    /// Whether the node holds the reader lease at `now`.
    #[must_use]
    pub fn is_reader(self, now: Instant) -> bool {
        matches!(self, Self::Reader(until) if now < until)
    }
}

/// Reason why a child was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The tree order does not allow this node as the parent.
    InvalidParent,
    /// The node has reached its child limit.
    ChildLimit,
    /// The node has accepted [`MAX_NEW_CHILDREN_PER_SECOND`] children in this second.
    RateLimit,
    /// The node is sending [`MAX_CONCURRENT_SNAPSHOTS`] snapshots already.
    SnapshotLimit,
}

impl Refusal {
    /// Text for the peer and the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InvalidParent => "not a parent for this node",
            Self::ChildLimit => "full",
            Self::RateLimit => "too many new children",
            Self::SnapshotLimit => "too many snapshots",
        }
    }
}

/// Children of a node, and the rate limit for new ones. `C` is the state of one child.
#[derive(Debug)]
pub struct Admission<C> {
    children: BTreeMap<id::Node, C>,
    /// Start of the current second of the rate limit.
    window_start: Option<Instant>,
    accepted_in_window: u32,
}

impl<C> Default for Admission<C> {
    fn default() -> Self {
        Self {
            children: BTreeMap::new(),
            window_start: None,
            accepted_in_window: 0,
        }
    }
}

impl<C> Admission<C> {
    /// Decides whether `child` may attach and counts it against the rate limit. `limit` is the
    /// maximum number of children. The caller adds an admitted child with [`Admission::insert`].
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal.
    pub fn try_admit(
        &mut self,
        (me, role): (&Record, Role),
        child: &Record,
        limit: usize,
        now: Instant,
    ) -> Result<(), Refusal> {
        if !is_valid_parent(me, role, child, now) {
            return Err(Refusal::InvalidParent);
        }
        // A child that reconnects before the loss of its old link is noticed replaces its own
        // entry.
        if !self.children.contains_key(&child.id) && self.children.len() >= limit {
            return Err(Refusal::ChildLimit);
        }
        let is_current = |start: &Instant| now.duration_since(*start) < Duration::from_secs(1);
        if !self.window_start.as_ref().is_some_and(is_current) {
            self.window_start = Some(now);
            self.accepted_in_window = 0;
        }
        if self.accepted_in_window >= MAX_NEW_CHILDREN_PER_SECOND {
            return Err(Refusal::RateLimit);
        }
        self.accepted_in_window += 1;
        Ok(())
    }

    /// Adds or replaces a child.
    pub fn insert(&mut self, child: id::Node, state: C) {
        self.children.insert(child, state);
    }

    /// State of a child; `None` when it is not attached.
    pub fn get_mut(&mut self, child: &id::Node) -> Option<&mut C> {
        self.children.get_mut(child)
    }

    /// Removes a child, if it is there.
    pub fn remove(&mut self, child: &id::Node) {
        self.children.remove(child);
    }

    /// All children with their state, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Node, &C)> {
        self.children.iter()
    }
}

/// Whether `child` may attach to this node without risk of a cycle.
///
/// The reader accepts any other node of its region. Of two nodes that both act as root, only the
/// one with the lower priority value accepts the other.
#[must_use]
pub fn is_valid_parent(me: &Record, role: Role, child: &Record, now: Instant) -> bool {
    let root = Record {
        root: role.is_root(now),
        ..me.clone()
    };
    if role.is_root(now) && !role.is_reader(now) && child.root {
        return compute_priority(&me.id) < compute_priority(&child.id);
    }
    me.id != child.id && is_allowed_parent(&root, child)
}
