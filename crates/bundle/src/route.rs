use types::id;

/// Service that answers a part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that answers.
    pub service: id::Service,
    /// Weight relative to the other services of the split; at least 1.
    pub weight: u32,
}

/// One route: which calls it matches and which service answers them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, unique within its service.
    pub name: id::Route,
    /// Host that calls must name, in lower case; empty for any host.
    pub host: String,
    /// Path prefix, matched on whole segments. One that ends with a slash matches only the paths
    /// below it.
    pub path: String,
    /// Upper-case HTTP methods. Empty means all methods.
    pub methods: Vec<String>,
    /// Service that answers, unless the calls are split.
    pub service: id::Service,
    /// Services among which the calls are split; empty when `service` answers all of them.
    pub split: Vec<WeightedService>,
    /// Maximum time for one call, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
    /// Maximum number of attempts for one call, including the first; zero for the number of the
    /// service.
    pub attempts: u32,
    /// Latency objective, in milliseconds: a later answer is worth less. Zero for none.
    pub objective_ms: u64,
    /// Priority in a full queue; 0 is the highest.
    pub priority: u32,
    /// Whether answers are large, so that near targets are preferred.
    pub bulk: bool,
}

impl Route {
    /// Services that answer the route, with their weights.
    pub fn weighted_services(&self) -> impl Iterator<Item = (&id::Service, u32)> {
        let single = self.split.is_empty().then_some((&self.service, 1));
        let split = self
            .split
            .iter()
            .map(|share| (&share.service, share.weight));
        single.into_iter().chain(split)
    }

    /// Whether there is a method that both routes match.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let has_common_method = || {
            self.methods
                .iter()
                .any(|method| other.methods.contains(method))
        };
        self.methods.is_empty() || other.methods.is_empty() || has_common_method()
    }
}
