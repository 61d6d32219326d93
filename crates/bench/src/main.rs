//! Command line of the measuring program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bench::{Baseline, Error, Fit, Plan, Table, calls, restart, spread, state};
use gumdrop::Options;

/// Measures real nodes on this machine.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, meta = "N", default = "20", help = "nodes")]
    nodes: usize,
    #[options(no_short, meta = "N", default = "4", help = "regions")]
    regions: usize,
    #[options(no_short, meta = "N", default = "11", help = "failure domains")]
    domains: usize,
    #[options(no_short, meta = "N", default = "20", help = "services")]
    services: usize,
    #[options(no_short, meta = "N", default = "6", help = "children for each node")]
    fanout: u32,
    #[options(
        no_short,
        meta = "US",
        default = "500",
        help = "one-way delay between failure domains"
    )]
    domain_delay_us: u64,
    #[options(
        no_short,
        meta = "US",
        default = "30000",
        help = "one-way delay between regions"
    )]
    region_delay_us: u64,
    #[options(
        no_short,
        meta = "KIND",
        default = "tree",
        help = "tree, store or snapshots"
    )]
    baseline: Baseline,
    #[options(no_short, meta = "N", default = "10", help = "publications")]
    changes: u32,
    #[options(
        no_short,
        meta = "MS",
        default = "1000",
        help = "time between publications"
    )]
    interval_ms: u64,
    #[options(
        no_short,
        meta = "MS",
        default = "10000",
        help = "time without publications"
    )]
    quiet_ms: u64,
    #[options(
        no_short,
        meta = "LIST",
        default = "10,20,40,80,160",
        help = "node counts of the slopes"
    )]
    sizes: String,
    #[options(
        no_short,
        meta = "N",
        default = "16000",
        help = "membership records of the state measurement"
    )]
    records: usize,
    #[options(
        no_short,
        meta = "N",
        default = "350",
        help = "calls a second at each node"
    )]
    rate: u32,
    #[options(
        no_short,
        meta = "MS",
        default = "20000",
        help = "time for which calls are sent"
    )]
    time_ms: u64,
    #[options(
        no_short,
        meta = "US",
        default = "1000",
        help = "service time of the upstreams"
    )]
    service_us: u64,
    #[options(no_short, meta = "FILE", help = "write the table as CSV")]
    csv: Option<PathBuf>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "publish versions to one mesh")]
    Spread(Empty),
    #[options(help = "publish versions to meshes of several sizes and fit lines")]
    Slopes(Empty),
    #[options(help = "kill and restart a whole failure domain")]
    Restart(Empty),
    #[options(help = "fill one node with the state of the full size")]
    State(Empty),
    #[options(help = "send calls through the mesh and straight to the upstreams")]
    Calls(Empty),
}

#[derive(Debug, Options)]
struct Empty {}

impl Arguments {
    fn plan(&self) -> Plan {
        Plan {
            nodes: self.nodes,
            regions: self.regions,
            domains: self.domains,
            services: self.services,
            fanout: self.fanout,
            domain_delay_us: self.domain_delay_us,
            region_delay_us: self.region_delay_us,
            baseline: self.baseline,
        }
    }

    fn load(&self) -> spread::Load {
        spread::Load {
            changes: self.changes,
            interval: Duration::from_millis(self.interval_ms),
            quiet: Duration::from_millis(self.quiet_ms),
        }
    }

    fn finish<R>(&self, rows: &[R]) -> Result<(), Error>
    where
        R: serde::Serialize,
    {
        let table = Table::new(rows)?;
        table.print();
        self.csv.as_ref().map_or(Ok(()), |path| table.write(path))
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.command {
        Some(Command::Spread(_)) => run_spread(&arguments).await,
        Some(Command::Slopes(_)) => run_slopes(&arguments).await,
        Some(Command::Restart(_)) => run_restart(&arguments).await,
        Some(Command::State(_)) => run_state(&arguments).await,
        Some(Command::Calls(_)) => run_calls(&arguments).await,
        None => Err(Error::Answer("no command; see --help".to_owned())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dandelionseam-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_spread(arguments: &Arguments) -> Result<(), Error> {
    let (row, kinds) = spread::measure(arguments.plan(), arguments.load()).await?;
    arguments.finish(&[row])?;
    for (kind, bytes) in kinds {
        println!("sent {kind:<17}{bytes:>12.0}");
    }
    Ok(())
}

async fn run_slopes(arguments: &Arguments) -> Result<(), Error> {
    let sizes = arguments
        .sizes
        .split(',')
        .map(|size| size.trim().parse::<usize>());
    let sizes = sizes
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| Error::Answer(error.to_string()))?;
    let mut rows = Vec::new();
    for nodes in sizes {
        let plan = Plan {
            nodes,
            ..arguments.plan()
        };
        eprintln!("{nodes} nodes");
        rows.push(spread::measure(plan, arguments.load()).await?.0);
    }
    arguments.finish(&rows)?;
    print_fits(&rows);
    Ok(())
}

/// One quantity of a row as a number.
type Quantity = (&'static str, fn(&spread::Row) -> f64);

#[expect(
    clippy::cast_precision_loss,
    reason = "measured values are far below 2^52"
)]
fn print_fits(rows: &[spread::Row]) {
    let quantities: [Quantity; 13] = [
        ("converge_p50_ms", |row| row.converge_p50_ms as f64),
        ("converge_p99_ms", |row| row.converge_p99_ms as f64),
        ("converge_last_ms", |row| row.converge_last_ms as f64),
        ("quiet_p50", |row| row.quiet_p50),
        ("quiet_max", |row| row.quiet_max),
        ("change_p50", |row| row.change_p50),
        ("change_max", |row| row.change_max),
        ("change_regions", |row| row.change_regions),
        ("quiet_core_percent", |row| row.quiet_core_percent),
        ("change_core_us", |row| row.change_core_us),
        ("resident_kib", |row| row.resident_kib as f64),
        ("store_quiet", |row| row.store_quiet),
        ("store_change", |row| row.store_change),
    ];
    println!("\nlines over the number of nodes:");
    for (name, value) in quantities {
        let points: Vec<_> = rows
            .iter()
            .map(|row| (row.nodes as f64, value(row)))
            .collect();
        if let Some(fit) = Fit::new(&points) {
            println!("{name:<22}{fit}");
        }
    }
}

async fn run_restart(arguments: &Arguments) -> Result<(), Error> {
    arguments.finish(&[restart::measure(arguments.plan()).await?])
}

async fn run_state(arguments: &Arguments) -> Result<(), Error> {
    arguments.finish(&[state::measure(arguments.plan(), arguments.records).await?])
}

async fn run_calls(arguments: &Arguments) -> Result<(), Error> {
    let load = calls::Load {
        rate: arguments.rate,
        time: Duration::from_millis(arguments.time_ms),
        service_us: arguments.service_us,
    };
    let report = calls::measure(arguments.plan(), load).await?;
    arguments.finish(std::slice::from_ref(&report.row))?;
    println!("\npercentile      direct us     mesh us");
    for percent in [10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0] {
        println!(
            "{percent:>10}{:>15}{:>12}",
            report.direct.percentile(percent),
            report.mesh.percentile(percent)
        );
    }
    Ok(())
}
