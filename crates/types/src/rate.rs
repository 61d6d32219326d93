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

/// Rate of a network link, in bits a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bandwidth(u64);

/// Bits a second in one megabit a second.
const MEGABIT: f64 = 1e6;

impl Bandwidth {
    /// Creates a rate in bits a second; zero stands for a link that is not bounded.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// The rate in bytes a second.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0 / 8
    }
}

impl Display for Bandwidth {
    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate needs no more than 52 bits"
    )]
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0 as f64 / MEGABIT)
    }
}

impl FromStr for Bandwidth {
    type Err = Invalid;

    /// Reads a rate in Mbit/s, with or without the unit.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, Invalid> {
        let number = text.strip_suffix("Mbit/s").unwrap_or(text).trim();
        match number.parse::<f64>() {
            Ok(rate) if rate >= 0.0 && rate.is_finite() => Ok(Self((rate * MEGABIT) as u64)),
            _ => Err(Invalid),
        }
    }
}

/// Resolution of a share in messages.
const MILLIONTHS: f64 = 1e6;

/// Share of a number of events, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(f64);

impl Share {
    /// No event.
    pub const NONE: Self = Self(0.0);

    /// All events.
    pub const ALL: Self = Self(1.0);

    /// Creates a share; values outside of the range become the nearest bound.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self(if share > 0.0 { share.min(1.0) } else { 0.0 })
    }

    /// The share as a fraction of one.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// The share in millionths, for messages.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and a million"
    )]
    pub fn millionths(self) -> u32 {
        (self.0 * MILLIONTHS) as u32
    }

    /// Creates a share from millionths.
    #[must_use]
    pub fn from_millionths(millionths: u32) -> Self {
        Self::new(f64::from(millionths) / MILLIONTHS)
    }
}

impl Display for Share {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl FromStr for Share {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        match text.parse::<f64>() {
            Ok(share) if (0.0..=1.0).contains(&share) => Ok(Self(share)),
            _ => Err(Invalid),
        }
    }
}
