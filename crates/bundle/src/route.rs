use types::id;

/// One route: which calls it takes and which service answers them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in its service.
    pub name: id::Route,
    /// Path prefix, matched on whole segments.
    pub path: String,
    /// Upper-case HTTP methods. Empty means all methods.
    pub methods: Vec<String>,
    /// Service that answers.
    pub service: id::Service,
    /// Longest time for one call, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a call may be run more than once.
    pub repeatable: bool,
}

impl Route {
    /// Whether both routes take some method.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let shared = || {
            self.methods
                .iter()
                .any(|method| other.methods.contains(method))
        };
        self.methods.is_empty() || other.methods.is_empty() || shared()
    }
}
