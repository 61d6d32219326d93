use hdrhistogram::Histogram;

use crate::Error;

/// Largest value that a distribution holds: ten minutes in microseconds.
const VALUE_LIMIT: u64 = 600_000_000;

/// Distribution of measured values, in the unit of the caller.
#[derive(Clone, Debug)]
pub struct Sample(Histogram<u64>);

impl Sample {
    /// Creates an empty distribution.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] when the histogram cannot be created.
    pub fn new() -> Result<Self, Error> {
        Histogram::new_with_bounds(1, VALUE_LIMIT, 3)
            .map(Self)
            .map_err(|error| Error::Histogram(error.to_string()))
    }

    /// Adds a value; values above the limit count as the limit.
    pub fn add(&mut self, value: u64) {
        self.0.saturating_record(value);
    }

    /// Number of values.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Value below which `percent` of the values lie.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> u64 {
        self.0.value_at_percentile(percent)
    }

    /// Largest value.
    #[must_use]
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}
