//! Keeps the held version up to date with the store, the source of versions for the reader.

use std::sync::Arc;
use std::time::Duration;

use bundle::{Bundle, Manifest, ManifestDelta, ManifestEntry, Service, digest_service};
use futures::{StreamExt, TryStreamExt, stream};
use schema::bundle::{Head, Manifest as ManifestMessage, ServiceConfig};
use store::{Change, Event, Revision, Span, Store, Watch, keys, values};
use thiserror::Error;
use tokio::time::{Instant, sleep, sleep_until};
use types::{Deadline, Version};

use crate::shared::Shared;

/// Time between two reads of `head`, which detect a watch that has silently stopped reporting.
const HEAD_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two reads for pending requests. Without it a restart of a failure domain,
/// whose nodes come back one by one, would cause one read for each node.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum random delay after a failure.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of pieces that are read at the same time.
const MAX_CONCURRENT_READS: usize = 16;

/// Reason why a version could not be read from the store.
#[derive(Debug, Error)]
enum ReadError {
    #[error("{0}")]
    Store(#[from] store::Error),
    #[error("{0}")]
    Value(#[from] values::Error),
    #[error("{0}")]
    Config(#[from] bundle::ConversionError),
    #[error("{0}")]
    Rejected(#[from] bundle::ApplyError),
    #[error("`{0}` is absent")]
    Absent(String),
    #[error("`{0}` does not match its digest")]
    Damaged(String),
}

/// `head` with the revision at which it was read.
struct HeadRead {
    version: Version,
    revision: Revision,
}

/// Keeps the held version up to date with the store. Never returns.
pub(crate) async fn follow(shared: &Shared, store: &Store) {
    let mut watch = None;
    loop {
        let ticket = shared.fresh_reads.latest_ticket();
        let next_read_at = Instant::now() + MIN_READ_INTERVAL;
        match read(shared, store).await {
            Ok(head) => {
                complete_reads(shared, ticket, head.version);
                watch = ensure_watch(shared, store, watch.take(), &head).await;
                follow_watch(shared, store, &mut watch).await;
                if shared.fresh_reads.has_pending() {
                    sleep_until(next_read_at).await;
                }
            }
            Err(error) => {
                log::warn!(
                    node = shared.local.id.as_str(), version = shared.version().get(),
                    reason:% = error; "reading the store failed"
                );
                watch = None;
                sleep(MAX_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
            }
        }
    }
}

/// Reads `head` and installs its version if it is newer.
async fn read(shared: &Shared, store: &Store) -> Result<HeadRead, ReadError> {
    let deadline = Deadline::after(shared.config.store_timeout);
    let span = Span::Key(keys::HEAD.to_owned());
    let listing = store.range(&span, deadline).await?;
    let head = match listing.entries.first() {
        Some((_, value)) => values::decode::<Head>(&value.bytes)?,
        None => Head::default(),
    };
    apply(shared, store, &head).await?;
    Ok(HeadRead {
        version: Version::new(head.version),
        revision: listing.revision,
    })
}

/// Reads the version of `head` and installs it if it is newer than the held version.
async fn apply(shared: &Shared, store: &Store, head: &Head) -> Result<(), ReadError> {
    let current = shared.bundle();
    let version = Version::new(head.version);
    if version < current.version {
        log::warn!(
            node = shared.local.id.as_str(), version = current.version.get(),
            offered = version.get(), reason = "store answer is stale"; "older version ignored"
        );
    }
    if version <= current.version {
        return Ok(());
    }
    let bundle = if head.complete && head.parent == current.version.get() {
        read_step(store, shared, &current, head).await?
    } else {
        read_manifest(store, shared, &current, version).await?
    };
    shared.install(bundle, "store");
    Ok(())
}

/// Reads the pieces that changed between the held version and its direct successor `head`.
async fn read_step(
    store: &Store,
    shared: &Shared,
    current: &Bundle,
    head: &Head,
) -> Result<Bundle, ReadError> {
    let step = ManifestDelta::try_from(head)?;
    let services = read_pieces(store, shared, step.changed.clone()).await?;
    Ok(current.apply(&step.into_delta(services))?)
}

/// Reads the manifest of `version` and the pieces that the held version lacks.
async fn read_manifest(
    store: &Store,
    shared: &Shared,
    held: &Bundle,
    version: Version,
) -> Result<Bundle, ReadError> {
    let timeout = shared.config.store_timeout;
    let key = keys::manifest(version);
    let value = store.get(&key, Deadline::after(timeout)).await?;
    let value = value.ok_or(ReadError::Absent(key))?;
    let manifest = Manifest::try_from(values::decode::<ManifestMessage>(&value.bytes)?)?;
    let entries = manifest
        .missing_entries(held)
        .into_iter()
        .cloned()
        .collect();
    let services = read_pieces(store, shared, entries).await?;
    Ok(held.apply(&manifest.delta_from(held, services))?)
}

async fn read_pieces(
    store: &Store,
    shared: &Shared,
    entries: Vec<ManifestEntry>,
) -> Result<Vec<Arc<Service>>, ReadError> {
    let timeout = shared.config.store_timeout;
    let reads = entries.into_iter().map(|entry| {
        let store = store.clone();
        async move { read_piece(&store, &entry, Deadline::after(timeout)).await }
    });
    let reads = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
    reads.try_collect().await
}

async fn read_piece(
    store: &Store,
    entry: &ManifestEntry,
    deadline: Deadline,
) -> Result<Arc<Service>, ReadError> {
    let key = keys::piece(&entry.piece.publication, &entry.piece.service);
    let Some(value) = store.get(&key, deadline).await? else {
        return Err(ReadError::Absent(key));
    };
    let service = Service::try_from(values::decode::<ServiceConfig>(&value.bytes)?)?;
    if digest_service(&service) == entry.digest {
        Ok(Arc::new(service))
    } else {
        Err(ReadError::Damaged(key))
    }
}

/// Completes the requests for a fresh read. A `head` below a version that some node is known to
/// have held is stale and completes none.
fn complete_reads(shared: &Shared, ticket: u64, version: Version) {
    let highest = shared.highest_known_version();
    if version < highest {
        log::warn!(
            node = shared.local.id.as_str(), version = version.get(), seen = highest.get(),
            reason = "store answer is stale"; "floor requests left pending"
        );
        return;
    }
    shared.fresh_reads.complete(ticket, version);
}

/// Keeps a watch that has reported all versions up to the one of `head`, or opens a new watch.
async fn ensure_watch(
    shared: &Shared,
    store: &Store,
    watch: Option<(Watch, Version)>,
    head: &HeadRead,
) -> Option<(Watch, Version)> {
    if let Some((watch, reported)) = watch {
        if reported >= head.version {
            return Some((watch, reported));
        }
        log::warn!(
            node = shared.local.id.as_str(), version = head.version.get(),
            reason = "watch missed a version"; "store watch reopened"
        );
    }
    let span = Span::Key(keys::HEAD.to_owned());
    let deadline = Deadline::after(shared.config.store_timeout);
    let opened = store.watch(&span, head.revision.next(), deadline).await;
    opened.ok().map(|watch| (watch, head.version))
}

/// Installs the versions that the watch reports until it is time to read `head` again.
async fn follow_watch(shared: &Shared, store: &Store, watch: &mut Option<(Watch, Version)>) {
    let until = Deadline::after(HEAD_READ_INTERVAL);
    while !until.has_passed(Instant::now()) {
        let Some((open, reported)) = watch else {
            tokio::select! {
                () = sleep_until(until.instant()) => {}
                () = shared.fresh_reads.wait_pending() => {}
            }
            return;
        };
        let events = tokio::select! {
            events = open.next(until) => events,
            () = shared.fresh_reads.wait_pending() => return,
        };
        match events {
            Ok(events) => {
                for head in events.iter().filter_map(decode_head) {
                    *reported = Version::new(head.version).max(*reported);
                    if let Err(error) = apply(shared, store, &head).await {
                        log::warn!(
                            node = shared.local.id.as_str(), version = head.version,
                            reason:% = error; "reading the version failed"
                        );
                        return;
                    }
                }
            }
            Err(store::Error::WatchSilent) => return,
            Err(error) => {
                log::warn!(node = shared.local.id.as_str(), reason:% = error; "store watch lost");
                *watch = None;
                return;
            }
        }
    }
}

fn decode_head(event: &Event) -> Option<Head> {
    match &event.change {
        Change::Put(value) => values::decode(&value.bytes).ok(),
        Change::Delete => None,
    }
}
