use std::sync::Arc;

use bundle::read_sources;
use cli::Failure;
use serde::Serialize;
use types::Deadline;

use crate::arguments::Check;
use crate::output::Output;

#[derive(Serialize)]
struct Report {
    services: Vec<String>,
}

/// Checks files, and with a store also against the services that are published.
pub async fn run(options: &Check, output: &Output) -> Result<(), Failure> {
    let (folder, mut findings) = read_sources(&options.paths);
    let others = match &mut super::optional_archive(&options.store)? {
        Some(archive) => {
            super::others(archive, &folder, Deadline::after_ms(super::READ_LIMIT_MS)).await?
        }
        None => Vec::new(),
    };
    findings.append(folder.validate(others.iter().map(Arc::as_ref)));
    findings.or(()).map_err(Failure::Findings)?;
    let services = folder
        .services()
        .map(|service| service.name.to_string())
        .collect();
    output.result(&Report { services }, |result| {
        format!("{} services without findings", result.services.len())
    });
    Ok(())
}
