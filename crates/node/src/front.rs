use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rocket::config::{Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use rocket::{Build, Config, Rocket, Shutdown};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::Relay;

/// Longest time that the HTTP server itself waits for open answers after [`Front::close`], in
/// seconds. The life cycle of the node sets the real limit.
const GRACE_S: u32 = 3600;

/// Largest JSON body of a request, in KiB. An announcement takes a few hundred bytes.
const JSON_LIMIT_KIB: u64 = 16;

/// Reason why an HTTP port was not opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The HTTP server did not start.
    #[error("HTTP server: {0}")]
    Server(String),
    /// The HTTP server ended before it listened.
    #[error("HTTP server ended before it listened")]
    Ended,
}

/// An HTTP port: a relay on the public address and an HTTP server behind it.
pub struct Front {
    relay: Arc<Relay>,
    shutdown: Shutdown,
}

impl Front {
    /// Serves `rocket` behind `listener` with at most `connections` open connections.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the HTTP server does not start.
    pub async fn start(
        listener: TcpListener,
        relay: Arc<Relay>,
        rocket: Rocket<Build>,
        connections: usize,
    ) -> Result<Self, Error> {
        let (listening, port) = oneshot::channel();
        let liftoff = AdHoc::on_liftoff("port", |rocket| {
            // The receiver waits below until the port is sent or the server has failed.
            let _ = listening.send(rocket.config().port);
            Box::pin(async {})
        });
        let rocket = rocket
            .attach(liftoff)
            .attach(mark_busy(&relay))
            .attach(end_connections(&relay));
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
        tokio::spawn(Arc::clone(&relay).accept(listener, server, connections));
        Ok(Self { relay, shutdown })
    }

    /// Lets connections end after the answer that they carry, while new ones are still served.
    pub fn drain(&self) {
        self.relay.drain();
    }

    /// Ends each connection after the answer that it carries, and waits for the last one.
    pub async fn close(self) {
        self.relay.stop();
        self.shutdown.notify();
        self.relay.wait_empty().await;
    }
}

/// Keeps the connection of a request from idling until its answer is delivered.
fn mark_busy(relay: &Arc<Relay>) -> AdHoc {
    let relay = Arc::clone(relay);
    AdHoc::on_request("busy", move |request, _| {
        let link = request.remote().and_then(|peer| relay.link(peer));
        // The request lives until its answer has been written.
        request.local_cache(|| link.map(|link| link.begin()));
        Box::pin(async {})
    })
}

/// Asks callers to leave their connections once a planned stop has begun.
fn end_connections(relay: &Arc<Relay>) -> AdHoc {
    let relay = Arc::clone(relay);
    AdHoc::on_response("connections", move |_, response| {
        if relay.is_draining() {
            response.set_raw_header("connection", "close");
        }
        Box::pin(async {})
    })
}

/// HTTP server without routes, with the settings that both ports share.
///
/// It adds no headers of its own to answers, handles no signals and reads no settings from files
/// or the environment.
#[must_use]
pub fn server() -> Rocket<Build> {
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
            grace: GRACE_S,
            mercy: 1,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config).attach(Shield::new())
}
