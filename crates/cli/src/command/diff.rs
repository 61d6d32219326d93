use std::sync::Arc;

use bundle::Service;
use cli::{Archive, Difference, Failure};
use types::{Deadline, Version};

use crate::arguments::Diff;
use crate::output::Output;

/// Shows what changed from one version to another.
pub async fn run(options: &Diff, output: &Output) -> Result<(), Failure> {
    let [old, new] = options.versions[..] else {
        return Err(Failure::Usage("diff needs two versions".to_owned()));
    };
    let mut archive = super::archive(&options.store)?;
    let deadline = Deadline::after_ms(super::READ_LIMIT_MS);
    let old = services(&mut archive, old, deadline).await?;
    let new = services(&mut archive, new, deadline).await?;
    let difference = Difference::between(old.iter().map(Arc::as_ref), new.iter().map(Arc::as_ref));
    output.result(&difference, text);
    Ok(())
}

async fn services(
    archive: &mut Archive,
    version: Version,
    deadline: Deadline,
) -> Result<Vec<Arc<Service>>, Failure> {
    let manifest = archive.manifest(version, deadline).await?;
    let manifest = manifest.ok_or_else(|| {
        Failure::Usage(format!(
            "version {version} does not exist or is no longer kept"
        ))
    })?;
    archive.services(&manifest, deadline).await
}

fn text(difference: &Difference) -> String {
    if difference.is_empty() {
        return "no difference".to_owned();
    }
    let mut lines = Vec::new();
    lines.extend(difference.added.iter().map(|name| format!("+ {name}")));
    lines.extend(difference.removed.iter().map(|name| format!("- {name}")));
    for (name, fields) in &difference.changed {
        lines.push(format!("~ {name}"));
        for field in fields {
            let shown =
                |value: &Option<String>| value.clone().unwrap_or_else(|| "(absent)".to_owned());
            lines.push(format!(
                "    {}: {} -> {}",
                field.key,
                shown(&field.old),
                shown(&field.new)
            ));
        }
    }
    lines.join("\n")
}
