//! Roll-outs of new versions of services: one node drives them, all nodes follow their state, and those
//! beside the targets report what these answer.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use call::Failure;
use directory::{Change, Item, LeaseId, Revision, Update, WatchOptions};
use http::StatusCode;
use rollout::{Evidence, Order, Rollout, Sample, select_targets};
use route::Candidate;
use schema::codec;
use types::{BootTime, Fault, Outcome, id};

use crate::rollout_message;

/// How the state of roll-outs is followed. A missed change is noticed within the time in which a bad version
/// must be rolled back.
pub(crate) const STATE_WATCH_OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_millis(200),
    max_wait: Duration::from_secs(3),
    max_reader_wait: Duration::from_secs(3),
    first_watch_delay: Duration::from_millis(2400),
    relist_after_start: false,
    reread_on_change: false,
    list_stale_first: false,
    check_interval: None,
};

/// Interface to a platform's orders of roll-outs.
pub struct RolloutAdapter {
    /// Prefix of the keys of orders.
    pub order_prefix: String,
    /// Prefix of the keys under which the state is kept, one for each service.
    pub state_prefix: String,
    /// Decodes an order. Returns the reason when it is invalid.
    pub decode_order: Box<DecodeOrder>,
    /// Encodes what the operator reads, with its key; `None` while there is nothing to tell.
    pub encode_status: Box<EncodeStatus>,
}

type DecodeOrder = dyn Fn(&Item) -> Result<Order, String> + Send + Sync;

type EncodeStatus = dyn Fn(&Rollout) -> Option<(String, Vec<u8>)> + Send + Sync;

/// State of roll-outs as this node knows it.
pub struct Rollouts {
    /// Part of a service's requests that a version may get before it is known to be good; zero where there
    /// are no roll-outs.
    exposure: f64,
    states: Mutex<HashMap<id::Service, Known>>,
    /// Answers of the upstream beside this node during the present roll-out of its service.
    own: Mutex<Option<OwnEvidence>>,
    /// Newest reports of all nodes, at the node that drives.
    reports: Mutex<HashMap<id::Node, Report>>,
}

/// State of a roll-out, and when this node learned of it.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) rollout: Rollout,
    pub(crate) since: BootTime,
}

struct OwnEvidence {
    order: u64,
    evidence: Evidence,
}

/// Answers that a node has seen from its upstream.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) service: id::Service,
    pub(crate) order: u64,
    pub(crate) build: id::Build,
    pub(crate) evidence: Evidence,
}

impl Rollouts {
    pub(crate) fn new(exposure: f64) -> Self {
        Self {
            exposure,
            states: Mutex::default(),
            own: Mutex::default(),
            reports: Mutex::default(),
        }
    }

    /// Whether the deployment has roll-outs.
    pub(crate) fn is_enabled(&self) -> bool {
        self.exposure > 0.0
    }

    pub(crate) const fn exposure(&self) -> f64 {
        self.exposure
    }

    /// Leaves the targets of a service that a request may go to.
    pub(crate) fn select(&self, service: &id::Service, targets: Vec<Candidate>) -> Vec<Candidate> {
        if !self.is_enabled() {
            return targets;
        }
        let known = self.known(service);
        let rollout = known.as_ref().map(|known| &known.rollout);
        select_targets(targets, rollout, rand::random())
    }

    /// State of the roll-out of a service.
    pub(crate) fn known(&self, service: &id::Service) -> Option<Known> {
        lock(&self.states).get(service).cloned()
    }

    /// Applies an update of the stored states; returns whether it contained anything new.
    pub(crate) fn apply(&self, update: &Update) -> bool {
        let items: Vec<&Item> = match update {
            Update::Snapshot(items) => items.iter().collect(),
            Update::Changes(changes) => changes
                .iter()
                .filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                })
                .collect(),
        };
        let mut is_new = false;
        for item in items {
            match decode_state(&item.value) {
                Ok(rollout) => is_new |= self.learn(rollout),
                Err(reason) => {
                    log::warn!(key:% = item.key, reason:%; "invalid state of a roll-out ignored");
                }
            }
        }
        is_new
    }

    /// Takes over a state unless a later one is known; returns whether it is new.
    pub(crate) fn learn(&self, rollout: Rollout) -> bool {
        let mut states = lock(&self.states);
        let order = |rollout: &Rollout| (rollout.order, rollout.stage, rollout.elapsed);
        if let Some(known) = states.get(&rollout.service)
            && order(&known.rollout) >= order(&rollout)
        {
            return false;
        }
        log::info!(
            service:% = rollout.service, build:% = rollout.build, stage:% = rollout.stage,
            share:% = rollout.share, targets = rollout.trial_nodes.len();
            "roll-out has a new state"
        );
        // The order was written again, so that the answers so far still count.
        if let Some(known) = states.get(&rollout.service)
            && known.rollout.build == rollout.build
            && is_later_era(rollout.order, known.rollout.order)
            && let Some(own) = &mut *lock(&self.own)
            && own.order == known.rollout.order
        {
            own.order = rollout.order;
        }
        let known = Known {
            since: BootTime::now(),
            rollout,
        };
        states.insert(known.rollout.service.clone(), known);
        true
    }

    /// Counts an answer of the upstream beside this node.
    pub(crate) fn observe(
        &self,
        service: &id::Service,
        route: &id::Route,
        result: &Result<StatusCode, Failure>,
        elapsed: Duration,
    ) {
        let Some(is_failure) = classify(result) else {
            return;
        };
        let Some(known) = self.known(service) else {
            return;
        };
        if known.rollout.stage.is_final() {
            return;
        }
        let order = known.rollout.order;
        let mut own = lock(&self.own);
        let own = match &mut *own {
            Some(own) if own.order == order => own,
            other => other.insert(OwnEvidence {
                order,
                evidence: Evidence::default(),
            }),
        };
        let sample = Sample {
            elapsed,
            is_failure,
        };
        own.evidence.record(route, sample);
    }

    /// Answers of the upstream beside this node during the roll-out with an order.
    pub(crate) fn own_evidence(&self, order: u64) -> Option<Evidence> {
        let own = lock(&self.own);
        let own = own.as_ref().filter(|own| own.order == order);
        own.map(|own| own.evidence.clone())
    }

    /// Stores the newest report of a node.
    pub(crate) fn record_report(&self, node: id::Node, report: Report) {
        lock(&self.reports).insert(node, report);
    }

    /// Answers of the old and of the new targets of a roll-out, as far as they were reported.
    pub(crate) fn evidence(&self, rollout: &Rollout) -> (Evidence, Evidence) {
        let (mut old, mut new) = (Evidence::default(), Evidence::default());
        let reports = lock(&self.reports);
        let relevant = reports
            .values()
            .filter(|report| report.service == rollout.service && report.order == rollout.order);
        for report in relevant {
            if report.build == rollout.build {
                new.merge(&report.evidence);
            } else {
                old.merge(&report.evidence);
            }
        }
        (old, new)
    }

    /// Forgets reports of roll-outs that have ended.
    pub(crate) fn retain_reports(&self) {
        let states = lock(&self.states);
        let running: HashSet<u64> = states
            .values()
            .filter(|known| !known.rollout.stage.is_final())
            .map(|known| known.rollout.order)
            .collect();
        drop(states);
        lock(&self.reports).retain(|_, report| running.contains(&report.order));
    }

    /// States of all services.
    pub(crate) fn states(&self) -> Vec<Known> {
        lock(&self.states).values().cloned().collect()
    }
}

/// Whether the revision of an order is from a later era of the store than that of another one.
pub(crate) fn is_later_era(order: u64, other: u64) -> bool {
    Revision(order).era() > Revision(other).era()
}

/// Whether a run counts as a failure of the upstream; `None` if it says nothing about it.
fn classify(result: &Result<StatusCode, Failure>) -> Option<bool> {
    match result {
        // The time that was left is not the target's.
        Ok(StatusCode::GATEWAY_TIMEOUT) => None,
        Ok(status) => Some(status.is_server_error()),
        Err(failure) => {
            let is_at_fault = matches!(failure.fault, Fault::Service(_));
            (is_at_fault && failure.outcome == Outcome::Unknown).then_some(true)
        }
    }
}

/// Encodes a state for the store.
pub(crate) fn encode_state(prefix: &str, rollout: &Rollout) -> Result<Item, codec::Error> {
    let value = codec::encode(&rollout_message::encode_state(rollout))?;
    Ok(Item {
        key: format!("{prefix}{}", rollout.service),
        value: Bytes::from(value),
        revision: Revision::default(),
        lease: Some(LeaseId::NONE),
    })
}

pub(crate) fn decode_state(bytes: &[u8]) -> Result<Rollout, String> {
    let message = codec::decode(bytes).map_err(|error| error.to_string())?;
    rollout_message::decode_state(&message)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
