use cli::Failure;
use cli::admin::Admin;
use types::report::{Status as Report, Summary};

use crate::arguments::Status;
use crate::output::Output;

/// Shows which versions the nodes of each failure domain hold.
pub async fn run(options: &Status, output: &Output) -> Result<(), Failure> {
    let admin = Admin::new()?;
    let mut last = None;
    for node in super::nodes(&options.node)? {
        match admin.reader_status(&node).await {
            Ok(report) => {
                output.result(&report, text);
                return Ok(());
            }
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.unwrap_or_else(|| Failure::Usage("no node".to_owned())))
}

fn text(report: &Report) -> String {
    let mut lines = vec![format!(
        "version {} at reader {} ({}/{})",
        report.version, report.node, report.region, report.domain
    )];
    lines.extend(report.summaries.iter().map(line));
    lines.join("\n")
}

fn line(summary: &Summary) -> String {
    let place = format!("{}/{}", summary.region, summary.domain);
    let line = format!(
        "{place:32}  {} nodes, {} at version {}, lowest {}, last swap after {} ms",
        summary.nodes, summary.current, summary.highest, summary.lowest, summary.convergence_ms
    );
    if summary.lagging.is_empty() {
        return line;
    }
    format!("{line}; lagging: {}", summary.lagging.join(", "))
}
