//! Task that drives the roll-outs while this node coordinates.
//!
//! The state of each roll-out is written under the condition that nobody else has changed it since it was
//! read. A node that believes that it still coordinates, though another one does, loses that race and
//! reads the state again; a final state is never replaced for the same order.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use directory::{Error, Item, LeaseId, ListRequest, Listing, Revision};
use member::State;
use rollout::{Order, Rollout, Situation, Stage, advance, base_build};
use tokio::time::{Instant, sleep, sleep_until};
use types::rate::Percent;
use types::{BootTime, id};

use crate::Node;
use crate::rollouts::{RolloutAdapter, decode_state, encode_state, is_later_era};

/// Time between two decisions on a roll-out.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time between two looks for orders while there is no roll-out.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks whether this node drives.
const ELECTION_INTERVAL: Duration = Duration::from_millis(700);

/// Time after a restore of the store from a copy for which a missing order does not count as withdrawn. The
/// copy may lack it, and the operator writes it again.
const LOST_ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Drives the roll-outs while this node coordinates. Runs until the future is dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(adapter) = &node.adapter.rollouts else {
        return;
    };
    loop {
        sleep(ELECTION_INTERVAL).await;
        if !is_elected(&node) || !node.is_ready() {
            continue;
        }
        let mut driver = Driver::new(&node, adapter);
        log::info!("driving the roll-outs");
        while is_elected(&node) {
            let started_at = Instant::now();
            if let Err(error) = driver.step().await {
                log::warn!(reason:% = error; "roll-outs cannot be driven now");
                driver.revisions.clear();
            }
            sleep_until(started_at + interval(&node)).await;
        }
        log::info!("no longer driving the roll-outs");
    }
}

/// Time between two decisions.
fn interval(node: &Node) -> Duration {
    let states = node.rollouts.states();
    let is_running = states.iter().any(|known| !known.rollout.stage.is_final());
    if is_running { INTERVAL } else { IDLE_INTERVAL }
}

fn is_elected(node: &Node) -> bool {
    let elected = node.directory.elect(&HashMap::new());
    !node.is_draining() && elected.is_some_and(|(elected, _)| elected == node.locality.node)
}

struct Driver<'a> {
    node: &'a Node,
    adapter: &'a RolloutAdapter,
    /// Revisions of the keys that this node writes, as it knows them.
    revisions: HashMap<String, Revision>,
    /// Statuses that the store has.
    statuses: HashMap<String, Vec<u8>>,
    /// Whether all known roll-outs have ended and their statuses are written.
    is_settled: bool,
    /// Era of the store, and when this node first read it.
    era: Option<(u64, Instant)>,
}

impl<'a> Driver<'a> {
    fn new(node: &'a Node, adapter: &'a RolloutAdapter) -> Self {
        Self {
            node,
            adapter,
            revisions: HashMap::new(),
            statuses: HashMap::new(),
            is_settled: false,
            era: None,
        }
    }

    /// Reads the orders and the states, and takes the next decision on each.
    async fn step(&mut self) -> Result<(), Error> {
        let orders = self.read_orders().await?;
        if orders.is_empty() && self.node.rollouts.states().is_empty() {
            return Ok(());
        }
        let is_decided = |order: &Order| {
            let known = self.node.rollouts.known(&order.service);
            known.is_some_and(|known| {
                known.rollout.order >= order.revision && known.rollout.stage.is_final()
            })
        };
        // Everything is decided and told.
        if self.is_settled && orders.values().all(is_decided) {
            return Ok(());
        }
        self.is_settled = false;
        self.read_states().await?;
        for order in orders.values() {
            self.accept(order).await?;
        }
        for known in self.node.rollouts.states() {
            let order = orders.get(&known.rollout.service);
            // The order counts as withdrawn otherwise.
            let is_waiting = order.map_or_else(
                || self.may_be_lost(&known.rollout),
                |order| is_written_again(order, &known.rollout),
            );
            if is_waiting {
                continue;
            }
            let in_stage = known.since.age(BootTime::now());
            if let Some((next, reason)) = self.decide(&known.rollout, order, in_stage) {
                self.write_state(next, &reason).await?;
            }
        }
        self.node.rollouts.retain_reports();
        for known in self.node.rollouts.states() {
            self.write_status(&known.rollout).await?;
        }
        let states = self.node.rollouts.states();
        self.is_settled = states.iter().all(|known| known.rollout.stage.is_final());
        Ok(())
    }

    /// Whether a roll-out may miss its order only because the store was restored from a copy.
    fn may_be_lost(&self, rollout: &Rollout) -> bool {
        self.era.is_some_and(|(era, since)| {
            Revision(rollout.order).era() < era && since.elapsed() < LOST_ORDER_TIMEOUT
        })
    }

    async fn read_orders(&mut self) -> Result<BTreeMap<id::Service, Order>, Error> {
        let listing = self.list(&self.adapter.order_prefix).await?;
        let era = listing.revision.era();
        if self.era.is_none_or(|(known, _)| known < era) {
            self.era = Some((era, Instant::now()));
            // The store may have lost what this node has written.
            self.statuses.clear();
            self.is_settled = false;
        }
        let orders = listing.items.iter().filter_map(|item| {
            match (self.adapter.decode_order)(item) {
                Ok(order) => Some((order.service.clone(), order)),
                Err(reason) => {
                    log::warn!(key:% = item.key, reason:%; "invalid order of a roll-out ignored");
                    None
                }
            }
        });
        Ok(orders.collect())
    }

    async fn read_states(&mut self) -> Result<(), Error> {
        for item in self.list(&self.adapter.state_prefix).await?.items {
            self.revisions.insert(item.key.clone(), item.revision);
            if let Ok(rollout) = decode_state(&item.value) {
                self.node.rollouts.learn(rollout);
            }
        }
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            allow_stale: false,
        };
        (self.node.adapter.backend.list)(request).await
    }

    /// Begins the roll-out of an order that has no state yet, or goes on with one whose order was written
    /// again.
    async fn accept(&mut self, order: &Order) -> Result<(), Error> {
        let known = self.node.rollouts.known(&order.service);
        if let Some(known) = known {
            if known.rollout.order >= order.revision {
                return Ok(());
            }
            if is_written_again(order, &known.rollout) {
                let rollout = Rollout {
                    order: order.revision,
                    elapsed: known.rollout.elapsed + known.since.age(BootTime::now()),
                    ..known.rollout
                };
                return self.write_state(rollout, "order written again").await;
            }
        }
        let rollout = Rollout {
            service: order.service.clone(),
            build: order.build.clone(),
            order: order.revision,
            stage: Stage::Waiting,
            elapsed: Duration::ZERO,
            share: Percent::default(),
            trial_nodes: Vec::new(),
        };
        self.write_state(rollout, "ordered").await
    }

    fn decide(
        &self,
        rollout: &Rollout,
        order: Option<&Order>,
        in_stage: Duration,
    ) -> Option<(Rollout, String)> {
        let targets = self.node.directory.records_of(&rollout.service);
        let builds = targets.iter().filter_map(|record| record.build.as_ref());
        let base = base_build(builds, Some(rollout));
        let is_ready = |state: State| state == State::Ready;
        let old = targets.iter().filter(|record| record.build == base);
        let new = targets
            .iter()
            .filter(|record| record.build.as_ref() == Some(&rollout.build));
        let mut new_targets: Vec<id::Node> = new
            .filter(|record| is_ready(record.state))
            .map(|record| record.id.clone())
            .collect();
        new_targets.sort();
        let (old_evidence, new_evidence) = self.node.rollouts.evidence(rollout);
        let situation = Situation {
            in_stage,
            old_targets: old.filter(|record| is_ready(record.state)).count(),
            new_targets: &new_targets,
            old: &old_evidence,
            new: &new_evidence,
            exposure: self.node.rollouts.exposure(),
        };
        let next = advance(rollout, order, &situation);
        if let Some((state, reason)) = &next {
            log::info!(
                service:% = rollout.service, build:% = rollout.build, stage:% = state.stage,
                reason = reason.as_str(), old_answers = old_evidence.answers(),
                new_answers = new_evidence.answers(), new_targets = new_targets.len();
                "roll-out decided"
            );
        }
        next
    }

    async fn write_state(&mut self, rollout: Rollout, reason: &str) -> Result<(), Error> {
        let item = encode_state(&self.adapter.state_prefix, &rollout)
            .map_err(|error| Error::Invalid(error.to_string()))?;
        match self.write(item).await {
            Ok(()) => {
                log::info!(
                    service:% = rollout.service, stage:% = rollout.stage, reason;
                    "state of a roll-out written"
                );
                self.node.rollouts.learn(rollout);
                Ok(())
            }
            // Another node has decided; its state is read with the next step.
            Err(Error::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Writes what the operator reads, unless the store has it.
    async fn write_status(&mut self, rollout: &Rollout) -> Result<(), Error> {
        let Some((key, value)) = (self.adapter.encode_status)(rollout) else {
            return Ok(());
        };
        if self.statuses.get(&key) == Some(&value) {
            return Ok(());
        }
        let item = Item {
            key: key.clone(),
            value: Bytes::from(value.clone()),
            revision: Revision::default(),
            lease: None,
        };
        match self.write(item.clone()).await {
            Ok(()) => {}
            Err(Error::Conflict(_)) => self.write(item).await?,
            Err(error) => return Err(error),
        }
        self.statuses.insert(key, value);
        Ok(())
    }

    /// Writes an item if it has the revision that this node knows, and remembers the new one.
    async fn write(&mut self, item: Item) -> Result<(), Error> {
        let key = item.key.clone();
        let known = self.revisions.get(&key).copied().unwrap_or_default();
        let result = (self.node.adapter.backend.put)((item, LeaseId::NONE, known)).await;
        match result {
            Ok(revision) | Err(Error::Conflict(revision)) => {
                self.revisions.insert(key, revision);
            }
            Err(_) => {}
        }
        result.map(drop)
    }
}

/// Whether an order is the one of a roll-out, written again after a restore of the store from a copy.
fn is_written_again(order: &Order, rollout: &Rollout) -> bool {
    order.build == rollout.build && is_later_era(order.revision, rollout.order)
}
