use std::time::Duration;

use prometheus::{Error, Gauge, IntCounterVec, IntGauge, Registry};

use crate::access::Verdict;
use crate::metrics::{register_counters, register_gauge};

/// Metrics of keys and quotas.
pub(crate) struct TenantMetrics {
    requests: IntCounterVec,
    configuration_age: Gauge,
    limited_tenants: IntGauge,
    reporters: IntGauge,
}

/// Gauge values at the time of a scrape.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantSnapshot {
    pub(crate) configuration_age: Option<Duration>,
    pub(crate) limited_tenants: usize,
    pub(crate) reporters: usize,
}

impl TenantMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, Error> {
        let configuration_age = Gauge::new(
            "dandelionseam_configuration_age_seconds",
            "Time since the configuration was confirmed to be the newest one.",
        )?;
        registry.register(Box::new(configuration_age.clone()))?;
        Ok(Self {
            requests: register_counters(
                registry,
                "dandelionseam_tenant_requests_total",
                "Requests with an API key by the result of its check.",
                &["result"],
            )?,
            configuration_age,
            limited_tenants: register_gauge(
                registry,
                "dandelionseam_limited_tenants",
                "Tenants of which only a share of the requests is taken.",
            )?,
            reporters: register_gauge(
                registry,
                "dandelionseam_quota_reporters",
                "Nodes that report the usage of tenants to this one.",
            )?,
        })
    }

    /// Counts a request by the result of its check.
    pub(crate) fn record(&self, verdict: Verdict) {
        self.requests.with_label_values(&[verdict.label()]).inc();
    }

    pub(crate) fn set(&self, snapshot: TenantSnapshot) {
        if let Some(age) = snapshot.configuration_age {
            self.configuration_age.set(age.as_secs_f64());
        }
        for (gauge, count) in [
            (&self.limited_tenants, snapshot.limited_tenants),
            (&self.reporters, snapshot.reporters),
        ] {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
