//! Validation of the limits of a service: their ranges, and limits that contradict each other.

use schema::operator;
use schema::section::{Key, Kind};

use super::{MAX_PIECE_BYTES, Report, format_route_key};
use crate::Service;

/// Checks the limits of a service and its routes.
pub(super) fn check_limits(service: &Service, report: &mut Report<'_>) {
    check_ranges(service, report);
    check_contradictions(service, report);
    let size = service.max_stored_size().get();
    if size > MAX_PIECE_BYTES {
        let message = format!(
            "service takes up to {size} bytes in the store; the limit is {MAX_PIECE_BYTES}"
        );
        report.add("service".to_owned(), message, None);
    }
}

/// Checks numbers against the ranges of the schema. Parsing an operator file checks them as well,
/// but a node receives numbers that have not been parsed from a file.
fn check_ranges(service: &Service, report: &mut Report<'_>) {
    let service_keys = operator::Service::SECTION.keys;
    let numbers = [
        ("service", service_keys, "slots", service.slots.get()),
        (
            "service",
            service_keys,
            "connections",
            service.connections.get(),
        ),
        ("service", service_keys, "queue", service.queue.get()),
        (
            "placement",
            operator::Placement::SECTION.keys,
            "subset",
            service.subset,
        ),
        (
            "retry",
            operator::Retry::SECTION.keys,
            "attempts",
            service.attempts,
        ),
        (
            "retry",
            operator::Retry::SECTION.keys,
            "budget_percent",
            service.retry_budget.get(),
        ),
    ];
    for (section, keys, key, value) in numbers {
        if let Some(message) = describe_out_of_range(keys, key, value.into()) {
            report.add(format!("{section}.{key}"), message, None);
        }
    }
    for route in &service.routes {
        let numbers = [
            ("deadline_ms", route.deadline_ms),
            ("attempts", route.attempts.into()),
            ("objective_ms", route.objective_ms),
            ("priority", route.priority.into()),
        ];
        for (key, value) in numbers {
            if let Some(message) = describe_out_of_range(operator::Route::SECTION.keys, key, value)
            {
                report.add(format_route_key(route, key), message, None);
            }
        }
    }
}

/// Returns a message when the value is outside the range of the key.
fn describe_out_of_range(keys: &[Key], name: &str, value: u64) -> Option<String> {
    let key = keys.iter().find(|key| key.name == name)?;
    match key.kind {
        Kind::Number { low, high } if !(low..=high).contains(&value) => {
            Some(format!("{value} is not between {low} and {high}"))
        }
        _ => None,
    }
}

fn check_contradictions(service: &Service, report: &mut Report<'_>) {
    if service.connections.get() < service.slots.get() {
        // Each request in a slot uses its own connection.
        let message = format!(
            "{} connections cannot fill {} slots",
            service.connections, service.slots
        );
        report.add("service.connections".to_owned(), message, None);
    }
    if service.attempts > 1 && service.retry_budget.get() == 0 {
        let message = format!(
            "{} attempts contradict a retry budget of 0%",
            service.attempts
        );
        report.add("retry.budget_percent".to_owned(), message, None);
    }
    // Each attempt goes to a different target.
    let targets = service.subset.saturating_mul(service.reach.tier_count());
    if service.attempts > targets {
        let message = format!(
            "{} attempts are more than the {targets} targets that subset {} and reach {} allow",
            service.attempts, service.subset, service.reach
        );
        report.add("retry.attempts".to_owned(), message, None);
    }
}
