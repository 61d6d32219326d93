use std::net::SocketAddr;

use member::Record;
use types::{Timestamp, id, size};

/// Target that a call to a service may be sent to, from the membership table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Node beside the target.
    pub node: id::Node,
    /// Peer address of that node.
    pub address: SocketAddr,
    /// Region of that node.
    pub region: id::Region,
    /// Failure domain of that node.
    pub domain: id::Domain,
    /// Number of calls that the target runs concurrently.
    pub slots: size::Slots,
    /// Version of its software; `None` if it is not known.
    pub build: Option<id::Build>,
    /// Start time of its process, by its own clock; `None` if it is not known.
    pub started: Option<Timestamp>,
}

impl From<&Record> for Candidate {
    fn from(record: &Record) -> Self {
        Self {
            node: record.id.clone(),
            address: record.address,
            region: record.region.clone(),
            domain: record.domain.clone(),
            slots: record.slots,
            build: record.build.clone(),
            started: record.started,
        }
    }
}

/// Location of the node that chooses a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// The node.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// Distance between a node and a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// Same failure domain.
    Domain,
    /// Same region, another failure domain.
    Region,
    /// Another region.
    Any,
}

impl Tier {
    /// All tiers, nearest first.
    pub const ALL: [Self; 3] = [Self::Domain, Self::Region, Self::Any];

    /// Tier of a candidate as seen from `locality`.
    #[must_use]
    pub fn of(candidate: &Candidate, locality: &Locality) -> Self {
        if candidate.region != locality.region {
            Self::Any
        } else if candidate.domain != locality.domain {
            Self::Region
        } else {
            Self::Domain
        }
    }

    /// Name for log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::Any => "any",
        }
    }
}
