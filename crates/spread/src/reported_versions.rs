//! Versions that peers have reported as held.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;
use types::Version;

/// Maximum number of addresses. Only children and standby children report to a node.
const MAX_ADDRESSES: usize = 4096;

/// Highest version that each peer address has reported as held, with the time of its last report.
#[derive(Debug, Default)]
pub struct ReportedVersions {
    held: HashMap<SocketAddr, (Version, Instant)>,
}

impl ReportedVersions {
    /// Records a report. A restarted node without state reports a lower version than before, which
    /// does not replace the higher one.
    pub fn record(&mut self, address: SocketAddr, version: Version, now: Instant) {
        if version == Version::NONE {
            return;
        }
        if self.held.len() >= MAX_ADDRESSES && !self.held.contains_key(&address) {
            self.drop_oldest();
        }
        let entry = self.held.entry(address).or_insert((version, now));
        *entry = (entry.0.max(version), now);
    }

    /// Highest version that the address has reported.
    #[must_use]
    pub fn version(&self, address: &SocketAddr) -> Option<Version> {
        self.held.get(address).map(|(version, _)| *version)
    }

    /// Highest version that any address has reported.
    #[must_use]
    pub fn highest(&self) -> Version {
        let versions = self.held.values().map(|(version, _)| *version);
        versions.max().unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.held.iter().min_by_key(|(_, (_, seen))| *seen);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.held.remove(&address);
        }
    }
}
