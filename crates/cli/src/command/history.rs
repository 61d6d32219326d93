use bundle::Manifest;
use cli::Failure;
use serde::Serialize;
use types::{Deadline, Timestamp};

use crate::arguments::History;
use crate::output::Output;

#[derive(Serialize)]
struct Line {
    version: u64,
    parent: u64,
    publication: String,
    publisher: String,
    published_ms: u64,
    services: usize,
    set: Vec<String>,
    removed: Vec<String>,
}

/// Lists the newest versions.
pub async fn run(options: &History, output: &Output) -> Result<(), Failure> {
    let archive = super::archive(&options.store)?;
    let deadline = Deadline::after_ms(super::READ_LIMIT_MS);
    let manifests = archive.history(options.limit, deadline).await?;
    let lines: Vec<_> = manifests.iter().map(line).collect();
    output.result(&lines, |lines| text(lines, Timestamp::now()));
    Ok(())
}

fn line(manifest: &Manifest) -> Line {
    let is_set =
        |piece: &bundle::PieceKey| Some(&piece.publication) == manifest.publication.as_ref();
    let set = manifest
        .entries
        .values()
        .map(|entry| &entry.piece)
        .filter(|piece| is_set(piece));
    let removed = manifest
        .replaced
        .iter()
        .filter(|piece| !manifest.entries.contains_key(&piece.service));
    Line {
        version: manifest.version.get(),
        parent: manifest.parent.get(),
        publication: manifest
            .publication
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        publisher: manifest.publisher.clone(),
        published_ms: manifest.published.get(),
        services: manifest.entries.len(),
        set: set.map(|piece| piece.service.to_string()).collect(),
        removed: removed.map(|piece| piece.service.to_string()).collect(),
    }
}

fn text(lines: &[Line], now: Timestamp) -> String {
    if lines.is_empty() {
        return "nothing has been published".to_owned();
    }
    let shown = |line: &Line| {
        let age = now.since(Timestamp::new(line.published_ms)) / 1000;
        let changes = line.set.iter().map(|name| format!("+{name}"));
        let changes: Vec<_> = changes
            .chain(line.removed.iter().map(|name| format!("-{name}")))
            .collect();
        format!(
            "{:>8}  {age:>8} s ago  {:16}  {}  {} services  {}",
            line.version,
            line.publisher,
            line.publication,
            line.services,
            changes.join(" ")
        )
    };
    lines.iter().map(shown).collect::<Vec<_>>().join("\n")
}
