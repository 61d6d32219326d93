use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, Request, Response, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::RequestBody;

/// Body of a request to an upstream.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Longest time for which an idle connection is kept; an upstream may state a shorter one. A
/// request on a connection that the upstream is closing may be lost.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Time before the end of the idle timeout stated by the upstream from which a connection is not
/// reused.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Size of the read buffer, which also limits the head of an answer. An upstream may send a head
/// without end.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Connection to an upstream, which carries one request at a time. Dropping it closes the socket.
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    driver: AbortHandle,
    /// Time until which another request may be sent.
    usable_until: Instant,
}

/// Reason why a connection returned no answer.
pub(crate) enum SendError {
    /// Nothing of the request was written.
    Unsent,
    /// The request was written, at least in part.
    Interrupted(hyper::Error),
}

impl Connection {
    /// Connects and spawns the task that drives the connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // `send` or the body of the answer reports the error.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            usable_until: Instant::now() + IDLE_LIMIT,
        })
    }

    /// Whether the connection may carry another request.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && now < self.usable_until
    }

    /// Sends a request and returns the answer once its head has arrived.
    pub(crate) async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::Unsent,
                None => SendError::Interrupted(error.into_error()),
            })
    }

    /// Waits until the connection may carry another request; returns false if it closes instead.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Updates the time for which the connection may stay idle from the `keep-alive` and
    /// `connection` headers of an answer.
    pub(crate) fn update_idle_limit(&mut self, headers: &HeaderMap) {
        let stated = headers.get("keep-alive").and_then(|value| {
            let parameters = value.to_str().ok()?.split(',');
            let mut seconds =
                parameters.filter_map(|text| text.trim().strip_prefix("timeout=")?.parse().ok());
            Some(Duration::from_secs(seconds.next()?))
        });
        let limit = stated.map_or(IDLE_LIMIT, |stated| {
            stated.saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT)
        });
        let closes = headers
            .get_all(header::CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        self.usable_until = Instant::now() + if closes { Duration::ZERO } else { limit };
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing the socket tells the upstream that the request is cancelled.
        self.driver.abort();
    }
}

/// Creates a body without content.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from a stream.
pub(crate) fn stream(body: RequestBody) -> Body {
    BodyExt::boxed_unsync(StreamBody::new(body.map(|chunk| chunk.map(Frame::data))))
}
