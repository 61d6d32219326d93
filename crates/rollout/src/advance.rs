use std::time::Duration;

use types::id;
use types::rate::Percent;

use crate::{Evidence, Order, Rollout, Stage, Verdict, judge};

/// Part of the allowed exposure that the trial uses. Retries and requests that are counted differently
/// have room in the rest.
const SHARE_RATIO: f64 = 0.7;

/// Load of a trial target relative to that of the others. A build that fails under load only must show
/// it before it gets all requests.
const TRIAL_LOAD: f64 = 1.4;

/// Part of an order's duration after which the traffic is switched to a good build.
const SWITCH_RATIO: f64 = 0.6;

/// Part of an order's duration after which the traffic is switched to a build that is good as far as its few
/// answers tell.
const LATE_SWITCH_RATIO: f64 = 0.68;

/// Part of an order's duration after which a build that cannot be judged is rolled back.
const DECISION_RATIO: f64 = 0.8;

/// Time for which the old targets finish their requests after the switch. It includes the time until all
/// nodes know of the switch.
const FINISH_TIME: Duration = Duration::from_millis(3200);

/// What the node that drives a roll-out knows now.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// Time since the present stage was noticed.
    pub in_stage: Duration,
    /// Ready targets of the old build.
    pub old_targets: usize,
    /// Nodes beside the ready targets of the new build.
    pub new_targets: &'a [id::Node],
    /// Answers of the old targets since the trial began.
    pub old: &'a Evidence,
    /// Answers of the new targets since the trial began.
    pub new: &'a Evidence,
    /// Share of the service's requests that a bad build may get.
    pub exposure: f64,
}

/// Computes the state that follows; `None` while it stays. Returns the reason with it.
#[must_use]
pub fn advance(
    rollout: &Rollout,
    order: Option<&Order>,
    situation: &Situation<'_>,
) -> Option<(Rollout, String)> {
    if rollout.stage.is_final() {
        return None;
    }
    let Some(order) = order.filter(|order| order.revision == rollout.order) else {
        return Some(enter(
            rollout,
            Stage::RolledBack,
            situation,
            "order withdrawn",
        ));
    };
    let elapsed = rollout.elapsed + situation.in_stage;
    let is_after = |ratio: f64| elapsed >= order.duration.mul_f64(ratio);
    match (rollout.stage, judge(situation.old, situation.new)) {
        (Stage::Trial | Stage::Switched, Verdict::Bad(fault)) => Some(enter(
            rollout,
            Stage::RolledBack,
            situation,
            &fault.to_string(),
        )),
        (Stage::Waiting, _) if !situation.new_targets.is_empty() && !is_after(SWITCH_RATIO) => {
            Some(start_trial(rollout, situation))
        }
        (Stage::Waiting, _) if is_after(DECISION_RATIO) => {
            let reason = "no targets of the new version in time";
            Some(enter(rollout, Stage::RolledBack, situation, reason))
        }
        (Stage::Trial, _) if situation.new_targets.is_empty() => {
            let reason = "the targets of the new version are gone";
            Some(enter(rollout, Stage::RolledBack, situation, reason))
        }
        (Stage::Trial, Verdict::Good) if is_after(SWITCH_RATIO) => Some(enter(
            rollout,
            Stage::Switched,
            situation,
            "as good as the old version",
        )),
        (Stage::Trial, Verdict::Plausible) if is_after(LATE_SWITCH_RATIO) => {
            let reason = "as good as the old version, from few answers";
            Some(enter(rollout, Stage::Switched, situation, reason))
        }
        (Stage::Trial, Verdict::Undecided) if is_after(DECISION_RATIO) => {
            let reason = "too few answers to judge the new version";
            Some(enter(rollout, Stage::RolledBack, situation, reason))
        }
        (Stage::Switched, _) if situation.in_stage >= FINISH_TIME => Some(enter(
            rollout,
            Stage::Completed,
            situation,
            "the old targets are idle",
        )),
        (Stage::Trial, _) if misses_trial_nodes(rollout, situation) => {
            Some(start_trial(rollout, situation))
        }
        _ => None,
    }
}

/// Whether all trial targets are gone.
fn misses_trial_nodes(rollout: &Rollout, situation: &Situation<'_>) -> bool {
    let is_left = |node: &id::Node| situation.new_targets.contains(node);
    !rollout.trial_nodes.iter().any(is_left)
}

fn enter(
    rollout: &Rollout,
    stage: Stage,
    situation: &Situation<'_>,
    reason: &str,
) -> (Rollout, String) {
    let next = Rollout {
        stage,
        elapsed: rollout.elapsed + situation.in_stage,
        ..rollout.clone()
    };
    (next, reason.to_owned())
}

/// Starts the trial on so few new targets that each has somewhat more to do than an old one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "shares are below one and targets are few"
)]
fn start_trial(rollout: &Rollout, situation: &Situation<'_>) -> (Rollout, String) {
    let share = situation.exposure * SHARE_RATIO;
    let count = (share * situation.old_targets as f64 / TRIAL_LOAD).round() as usize;
    let count = count.clamp(1, situation.new_targets.len().max(1));
    let (next, reason) = enter(rollout, Stage::Trial, situation, "targets are ready");
    let next = Rollout {
        // A single target gets no more than its part even if there are few others.
        share: Percent::new((share * 100.0) as u32),
        trial_nodes: situation.new_targets.iter().take(count).cloned().collect(),
        ..next
    };
    (next, reason)
}
