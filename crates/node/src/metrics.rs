use prometheus::{
    Error, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use types::{Fault, Outcome, Version};

use crate::process;

/// Histogram buckets of the added latency. The goal is a 99th percentile of 1.7 ms, so the buckets
/// are narrowest around it.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.0001, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.0014, 0.0017, 0.002, 0.003, 0.005, 0.01, 0.1,
    1.0,
];

/// Histogram buckets of the convergence time. The goal is 3 s, the limit 14 s.
const CONVERGENCE_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 14.0,
];

/// Control traffic of one message kind in one direction with one region.
#[derive(Clone, Copy, Debug)]
pub struct ControlTraffic<'a> {
    /// Message kind.
    pub kind: &'a str,
    /// `sent` or `received`.
    pub direction: &'a str,
    /// Region of the peer.
    pub region: &'a str,
    /// Bytes since the start of the process.
    pub bytes: u64,
}

/// Metrics of the node for `GET /metrics`.
pub struct Metrics {
    registry: Registry,
    resident_bytes: Gauge,
    processor_seconds: Gauge,
    version: IntGauge,
    ready: IntGauge,
    members: IntGauge,
    convergence_seconds: Histogram,
    calls_total: IntCounterVec,
    added_latency_seconds: Histogram,
    control_bytes_total: IntCounterVec,
    store_calls_total: IntCounterVec,
    store_bytes_total: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid or is registered twice.
    pub fn new() -> Result<Self, Error> {
        let metrics = Self {
            registry: Registry::new_custom(Some("dandelionseam".to_owned()), None)?,
            resident_bytes: Gauge::new("resident_bytes", "Resident memory of the process.")?,
            processor_seconds: Gauge::new("processor_seconds", "Processor time of the process.")?,
            version: IntGauge::new("version", "Configuration version held.")?,
            ready: IntGauge::new("ready", "Whether the node serves calls.")?,
            members: IntGauge::new(
                "members",
                "Nodes of the mesh that are not down and have not left.",
            )?,
            convergence_seconds: new_histogram(
                "convergence_seconds",
                "Time from publication to swap of each applied version.",
                &CONVERGENCE_BUCKETS_SECONDS,
            )?,
            calls_total: new_counters(
                "calls_total",
                "Calls of the callers of this node.",
                &["outcome", "fault"],
            )?,
            added_latency_seconds: new_histogram(
                "added_latency_seconds",
                "Time that the mesh added to a call.",
                &LATENCY_BUCKETS_SECONDS,
            )?,
            control_bytes_total: new_counters(
                "control_bytes_total",
                "Bytes of control messages.",
                &["kind", "direction", "region"],
            )?,
            store_calls_total: new_counters("store_calls_total", "Calls to the store.", &["kind"])?,
            store_bytes_total: new_counters(
                "store_bytes_total",
                "Bytes of calls to the store and of their answers.",
                &["kind"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), Error> {
        self.registry
            .register(Box::new(self.resident_bytes.clone()))?;
        self.registry
            .register(Box::new(self.processor_seconds.clone()))?;
        self.registry.register(Box::new(self.version.clone()))?;
        self.registry.register(Box::new(self.ready.clone()))?;
        self.registry.register(Box::new(self.members.clone()))?;
        self.registry
            .register(Box::new(self.convergence_seconds.clone()))?;
        self.registry.register(Box::new(self.calls_total.clone()))?;
        self.registry
            .register(Box::new(self.added_latency_seconds.clone()))?;
        self.registry
            .register(Box::new(self.control_bytes_total.clone()))?;
        self.registry
            .register(Box::new(self.store_calls_total.clone()))?;
        self.registry
            .register(Box::new(self.store_bytes_total.clone()))
    }

    /// Counts a finished call.
    pub fn count_call(&self, outcome: Outcome, fault: &Fault) {
        // The label omits the name of the service at fault, which the owner's account contains.
        let fault = match fault {
            Fault::Service(_) => "service".to_owned(),
            other => other.to_string(),
        };
        let outcome = outcome.to_string();
        self.calls_total
            .with_label_values(&[&outcome, &fault])
            .inc();
    }

    /// Records the time that the mesh added to a call.
    pub fn observe_added_latency(&self, added: std::time::Duration) {
        self.added_latency_seconds.observe(added.as_secs_f64());
    }

    /// Records a configuration version that was put in force and its convergence time.
    pub fn record_version(&self, version: Version, convergence_ms: u64) {
        self.version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        self.convergence_seconds
            .observe(std::time::Duration::from_millis(convergence_ms).as_secs_f64());
    }

    /// Sets whether the node serves calls.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Sets the number of nodes that are not down and have not left.
    pub fn set_members(&self, count: usize) {
        self.members.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the control traffic counters to `totals`.
    pub fn set_control_traffic<'a, I>(&self, totals: I)
    where
        I: IntoIterator<Item = ControlTraffic<'a>>,
    {
        for ControlTraffic {
            kind,
            direction,
            region,
            bytes,
        } in totals
        {
            let counter = self
                .control_bytes_total
                .with_label_values(&[kind, direction, region]);
            counter.inc_by(bytes.saturating_sub(counter.get()));
        }
    }

    /// Sets the counters of store calls and their bytes, by kind, to the totals of the client.
    pub fn set_store_calls<'a, I>(&self, totals: I)
    where
        I: IntoIterator<Item = (&'a str, u64, u64)>,
    {
        for (kind, calls, bytes) in totals {
            let counter = self.store_calls_total.with_label_values(&[kind]);
            counter.inc_by(calls.saturating_sub(counter.get()));
            let counter = self.store_bytes_total.with_label_values(&[kind]);
            counter.inc_by(bytes.saturating_sub(counter.get()));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, Error> {
        if let Some(resident) = process::read_resident_memory() {
            #[allow(clippy::cast_precision_loss)] // Memory sizes are far below 2^52.
            self.resident_bytes.set(resident.get() as f64);
        }
        if let Some(seconds) = process::read_cpu_seconds() {
            self.processor_seconds.set(seconds);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn new_counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

fn new_histogram(name: &str, help: &str, buckets: &[f64]) -> Result<Histogram, Error> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))
}
