//! Stand-in for an upstream: an HTTP service with faults.

mod announce;
mod call;
mod log;
mod nested;
mod phase;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use schema::standin::{Behaviour, Log, Runs, UpstreamSettings};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::reply::{self, Body, Cut};
use crate::server::{Gate, Limits, Server};
use phase::Phase;
use state::State;

/// Running stand-in upstream. Dropping it stops it at once, as a crash does.
///
/// `GET /health`, `GET /log`, `GET /runs?key=..` and `POST /control` are served on both addresses;
/// every other path is a call of the service. The control address has no limit of connections.
pub struct Upstream {
    state: Arc<State>,
    server: Server,
    control: Server,
    announcer: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream on two addresses; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when an address cannot be listened on.
    pub async fn start(
        listen: SocketAddr,
        control: SocketAddr,
        settings: UpstreamSettings,
    ) -> io::Result<Self> {
        let client = reqwest::Client::builder().no_proxy().build();
        let state = Arc::new(State::new(settings, client.map_err(io::Error::other)?));
        let limits = Limits {
            connections: state.settings.connections as usize,
            accept_delay: Duration::from_micros(state.settings.connect_us.into()),
        };
        let shared = Arc::clone(&state);
        let server = Server::start(listen, limits, |gate| {
            move |_, request| answer(Arc::clone(&shared), Arc::clone(&gate), request)
        })
        .await?;
        let (shared, gate) = (Arc::clone(&state), Arc::clone(server.gate()));
        let control = Server::start(control, Limits::default(), |_| {
            move |_, request| answer(Arc::clone(&shared), Arc::clone(&gate), request)
        })
        .await?;
        let announce = !state.settings.admin_url.is_empty();
        let announcer =
            announce.then(|| tokio::spawn(announce::run(Arc::clone(&state), server.address())));
        Ok(Self {
            state,
            server,
            control,
            announcer,
        })
    }

    /// Starts an upstream on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when no port is free.
    pub async fn start_local(settings: UpstreamSettings) -> io::Result<Self> {
        Self::start(crate::LOOPBACK, crate::LOOPBACK, settings).await
    }

    /// Address of the service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL of the service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Address of the control endpoints.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Replaces the behaviour in force.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        set_behaviour(&self.state, self.server.gate(), behaviour);
    }

    /// Requests received, oldest first.
    #[must_use]
    pub fn log(&self) -> Log {
        self.state.log.message()
    }

    /// Times that the service ran for an idempotency key or request id.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        self.state.log.runs(key)
    }

    /// Announces the drain, refuses new calls and waits until none is left, at most until `limit`.
    /// Then tells the node that the upstream has left. Returns the number of calls that were left.
    pub async fn drain(&self, limit: Duration) -> u32 {
        self.state.begin_drain();
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.state.ended.notified();
            if self.state.in_use() == 0 || timeout_at(deadline, ended).await.is_err() {
                break;
            }
        }
        if let Some(announcer) = &self.announcer {
            announcer.abort();
            announce::withdraw(&self.state).await;
        }
        self.state.in_use()
    }

    /// Stops at once, without telling the node.
    pub async fn close(mut self) {
        self.server.stop().await;
        self.control.stop().await;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
    }
}

fn set_behaviour(state: &State, gate: &Gate, behaviour: Behaviour) {
    if behaviour.silence_connections {
        gate.silence();
    }
    gate.hang(behaviour.hang);
    state.set_behaviour(behaviour);
}

/// Answers a request of either port.
async fn answer(
    state: Arc<State>,
    gate: Arc<Gate>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => Ok(health(&state)),
        (&Method::GET, "/log") => Ok(reply::json(StatusCode::OK, &state.log.message())),
        (&Method::GET, "/runs") => Ok(runs(&state, request.uri().query())),
        (&Method::POST, "/control") => control(&state, &gate, request).await,
        _ => call::answer(state, request).await,
    }
}

fn health(state: &State) -> Response<Body> {
    let (phase, health) = state.health();
    let status = if phase == Phase::Ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply::json(status, &health)
}

fn runs(state: &State, query: Option<&str>) -> Response<Body> {
    let mut pairs = query.unwrap_or_default().split('&');
    let Some(key) = pairs.find_map(|pair| pair.strip_prefix("key=")) else {
        return reply::text(StatusCode::BAD_REQUEST, "use /runs?key=KEY");
    };
    let runs = state.log.runs(key);
    reply::json(StatusCode::OK, &Runs { runs })
}

async fn control(
    state: &State,
    gate: &Gate,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let body = reply::read(request).await.map_err(|_| Cut)?;
    Ok(match reply::parse(&body) {
        Ok(behaviour) => {
            set_behaviour(state, gate, behaviour);
            reply::text(StatusCode::OK, "")
        }
        Err(error) => reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    })
}
