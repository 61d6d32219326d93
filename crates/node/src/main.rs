//! The node daemon `dandelionseamd`.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use node::{Options, daemon, logs};
use settings::Settings;
use tokio::runtime::{Builder, Runtime};

/// Exit code for errors in the settings.
const EXIT_SETTINGS: u8 = 1;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Exit code when the node cannot start.
const EXIT_START: u8 = 3;

/// Threads that run tasks. Many nodes share a machine, and a node uses a few percent of a core.
const WORKER_THREADS: usize = 2;

/// Stack size of each thread.
const STACK_BYTES: usize = 1024 * 1024;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse(&arguments) {
        Ok(options) => options,
        Err(error) => return fail(EXIT_USAGE, &format!("{error}\n\n{}", Options::usage())),
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
            EXIT_USAGE,
            &format!("--settings is missing\n\n{}", Options::usage()),
        );
    };
    match read_settings(file) {
        Err(findings) => fail(EXIT_SETTINGS, &findings),
        Ok(settings) if options.print_settings => {
            print!("{}", settings.print());
            ExitCode::SUCCESS
        }
        Ok(_) if options.check => ExitCode::SUCCESS,
        Ok(settings) => run(settings),
    }
}

fn read_settings(file: &Path) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    Settings::read(&name, &text).map_err(|findings| findings.to_string())
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = logs::init(&settings.log) {
        return fail(EXIT_START, &error.to_string());
    }
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_START, &format!("runtime: {error}")),
    };
    match runtime.block_on(daemon::run(settings)) {
        Ok(()) => {
            // Tasks that serve other peers may still run, but their results no longer matter.
            runtime.shutdown_background();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::logger().flush();
            fail(EXIT_START, &error.to_string())
        }
    }
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_stack_size(STACK_BYTES)
        .thread_name("node")
        .enable_all()
        .build()
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("dandelionseamd: {message}");
    ExitCode::from(code)
}
