//! Death and return of all nodes of one failure domain.

use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep};
use types::Deadline;

use crate::mesh::{SETTLE_DELAY, START_LIMIT};
use crate::{Error, Mesh, Plan, Usage};

/// Result of one restart.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of nodes in the mesh.
    pub nodes: usize,
    /// Nodes that were killed and started again.
    pub restarted: usize,
    /// Time from the kill until the other nodes show all of them as gone, in milliseconds.
    pub gone_ms: u64,
    /// Time from the first start until all of them are ready, in milliseconds.
    pub ready_ms: u64,
    /// Largest number of control bytes that one of the other nodes sent and received in that time.
    pub other_max_bytes: f64,
    /// Median of the same.
    pub other_p50_bytes: f64,
    /// Largest processor time of one of the other nodes in that time, in milliseconds.
    pub other_max_core_ms: u128,
    /// Calls that the store counted from kill to readiness.
    pub store_calls: u64,
}

/// Kills all nodes of the last failure domain, waits until the others know, and starts them again.
///
/// # Errors
///
/// Returns an error when a process fails or the nodes do not return.
pub async fn measure(plan: Plan) -> Result<Row, Error> {
    let mut mesh = Mesh::start(plan).await?;
    let all: Vec<_> = (0..plan.nodes).collect();
    mesh.wait_ready(&all, Deadline::after(START_LIMIT)).await?;
    sleep(SETTLE_DELAY).await;
    let (lost, others): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|number| plan.domain(*number) == plan.domains - 1);
    let bytes_before = control_bytes(&mesh).await?;
    let usage_before = usage_of(&mesh, &others)?;
    let store_before = store_calls(&mesh).await?;
    let killed = Instant::now();
    for number in &lost {
        mesh.kill_node(*number);
    }
    wait_gone(&mesh, &others, lost.len()).await?;
    let gone_ms = killed.elapsed().as_millis();
    let started = Instant::now();
    for number in &lost {
        mesh.start_node(*number)?;
    }
    mesh.wait_ready(&lost, Deadline::after(START_LIMIT)).await?;
    let ready_ms = started.elapsed().as_millis();
    let bytes_after = control_bytes(&mesh).await?;
    let usage_after = usage_of(&mesh, &others)?;
    let store_after = store_calls(&mesh).await?;
    let mut bytes: Vec<_> = others
        .iter()
        .map(|number| bytes_after[*number] - bytes_before[*number])
        .collect();
    bytes.sort_by(f64::total_cmp);
    let cores = usage_before
        .iter()
        .zip(&usage_after)
        .map(|(before, after)| after.processor_since(before));
    let row = Row {
        nodes: plan.nodes,
        restarted: lost.len(),
        gone_ms: u64::try_from(gone_ms).unwrap_or(u64::MAX),
        ready_ms: u64::try_from(ready_ms).unwrap_or(u64::MAX),
        other_max_bytes: bytes.last().copied().unwrap_or_default(),
        other_p50_bytes: bytes.get(bytes.len() / 2).copied().unwrap_or_default(),
        other_max_core_ms: cores.max().unwrap_or_default().as_millis(),
        store_calls: store_after - store_before,
    };
    mesh.check()?;
    mesh.close();
    Ok(row)
}

async fn control_bytes(mesh: &Mesh) -> Result<Vec<f64>, Error> {
    let scrapes = mesh.scrape().await?;
    let sums = scrapes
        .iter()
        .map(|scrape| scrape.sum("dandelionseam_control_bytes_total", |_| true));
    Ok(sums.collect())
}

fn usage_of(mesh: &Mesh, numbers: &[usize]) -> Result<Vec<Usage>, Error> {
    numbers
        .iter()
        .map(|number| mesh.usage_of(*number))
        .collect()
}

async fn store_calls(mesh: &Mesh) -> Result<u64, Error> {
    Ok(mesh.store_calls().await?.values().sum())
}

/// Waits until some nodes that remain show as many nodes less as were killed.
async fn wait_gone(mesh: &Mesh, others: &[usize], lost: usize) -> Result<(), Error> {
    let deadline = Deadline::after(START_LIMIT);
    for number in others.iter().take(3) {
        while mesh.live_members(*number).await? > mesh.nodes.len() - lost {
            if deadline.has_passed(Instant::now()) {
                return Err(Error::Deadline("loss of a failure domain".to_owned()));
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}
