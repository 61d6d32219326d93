use std::collections::BTreeSet;
use std::sync::Arc;

use bundle::{Bundle, Change, Conflict, Manifest, PieceKey, merge};
use rand::Rng;
use schema::bundle as message;
use store::{Operation, Txn, keys, values};
use types::{Deadline, Finding, Findings, Timestamp, id};

use crate::swap::{Swap, swap};
use crate::{Archive, Effect, Failure, NewestVersion, Order, Published, retry};

/// Versions whose manifests are kept.
pub(crate) const RETAINED_VERSIONS: u64 = 200;

/// Largest value of the store, in bytes.
const VALUE_LIMIT: usize = 1_000_000;

/// Attempts of one publication that competes with other publishers.
const MAX_PUBLISH_ATTEMPTS: u32 = 50;

/// Bytes and operations of one transaction of pieces. The store takes requests of 1.5 MB, whose JSON
/// form is a third longer than the bytes, with 128 operations.
const BATCH_BYTES: usize = 512 * 1024;
const BATCH_OPERATIONS: usize = 100;

/// Publishes operator files. One publisher can run many times; it keeps the pieces it has read.
pub struct Publisher {
    archive: Archive,
    name: String,
}

impl Publisher {
    /// Creates a publisher. `name` tells people who published a version.
    #[must_use]
    pub fn new(archive: Archive, name: &str) -> Self {
        Self {
            archive,
            name: name.to_owned(),
        }
    }

    /// The archive, to read versions with.
    pub const fn archive(&mut self) -> &mut Archive {
        &mut self.archive
    }

    /// Publishes a change as one new version. A change that lost a race against another publisher is
    /// merged again; the id of the run stays the same, so no run publishes twice.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Findings`], [`Failure::Conflict`], [`Failure::Races`], [`Failure::Usage`] for
    /// a base that is not kept, [`Failure::Damaged`] and [`Failure::NotPublished`] when nothing was
    /// published, and [`Failure::Unknown`] when that is not known.
    pub async fn publish(
        &mut self,
        order: &Order,
        deadline: Deadline,
    ) -> Result<Published, Failure> {
        check_order(order)?;
        self.run(order, deadline)
            .await
            .map_err(|failure| match failure {
                Failure::Unreachable(reason) => Failure::NotPublished(reason),
                failure => failure,
            })
    }

    async fn run(&mut self, order: &Order, deadline: Deadline) -> Result<Published, Failure> {
        let publication = new_publication()?;
        let mut change = Change::new(publication, &self.name, Timestamp::now())
            .with_services(order.folder.services())
            .with_removed(order.removed.iter().cloned());
        for service in order.folder.services() {
            let piece = change.set[&service.name].piece.clone();
            self.archive.keep(piece, Arc::new(service.clone()));
        }
        let mut newest = self.archive.newest(deadline).await?;
        let base = self.base(order, &newest, deadline).await?;
        let mut written = BTreeSet::new();
        for race in 0..MAX_PUBLISH_ATTEMPTS {
            change.published = Timestamp::now();
            let next = self.merge(&base, &newest, &change, deadline).await?;
            self.validate(order, &next, deadline).await?;
            if next.version == newest.manifest.version {
                return Ok(published(
                    Effect::Unchanged,
                    &change,
                    &newest.manifest,
                    &next,
                ));
            }
            if order.dry_run {
                return Ok(published(Effect::DryRun, &change, &newest.manifest, &next));
            }
            self.write_pieces(&next, &mut written, deadline).await?;
            match swap(&self.archive, &newest, &next, deadline).await? {
                Swap::Done => {
                    return Ok(published(
                        Effect::Published,
                        &change,
                        &newest.manifest,
                        &next,
                    ));
                }
                Swap::Moved => newest = self.archive.newest(deadline).await?,
            }
            if !retry::wait(race.min(4), deadline).await {
                return Err(Failure::Races(race + 1));
            }
        }
        Err(Failure::Races(MAX_PUBLISH_ATTEMPTS))
    }

    /// Manifest of the version that the operator worked from.
    async fn base(
        &self,
        order: &Order,
        newest: &NewestVersion,
        deadline: Deadline,
    ) -> Result<Manifest, Failure> {
        let Some(version) = order.base else {
            return Ok(newest.manifest.clone());
        };
        let manifest = self.archive.manifest(version, deadline).await?;
        manifest.ok_or_else(|| {
            Failure::Usage(format!(
                "version {version} does not exist or is no longer kept"
            ))
        })
    }

    async fn merge(
        &self,
        base: &Manifest,
        newest: &NewestVersion,
        change: &Change,
        deadline: Deadline,
    ) -> Result<Manifest, Failure> {
        match merge(base, &newest.manifest, change) {
            Ok(next) => Ok(next),
            Err(Conflict::Absent(name)) => Err(Failure::Usage(format!(
                "service `{name}` cannot be removed, because it does not exist"
            ))),
            Err(conflict) => {
                let conflict = self
                    .name_rival(conflict, base, &newest.manifest, deadline)
                    .await;
                Err(Failure::Conflict(conflict))
            }
        }
    }

    /// Finds who made the other change, from the newest version back to the base.
    async fn name_rival(
        &self,
        conflict: Conflict,
        base: &Manifest,
        newest: &Manifest,
        deadline: Deadline,
    ) -> Conflict {
        let Conflict::Changed { service, .. } = &conflict else {
            return conflict;
        };
        let piece = |manifest: &Manifest| {
            manifest
                .entries
                .get(service)
                .map(|entry| entry.piece.clone())
        };
        let mut manifest = newest.clone();
        while manifest.parent > base.version {
            // Without the older manifests, the conflict names the newest version found so far.
            let Ok(Some(parent)) = self.archive.manifest(manifest.parent, deadline).await else {
                break;
            };
            if piece(&parent) != piece(&manifest) {
                break;
            }
            manifest = parent;
        }
        conflict.with_other_publisher(&manifest.publisher, manifest.version)
    }

    /// Checks the whole resulting configuration with the validation of the nodes.
    async fn validate(
        &mut self,
        order: &Order,
        next: &Manifest,
        deadline: Deadline,
    ) -> Result<(), Failure> {
        let services = self.archive.services(next, deadline).await?;
        let own: BTreeSet<_> = order
            .folder
            .services()
            .map(|service| &service.name)
            .collect();
        let others = services.iter().map(Arc::as_ref);
        let others = others.filter(|service| !own.contains(&service.name));
        let findings = order.folder.validate(others);
        findings.or(()).map_err(Failure::Findings)?;
        let bundle =
            Bundle::new(next.version, next.published, services).map_err(Failure::Findings)?;
        if bundle.digest != next.digest {
            return Err(Failure::Damaged(
                "a piece does not have the digest of its manifest entry".to_owned(),
            ));
        }
        Ok(())
    }

    /// Writes the pieces of this publication that `next` names. They are not visible before the swap,
    /// and writing one twice changes nothing.
    ///
    /// Which pieces these are can change between two races: with an older base, a service that equals
    /// the newest version at first may differ from it after another publisher went back.
    async fn write_pieces(
        &self,
        next: &Manifest,
        written: &mut BTreeSet<PieceKey>,
        deadline: Deadline,
    ) -> Result<(), Failure> {
        let pieces = next.entries.values().map(|entry| &entry.piece);
        let own = pieces.filter(|piece| Some(&piece.publication) == next.publication.as_ref());
        let missing: Vec<_> = own.filter(|piece| !written.contains(piece)).collect();
        let mut batch = Vec::new();
        let mut size = 0;
        let kept = missing
            .iter()
            .filter_map(|piece| Some((piece, self.archive.kept(piece)?)));
        for (piece, service) in kept {
            let bytes = encode(&message::ServiceConfig::from(service))?;
            if size + bytes.len() > BATCH_BYTES || batch.len() == BATCH_OPERATIONS {
                self.write_batch(std::mem::take(&mut batch), deadline)
                    .await?;
                size = 0;
            }
            size += bytes.len();
            let key = keys::piece(&piece.publication, &piece.service);
            batch.push(Operation::Put {
                key,
                bytes,
                lease: None,
            });
        }
        self.write_batch(batch, deadline).await?;
        written.extend(missing.into_iter().cloned());
        Ok(())
    }

    async fn write_batch(&self, batch: Vec<Operation>, deadline: Deadline) -> Result<(), Failure> {
        if batch.is_empty() {
            return Ok(());
        }
        let txn = Txn {
            then: batch,
            ..Txn::new()
        };
        let store = self.archive.store();
        retry::read(deadline, |deadline| store.txn(txn.clone(), deadline)).await?;
        Ok(())
    }
}

/// Refuses an order that sets and removes the same service, or does nothing.
fn check_order(order: &Order) -> Result<(), Failure> {
    if order.folder.sources.is_empty() && order.removed.is_empty() {
        return Err(Failure::Usage(
            "nothing to publish: no operator file and no service to remove".to_owned(),
        ));
    }
    let mut services = order.folder.services();
    match services.find(|service| order.removed.contains(&service.name)) {
        Some(service) => Err(Failure::Usage(format!(
            "service `{}` is both published and removed",
            service.name
        ))),
        None => Ok(()),
    }
}

/// Draws the id of a run. At 64 random bits, two of the 22,000 runs of a day practically never meet.
fn new_publication() -> Result<id::Publication, Failure> {
    let text = format!("{:016x}", rand::rng().random::<u64>());
    text.parse()
        .map_err(|error: id::Invalid| Failure::Usage(error.to_string()))
}

/// Encodes a value and checks that the store takes it.
pub(crate) fn encode<M>(message: &M) -> Result<Vec<u8>, Failure>
where
    M: bincode::Encode,
{
    let bytes = values::encode(message).map_err(|error| Failure::Damaged(error.to_string()))?;
    if bytes.len() <= VALUE_LIMIT {
        return Ok(bytes);
    }
    let text = format!(
        "a value of {} bytes is larger than {VALUE_LIMIT}",
        bytes.len()
    );
    let finding = Finding::new("all files", text);
    Err(Failure::Findings(
        [finding].into_iter().collect::<Findings>(),
    ))
}

fn published(effect: Effect, change: &Change, old: &Manifest, new: &Manifest) -> Published {
    let is_set = |name: &&id::Service| {
        old.entries.get(*name).map(|entry| entry.digest)
            != new.entries.get(*name).map(|entry| entry.digest)
    };
    Published {
        effect,
        version: new.version,
        publication: change.publication.clone(),
        set: change.set.keys().filter(is_set).cloned().collect(),
        removed: change
            .removed
            .iter()
            .filter(|name| old.entries.contains_key(*name))
            .cloned()
            .collect(),
    }
}
