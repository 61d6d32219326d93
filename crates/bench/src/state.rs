//! Memory of a node that holds the configuration and membership of the full size.

use std::time::Duration;

use schema::control::{Heartbeat, Hello, Link, Message, Record, Records, State, message::Kind};
use serde::Serialize;
use tokio::time::{Instant, sleep};
use types::{Deadline, Timestamp};
use wire::{Connection, Stream};

use crate::{Error, Mesh, Plan, Usage};

/// Records in one message.
const BATCH: usize = 500;

/// Longest wait for each step.
const STEP_LIMIT: Duration = Duration::from_mins(1);

/// Time for freed memory to be returned before it is read.
const MEMORY_RETURN_DELAY: Duration = Duration::from_secs(3);

/// Memory of one node before and after it was filled.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Row {
    /// Services in the configuration.
    pub services: usize,
    /// Membership records that the node was sent.
    pub records: usize,
    /// Resident memory of a node with one service and one record, in KiB.
    pub idle_resident_kib: u64,
    /// Anonymous part of it, in KiB.
    pub idle_anonymous_kib: u64,
    /// Resident memory with all services, in KiB.
    pub services_resident_kib: u64,
    /// Resident memory with all services and records, in KiB.
    pub full_resident_kib: u64,
    /// Anonymous part of it, in KiB.
    pub full_anonymous_kib: u64,
    /// Resident memory after the node has listed all members once, in KiB.
    pub listed_resident_kib: u64,
    /// Members in that list.
    pub listed: usize,
    /// Bytes of the record messages.
    pub record_bytes: u64,
    /// Processor time that the records took, in milliseconds.
    pub record_core_ms: u128,
    /// Processor time in ten seconds after that, in milliseconds.
    pub quiet_core_ms: u128,
}

/// Fills one node with `plan.services` services and `records` records and reads its memory.
///
/// # Errors
///
/// Returns an error when a process fails or the node does not take the records.
pub async fn measure(plan: Plan, records: usize) -> Result<Row, Error> {
    let idle = measure_idle(plan).await?;
    let mesh = start_one(plan).await?;
    let with_services = mesh.usage_of(0)?;
    let (connection, mut stream) = open_region_link(&mesh).await?;
    let mut record_bytes = 0;
    for start in (0..records).step_by(BATCH) {
        let batch = (start..records.min(start + BATCH)).map(record).collect();
        let message = Kind::Records(Records {
            records: batch,
            ..Records::default()
        });
        record_bytes += send(&mut stream, message).await?;
    }
    wait_members(&mesh, records, &mut stream).await?;
    let filled = mesh.usage_of(0)?;
    beat(&mut stream, MEMORY_RETURN_DELAY).await?;
    let before = mesh.usage_of(0)?;
    beat(&mut stream, Duration::from_secs(10)).await?;
    let full = mesh.usage_of(0)?;
    let listed = mesh.listed_members(0).await?;
    let after_list = mesh.usage_of(0)?;
    connection.close();
    mesh.close();
    Ok(Row {
        services: plan.services,
        records,
        idle_resident_kib: idle.resident_kib,
        idle_anonymous_kib: idle.anonymous_kib,
        services_resident_kib: with_services.resident_kib,
        full_resident_kib: full.resident_kib,
        full_anonymous_kib: full.anonymous_kib,
        listed_resident_kib: after_list.resident_kib,
        listed,
        record_bytes,
        record_core_ms: filled.processor_since(&with_services).as_millis(),
        quiet_core_ms: full.processor_since(&before).as_millis(),
    })
}

async fn measure_idle(plan: Plan) -> Result<Usage, Error> {
    let mesh = start_one(Plan {
        services: 1,
        ..plan
    })
    .await?;
    let usage = mesh.usage_of(0)?;
    mesh.close();
    Ok(usage)
}

async fn start_one(plan: Plan) -> Result<Mesh, Error> {
    let mesh = Mesh::start(Plan { nodes: 1, ..plan }).await?;
    mesh.wait_ready(&[0], Deadline::after(STEP_LIMIT)).await?;
    sleep(MEMORY_RETURN_DELAY).await;
    Ok(mesh)
}

/// Opens the link that the root of another region would open.
async fn open_region_link(mesh: &Mesh) -> Result<(Connection, Stream), Error> {
    let peer = mesh.nodes[0].address.peers.parse();
    let peer = peer.map_err(|_| Error::Answer("peer address".to_owned()))?;
    let connection = Connection::connect(peer, Deadline::after(STEP_LIMIT)).await?;
    let mut stream = connection.open(wire::Kind::Control).await?;
    let hello = Hello {
        protocol: wire::PROTOCOL_VERSION,
        record: Some(root()),
        ..Hello::default()
    };
    let mut hello = hello;
    hello.set_link(Link::Region);
    send(&mut stream, Kind::Hello(hello)).await?;
    match receive(&mut stream).await? {
        Kind::Welcome(_) => Ok((connection, stream)),
        other => Err(Error::Answer(format!("{other:?}"))),
    }
}

fn root() -> Record {
    Record {
        id: "r1-root".to_owned(),
        root: true,
        ..record(0)
    }
}

/// Record `number` of the full size: 470 services, 11 failure domains, 3 further regions.
fn record(number: usize) -> Record {
    let domain = number % 11;
    let region = 1 + domain % 3;
    let mut record = Record {
        id: format!("r{region}-d{domain}-node-{number}"),
        address: format!("127.{}.{}.1:7001", 1 + number / 250, number % 250),
        region: format!("r{region}"),
        domain: format!("r{region}-d{domain}"),
        service: format!("service-{}", number % 470),
        slots: 12,
        incarnation: Timestamp::now().get(),
        sequence: 3,
        parent: if number == 0 {
            String::new()
        } else {
            parent_of(number)
        },
        ..Record::default()
    };
    record.set_state(State::Ready);
    record
}

/// Id of some node of the same failure domain.
fn parent_of(number: usize) -> String {
    let domain = number % 11;
    let parent = (number / 11 / 6) * 11 + domain;
    format!("r{}-d{domain}-node-{parent}", 1 + domain % 3)
}

/// Waits until the node shows all records, with heartbeats so that it keeps the link.
async fn wait_members(mesh: &Mesh, records: usize, stream: &mut Stream) -> Result<(), Error> {
    let deadline = Deadline::after(STEP_LIMIT);
    while mesh.live_members(0).await? < records {
        if deadline.has_passed(Instant::now()) {
            return Err(Error::Deadline(format!("{records} records")));
        }
        beat(stream, Duration::from_millis(500)).await?;
    }
    Ok(())
}

/// Sends heartbeats and reads what comes for some time.
async fn beat(stream: &mut Stream, time: Duration) -> Result<(), Error> {
    let end = Deadline::after(time);
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    while !end.has_passed(Instant::now()) {
        tokio::select! {
            _ = tick.tick() => {
                send(stream, Kind::Heartbeat(Heartbeat::default())).await?;
            }
            kind = receive(stream) => {
                kind?;
            }
        }
    }
    Ok(())
}

async fn send(stream: &mut Stream, kind: Kind) -> Result<u64, Error> {
    Ok(stream
        .sender
        .send(&Message { kind: Some(kind) })
        .await?
        .get())
}

async fn receive(stream: &mut Stream) -> Result<Kind, Error> {
    let frame = stream.receiver.recv::<Message>().await?;
    let kind = frame.and_then(|frame| frame.message.kind);
    kind.ok_or_else(|| Error::Answer("end of the stream".to_owned()))
}
