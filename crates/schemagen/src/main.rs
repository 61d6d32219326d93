//! Generator of the `schema` crate.
//!
//! `schemagen` compiles the `.proto` files of the `schema` crate with `protox`. Message files go
//! through `prost-build`, which adds the `bincode` derives; settings files go through [`settings`],
//! which writes a struct with a key table for each message. Files of [`json`] get `serde` derives. With `--check` nothing is written and
//! the exit code says whether the committed code is current.

mod json;
mod message;
mod settings;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thiserror::Error;

/// Files whose messages travel or are stored.
const MESSAGE_FILES: [&str; 6] = [
    "bundle.proto",
    "control.proto",
    "call.proto",
    "directory.proto",
    "quota.proto",
    "rollout.proto",
];
/// Files whose messages travel as JSON.
const JSON_FILES: [&str; 3] = ["gateway.proto", "standin.proto", "upstream.proto"];
/// Files whose messages are INI sections.
const SETTINGS_FILES: [&str; 2] = ["settings.proto", "operator.proto"];

/// Reason why generation failed.
#[derive(Debug, Error)]
enum Failure {
    #[error("schema: {0}")]
    Schema(#[from] protox::Error),
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    #[error("generated code: {0}")]
    Syntax(#[from] syn::Error),
    #[error("{message}.{field}: {reason}")]
    Field {
        message: String,
        field: String,
        reason: String,
    },
}

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(stale) => {
            eprintln!("{stale} generated files differ from the schema; run schemagen");
            ExitCode::FAILURE
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

/// Generates all files; returns the number of files that differ when `check` is set.
fn run(check: bool) -> Result<usize, Failure> {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let proto = schema.join("proto");
    let mut files = message::generate(&proto, &MESSAGE_FILES)?;
    for file in SETTINGS_FILES {
        let name = file.replace(".proto", ".rs");
        files.insert(name, settings::generate(&proto, file)?);
    }
    for file in JSON_FILES {
        let name = file.replace(".proto", ".rs");
        files.insert(name, json::generate(&proto, file)?);
    }
    place(&schema.join("src/generated"), &files, check)
}

/// Writes the files, or counts the ones that differ when `check` is set.
fn place(
    folder: &PathBuf,
    files: &BTreeMap<String, String>,
    check: bool,
) -> Result<usize, Failure> {
    let mut stale = 0;
    for (name, code) in files {
        let path = folder.join(name);
        if check {
            let held = std::fs::read_to_string(&path).unwrap_or_default();
            stale += usize::from(held != *code);
        } else {
            std::fs::create_dir_all(folder)?;
            std::fs::write(path, code)?;
        }
    }
    Ok(stale)
}
