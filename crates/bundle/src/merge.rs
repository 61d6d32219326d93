use std::collections::BTreeMap;

use types::id;

use crate::{Change, Conflict, Manifest, ManifestEntry, PieceKey};

/// Merges `change`, which was made from `base`, into `head`, the newest manifest, and returns the
/// next manifest.
///
/// The result is `head` itself when it already contains the whole change, so that there is nothing
/// to publish.
///
/// # Errors
///
/// Returns [`Conflict`] when a service of the change differs between `base` and `head`, belongs to
/// another owner, or is to be removed and does not exist.
pub fn merge(base: &Manifest, head: &Manifest, change: &Change) -> Result<Manifest, Conflict> {
    let mut entries = head.entries.clone();
    for (name, entry) in &change.set {
        set_entry(base, head, name, entry, &mut entries)?;
    }
    for name in &change.removed {
        remove_entry(base, head, name, &mut entries)?;
    }
    if entries == head.entries {
        return Ok(head.clone());
    }
    let manifest = Manifest {
        version: head.version.next(),
        parent: head.version,
        publication: Some(change.publication.clone()),
        publisher: change.publisher.clone(),
        published: change.published,
        digest: head.digest,
        replaced: find_replaced(head, &entries),
        entries,
    };
    Ok(manifest.with_computed_digest())
}

fn set_entry(
    base: &Manifest,
    head: &Manifest,
    name: &id::Service,
    entry: &ManifestEntry,
    entries: &mut BTreeMap<id::Service, ManifestEntry>,
) -> Result<(), Conflict> {
    if let Some(current) = head.entries.get(name) {
        if current.owner != entry.owner {
            return Err(Conflict::OwnerMismatch {
                service: name.clone(),
                owner: current.owner.clone(),
                claimed: entry.owner.clone(),
            });
        }
        if current.digest == entry.digest {
            return Ok(());
        }
    }
    check_unchanged(base, head, name)?;
    entries.insert(name.clone(), entry.clone());
    Ok(())
}

fn remove_entry(
    base: &Manifest,
    head: &Manifest,
    name: &id::Service,
    entries: &mut BTreeMap<id::Service, ManifestEntry>,
) -> Result<(), Conflict> {
    if entries.remove(name).is_none() {
        return match base.entries.get(name) {
            // Another publisher has removed the service already.
            Some(_) => Ok(()),
            None => Err(Conflict::Absent(name.clone())),
        };
    }
    check_unchanged(base, head, name)
}

/// Checks that no other publisher has changed a service between `base` and `head`.
fn check_unchanged(base: &Manifest, head: &Manifest, name: &id::Service) -> Result<(), Conflict> {
    let current = head.entries.get(name);
    if base.entries.get(name).map(|entry| entry.digest) == current.map(|entry| entry.digest) {
        return Ok(());
    }
    Err(Conflict::Changed {
        service: name.clone(),
        publication: current.map(|entry| entry.piece.publication.clone()),
        publisher: head.publisher.clone(),
        version: head.version,
    })
}

/// Finds the pieces of `head` that `entries` no longer use.
fn find_replaced(head: &Manifest, entries: &BTreeMap<id::Service, ManifestEntry>) -> Vec<PieceKey> {
    let is_used = |entry: &ManifestEntry| {
        entries
            .get(&entry.piece.service)
            .is_some_and(|new| new.piece == entry.piece)
    };
    let unused = head.entries.values().filter(|entry| !is_used(entry));
    unused.map(|entry| entry.piece.clone()).collect()
}
