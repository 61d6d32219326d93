//! The version floor: the lowest version that a node may serve after its start.
//!
//! A node must not serve a version below one that its address has served before. The floor comes
//! from a read of the store that began after the start, or, without an answer of the store, from
//! the witnesses: the peers to which an earlier process at the address reported its version.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use member::Record;
use schema::control::{self, FloorReply, FloorRequest, Welcome, message::Kind};
use tokio::time::{sleep, timeout};
use types::Version;

use crate::condition::wait_for;
use crate::dial::{DialResult, dial};
use crate::link::Link;
use crate::placement;
use crate::shared::{Attachment, Shared};

/// Time that a node waits for an answer from the store before it queries the witnesses, and time
/// between two rounds of queries.
const WITNESS_QUERY_INTERVAL: Duration = Duration::from_secs(3);

/// Time limit for the answer of one witness.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of one witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Highest version that the address has reported to the witness or that the witness itself
    /// holds.
    pub version: Version,
    /// Whether the address has reported a version to the witness.
    pub remembered: bool,
}

/// Decides the version floor from the answers of the witnesses; `None` when they do not suffice.
///
/// `asked` is the number of witnesses. `known` says whether the mesh may have known the node before
/// it started. Of 4 witnesses 3 must have answered, of fewer all. If the node was known but no
/// witness has a report of its address, the witnesses that had one are lost and the floor stays
/// unknown.
#[must_use]
pub fn decide_floor(asked: usize, answers: &[Answer], known: bool) -> Option<Version> {
    let needed = if asked >= member::WITNESS_COUNT {
        member::WITNESS_COUNT - 1
    } else {
        asked
    };
    let remembered = answers.iter().any(|answer| answer.remembered);
    if asked == 0 || answers.len() < needed || (known && !remembered) {
        return None;
    }
    answers.iter().map(|answer| answer.version).max()
}

/// Determines the floor, then waits until the held version has reached it and sets the node ready.
pub(crate) async fn run(shared: Shared) {
    let (floor, reason) = tokio::select! {
        version = shared.fresh_reads.wait_completed(shared.fresh_reads.request()) => {
            (version, "store")
        }
        version = query_witnesses(&shared) => (version, "witnesses"),
    };
    shared.floor.send_replace(Some(floor));
    log::info!(
        node = shared.local.id.as_str(), version = floor.get(), reason = reason;
        "version floor known"
    );
    wait_for(&shared.bundles, |bundle| bundle.version >= floor).await;
    shared.ready.send_replace(true);
    shared.refresh_state();
    log::info!(
        node = shared.local.id.as_str(), version = shared.version().get(),
        reason = "version floor reached"; "ready"
    );
}

/// Queries the witnesses repeatedly until their answers suffice.
async fn query_witnesses(shared: &Shared) -> Version {
    loop {
        sleep(WITNESS_QUERY_INTERVAL).await;
        let witnesses = witnesses(shared);
        let queries = witnesses
            .iter()
            .map(|witness| query_witness(shared, *witness));
        let answers: Vec<_> = join_all(queries).await.into_iter().flatten().collect();
        let known = shared.known_before_start.get().copied().unwrap_or(true);
        if let Some(floor) = decide_floor(witnesses.len(), &answers, known) {
            return floor;
        }
        log::info!(
            node = shared.local.id.as_str(), asked = witnesses.len(), answers = answers.len(),
            reason = "witness answers do not suffice"; "version floor still unknown"
        );
    }
}

/// Addresses of the witnesses. Empty until the node has a parent or is a root, because until then
/// its table may lack some of them.
fn witnesses(shared: &Shared) -> Vec<SocketAddr> {
    let attached = matches!(*shared.attachment.borrow(), Attachment::Attached(_));
    if !attached && !shared.is_root() {
        return Vec::new();
    }
    let table = shared.table();
    let Some(me) = table.get(&shared.local.id) else {
        return Vec::new();
    };
    let nodes = member::find_witnesses(&table, me, shared.config.fanout);
    placement::addresses(&table, &nodes)
}

async fn query_witness(shared: &Shared, witness: SocketAddr) -> Option<Answer> {
    let answer = async {
        let DialResult::Open(mut link, _) = dial(shared, witness, control::Link::Query).await
        else {
            return None;
        };
        let request = FloorRequest {
            id: shared.local.id.to_string(),
            address: shared.local.address.to_string(),
            fresh: false,
        };
        link.send(Kind::FloorRequest(request)).await.ok()?;
        match link.recv().await.ok()? {
            Kind::FloorReply(reply) if reply.ready => Some(Answer {
                version: Version::new(reply.version),
                remembered: reply.remembered,
            }),
            _ => None,
        }
    };
    timeout(ANSWER_TIMEOUT, answer).await.ok().flatten()
}

/// Serves a link on which a node queries this witness for the version that its address has
/// reported.
pub(crate) async fn serve_query(shared: Shared, mut link: Link, peer: Record) {
    let welcome = Welcome {
        record: shared.own_record().map(|me| me.to_message(0)),
        version: shared.version().get(),
        ..Welcome::default()
    };
    if link.send(Kind::Welcome(welcome)).await.is_err() {
        return;
    }
    let Ok(Kind::FloorRequest(_)) = link.recv().await else {
        return;
    };
    let reported = shared.reported_versions().version(&peer.address);
    let reply = FloorReply {
        version: shared.version().max(reported.unwrap_or_default()).get(),
        fresh: false,
        remembered: reported.is_some(),
        ready: *shared.ready.borrow(),
    };
    if link.send(Kind::FloorReply(reply)).await.is_ok() {
        link.close().await;
    }
}
