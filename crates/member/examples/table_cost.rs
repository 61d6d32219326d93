//! Prints the memory and time that a membership table of a full mesh takes: 16,000 nodes in 470
//! services, 4 regions and 11 failure domains.
//!
//! Run with `cargo run --release -p member --example table_cost`.

use std::error::Error;
use std::time::Duration;

use member::{Record, State, Table};
use tokio::time::Instant;
use types::{Incarnation, size::Slots};

const NODES: u32 = 16_000;
const SERVICES: u32 = 470;
const DOMAINS: u32 = 11;
const FANOUT: u32 = 6;

fn main() -> Result<(), Box<dyn Error>> {
    let before_kib = resident_kib()?;
    let now = Instant::now();
    let mut table = Table::default();
    let start = Instant::now();
    for number in 0..NODES {
        table.merge(record(number, 1)?, now);
    }
    let elapsed = start.elapsed();
    println!(
        "resident memory of the table: {} KiB",
        resident_kib()? - before_kib
    );
    println!("merge of a new record: {:?}", elapsed / NODES);

    let changed: Vec<Record> = (0..NODES)
        .map(|number| record(number, 2))
        .collect::<Result<_, _>>()?;
    let start = Instant::now();
    for record in changed {
        table.merge(record, now);
    }
    println!("merge of a changed record: {:?}", start.elapsed() / NODES);

    let records: Vec<Record> = table.iter().take(1000).cloned().collect();
    let measure = |name: &str, run: &dyn Fn(&Record) -> usize| {
        let start = Instant::now();
        let results: usize = records.iter().map(run).sum();
        let each = start.elapsed() / u32::try_from(records.len()).unwrap_or(1);
        println!("{name}: {each:?} ({results} results)");
    };
    measure("parent candidates", &|record| {
        member::find_parent_candidates(&table, record, FANOUT).len()
    });
    measure("standby", &|record| {
        usize::from(member::choose_standby(&table, record, None, FANOUT).is_some())
    });
    measure("witnesses", &|record| {
        member::find_witnesses(&table, record, FANOUT).len()
    });
    measure("reader candidates", &|record| {
        member::find_reader_candidates(&table, &record.region).len()
    });
    measure("digest", &|_| usize::from(table.digest() > 0));
    measure("targets of a service", &|record| {
        record
            .service
            .as_ref()
            .map_or(0, |name| table.targets(name).count())
    });
    let root = &records[0];
    let start = Instant::now();
    let detached = member::find_detached(&table, root).len();
    println!(
        "detached nodes of a region: {:?} ({detached} results)",
        start.elapsed()
    );
    let start = Instant::now();
    let mut bytes = 0;
    for (record, age) in table.records_in_buckets(&[true; member::BUCKET_COUNT], now) {
        bytes += schema::codec::encode(&record.to_message(gone_s(age)))?.len();
    }
    println!(
        "all records as messages: {:?}, {bytes} bytes",
        start.elapsed()
    );
    let change = schema::control::Change::from(&root.state_change());
    println!(
        "one state change: {} bytes",
        schema::codec::encode(&change)?.len()
    );
    Ok(())
}

fn gone_s(age: Duration) -> u32 {
    u32::try_from(age.as_secs()).unwrap_or(u32::MAX)
}

fn record(number: u32, sequence: u32) -> Result<Record, Box<dyn Error>> {
    let domain = number % DOMAINS;
    let [_, _, high, low] = number.to_be_bytes();
    let address = ([10, 0, high, low], 8081).into();
    let (region, domain) = (
        format!("region-{}", domain % 4).parse()?,
        format!("domain-{domain}").parse()?,
    );
    let id = format!("node-{number:05}").parse()?;
    let mut record = Record::new(
        id,
        address,
        region,
        domain,
        Incarnation::new(1_760_000_000_000),
    );
    record.service = Some(format!("service-{:03}", number % SERVICES).parse()?);
    record.slots = Slots::new(12);
    record.state = State::Ready;
    record.sequence = sequence;
    record.parent = Some(format!("node-{:05}", number / 6).parse()?);
    Ok(record)
}

/// Reads the resident memory of this process, in KiB.
fn resident_kib() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no number")?.parse()?)
}
