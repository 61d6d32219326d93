use prometheus::{
    Error, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use types::{Fault, Outcome, Version};

use crate::process;

/// Bounds of the added latency, in seconds. The goal is 1.7 ms for 99 calls in 100, so the steps
/// are finest around it.
const LATENCY_BOUNDS: [f64; 14] = [
    0.0001, 0.0002, 0.0003, 0.0005, 0.0007, 0.001, 0.0014, 0.0017, 0.002, 0.003, 0.005, 0.01, 0.1,
    1.0,
];

/// Bounds of the convergence time, in seconds. The goal is 3 s, the limit 14 s.
const CONVERGENCE_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 14.0,
];

/// Control bytes of one kind of message in one direction with one region.
#[derive(Clone, Copy, Debug)]
pub struct Control<'a> {
    /// Kind of message.
    pub kind: &'a str,
    /// `sent` or `received`.
    pub direction: &'a str,
    /// Region of the peer.
    pub region: &'a str,
    /// Bytes since the start of the process.
    pub bytes: u64,
}

/// Figures of the node for `GET /metrics`.
pub struct Metrics {
    registry: Registry,
    memory: Gauge,
    processor: Gauge,
    version: IntGauge,
    ready: IntGauge,
    members: IntGauge,
    convergence: Histogram,
    calls: IntCounterVec,
    latency: Histogram,
    control: IntCounterVec,
    store: IntCounterVec,
    store_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates the figures and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid or used twice.
    pub fn new() -> Result<Self, Error> {
        let metrics = Self {
            registry: Registry::new_custom(Some("dandelionseam".to_owned()), None)?,
            memory: Gauge::new("resident_bytes", "Resident memory of the process.")?,
            processor: Gauge::new("processor_seconds", "Processor time of the process.")?,
            version: IntGauge::new("version", "Configuration version held.")?,
            ready: IntGauge::new("ready", "Whether the node serves calls.")?,
            members: IntGauge::new(
                "members",
                "Nodes of the mesh that are not down and have not left.",
            )?,
            convergence: histogram(
                "convergence_seconds",
                "Time from publication to swap of each applied version.",
                &CONVERGENCE_BOUNDS,
            )?,
            calls: counters(
                "calls_total",
                "Calls of the callers of this node.",
                &["outcome", "fault"],
            )?,
            latency: histogram(
                "added_latency_seconds",
                "Time that the mesh added to a call.",
                &LATENCY_BOUNDS,
            )?,
            control: counters(
                "control_bytes_total",
                "Bytes of control messages.",
                &["kind", "direction", "region"],
            )?,
            store: counters("store_calls_total", "Calls to the store.", &["kind"])?,
            store_bytes: counters(
                "store_bytes_total",
                "Bytes of calls to the store and of their answers.",
                &["kind"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), Error> {
        self.registry.register(Box::new(self.memory.clone()))?;
        self.registry.register(Box::new(self.processor.clone()))?;
        self.registry.register(Box::new(self.version.clone()))?;
        self.registry.register(Box::new(self.ready.clone()))?;
        self.registry.register(Box::new(self.members.clone()))?;
        self.registry.register(Box::new(self.convergence.clone()))?;
        self.registry.register(Box::new(self.calls.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.control.clone()))?;
        self.registry.register(Box::new(self.store.clone()))?;
        self.registry.register(Box::new(self.store_bytes.clone()))
    }

    /// Counts a call that ended.
    pub fn count_call(&self, outcome: Outcome, fault: &Fault) {
        // The service at fault is left out of the label; the owner's account names it.
        let fault = match fault {
            Fault::Service(_) => "service".to_owned(),
            other => other.to_string(),
        };
        let outcome = outcome.to_string();
        self.calls.with_label_values(&[&outcome, &fault]).inc();
    }

    /// Records the time that the mesh added to a call.
    pub fn add_latency(&self, added: std::time::Duration) {
        self.latency.observe(added.as_secs_f64());
    }

    /// Records a version that came into force, with its convergence time in milliseconds.
    pub fn record_version(&self, version: Version, convergence_ms: u64) {
        self.version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        self.convergence
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

    /// Sets the control bytes to the totals of the distribution.
    pub fn set_control<'a, I>(&self, totals: I)
    where
        I: IntoIterator<Item = Control<'a>>,
    {
        for Control {
            kind,
            direction,
            region,
            bytes,
        } in totals
        {
            let counter = self.control.with_label_values(&[kind, direction, region]);
            counter.inc_by(bytes.saturating_sub(counter.get()));
        }
    }

    /// Sets the calls to the store and their bytes, by kind, to the client's totals.
    pub fn set_store<'a, I>(&self, totals: I)
    where
        I: IntoIterator<Item = (&'a str, u64, u64)>,
    {
        for (kind, calls, bytes) in totals {
            let counter = self.store.with_label_values(&[kind]);
            counter.inc_by(calls.saturating_sub(counter.get()));
            let counter = self.store_bytes.with_label_values(&[kind]);
            counter.inc_by(bytes.saturating_sub(counter.get()));
        }
    }

    /// All figures in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error when a figure cannot be written.
    pub fn text(&self) -> Result<String, Error> {
        if let Some(resident) = process::resident() {
            #[allow(clippy::cast_precision_loss)] // Memory sizes are far below 2^52.
            self.memory.set(resident.get() as f64);
        }
        if let Some(seconds) = process::processor_seconds() {
            self.processor.set(seconds);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

fn histogram(name: &str, help: &str, bounds: &[f64]) -> Result<Histogram, Error> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(bounds.to_vec()))
}
