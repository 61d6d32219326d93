//! Log output: one line for each record, written by a thread of its own.

use log::LevelFilter;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;
use schema::settings::Log;
use thiserror::Error;

/// Lines that may wait for the writer. Further ones are dropped, so a blocked output never delays a
/// call.
const LINE_LIMIT: usize = 8192;

/// Reason why the log was not set up.
#[derive(Debug, Error)]
pub enum Error {
    /// The level is not one of the names.
    #[error("log level: {0}")]
    Level(#[from] log::ParseLevelError),
    /// A logger is already in place.
    #[error("log: {0}")]
    Logger(#[from] logforth::Error),
}

/// Directs the records of the `log` crate to the output of the settings.
///
/// Records of the HTTP library are left out below `error`: it writes several for each request.
///
/// # Errors
///
/// Returns [`Error::Level`] for an unknown level and [`Error::Logger`] when a logger is already in
/// place.
pub fn start(settings: &Log) -> Result<(), Error> {
    let level: LevelFilter = settings.level.parse()?;
    let writer = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(LINE_LIMIT))
        .overflow_drop_incoming();
    let json = settings.format == "json";
    let writer = match (settings.output.as_str(), json) {
        ("stdout", true) => writer.append(Stdout::default().with_layout(JsonLayout::default())),
        ("stdout", false) => writer.append(Stdout::default().with_layout(text())),
        (_, true) => writer.append(Stderr::default().with_layout(JsonLayout::default())),
        (_, false) => writer.append(Stderr::default().with_layout(text())),
    };
    let writer = writer.build();
    let spec = format!("{level},rocket=off,hyper=off,hyper_util=off,h2=off,reqwest=off");
    let filter = RustLogFilterBuilder::try_from_spec(spec.as_str())?.build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer))
        .try_apply()?;
    // The logger asks for every level; without this, records below the level are built and dropped.
    log::set_max_level(level);
    Ok(())
}

fn text() -> TextLayout {
    TextLayout::default().no_color()
}
