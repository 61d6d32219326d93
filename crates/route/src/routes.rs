use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bundle::{Bundle, Reach, Service};
use types::rate::Percent;
use types::{Version, id, size};

use crate::{Scope, Tier};

/// Resolved route of a call: target service and call policy, from one configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Service whose configuration file contains the route.
    pub declared_by: id::Service,
    /// Route that matched; its name is unique only within that file.
    pub route: id::Route,
    /// Owner of that file.
    pub owner: id::Owner,
    /// Service that is called.
    pub service: id::Service,
    /// Owner of the called service.
    pub service_owner: id::Owner,
    /// Maximum time of a call.
    pub deadline: Duration,
    /// Latency objective: time within which the answer is fully useful; zero for none.
    pub objective: Duration,
    /// Priority in the queue of a target; 0 is the highest.
    pub priority: u32,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Limits on the targets of the called service.
    pub scope: Scope,
    /// Maximum number of attempts, including the first one.
    pub attempts: u32,
    /// Allowed retries, as a percentage of calls.
    pub retry_percent: Percent,
}

/// Reason why no route matches a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route has a matching path prefix.
    Path,
    /// The routes with the longest matching path prefix don't accept the method.
    Method,
}

/// Route table of one configuration version, indexed by host and path.
#[derive(Debug)]
pub struct Routes {
    bundle: Arc<Bundle>,
    /// Routes of each host; the empty host name holds those for any host.
    paths_by_host: HashMap<String, Paths>,
}

/// Routes of one host, by path without trailing slash.
type Paths = HashMap<String, Vec<RouteEntry>>;

#[derive(Debug)]
struct RouteEntry {
    /// Whether the route matches only paths below its own path.
    descendants_only: bool,
    methods: Vec<String>,
    /// Plans of the services that the calls are split among, with their weights.
    weighted_plans: Vec<(u32, Arc<Plan>)>,
}

impl RouteEntry {
    fn matches_path(&self, prefix: &str, path: &str) -> bool {
        !self.descendants_only || path.len() > prefix.len()
    }

    fn accepts_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|accepted| accepted == method)
    }

    /// Selects a plan by weight; `draw` is a random number from 0 to 1.
    fn select_plan(&self, draw: f64) -> Option<&Arc<Plan>> {
        let total: u32 = self.weighted_plans.iter().map(|(weight, _)| weight).sum();
        let mut remaining = draw * f64::from(total);
        let selected = self.weighted_plans.iter().find(|(weight, _)| {
            remaining -= f64::from(*weight);
            remaining < 0.0
        });
        selected
            .or(self.weighted_plans.last())
            .map(|(_, plan)| plan)
    }
}

/// Properties of a call that determine its route.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Host of the request without port; empty if it has none.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// Random number from 0 to 1 that selects among the services of a split route.
    pub draw: f64,
}

impl Routes {
    /// Indexes the routes of a bundle.
    #[must_use]
    pub fn new(bundle: Arc<Bundle>) -> Self {
        let mut paths_by_host: HashMap<String, Paths> = HashMap::new();
        for service in bundle.services.values() {
            for route in &service.routes {
                let weighted_plans = route.weighted_services().filter_map(|(name, weight)| {
                    let callee = bundle.services.get(name)?;
                    Some((weight, Arc::new(resolve_plan(service, route, callee))))
                });
                let entry = RouteEntry {
                    descendants_only: route.path.len() > 1 && route.path.ends_with('/'),
                    methods: route.methods.clone(),
                    weighted_plans: weighted_plans.collect(),
                };
                let path = route.path.trim_end_matches('/').to_owned();
                let paths = paths_by_host.entry(route.host.clone()).or_default();
                let entries = paths.entry(path).or_default();
                // The route with the trailing slash has the longer prefix and goes first.
                let index = if entry.descendants_only {
                    0
                } else {
                    entries.len()
                };
                entries.insert(index, entry);
            }
        }
        Self {
            bundle,
            paths_by_host,
        }
    }

    /// Finds the route of a call: the one with the longest path prefix of whole segments among the
    /// routes of the host, or else among those for any host, that accepts the method.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute`] if no route matches the call.
    pub fn find(&self, query: Query<'_>) -> Result<Arc<Plan>, NoRoute> {
        let host = query.host.to_ascii_lowercase();
        let by_name = self
            .paths_by_host
            .get(&host)
            .map(|paths| find_in_paths(paths, query));
        match by_name {
            Some(Err(NoRoute::Path)) | None if !host.is_empty() => {
                let any_host = self.paths_by_host.get("");
                any_host.map_or(Err(NoRoute::Path), |paths| find_in_paths(paths, query))
            }
            Some(found) => found,
            None => Err(NoRoute::Path),
        }
    }

    /// Bundle that contains the routes.
    #[must_use]
    pub const fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Configuration version of the routes.
    #[must_use]
    pub fn version(&self) -> Version {
        self.bundle.version
    }

    /// Maximum number of queued calls at a target of `service`; twice the slots if the service is
    /// unknown.
    #[must_use]
    pub fn queue_limit(&self, service: &id::Service, slots: size::Slots) -> size::Queue {
        self.bundle
            .services
            .get(service)
            .map_or(size::Queue::new(slots.get().saturating_mul(2)), |service| {
                service.queue
            })
    }

    /// Services with a route whose calls must not be repeated, sorted and without duplicates.
    #[must_use]
    pub fn non_repeatable_services(&self) -> Vec<id::Service> {
        let entries = self
            .paths_by_host
            .values()
            .flat_map(HashMap::values)
            .flatten();
        let mut services: Vec<_> = entries
            .flat_map(|entry| &entry.weighted_plans)
            .filter(|(_, plan)| !plan.repeatable)
            .map(|(_, plan)| plan.service.clone())
            .collect();
        services.sort();
        services.dedup();
        services
    }
}

fn find_in_paths(paths: &Paths, query: Query<'_>) -> Result<Arc<Plan>, NoRoute> {
    let path = query.path;
    let mut prefix = path.trim_end_matches('/');
    loop {
        let entries = paths.get(prefix).map_or(&[][..], Vec::as_slice);
        let mut matching = entries
            .iter()
            .filter(|entry| entry.matches_path(prefix, path))
            .peekable();
        if matching.peek().is_some() {
            let entry = matching.find(|entry| entry.accepts_method(query.method));
            let plan = entry.and_then(|entry| entry.select_plan(query.draw));
            return plan.cloned().ok_or(NoRoute::Method);
        }
        let end = prefix.rfind('/').ok_or(NoRoute::Path)?;
        prefix = &prefix[..end];
    }
}

/// Whether a path is absolute and reads the same to the mesh and the upstream: it has no dot
/// segments, encoded or not, and no characters that an HTTP client rewrites to a separator.
#[must_use]
pub fn is_normalized_path(path: &str) -> bool {
    let is_dot_segment = |segment: &str| {
        let segment = segment.to_ascii_lowercase().replace("%2e", ".");
        segment == "." || segment == ".."
    };
    path.starts_with('/')
        && !path.contains(['\\', '#', '\t', '\r', '\n'])
        && !path.split('/').any(is_dot_segment)
}

fn resolve_plan(service: &Service, route: &bundle::Route, callee: &Service) -> Plan {
    Plan {
        declared_by: service.name.clone(),
        route: route.name.clone(),
        owner: service.owner.clone(),
        service: callee.name.clone(),
        service_owner: callee.owner.clone(),
        deadline: Duration::from_millis(route.deadline_ms),
        objective: Duration::from_millis(route.objective_ms),
        priority: route.priority,
        repeatable: route.repeatable,
        scope: Scope {
            reach: match callee.reach {
                Reach::Domain => Tier::Domain,
                Reach::Region => Tier::Region,
                Reach::Any => Tier::Any,
            },
            subset: callee.subset as usize,
            bulk: route.bulk,
        },
        attempts: match route.attempts {
            0 => callee.attempts.max(1),
            attempts => attempts,
        },
        retry_percent: callee.retry_budget,
    }
}
