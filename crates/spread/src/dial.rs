use std::net::SocketAddr;
use std::time::Duration;

use member::Record;
use schema::control::{self, Hello, Welcome, message::Kind};
use tokio::time::Instant;
use types::Deadline;
use wire::{Connection, PROTOCOL_VERSION};

use crate::link::Link;
use crate::shared::Shared;

/// Time limit for a dial, from connecting until the answer of the peer.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an attempt to open a link.
pub(crate) enum DialResult {
    /// The peer accepted. The record in its message may be absent or invalid.
    Open(Box<Link>, Welcome),
    /// The peer refused for a reason and named other addresses.
    Busy(String, Vec<SocketAddr>),
    /// The peer could not be reached or did not answer as the protocol demands.
    Failed,
}

/// Opens a link to a peer and waits for its answer.
pub(crate) async fn dial(shared: &Shared, peer: SocketAddr, kind: control::Link) -> DialResult {
    match tokio::time::timeout(DIAL_TIMEOUT, handshake(shared, peer, kind)).await {
        Ok(Some(result)) => result,
        Ok(None) | Err(_) => DialResult::Failed,
    }
}

async fn handshake(shared: &Shared, peer: SocketAddr, kind: control::Link) -> Option<DialResult> {
    let mut link = connect(shared, peer).await?;
    link.send(Kind::Hello(hello(shared, kind)?)).await.ok()?;
    match link.recv().await.ok()? {
        Kind::Welcome(welcome) => {
            if let Some(record) = welcome
                .record
                .as_ref()
                .and_then(|r| Record::try_from(r).ok())
            {
                link.set_peer_location(&record.region, &record.domain);
            }
            Some(DialResult::Open(Box::new(link), welcome))
        }
        Kind::Busy(busy) => {
            let alternatives = busy.alternatives.iter();
            let alternatives = alternatives.filter_map(|address| address.parse().ok());
            Some(DialResult::Busy(busy.reason, alternatives.collect()))
        }
        _ => None,
    }
}

async fn connect(shared: &Shared, peer: SocketAddr) -> Option<Link> {
    let connection = Connection::connect(peer, Deadline::after(DIAL_TIMEOUT))
        .await
        .ok()?;
    let stream = connection.open(wire::Kind::Control).await.ok()?;
    let mut link = Link::new(shared, stream, Some(connection));
    let known = {
        let table = shared.table();
        let mut records = table.iter();
        records
            .find(|record| record.address == peer)
            .map(|record| (record.region.clone(), record.domain.clone()))
    };
    if let Some((region, domain)) = known {
        link.set_peer_location(&region, &domain);
    }
    Some(link)
}

fn hello(shared: &Shared, kind: control::Link) -> Option<Hello> {
    let me = match kind {
        control::Link::Parent => shared.hello_record()?,
        _ => shared.own_record()?,
    };
    let bundle = shared.bundle();
    Some(Hello {
        protocol: PROTOCOL_VERSION,
        link: kind as i32,
        record: Some(me.to_message(0)),
        version: bundle.version.get(),
        digest: bundle.digest.as_bytes().to_vec(),
        table: shared.table().digest(),
    })
}

/// Exponential backoff with full jitter: a delay of 0 to 1 s at first, doubling to 8 s, so that the
/// children of a lost parent do not all reconnect at once.
#[derive(Debug)]
pub struct Backoff {
    /// Maximum of the next delay.
    max_delay: Duration,
}

/// Maximum of the first delay.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum of all later delays.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

impl Default for Backoff {
    fn default() -> Self {
        Self {
            max_delay: INITIAL_BACKOFF,
        }
    }
}

impl Backoff {
    /// Next delay. `jitter` is a random number from 0 to 1.
    #[must_use]
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = self.max_delay.mul_f64(jitter.clamp(0.0, 1.0));
        self.max_delay = (self.max_delay * 2).min(MAX_BACKOFF);
        delay
    }

    /// Starts over from the first delay.
    pub fn reset(&mut self) {
        self.max_delay = INITIAL_BACKOFF;
    }
}

/// Milliseconds since an instant, for logs.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
