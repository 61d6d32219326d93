//! Waiting until a version is in force everywhere.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reqwest::Url;
use tokio::time::{Instant, sleep};
use types::report::Status;
use types::{Deadline, Version};

use crate::Failure;
use crate::admin::Admin;

/// Time between two questions to a reader. Summaries move up the tree once a second.
const INTERVAL: Duration = Duration::from_millis(200);

/// How far a version has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of live nodes.
    pub nodes: u64,
    /// Nodes known to hold the version or a later one.
    pub current: u64,
    /// Failure domains with a node that does not hold it.
    pub behind: Vec<String>,
    /// Ids of some nodes that do not hold it.
    pub lagging: Vec<String>,
    /// Longest time from publication to the last swap, in milliseconds.
    pub convergence_ms: u64,
}

impl Progress {
    /// Progress of `version` according to a reader's status.
    #[must_use]
    pub fn of(status: &Status, version: Version) -> Self {
        let mut progress = Self::default();
        for summary in &status.summaries {
            progress.nodes += u64::from(summary.nodes);
            progress.convergence_ms = progress.convergence_ms.max(summary.convergence_ms);
            if summary.lowest >= version.get() {
                progress.current += u64::from(summary.nodes);
                continue;
            }
            if summary.highest >= version.get() {
                progress.current += u64::from(summary.current);
            }
            progress
                .behind
                .push(format!("{}/{}", summary.region, summary.domain));
            progress.lagging.extend(summary.lagging.iter().cloned());
        }
        progress
    }

    /// Whether every node holds the version.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.nodes > 0 && self.behind.is_empty()
    }
}

impl Display for Progress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} nodes", self.current, self.nodes)?;
        if !self.behind.is_empty() {
            write!(f, "; behind: {}", self.behind.join(", "))?;
        }
        if !self.lagging.is_empty() {
            write!(f, "; for example {}", self.lagging.join(", "))?;
        }
        Ok(())
    }
}

/// Waits until every node holds `version` or a later one. `nodes` are admin ports, asked in turn;
/// `report` is called with each new state.
///
/// # Errors
///
/// Returns [`Failure::NotInForce`] when the deadline passes first.
pub async fn wait<R>(
    admin: &Admin,
    nodes: &[Url],
    version: Version,
    deadline: Deadline,
    mut report: R,
) -> Result<Progress, Failure>
where
    R: FnMut(&Progress),
{
    let mut state = "no node was asked".to_owned();
    let mut last = None;
    for node in nodes.iter().cycle() {
        match admin.reader_status(node).await {
            Ok(status) => {
                let progress = Progress::of(&status, version);
                if last.as_ref() != Some(&progress) {
                    report(&progress);
                }
                if progress.is_complete() {
                    return Ok(progress);
                }
                state = progress.to_string();
                last = Some(progress);
            }
            Err(failure) => state = failure.to_string(),
        }
        if deadline.has_passed(Instant::now()) {
            break;
        }
        sleep(INTERVAL.min(deadline.remaining(Instant::now()))).await;
    }
    Err(Failure::NotInForce { version, state })
}
