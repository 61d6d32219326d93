use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes as Buffer;
use h2::RecvStream;
use h2::server::{Builder, SendResponse};
use http::{Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::liveness::Liveness;
use crate::socket::Socket;
use crate::{
    CONNECTION_WINDOW_BYTES, Error, Kind, MAX_HEADER_LIST_BYTES, PROTOCOL_HEADER, PROTOCOL_VERSION,
    Receiver, STREAM_WINDOW_BYTES, Sender, Stream,
};

/// Maximum time for the HTTP/2 handshake. It bounds the memory held for slow or silent clients.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 4096;

/// Serves the streams that the peer of an accepted connection opens, until the connection ends.
///
/// `handle` is called for each accepted stream, and its future runs in its own task.
///
/// # Errors
///
/// Returns [`Error::Connect`] when the socket has failed, [`Error::ConnectDeadline`] when the
/// handshake takes too long, [`Error::Stream`] when the peer does not speak HTTP/2 or the
/// connection fails, and [`Error::Closed`] when the peer no longer answers pings.
pub async fn serve<H, F>(socket: TcpStream, handle: H) -> Result<(), Error>
where
    H: Fn(Kind, Stream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    serve_until(socket, CancellationToken::new(), handle).await
}

/// Like [`serve`], until `shutdown` is cancelled. Then the peer is told to open no further streams,
/// those that are already in transit are still accepted, and the connection ends with the last of
/// them.
///
/// # Errors
///
/// Returns the errors of [`serve`].
pub async fn serve_until<H, F>(
    socket: TcpStream,
    shutdown: CancellationToken,
    handle: H,
) -> Result<(), Error>
where
    H: Fn(Kind, Stream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    socket.set_nodelay(true).map_err(Error::Connect)?;
    let liveness = Arc::new(Liveness::new());
    let socket = Socket::new(socket, Arc::clone(&liveness));
    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Buffer>(socket);
    let mut connection = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| Error::ConnectDeadline)??;
    let mut unresponsive = Box::pin(liveness.run_pings(connection.ping_pong()));
    let mut is_closing = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, response))) => {
                    if let Some((kind, stream)) = accept_stream(request, response, &liveness) {
                        tokio::spawn(handle(kind, stream));
                    }
                }
                Some(Err(error)) => return Err(error.into()),
                None => return Ok(()),
            },
            () = &mut unresponsive => return Err(Error::Closed),
            () = shutdown.cancelled(), if !is_closing => {
                connection.graceful_shutdown();
                is_closing = true;
            }
        }
    }
}

/// Responds to the request that opens a stream. Returns `None` when the stream is refused.
fn accept_stream(
    request: Request<RecvStream>,
    mut response: SendResponse<Buffer>,
    liveness: &Arc<Liveness>,
) -> Option<(Kind, Stream)> {
    let kind = Kind::from_path(request.uri().path());
    let protocol = request
        .headers()
        .get(PROTOCOL_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u32>().ok());
    let status = match (kind, protocol) {
        (_, Some(PROTOCOL_VERSION)) if kind.is_some() => StatusCode::OK,
        (_, Some(PROTOCOL_VERSION)) => StatusCode::NOT_FOUND,
        _ => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    };
    let head = Response::builder()
        .status(status)
        .header(PROTOCOL_HEADER, PROTOCOL_VERSION)
        .body(())
        .ok()?;
    let sender = response
        .send_response(head, status != StatusCode::OK)
        .ok()?;
    let kind = kind.filter(|_| status == StatusCode::OK)?;
    let stream = Stream {
        sender: Sender::new(sender),
        receiver: Receiver::new(request.into_body(), liveness),
    };
    Some((kind, stream))
}
