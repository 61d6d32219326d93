use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

/// How far from the caller's failure domain the target of a call may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Reach {
    /// The caller's failure domain only.
    Domain,
    /// The caller's region.
    Region,
    /// Any region.
    #[default]
    Any,
}

/// Reason why a text is not a reach.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("reach is not one of: domain, region, any")]
pub struct InvalidReach;

impl Reach {
    /// Number of tiers of targets that a call may use.
    #[must_use]
    pub const fn tier_count(self) -> u32 {
        match self {
            Self::Domain => 1,
            Self::Region => 2,
            Self::Any => 3,
        }
    }
}

impl Display for Reach {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::Any => "any",
        })
    }
}

impl FromStr for Reach {
    type Err = InvalidReach;

    fn from_str(text: &str) -> Result<Self, InvalidReach> {
        match text {
            "domain" => Ok(Self::Domain),
            "region" => Ok(Self::Region),
            "any" => Ok(Self::Any),
            _ => Err(InvalidReach),
        }
    }
}
