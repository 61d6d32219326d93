//! Convergence time, control bytes, processor time and memory while versions are published.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until};
use types::Deadline;

use crate::mesh::{SETTLE_DELAY, START_LIMIT};
use crate::{Error, Mesh, Plan, Sample, Scrape, Usage};

/// Longest wait for one version; over twice the 14 s that the design promises.
const VERSION_LIMIT: Duration = Duration::from_secs(30);

/// Publications of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of publications.
    pub changes: u32,
    /// Time between the starts of two publications.
    pub interval: Duration,
    /// Time without publications that is measured first.
    pub quiet: Duration,
}

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// How nodes got versions.
    pub baseline: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of services.
    pub services: usize,
    /// Children for each node of the tree.
    pub fanout: u32,
    /// Publications measured.
    pub changes: u32,
    /// Median of the convergence time over nodes and versions, in milliseconds.
    pub converge_p50_ms: u64,
    /// Convergence time that 99 in 100 stay under, in milliseconds.
    pub converge_p99_ms: u64,
    /// Convergence time of the last node, in milliseconds.
    pub converge_last_ms: u64,
    /// Control bytes a second that a node sends and receives without publications: median.
    pub quiet_p50: f64,
    /// The same: largest.
    pub quiet_max: f64,
    /// Control bytes for each change that a node sends and receives: median.
    pub change_p50: f64,
    /// The same: largest.
    pub change_max: f64,
    /// Control bytes for each change that cross between regions, in the whole mesh.
    pub change_regions: f64,
    /// Control bytes a second that cross between regions without publications, in the whole mesh.
    pub quiet_regions: f64,
    /// Share of a core that a node uses without publications: mean, in percent.
    pub quiet_core_percent: f64,
    /// Processor time of a node for each change: mean, in microseconds.
    pub change_core_us: f64,
    /// Resident memory of a node: median, in KiB.
    pub resident_kib: u64,
    /// Anonymous resident memory of a node: largest, in KiB.
    pub anonymous_max_kib: u64,
    /// Bytes a second between all nodes and the store without publications.
    pub store_quiet_bytes: f64,
    /// Bytes for each change between all nodes and the store.
    pub store_change_bytes: f64,
    /// Calls a second that the store counts without publications.
    pub store_quiet: f64,
    /// Watches that the store has counted since the start.
    pub store_watches: u64,
    /// Calls for each change that the store counts, those of the publisher included.
    pub store_change: f64,
}

/// Control bytes by kind of message over the whole measurement.
pub type Kinds = BTreeMap<String, f64>;

/// Everything that is read at one point in time.
struct Point {
    time: Instant,
    scrapes: Vec<Scrape>,
    usage: Vec<Usage>,
    store: BTreeMap<String, u64>,
}

impl Point {
    async fn read(mesh: &Mesh) -> Result<Self, Error> {
        Ok(Self {
            time: Instant::now(),
            scrapes: mesh.scrape().await?,
            usage: mesh.usage()?,
            store: mesh.store_calls().await?,
        })
    }

    fn control(&self) -> Vec<f64> {
        self.scrapes
            .iter()
            .map(|scrape| scrape.sum("dandelionseam_control_bytes_total", |_| true))
            .collect()
    }

    fn sent_to_regions(&self, plan: &Plan) -> f64 {
        let sums = self.scrapes.iter().enumerate().map(|(number, scrape)| {
            let own = format!("r{}", plan.region(plan.domain(number)));
            scrape.sum("dandelionseam_control_bytes_total", |labels| {
                labels
                    .get("direction")
                    .is_some_and(|direction| direction == "sent")
                    && labels.get("region").is_some_and(|region| *region != own)
            })
        });
        sums.sum()
    }

    fn store_bytes(&self) -> f64 {
        let sums = self
            .scrapes
            .iter()
            .map(|scrape| scrape.sum("dandelionseam_store_bytes_total", |_| true));
        sums.sum()
    }

    fn processor(&self) -> f64 {
        self.usage
            .iter()
            .map(|usage| usage.processor.as_secs_f64())
            .sum()
    }

    fn store_calls(&self) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "call counts of a measurement are small"
        )]
        let calls = self
            .store
            .iter()
            .filter(|(kind, _)| *kind != "refused")
            .map(|(_, calls)| *calls as f64);
        calls.sum()
    }
}

/// Starts a mesh, measures it at rest and under `load`, and stops it.
///
/// # Errors
///
/// Returns an error when a process fails or a version does not arrive.
pub async fn measure(plan: Plan, load: Load) -> Result<(Row, Kinds), Error> {
    let mut mesh = Mesh::start(plan).await?;
    let numbers: Vec<_> = (0..plan.nodes).collect();
    mesh.wait_ready(&numbers, Deadline::after(START_LIMIT))
        .await?;
    sleep(SETTLE_DELAY).await;
    let start = Point::read(&mesh).await?;
    sleep(load.quiet).await;
    let quiet = Point::read(&mesh).await?;
    publish_unwatched(&mut mesh, load).await?;
    let end = Point::read(&mesh).await?;
    let sample = publish_watched(&mut mesh, load).await?;
    mesh.check()?;
    mesh.close();
    let kinds = kinds_between(&start, &end);
    Ok((row(plan, load, &sample, &start, &quiet, &end), kinds))
}

/// Publishes all changes without reading any metrics, which would cost the nodes processor time.
async fn publish_unwatched(mesh: &mut Mesh, load: Load) -> Result<(), Error> {
    for _ in 0..load.changes {
        let next = Instant::now() + load.interval;
        mesh.publish_change().await?;
        sleep_until(next).await;
    }
    Ok(())
}

/// Publishes all changes; each is in force on every node before the next one is published.
async fn publish_watched(mesh: &mut Mesh, load: Load) -> Result<Sample, Error> {
    let mut sample = Sample::new()?;
    let mut before = mesh.scrape().await?;
    for _ in 0..load.changes {
        let next = Instant::now() + load.interval;
        let version = mesh.publish_change().await?;
        let after = mesh
            .wait_version(version, Deadline::after(VERSION_LIMIT))
            .await?;
        for (old, new) in before.iter().zip(&after) {
            sample.add(convergence_ms(old, new));
        }
        before = after;
        sleep_until(next).await;
    }
    Ok(sample)
}

/// Mean convergence time of the versions applied between two scrapes of one node, in milliseconds.
fn convergence_ms(old: &Scrape, new: &Scrape) -> u64 {
    let difference = |name| new.sum(name, |_| true) - old.sum(name, |_| true);
    let sum = difference("dandelionseam_convergence_seconds_sum");
    let count = difference("dandelionseam_convergence_seconds_count");
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a time of some seconds"
    )]
    let mean = (sum * 1000.0 / count.max(1.0)).round() as u64;
    mean
}

fn kinds_between(start: &Point, end: &Point) -> Kinds {
    let mut kinds = Kinds::new();
    for (point, sign) in [(start, -1.0), (end, 1.0)] {
        let figures = point
            .scrapes
            .iter()
            .flat_map(|scrape| scrape.each("dandelionseam_control_bytes_total"));
        for (labels, bytes) in
            figures.filter(|(labels, _)| labels.get("direction").is_some_and(|d| d == "sent"))
        {
            let kind = labels.get("kind").cloned().unwrap_or_default();
            *kinds.entry(kind).or_default() += sign * bytes;
        }
    }
    kinds
}

fn row(plan: Plan, load: Load, sample: &Sample, start: &Point, quiet: &Point, end: &Point) -> Row {
    let quiet_time = (quiet.time - start.time).as_secs_f64();
    let load_time = (end.time - quiet.time).as_secs_f64();
    let changes = f64::from(load.changes);
    #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
    let nodes = plan.nodes as f64;
    let quiet_rates = rates(&start.control(), &quiet.control(), quiet_time);
    let load_rates = rates(&quiet.control(), &end.control(), load_time);
    // What the changes cost is what was sent beyond the rate of the quiet time.
    let pairs = quiet_rates.iter().zip(&load_rates);
    let per_change = sorted(
        pairs
            .map(|(quiet, load)| (load - quiet) * load_time / changes)
            .collect(),
    );
    let quiet_rates = sorted(quiet_rates);
    let quiet_regions = (quiet.sent_to_regions(&plan) - start.sent_to_regions(&plan)) / quiet_time;
    let load_regions = (end.sent_to_regions(&plan) - quiet.sent_to_regions(&plan)) / load_time;
    let quiet_core = (quiet.processor() - start.processor()) / quiet_time;
    let load_core = (end.processor() - quiet.processor()) / load_time;
    let store_quiet_bytes = (quiet.store_bytes() - start.store_bytes()) / quiet_time;
    let store_load_bytes = (end.store_bytes() - quiet.store_bytes()) / load_time;
    let store_quiet = (quiet.store_calls() - start.store_calls()) / quiet_time;
    let store_load = (end.store_calls() - quiet.store_calls()) / load_time;
    let mut resident: Vec<_> = end.usage.iter().map(|usage| usage.resident_kib).collect();
    resident.sort_unstable();
    Row {
        baseline: plan.baseline.name(),
        nodes: plan.nodes,
        services: plan.services,
        fanout: plan.fanout,
        changes: load.changes,
        converge_p50_ms: sample.percentile(50.0),
        converge_p99_ms: sample.percentile(99.0),
        converge_last_ms: sample.max(),
        quiet_p50: middle(&quiet_rates),
        quiet_max: quiet_rates.last().copied().unwrap_or_default(),
        change_p50: middle(&per_change),
        change_max: per_change.last().copied().unwrap_or_default(),
        change_regions: (load_regions - quiet_regions) * load_time / changes,
        quiet_regions,
        quiet_core_percent: 100.0 * quiet_core / nodes,
        change_core_us: 1e6 * (load_core - quiet_core) * load_time / changes / nodes,
        resident_kib: resident
            .get(resident.len() / 2)
            .copied()
            .unwrap_or_default(),
        anonymous_max_kib: end
            .usage
            .iter()
            .map(|usage| usage.anonymous_kib)
            .max()
            .unwrap_or_default(),
        store_quiet_bytes,
        store_change_bytes: (store_load_bytes - store_quiet_bytes) * load_time / changes,
        store_quiet,
        store_watches: end.store.get("watch").copied().unwrap_or_default(),
        store_change: (store_load - store_quiet) * load_time / changes,
    }
}

fn rates(before: &[f64], after: &[f64], seconds: f64) -> Vec<f64> {
    before
        .iter()
        .zip(after)
        .map(|(before, after)| (after - before) / seconds)
        .collect()
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn middle(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
