//! One module for each command.

pub mod account;
pub mod check;
pub mod diff;
pub mod history;
pub mod publish;
pub mod status;

use std::collections::HashSet;
use std::env;
use std::sync::Arc;

use bundle::{Service, SourceSet};
use cli::{Archive, Failure};
use store::{Store, Url};
use types::Deadline;

/// Time limit for commands that only read, in milliseconds.
const READ_LIMIT_MS: u64 = 10_000;

/// Addresses from the options or else from a variable, where commas separate them.
fn addresses(options: &[String], variable: &str) -> Result<Vec<Url>, Failure> {
    let value = env::var(variable).unwrap_or_default();
    let words: Vec<&str> = if options.is_empty() {
        value
            .split(',')
            .map(str::trim)
            .filter(|word| !word.is_empty())
            .collect()
    } else {
        options.iter().map(String::as_str).collect()
    };
    let parse = |word: &str| {
        word.parse()
            .map_err(|error| Failure::Usage(format!("`{word}` is not a URL: {error}")))
    };
    words.into_iter().map(parse).collect()
}

/// Archive of the store that the options name; `None` when they name none.
fn optional_archive(options: &[String]) -> Result<Option<Archive>, Failure> {
    let addresses = addresses(options, "DANDELIONSEAM_STORE")?;
    if addresses.is_empty() {
        return Ok(None);
    }
    let store = Store::new(addresses).map_err(|error| Failure::Unreachable(error.to_string()))?;
    Ok(Some(Archive::new(store)))
}

/// Archive of the store that the options name.
fn archive(options: &[String]) -> Result<Archive, Failure> {
    let archive = optional_archive(options)?;
    archive.ok_or_else(|| {
        Failure::Usage("no store; use --store URL or set DANDELIONSEAM_STORE".to_owned())
    })
}

/// Admin ports that the options name, at least one.
fn nodes(options: &[String]) -> Result<Vec<Url>, Failure> {
    let nodes = addresses(options, "DANDELIONSEAM_NODE")?;
    if nodes.is_empty() {
        return Err(Failure::Usage(
            "no node; use --node URL or set DANDELIONSEAM_NODE".to_owned(),
        ));
    }
    Ok(nodes)
}

/// Published services that the folder does not replace.
async fn others(
    archive: &mut Archive,
    folder: &SourceSet,
    deadline: Deadline,
) -> Result<Vec<Arc<Service>>, Failure> {
    let manifest = archive.newest(deadline).await?.manifest;
    let mut services = archive.services(&manifest, deadline).await?;
    let own: HashSet<_> = folder.services().map(|service| &service.name).collect();
    services.retain(|service| !own.contains(&service.name));
    Ok(services)
}
