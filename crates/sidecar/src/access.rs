//! Access of callers: the tenant of a key, and what a request of it may do.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use call::{Failure, Guard};
use http::request::Parts;
use http::{HeaderMap, StatusCode, header};
use route::Plan;
use tenant::{Excess, Key, Refusal, Tenant};
use tokio::time::Instant;
use types::{BootTime, id};

use crate::{Configuration, Node, Tenants};

/// Part of the time for the revocation of a key that is kept in reserve for a request on its way to its
/// target.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Time after which a caller retries when the configuration of this node is not confirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a caller retries when this node does not know the other nodes yet. A coordinator that
/// does answers within this time.
const QUOTA_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of the check of a request, by which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Admitted,
    UnknownKey,
    Unconfirmed,
    OverQuota,
    QuotaUnknown,
}

impl Verdict {
    /// Label in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::UnknownKey => "unknown-key",
            Self::Unconfirmed => "unconfirmed",
            Self::OverQuota => "over-quota",
            Self::QuotaUnknown => "quota-unknown",
        }
    }
}

/// What was found out about a request before its route is known.
pub(crate) struct Access {
    /// What the request charges to the quota of its tenant, if it has one.
    pub(crate) charge: Option<Charge>,
    /// Decides on the request when its route is known.
    pub(crate) guard: Box<Guard>,
}

/// Who sends a request.
#[derive(Clone, Debug)]
enum Sender {
    /// Holder of the key that the request carries.
    Tenant(Charge),
    /// Upstream of this instance, whose own calls carry no key.
    Upstream,
    /// The request carries no key that the configuration contains.
    Unknown,
}

/// What a request charges to the quota of its tenant once it is admitted.
#[derive(Clone, Debug)]
pub(crate) struct Charge {
    tenant: Arc<Tenant>,
    is_taken: Arc<AtomicBool>,
}

impl Charge {
    fn new(tenant: &Arc<Tenant>) -> Self {
        Self {
            tenant: Arc::clone(tenant),
            is_taken: Arc::default(),
        }
    }

    fn take(&self, node: &Node) -> Result<(), Refusal> {
        node.quotas.take(&self.tenant, Instant::now())?;
        self.is_taken.store(true, Ordering::Release);
        Ok(())
    }

    /// Gives back what a request has taken that did not run.
    pub(crate) fn give_back(&self, node: &Node) {
        if self.is_taken.swap(false, Ordering::AcqRel) {
            node.quotas.give_back(&self.tenant);
        }
    }
}

/// Identifies the sender of a request, replaces the key in the headers by the name of the tenant, and
/// returns the decision to take when the route is known. Returns `None` where there are no tenants.
pub(crate) fn build_guard(
    node: &Arc<Node>,
    request: &id::Request,
    head: &Parts,
    headers: &mut HeaderMap,
) -> Option<Access> {
    let config = node.config_watcher.current()?;
    let tenants = config.tenants.as_ref()?;
    let key = (node.adapter.read_key)(head);
    headers.remove(header::AUTHORIZATION);
    let found = key.and_then(|key| tenants.registry.find(Key::new(&key)));
    let name = found.map_or("", |tenant| tenant.name.as_str());
    (node.adapter.set_tenant)(name, headers);
    let charge = found.map(Charge::new);
    let sender = match &charge {
        Some(charge) => Sender::Tenant(charge.clone()),
        None if !head.headers.contains_key(header::AUTHORIZATION)
            && is_own_upstream(node, head) =>
        {
            Sender::Upstream
        }
        None => Sender::Unknown,
    };
    let (node, config, request) = (Arc::clone(node), Arc::clone(&config), request.clone());
    let guard = Box::new(move |plan: &Plan| decide(&node, &config, &request, &sender, plan));
    Some(Access { charge, guard })
}

/// Whether a request comes from the instance of this node, where only its upstream runs.
fn is_own_upstream(node: &Node, head: &Parts) -> bool {
    let peer = head.extensions.get::<front::Peer>();
    let own = node.settings.load().upstream.address.parse();
    matches!((peer, own), (Some(peer), Ok::<std::net::SocketAddr, _>(own)) if peer.0.ip() == own.ip())
}

/// Decides whether a request may take its route; returns the priority of its tenant.
fn decide(
    node: &Node,
    config: &Configuration,
    request: &id::Request,
    sender: &Sender,
    plan: &Plan,
) -> Result<Option<u32>, Failure> {
    let Some(tenants) = &config.tenants else {
        return Ok(None);
    };
    let is_public = tenants.is_public(plan);
    let charge = match sender {
        Sender::Upstream => return Ok(None),
        Sender::Unknown if is_public => return Ok(None),
        Sender::Tenant(charge) => Some(charge),
        Sender::Unknown => None,
    };
    // A key that is not known may be in a version that this node has not read yet.
    if !is_public {
        check_confirmed(node, request)?;
    }
    let Some(charge) = charge else {
        refuse(node, request, Verdict::UnknownKey, "");
        return Err(Failure::caller(StatusCode::UNAUTHORIZED, "unknown API key"));
    };
    match charge.take(node) {
        Ok(()) => {}
        Err(Refusal::OverQuota(excess)) => {
            let details = format!(
                "{} share {} isolated {}",
                charge.tenant.name, excess.share, excess.is_isolated
            );
            refuse(node, request, Verdict::OverQuota, &details);
            return Err(over_quota(excess));
        }
        Err(Refusal::FleetUnknown) => {
            let details = charge.tenant.name.as_str();
            refuse(node, request, Verdict::QuotaUnknown, details);
            let failure = Failure::mesh("share of the quota is not known yet");
            return Err(failure.with_retry_after(QUOTA_UNKNOWN_RETRY_AFTER));
        }
    }
    node.metrics.tenants.record(Verdict::Admitted);
    Ok(charge.tenant.priority)
}

/// Checks that no key can have been removed so long ago that it must not be accepted any more.
fn check_confirmed(node: &Node, request: &id::Request) -> Result<(), Failure> {
    let Some(max_age) = max_age(node) else {
        return Ok(());
    };
    let age = node.configuration_age();
    if age.is_some_and(|age| age <= max_age) {
        return Ok(());
    }
    refuse(node, request, Verdict::Unconfirmed, &format!("age {age:?}"));
    let failure = Failure::mesh("configuration is not confirmed");
    Err(failure.with_retry_after(UNCONFIRMED_RETRY_AFTER))
}

/// Largest age of the configuration with which keys are accepted; `None` if it is not limited.
pub(crate) fn max_age(node: &Node) -> Option<Duration> {
    let revocation = node.settings.load().tenants.revocation_ms;
    (revocation > 0).then(|| Duration::from_millis(revocation).saturating_sub(REVOCATION_MARGIN))
}

fn over_quota(excess: Excess) -> Failure {
    let failure = Failure::caller(
        StatusCode::TOO_MANY_REQUESTS,
        "over the quota of the tenant",
    );
    failure.with_retry_after(excess.retry_after)
}

/// Counts a refusal, and logs it unless too many were logged lately.
fn refuse(node: &Node, request: &id::Request, verdict: Verdict, details: &str) {
    node.metrics.tenants.record(verdict);
    if let Some(skipped) = node.refusal_log.next(Instant::now()) {
        log::info!(
            request:%, verdict = verdict.label(), details, skipped;
            "request of a tenant refused"
        );
    }
}

impl Node {
    /// Time since the configuration in force was known to be the newest one; `None` if it never was.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        let confirmed_at = self.config_watcher.confirmed_at();
        confirmed_at.map(|at| at.age(BootTime::now()))
    }
}

impl Tenants {
    /// Whether requests on a route need no key.
    fn is_public(&self, plan: &Plan) -> bool {
        let route = (plan.declared_by.clone(), plan.route.clone());
        self.public_routes.contains(&route)
    }
}
