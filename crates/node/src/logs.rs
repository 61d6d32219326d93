//! Log output: one line for each record, written by a separate thread.

use log::LevelFilter;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;
use schema::settings::Log;
use thiserror::Error;

/// Lines that may wait for the writer thread. Further ones are dropped, so that a blocked output
/// never delays a call.
const MAX_BUFFERED_LINES: usize = 8192;

/// Reason why the logger was not installed.
#[derive(Debug, Error)]
pub enum Error {
    /// The log level is unknown.
    #[error("log level: {0}")]
    Level(#[from] log::ParseLevelError),
    /// Another logger is already installed.
    #[error("log: {0}")]
    Logger(#[from] logforth::Error),
}

/// Installs a logger that writes the records of the `log` crate to the configured output.
///
/// The records of the HTTP libraries are left out, because they write several for each request.
///
/// # Errors
///
/// Returns [`Error::Level`] for an unknown level and [`Error::Logger`] when a logger is already
/// installed.
pub fn init(settings: &Log) -> Result<(), Error> {
    let level: LevelFilter = settings.level.parse()?;
    let writer = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming();
    let json = settings.format == "json";
    let writer = match (settings.output.as_str(), json) {
        ("stdout", true) => writer.append(Stdout::default().with_layout(JsonLayout::default())),
        ("stdout", false) => writer.append(Stdout::default().with_layout(text_layout())),
        (_, true) => writer.append(Stderr::default().with_layout(JsonLayout::default())),
        (_, false) => writer.append(Stderr::default().with_layout(text_layout())),
    };
    let writer = writer.build();
    let spec = format!("{level},rocket=off,hyper=off,hyper_util=off,h2=off,reqwest=off");
    let filter = RustLogFilterBuilder::try_from_spec(spec.as_str())?.build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer))
        .try_apply()?;
    // The logger enables every level; without this, records below the level are built and dropped.
    log::set_max_level(level);
    Ok(())
}

fn text_layout() -> TextLayout {
    TextLayout::default().no_color()
}
