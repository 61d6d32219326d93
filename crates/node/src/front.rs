use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rocket::config::{Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::shield::Shield;
use rocket::{Build, Config, Rocket, Shutdown};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::Relay;

/// Longest time that the HTTP server itself waits for open answers after [`Frontend::close`]. The
/// effective limit is that of the shutdown in [`daemon`](crate::daemon).
const SHUTDOWN_GRACE_SECONDS: u32 = 3600;

/// Largest JSON body of a request. An announcement has a few hundred bytes.
const JSON_LIMIT_KIB: u64 = 16;

/// Reason why an HTTP port did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The HTTP server did not start.
    #[error("HTTP server: {0}")]
    Server(String),
    /// The HTTP server ended before it was listening.
    #[error("HTTP server ended before it was listening")]
    Ended,
}

/// HTTP port: a relay on the public address and an HTTP server behind it.
pub struct Frontend {
    relay: Arc<Relay>,
    shutdown: Shutdown,
}

impl Frontend {
    /// Serves `rocket` behind `listener` with at most `max_connections` open connections.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the HTTP server does not start.
    pub async fn start(
        listener: TcpListener,
        relay: Arc<Relay>,
        rocket: Rocket<Build>,
        max_connections: usize,
    ) -> Result<Self, Error> {
        let (port_sender, port) = oneshot::channel();
        let report_port = AdHoc::on_liftoff("port", |rocket| {
            // The receiver below waits until the port is sent or the server fails.
            let _ = port_sender.send(rocket.config().port);
            Box::pin(async {})
        });
        let rocket = rocket
            .attach(report_port)
            .attach(track_requests(&relay))
            .attach(close_while_draining(&relay))
            .attach(close_after_refused_body());
        let rocket = rocket.ignite().await;
        let rocket = rocket.map_err(|error| Error::Server(error.to_string()))?;
        let shutdown = rocket.shutdown();
        tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                log::error!(reason:% = error; "HTTP server ended");
            }
        });
        let port = port.await.map_err(|_| Error::Ended)?;
        let server = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        tokio::spawn(Arc::clone(&relay).accept(listener, server, max_connections));
        Ok(Self { relay, shutdown })
    }

    /// Starts draining: connections close after their current answer; new ones are still accepted.
    pub fn drain(&self) {
        self.relay.drain();
    }

    /// Stops accepting connections, lets open ones finish their answers and waits until all are
    /// closed.
    pub async fn close(self) {
        self.relay.stop();
        self.shutdown.notify();
        self.relay.wait_empty().await;
    }
}

/// Marks each request as active on its connection until its answer is delivered.
fn track_requests(relay: &Arc<Relay>) -> AdHoc {
    let relay = Arc::clone(relay);
    AdHoc::on_request("busy", move |request, _| {
        let connection = request
            .remote()
            .and_then(|peer| relay.find_connection(peer));
        // The request, and the guard in its cache, live until the answer has been written.
        request.local_cache(|| connection.map(|connection| connection.begin_request()));
        Box::pin(async {})
    })
}

/// Asks callers to close their connections while the relay is draining.
fn close_while_draining(relay: &Arc<Relay>) -> AdHoc {
    let relay = Arc::clone(relay);
    AdHoc::on_response("connections", move |_, response| {
        if relay.is_draining() {
            response.set_raw_header("connection", "close");
        }
        Box::pin(async {})
    })
}

/// Asks clients not to reuse a connection on which a body was refused. The server closes it, because
/// it has not read the rest of the body.
fn close_after_refused_body() -> AdHoc {
    AdHoc::on_response("refused bodies", |_, response| {
        if response.status() == Status::PayloadTooLarge {
            response.set_raw_header("connection", "close");
        }
        Box::pin(async {})
    })
}

/// Builds an HTTP server without routes, with the configuration that both ports share.
///
/// It adds no headers of its own to answers, handles no signals and reads no configuration from
/// files or the environment.
#[must_use]
pub fn build_base_server() -> Rocket<Build> {
    let config = Config {
        address: Ipv4Addr::LOCALHOST.into(),
        port: 0,
        ident: Ident::none(),
        ip_header: None,
        limits: Limits::new().limit("json", JSON_LIMIT_KIB.kibibytes()),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: SHUTDOWN_GRACE_SECONDS,
            mercy: 1,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config).attach(Shield::new())
}
