use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use thiserror::Error;

use crate::Health;

/// Revision of the store; increases with each change.
///
/// A store that is restored from a copy gives out the numbers since that copy again, for other changes. So
/// a revision includes the era of the store, which increases with each restore: the era in the upper 24 bits
/// and the number in the lower 40. It is one integer because messages between nodes carry it as such.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// Bits of a [`Revision`] that hold the number within the era.
const NUMBER_BITS: u32 = 40;

const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

impl Revision {
    /// Creates the revision with a number in an era. Eras are counted modulo 2^24.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        debug_assert!(
            number <= MAX_NUMBER,
            "the store counts further than expected"
        );
        Self((era << NUMBER_BITS) | (number & MAX_NUMBER))
    }

    /// Era of the store.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Number that the store uses within the era; 0 for a missing key.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, number.parse()?))
    }
}

/// Identifies a lease that the store has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl LeaseId {
    /// No lease: the item stays until it is removed.
    pub const NONE: Self = Self(0);
}

impl Display for LeaseId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for LeaseId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Lease and its time to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Time after which the lease expires unless it is renewed, as set by the store.
    pub ttl: Duration,
}

/// Error of a call to the store.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The store did not answer or refused the call; a write may still have taken effect.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The lease has expired.
    #[error("lease has expired")]
    LeaseExpired,
    /// The revision of the key differs from the one that the write expects.
    #[error("key is at revision {0}")]
    Conflict(Revision),
    /// The store does not have the history after the requested revision: it has dropped it, or was
    /// restored from a copy.
    #[error("history after the revision is gone")]
    Compacted,
    /// The answer is larger than the client accepts.
    #[error("answer from the store is too large")]
    TooLarge,
    /// The answer cannot be decoded.
    #[error("invalid answer from the store: {0}")]
    Invalid(String),
}

/// Key and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key, including the prefix.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Last change of the key; 0 when it is not known, as for an item from another node.
    pub revision: Revision,
    /// Lease under which the key was written; `None` when there is none or it is not known.
    pub lease: Option<LeaseId>,
}

/// Request for all items below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Whether the answer may be seconds old. Such an answer costs the store less.
    pub allow_stale: bool,
}

/// All items whose keys have a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// Revision from which to watch for changes. The items may be newer, but never older.
    pub revision: Revision,
}

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has a new value.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

impl Change {
    /// Number of bytes of the key and the value.
    #[must_use]
    pub const fn size(&self) -> usize {
        match self {
            Self::Put(item) => item.key.len() + item.value.len(),
            Self::Removed(key) => key.len(),
        }
    }

    /// The item of a new value.
    #[must_use]
    pub fn into_item(self) -> Option<Item> {
        match self {
            Self::Put(item) => Some(item),
            Self::Removed(_) => None,
        }
    }
}

/// Changes, and the revision up to which they are complete.
type Changes = (Vec<Change>, Revision);

/// Request for the changes below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision after which changes are requested.
    pub after: Revision,
    /// Time for which the store waits for a change before it answers without any.
    pub wait: Duration,
}

type Call<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, Result<T, Error>> + Send + Sync>;

/// Client of the platform's store, as closures.
///
/// Each call times out on its own: within a few seconds, a watch soon after its wait, and an answer that
/// has begun when its bytes no longer arrive.
pub struct Backend {
    /// Availability of the store, as seen by the calls.
    pub health: Health,
    /// Lists all items below a prefix.
    pub list: Call<ListRequest, Listing>,
    /// Waits for changes below a prefix after a revision. May return without changes.
    pub watch: Call<WatchRequest, Changes>,
    /// Whether a key still has the given revision. The answer takes every change into account that was
    /// acknowledged before the call.
    pub check: Call<(String, Revision), bool>,
    /// Grants a lease with a time to live.
    pub grant: Call<Duration, Lease>,
    /// Renews a lease.
    pub renew: Call<LeaseId, ()>,
    /// Writes a key under a lease, or [`LeaseId::NONE`], if the key still has the given revision, 0 for a missing key.
    ///
    /// Without this condition, a write whose answer was lost could overwrite a later one.
    pub put: Call<(Item, LeaseId, Revision), Revision>,
}
