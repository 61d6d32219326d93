use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use member::Record;
use schema::control::{self, Busy, Welcome, message::Kind};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::{Deadline, id};

use crate::dial::{DialResult, dial};
use crate::gossip::Origin;
use crate::link::{EndReason, Link};
use crate::membership_sync::MembershipSync;
use crate::shared::{RegionState, Shared};
use crate::{lease, placement};

/// Time between two searches for regions without a link.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads of all readers from the store. The reads never stop, because only the
/// store knows a region that started later, and only it can reunite two separate groups of linked
/// regions.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(4);

/// Keeps links to the roots of all other regions while this node is the root of its own. Of two
/// regions the one with the lower name dials.
pub(crate) async fn run(shared: Shared) {
    let mut readers = BTreeMap::new();
    let mut next_read = Instant::now();
    let mut links = JoinSet::new();
    loop {
        sleep(SEARCH_INTERVAL.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        while links.try_join_next().is_some() {}
        if !shared.is_root() {
            continue;
        }
        if Instant::now() >= next_read {
            next_read = Instant::now() + STORE_READ_INTERVAL;
            let deadline = Deadline::after(shared.config.store_timeout);
            readers = lease::readers(&shared, deadline).await.unwrap_or_default();
        }
        for (region, peers) in unlinked_regions(&shared, &readers) {
            links.spawn(open(shared.clone(), region, peers));
        }
    }
}

/// Regions that this node must dial, with the addresses to try.
fn unlinked_regions(
    shared: &Shared,
    readers: &BTreeMap<id::Region, SocketAddr>,
) -> Vec<(id::Region, Vec<SocketAddr>)> {
    let own = &shared.local.region;
    let table = shared.table();
    let linked = shared.regions();
    let mut regions = table.regions();
    regions.extend(readers.keys().cloned());
    let regions = regions
        .into_iter()
        .filter(|region| region > own && !linked.contains_key(region));
    let peers = regions.map(|region| {
        let mut nodes: Vec<_> = table.roots(&region).map(|root| root.id.clone()).collect();
        nodes.extend(member::find_reader_candidates(&table, &region));
        let mut peers = placement::addresses(&table, &nodes);
        peers.extend(readers.get(&region));
        (region, peers)
    });
    peers.collect()
}

/// Opens a link to the root of a region and serves it until it ends.
async fn open(shared: Shared, region: id::Region, peers: Vec<SocketAddr>) {
    for peer in peers {
        if let DialResult::Open(link, welcome) = dial(&shared, peer, control::Link::Region).await {
            let record = welcome
                .record
                .as_ref()
                .and_then(|r| Record::try_from(r).ok());
            match record {
                Some(root) if root.region == region => {
                    return serve(&shared, *link, root, true).await;
                }
                _ => {}
            }
        }
    }
}

/// Serves a link that the root of another region has opened. Refuses it when this node is not a
/// root or the peer is of the same region.
pub(crate) async fn accept(shared: Shared, link: Link, root: Record) {
    if !shared.is_root() || root.region == shared.local.region {
        let roots: Vec<_> = {
            let table = shared.table();
            let roots = table.roots(&shared.local.region);
            roots.map(|root| root.address.to_string()).collect()
        };
        let busy = Busy {
            reason: "not the root of its region".to_owned(),
            alternatives: roots,
        };
        if link.send(Kind::Busy(busy)).await.is_ok() {
            link.close().await;
        }
        return;
    }
    let welcome = Welcome {
        record: shared.own_record().map(|me| me.to_message(0)),
        version: shared.version().get(),
        table: shared.table().digest(),
        known: true,
    };
    if link.send(Kind::Welcome(welcome)).await.is_ok() {
        serve(&shared, link, root, false).await;
    }
}

/// Serves the link to `root` until it ends and keeps it as the link to that region.
async fn serve(shared: &Shared, mut link: Link, root: Record, dialled: bool) {
    let link_id = shared.next_link_id();
    let region = root.region.clone();
    let state = RegionState {
        link_id,
        summaries: Vec::new(),
    };
    shared.regions().insert(region.clone(), state);
    log::info!(
        node = shared.local.id.as_str(), region = region.as_str(), peer = root.id.as_str(),
        reason = "both nodes are roots"; "region link opened"
    );
    shared.merge(root, 0, Origin::Region(link_id));
    let result = serve_messages(shared, &mut link, &region, (link_id, dialled)).await;
    let mut regions = shared.regions();
    if regions
        .get(&region)
        .is_some_and(|state| state.link_id == link_id)
    {
        regions.remove(&region);
    }
    drop(regions);
    log::info!(
        node = shared.local.id.as_str(), region = region.as_str(),
        reason:% = result.err().unwrap_or(EndReason::Closed); "region link closed"
    );
}

async fn serve_messages(
    shared: &Shared,
    link: &mut Link,
    region: &id::Region,
    (link_id, dialled): (u64, bool),
) -> Result<(), EndReason> {
    let mut sync = MembershipSync::new(shared, Origin::Region(link_id), dialled);
    let mut summaries = Vec::new();
    let mut heartbeats = interval(shared.config.heartbeat_interval);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    if dialled {
        sync.start_comparison(link).await?;
    }
    loop {
        tokio::select! {
            kind = link.recv() => match kind? {
                Kind::Heartbeat(heartbeat) => {
                    if !heartbeat.summaries.is_empty()
                        && let Some(state) = shared.regions().get_mut(region)
                    {
                        state.summaries = heartbeat.summaries;
                    }
                    sync.compare(link, heartbeat.table).await?;
                }
                Kind::Records(gossip) => sync.merge(link, &gossip).await?,
                Kind::Buckets(buckets) => sync.answer(link, &buckets).await?,
                Kind::Bye(_) => return Err(EndReason::EndedByPeer),
                _ => return Err(EndReason::UnexpectedMessage),
            },
            _ = heartbeats.tick() => {
                check_link(shared, region, link_id)?;
                link.send(Kind::Heartbeat(shared.heartbeat(&mut summaries))).await?;
            }
            gossip = sync.next_message() => link.send(Kind::Records(gossip?)).await?,
            () = shared.wait_closing() => return Err(EndReason::Stopping),
        }
    }
}

/// Fails when a newer link serves the region or this node is no longer the root.
fn check_link(shared: &Shared, region: &id::Region, link_id: u64) -> Result<(), EndReason> {
    let current = shared.regions().get(region).map(|state| state.link_id);
    if current != Some(link_id) {
        Err(EndReason::Replaced)
    } else if shared.is_root() {
        Ok(())
    } else {
        Err(EndReason::InvalidPosition)
    }
}
