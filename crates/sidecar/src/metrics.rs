use std::time::Duration;

use call::{Answer, HedgeCounts};
use directory::{CallCount, CallKind};
use http::StatusCode;
use prometheus::{
    Error, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use types::Fault;
use types::rate::PerSecond;

use crate::tenant_metrics::{TenantMetrics, TenantSnapshot};

/// Upper bounds of the latency buckets.
const LATENCY_BUCKETS_SECONDS: [f64; 11] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Prometheus metrics of the process.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    store_calls: IntCounterVec,
    hedges: IntCounterVec,
    pub(crate) tenants: TenantMetrics,
    latency: Histogram,
    upstream_time: Histogram,
    ready: IntGauge,
    version: IntGauge,
    nodes: IntGauge,
    exchanges: IntGauge,
    connections: IntGauge,
    peers: IntGauge,
    parents: IntGauge,
    children: IntGauge,
    running: IntGauge,
    queued: IntGauge,
    rate_limit: Gauge,
}

/// Gauge values at the time of a scrape.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Snapshot {
    pub(crate) ready: bool,
    pub(crate) version: u64,
    pub(crate) nodes: usize,
    pub(crate) exchanges: usize,
    pub(crate) connections: usize,
    pub(crate) peers: usize,
    pub(crate) parents: usize,
    pub(crate) children: usize,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) rate_limit: Option<PerSecond>,
    pub(crate) store_calls: [CallCount; CallKind::ALL.len()],
    pub(crate) hedges: HedgeCounts,
    pub(crate) tenants: TenantSnapshot,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let requests = register_counters(
            &registry,
            "dandelionseam_requests_total",
            "Requests of callers by end.",
            &["outcome", "fault", "status"],
        )?;
        let store_calls = register_counters(
            &registry,
            "dandelionseam_store_calls_total",
            "Calls to the store.",
            &["kind", "result"],
        )?;
        let hedges = register_counters(
            &registry,
            "dandelionseam_hedges_total",
            "Calls sent to a second target, and those that it answered first.",
            &["result"],
        )?;
        let latency = register_histogram(
            &registry,
            "dandelionseam_request_seconds",
            "Time from a request's head to the head of its answer.",
        )?;
        let upstream_time = register_histogram(
            &registry,
            "dandelionseam_upstream_seconds",
            "Time from the hand-over to a target to the head of its answer.",
        )?;
        let gauge = |name, help| register_gauge(&registry, name, help);
        let (ready, version, nodes) = (
            gauge("dandelionseam_ready", "Whether the node takes calls.")?,
            gauge(
                "dandelionseam_version",
                "Version of the configuration in force.",
            )?,
            gauge("dandelionseam_nodes", "Live nodes that are known.")?,
        );
        let (exchanges, connections, peers) = (
            gauge(
                "dandelionseam_exchanges",
                "Requests that are not answered yet.",
            )?,
            gauge(
                "dandelionseam_caller_connections",
                "Connections of callers.",
            )?,
            gauge(
                "dandelionseam_peer_connections",
                "Connections to other nodes.",
            )?,
        );
        let (parents, children) = (
            gauge(
                "dandelionseam_parents",
                "Nodes through which this one follows the store.",
            )?,
            gauge(
                "dandelionseam_children",
                "Nodes that follow the store through this one.",
            )?,
        );
        let (running, queued) = (
            gauge(
                "dandelionseam_target_running",
                "Calls that the target runs.",
            )?,
            gauge(
                "dandelionseam_target_queued",
                "Calls that wait for the target.",
            )?,
        );
        let rate_limit = Gauge::new(
            "dandelionseam_target_rate_limit",
            "Requests a second that the target takes from all nodes; -1 without a limit.",
        )?;
        registry.register(Box::new(rate_limit.clone()))?;
        Ok(Self {
            tenants: TenantMetrics::new(&registry)?,
            registry,
            requests,
            store_calls,
            hedges,
            latency,
            upstream_time,
            ready,
            version,
            nodes,
            exchanges,
            connections,
            peers,
            parents,
            children,
            running,
            queued,
            rate_limit,
        })
    }

    /// Records the outcome and the latency of a request that the call path answered.
    pub(crate) fn record_answer(&self, answer: &Answer, latency: Duration) {
        self.record_outcome(&answer.outcome.to_string(), &answer.fault, answer.status);
        self.latency.observe(latency.as_secs_f64());
        if let Some(upstream_time) = answer.upstream_time {
            self.upstream_time.observe(upstream_time.as_secs_f64());
        }
    }

    /// Counts a request by outcome, fault and status.
    pub(crate) fn record_outcome(&self, outcome: &str, fault: &Fault, status: StatusCode) {
        let fault = match fault {
            Fault::None => "none",
            Fault::Caller => "caller",
            // The number of services is not bounded, so the label doesn't name them; log lines
            // do.
            Fault::Service(_) => "service",
            Fault::Mesh => "mesh",
        };
        let labels = [outcome, fault, status.as_str()];
        self.requests.with_label_values(&labels).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub(crate) fn encode(&self, snapshot: &Snapshot) -> Result<String, Error> {
        self.ready.set(i64::from(snapshot.ready));
        self.version
            .set(i64::try_from(snapshot.version).unwrap_or(i64::MAX));
        for (gauge, count) in [
            (&self.nodes, snapshot.nodes),
            (&self.exchanges, snapshot.exchanges),
            (&self.connections, snapshot.connections),
            (&self.peers, snapshot.peers),
            (&self.parents, snapshot.parents),
            (&self.children, snapshot.children),
            (&self.running, snapshot.running as usize),
            (&self.queued, snapshot.queued as usize),
        ] {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let rate_limit = snapshot.rate_limit.map_or(-1.0, PerSecond::get);
        self.rate_limit.set(rate_limit);
        self.tenants.set(snapshot.tenants);
        let HedgeCounts { sent, won } = snapshot.hedges;
        for (result, total) in [("sent", sent), ("won", won)] {
            let counter = self.hedges.with_label_values(&[result]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
        for calls in &snapshot.store_calls {
            for (result, total) in [("answered", calls.answered), ("failed", calls.failed)] {
                let labels = [calls.kind.to_string(), result.to_owned()];
                let counter = self.store_calls.with_label_values(&labels);
                counter.inc_by(total.saturating_sub(counter.get()));
            }
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

pub(crate) fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, Error> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

pub(crate) fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
