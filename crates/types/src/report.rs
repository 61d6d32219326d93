//! JSON that the admin port of a node answers with, and that `dandelionseam` reads.
//!
//! The node fills these in, the tool reads them. Fields that a reader does not know are ignored, and
//! fields that are absent get their defaults, so tool and nodes of different releases work together.

use serde::{Deserialize, Serialize};

/// Answer to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Id of the node that answers.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Version that the node holds; zero when none.
    pub version: u64,
    /// Digest of that version, in hexadecimal.
    pub digest: String,
    /// Whether the node accepts calls.
    pub ready: bool,
    /// Whether the node is the reader of its region. Only a reader's summaries cover the whole mesh.
    pub reader: bool,
    /// Known readers, one for each region.
    pub readers: Vec<Reader>,
    /// Versions held, one entry for each failure domain that the node knows about.
    pub summaries: Vec<Summary>,
}

/// Reader of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Reader {
    /// Region that it reads for.
    pub region: String,
    /// Id of the node.
    pub node: String,
    /// Base URL of its admin port; empty when not known.
    pub admin: String,
}

/// Versions held in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Summary {
    /// Region of the failure domain.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Number of live nodes.
    pub nodes: u32,
    /// Lowest version held.
    pub lowest: u64,
    /// Highest version held.
    pub highest: u64,
    /// Number of nodes that hold the highest version.
    pub current: u32,
    /// Ids of some nodes that do not.
    pub lagging: Vec<String>,
    /// Time from publication to the last swap of the highest version, in milliseconds.
    pub convergence_ms: u64,
}

/// One element of the answer to `GET /members`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Id of the node.
    pub id: String,
    /// Address of its peer port, IP and port.
    pub address: String,
    /// Base URL of its admin port; empty when not known.
    pub admin: String,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Service of the upstream beside it; empty without an upstream.
    pub service: String,
    /// Slots of the upstream.
    pub slots: u32,
    /// State, as `member::State` displays it.
    pub state: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Answer to `GET /account/<owner>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Id of the node that answers.
    pub node: String,
    /// Owner of the account.
    pub owner: String,
    /// Calls counted since the node started.
    pub counters: Counters,
    /// Last failures, oldest first.
    pub failures: Vec<Failure>,
}

/// Calls of one owner, counted by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Calls that ended in any way.
    pub calls: u64,
    /// Failed calls that were not run.
    pub not_run: u64,
    /// Failed calls that ran.
    pub ran: u64,
    /// Failed calls that may have run.
    pub unknown: u64,
    /// Calls that the caller gave up before their end.
    pub cancelled: u64,
    /// Failures by fault of the caller.
    pub caller: u64,
    /// Failures by fault of a service.
    pub service: u64,
    /// Failures by fault of the mesh.
    pub mesh: u64,
}

/// One failed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// When the call failed, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Identity of the call.
    pub request: String,
    /// Route; empty when none matched.
    pub route: String,
    /// Service; empty when no route matched.
    pub service: String,
    /// What is known about the run: `not-run`, `ran` or `unknown`.
    pub outcome: String,
    /// Party at fault, in the form of [`crate::Fault`].
    pub fault: String,
    /// Why the call failed.
    pub reason: String,
    /// Configuration version that the call used.
    pub version: u64,
}

impl std::ops::AddAssign for Counters {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.not_run += other.not_run;
        self.ran += other.ran;
        self.unknown += other.unknown;
        self.cancelled += other.cancelled;
        self.caller += other.caller;
        self.service += other.service;
        self.mesh += other.mesh;
    }
}
