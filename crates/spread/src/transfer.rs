//! Transfer of versions in parts of bounded size.

use bundle::{Bundle, Delta};
use schema::codec;
use schema::control::Update;
use types::{Digest, Version};

/// Maximum size of one part of a transfer. A larger part would delay the heartbeats behind it.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Size that is reserved in each part for the fields that are not services.
const PART_OVERHEAD_BYTES: usize = 1024;

/// Maximum number of services in all parts of one transfer, which bounds the memory that a faulty
/// peer can make a receiver use.
const MAX_SERVICES: usize = 100_000;

/// Splits a delta into the parts of a transfer.
///
/// # Errors
///
/// Returns an error when a service cannot be encoded.
pub fn split(delta: &Delta) -> Result<Vec<Update>, codec::Error> {
    let mut update = Update::from(delta);
    let services = std::mem::take(&mut update.changed);
    let first = Update {
        removed: std::mem::take(&mut update.removed),
        ..update.clone()
    };
    let mut parts = vec![first];
    let mut size = PART_OVERHEAD_BYTES;
    for service in services {
        let length = codec::encode(&service)?.len();
        if size + length > MAX_PART_BYTES {
            parts.push(update.clone());
            size = PART_OVERHEAD_BYTES;
        }
        size += length;
        if let Some(part) = parts.last_mut() {
            part.changed.push(service);
        }
    }
    let last = parts.len() - 1;
    for (index, part) in parts.iter_mut().enumerate() {
        part.last = index == last;
    }
    Ok(parts)
}

/// Assembles the received parts of a transfer into a bundle.
#[derive(Debug, Default)]
pub struct Assembler {
    /// Received parts, joined into one update.
    received: Option<Update>,
}

/// Result of adding one part.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More parts are to come.
    Partial,
    /// The transfer leads to a version that is not newer than the held version.
    Ignored,
    /// The transfer is complete, and its bundle has been validated.
    Complete(Box<Bundle>),
    /// The transfer is invalid and its parts have been dropped. Holds the reason.
    Failed(String),
}

impl Assembler {
    /// Adds a part of a transfer that applies to `held`. After a failure no parts are kept.
    pub fn add(&mut self, held: &Bundle, part: Update) -> Progress {
        if Version::new(part.to) <= held.version {
            self.received = None;
            return Progress::Ignored;
        }
        let whole = match self.received.take() {
            None => part,
            Some(first) => match join(first, part) {
                Ok(whole) => whole,
                Err(reason) => return Progress::Failed(reason),
            },
        };
        if !whole.last {
            self.received = Some(whole);
            return Progress::Partial;
        }
        match build(held, whole) {
            Ok(bundle) => Progress::Complete(Box::new(bundle)),
            Err(reason) => Progress::Failed(reason),
        }
    }

    /// Drops the parts of an unfinished transfer.
    pub fn clear(&mut self) {
        self.received = None;
    }
}

fn join(mut first: Update, part: Update) -> Result<Update, String> {
    let key = |update: &Update| (update.from, update.to, update.published_ms);
    if key(&first) != key(&part) || first.digest != part.digest {
        return Err(format!(
            "part of the transfer to {} inside the transfer to {}",
            part.to, first.to
        ));
    }
    first.changed.extend(part.changed);
    first.removed.extend(part.removed);
    first.last = part.last;
    if first.changed.len() > MAX_SERVICES {
        return Err(format!("more than {MAX_SERVICES} services"));
    }
    Ok(first)
}

fn build(held: &Bundle, update: Update) -> Result<Bundle, String> {
    let delta = Delta::try_from(update).map_err(|error| error.to_string())?;
    held.apply(&delta).map_err(|error| error.to_string())
}

/// Parses the held version and digest of a `Hello`. A digest of the wrong length becomes the
/// default digest, which no bundle has, so the peer gets a snapshot.
#[must_use]
pub fn parse_held(version: u64, digest: &[u8]) -> (Version, Digest) {
    (
        Version::new(version),
        Digest::try_from(digest).unwrap_or_default(),
    )
}
