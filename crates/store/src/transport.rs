use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, Response, StatusCode, Url, redirect, retry};
use schema::gateway::Failure;
use tokio::time::{Instant, timeout_at};
use types::Deadline;

use crate::counters::Counters;
use crate::{Error, Kind};

/// Longest time to make a connection. Well below the call deadline of 2 seconds, so that an address
/// which drops packets leaves time for the next one.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Largest answer, in bytes. It bounds the memory that a damaged store can take.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Sends requests to the addresses of the store.
pub(crate) struct Transport {
    addresses: Vec<Url>,
    /// Address that answered last; the next call starts with it.
    preferred: AtomicUsize,
    /// Keeps connections for reads. Replaced after a lost answer, so that a pooled connection that
    /// went silent is not used again.
    pooled: Mutex<Client>,
    /// Opens a connection for each call. On a reused connection that the store has just closed, a
    /// write would end with an unknown outcome.
    single: Client,
    pub(crate) counters: Arc<Counters>,
}

impl Transport {
    pub(crate) fn new(addresses: Vec<Url>) -> Result<Self, Error> {
        Ok(Self {
            addresses,
            preferred: AtomicUsize::new(0),
            pooled: Mutex::new(build(usize::MAX)?),
            single: build(0)?,
            counters: Arc::default(),
        })
    }

    /// Sends a call and returns the body of the answer.
    pub(crate) async fn call(
        &self,
        kind: Kind,
        body: Vec<u8>,
        deadline: Deadline,
    ) -> Result<Bytes, Error> {
        let answer = self.try_addresses(kind, body, deadline, receive).await?;
        self.counters.add_bytes(kind, answer.len());
        Ok(answer)
    }

    /// Sends a call and returns the head of its streamed answer.
    pub(crate) async fn open(
        &self,
        kind: Kind,
        body: Vec<u8>,
        deadline: Deadline,
    ) -> Result<Response, Error> {
        self.try_addresses(kind, body, deadline, async |response| Ok(response))
            .await
    }

    /// Tries the addresses in turn while that is safe. A read gives each address an equal share of
    /// the time left; a write ends with the first address that it was sent to.
    async fn try_addresses<T, R>(
        &self,
        kind: Kind,
        body: Vec<u8>,
        deadline: Deadline,
        read: R,
    ) -> Result<T, Error>
    where
        R: AsyncFn(Response) -> Result<T, Error>,
    {
        let body = Bytes::from(body);
        let count = self.addresses.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = Error::NotSent("no address is set".to_owned());
        for tried in 0..count {
            let now = Instant::now();
            if deadline.has_passed(now) {
                let late = Error::NotSent("deadline has passed".to_owned());
                return Err(if tried == 0 { late } else { last });
            }
            let index = (first + tried) % count;
            let limit = share(kind, deadline, now, count - tried);
            match self.try_address(kind, index, &body, limit, &read).await {
                Err(error) if allows_next(kind, &error) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    /// Tries one address, twice for a read whose connection broke. The next call starts with this
    /// address after an answer, and with the one behind it after a lost answer.
    async fn try_address<T, R>(
        &self,
        kind: Kind,
        index: usize,
        body: &Bytes,
        limit: Deadline,
        read: &R,
    ) -> Result<T, Error>
    where
        R: AsyncFn(Response) -> Result<T, Error>,
    {
        let address = &self.addresses[index];
        let client = self.client(kind);
        let mut result = self
            .attempt(kind, &client, address, body.clone(), limit, read)
            .await;
        if kind == Kind::Range && is_broken(&result, limit) {
            result = self
                .attempt(kind, &self.single, address, body.clone(), limit, read)
                .await;
        }
        match &result {
            Ok(_) => self.preferred.store(index, Ordering::Relaxed),
            Err(Error::AnswerLost(_)) => {
                let behind = (index + 1) % self.addresses.len();
                self.preferred.store(behind, Ordering::Relaxed);
            }
            Err(_) => {}
        }
        result
    }

    /// Sends a call to one address.
    async fn attempt<T, R>(
        &self,
        kind: Kind,
        client: &Client,
        address: &Url,
        body: Bytes,
        limit: Deadline,
        read: &R,
    ) -> Result<T, Error>
    where
        R: AsyncFn(Response) -> Result<T, Error>,
    {
        let url = address
            .join(kind.path())
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.counters.count(kind, body.len());
        let exchange = async { read(send(client, kind, url, body).await?).await };
        let Ok(result) = timeout_at(limit.instant(), exchange).await else {
            log::warn!(kind:%, address:%; "store call without an answer by its deadline");
            self.replace_pool();
            return Err(Error::AnswerLost("no answer by the deadline".to_owned()));
        };
        result
    }

    fn client(&self, kind: Kind) -> Client {
        match kind {
            Kind::Range => self.lock().clone(),
            _ => self.single.clone(),
        }
    }

    /// Closes the idle connections. Reads under way keep theirs.
    fn replace_pool(&self) {
        match build(usize::MAX) {
            Ok(client) => *self.lock() = client,
            Err(error) => log::error!("{error}"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Client> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates a client that never sends a request again by itself: no retries, no redirects.
fn build(idle: usize) -> Result<Client, Error> {
    Client::builder()
        .no_proxy()
        .retry(retry::never())
        .redirect(redirect::Policy::none())
        .connect_timeout(CONNECT_LIMIT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(idle)
        .build()
        .map_err(|error| Error::NotSent(describe(&error)))
}

/// Sends a request and returns the head of a positive answer.
async fn send(client: &Client, kind: Kind, url: Url, body: Bytes) -> Result<Response, Error> {
    let request = client
        .post(url)
        .header(CONTENT_TYPE, "application/json")
        .body(body);
    let response = request.send().await.map_err(|error| lost(&error))?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    Err(refused(kind, response).await)
}

/// Reads a whole body.
async fn receive(mut response: Response) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    while let Some(part) = response.chunk().await.map_err(|error| lost(&error))? {
        if body.len() + part.len() > ANSWER_LIMIT {
            return Err(Error::AnswerLost("answer is too large".to_owned()));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Whether a read lost its connection before its limit. The store may have closed the pooled
/// connection while it was idle, so the read is sent again on a new one.
fn is_broken<T>(result: &Result<T, Error>, limit: Deadline) -> bool {
    matches!(result, Err(Error::AnswerLost(_))) && !limit.has_passed(Instant::now())
}

/// Deadline of one attempt when `left` addresses are left.
fn share(kind: Kind, deadline: Deadline, now: Instant, left: usize) -> Deadline {
    let parts = u32::try_from(left).unwrap_or(u32::MAX);
    if kind.is_read() {
        Deadline::new(now + deadline.remaining(now) / parts)
    } else {
        deadline
    }
}

/// Whether a call may be sent to the next address after an error.
fn allows_next(kind: Kind, error: &Error) -> bool {
    match error {
        Error::NotSent(_) => true,
        Error::AnswerLost(_) => kind.is_read(),
        Error::Refused { status, .. } => kind.is_read() && (*status == 429 || *status >= 500),
        _ => false,
    }
}

/// Error of a request without a complete answer.
pub(crate) fn lost(error: &reqwest::Error) -> Error {
    if error.is_connect() || error.is_builder() {
        Error::NotSent(describe(error))
    } else {
        Error::AnswerLost(describe(error))
    }
}

/// Error of a negative answer. A 5xx status also stands for a write whose commit the store did not see
/// in time, so it leaves the outcome of a write unknown.
async fn refused(kind: Kind, response: Response) -> Error {
    let status = response.status();
    let body = receive(response).await.unwrap_or_default();
    let failure = serde_json::from_slice::<Failure>(&body).unwrap_or_default();
    if status.is_server_error() && !kind.is_read() {
        return Error::AnswerLost(format!("status {status}: {}", failure.message));
    }
    Error::Refused {
        status: status.as_u16(),
        message: failure.message,
    }
}

/// Text of an error with its causes; `reqwest` shows the outermost only.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
