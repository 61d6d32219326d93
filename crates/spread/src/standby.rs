use std::sync::atomic::Ordering;
use std::time::Duration;

use member::Record;
use schema::control::{self, Hello, Welcome, message::Kind};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::{Version, id};

use crate::admission::{Refusal, STANDBY_LINKS_PER_CHILD};
use crate::condition::wait_for;
use crate::dial::{Backoff, DialResult, dial};
use crate::link::{EndReason, Link};
use crate::shared::{Attachment, Shared};
use crate::{child, parent, placement};

/// Time for which the standby may be ahead of this node before the parent counts as lagging.
const LAG_LIMIT: Duration = Duration::from_secs(2);

/// Number of heartbeats between two checks that the standby is still one of the candidates.
const CANDIDATE_CHECK_HEARTBEATS: u32 = 10;

/// Maximum number of standby candidates: half of the witnesses.
const MAX_CANDIDATES: usize = member::WITNESS_COUNT / 2;

/// Keeps a link to a standby parent while the node is in the tree.
pub(crate) async fn run(shared: Shared) {
    let mut backoff = Backoff::default();
    loop {
        sleep(backoff.next_delay(rand::random())).await;
        wait_in_tree(&shared).await;
        let Some((link, standby)) = open(&shared).await else {
            continue;
        };
        backoff.reset();
        log::info!(
            node = shared.local.id.as_str(), standby = standby.as_str(),
            reason = "preferred candidate other than the parent"; "attached to standby"
        );
        let Err(reason) = follow(&shared, link, &standby).await else {
            continue;
        };
        log::info!(
            node = shared.local.id.as_str(), standby = standby.as_str(), reason:% = reason;
            "standby link closed"
        );
        if reason == EndReason::Stopping {
            return;
        }
    }
}

/// Waits until the node has a parent or is a root. Before that its table may be incomplete.
pub(crate) async fn wait_in_tree(shared: &Shared) {
    tokio::select! {
        _ = wait_for(&shared.attachment, |state| matches!(state, Attachment::Attached(_))) => {}
        _ = wait_for(&shared.role, |role| role.is_root(Instant::now())) => {}
    }
}

/// Nodes that may be the standby, in order of preference. They are among the witnesses that this
/// node asks for its version floor after a restart.
fn standby_candidates(shared: &Shared) -> Vec<Record> {
    let table = shared.table();
    let Some(me) = table.get(&shared.local.id) else {
        return Vec::new();
    };
    let nodes = member::find_standby_candidates(&table, me, shared.config.fanout);
    let others = nodes.iter().filter(|node| me.parent.as_ref() != Some(node));
    let records = others.filter_map(|node| table.get(node).cloned());
    records.take(MAX_CANDIDATES).collect()
}

async fn open(shared: &Shared) -> Option<(Box<Link>, id::Node)> {
    for candidate in standby_candidates(shared) {
        if let DialResult::Open(link, _) =
            dial(shared, candidate.address, control::Link::Standby).await
        {
            return Some((link, candidate.id));
        }
    }
    None
}

/// Reports the held version to the standby and compares it with the version of the standby, until
/// the link ends.
async fn follow(shared: &Shared, mut link: Box<Link>, standby: &id::Node) -> Result<(), EndReason> {
    let mut bundles = shared.bundles.subscribe();
    let mut heartbeats = interval(shared.config.heartbeat_interval);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ahead_since = None;
    let mut heartbeats_sent: u32 = 0;
    link.send(Kind::Held(parent::held_message(shared))).await?;
    loop {
        tokio::select! {
            kind = link.recv() => match kind? {
                Kind::Heartbeat(heartbeat) => {
                    let standby_version = Version::new(heartbeat.version);
                    report_lag(shared, standby_version, &mut ahead_since, standby);
                }
                Kind::Bye(_) => return Err(EndReason::EndedByPeer),
                _ => return Err(EndReason::UnexpectedMessage),
            },
            _ = heartbeats.tick() => {
                send_heartbeat(shared, &link).await?;
                heartbeats_sent += 1;
                if heartbeats_sent.is_multiple_of(CANDIDATE_CHECK_HEARTBEATS)
                    && standby_candidates(shared).iter().all(|candidate| candidate.id != *standby)
                {
                    return Err(EndReason::InvalidPosition);
                }
            }
            Ok(()) = bundles.changed() => {
                link.send(Kind::Held(parent::held_message(shared))).await?;
            }
            () = shared.wait_closing() => return Err(EndReason::Stopping),
        }
    }
}

/// Requests a change of the parent when the standby has been ahead for [`LAG_LIMIT`].
fn report_lag(
    shared: &Shared,
    standby_version: Version,
    since: &mut Option<Instant>,
    standby: &id::Node,
) {
    let now = Instant::now();
    if !is_lagging(shared.version(), standby_version, since, now) {
        return;
    }
    *since = None;
    if !has_other_parent(shared) {
        return;
    }
    log::warn!(
        node = shared.local.id.as_str(), standby = standby.as_str(),
        version = shared.version().get(), ahead = standby_version.get(),
        reason = "standby ahead"; "parent is lagging"
    );
    shared.parent_lagging.send_replace(false);
    shared.parent_lagging.send_replace(true);
}

/// Whether a standby at `standby_version` has been ahead of `held` for [`LAG_LIMIT`]. `since` holds
/// the time at which it was first seen ahead.
#[must_use]
pub fn is_lagging(
    held: Version,
    standby_version: Version,
    since: &mut Option<Instant>,
    now: Instant,
) -> bool {
    if standby_version <= held {
        *since = None;
        return false;
    }
    now.duration_since(*since.get_or_insert(now)) >= LAG_LIMIT
}

/// Whether there is another parent to ask. Without one a change would only interrupt the link.
fn has_other_parent(shared: &Shared) -> bool {
    let table = shared.table();
    let Some(me) = table.get(&shared.local.id) else {
        return false;
    };
    let others = placement::parent_candidates(&table, me, shared.config.fanout, me.parent.as_ref());
    !others.is_empty()
}

async fn send_heartbeat(shared: &Shared, link: &Link) -> Result<(), EndReason> {
    link.send(Kind::Heartbeat(shared.heartbeat_without_summaries()))
        .await
}

/// Serves a child that has chosen this node as its standby.
pub(crate) async fn accept(shared: Shared, mut link: Link, hello: Hello, child: Record) {
    let limit = shared.config.max_children * STANDBY_LINKS_PER_CHILD;
    if shared.standby_links.fetch_add(1, Ordering::Relaxed) >= limit || shared.is_closing() {
        child::refuse(&shared, link, &child, Refusal::ChildLimit).await;
    } else {
        let held = Version::new(hello.version);
        shared
            .reported_versions()
            .record(child.address, held, Instant::now());
        // The loss of a standby link needs no action, since the child opens another one.
        let _ = serve(&shared, &mut link, &child).await;
        link.close().await;
    }
    shared.standby_links.fetch_sub(1, Ordering::Relaxed);
}

async fn serve(shared: &Shared, link: &mut Link, child: &Record) -> Result<(), EndReason> {
    let welcome = Welcome {
        record: shared.own_record().map(|me| me.to_message(0)),
        version: shared.version().get(),
        ..Welcome::default()
    };
    link.send(Kind::Welcome(welcome)).await?;
    let mut heartbeats = interval(shared.config.heartbeat_interval);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            kind = link.recv() => match kind? {
                Kind::Heartbeat(_) => {}
                Kind::Held(held) => {
                    let version = Version::new(held.version);
                    shared.reported_versions().record(child.address, version, Instant::now());
                }
                Kind::Bye(_) => return Ok(()),
                _ => return Err(EndReason::UnexpectedMessage),
            },
            _ = heartbeats.tick() => send_heartbeat(shared, link).await?,
            () = shared.wait_closing() => return link.send(Kind::Bye(control::Bye {})).await,
        }
    }
}
