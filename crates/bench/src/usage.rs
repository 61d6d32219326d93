use std::fs;
use std::time::Duration;

use crate::Error;

/// Processor time and memory of a process, as the operating system reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub processor: Duration,
    /// Resident memory in KiB, shared pages of the program file included.
    pub resident_kib: u64,
    /// Anonymous resident memory in KiB: heap and stacks.
    pub anonymous_kib: u64,
}

impl Usage {
    /// Processor time since an earlier reading.
    #[must_use]
    pub const fn processor_since(&self, earlier: &Self) -> Duration {
        self.processor.saturating_sub(earlier.processor)
    }

    /// Reads the usage of the process `id`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the process has ended.
    pub fn read(id: u32) -> Result<Self, Error> {
        let status = read(&format!("/proc/{id}/status"))?;
        let kib = |key: &str| {
            status
                .lines()
                .find_map(|line| line.strip_prefix(key))
                .and_then(|rest| rest.split_whitespace().next())
                .and_then(|number| number.parse().ok())
                .unwrap_or_default()
        };
        Ok(Self {
            processor: read_processor(id)?,
            resident_kib: kib("VmRSS:"),
            anonymous_kib: kib("RssAnon:"),
        })
    }
}

/// Sum of the run time of all threads, which the scheduler counts in nanoseconds.
fn read_processor(id: u32) -> Result<Duration, Error> {
    let folder = format!("/proc/{id}/task");
    let tasks = fs::read_dir(&folder).map_err(|error| Error::Io(folder, error))?;
    let nanos = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    Ok(Duration::from_nanos(nanos))
}

fn read(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Io(path.to_owned(), error))
}
