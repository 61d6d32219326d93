//! Memory and processor time of this process, from `/proc/self`.

use std::fs;

use types::size::Bytes;

/// Clock ticks in a second, as used by `/proc/self/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/self/stat` between the closing bracket of the command and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resident memory; `None` where `/proc` is not readable.
#[must_use]
pub fn resident() -> Option<Bytes> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(Bytes::new(kilobytes * 1024))
}

/// Processor time in seconds, user and system together; `None` where `/proc` is not readable.
#[must_use]
pub fn processor_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command may hold spaces, so fields are counted from its closing bracket.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
