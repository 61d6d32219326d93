use types::rate::Percent;
use types::{Digest, id, size};

use crate::{Reach, Route};

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the mesh.
    pub name: id::Service,
    /// Owner of the service.
    pub owner: id::Owner,
    /// File that the publisher read the service from, relative to the published directory.
    pub file: String,
    /// Number of requests that one target handles concurrently.
    pub slots: size::Slots,
    /// Maximum number of connections that one target accepts.
    pub connections: size::Connections,
    /// Maximum number of calls that wait for a slot at one target.
    pub queue: size::Queue,
    /// Farthest tier that a call may use.
    pub reach: Reach,
    /// Number of targets that one node uses in each tier.
    pub subset: u32,
    /// Maximum number of attempts for one call, including the first.
    pub attempts: u32,
    /// Maximum number of retries, in percent of the calls.
    pub retry_budget: Percent,
    /// Routes in the order of the file.
    pub routes: Vec<Route>,
}

/// Maximum number of bytes that the stored form uses for a number or for the length of a text or
/// list.
const MAX_VARINT_BYTES: usize = 9;

impl Service {
    /// Upper bound for the size of the service's piece in the store.
    #[must_use]
    pub fn max_stored_size(&self) -> size::Bytes {
        let texts = self.name.as_str().len() + self.owner.as_str().len() + self.file.len();
        let routes: usize = self.routes.iter().map(max_stored_route_size).sum();
        // 11 fields, each with a number or a length.
        size::Bytes::new((texts + routes + 11 * MAX_VARINT_BYTES) as u64)
    }
}

fn max_stored_route_size(route: &Route) -> usize {
    let texts = route.name.as_str().len()
        + route.host.len()
        + route.path.len()
        + route.service.as_str().len();
    let split: usize = route
        .split
        .iter()
        .map(|part| part.service.as_str().len() + 2 * MAX_VARINT_BYTES)
        .sum();
    let methods: usize = route
        .methods
        .iter()
        .map(|method| method.len() + MAX_VARINT_BYTES)
        .sum();
    // 12 fields, each with a number or a length.
    texts + methods + split + 12 * MAX_VARINT_BYTES
}

/// Computes the digest of a service's configuration. It covers every field, so that two services
/// with the same digest have the same configuration.
#[must_use]
pub fn digest_service(service: &Service) -> Digest {
    // Destructuring causes a compile error here when a field is added.
    let Service {
        name,
        owner,
        file,
        slots,
        connections,
        queue,
        reach,
        subset,
        attempts,
        retry_budget,
        routes,
    } = service;
    let mut numbers = Vec::new();
    for number in [
        slots.get(),
        connections.get(),
        queue.get(),
        reach.tier_count(),
        *subset,
        *attempts,
        retry_budget.get(),
    ] {
        numbers.extend(number.to_le_bytes());
    }
    let routes: Vec<_> = routes.iter().map(digest_route).collect();
    let texts = [
        name.as_str().as_bytes(),
        owner.as_str().as_bytes(),
        file.as_bytes(),
        &numbers,
    ];
    Digest::of_parts(
        texts
            .into_iter()
            .chain(routes.iter().map(|digest| digest.as_bytes().as_slice())),
    )
}

fn digest_route(route: &Route) -> Digest {
    let Route {
        name,
        host,
        path,
        methods,
        service,
        split,
        deadline_ms,
        repeatable,
        attempts,
        objective_ms,
        priority,
        bulk,
    } = route;
    let mut numbers = deadline_ms.to_le_bytes().to_vec();
    numbers.extend([u8::from(*repeatable), u8::from(*bulk)]);
    numbers.extend(objective_ms.to_le_bytes());
    // The number of services in the split separates their names from the methods.
    let split_count = u32::try_from(split.len()).unwrap_or(u32::MAX);
    for number in [*attempts, *priority, split_count] {
        numbers.extend(number.to_le_bytes());
    }
    for part in split {
        numbers.extend(part.weight.to_le_bytes());
    }
    let texts = [
        name.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        service.as_str().as_bytes(),
        &numbers,
    ];
    let services = split.iter().map(|part| part.service.as_str().as_bytes());
    let methods = methods.iter().map(String::as_bytes);
    Digest::of_parts(texts.into_iter().chain(services).chain(methods))
}
