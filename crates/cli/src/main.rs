//! The tool `dandelionseam`: checks and publishes operator files, and reports on the mesh.

mod arguments;
mod command;
mod output;

use std::process::ExitCode;

use arguments::{Arguments, Command};
use cli::Failure;
use gumdrop::Options;
use output::Output;

/// Exit code for arguments that have no meaning.
const USAGE: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&words) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("dandelionseam: {error}; see dandelionseam --help");
            return ExitCode::from(USAGE);
        }
    };
    if arguments.help_requested() {
        println!("{}", arguments.usage_text());
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("dandelionseam: no command; see dandelionseam --help");
        return ExitCode::from(USAGE);
    };
    let output = Output::new(command.json());
    match run(command, &output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(command: Command, output: &Output) -> Result<(), Failure> {
    match command {
        Command::Check(options) => command::check::run(&options, output).await,
        Command::Publish(options) => command::publish::run(&options, output).await,
        Command::Status(options) => command::status::run(&options, output).await,
        Command::Diff(options) => command::diff::run(&options, output).await,
        Command::History(options) => command::history::run(&options, output).await,
        Command::Account(options) => command::account::run(&options, output).await,
    }
}
