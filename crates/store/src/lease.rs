use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease(i64);

impl Lease {
    /// Creates a lease id from its number.
    #[must_use]
    pub const fn new(number: i64) -> Self {
        Self(number)
    }

    /// Number of the lease.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }

    /// Reads the number of a message, where zero means no lease.
    pub(crate) fn from_number(number: i64) -> Option<Self> {
        (number != 0).then_some(Self(number))
    }

    /// Number for a message.
    pub(crate) fn to_number(lease: Option<Self>) -> i64 {
        lease.map_or(0, Self::get)
    }
}

impl Display for Lease {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for Lease {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
