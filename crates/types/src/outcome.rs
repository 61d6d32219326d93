use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What is known about the run of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream never received the call.
    NotRun,
    /// The upstream ran the call and answered.
    Ran,
    /// The upstream may have run the call.
    Unknown,
}

/// Reason why a text is not an outcome.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("outcome is none of not-run, ran, unknown")]
pub struct InvalidOutcome;

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = InvalidOutcome;

    fn from_str(text: &str) -> Result<Self, InvalidOutcome> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err(InvalidOutcome),
        }
    }
}
