use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

/// Revision of the store. Every change of a key has a higher one than the change before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(i64);

impl Revision {
    /// No revision. It compares equal to the revision of an absent key.
    pub const NONE: Self = Self(0);

    /// Creates a revision from its number.
    #[must_use]
    pub const fn new(number: i64) -> Self {
        Self(number)
    }

    /// Number of the revision.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }

    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
