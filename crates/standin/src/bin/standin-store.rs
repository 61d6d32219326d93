//! Stand-in for the key-value store as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use standin::store::Store;
use standin::{Faults, Outage};

/// Runs a small key-value store with the HTTP/JSON gateway of etcd v3.
#[derive(Debug, Options)]
#[expect(clippy::struct_excessive_bools, reason = "each switch is one flag")]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "address of the gateway",
        default = "127.0.0.1:2379",
        meta = "IP:PORT"
    )]
    listen: String,
    #[options(
        help = "address of the control endpoints",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    control: String,
    #[options(help = "time that each answer waits, in milliseconds", meta = "MS")]
    latency_ms: u32,
    #[options(help = "reads allowed in one window; 0 for no limit", meta = "N")]
    read_limit: u32,
    #[options(help = "writes allowed in one window; 0 for no limit", meta = "N")]
    write_limit: u32,
    #[options(
        help = "length of the window of the limits",
        default = "1000",
        meta = "MS"
    )]
    limit_window_ms: u32,
    #[options(
        help = "HTTP status for calls over a limit; 0 for 429",
        meta = "STATUS"
    )]
    refusal_status: u32,
    #[options(help = "none, refuse or hang", default = "none", meta = "KIND")]
    outage: String,
    #[options(help = "number of writes whose answer is lost", meta = "N")]
    lose_answers: u32,
    #[options(help = "lost answers leave the connection open")]
    lose_silently: bool,
    #[options(help = "watches send nothing and stay open")]
    watch_silent: bool,
    #[options(help = "reads answer from this many revisions ago", meta = "N")]
    stale_revisions: u32,
    #[options(help = "number of events that watches leave out", meta = "N")]
    skip_events: u32,
    #[options(help = "number of messages that watches send twice", meta = "N")]
    repeat_messages: u32,
    #[options(help = "number of reads whose connection is closed", meta = "N")]
    break_reads: u32,
    #[options(help = "answers are cut in the middle of their JSON")]
    damage_answers: bool,
}

impl Arguments {
    fn faults(&self) -> Result<Faults, String> {
        let outage = Outage::from_str_name(&self.outage.to_uppercase())
            .ok_or_else(|| format!("--outage: `{}` is not none, refuse or hang", self.outage))?;
        Ok(Faults {
            latency_ms: self.latency_ms,
            read_limit: self.read_limit,
            write_limit: self.write_limit,
            refusal_status: self.refusal_status,
            outage: outage.into(),
            lose_answers: self.lose_answers,
            limit_window_ms: self.limit_window_ms,
            lose_silently: self.lose_silently,
            watch_silent: self.watch_silent,
            stale_revisions: self.stale_revisions,
            skip_events: self.skip_events,
            repeat_messages: self.repeat_messages,
            break_reads: self.break_reads,
            damage_answers: self.damage_answers,
            ..Faults::default()
        })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("standin-store: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), String> {
    let parse = |text: &str| {
        let parsed = text.parse::<SocketAddr>();
        parsed.map_err(|error| format!("`{text}`: {error}"))
    };
    let (listen, control) = (parse(&arguments.listen)?, parse(&arguments.control)?);
    let faults = arguments.faults()?;
    let store = Store::start(listen, control)
        .await
        .map_err(|e| e.to_string())?;
    store.apply_faults(faults).await;
    println!(
        "store {} control {}",
        store.address(),
        store.control_address()
    );
    standin::wait_for_stop().await.map_err(|e| e.to_string())?;
    store.close().await;
    Ok(())
}
