use std::collections::BTreeMap;

use route::Candidate;
use types::id;

use crate::{Rollout, Stage};

/// Leaves the targets of a service that a request may go to. `draw` is a random number from 0 to 1.
///
/// Targets whose build no roll-out has brought in get no requests; those without a known build count as
/// old ones. When the new targets are to get a request and there are none, the old ones get it.
#[must_use]
pub fn select_targets(
    candidates: Vec<Candidate>,
    rollout: Option<&Rollout>,
    draw: f64,
) -> Vec<Candidate> {
    let builds = candidates
        .iter()
        .filter_map(|candidate| candidate.build.as_ref());
    let base = base_build(builds, rollout);
    let is_base = |candidate: &Candidate| candidate.build.is_none() || candidate.build == base;
    let new_targets: Vec<_> = match rollout {
        Some(rollout) => candidates
            .iter()
            .filter(|candidate| is_new_target(candidate, rollout, draw))
            .cloned()
            .collect(),
        None => Vec::new(),
    };
    if new_targets.is_empty() {
        candidates.into_iter().filter(is_base).collect()
    } else {
        new_targets
    }
}

/// Whether a new target may get the request with this draw.
fn is_new_target(candidate: &Candidate, rollout: &Rollout, draw: f64) -> bool {
    let is_new = candidate.build.as_ref() == Some(&rollout.build);
    match rollout.stage {
        Stage::Trial => {
            is_new
                && draw < rollout.share.fraction()
                && rollout.trial_nodes.contains(&candidate.node)
        }
        Stage::Switched | Stage::Completed => is_new,
        Stage::Waiting | Stage::RolledBack => false,
    }
}

/// Build of the targets that serve beside a roll-out: that of most targets, less the one that a roll-out is
/// to bring in. `None` if no target has a known build.
#[must_use]
pub fn base_build<'a, I>(builds: I, rollout: Option<&Rollout>) -> Option<id::Build>
where
    I: Iterator<Item = &'a id::Build>,
{
    let mut counts: BTreeMap<&id::Build, usize> = BTreeMap::new();
    for build in builds {
        *counts.entry(build).or_default() += 1;
    }
    let completed = rollout.filter(|rollout| rollout.stage == Stage::Completed);
    if let Some(rollout) = completed
        && counts.contains_key(&rollout.build)
    {
        return Some(rollout.build.clone());
    }
    if let Some(rollout) = rollout {
        counts.remove(&rollout.build);
    }
    let most = counts
        .into_iter()
        .max_by_key(|(build, count)| (*count, std::cmp::Reverse(*build)));
    most.map(|(build, _)| build.clone())
}
