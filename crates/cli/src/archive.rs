use std::collections::BTreeMap;
use std::sync::Arc;

use bundle::{Manifest, PieceKey, Service};
use schema::bundle as message;
use store::{Operation, Reply, Revision, Store, Txn, Value, keys, values};
use types::{Deadline, Version};

use crate::{Failure, retry};

/// Keys read in one transaction. The store allows 128 operations in one.
const BATCH: usize = 100;

/// Attempts to read a manifest whose version moved on between two reads.
const MAX_READ_ATTEMPTS: usize = 5;

/// Reads published versions from the store. Pieces never change, so those that were read are kept.
pub struct Archive {
    store: Store,
    pieces: BTreeMap<PieceKey, Arc<Service>>,
}

/// Newest version with the revision that a publisher compares.
#[derive(Clone, Debug)]
pub struct NewestVersion {
    /// Manifest of the version; empty when nothing has been published.
    pub manifest: Manifest,
    /// Revision of the head; [`Revision::NONE`] when it does not exist.
    pub revision: Revision,
}

impl Archive {
    /// Creates an archive. Nothing is sent.
    #[must_use]
    pub const fn new(store: Store) -> Self {
        Self {
            store,
            pieces: BTreeMap::new(),
        }
    }

    /// The client of the store.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Reads the newest version.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when the store did not answer by the deadline, and
    /// [`Failure::Damaged`] when its content is not as expected.
    pub async fn newest(&self, deadline: Deadline) -> Result<NewestVersion, Failure> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let head = self.get(keys::HEAD, deadline).await?;
            let Some(value) = head else {
                let manifest = Manifest::empty();
                let revision = Revision::NONE;
                return Ok(NewestVersion { manifest, revision });
            };
            let head: message::Head = decode(keys::HEAD, &value.bytes)?;
            let manifest = self.manifest(Version::new(head.version), deadline).await?;
            // The manifest is gone when 200 versions were published since the head was read.
            if let Some(manifest) = manifest {
                let revision = value.mod_revision;
                return Ok(NewestVersion { manifest, revision });
            }
        }
        Err(Failure::Damaged(
            "the newest version has no manifest".to_owned(),
        ))
    }

    /// Reads the manifest of a version; `None` when it is not kept. [`Version::NONE`] has the empty one.
    ///
    /// # Errors
    ///
    /// The same as [`Archive::newest`].
    pub async fn manifest(
        &self,
        version: Version,
        deadline: Deadline,
    ) -> Result<Option<Manifest>, Failure> {
        if version == Version::NONE {
            return Ok(Some(Manifest::empty()));
        }
        let key = keys::manifest(version);
        let value = self.get(&key, deadline).await?;
        value
            .map(|value| decode_manifest(&key, &value.bytes))
            .transpose()
    }

    /// Reads up to `limit` versions that are kept, the newest one first.
    ///
    /// # Errors
    ///
    /// The same as [`Archive::newest`].
    pub async fn history(
        &self,
        limit: usize,
        deadline: Deadline,
    ) -> Result<Vec<Manifest>, Failure> {
        let newest = self.newest(deadline).await?.manifest.version.get();
        let versions: Vec<_> = (1..=newest).rev().take(limit).map(Version::new).collect();
        let keys: Vec<_> = versions.into_iter().map(keys::manifest).collect();
        let values = self.get_all(&keys, deadline).await?;
        let kept = keys
            .iter()
            .zip(values)
            .filter_map(|(key, value)| Some((key, value?)));
        kept.map(|(key, value)| decode_manifest(key, &value.bytes))
            .collect()
    }

    /// Adds a service that is known without reading it, such as one that is being published.
    pub(crate) fn keep(&mut self, piece: PieceKey, service: Arc<Service>) {
        self.pieces.insert(piece, service);
    }

    /// Service of a piece, when it is known without reading it.
    pub(crate) fn kept(&self, piece: &PieceKey) -> Option<&Service> {
        self.pieces.get(piece).map(Arc::as_ref)
    }

    /// Reads all services of a version.
    ///
    /// # Errors
    ///
    /// The same as [`Archive::newest`].
    pub async fn services(
        &mut self,
        manifest: &Manifest,
        deadline: Deadline,
    ) -> Result<Vec<Arc<Service>>, Failure> {
        let pieces = manifest.entries.values().map(|entry| &entry.piece);
        let missing: Vec<_> = pieces
            .clone()
            .filter(|piece| !self.pieces.contains_key(piece))
            .cloned()
            .collect();
        let keys: Vec<_> = missing
            .iter()
            .map(|piece| keys::piece(&piece.publication, &piece.service))
            .collect();
        let values = self.get_all(&keys, deadline).await?;
        for ((piece, key), value) in missing.into_iter().zip(&keys).zip(values) {
            let value = value.ok_or_else(|| Failure::Damaged(format!("`{key}` does not exist")))?;
            let config: message::ServiceConfig = decode(key, &value.bytes)?;
            let service = Service::try_from(config)
                .map_err(|error| Failure::Damaged(format!("`{key}`: {error}")))?;
            self.pieces.insert(piece, Arc::new(service));
        }
        Ok(pieces
            .filter_map(|piece| self.pieces.get(piece))
            .cloned()
            .collect())
    }

    async fn get(&self, key: &str, deadline: Deadline) -> Result<Option<Value>, Failure> {
        retry::read(deadline, |deadline| self.store.get(key, deadline)).await
    }

    /// Reads many keys, some in each transaction.
    async fn get_all(
        &self,
        keys: &[String],
        deadline: Deadline,
    ) -> Result<Vec<Option<Value>>, Failure> {
        let mut values = Vec::with_capacity(keys.len());
        for batch in keys.chunks(BATCH) {
            values.extend(self.get_batch(batch, deadline).await?);
        }
        Ok(values)
    }

    /// Reads some keys at one revision.
    pub(crate) async fn get_batch(
        &self,
        keys: &[String],
        deadline: Deadline,
    ) -> Result<Vec<Option<Value>>, Failure> {
        let gets = keys.iter().cloned().map(Operation::Get);
        let txn = Txn {
            then: gets.collect(),
            ..Txn::new()
        };
        let reply = retry::read(deadline, |deadline| self.store.txn(txn.clone(), deadline)).await?;
        let values: Vec<_> = reply
            .replies
            .into_iter()
            .map(value_of)
            .collect::<Result<_, _>>()?;
        if values.len() == keys.len() {
            Ok(values)
        } else {
            Err(Failure::Damaged("a transaction lacks replies".to_owned()))
        }
    }
}

fn value_of(reply: Reply) -> Result<Option<Value>, Failure> {
    match reply {
        Reply::Get(value) => Ok(value),
        Reply::Put | Reply::Delete(_) => Err(Failure::Damaged(
            "a read has a reply of another kind".to_owned(),
        )),
    }
}

fn decode<M>(key: &str, bytes: &[u8]) -> Result<M, Failure>
where
    M: bincode::Decode<()>,
{
    values::decode(bytes).map_err(|error| Failure::Damaged(format!("`{key}`: {error}")))
}

fn decode_manifest(key: &str, bytes: &[u8]) -> Result<Manifest, Failure> {
    let manifest: message::Manifest = decode(key, bytes)?;
    manifest
        .try_into()
        .map_err(|error| Failure::Damaged(format!("`{key}`: {error}")))
}
