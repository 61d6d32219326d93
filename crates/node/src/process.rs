//! Memory and CPU time of this process, from `/proc/self`.

use std::fs;

use types::size::Bytes;

/// Clock ticks per second in `/proc/self/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/self/stat` between the command, which ends with `)`, and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Reads the resident memory; `None` where `/proc` is not readable.
#[must_use]
pub fn read_resident_memory() -> Option<Bytes> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(Bytes::new(kibibytes * 1024))
}

/// Reads the CPU time in seconds, user and system together; `None` where `/proc` is not readable.
#[must_use]
pub fn read_cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command may contain spaces, so fields are counted from its closing parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
