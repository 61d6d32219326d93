use schema::gateway::{KeyValue, RangeResponse};

use crate::{Error, Revision, Value};

/// Keys read at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Keys with their values, sorted by key.
    pub entries: Vec<(String, Value)>,
    /// Revision of the store at the read. A watch from the next one misses nothing.
    pub revision: Revision,
}

impl Listing {
    /// Reads a listing from an answer.
    pub(crate) fn from_response(response: RangeResponse) -> Result<Self, Error> {
        let revision = response.header.map_or(0, |header| header.revision);
        let entries = response.kvs.into_iter().map(entry);
        Ok(Self {
            entries: entries.collect::<Result<_, _>>()?,
            revision: Revision::new(revision),
        })
    }
}

/// Reads one key with its value.
pub(crate) fn entry(mut kv: KeyValue) -> Result<(String, Value), Error> {
    let key = std::mem::take(&mut kv.key);
    let key = String::from_utf8(key).map_err(|error| Error::AnswerLost(error.to_string()))?;
    Ok((key, kv.into()))
}
