use std::sync::Arc;
use std::time::Duration;

use reqwest::Url;
use schema::gateway::{
    DeleteRangeRequest, DeleteRangeResponse, LeaseGrantRequest, LeaseGrantResponse,
    LeaseKeepAliveRequest, LeaseKeepAliveStream, LeaseRevokeRequest, LeaseRevokeResponse,
    PutRequest, PutResponse, RangeRequest, RangeResponse, ResponseHeader, TxnResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::Deadline;

use crate::transport::Transport;
use crate::{Error, Kind, Lease, Listing, Revision, Span, Txn, TxnReply, Value, Watch};

/// Client of the store. Clones share connections and counters.
///
/// Each call ends by its deadline. A write is sent at most once; the next address is tried only when
/// nothing was sent. A read may be sent to each address, and once more when its connection broke.
#[derive(Clone)]
pub struct Store {
    transport: Arc<Transport>,
}

impl Store {
    /// Creates a client for the base URLs of the store's gateway, tried in order. Nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] when the HTTP client cannot be set up.
    pub fn new(addresses: Vec<Url>) -> Result<Self, Error> {
        let transport = Arc::new(Transport::new(addresses)?);
        Ok(Self { transport })
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came by the deadline.
    pub async fn get(&self, key: &str, deadline: Deadline) -> Result<Option<Value>, Error> {
        let span = Span::Key(key.to_owned());
        let mut listing = self.range(&span, deadline).await?;
        Ok(listing.entries.pop().map(|(_, value)| value))
    }

    /// Reads all keys of a span at one revision.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came by the deadline.
    pub async fn range(&self, span: &Span, deadline: Deadline) -> Result<Listing, Error> {
        let request = RangeRequest {
            key: span.start(),
            range_end: span.end(),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.call(Kind::Range, &request, deadline).await?;
        checked(response.header)?;
        Listing::from_response(response)
    }

    /// Writes a key; returns the revision of the write.
    ///
    /// # Errors
    ///
    /// After [`Error::AnswerLost`] the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        bytes: Vec<u8>,
        lease: Option<Lease>,
        deadline: Deadline,
    ) -> Result<Revision, Error> {
        let request = PutRequest {
            key: key.as_bytes().to_vec(),
            value: bytes,
            lease: Lease::to_number(lease),
        };
        let response: PutResponse = self.call(Kind::Put, &request, deadline).await?;
        checked(response.header)
    }

    /// Deletes the keys of a span; returns their number.
    ///
    /// # Errors
    ///
    /// After [`Error::AnswerLost`] the delete may have taken effect.
    pub async fn delete(&self, span: &Span, deadline: Deadline) -> Result<u64, Error> {
        let request = DeleteRangeRequest {
            key: span.start(),
            range_end: span.end(),
        };
        let response: DeleteRangeResponse = self.call(Kind::Delete, &request, deadline).await?;
        checked(response.header)?;
        Ok(u64::try_from(response.deleted).unwrap_or(0))
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// After [`Error::AnswerLost`] the transaction may have taken effect.
    pub async fn txn(&self, txn: Txn, deadline: Deadline) -> Result<TxnReply, Error> {
        let request = txn.into_request();
        let response: TxnResponse = self.call(Kind::Txn, &request, deadline).await?;
        checked(response.header)?;
        response.try_into()
    }

    /// Creates a lease. The holder counts its time from before this call, since the store counts it
    /// from a later moment. The time to live is rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// After [`Error::AnswerLost`] a lease that nobody holds may exist until its time has passed.
    pub async fn grant(&self, ttl: Duration, deadline: Deadline) -> Result<Lease, Error> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let request = LeaseGrantRequest {
            ttl: i64::try_from(seconds).unwrap_or(i64::MAX),
            ..LeaseGrantRequest::default()
        };
        let response: LeaseGrantResponse = self.call(Kind::Grant, &request, deadline).await?;
        checked(response.header)?;
        Lease::from_number(response.id)
            .ok_or_else(|| Error::AnswerLost("lease without an id".to_owned()))
    }

    /// Renews a lease; returns its time to live.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseLapsed`] when the lease is gone. After [`Error::AnswerLost`] it may have
    /// been renewed; the holder counts on the earlier end.
    pub async fn keep_alive(&self, lease: Lease, deadline: Deadline) -> Result<Duration, Error> {
        let request = LeaseKeepAliveRequest { id: lease.get() };
        let wrapped: LeaseKeepAliveStream = self.call(Kind::KeepAlive, &request, deadline).await?;
        if let Some(failure) = wrapped.error {
            return Err(Error::AnswerLost(failure.message));
        }
        let response = wrapped.result.unwrap_or_default();
        checked(response.header)?;
        match u64::try_from(response.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::LeaseLapsed),
        }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseLapsed`] when the lease is gone already.
    pub async fn revoke(&self, lease: Lease, deadline: Deadline) -> Result<(), Error> {
        let request = LeaseRevokeRequest { id: lease.get() };
        let result: Result<LeaseRevokeResponse, Error> =
            self.call(Kind::Revoke, &request, deadline).await;
        match result {
            Ok(response) => checked(response.header).map(drop),
            Err(Error::Refused { status: 404, .. }) => Err(Error::LeaseLapsed),
            Err(error) => Err(error),
        }
    }

    /// Watches a span from a revision on, over a connection of its own. [`Revision::NONE`] reports
    /// changes from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when the store has not confirmed the watch by the deadline.
    pub async fn watch(
        &self,
        span: &Span,
        from: Revision,
        deadline: Deadline,
    ) -> Result<Watch, Error> {
        Watch::open(&self.transport, span, from, deadline).await
    }

    /// Calls sent so far, by kind. A watch counts once.
    #[must_use]
    pub fn counters(&self) -> [(Kind, u64); Kind::ALL.len()] {
        Kind::ALL.map(|kind| (kind, self.transport.counters.calls(kind)))
    }

    /// Bytes of the bodies sent and received so far, by kind; HTTP headers are not counted.
    #[must_use]
    pub fn bytes(&self) -> [(Kind, u64); Kind::ALL.len()] {
        Kind::ALL.map(|kind| (kind, self.transport.counters.bytes(kind)))
    }

    async fn call<Q, A>(&self, kind: Kind, request: &Q, deadline: Deadline) -> Result<A, Error>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = print(request)?;
        let answer = self.transport.call(kind, body, deadline).await?;
        serde_json::from_slice(&answer).map_err(|error| Error::AnswerLost(error.to_string()))
    }
}

/// JSON of a request.
pub(crate) fn print<Q>(request: &Q) -> Result<Vec<u8>, Error>
where
    Q: Serialize,
{
    serde_json::to_vec(request).map_err(|error| Error::NotSent(error.to_string()))
}

/// Revision of an answer. Every answer of the store has one, so an answer without it is damaged.
fn checked(header: Option<ResponseHeader>) -> Result<Revision, Error> {
    match header {
        Some(header) if header.revision > 0 => Ok(Revision::new(header.revision)),
        _ => Err(Error::AnswerLost("answer without a revision".to_owned())),
    }
}
