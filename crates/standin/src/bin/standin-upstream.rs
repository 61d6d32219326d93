//! Stand-in for an upstream as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use standin::upstream::Upstream;
use standin::{Behaviour, HealthMode, ServiceTime, UpstreamSettings};

/// Runs a small HTTP service. SIGTERM drains it.
#[derive(Debug, Options)]
#[expect(clippy::struct_excessive_bools, reason = "each switch is one flag")]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "address of the service",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: String,
    #[options(
        help = "address of the control endpoints",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    control: String,
    #[options(help = "service to announce", default = "standin", meta = "NAME")]
    service: String,
    #[options(
        help = "admin URL of the node to announce to; empty for none",
        meta = "URL"
    )]
    admin: String,
    #[options(help = "calls run at the same time", default = "12", meta = "N")]
    slots: u32,
    #[options(help = "connections accepted", default = "130", meta = "N")]
    connections: u32,
    #[options(
        help = "calls that wait for a slot; further ones are shed",
        default = "24",
        meta = "N"
    )]
    queue: u32,
    #[options(help = "time to open a connection, in microseconds", meta = "US")]
    connect_us: u32,
    #[options(
        help = "service times in microseconds, each with a weight: 900 or 900:95,20000:5",
        meta = "LIST"
    )]
    service_us: String,
    #[options(help = "time in state `starting`, in milliseconds", meta = "MS")]
    starting_ms: u32,
    #[options(
        help = "time after the start with longer service times, in milliseconds",
        meta = "MS"
    )]
    cold_ms: u32,
    #[options(
        help = "factor of the service times while cold",
        default = "10",
        meta = "N"
    )]
    cold_factor: u32,
    #[options(help = "length of the answers", meta = "BYTES")]
    answer_bytes: u32,
    #[options(help = "answer with the request id and the body of the request")]
    echo: bool,
    #[options(
        help = "cut the connection after this many bytes of an answer",
        meta = "BYTES"
    )]
    break_off_after: u32,
    #[options(help = "never answer")]
    never_answer: bool,
    #[options(help = "answer without a content length")]
    without_length: bool,
    #[options(help = "shed every call")]
    shed: bool,
    #[options(help = "URL to call before each answer", meta = "URL")]
    nested_url: String,
    #[options(help = "owner of the nested calls", meta = "NAME")]
    nested_owner: String,
    #[options(help = "honest, lagging or lying", default = "honest", meta = "MODE")]
    health: String,
    #[options(
        help = "age of the state shown by lagging health, in milliseconds",
        meta = "MS"
    )]
    health_lag_ms: u32,
    #[options(
        help = "longest drain, in milliseconds",
        default = "10000",
        meta = "MS"
    )]
    drain_ms: u64,
    #[options(help = "seed of the choice of service times", meta = "N")]
    seed: u64,
}

impl Arguments {
    fn settings(&self) -> UpstreamSettings {
        UpstreamSettings {
            service: self.service.clone(),
            admin_url: self.admin.trim_end_matches('/').to_owned(),
            slots: self.slots,
            connections: self.connections,
            queue: self.queue,
            connect_us: self.connect_us,
            starting_ms: self.starting_ms,
            cold_ms: self.cold_ms,
            cold_factor: self.cold_factor,
            seed: self.seed,
        }
    }

    fn behaviour(&self) -> Result<Behaviour, String> {
        let health = HealthMode::from_str_name(&self.health.to_uppercase());
        let health = health.ok_or_else(|| format!("--health: unknown mode `{}`", self.health))?;
        Ok(Behaviour {
            service_times: parse_times(&self.service_us)?,
            answer_bytes: self.answer_bytes,
            echo: self.echo,
            break_off_after: self.break_off_after,
            never_answer: self.never_answer,
            without_length: self.without_length,
            shed: self.shed,
            nested_url: self.nested_url.clone(),
            nested_owner: self.nested_owner.clone(),
            health: health.into(),
            health_lag_ms: self.health_lag_ms,
            ..Behaviour::default()
        })
    }
}

/// Reads a list of service times, each with an optional weight.
fn parse_times(list: &str) -> Result<Vec<ServiceTime>, String> {
    let parse = |text: &str| {
        let number = text.trim().parse::<u32>();
        number.map_err(|error| format!("--service-us: `{text}`: {error}"))
    };
    let entries = list.split(',').filter(|entry| !entry.is_empty());
    let times = entries.map(|entry| {
        let (us, weight) = entry.split_once(':').unwrap_or((entry, "1"));
        Ok(ServiceTime {
            us: parse(us)?,
            weight: parse(weight)?,
        })
    });
    times.collect()
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(left) => {
            eprintln!("standin-upstream: {left} calls were cut off by the end of the drain");
            ExitCode::FAILURE
        }
        Err(message) => {
            eprintln!("standin-upstream: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until the drain has ended; returns the number of calls that were cut off.
async fn run(arguments: &Arguments) -> Result<u32, String> {
    let parse = |text: &str| {
        let parsed = text.parse::<SocketAddr>();
        parsed.map_err(|error| format!("`{text}`: {error}"))
    };
    let (listen, control) = (parse(&arguments.listen)?, parse(&arguments.control)?);
    let behaviour = arguments.behaviour()?;
    let upstream = Upstream::start(listen, control, arguments.settings())
        .await
        .map_err(|error| error.to_string())?;
    upstream.set_behaviour(behaviour);
    println!(
        "upstream {} control {}",
        upstream.address(),
        upstream.control_address()
    );
    standin::wait_for_stop().await.map_err(|e| e.to_string())?;
    let left = upstream
        .drain(Duration::from_millis(arguments.drain_ms))
        .await;
    upstream.close().await;
    Ok(left)
}
