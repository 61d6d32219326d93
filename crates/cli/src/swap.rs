//! The transaction that makes a version visible.

use bundle::{Manifest, ManifestDelta, PieceKey};
use schema::bundle as message;
use store::{Compare, Operation, Reply, Revision, Txn, TxnReply, keys};
use types::{Deadline, Version};

use crate::publisher::{RETAINED_VERSIONS, encode};
use crate::{Archive, Failure, NewestVersion, retry};

/// Pieces that are deleted in the transaction. The store allows 128 operations in one; larger rests
/// are deleted before.
const DELETE_LIMIT: usize = 100;

/// Result of the transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Swap {
    /// The version is the newest one, or was until another one followed.
    Done,
    /// Another publisher was faster; nothing was changed.
    Moved,
}

/// Makes `next` the newest version if `newest` still is.
///
/// A lost answer is resolved by reading the publication and the head together. The publication is
/// written in the transaction only, so its presence means that the transaction took effect. When it is
/// absent and the head has moved, the transaction can no longer take effect, because it compares the
/// head's revision.
pub(crate) async fn swap(
    archive: &Archive,
    newest: &NewestVersion,
    next: &Manifest,
    deadline: Deadline,
) -> Result<Swap, Failure> {
    let publication = next
        .publication
        .clone()
        .ok_or_else(|| Failure::Damaged("version without publication".to_owned()))?;
    let publication_key = keys::publication(&publication);
    let expired = expired(archive, next, deadline).await?;
    let txn = transaction(archive, newest, next, &publication_key, expired, deadline).await?;
    let mut may_be_done = false;
    let mut attempt = 0;
    loop {
        let error = match archive
            .store()
            .txn(txn.clone(), retry::call_deadline(deadline))
            .await
        {
            Ok(reply) if reply.succeeded => return Ok(Swap::Done),
            Ok(reply) => return Ok(after_refusal(&reply)),
            Err(error) => error,
        };
        may_be_done |= error.may_have_taken_effect();
        let failure = |reason: String| {
            if may_be_done {
                Failure::Unknown {
                    publication: publication.clone(),
                    reason,
                }
            } else {
                Failure::Unreachable(reason)
            }
        };
        if may_be_done {
            match look(archive, &publication_key, newest.revision, deadline).await {
                Ok(Some(swap)) => return Ok(swap),
                Ok(None) => {}
                Err(error) => return Err(failure(error.to_string())),
            }
        }
        if !retry::wait(attempt, deadline).await {
            return Err(failure(error.to_string()));
        }
        attempt += 1;
    }
}

/// What a transaction means whose comparison did not hold. An earlier try may have taken effect.
fn after_refusal(reply: &TxnReply) -> Swap {
    match reply.replies.first() {
        Some(Reply::Get(Some(_))) => Swap::Done,
        _ => Swap::Moved,
    }
}

/// Finds out what became of a transaction whose answer was lost; `None` when it did not take effect
/// so far.
async fn look(
    archive: &Archive,
    publication_key: &str,
    seen: Revision,
    deadline: Deadline,
) -> Result<Option<Swap>, Failure> {
    let keys = [publication_key.to_owned(), keys::HEAD.to_owned()];
    let values = archive.get_batch(&keys, deadline).await?;
    let head = values[1]
        .as_ref()
        .map_or(Revision::NONE, |value| value.mod_revision);
    Ok(match (&values[0], head == seen) {
        (Some(_), _) => Some(Swap::Done),
        (None, false) => Some(Swap::Moved),
        (None, true) => None,
    })
}

/// Manifest that is no longer kept once `next` is published.
async fn expired(
    archive: &Archive,
    next: &Manifest,
    deadline: Deadline,
) -> Result<Option<Manifest>, Failure> {
    match next.version.get().checked_sub(RETAINED_VERSIONS) {
        None | Some(0) => Ok(None),
        Some(version) => archive.manifest(Version::new(version), deadline).await,
    }
}

async fn transaction(
    archive: &Archive,
    newest: &NewestVersion,
    next: &Manifest,
    publication_key: &str,
    expired: Option<Manifest>,
    deadline: Deadline,
) -> Result<Txn, Failure> {
    let step = ManifestDelta::between(&newest.manifest, next);
    let head = step
        .as_ref()
        .map_or_else(|| head_without_step(next), Into::into);
    let publication = message::Publication {
        version: next.version.get(),
    };
    let mut txn = Txn::new()
        .with_compare(Compare::Unchanged(keys::HEAD.to_owned(), newest.revision))
        .with_then(put(keys::HEAD.to_owned(), encode(&head)?))
        .with_then(put(
            keys::manifest(next.version),
            encode(&message::Manifest::from(next))?,
        ))
        .with_then(put(publication_key.to_owned(), encode(&publication)?))
        .with_otherwise(Operation::Get(publication_key.to_owned()));
    if let Some(expired) = expired {
        let rest = delete_early(archive, &expired.replaced, deadline).await?;
        txn = txn.with_then(Operation::Delete(keys::manifest(expired.version)));
        if let Some(publication) = &expired.publication {
            txn = txn.with_then(Operation::Delete(keys::publication(publication)));
        }
        txn.then.extend(rest.iter().map(delete));
    }
    Ok(txn)
}

/// Head of a version with too many changes to name them; readers then read the manifest.
fn head_without_step(next: &Manifest) -> message::Head {
    message::Head {
        version: next.version.get(),
        digest: next.digest.as_bytes().to_vec(),
        published_ms: next.published.get(),
        parent: next.parent.get(),
        ..message::Head::default()
    }
}

/// Deletes the pieces that do not fit into the transaction and returns those that do. The expired
/// version replaced them, and no older manifest is kept, so nothing uses them even if the
/// transaction fails.
async fn delete_early<'a>(
    archive: &Archive,
    pieces: &'a [PieceKey],
    deadline: Deadline,
) -> Result<&'a [PieceKey], Failure> {
    let early = pieces.len().saturating_sub(DELETE_LIMIT);
    for batch in pieces[..early].chunks(DELETE_LIMIT) {
        let txn = Txn {
            then: batch.iter().map(delete).collect(),
            ..Txn::new()
        };
        retry::read(deadline, |deadline| {
            archive.store().txn(txn.clone(), deadline)
        })
        .await?;
    }
    Ok(&pieces[early..])
}

fn delete(piece: &PieceKey) -> Operation {
    Operation::Delete(keys::piece(&piece.publication, &piece.service))
}

fn put(key: String, bytes: Vec<u8>) -> Operation {
    Operation::Put {
        key,
        bytes,
        lease: None,
    }
}
