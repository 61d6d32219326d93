use std::time::Duration;

use types::id;

use crate::{Candidate, Locality, Tier};

/// Limits on the targets of a service that a node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Farthest tier that may be used.
    pub reach: Tier,
    /// Number of targets that one node uses in each tier.
    pub subset: usize,
    /// Whether answers are large, so that calls stay in the region if it has a target.
    pub bulk: bool,
}

/// Input for the choice of a target for one call.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Reach and subset of the called service.
    pub scope: Scope,
    /// Locality of the node that sends the call.
    pub locality: &'a Locality,
    /// Targets that must not be chosen.
    pub excluded: &'a [id::Node],
    /// Average service time of such a call; zero if unknown.
    pub service_time: Duration,
}

/// Chosen target and the reason for the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub candidate: Candidate,
    /// Its tier.
    pub tier: Tier,
    /// Reason for log lines.
    pub reason: &'static str,
    /// Expected time until the answer arrives, including the network cost of its tier.
    pub expected_time: Duration,
}
