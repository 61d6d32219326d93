use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bundle::{Bundle, Reach, Service};
use types::rate::Percent;
use types::{Version, id, size};

use crate::{Scope, Tier};

/// Everything that a call needs to know about its route, taken from one configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Service whose file has the route.
    pub declared_by: id::Service,
    /// Route that matched; its name is unique in that file only.
    pub route: id::Route,
    /// Owner of the file with the route.
    pub owner: id::Owner,
    /// Service that answers.
    pub service: id::Service,
    /// Owner of that service.
    pub service_owner: id::Owner,
    /// Longest time for one call.
    pub deadline: Duration,
    /// Whether a call may be run more than once.
    pub repeatable: bool,
    /// Reach and subset of the service.
    pub scope: Scope,
    /// Attempts for one call, the first one included.
    pub attempts: u32,
    /// Retries allowed, as a share of calls.
    pub budget: Percent,
}

/// Reason why no route takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route has a prefix of the path.
    Path,
    /// Routes with the longest prefix of the path do not take the method.
    Method,
}

/// Routes of one configuration version, indexed by path.
#[derive(Debug)]
pub struct Routes {
    bundle: Arc<Bundle>,
    by_path: HashMap<String, Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    methods: Vec<String>,
    plan: Arc<Plan>,
}

impl Routes {
    /// Indexes the routes of a bundle.
    #[must_use]
    pub fn new(bundle: Arc<Bundle>) -> Self {
        let mut by_path: HashMap<String, Vec<Entry>> = HashMap::new();
        for service in bundle.services.values() {
            for route in &service.routes {
                let Some(callee) = bundle.services.get(&route.service) else {
                    continue;
                };
                let entry = Entry {
                    methods: route.methods.clone(),
                    plan: Arc::new(plan(service, route, callee)),
                };
                let path = route.path.trim_end_matches('/').to_owned();
                by_path.entry(path).or_default().push(entry);
            }
        }
        Self { bundle, by_path }
    }

    /// Finds the route of a call: the longest path prefix of whole segments, then the method.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute`] when no route takes the call.
    pub fn find(&self, method: &str, path: &str) -> Result<Arc<Plan>, NoRoute> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(entries) = self.by_path.get(prefix) {
                let takes = |entry: &&Entry| {
                    entry.methods.is_empty() || entry.methods.iter().any(|known| known == method)
                };
                let entry = entries.iter().find(takes).ok_or(NoRoute::Method)?;
                return Ok(Arc::clone(&entry.plan));
            }
            let end = prefix.rfind('/').ok_or(NoRoute::Path)?;
            prefix = &prefix[..end];
        }
    }

    /// Bundle that the routes were taken from.
    #[must_use]
    pub const fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Configuration version of the routes.
    #[must_use]
    pub fn version(&self) -> Version {
        self.bundle.version
    }

    /// Calls that may wait at one target of `service`; twice the slots when the service is not known.
    #[must_use]
    pub fn queue(&self, service: &id::Service, slots: size::Slots) -> size::Queue {
        self.bundle
            .services
            .get(service)
            .map_or(size::Queue::new(slots.get().saturating_mul(2)), |service| {
                service.queue
            })
    }

    /// Services that answer a route whose calls must not be repeated, each one once.
    #[must_use]
    pub fn unrepeatable(&self) -> Vec<id::Service> {
        let plans = self.by_path.values().flatten().map(|entry| &entry.plan);
        let mut services: Vec<_> = plans
            .filter(|plan| !plan.repeatable)
            .map(|plan| plan.service.clone())
            .collect();
        services.sort();
        services.dedup();
        services
    }
}

/// Whether a path is absolute and means the same to the mesh and the upstream: it has no dot segment,
/// encoded or not, and no character that an HTTP client rewrites into a separator.
#[must_use]
pub fn is_plain_path(path: &str) -> bool {
    let dots = |segment: &str| {
        let segment = segment.to_ascii_lowercase().replace("%2e", ".");
        segment == "." || segment == ".."
    };
    path.starts_with('/')
        && !path.contains(['\\', '#', '\t', '\r', '\n'])
        && !path.split('/').any(dots)
}

fn plan(service: &Service, route: &bundle::Route, callee: &Service) -> Plan {
    Plan {
        declared_by: service.name.clone(),
        route: route.name.clone(),
        owner: service.owner.clone(),
        service: callee.name.clone(),
        service_owner: callee.owner.clone(),
        deadline: Duration::from_millis(route.deadline_ms),
        repeatable: route.repeatable,
        scope: Scope {
            reach: match callee.reach {
                Reach::Domain => Tier::Domain,
                Reach::Region => Tier::Region,
                Reach::Any => Tier::Any,
            },
            subset: callee.subset as usize,
        },
        attempts: callee.attempts.max(1),
        budget: callee.budget,
    }
}
