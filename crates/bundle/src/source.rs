use schema::operator;
use settings::{Document, Named};
use types::rate::Percent;
use types::{Finding, Findings, id, size};

use crate::{Route, Service, WeightedService};

/// One operator file that defines a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Parsed text with the line of each key. Its file name is the path as the operator gave it.
    pub document: Document,
    /// Service that the file defines.
    pub service: Service,
}

/// Sections that an operator file may have.
const SECTION_NAMES: [&str; 4] = [
    operator::Service::SECTION.name,
    operator::Placement::SECTION.name,
    operator::Retry::SECTION.name,
    operator::Route::SECTION.name,
];

impl Source {
    /// Parses an operator file. `path` is the path shown in findings; `file` is the path relative
    /// to the published directory.
    ///
    /// Reports every fault that the text shows by itself. The source is returned despite faults as
    /// long as the service has a name and an owner, so that other files can be checked against it.
    #[must_use]
    pub fn parse(path: &str, file: &str, text: &str) -> (Option<Self>, Findings) {
        let (document, mut findings) = Document::read(path, text);
        document.check_kinds(&SECTION_NAMES, &mut findings);
        let service = Parser {
            document: &document,
            findings: &mut findings,
        }
        .parse_service(file);
        (service.map(|service| Self { document, service }), findings)
    }
}

/// Converts the sections of one file into plain types.
struct Parser<'a> {
    document: &'a Document,
    findings: &'a mut Findings,
}

impl Parser<'_> {
    fn parse_service(&mut self, file: &str) -> Option<Service> {
        let service = self
            .document
            .fill(&operator::Service::SECTION, self.findings);
        let placement = self
            .document
            .fill(&operator::Placement::SECTION, self.findings);
        let retry = self.document.fill(&operator::Retry::SECTION, self.findings);
        let routes = self
            .document
            .fill_named(&operator::Route::SECTION, self.findings);
        let name: Option<id::Service> = self.parse_id("service.name", &service.name);
        let owner = self.parse_id("service.owner", &service.owner);
        let default_service = name.as_ref().map(ToString::to_string).unwrap_or_default();
        let routes = routes
            .into_iter()
            .filter_map(|route| self.parse_route(&default_service, route))
            .collect();
        Some(Service {
            name: name?,
            owner: owner?,
            file: file.to_owned(),
            slots: size::Slots::new(service.slots),
            connections: size::Connections::new(service.connections),
            queue: size::Queue::new(service.queue),
            // Any other text has already been reported, and the default kept.
            reach: placement.reach.parse().unwrap_or_default(),
            subset: placement.subset,
            attempts: retry.attempts,
            retry_budget: Percent::new(retry.budget_percent),
            routes,
        })
    }

    fn parse_route(
        &mut self,
        default_service: &str,
        route: Named<operator::Route>,
    ) -> Option<Route> {
        let section = format!("route {}", route.name);
        let name = self.parse_id(&section, &route.name);
        let methods = format!("{section}.methods");
        if route.value.methods.is_empty() && self.has_key(&section, "methods") {
            // Without this finding, the empty list would silently allow all methods.
            self.report(&methods, "value is empty".to_owned());
        }
        let service = if route.value.service.is_empty() {
            default_service
        } else {
            &route.value.service
        };
        let service = self.parse_id(&format!("{section}.service"), service);
        let split = self.parse_split(&format!("{section}.split"), &route.value.split);
        Some(Route {
            name: name?,
            // An empty path has already been reported as a missing key.
            path: Some(route.value.path).filter(|path| !path.is_empty())?,
            methods: route.value.methods,
            service: service?,
            deadline_ms: route.value.deadline_ms,
            repeatable: route.value.repeatable,
            host: route.value.host.to_ascii_lowercase(),
            split,
            attempts: route.value.attempts,
            objective_ms: route.value.objective_ms,
            priority: route.value.priority,
            bulk: route.value.bulk,
        })
    }

    /// Parses weighted services, each of the form `SERVICE:WEIGHT`.
    fn parse_split(&mut self, key: &str, texts: &[String]) -> Vec<WeightedService> {
        let mut services = Vec::new();
        for text in texts {
            let (name, weight) = text.split_once(':').unwrap_or((text, ""));
            let Ok(weight) = weight.parse() else {
                self.report(key, format!("`{text}` is not of the form SERVICE:WEIGHT"));
                continue;
            };
            if let Some(service) = self.parse_id(key, name) {
                services.push(WeightedService { service, weight });
            }
        }
        services
    }

    /// Parses an id. An empty text has already been reported as a missing key.
    fn parse_id<N>(&mut self, key: &str, text: &str) -> Option<N>
    where
        N: std::str::FromStr<Err = id::Invalid>,
    {
        if text.is_empty() {
            return None;
        }
        text.parse()
            .map_err(|invalid: id::Invalid| self.report(key, invalid.to_string()))
            .ok()
    }

    fn has_key(&self, header: &str, key: &str) -> bool {
        let mut sections = self.document.sections().iter();
        let section = sections.find(|section| section.to_string() == header);
        section.is_some_and(|section| section.entry(key).is_some())
    }

    fn report(&mut self, key: &str, message: String) {
        let line = self.document.line(key);
        self.findings.push(
            Finding::new(self.document.file(), message)
                .with_line(line)
                .with_key(key),
        );
    }
}
