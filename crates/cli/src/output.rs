use std::io::{IsTerminal, Write, stderr};

use cli::Failure;
use cli::wait::Progress;
use serde::Serialize;
use serde_json::json;
use types::Version;

/// Where results and failures are printed: results to standard output, the rest to standard error.
pub struct Output {
    json: bool,
}

impl Output {
    pub const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result as JSON, or as the text that `text` makes of it.
    pub fn result<R, T>(&self, result: &R, text: T)
    where
        R: Serialize,
        T: FnOnce(&R) -> String,
    {
        if self.json {
            println!("{}", to_json(result));
        } else {
            println!("{}", text(result));
        }
    }

    /// Prints a failure; as JSON, it takes the place of the result.
    pub fn failure(&self, failure: &Failure) {
        if !self.json {
            match failure {
                Failure::Findings(findings) => eprintln!("{findings}"),
                _ => eprintln!("dandelionseam: {failure}"),
            }
            return;
        }
        let message = match failure {
            Failure::Findings(findings) => {
                json!({ "failure": failure.kind(), "findings": findings.sorted() })
            }
            _ => json!({ "failure": failure.kind(), "message": failure.to_string() }),
        };
        println!("{message}");
    }
}

/// Prints how far a version has come: one line that is written over on a terminal, else one line
/// for each state.
pub fn progress(version: Version, progress: &Progress) {
    let mut stream = stderr().lock();
    // A progress line that cannot be written is no reason to stop.
    let _ = if !stream.is_terminal() {
        writeln!(stream, "version {version}: {progress}")
    } else if progress.is_complete() {
        writeln!(stream, "\r\x1b[Kversion {version}: {progress}")
    } else {
        write!(stream, "\r\x1b[Kversion {version}: {progress}")
    };
    let _ = stream.flush();
}

fn to_json<R>(result: &R) -> String
where
    R: Serialize,
{
    serde_json::to_string(result).unwrap_or_else(|error| {
        json!({ "failure": "output", "message": error.to_string() }).to_string()
    })
}
