use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

/// Version of the configuration. One counter in the store orders all versions; zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u64);

impl Version {
    /// No version.
    pub const NONE: Self = Self(0);

    /// Creates a version from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number of the version.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
