use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use types::id;
use types::rate::{PerSecond, Share};

use crate::level::Level;
use crate::{Quota, Registry, Usage};

/// Time between two reports of a node.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a report within which the shares of its answer apply, and for which the reporting node
/// counts as one that the coordinator serves.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a deficit of a tenant is paid back, or a surplus handed out.
const CORRECTION_TIME_SECONDS: f64 = 1.0;

/// Time over which the demand of a tenant is averaged.
const DEMAND_TIME_SECONDS: f64 = 0.4;

/// Computes the shares of the tenants' requests that all nodes may take, from the reports of the nodes.
///
/// Each tenant has a token bucket with its quota. Requests are counted after they were taken, so the
/// level may fall below zero; later requests pay for that. A new coordinator starts with empty buckets:
/// an earlier one may have handed out all that was in them.
#[derive(Debug, Default)]
pub struct Coordinator {
    accounts: HashMap<id::Tenant, Account>,
    reporters: HashMap<id::Node, Instant>,
    /// Time of the first report.
    started_at: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    level: Level,
    /// Requests that arrived at all nodes since `demand_at`.
    arrived: u32,
    demand: f64,
    demand_at: Instant,
}

impl Coordinator {
    /// Adds the report of a node.
    pub fn record(&mut self, node: &id::Node, report: &[Usage], now: Instant) {
        self.reporters.insert(node.clone(), now);
        self.started_at.get_or_insert(now);
        for usage in report {
            let account = self.account(&usage.tenant, now);
            account.level.take(f64::from(usage.taken));
            account.arrived = account.arrived.saturating_add(usage.arrived);
        }
    }

    /// Computes the share of each tenant whose requests cannot all be taken. `fleet` is the number of
    /// live nodes; those that do not report here are left their part of each quota.
    #[must_use]
    pub fn shares(
        &mut self,
        registry: &Registry,
        fleet: usize,
        now: Instant,
    ) -> Vec<(id::Tenant, Share)> {
        let part = self.served_part(fleet, now);
        self.accounts
            .retain(|tenant, _| registry.quota(tenant).is_some());
        let mut shares = Vec::new();
        for (tenant, account) in &mut self.accounts {
            let Some(quota) = registry.quota(tenant) else {
                continue;
            };
            let share = account.compute_share(quota, part, now);
            if share < Share::ALL {
                shares.push((tenant.clone(), share));
            }
        }
        shares
    }

    /// Number of nodes that report here.
    #[must_use]
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }

    /// Part of the fleet that reports here.
    #[allow(clippy::cast_precision_loss, reason = "the number of nodes is small")]
    fn served_part(&mut self, fleet: usize, now: Instant) -> f64 {
        self.reporters
            .retain(|_, reported_at| now.saturating_duration_since(*reported_at) < REPORT_TIMEOUT);
        (self.reporters.len() as f64 / fleet.max(1) as f64).min(1.0)
    }

    fn account(&mut self, tenant: &id::Tenant, now: Instant) -> &mut Account {
        // A tenant that has sent nothing since the first report has saved its quota from then on.
        let started_at = self.started_at.unwrap_or(now);
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                level: Level::new(0.0, started_at),
                arrived: 0,
                demand: 0.0,
                demand_at: now,
            })
    }
}

impl Account {
    fn compute_share(&mut self, quota: Quota, part: f64, now: Instant) -> Share {
        let rate = quota.rate.get() * part;
        let capacity = f64::from(quota.burst.get()) * part;
        self.level.refill(PerSecond::new(rate), capacity, now);
        self.update_demand(now);
        if self.demand <= 0.0 {
            return Share::ALL;
        }
        let available = rate + self.level.tokens() / CORRECTION_TIME_SECONDS;
        Share::new(available / self.demand)
    }

    /// Averages the requests a second over [`DEMAND_TIME_SECONDS`].
    fn update_demand(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        // Each node reports once in this time; over a shorter one, the rate depends on who has reported.
        if elapsed < REPORT_INTERVAL.as_secs_f64() {
            return;
        }
        let rate = f64::from(std::mem::take(&mut self.arrived)) / elapsed;
        let weight = 1.0 - (-elapsed / DEMAND_TIME_SECONDS).exp();
        self.demand += weight * (rate - self.demand);
        self.demand_at = now;
    }
}
