use std::collections::{BTreeMap, BTreeSet};

use bundle::{Route, Service};
use serde::Serialize;

/// What changed between two versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Names of services that only the second version has.
    pub added: Vec<String>,
    /// Names of services that only the first version has.
    pub removed: Vec<String>,
    /// Fields that differ, by service.
    pub changed: BTreeMap<String, Vec<FieldChange>>,
}

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Section and key as in the operator file, such as `route renew.path`.
    pub key: String,
    /// Value in the first version; `None` when it does not have the field.
    pub old: Option<String>,
    /// Value in the second version; `None` when it does not have the field.
    pub new: Option<String>,
}

impl Difference {
    /// Compares two sets of services.
    #[must_use]
    pub fn between<'a, O, N>(old: O, new: N) -> Self
    where
        O: IntoIterator<Item = &'a Service>,
        N: IntoIterator<Item = &'a Service>,
    {
        let mut difference = Self::default();
        let mut before: BTreeMap<_, _> = old
            .into_iter()
            .map(|service| (&service.name, service))
            .collect();
        for service in new {
            match before.remove(&service.name) {
                None => difference.added.push(service.name.to_string()),
                Some(old) if old == service => {}
                Some(old) => {
                    let fields = compare(&fields(old), &fields(service));
                    difference.changed.insert(service.name.to_string(), fields);
                }
            }
        }
        difference.removed = before.keys().map(ToString::to_string).collect();
        difference.added.sort_unstable();
        difference
    }

    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

fn compare(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> Vec<FieldChange> {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let differing = keys
        .into_iter()
        .filter(|key| old.get(*key) != new.get(*key));
    let change = |key: &String| FieldChange {
        key: key.clone(),
        old: old.get(key).cloned(),
        new: new.get(key).cloned(),
    };
    differing.map(change).collect()
}

/// Values by section and key, as an operator file has them.
fn fields(service: &Service) -> BTreeMap<String, String> {
    let own = [
        ("service.owner", service.owner.to_string()),
        ("service.slots", service.slots.to_string()),
        ("service.connections", service.connections.to_string()),
        ("service.queue", service.queue.to_string()),
        ("placement.reach", service.reach.to_string()),
        ("placement.subset", service.subset.to_string()),
        ("retry.attempts", service.attempts.to_string()),
        (
            "retry.budget_percent",
            service.retry_budget.get().to_string(),
        ),
        ("file", service.file.clone()),
    ];
    let own = own.into_iter().map(|(key, value)| (key.to_owned(), value));
    own.chain(service.routes.iter().flat_map(route_fields))
        .collect()
}

fn route_fields(route: &Route) -> impl Iterator<Item = (String, String)> {
    let fields = [
        ("path", route.path.clone()),
        ("methods", route.methods.join(", ")),
        ("service", route.service.to_string()),
        ("deadline_ms", route.deadline_ms.to_string()),
        (
            "repeatable",
            if route.repeatable { "yes" } else { "no" }.to_owned(),
        ),
    ];
    let name = &route.name;
    fields
        .map(|(key, value)| (format!("route {name}.{key}"), value))
        .into_iter()
}
