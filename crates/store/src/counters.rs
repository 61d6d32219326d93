use std::sync::atomic::{AtomicU64, Ordering};

use crate::Kind;

/// Calls sent, by kind.
#[derive(Default)]
pub(crate) struct Counters([AtomicU64; Kind::ALL.len()]);

impl Counters {
    /// Counts a call.
    pub(crate) fn count(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Reads the counter of a kind.
    pub(crate) fn get(&self, kind: Kind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}
