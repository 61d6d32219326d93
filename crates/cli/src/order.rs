use bundle::SourceSet;
use types::{Version, id};

/// What one run of the publishing step is asked for.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Operator files to publish.
    pub folder: SourceSet,
    /// Services to remove.
    pub removed: Vec<id::Service>,
    /// Version that the operator worked from; the newest one when absent.
    pub base: Option<Version>,
    /// Whether to do everything but the publishing.
    pub dry_run: bool,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// What the run did.
    pub effect: Effect,
    /// Version that holds the change.
    pub version: Version,
    /// Id of the run.
    pub publication: id::Publication,
    /// Services that were added or changed.
    pub set: Vec<id::Service>,
    /// Services that were removed.
    pub removed: Vec<id::Service>,
}

/// What a run did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It published a version.
    Published,
    /// The newest version has the change already.
    Unchanged,
    /// It would have published a version.
    DryRun,
}

impl Order {
    /// Creates an order that publishes all files of a folder.
    #[must_use]
    pub fn new(folder: SourceSet) -> Self {
        Self {
            folder,
            ..Self::default()
        }
    }

    /// Removes services.
    #[must_use]
    pub fn with_removed(mut self, removed: Vec<id::Service>) -> Self {
        self.removed = removed;
        self
    }

    /// Sets the version that the operator worked from.
    #[must_use]
    pub fn with_base(mut self, base: Option<Version>) -> Self {
        self.base = base;
        self
    }

    /// Stops before anything is written.
    #[must_use]
    pub const fn with_dry_run(mut self, dry_run: bool) -> Self {
        self.dry_run = dry_run;
        self
    }
}
