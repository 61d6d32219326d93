//! The one validation of a configuration, used by publishers and by nodes.

mod limits;
mod paths;

use std::collections::HashMap;

use settings::nearest;
use types::{Finding, Findings, id};

use crate::{Route, Service};

pub use paths::{MAX_PATH_BYTES, METHODS};

/// Maximum number of services in one configuration. A manifest is a single value in the store,
/// which accepts up to 1 MB.
pub const MAX_SERVICES: usize = 10_000;

/// Maximum size of a piece in the store.
pub const MAX_PIECE_BYTES: u64 = 256 * 1024;

/// Finds every fault of a configuration.
///
/// Publishers and nodes refuse a configuration with findings. There is no second validation, so a
/// node never refuses what a publisher has accepted.
#[must_use]
pub fn validate<'a, I>(services: I) -> Findings
where
    I: IntoIterator<Item = &'a Service>,
{
    let services: Vec<_> = services.into_iter().collect();
    check_services(&services).into_findings()
}

/// Finds only the faults that make a configuration unusable, for services that another store has
/// accepted: services that are defined twice, routes to services that do not exist, and paths that
/// no request can have.
#[must_use]
pub fn validate_references<'a, I>(services: I) -> Findings
where
    I: IntoIterator<Item = &'a Service>,
{
    let services: Vec<_> = services.into_iter().collect();
    let mut report = Report::new(services.len());
    for (index, service) in services.iter().enumerate() {
        report.service_index = index;
        report.file = &service.file;
        for route in &service.routes {
            if !route.path.starts_with('/') {
                let message = format!("path `{}` does not start with `/`", route.path);
                report.add(format_route_key(route, "path"), message, None);
            }
        }
    }
    check_names(&services, &mut report);
    report.into_findings()
}

/// Finds every fault, with the index of the service concerned. The index is past the end when the
/// fault concerns all services.
pub(crate) fn check_services<'a>(services: &[&'a Service]) -> Report<'a> {
    let mut report = Report::new(services.len());
    if services.len() > MAX_SERVICES {
        let message = format!(
            "{} services exceed the limit of {MAX_SERVICES}",
            services.len()
        );
        report.add(String::new(), message, None);
    }
    for (index, service) in services.iter().enumerate() {
        report.service_index = index;
        report.file = &service.file;
        limits::check_limits(service, &mut report);
        for (position, route) in service.routes.iter().enumerate() {
            check_route(&service.routes[..position], route, &mut report);
        }
    }
    check_names(services, &mut report);
    check_overlaps(services, &mut report);
    report
}

/// Findings of a validation in progress.
pub(crate) struct Report<'a> {
    /// Index of the service that is being checked; the number of services when a finding concerns
    /// all of them.
    service_index: usize,
    /// File of the service that is being checked.
    file: &'a str,
    pub(crate) findings: Vec<(usize, Finding)>,
}

impl Report<'_> {
    const fn new(services: usize) -> Self {
        Self {
            service_index: services,
            file: "all files",
            findings: Vec::new(),
        }
    }

    fn into_findings(self) -> Findings {
        self.findings
            .into_iter()
            .map(|(_, finding)| finding)
            .collect()
    }

    fn add(&mut self, key: String, message: String, nearest: Option<String>) {
        let finding = Finding::new(self.file, message)
            .with_key(key)
            .with_nearest(nearest);
        self.findings.push((self.service_index, finding));
    }
}

fn format_route_key(route: &Route, key: &str) -> String {
    format!("route {}.{key}", route.name)
}

/// Checks one route alone and against the earlier routes of its service.
fn check_route(earlier: &[Route], route: &Route, report: &mut Report<'_>) {
    if earlier.iter().any(|other| other.name == route.name) {
        report.add(
            format!("route {}", route.name),
            "route name appears twice".to_owned(),
            None,
        );
    }
    if let Err(message) = paths::check_path(&route.path) {
        report.add(format_route_key(route, "path"), message, None);
    }
    paths::check_methods(route, report);
    if let Some(part) = route.split.iter().find(|part| part.weight == 0) {
        let message = format!("weight of service `{}` is zero", part.service);
        report.add(format_route_key(route, "split"), message, None);
    }
}

/// Checks that each service is defined once and that routes name services that exist.
fn check_names<'a>(services: &[&'a Service], report: &mut Report<'a>) {
    let mut by_name: HashMap<&id::Service, &Service> = HashMap::new();
    for (index, service) in services.iter().enumerate() {
        report.service_index = index;
        report.file = &service.file;
        let Some(first) = by_name.get(&service.name) else {
            by_name.insert(&service.name, service);
            continue;
        };
        let message = format!(
            "service `{}` is already defined in {}",
            service.name, first.file
        );
        report.add("service.name".to_owned(), message, None);
        if first.owner != service.owner {
            let message = format!(
                "service `{}` already has the owner `{}` in {}",
                service.name, first.owner, first.file
            );
            report.add("service.owner".to_owned(), message, None);
        }
    }
    for (index, service) in services.iter().enumerate() {
        report.service_index = index;
        report.file = &service.file;
        for route in &service.routes {
            let key = if route.split.is_empty() {
                "service"
            } else {
                "split"
            };
            for (missing, _) in route
                .weighted_services()
                .filter(|(name, _)| !by_name.contains_key(name))
            {
                let message = format!("service `{missing}` does not exist");
                let names = by_name.keys().map(|name| name.as_str());
                report.add(
                    format_route_key(route, key),
                    message,
                    nearest(missing.as_str(), names),
                );
            }
        }
    }
}

/// Checks that no call can match two routes with the same host and path.
fn check_overlaps<'a>(services: &[&'a Service], report: &mut Report<'a>) {
    let mut by_path: HashMap<(&str, &str), Vec<(&Service, &Route)>> = HashMap::new();
    for (index, service) in services.iter().enumerate() {
        report.service_index = index;
        report.file = &service.file;
        for route in &service.routes {
            let same_path = by_path.entry((&route.host, &route.path)).or_default();
            if let Some((other_service, other)) =
                same_path.iter().find(|(_, other)| other.overlaps(route))
            {
                let message = format!(
                    "path `{}` with the same method is already in route `{}` of service `{}` ({})",
                    route.path, other.name, other_service.name, other_service.file
                );
                report.add(format_route_key(route, "path"), message, None);
            }
            same_path.push((service, route));
        }
    }
}
