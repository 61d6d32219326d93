use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes as Buffer;
use h2::client::{Builder, SendRequest};
use http::Request;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout_at;
use types::Deadline;

use crate::liveness::Liveness;
use crate::socket::Socket;
use crate::{
    CONNECTION_WINDOW_BYTES, Error, Kind, MAX_HEADER_LIST_BYTES, PROTOCOL_HEADER, PROTOCOL_VERSION,
    Receiver, STREAM_WINDOW_BYTES, Sender, Stream,
};

/// Connection that this process opened to a peer.
///
/// A background task drives it and pings the peer. The task ends when the connection fails or is
/// closed, or when the last clone is dropped and all streams have ended.
#[derive(Clone)]
pub struct Connection {
    peer: SocketAddr,
    requests: SendRequest<Buffer>,
    closed: watch::Receiver<bool>,
    close_request: watch::Sender<bool>,
    liveness: Arc<Liveness>,
}

impl Connection {
    /// Connects to the peer port of a node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] or [`Error::ConnectDeadline`] when no connection was established
    /// by the deadline, and [`Error::Stream`] when the peer does not speak HTTP/2.
    pub async fn connect(peer: SocketAddr, deadline: Deadline) -> Result<Self, Error> {
        timeout_at(deadline.instant(), Self::establish(peer))
            .await
            .map_err(|_| Error::ConnectDeadline)?
    }

    async fn establish(peer: SocketAddr) -> Result<Self, Error> {
        let socket = TcpStream::connect(peer).await.map_err(Error::Connect)?;
        socket.set_nodelay(true).map_err(Error::Connect)?;
        let liveness = Arc::new(Liveness::new());
        let socket = Socket::new(socket, Arc::clone(&liveness));
        let (requests, mut connection) = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await?;
        let (closed_sender, closed) = watch::channel(false);
        let (close_request, mut close_requested) = watch::channel(false);
        let pings = connection.ping_pong();
        let pinger = Arc::clone(&liveness);
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = pinger.run_pings(pings) => {}
                () = wait_close_request(&mut close_requested) => {}
            }
            closed_sender.send_replace(true);
        });
        Ok(Self {
            peer,
            requests,
            closed,
            close_request,
            liveness,
        })
    }

    /// Address of the peer.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection has failed or was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the connection has failed or was closed.
    pub async fn wait_closed(&self) {
        // An error means that the background task is gone, so the connection is closed as well.
        let _ = self.closed.clone().wait_for(|closed| *closed).await;
    }

    /// Whether the peer has ever answered a ping.
    ///
    /// An established connection does not prove that the peer runs: an operating system or a proxy
    /// accepts connections for a process that is paused or gone.
    #[must_use]
    pub fn has_answered(&self) -> bool {
        self.liveness.has_answered()
    }

    /// Pings the peer and waits for the answer, unless it is known to have answered within
    /// [`PING_INTERVAL`](crate::PING_INTERVAL).
    ///
    /// An idle connection is pinged rarely, so it may have gone silent unnoticed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] when the connection is closed or the peer does not answer by the
    /// deadline.
    pub async fn ensure_alive(&self, deadline: Deadline) -> Result<(), Error> {
        if self.liveness.answered_recently() {
            return Ok(());
        }
        tokio::select! {
            answer = timeout_at(deadline.instant(), self.liveness.request_ping()) => {
                answer.map_err(|_| Error::Closed)
            }
            () = self.wait_closed() => Err(Error::Closed),
        }
    }

    /// Opens a stream. When this fails, nothing has reached the peer's application.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stream`] when the connection has failed, and [`Error::Closed`] when the
    /// request is not valid.
    pub async fn open(&self, kind: Kind) -> Result<Stream, Error> {
        let mut requests = self.requests.clone().ready().await?;
        let request = Request::post(format!("http://{}{}", self.peer, kind.path()))
            .header(PROTOCOL_HEADER, PROTOCOL_VERSION)
            .body(())
            .map_err(|_| Error::Closed)?;
        let (response, sender) = requests.send_request(request, false)?;
        Ok(Stream {
            sender: Sender::new(sender),
            receiver: Receiver::with_response(response, &self.liveness),
        })
    }

    /// Closes the connection. Its streams fail at once.
    pub fn close(self) {
        self.close_request.send_replace(true);
    }
}

/// Waits until [`Connection::close`] is called.
///
/// Never returns when all handles are dropped without it, so that open streams continue.
async fn wait_close_request(close_requested: &mut watch::Receiver<bool>) {
    if close_requested
        .wait_for(|requested| *requested)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
