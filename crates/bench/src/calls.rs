//! Time that the mesh adds to a call.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::Deadline;

use crate::mesh::free_address;
use crate::{Error, Mesh, Plan, Process, Sample, Usage};

/// Longest wait for the nodes to start.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Time for announcements to spread before the first call.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(5);

/// Calls of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Calls a second at each node.
    pub rate: u32,
    /// Time for which calls are sent.
    pub time: Duration,
    /// Service time of the upstreams, in microseconds.
    pub service_us: u64,
}

/// Result of one measurement, times in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of nodes, each with an upstream.
    pub nodes: usize,
    /// Calls a second at each node.
    pub rate: u32,
    /// Calls through the mesh that ended.
    pub calls: u64,
    /// Calls through the mesh that failed.
    pub failed: u64,
    /// Calls straight to the upstreams: median.
    pub direct_p50: u64,
    /// The same: 99 in 100 are below.
    pub direct_p99: u64,
    /// Calls through the mesh: median.
    pub mesh_p50: u64,
    /// The same: 99 in 100 are below.
    pub mesh_p99: u64,
    /// Difference of the medians.
    pub added_p50: i64,
    /// Difference of the times that 99 in 100 stay under.
    pub added_p99: i64,
    /// Share of a core that a node used: mean, in percent.
    pub core_percent: f64,
    /// Processor time of a node for each call that a caller sent to it, in microseconds.
    pub call_core_us: f64,
    /// Resident memory of a node under load: largest, in KiB.
    pub resident_max_kib: u64,
}

/// Histograms of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Summary.
    pub row: Row,
    /// Calls straight to the upstreams, in microseconds.
    pub direct: Sample,
    /// Calls through the mesh, in microseconds.
    pub mesh: Sample,
}

/// Sends calls through the mesh and straight to the upstreams, at the same rate and in turn.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn measure(plan: Plan, load: Load) -> Result<Report, Error> {
    let mut mesh = Mesh::start(plan).await?;
    let numbers: Vec<_> = (0..plan.nodes).collect();
    mesh.wait_ready(&numbers, Deadline::after(START_LIMIT))
        .await?;
    let upstreams = numbers
        .iter()
        .map(|number| Upstream::start(&mesh, *number, load))
        .collect::<Result<Vec<_>, _>>()?;
    sleep(ANNOUNCEMENT_DELAY).await;
    let usage_before = mesh.usage()?;
    let through: Vec<_> = mesh
        .nodes
        .iter()
        .map(|node| url(&node.address.callers))
        .collect();
    let mesh_result = run(&through, load).await?;
    let usage_after = mesh.usage()?;
    let straight: Vec<_> = upstreams
        .iter()
        .map(|upstream| url(&upstream.address))
        .collect();
    let direct_result = run(&straight, load).await?;
    mesh.check()?;
    let row = row(
        plan,
        load,
        &mesh_result,
        &direct_result,
        (&usage_before, &usage_after),
    );
    mesh.close();
    Ok(Report {
        row,
        direct: direct_result.0,
        mesh: mesh_result.0,
    })
}

struct Upstream {
    address: String,
    _process: Process,
}

impl Upstream {
    fn start(mesh: &Mesh, number: usize, load: Load) -> Result<Self, Error> {
        let (address, control) = (free_address()?, free_address()?);
        let service_us = load.service_us.to_string();
        let admin = mesh.admin(number);
        let arguments = [
            ("--listen", address.as_str()),
            ("--control", control.as_str()),
            ("--service", "service-0"),
            ("--admin", admin.as_str()),
            ("--service-us", service_us.as_str()),
            ("--answer-bytes", "1024"),
        ];
        let arguments: Vec<_> = arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value.to_owned()])
            .collect();
        let log = mesh.folder().join(format!("upstream-{number}.log"));
        let process = Process::start("standin-upstream", &arguments, &log)?;
        Ok(Self {
            address,
            _process: process,
        })
    }
}

fn url(address: &str) -> String {
    format!("http://{address}/service-0/read")
}

/// Sends calls to all URLs at the rate of `load` each; returns the times and the number of failures.
async fn run(urls: &[String], load: Load) -> Result<(Sample, u64), Error> {
    let result = Arc::new(Mutex::new((Sample::new()?, 0)));
    let senders = urls
        .iter()
        .map(|url| send(url.clone(), load, result.clone()));
    for sender in join_all(senders).await {
        sender?;
    }
    let result = result.lock().await;
    Ok((result.0.clone(), result.1))
}

/// Sends calls to one URL at a fixed rate, whether or not earlier ones have ended.
async fn send(url: String, load: Load, result: Arc<Mutex<(Sample, u64)>>) -> Result<(), Error> {
    let client = reqwest::Client::builder()
        .timeout(Duration::from_secs(5))
        .build()?;
    let mut tick = interval(Duration::from_secs(1) / load.rate);
    tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Deadline::after(load.time);
    let mut calls = Vec::new();
    while !end.has_passed(Instant::now()) {
        tick.tick().await;
        let (client, url, result) = (client.clone(), url.clone(), result.clone());
        calls.push(tokio::spawn(async move {
            let start = Instant::now();
            let whole = call(&client, &url).await;
            let time = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut result = result.lock().await;
            if whole {
                result.0.add(time);
            } else {
                result.1 += 1;
            }
        }));
    }
    join_all(calls).await;
    Ok(())
}

/// Sends one call; true when a whole answer with status 200 came.
async fn call(client: &reqwest::Client, url: &str) -> bool {
    match client
        .get(url)
        .header("dandelionseam-owner", "owner-0")
        .send()
        .await
    {
        Ok(answer) => answer.status().is_success() && answer.bytes().await.is_ok(),
        Err(_) => false,
    }
}

fn row(
    plan: Plan,
    load: Load,
    mesh: &(Sample, u64),
    direct: &(Sample, u64),
    usage: (&[Usage], &[Usage]),
) -> Row {
    let cores = usage
        .0
        .iter()
        .zip(usage.1)
        .map(|(before, after)| after.processor_since(before).as_secs_f64());
    #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
    let core = cores.sum::<f64>() / plan.nodes as f64;
    let added = |percent| {
        mesh.0.percentile(percent).cast_signed() - direct.0.percentile(percent).cast_signed()
    };
    Row {
        nodes: plan.nodes,
        rate: load.rate,
        calls: mesh.0.count(),
        failed: mesh.1,
        direct_p50: direct.0.percentile(50.0),
        direct_p99: direct.0.percentile(99.0),
        mesh_p50: mesh.0.percentile(50.0),
        mesh_p99: mesh.0.percentile(99.0),
        added_p50: added(50.0),
        added_p99: added(99.0),
        core_percent: 100.0 * core / load.time.as_secs_f64(),
        call_core_us: 1e6 * core / load.time.as_secs_f64() / f64::from(load.rate),
        resident_max_kib: usage
            .1
            .iter()
            .map(|usage| usage.resident_kib)
            .max()
            .unwrap_or_default(),
    }
}
