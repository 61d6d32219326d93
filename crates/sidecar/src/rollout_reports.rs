//! Reports on the answers of the upstream beside a node to the node that drives the roll-outs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use directory::FAILURE_MEMORY;
use rollout::Rollout;
use schema::rollout as message;
use thiserror::Error;
use tokio::time::{sleep, timeout};
use types::{Deadline, id};
use wire::{Connection, Stream};

use crate::Node;
use crate::rollout_message;
use crate::rollouts::Report;

/// Time between two reports.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time within which the driving node receives a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time between two reports on one stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Error)]
enum Failure {
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("ended by the other node")]
    Ended,
    #[error("no receipt")]
    Timeout,
}

/// Reports while the service of the own upstream is rolled out. Runs until the future is dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let mut avoided = HashMap::new();
    loop {
        sleep(INTERVAL).await;
        if current_report(&node).is_none() {
            continue;
        }
        let Some((driver, address)) = node.directory.elect(&avoided) else {
            continue;
        };
        let result = if driver == node.locality.node {
            report_to_self(&node).await
        } else {
            report_to(&node, &driver, address).await
        };
        if let Err(reason) = result {
            log::info!(driver:% = driver, reason:%; "report on a roll-out not received");
            avoided.insert(driver, Deadline::after(FAILURE_MEMORY));
        }
    }
}

/// Report on the roll-out that is in progress; `None` if there is none, or nothing to tell.
fn current_report(node: &Node) -> Option<Report> {
    let record = node.directory.own_record();
    let (service, build) = (record.service?, record.build?);
    let rollout: Rollout = node.rollouts.known(&service)?.rollout;
    if rollout.stage.is_final() {
        return None;
    }
    Some(Report {
        service,
        order: rollout.order,
        build,
        evidence: node.rollouts.own_evidence(rollout.order)?,
    })
}

async fn report_to_self(node: &Node) -> Result<(), Failure> {
    while let Some(report) = current_report(node) {
        let own = node.locality.node.clone();
        node.rollouts.record_report(own, report);
        sleep(INTERVAL).await;
    }
    Ok(())
}

async fn report_to(
    node: &Node,
    driver: &id::Node,
    address: std::net::SocketAddr,
) -> Result<(), Failure> {
    let connection = Connection::connect(address, Deadline::after(REPORT_TIMEOUT)).await?;
    let Stream {
        mut sender,
        mut receiver,
    } = connection.open(wire::Kind::Rollout).await?;
    while let Some(report) = current_report(node) {
        let is_elected = |(elected, _): (id::Node, _)| elected == *driver;
        if !node
            .directory
            .elect(&HashMap::new())
            .is_some_and(is_elected)
        {
            return Ok(());
        }
        let report = rollout_message::encode_report(&node.locality.node, &report);
        let exchange = async {
            sender.send(&report).await?;
            let receipt = receiver.recv::<message::Receipt>().await?;
            receipt.map(drop).ok_or(Failure::Ended)
        };
        timeout(REPORT_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(Failure::Timeout))?;
        sleep(INTERVAL).await;
    }
    Ok(())
}

/// Serves a stream on which another node reports, until the stream ends.
pub(crate) async fn serve(node: &Node, stream: Stream) {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    while let Ok(Ok(Some(received))) = timeout(
        STREAM_IDLE_TIMEOUT,
        receiver.recv::<message::EvidenceReport>(),
    )
    .await
    {
        let Some((reporter, report)) = rollout_message::decode_report(received.message) else {
            break;
        };
        node.rollouts.record_report(reporter, report);
        if sender.send(&message::Receipt {}).await.is_err() {
            break;
        }
    }
    sender.reset();
}
