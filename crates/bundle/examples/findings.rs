//! Validates directories with operator files and prints all findings.
//!
//!     cargo run -p bundle --example findings -- examples/caroni examples/koperglans

use std::process::ExitCode;

use bundle::read_sources;

fn main() -> ExitCode {
    let (set, mut findings) = read_sources(std::env::args().skip(1));
    findings.append(set.validate([]));
    if findings.is_empty() {
        println!("{} services without findings", set.sources.len());
        return ExitCode::SUCCESS;
    }
    println!("{findings}");
    ExitCode::FAILURE
}
