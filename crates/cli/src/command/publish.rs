use std::env;
use std::sync::Arc;

use bundle::{SourceSet, read_sources};
use cli::admin::Admin;
use cli::wait::wait;
use cli::{Archive, Effect, Failure, Order, Published, Publisher};
use serde::Serialize;
use types::{Deadline, Findings};

use crate::arguments::Publish;
use crate::output::{self, Output};

#[derive(Serialize)]
struct Report {
    effect: &'static str,
    version: u64,
    publication: String,
    set: Vec<String>,
    removed: Vec<String>,
    /// Longest time from publication to swap, in milliseconds, when waited for.
    convergence_ms: Option<u64>,
}

/// Publishes files and waits for the version when asked to.
pub async fn run(options: &Publish, output: &Output) -> Result<(), Failure> {
    let nodes = if options.wait {
        super::nodes(&options.node)?
    } else {
        Vec::new()
    };
    let mut archive = super::archive(&options.store)?;
    let (folder, findings) = read_sources(&options.paths);
    if !findings.is_empty() {
        return Err(Failure::Findings(
            all_findings(&mut archive, &folder, findings).await,
        ));
    }
    let order = Order::new(folder)
        .with_removed(options.remove.clone())
        .with_base(options.base)
        .with_dry_run(options.dry_run);
    let mut publisher = Publisher::new(archive, &publisher_name(options));
    let done = publisher.publish(&order, limit(options)).await?;
    let mut report = report(&done);
    if options.wait && done.effect != Effect::DryRun {
        let version = done.version;
        let show = |progress: &_| output::progress(version, progress);
        let progress = wait(&Admin::new()?, &nodes, version, limit(options), show).await?;
        report.convergence_ms = Some(progress.convergence_ms);
    }
    output.result(&report, text);
    Ok(())
}

/// Adds the findings between files, as far as the store can be read.
async fn all_findings(
    archive: &mut Archive,
    folder: &SourceSet,
    mut findings: Findings,
) -> Findings {
    let deadline = Deadline::after_ms(super::READ_LIMIT_MS);
    if let Ok(others) = super::others(archive, folder, deadline).await {
        findings.append(folder.validate(others.iter().map(Arc::as_ref)));
    }
    findings
}

fn limit(options: &Publish) -> Deadline {
    Deadline::after_ms(options.limit.saturating_mul(1000))
}

fn publisher_name(options: &Publish) -> String {
    let user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    options.publisher.clone().unwrap_or_else(user)
}

fn report(published: &Published) -> Report {
    let names = |names: &[types::id::Service]| names.iter().map(ToString::to_string).collect();
    Report {
        effect: match published.effect {
            Effect::Published => "published",
            Effect::Unchanged => "unchanged",
            Effect::DryRun => "dry-run",
        },
        version: published.version.get(),
        publication: published.publication.to_string(),
        set: names(&published.set),
        removed: names(&published.removed),
        convergence_ms: None,
    }
}

fn text(report: &Report) -> String {
    let head = match report.effect {
        "published" => format!("published version {}", report.version),
        "unchanged" => format!("version {} has this configuration already", report.version),
        _ => format!("would publish version {}", report.version),
    };
    let mut parts = vec![head];
    if !report.set.is_empty() {
        parts.push(format!("set {}", report.set.join(", ")));
    }
    if !report.removed.is_empty() {
        parts.push(format!("removed {}", report.removed.join(", ")));
    }
    if let Some(ms) = report.convergence_ms {
        parts.push(format!("in force everywhere after {ms} ms"));
    }
    parts.join("; ")
}
