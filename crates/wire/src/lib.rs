//! Connections between nodes, made of HTTP/2 streams of length-prefixed frames.
//!
//! [`Connection`] connects to a peer and opens streams. [`Listener`] accepts connections, and
//! [`serve`] runs the accepting side of one. Both sides get a [`Stream`], which sends and receives
//! messages of the `schema` crate and plain data. A stream ends cleanly only when its sender calls
//! [`Sender::finish`]; every other end is an [`Error`].
//!
//! While streams are open, the peer is pinged every [`PING_INTERVAL`]. When no bytes arrive within
//! [`PING_TIMEOUT`] of a ping, the connection is closed and all its streams fail.
//! [`Connection::ensure_alive`] pings the peer of a connection that has been idle.
//!
//! ```no_run
//! # async fn example() -> Result<(), wire::Error> {
//! use schema::control::Message;
//! use types::Deadline;
//!
//! let peer = "127.0.0.1:8081".parse().expect("valid address");
//! let connection = wire::Connection::connect(peer, Deadline::after_ms(1000)).await?;
//! let mut stream = connection.open(wire::Kind::Control).await?;
//! stream.sender.send(&Message::default()).await?;
//! let reply: Option<wire::Received<Message>> = stream.receiver.recv().await?;
//! # Ok(())
//! # }
//! ```

mod connection;
mod error;
mod frame;
mod kind;
mod listener;
mod liveness;
mod receiver;
mod sender;
mod server;
mod socket;

pub use connection::Connection;
pub use error::Error;
pub use frame::{Frame, Received};
pub use kind::Kind;
pub use listener::Listener;
pub use liveness::{PING_INTERVAL, PING_TIMEOUT};
pub use receiver::Receiver;
pub use sender::Sender;
pub use server::{serve, serve_until};

/// Version of the protocol between nodes.
///
/// `bincode` is not self-describing, so peers with different versions refuse each other's streams.
pub const PROTOCOL_VERSION: u32 = 1;

/// Header that carries [`PROTOCOL_VERSION`].
const PROTOCOL_HEADER: &str = "dandelionseam-protocol";

/// Receive window of a stream, which is the most memory that one stalled reader can hold.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Receive window of a connection.
///
/// It covers 256 streams with stalled readers, which is more than a target has slots, so that slow
/// readers do not block the other streams.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Maximum size of a header list. Streams carry their data in frames, not in headers.
const MAX_HEADER_LIST_BYTES: u32 = 8 * 1024;

/// Both directions of a stream.
pub struct Stream {
    /// Sending direction, to the peer.
    pub sender: Sender,
    /// Receiving direction, from the peer.
    pub receiver: Receiver,
}
