//! Rates and shares with their unit in the type.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

/// Reason why a text is not a rate.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a valid rate")]
pub struct Invalid;

/// Share in percent, from 0 to 100.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u32);

impl Percent {
    /// Creates a share; values above 100 become 100.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self(if percent > 100 { 100 } else { percent })
    }

    /// The share in percent.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The share as a fraction of one.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Display for Percent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let number = text.strip_suffix('%').unwrap_or(text);
        match number.parse() {
            Ok(percent) if percent <= 100 => Ok(Self(percent)),
            _ => Err(Invalid),
        }
    }
}

/// Events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Creates a rate; negative and undefined values become zero.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self(if rate > 0.0 { rate } else { 0.0 })
    }

    /// The rate in events a second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for PerSecond {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        match number.parse::<f64>() {
            Ok(rate) if rate >= 0.0 && rate.is_finite() => Ok(Self(rate)),
            _ => Err(Invalid),
        }
    }
}
