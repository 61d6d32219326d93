//! Builds the reports of the admin port from the state of the node.

use std::iter;
use std::sync::Arc;

use member::{Record, Table};
use schema::control::DomainSummary;
use types::report;

use crate::Node;

/// Builds the report for `GET /status`.
#[must_use]
pub fn build_status(node: &Node) -> report::Status {
    let bundle = node.spread.bundle();
    let table = node.spread.table();
    report::Status {
        node: node.locality.node.to_string(),
        region: node.locality.region.to_string(),
        domain: node.locality.domain.to_string(),
        version: bundle.version.get(),
        digest: bundle.digest.to_string(),
        ready: node.is_ready(),
        reader: node.spread.is_root(),
        readers: list_readers(&table),
        summaries: node
            .spread
            .summaries()
            .into_iter()
            .map(build_summary)
            .collect(),
    }
}

/// Builds the report for `GET /members`: a JSON array in order of id, in chunks.
///
/// The whole array for 16,000 members would take more than 10 MB, a third of the memory that a node
/// may use, so each chunk is built when it is sent. A member that is removed in the meantime is
/// left out.
pub fn build_members(node: Arc<Node>) -> impl Iterator<Item = String> + Send {
    let mut ids: Vec<_> = node
        .spread
        .table()
        .iter()
        .map(|record| record.id.clone())
        .collect();
    ids.sort_unstable();
    let mut count = 0;
    let members = ids.into_iter().filter_map(move |id| {
        let member = node.spread.table().get(&id).map(build_member)?;
        let text = serde_json::to_string(&member).ok()?;
        count += 1;
        Some(if count == 1 { text } else { format!(",{text}") })
    });
    iter::once("[".to_owned())
        .chain(members)
        .chain(iter::once("]".to_owned()))
}

/// Builds the report for `GET /account/<owner>`.
#[must_use]
pub fn build_account(node: &Node, owner: &types::id::Owner) -> report::Account {
    let account = node.accounts.account(owner);
    let counters = account.counters;
    report::Account {
        node: node.locality.node.to_string(),
        owner: owner.to_string(),
        counters: report::Counters {
            calls: counters.calls,
            not_run: counters.not_run,
            ran: counters.ran,
            unknown: counters.unknown,
            cancelled: counters.cancelled,
            caller: counters.caller,
            service: counters.service,
            mesh: counters.mesh,
        },
        failures: account.failures.iter().map(build_failure).collect(),
    }
}

fn list_readers(table: &Table) -> Vec<report::Reader> {
    let regions = table.regions();
    let roots = regions.iter().flat_map(|region| table.roots(region));
    roots
        .map(|record| report::Reader {
            region: record.region.to_string(),
            node: record.id.to_string(),
            admin: format_admin_url(record),
        })
        .collect()
}

fn build_summary(summary: DomainSummary) -> report::Summary {
    report::Summary {
        region: summary.region,
        domain: summary.domain,
        nodes: summary.nodes,
        lowest: summary.lowest,
        highest: summary.highest,
        current: summary.current,
        lagging: summary.lagging,
        convergence_ms: summary.convergence_ms,
    }
}

fn build_member(record: &Record) -> report::Member {
    report::Member {
        id: record.id.to_string(),
        address: record.address.to_string(),
        admin: format_admin_url(record),
        region: record.region.to_string(),
        domain: record.domain.to_string(),
        service: format_optional(record.service.as_ref()),
        slots: record.slots.get(),
        state: record.state.to_string(),
        incarnation: record.incarnation.get(),
    }
}

fn build_failure(entry: &call::FailedCall) -> report::Failure {
    report::Failure {
        time_ms: entry.time.get(),
        request: entry.request.to_string(),
        route: format_optional(entry.route.as_ref()),
        service: format_optional(entry.service.as_ref()),
        outcome: entry.outcome.to_string(),
        fault: entry.fault.to_string(),
        reason: entry.reason.clone(),
        version: entry.version.get(),
    }
}

fn format_admin_url(record: &Record) -> String {
    let address = record.admin_address();
    address.map_or_else(String::new, |address| format!("http://{address}"))
}

fn format_optional<V>(value: Option<&V>) -> String
where
    V: ToString,
{
    value.map_or_else(String::new, ToString::to_string)
}
