use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use member::Record;
use schema::control::{self, Held, Resync, Welcome, message::Kind};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::{Version, id};

use crate::admission::Role;
use crate::condition::wait_for;
use crate::dial::{Backoff, DialResult, dial, elapsed_ms};
use crate::gossip::Origin;
use crate::link::{EndReason, Link};
use crate::membership_sync::MembershipSync;
use crate::placement;
use crate::shared::{Attachment, Shared};
use crate::transfer::{Assembler, Progress};

/// Maximum number of peers that are asked in one attempt to attach.
const MAX_PEERS_PER_ATTEMPT: usize = 12;

/// Number of heartbeats between two checks that the parent is still one of the candidates.
const POSITION_CHECK_HEARTBEATS: u32 = 10;

/// Number of heartbeats between two checks of the level of the parent. These are rarer, because the
/// level above may stay full.
const LEVEL_CHECK_HEARTBEATS: u32 = 60;

/// Keeps this node attached to a parent unless it is the reader.
pub(crate) async fn run(shared: Shared) {
    let mut backoff = Backoff::default();
    let mut excluded = None;
    loop {
        wait_not_reader(&shared).await;
        wait_for_attempt(&shared, backoff.next_delay(rand::random())).await;
        let Some((link, parent, welcome)) = attach(&shared, excluded.take()).await else {
            continue;
        };
        backoff.reset();
        let since = Instant::now();
        let reason = serve(&shared, link, &parent, &welcome).await;
        shared
            .attachment
            .send_replace(Attachment::Detached(Instant::now()));
        log::warn!(
            node = shared.local.id.as_str(), parent = parent.as_str(), reason:% = reason,
            version = shared.version().get(), after_ms = elapsed_ms(since); "parent lost"
        );
        if reason == EndReason::Stopping {
            return;
        }
        let faulty = matches!(
            reason,
            EndReason::ParentLagging | EndReason::DamagedSnapshot | EndReason::Silent
        );
        excluded = faulty.then_some(parent);
    }
}

/// Waits before the next attempt to attach. The wait ends early when the store names a new reader:
/// the nodes read its address at different times, so they do not all dial it at once.
async fn wait_for_attempt(shared: &Shared, delay: Duration) {
    let mut reader = shared.reader_address.subscribe();
    tokio::select! {
        () = sleep(delay) => {}
        Ok(()) = reader.changed() => {}
    }
}

async fn wait_not_reader(shared: &Shared) {
    wait_for(&shared.role, |role| !matches!(role, Role::Reader(_))).await;
}

/// Asks peers in turn until one accepts this node as its child. `excluded` is a parent that was
/// faulty.
async fn attach(
    shared: &Shared,
    excluded: Option<id::Node>,
) -> Option<(Box<Link>, id::Node, Welcome)> {
    let mut peers = candidate_peers(shared, excluded.as_ref());
    let mut asked = BTreeSet::from([shared.local.address]);
    while let Some(peer) = peers.pop_front() {
        if asked.len() > MAX_PEERS_PER_ATTEMPT || !asked.insert(peer) {
            continue;
        }
        match dial(shared, peer, control::Link::Parent).await {
            DialResult::Open(link, welcome) => {
                shared.peer_answered_at.send_replace(Some(Instant::now()));
                let id = welcome
                    .record
                    .as_ref()
                    .and_then(|record| record.id.parse().ok());
                return id.map(|id| (link, id, welcome));
            }
            DialResult::Busy(reason, alternatives) => {
                shared.peer_answered_at.send_replace(Some(Instant::now()));
                log::debug!(
                    node = shared.local.id.as_str(), peer:%, reason = reason.as_str();
                    "peer refused to be the parent"
                );
                peers.extend(alternatives);
            }
            DialResult::Failed => {
                log::debug!(node = shared.local.id.as_str(), peer:%; "peer not reachable");
            }
        }
    }
    None
}

/// Addresses to ask in order of preference; the reader that the store names and the seeds come
/// last.
fn candidate_peers(shared: &Shared, excluded: Option<&id::Node>) -> VecDeque<SocketAddr> {
    let table = shared.table();
    let known = table
        .get(&shared.local.id)
        .map(|me| placement::parent_candidates(&table, me, shared.config.fanout, excluded));
    let mut peers: VecDeque<_> = known.unwrap_or_default().into();
    peers.extend(*shared.reader_address.borrow());
    peers.extend(&shared.config.seeds);
    peers
}

/// Serves the link to the parent until it ends.
async fn serve(
    shared: &Shared,
    link: Box<Link>,
    parent: &id::Node,
    welcome: &Welcome,
) -> EndReason {
    if matches!(shared.role(), Role::Reader(_)) {
        return EndReason::BecameReader;
    }
    record_parent(shared, parent, welcome);
    let mut parent_link = ParentLink {
        shared: shared.clone(),
        parent: parent.clone(),
        sync: MembershipSync::new(shared, Origin::Tree(shared.next_link_id()), true),
        link: *link,
        assembler: Assembler::default(),
        pending_ticket: None,
        summaries: Vec::new(),
        heartbeats_sent: 0,
    };
    let reason = match parent_link.serve(welcome).await {
        Ok(()) => EndReason::Closed,
        Err(reason) => reason,
    };
    if !matches!(
        reason,
        EndReason::Closed | EndReason::Silent | EndReason::EndedByPeer
    ) && parent_link
        .link
        .send(Kind::Bye(control::Bye {}))
        .await
        .is_ok()
    {
        parent_link.link.close().await;
    }
    reason
}

/// Records the new parent.
fn record_parent(shared: &Shared, parent: &id::Node, welcome: &Welcome) {
    if let Some(record) = &welcome.record
        && let Ok(record) = Record::try_from(record)
    {
        shared.merge(record, 0, Origin::Local);
    }
    // Later parents know this process already, so only the first answer tells about earlier
    // processes.
    shared.known_before_start.get_or_init(|| welcome.known);
    let attached = Attachment::Attached(parent.clone());
    shared.attachment.send_replace(attached);
    // This must follow the attachment, which the reader task checks after it begins to act as root.
    shared.stop_acting_as_root();
    shared.update_own_record(|record| record.parent = Some(parent.clone()));
    log::info!(
        node = shared.local.id.as_str(), parent = parent.as_str(),
        version = shared.version().get(), reason = "accepted"; "attached to parent"
    );
}

/// Child's end of the link to its parent.
struct ParentLink {
    shared: Shared,
    parent: id::Node,
    link: Link,
    sync: MembershipSync,
    assembler: Assembler,
    /// Ticket of the fresh read that the parent has not answered yet.
    pending_ticket: Option<u64>,
    /// Summaries that were sent last.
    summaries: Vec<control::DomainSummary>,
    heartbeats_sent: u32,
}

impl ParentLink {
    async fn serve(&mut self, welcome: &Welcome) -> Result<(), EndReason> {
        let shared = self.shared.clone();
        let mut bundles = shared.bundles.subscribe();
        let mut lagging = shared.parent_lagging.subscribe();
        let mut heartbeats = interval(shared.config.heartbeat_interval);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // A table of two records holds only this node and its parent.
        let has_new_table = shared.table().len() <= 2;
        if has_new_table && welcome.table != shared.table().digest() {
            self.sync.start_comparison(&self.link).await?;
        }
        loop {
            tokio::select! {
                kind = self.link.recv() => self.handle(kind?).await?,
                _ = heartbeats.tick() => self.send_heartbeat().await?,
                Ok(()) = bundles.changed() => self.report_held().await?,
                gossip = self.sync.next_message() => self.link.send(Kind::Records(gossip?)).await?,
                () = shared.fresh_reads.wait_pending(), if self.pending_ticket.is_none() => {
                    self.request_floor().await?;
                }
                Ok(true) = async { lagging.changed().await.map(|()| *lagging.borrow()) } => {
                    return Err(EndReason::ParentLagging);
                }
                _ = wait_for(&shared.role, |role| matches!(role, Role::Reader(_))) => {
                    return Err(EndReason::BecameReader);
                }
                () = shared.wait_closing() => return Err(EndReason::Stopping),
            }
        }
    }

    async fn handle(&mut self, kind: Kind) -> Result<(), EndReason> {
        match kind {
            Kind::Update(update) => self.apply_update(update).await,
            Kind::Records(gossip) => self.sync.merge(&self.link, &gossip).await,
            Kind::Buckets(buckets) => self.sync.answer(&self.link, &buckets).await,
            Kind::Heartbeat(heartbeat) => self.sync.compare(&self.link, heartbeat.table).await,
            Kind::FloorReply(reply) => {
                if let Some(ticket) = self.pending_ticket.take() {
                    self.shared
                        .fresh_reads
                        .complete(ticket, Version::new(reply.version));
                }
                Ok(())
            }
            Kind::Bye(_) => Err(EndReason::EndedByPeer),
            _ => Err(EndReason::UnexpectedMessage),
        }
    }

    async fn apply_update(&mut self, update: control::Update) -> Result<(), EndReason> {
        if !self.shared.distributes_versions() {
            return Ok(());
        }
        let held = self.shared.bundle();
        let is_snapshot = Version::new(update.from) == Version::NONE;
        match self.assembler.add(&held, update) {
            Progress::Partial | Progress::Ignored => Ok(()),
            Progress::Complete(bundle) => {
                self.shared.install(*bundle, self.parent.as_str());
                Ok(())
            }
            Progress::Failed(reason) => {
                log::warn!(
                    node = self.shared.local.id.as_str(), parent = self.parent.as_str(),
                    version = held.version.get(), reason = reason.as_str();
                    "invalid version transfer discarded"
                );
                if is_snapshot {
                    return Err(EndReason::DamagedSnapshot);
                }
                self.link.send(Kind::Resync(Resync { reason })).await
            }
        }
    }

    async fn send_heartbeat(&mut self) -> Result<(), EndReason> {
        let heartbeat = self.shared.heartbeat(&mut self.summaries);
        self.link.send(Kind::Heartbeat(heartbeat)).await?;
        self.heartbeats_sent += 1;
        if self
            .heartbeats_sent
            .is_multiple_of(POSITION_CHECK_HEARTBEATS)
            && !self.is_position_valid()
        {
            return Err(EndReason::InvalidPosition);
        }
        Ok(())
    }

    /// Whether the tree order still allows the parent. The level is checked only every
    /// [`LEVEL_CHECK_HEARTBEATS`].
    fn is_position_valid(&self) -> bool {
        let table = self.shared.table();
        let me = table.get(&self.shared.local.id);
        let fanout = self.shared.config.fanout;
        me.is_none_or(|me| {
            placement::is_candidate_parent(&table, me, &self.parent, fanout)
                && (!self.heartbeats_sent.is_multiple_of(LEVEL_CHECK_HEARTBEATS)
                    || placement::is_parent_above(&table, me, &self.parent, fanout))
        })
    }

    async fn report_held(&mut self) -> Result<(), EndReason> {
        let held = held_message(&self.shared);
        self.link.send(Kind::Held(held)).await
    }

    async fn request_floor(&mut self) -> Result<(), EndReason> {
        self.pending_ticket = Some(self.shared.fresh_reads.latest_ticket());
        let request = control::FloorRequest {
            id: self.shared.local.id.to_string(),
            address: self.shared.local.address.to_string(),
            fresh: true,
        };
        self.link.send(Kind::FloorRequest(request)).await
    }
}

/// Message that reports the held version.
pub(crate) fn held_message(shared: &Shared) -> Held {
    Held {
        id: shared.local.id.to_string(),
        address: shared.local.address.to_string(),
        version: shared.version().get(),
    }
}
