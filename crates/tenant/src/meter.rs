use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use types::id;
use types::rate::{PerSecond, Share};

use crate::coordinator::REPORT_TIMEOUT;
use crate::level::Level;
use crate::{Quota, Registry};

/// Shortest and longest time after which a tenant over its quota is told to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Time for which the usage of a tenant without requests is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A request is beyond the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Time after which a request of the tenant is likely to be within its quota.
    pub retry_after: Duration,
    /// Share of the tenant's requests that this node takes.
    pub share: Share,
    /// Whether no coordinator answers, so that this node has an even part of the quota only.
    pub is_isolated: bool,
}

/// Reason why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It is beyond the quota of its tenant.
    OverQuota(Excess),
    /// No coordinator answers, and this node does not know yet how many others share the quota.
    FleetUnknown,
}

/// What a node has seen of a tenant since its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The tenant.
    pub tenant: id::Tenant,
    /// Requests that were taken, less those that did not run in the end.
    pub taken: i32,
    /// Requests that arrived.
    pub arrived: u32,
}

/// Decides at one node whether requests are within the quotas of their tenants.
#[derive(Debug)]
pub struct Meter {
    accounts: HashMap<id::Tenant, Account>,
    shares: HashMap<id::Tenant, Share>,
    /// Time until which the shares of the coordinator apply.
    shares_expire_at: Instant,
    /// Number of live nodes, this one included; `None` while it is not known.
    fleet: Option<usize>,
}

#[derive(Debug)]
struct Account {
    level: Level,
    /// Fraction of a request that is due to be taken, below one.
    due: f64,
    taken: i32,
    arrived: u32,
    used_at: Instant,
}

impl Meter {
    /// Creates the meter of a node that no coordinator has answered yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            shares: HashMap::new(),
            shares_expire_at: now,
            fleet: None,
        }
    }

    /// Sets the number of nodes that share the quotas.
    pub fn set_fleet(&mut self, nodes: usize) {
        self.fleet = Some(nodes.max(1));
    }

    /// Decides on a request of a tenant and counts it. `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the request is over the quota, or if this node cannot know whether it is.
    pub fn take(
        &mut self,
        tenant: &id::Tenant,
        quota: Quota,
        draw: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let is_isolated = self.is_isolated(now);
        let limit = self.local_limit(quota, is_isolated);
        let share = match self.shares.get(tenant) {
            Some(share) if !is_isolated => *share,
            _ => Share::ALL,
        };
        let account = self.accounts.entry(tenant.clone()).or_insert_with(|| {
            // The even part of a quota is not handed out before it has accrued: a process that has just
            // started may follow one that has used it.
            let capacity = limit.as_ref().map_or(0.0, |limit| limit.capacity);
            let tokens = if is_isolated { 0.0 } else { capacity };
            Account::new(tokens, draw, now)
        });
        account.used_at = now;
        account.arrived = account.arrived.saturating_add(1);
        let Some(limit) = limit else {
            // Nothing accrues before the size of the part is known.
            account.level.refill(PerSecond::new(0.0), 0.0, now);
            return Err(Refusal::FleetUnknown);
        };
        account.level.refill(limit.rate, limit.capacity, now);
        account.due += share.get();
        if account.due < 1.0 || account.level.tokens() < 1.0 {
            account.due = account.due.min(1.0);
            return Err(Refusal::OverQuota(Excess {
                retry_after: retry_after(share, limit.rate),
                share,
                is_isolated,
            }));
        }
        account.due -= 1.0;
        account.level.take(1.0);
        account.taken = account.taken.saturating_add(1);
        Ok(())
    }

    /// Gives back what was counted for a request that did not run.
    pub fn give_back(&mut self, tenant: &id::Tenant) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level.take(-1.0);
            account.taken = account.taken.saturating_sub(1);
        }
    }

    /// Returns what was counted since the last report.
    pub fn report(&mut self, now: Instant) -> Vec<Usage> {
        self.accounts.retain(|_, account| {
            let is_unused = account.arrived == 0 && account.taken == 0;
            !is_unused || now.saturating_duration_since(account.used_at) < IDLE_TIMEOUT
        });
        let accounts = self.accounts.iter_mut();
        let active = accounts.filter(|(_, account)| account.arrived > 0 || account.taken != 0);
        active
            .map(|(tenant, account)| Usage {
                tenant: tenant.clone(),
                taken: std::mem::take(&mut account.taken),
                arrived: std::mem::take(&mut account.arrived),
            })
            .collect()
    }

    /// Puts a report back that no coordinator has received.
    pub fn restore(&mut self, report: Vec<Usage>) {
        for usage in report {
            if let Some(account) = self.accounts.get_mut(&usage.tenant) {
                account.taken = account.taken.saturating_add(usage.taken);
                account.arrived = account.arrived.saturating_add(usage.arrived);
            }
        }
    }

    /// Applies the shares of the coordinator, which answers a report that was sent at `sent_at`. Tenants
    /// that are not among them are not limited.
    pub fn apply<I>(&mut self, shares: I, sent_at: Instant)
    where
        I: IntoIterator<Item = (id::Tenant, Share)>,
    {
        self.shares = shares.into_iter().collect();
        self.shares_expire_at = self.shares_expire_at.max(sent_at + REPORT_TIMEOUT);
    }

    /// Whether no coordinator has answered recently.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        now >= self.shares_expire_at
    }

    /// Number of tenants of which only a share is taken.
    #[must_use]
    pub fn limited_tenants(&self, now: Instant) -> usize {
        if self.is_isolated(now) {
            0
        } else {
            self.shares.len()
        }
    }

    /// Limit that this node applies by itself: the whole quota, which holds when all requests of a tenant
    /// arrive here, or the even part of an isolated node; `None` while that is not known.
    #[allow(clippy::cast_precision_loss, reason = "the number of nodes is small")]
    fn local_limit(&self, quota: Quota, is_isolated: bool) -> Option<LocalLimit> {
        let parts = if is_isolated { self.fleet? as f64 } else { 1.0 };
        Some(LocalLimit {
            rate: PerSecond::new(quota.rate.get() / parts),
            capacity: (f64::from(quota.burst.get()) / parts).max(1.0),
        })
    }

    /// Forgets tenants that a configuration no longer limits.
    pub fn retain(&mut self, registry: &Registry) {
        self.accounts
            .retain(|tenant, _| registry.quota(tenant).is_some());
    }
}

struct LocalLimit {
    rate: PerSecond,
    capacity: f64,
}

impl Account {
    const fn new(tokens: f64, draw: f64, now: Instant) -> Self {
        Self {
            level: Level::new(tokens, now),
            due: draw,
            taken: 0,
            arrived: 0,
            used_at: now,
        }
    }
}

/// Estimates when a request would be taken: after the other requests that are due before it, or when the
/// bucket of this node has a token again.
fn retry_after(share: Share, rate: PerSecond) -> Duration {
    let (shortest, longest) = RETRY_RANGE;
    let excess = (1.0 - share.get()) / share.get().max(f64::EPSILON);
    let refill = 1.0 / rate.get().max(f64::EPSILON);
    let seconds = (shortest.as_secs_f64() * excess).max(refill);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(longest)
        .clamp(shortest, longest)
}
