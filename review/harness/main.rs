//! Stand-ins and cases of the review. `harness CASE RECORD` plays one case.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruptions are left out.

mod cases;
mod client;
mod http;
mod json;
mod node;
mod record;
mod store;
mod target;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result =
        Record::create(Path::new(path)).and_then(|record| cases::play(case, &record, has_trouble));
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
