//! The node daemon `dandelionseamd`.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use node::{Options, daemon, logs};
use settings::Settings;
use tokio::runtime::{Builder, Runtime};

/// Exit code for faults in the settings.
const SETTINGS: u8 = 1;

/// Exit code for a wrong command line.
const USAGE: u8 = 2;

/// Exit code when the node cannot start.
const START: u8 = 3;

/// Threads that run tasks. Many nodes share a machine, and a node spends a few percent of a core.
const WORKERS: usize = 2;

/// Stack of each thread, in bytes.
const STACK: usize = 1024 * 1024;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::read(&arguments) {
        Ok(options) => options,
        Err(error) => return fail(USAGE, &format!("{error}\n\n{}", Options::usage())),
    };
    if options.help {
        println!("{}", Options::usage());
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("dandelionseamd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = &options.settings else {
        return fail(
            USAGE,
            &format!("--settings is missing\n\n{}", Options::usage()),
        );
    };
    match read(file) {
        Err(faults) => fail(SETTINGS, &faults),
        Ok(settings) if options.print_settings => {
            print!("{}", settings.print());
            ExitCode::SUCCESS
        }
        Ok(_) if options.check => ExitCode::SUCCESS,
        Ok(settings) => run(settings),
    }
}

fn read(file: &Path) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    Settings::read(&name, &text).map_err(|findings| findings.to_string())
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = logs::start(&settings.log) {
        return fail(START, &error.to_string());
    }
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(START, &format!("runtime: {error}")),
    };
    match runtime.block_on(daemon::run(settings)) {
        Ok(()) => {
            // Tasks of other peers may still run; nothing of them matters after the stop.
            runtime.shutdown_background();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::logger().flush();
            fail(START, &error.to_string())
        }
    }
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .thread_stack_size(STACK)
        .thread_name("node")
        .enable_all()
        .build()
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("dandelionseamd: {message}");
    ExitCode::from(code)
}
