use std::sync::Arc;

use member::{Record, State};
use schema::control::{self, Busy, FloorReply, Hello, Welcome, message::Kind};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::{Digest, Version, id};

use crate::admission::{Refusal, is_valid_parent};
use crate::gossip::Origin;
use crate::history::Plan;
use crate::link::{EndReason, Link};
use crate::membership_sync::MembershipSync;
use crate::shared::{ChildState, Shared};
use crate::{placement, standby, transfer};

/// Serves the link of a child from its `Hello` until it ends, then waits for the child to attach
/// again.
pub(crate) async fn run(shared: Shared, mut link: Link, hello: Hello, child: Record) {
    let link_id = shared.next_link_id();
    let now = Instant::now();
    // A node that is not ready may have an incomplete table, so it assumes that the child is known.
    let known =
        !*shared.ready.borrow() || placement::has_earlier_incarnation(&shared.table(), &child);
    let permit = match admit(&shared, &child, &hello, link_id, now) {
        Ok(permit) => permit,
        Err(refusal) => return refuse(&shared, link, &child, refusal).await,
    };
    log::info!(
        node = shared.local.id.as_str(), child = child.id.as_str(), version = hello.version,
        reason = "admission checks passed"; "child accepted"
    );
    let child = Record {
        parent: Some(shared.local.id.clone()),
        root: false,
        ..child
    };
    shared.merge(child.clone(), 0, Origin::Tree(link_id));
    let mut child_link = ChildLink::new(&shared, &child, &hello, link_id, permit);
    let reason = match child_link.serve(&mut link, known).await {
        Ok(()) => EndReason::Closed,
        Err(reason) => reason,
    };
    drop(child_link);
    close(link, &reason).await;
    unregister(&shared, &child.id, link_id);
    log::info!(
        node = shared.local.id.as_str(), child = child.id.as_str(), reason:% = reason;
        "child link closed"
    );
    mark_unless_reattached(&shared, &child, &reason).await;
}

/// Closes the link to a child, with a `Bye` when this node ends it.
async fn close(link: Link, reason: &EndReason) {
    let ended_here = matches!(reason, EndReason::Stopping | EndReason::InvalidPosition);
    if ended_here && link.send(Kind::Bye(control::Bye {})).await.is_ok() {
        link.close().await;
    }
}

/// Decides whether a child may attach and registers it. Returns the permit for the snapshot if the
/// child needs one.
fn admit(
    shared: &Shared,
    child: &Record,
    hello: &Hello,
    link_id: u64,
    now: Instant,
) -> Result<Option<OwnedSemaphorePermit>, Refusal> {
    let me = shared.own_record().ok_or(Refusal::InvalidParent)?;
    if shared.is_closing() {
        return Err(Refusal::InvalidParent);
    }
    let (version, digest) = transfer::parse_held(hello.version, &hello.digest);
    let permit = if shared.distributes_versions() && needs_snapshot(shared, version, digest) {
        let permit = Arc::clone(&shared.snapshot_permits).try_acquire_owned();
        Some(permit.map_err(|_| Refusal::SnapshotLimit)?)
    } else {
        None
    };
    let limit = {
        let table = shared.table();
        placement::child_limit(&table, &me, child, &shared.config)
    };
    let mut children = shared.children();
    children.try_admit((&me, shared.role()), child, limit, now)?;
    let state = ChildState {
        link_id,
        summaries: Vec::new(),
    };
    children.insert(child.id.clone(), state);
    drop(children);
    shared
        .reported_versions()
        .record(child.address, version, now);
    Ok(permit)
}

fn needs_snapshot(shared: &Shared, version: Version, digest: Digest) -> bool {
    plan(shared, version, digest) == Plan::Snapshot
}

fn plan(shared: &Shared, version: Version, digest: Digest) -> Plan {
    let held = shared.bundle();
    match shared.history().plan(&held, version, digest) {
        Plan::Deltas(_) if !shared.config.deltas => Plan::Snapshot,
        plan => plan,
    }
}

/// Refuses a link and names other addresses to try.
pub(crate) async fn refuse(shared: &Shared, link: Link, child: &Record, refusal: Refusal) {
    let alternatives = {
        let table = shared.table();
        placement::alternatives(&table, child, &shared.local.id, shared.config.fanout)
    };
    log::info!(
        node = shared.local.id.as_str(), child = child.id.as_str(), reason = refusal.as_str();
        "child refused"
    );
    let busy = Busy {
        reason: refusal.as_str().to_owned(),
        alternatives: alternatives.iter().map(ToString::to_string).collect(),
    };
    if link.send(Kind::Busy(busy)).await.is_ok() {
        link.close().await;
    }
}

/// Removes a child unless a newer link serves it.
fn unregister(shared: &Shared, child: &id::Node, link_id: u64) {
    let mut children = shared.children();
    if children
        .get_mut(child)
        .is_some_and(|state| state.link_id == link_id)
    {
        children.remove(child);
    }
}

/// Marks a child that has not attached to any parent as suspect, and after another silence timeout
/// as down together with its descendants.
async fn mark_unless_reattached(shared: &Shared, child: &Record, reason: &EndReason) {
    let silence = shared.config.silence_timeout;
    if matches!(reason, EndReason::EndedByPeer | EndReason::InvalidPosition) {
        // The child left on its own or was sent away, so it gets time to attach elsewhere.
        sleep(silence).await;
    }
    if !shared.is_in_tree() {
        // A node that is cut off cannot know where the child is attached. It waits until it is back
        // in the tree and has received the updates that it missed.
        standby::wait_in_tree(shared).await;
        sleep(silence * 2).await;
    }
    let Some(seen) = detached_child(shared, &child.id) else {
        return;
    };
    if seen.state < State::Suspect && !shared.mark(&seen, State::Suspect, &reason.to_string()) {
        return;
    }
    sleep(silence).await;
    let current = detached_child(shared, &child.id);
    let unchanged =
        current.filter(|now| now.state == State::Suspect && now.sequence == seen.sequence);
    if unchanged.is_none() || !shared.mark(&seen, State::Down, "not attached to another parent") {
        return;
    }
    mark_orphans(shared, &child.id);
}

/// Record of a node that has this node as its parent in the table but no link to it.
fn detached_child(shared: &Shared, child: &id::Node) -> Option<Record> {
    if shared.children().get_mut(child).is_some() {
        return None;
    }
    let table = shared.table();
    let record = table.get(child)?;
    let is_child = record.parent.as_ref() == Some(&shared.local.id) && !record.state.is_gone();
    is_child.then(|| record.clone())
}

/// Marks the descendants of a down node as down, except those that have attached elsewhere.
fn mark_orphans(shared: &Shared, lost: &id::Node) {
    let orphans: Vec<Record> = {
        let table = shared.table();
        let nodes = member::find_descendants(&table, lost);
        nodes
            .iter()
            .filter_map(|node| table.get(node).cloned())
            .collect()
    };
    for orphan in &orphans {
        shared.mark(
            orphan,
            State::Down,
            "parent is down and node is not attached to another parent",
        );
    }
}

/// Parent's end of the link to a child.
struct ChildLink {
    shared: Shared,
    child: Record,
    link_id: u64,
    sync: MembershipSync,
    /// Version and digest that the child holds once it has applied everything that was sent.
    sent: (Version, Digest),
    /// Permit for the snapshot that the child needs, held until the child reports the version.
    permit: Option<OwnedSemaphorePermit>,
    /// Whether the child waits for a snapshot permit.
    snapshot_pending: bool,
    /// Ticket of the fresh read that the child has requested.
    floor_ticket: Option<u64>,
}

impl ChildLink {
    fn new(
        shared: &Shared,
        child: &Record,
        hello: &Hello,
        link_id: u64,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        Self {
            sync: MembershipSync::new(shared, Origin::Tree(link_id), false),
            shared: shared.clone(),
            child: child.clone(),
            link_id,
            sent: transfer::parse_held(hello.version, &hello.digest),
            permit,
            snapshot_pending: false,
            floor_ticket: None,
        }
    }

    async fn serve(&mut self, link: &mut Link, known: bool) -> Result<(), EndReason> {
        let shared = self.shared.clone();
        let mut bundles = shared.bundles.subscribe();
        let mut heartbeats = interval(shared.config.heartbeat_interval);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        link.send(Kind::Welcome(self.welcome(known)?)).await?;
        self.send_versions(link).await?;
        loop {
            let floor_ticket = self.floor_ticket;
            tokio::select! {
                kind = link.recv() => self.handle(link, kind?).await?,
                _ = heartbeats.tick() => self.send_heartbeat(link).await?,
                Ok(()) = bundles.changed() => self.send_versions(link).await?,
                gossip = self.sync.next_message() => link.send(Kind::Records(gossip?)).await?,
                Ok(permit) = Arc::clone(&shared.snapshot_permits).acquire_owned(),
                    if self.snapshot_pending && self.permit.is_none() =>
                {
                    self.permit = Some(permit);
                    self.send_versions(link).await?;
                }
                version = shared.fresh_reads.wait_completed(floor_ticket.unwrap_or_default()),
                    if floor_ticket.is_some() =>
                {
                    self.floor_ticket = None;
                    let reply = FloorReply {
                        version: version.get(),
                        fresh: true,
                        ..FloorReply::default()
                    };
                    link.send(Kind::FloorReply(reply)).await?;
                }
                () = shared.wait_closing() => return Err(EndReason::Stopping),
            }
        }
    }

    fn welcome(&self, known: bool) -> Result<Welcome, EndReason> {
        let me = self.shared.own_record().ok_or(EndReason::Stopping)?;
        Ok(Welcome {
            record: Some(me.to_message(0)),
            version: self.shared.version().get(),
            table: self.shared.table().digest(),
            known,
        })
    }

    async fn handle(&mut self, link: &Link, kind: Kind) -> Result<(), EndReason> {
        match kind {
            Kind::Heartbeat(heartbeat) => {
                self.record_held_version(Version::new(heartbeat.version));
                if !heartbeat.summaries.is_empty()
                    && let Some(child) = self.shared.children().get_mut(&self.child.id)
                {
                    child.summaries = heartbeat.summaries;
                }
                self.sync.compare(link, heartbeat.table).await
            }
            Kind::Records(gossip) => self.sync.merge(link, &gossip).await,
            Kind::Buckets(buckets) => self.sync.answer(link, &buckets).await,
            Kind::Held(held) => {
                self.record_held_version(Version::new(held.version));
                Ok(())
            }
            Kind::FloorRequest(_) => {
                self.floor_ticket = Some(self.shared.fresh_reads.request());
                Ok(())
            }
            Kind::Resync(resync) => {
                log::warn!(
                    node = self.shared.local.id.as_str(), child = self.child.id.as_str(),
                    reason = resync.reason.as_str(); "child requested a snapshot"
                );
                self.sent = (Version::NONE, Digest::default());
                self.send_versions(link).await
            }
            Kind::Bye(_) => Err(EndReason::EndedByPeer),
            _ => Err(EndReason::UnexpectedMessage),
        }
    }

    fn record_held_version(&mut self, version: Version) {
        let now = Instant::now();
        self.shared
            .reported_versions()
            .record(self.child.address, version, now);
        if version >= self.sent.0 {
            // The child has applied the snapshot, so the permit is free for another child.
            self.permit = None;
        }
    }

    async fn send_heartbeat(&mut self, link: &Link) -> Result<(), EndReason> {
        self.check_position()?;
        let heartbeat = self.shared.heartbeat_without_summaries();
        link.send(Kind::Heartbeat(heartbeat)).await
    }

    /// Fails when a newer link serves the child, or when this node is no longer a valid parent
    /// because it stopped being the root.
    fn check_position(&self) -> Result<(), EndReason> {
        let current = self
            .shared
            .children()
            .get_mut(&self.child.id)
            .map(|child| child.link_id);
        if current != Some(self.link_id) {
            return Err(EndReason::Replaced);
        }
        let me = self.shared.own_record().ok_or(EndReason::Stopping)?;
        if is_valid_parent(&me, self.shared.role(), &self.child, Instant::now()) {
            Ok(())
        } else {
            Err(EndReason::InvalidPosition)
        }
    }

    /// Sends the deltas or the snapshot that the child needs to reach the held version, or notes
    /// that it waits for a snapshot permit.
    async fn send_versions(&mut self, link: &Link) -> Result<(), EndReason> {
        if !self.shared.distributes_versions() {
            return Ok(());
        }
        let held = self.shared.bundle();
        let deltas = match plan(&self.shared, self.sent.0, self.sent.1) {
            Plan::Current => return Ok(()),
            Plan::Deltas(deltas) => deltas,
            Plan::Snapshot if self.permit.is_none() => {
                self.snapshot_pending = true;
                return Ok(());
            }
            Plan::Snapshot => vec![Arc::new(bundle::Delta::snapshot(&held))],
        };
        self.snapshot_pending = false;
        for delta in deltas {
            let parts = transfer::split(&delta).map_err(|_| EndReason::UnexpectedMessage)?;
            for part in parts {
                link.send(Kind::Update(part)).await?;
            }
            self.sent = (delta.to, delta.digest);
        }
        Ok(())
    }
}
