use types::rate::PerSecond;
use types::size;

/// Requests that a tenant may send to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate.
    pub rate: PerSecond,
    /// Requests beyond the rate at a time.
    pub burst: size::Burst,
}
