//! Conversions between the messages of the schema and the types of [`rollout`].

use std::time::Duration;

use rollout::{Evidence, Rollout, Stage};
use schema::rollout as message;
use types::id;
use types::rate::Percent;

use crate::rollouts::Report;

pub(crate) fn encode_state(rollout: &Rollout) -> message::State {
    message::State {
        service: rollout.service.to_string(),
        build: rollout.build.to_string(),
        order: rollout.order,
        stage: encode_stage(rollout.stage).into(),
        elapsed_ms: millis(rollout.elapsed),
        share_percent: rollout.share.get(),
        trial_nodes: rollout
            .trial_nodes
            .iter()
            .map(id::Node::to_string)
            .collect(),
    }
}

pub(crate) fn decode_state(state: &message::State) -> Result<Rollout, String> {
    let invalid = |error: id::Invalid| error.to_string();
    let nodes = state.trial_nodes.iter().map(|node| node.parse());
    Ok(Rollout {
        service: state.service.parse().map_err(invalid)?,
        build: state.build.parse().map_err(invalid)?,
        order: state.order,
        stage: decode_stage(state.stage).ok_or("unknown stage")?,
        elapsed: Duration::from_millis(state.elapsed_ms),
        share: Percent::new(state.share_percent),
        trial_nodes: nodes.collect::<Result<_, _>>().map_err(invalid)?,
    })
}

pub(crate) fn encode_report(node: &id::Node, report: &Report) -> message::EvidenceReport {
    let routes = report.evidence.routes().map(|(route, tally)| {
        let times = tally.times();
        message::RouteTally {
            route: route.to_string(),
            failures: tally.failures,
            times: times
                .map(|(time_ms, count)| message::TimeCount { time_ms, count })
                .collect(),
        }
    });
    message::EvidenceReport {
        node: node.to_string(),
        service: report.service.to_string(),
        order: report.order,
        build: report.build.to_string(),
        routes: routes.collect(),
    }
}

/// Decodes a report; `None` if a name is invalid.
pub(crate) fn decode_report(message: message::EvidenceReport) -> Option<(id::Node, Report)> {
    let mut evidence = Evidence::default();
    for tally in message.routes {
        let times = tally.times.into_iter();
        let times = times.map(|entry| (entry.time_ms, entry.count));
        evidence.add(&tally.route.parse().ok()?, tally.failures, times);
    }
    let report = Report {
        service: message.service.parse().ok()?,
        order: message.order,
        build: message.build.parse().ok()?,
        evidence,
    };
    Some((message.node.parse().ok()?, report))
}

const fn encode_stage(stage: Stage) -> message::Stage {
    match stage {
        Stage::Waiting => message::Stage::Waiting,
        Stage::Trial => message::Stage::Trial,
        Stage::Switched => message::Stage::Switched,
        Stage::Completed => message::Stage::Completed,
        Stage::RolledBack => message::Stage::RolledBack,
    }
}

fn decode_stage(number: i32) -> Option<Stage> {
    Some(match message::Stage::try_from(number).ok()? {
        message::Stage::Waiting => Stage::Waiting,
        message::Stage::Trial => Stage::Trial,
        message::Stage::Switched => Stage::Switched,
        message::Stage::Completed => Stage::Completed,
        message::Stage::RolledBack => Stage::RolledBack,
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
