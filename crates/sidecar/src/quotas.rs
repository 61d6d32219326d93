//! Quotas of tenants over all nodes: each node reports what it takes to one coordinator, which answers with
//! the shares that all nodes apply.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use directory::FAILURE_MEMORY;
use schema::quota as message;
use schema::quota::{QuotaMessage, Report, Shares, quota_message::Kind};
use tenant::{
    Coordinator, Meter, REPORT_INTERVAL, REPORT_TIMEOUT, Refusal, Registry, Tenant, Usage,
};
use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use types::rate::Share;
use types::{Deadline, id};
use wire::{Connection, Stream};

use crate::{Configuration, Node};

/// Timeout for connecting to the coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which the coordinator answers a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks whether another node coordinates now.
const ELECTION_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a node that does not coordinate yet is chosen after the others only. It is short, so that the
/// nodes soon choose the same one after a common start.
const UNSETTLED_MEMORY: Duration = Duration::from_secs(1);

/// Delay before a node that does not know the others yet looks for a coordinator again.
const UNSETTLED_RETRY_DELAY: Duration = Duration::from_millis(750);

/// Reason why the exchange with a coordinator has ended.
#[derive(Debug, Error)]
enum EndReason {
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("the node does not coordinate yet")]
    Ended,
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error("no answer")]
    Timeout,
    #[error("another node coordinates")]
    Replaced,
}

/// Quotas as this node applies them, and as it coordinates them for others.
pub struct Quotas {
    meter: Mutex<Meter>,
    coordinator: Mutex<Coordinator>,
}

impl Quotas {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            meter: Mutex::new(Meter::new(now)),
            coordinator: Mutex::default(),
        }
    }

    /// Counts a request of a tenant against its quota.
    pub(crate) fn take(&self, tenant: &Tenant, now: Instant) -> Result<(), Refusal> {
        match tenant.quota {
            Some(quota) => self.meter().take(&tenant.name, quota, rand::random(), now),
            None => Ok(()),
        }
    }

    /// Gives back what was counted for a request that did not run.
    pub(crate) fn give_back(&self, tenant: &Tenant) {
        if tenant.quota.is_some() {
            self.meter().give_back(&tenant.name);
        }
    }

    /// Number of tenants of which only a share is taken.
    pub(crate) fn limited_tenants(&self) -> usize {
        self.meter().limited_tenants(Instant::now())
    }

    /// Number of nodes that report to this one.
    pub(crate) fn reporters(&self) -> usize {
        self.coordinator().reporters()
    }

    fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a report to what this node coordinates and returns the shares of all nodes.
    fn coordinate(
        &self,
        reporter: &id::Node,
        usages: &[Usage],
        registry: &Registry,
        fleet: usize,
    ) -> Vec<(id::Tenant, Share)> {
        let now = Instant::now();
        let mut coordinator = self.coordinator();
        coordinator.record(reporter, usages, now);
        coordinator.shares(registry, fleet, now)
    }
}

/// Reports the usage of this node while the configuration has quotas. Runs until the future is dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let mut avoided = HashMap::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        if tenant_configuration(&node).is_none_or(|config| !has_quotas(&config)) {
            continue;
        }
        update_fleet(&node);
        let Some((coordinator, address)) = node.directory.elect_settled(&avoided) else {
            continue;
        };
        let nodes = node.directory.node_count();
        log::info!(coordinator:% = coordinator, nodes; "reporting the usage of tenants");
        let Err(reason) = if coordinator == node.locality.node {
            report_to_self(&node, &avoided).await
        } else {
            report_to(&node, &coordinator, address, &avoided).await
        };
        log::info!(coordinator:% = coordinator, reason:%; "no longer reporting the usage of tenants");
        let memory = match reason {
            EndReason::Replaced => continue,
            EndReason::Ended => UNSETTLED_MEMORY,
            _ => FAILURE_MEMORY,
        };
        avoided.insert(coordinator, Deadline::after(memory));
        // After a common start, probably none of the nodes coordinates yet.
        if !node.directory.is_settled() {
            sleep(UNSETTLED_RETRY_DELAY).await;
        }
    }
}

/// Tells the meter the number of nodes, once it is known.
fn update_fleet(node: &Node) {
    if node.directory.is_settled() {
        node.quotas.meter().set_fleet(node.directory.node_count());
    }
}

/// Configuration with tenants; `None` where there are none.
fn tenant_configuration(node: &Node) -> Option<Arc<Configuration>> {
    let config = node.config_watcher.current()?;
    config.tenants.is_some().then_some(config)
}

fn has_quotas(config: &Configuration) -> bool {
    let tenants = config.tenants.as_ref();
    tenants.is_some_and(|tenants| tenants.registry.has_quotas())
}

/// Checks at intervals whether the same node still coordinates.
struct Election {
    next_check: Instant,
}

impl Election {
    fn new() -> Self {
        Self {
            next_check: Instant::now() + ELECTION_INTERVAL,
        }
    }

    fn check(
        &mut self,
        node: &Node,
        current: &id::Node,
        avoided: &HashMap<id::Node, Deadline>,
    ) -> Result<(), EndReason> {
        let now = Instant::now();
        if now < self.next_check {
            return Ok(());
        }
        self.next_check = now + ELECTION_INTERVAL;
        update_fleet(node);
        match node.directory.elect_settled(avoided) {
            Some((elected, _)) if elected == *current => Ok(()),
            _ => Err(EndReason::Replaced),
        }
    }
}

async fn report_to_self(
    node: &Node,
    avoided: &HashMap<id::Node, Deadline>,
) -> Result<std::convert::Infallible, EndReason> {
    let own = node.locality.node.clone();
    let mut election = Election::new();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        election.check(node, &own, avoided)?;
        let config = tenant_configuration(node).ok_or(EndReason::Replaced)?;
        let Some(tenants) = &config.tenants else {
            return Err(EndReason::Replaced);
        };
        let sent_at = Instant::now();
        let usages = start_report(node, &tenants.registry, sent_at);
        let fleet = node.directory.node_count();
        let shares = node
            .quotas
            .coordinate(&own, &usages, &tenants.registry, fleet);
        node.quotas.meter().apply(shares, sent_at);
    }
}

async fn report_to(
    node: &Node,
    coordinator: &id::Node,
    address: SocketAddr,
    avoided: &HashMap<id::Node, Deadline>,
) -> Result<std::convert::Infallible, EndReason> {
    let connection = Connection::connect(address, Deadline::after(CONNECT_TIMEOUT)).await?;
    let Stream {
        mut sender,
        mut receiver,
    } = connection.open(wire::Kind::Quota).await?;
    let mut election = Election::new();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        election.check(node, coordinator, avoided)?;
        let config = tenant_configuration(node).ok_or(EndReason::Replaced)?;
        let Some(tenants) = &config.tenants else {
            return Err(EndReason::Replaced);
        };
        let sent_at = Instant::now();
        let usages = start_report(node, &tenants.registry, sent_at);
        let report = encode_report(&node.locality.node, &usages);
        let exchange = async {
            sender.send(&wrap(Kind::Report(report))).await?;
            receive_shares(&mut receiver).await
        };
        let answer = timeout(ANSWER_TIMEOUT, exchange).await;
        match answer.unwrap_or(Err(EndReason::Timeout)) {
            Ok(shares) => node.quotas.meter().apply(shares, sent_at),
            Err(reason) => {
                // The next coordinator needs to know what this node has taken.
                node.quotas.meter().restore(usages);
                return Err(reason);
            }
        }
    }
}

fn start_report(node: &Node, registry: &Registry, now: Instant) -> Vec<Usage> {
    let mut meter = node.quotas.meter();
    meter.retain(registry);
    meter.report(now)
}

async fn receive_shares(
    receiver: &mut wire::Receiver,
) -> Result<Vec<(id::Tenant, Share)>, EndReason> {
    let answer = receiver.recv::<QuotaMessage>().await?;
    match answer.ok_or(EndReason::Ended)?.message.kind {
        Some(Kind::Shares(shares)) => Ok(decode_shares(shares)),
        _ => Err(EndReason::UnexpectedMessage),
    }
}

/// Serves a stream on which another node reports its usage, until the stream ends.
pub(crate) async fn serve(node: &Node, stream: Stream) {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    while let Ok(Ok(Some(received))) =
        timeout(2 * REPORT_TIMEOUT, receiver.recv::<QuotaMessage>()).await
    {
        let Some(Kind::Report(report)) = received.message.kind else {
            break;
        };
        let Some((reporter, usages)) = decode_report(report) else {
            break;
        };
        // A node that does not know the others would hand out more than their part of the quotas. The stream
        // ends without an error, which tells the other node that this one does not coordinate yet.
        if !node.directory.is_settled() {
            if sender.finish().is_ok() {
                return;
            }
            break;
        }
        // A node without a configuration cannot coordinate.
        let Some(config) = tenant_configuration(node) else {
            break;
        };
        let Some(tenants) = &config.tenants else {
            break;
        };
        let fleet = node.directory.node_count();
        let shares = node
            .quotas
            .coordinate(&reporter, &usages, &tenants.registry, fleet);
        let answer = wrap(Kind::Shares(encode_shares(shares)));
        if sender.send(&answer).await.is_err() {
            break;
        }
    }
    sender.reset();
}

fn wrap(kind: Kind) -> QuotaMessage {
    QuotaMessage { kind: Some(kind) }
}

fn encode_report(node: &id::Node, usages: &[Usage]) -> Report {
    let usages = usages.iter().map(|usage| message::Usage {
        tenant: usage.tenant.to_string(),
        taken: usage.taken,
        arrived: usage.arrived,
    });
    Report {
        node: node.to_string(),
        usages: usages.collect(),
    }
}

/// Decodes a report; `None` if a name is invalid.
fn decode_report(report: Report) -> Option<(id::Node, Vec<Usage>)> {
    let usages = report.usages.into_iter().map(|usage| {
        Some(Usage {
            tenant: usage.tenant.parse().ok()?,
            taken: usage.taken,
            arrived: usage.arrived,
        })
    });
    let usages: Option<Vec<Usage>> = usages.collect();
    Some((report.node.parse().ok()?, usages?))
}

fn encode_shares(shares: Vec<(id::Tenant, Share)>) -> Shares {
    let shares = shares.into_iter().map(|(tenant, share)| message::Share {
        tenant: tenant.to_string(),
        millionths: share.millionths(),
    });
    Shares {
        shares: shares.collect(),
    }
}

/// Decodes shares; those of invalid names are ignored.
fn decode_shares(shares: Shares) -> Vec<(id::Tenant, Share)> {
    let shares = shares.shares.into_iter();
    shares
        .filter_map(|share| {
            let tenant = share.tenant.parse().ok()?;
            Some((tenant, Share::from_millionths(share.millionths)))
        })
        .collect()
}
