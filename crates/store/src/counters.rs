use std::sync::atomic::{AtomicU64, Ordering};

use crate::Kind;

/// Calls sent and bytes of their bodies, by kind.
#[derive(Default)]
pub(crate) struct Counters {
    calls: [AtomicU64; Kind::ALL.len()],
    bytes: [AtomicU64; Kind::ALL.len()],
}

impl Counters {
    /// Counts a call with the size of its request.
    pub(crate) fn count(&self, kind: Kind, request: usize) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.add_bytes(kind, request);
    }

    /// Counts bytes that were sent or received beside the request.
    pub(crate) fn add_bytes(&self, kind: Kind, count: usize) {
        self.bytes[kind as usize].fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Calls of a kind.
    pub(crate) fn calls(&self, kind: Kind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Bytes of a kind.
    pub(crate) fn bytes(&self, kind: Kind) -> u64 {
        self.bytes[kind as usize].load(Ordering::Relaxed)
    }
}
