//! Log output: one line for each record on standard error, written by a thread of its own.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::append::asynchronous::AsyncBuilder;
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

/// Directs the records of the `log` crate to standard error.
///
/// Records of the HTTP library are left out below `error`: it writes several for each request.
///
/// # Errors
///
/// Returns [`Error::Level`] for an unknown level and [`Error::Logger`] when a logger is already in
/// place.
pub fn start(settings: &Log) -> Result<(), Error> {
    let level: LevelFilter = settings.level.parse()?;
    let output = if settings.format == "json" {
        Stderr::default().with_layout(JsonLayout::default())
    } else {
        Stderr::default().with_layout(TextLayout::default().no_color())
    };
    let writer = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(LINE_LIMIT))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let spec = format!("{level},rocket=off,hyper=off,hyper_util=off,h2=off,reqwest=off");
    let filter = RustLogFilterBuilder::try_from_spec(spec.as_str())?.build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer))
        .try_apply()?;
    // The logger asks for every level; without this, records below the level are built and dropped.
    log::set_max_level(level);
    Ok(())
}
