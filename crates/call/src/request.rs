use std::io;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, Method};
use route::Plan;
use types::{Deadline, id};

use crate::Failure;

/// Body of a request. An error means that the caller aborted the request.
pub type RequestBody = BoxStream<'static, Result<Bytes, io::Error>>;

/// Call received from a caller, independent of the types of the front end.
pub struct Request {
    /// Id of the call in logs, accounts and headers.
    pub id: id::Request,
    /// Owner whose account the call is recorded in; `None` when the caller named none.
    pub owner: Option<id::Owner>,
    /// Host that the caller named, without a port; empty when it named none.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// Deadline set by the caller; the route's own deadline applies as well.
    pub deadline: Option<Deadline>,
    /// Key under which a non-repeatable call runs at most once.
    pub idempotency_key: Option<String>,
    /// Decides on the request when its route is known.
    pub guard: Option<Box<Guard>>,
    /// Body.
    pub body: RequestBody,
}

/// Decides whether a request may take a route. Returns the priority that replaces that of the route, if
/// any, or the failure with which the call ends.
pub type Guard = dyn FnOnce(&Plan) -> Result<Option<u32>, Failure> + Send;

/// Generates a random id for a call whose caller named none.
#[must_use]
pub fn new_request_id() -> id::Request {
    loop {
        // Hexadecimal digits are always a valid id, so the first iteration returns.
        if let Ok(id) = format!("{:032x}", rand::random::<u128>()).parse() {
            return id;
        }
    }
}

impl Request {
    /// Creates a request without owner, headers, deadline, idempotency key and body.
    #[must_use]
    pub fn new<T>(id: id::Request, method: Method, target: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            id,
            owner: None,
            host: String::new(),
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            deadline: None,
            idempotency_key: None,
            guard: None,
            body: stream::empty().boxed(),
        }
    }

    /// Sets the owner.
    #[must_use]
    pub fn with_owner(mut self, owner: id::Owner) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Sets the deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Deadline) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_idempotency_key<K>(mut self, key: K) -> Self
    where
        K: Into<String>,
    {
        self.idempotency_key = Some(key.into());
        self
    }

    /// Sets the body to bytes in memory.
    #[must_use]
    pub fn with_body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        let body = body.into();
        self.body = stream::once(async move { Ok(body) }).boxed();
        self
    }
}
