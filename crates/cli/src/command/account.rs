use cli::Failure;
use cli::admin::{Admin, Collection};

use crate::arguments::Account;
use crate::output::Output;

/// Collects an owner's account from all nodes.
pub async fn run(options: &Account, output: &Output) -> Result<(), Failure> {
    let owner = options
        .owner
        .as_ref()
        .ok_or_else(|| Failure::Usage("account needs --owner NAME".to_owned()))?;
    let admin = Admin::new()?;
    let mut last = None;
    for node in super::nodes(&options.node)? {
        match admin.collect(&node, owner).await {
            Ok(collection) => {
                output.result(&collection, |collection| text(collection, options.limit));
                return Ok(());
            }
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.unwrap_or_else(|| Failure::Usage("no node".to_owned())))
}

fn text(collection: &Collection, limit: usize) -> String {
    let counters = &collection.counters;
    let mut lines = vec![
        format!(
            "owner {}: {} calls at {} nodes",
            collection.owner, counters.calls, collection.answered
        ),
        format!(
            "failed: {} not run, {} ran, {} unknown",
            counters.not_run, counters.ran, counters.unknown
        ),
        format!(
            "at fault: {} caller, {} service, {} mesh",
            counters.caller, counters.service, counters.mesh
        ),
    ];
    let skipped = collection.failures.len().saturating_sub(limit);
    lines.extend(
        collection
            .failures
            .iter()
            .skip(skipped)
            .map(|(node, failure)| {
                format!(
                    "{}  {node}  {}  route {}  service {}  {}  fault {}  version {}  {}",
                    failure.time_ms,
                    failure.request,
                    failure.route,
                    failure.service,
                    failure.outcome,
                    failure.fault,
                    failure.version,
                    failure.reason
                )
            }),
    );
    if !collection.missing.is_empty() {
        lines.push(format!(
            "{} nodes did not answer; their calls are not counted:",
            collection.missing.len()
        ));
        lines.extend(
            collection
                .missing
                .iter()
                .map(|(node, reason)| format!("  {node}: {reason}")),
        );
    }
    lines.join("\n")
}
