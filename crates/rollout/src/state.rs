use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use types::id;
use types::rate::Percent;

/// Request of an operator to move the traffic of a service to targets of a new build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// Build of the new targets.
    pub build: id::Build,
    /// Time within which the roll-out has to end.
    pub duration: Duration,
    /// Revision of the order in the store, which identifies it.
    pub revision: u64,
}

/// State of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: id::Service,
    /// Build of the new targets.
    pub build: id::Build,
    /// Revision of the order.
    pub order: u64,
    /// Present stage.
    pub stage: Stage,
    /// Time since the order was noticed when the stage began. The clocks of nodes differ, so the state
    /// does not hold the time itself.
    pub elapsed: Duration,
    /// Share of the service's requests that new targets get in [`Stage::Trial`].
    pub share: Percent,
    /// Nodes beside the new targets that get requests in [`Stage::Trial`].
    pub trial_nodes: Vec<id::Node>,
}

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The new targets get no requests yet.
    Waiting,
    /// A few new targets get a small share of the requests.
    Trial,
    /// The new targets get all requests; the old ones finish theirs.
    Switched,
    /// The old targets may stop. Final.
    Completed,
    /// The new targets get no requests. Final.
    RolledBack,
}

impl Stage {
    /// All stages.
    pub const ALL: [Self; 5] = [
        Self::Waiting,
        Self::Trial,
        Self::Switched,
        Self::Completed,
        Self::RolledBack,
    ];

    /// Whether the roll-out has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Trial => "trial",
            Self::Switched => "switched",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

impl Display for Stage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The text names no stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownStage;

impl FromStr for Stage {
    type Err = UnknownStage;

    fn from_str(text: &str) -> Result<Self, UnknownStage> {
        let mut stages = Self::ALL.into_iter();
        stages
            .find(|stage| stage.name() == text)
            .ok_or(UnknownStage)
    }
}
