use std::fmt::Write;
use std::sync::LazyLock;
use std::time::Instant;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};

/// Writes log lines to stderr when the variable `SPREAD_TEST_LOG` is set.
struct Logger;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Key-values of one line.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Into::into)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Debug && metadata.target().starts_with("spread")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut fields = Fields(String::new());
            record.key_values().visit(&mut fields).ok();
            let ms = START.elapsed().as_millis();
            eprintln!("{ms:6} {:5} {}{}", record.level(), record.args(), fields.0);
        }
    }

    fn flush(&self) {}
}

pub fn install() {
    if std::env::var_os("SPREAD_TEST_LOG").is_some() && log::set_logger(&Logger).is_ok() {
        LazyLock::force(&START);
        log::set_max_level(LevelFilter::Debug);
    }
}
