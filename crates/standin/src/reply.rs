//! Answers and bodies.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Largest body of a request, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Answer that is never sent; its connection is closed.
#[derive(Clone, Copy, Debug, Error)]
#[error("answer is cut")]
pub(crate) struct Cut;

/// Request that was not understood.
#[derive(Debug, Error)]
pub(crate) enum Invalid {
    /// The body did not arrive or is too large.
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is not the expected JSON.
    #[error("json: {0}")]
    Json(#[from] serde_json::Error),
}

/// Body with known length.
pub(crate) fn full<T>(content: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Body of unknown length; an error in the stream cuts the connection.
pub(crate) fn stream<S>(parts: S) -> Body
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}

/// Answer with a JSON body.
pub(crate) fn json<T>(status: StatusCode, content: &T) -> Response<Body>
where
    T: Serialize,
{
    match serde_json::to_vec(content) {
        Ok(text) => json_text(status, text),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Answer with a body that is JSON already.
pub(crate) fn json_text(status: StatusCode, content: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Answer with a plain text.
pub(crate) fn text<T>(status: StatusCode, content: T) -> Response<Body>
where
    T: Into<Bytes>,
{
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    response
}

/// Reads the whole body of a request.
pub(crate) async fn read(request: Request<Incoming>) -> Result<Bytes, Invalid> {
    let body = Limited::new(request.into_body(), BODY_LIMIT)
        .collect()
        .await;
    Ok(body.map_err(Invalid::Body)?.to_bytes())
}

/// Reads a JSON body; an empty body gives the default value.
pub(crate) fn parse<T>(body: &[u8]) -> Result<T, Invalid>
where
    T: DeserializeOwned + Default,
{
    if body.is_empty() {
        return Ok(T::default());
    }
    Ok(serde_json::from_slice(body)?)
}
