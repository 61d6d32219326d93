use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use member::BUCKET_COUNT;
use schema::control::{Buckets, Records, message::Kind};
use tokio::sync::broadcast;
use tokio::time::Instant;

use crate::gossip::{self, Batch, Origin};
use crate::link::{EndReason, Link};
use crate::shared::Shared;

/// Time for which two tables must differ before their buckets are compared. Updates in flight make
/// them differ briefly.
const COMPARISON_DELAY: Duration = Duration::from_secs(5);

/// Maximum time between two comparisons on one link while the tables keep differing.
const MAX_COMPARISON_DELAY: Duration = Duration::from_secs(40);

/// Number of buckets whose records are encoded at a time. Without the limit a parent that sends
/// whole tables to all its children at once would hold a dozen copies of the table.
const BUCKETS_PER_GROUP: usize = 16;

/// Synchronizes the membership tables of the two nodes of a link: forwards gossip, and runs
/// anti-entropy over bucket digests when the tables differ for too long.
pub(crate) struct MembershipSync {
    shared: Shared,
    origin: Origin,
    batches: broadcast::Receiver<Arc<Batch>>,
    /// Messages of the last batch that have not been sent yet.
    unsent: VecDeque<Records>,
    /// Whether this side starts comparisons. Only the side that dialled does.
    initiates: bool,
    differ_since: Option<Instant>,
    comparison_delay: Duration,
}

impl MembershipSync {
    pub(crate) fn new(shared: &Shared, origin: Origin, initiates: bool) -> Self {
        Self {
            shared: shared.clone(),
            origin,
            batches: shared.gossip.subscribe(),
            unsent: VecDeque::new(),
            initiates,
            differ_since: None,
            comparison_delay: COMPARISON_DELAY,
        }
    }

    /// Waits for the next gossip message for the peer. Fails when the link has fallen too far
    /// behind; the peer compares tables after it has reconnected.
    pub(crate) async fn next_message(&mut self) -> Result<Records, EndReason> {
        loop {
            if let Some(message) = self.unsent.pop_front() {
                return Ok(message);
            }
            match self.batches.recv().await {
                Ok(batch) => {
                    self.unsent = gossip::messages_for(&batch, self.origin).into();
                }
                Err(broadcast::error::RecvError::Lagged(_)) => return Err(EndReason::QueueFull),
                Err(broadcast::error::RecvError::Closed) => return Err(EndReason::Stopping),
            }
        }
    }

    /// Merges a gossip message of the peer.
    pub(crate) async fn merge(&mut self, link: &Link, message: &Records) -> Result<(), EndReason> {
        let missing = self.shared.merge_records(message, self.origin);
        if missing && self.initiates {
            return self.start_comparison(link).await;
        }
        Ok(())
    }

    /// Compares the table digest in a heartbeat of the peer with the digest of this node's table.
    pub(crate) async fn compare(&mut self, link: &Link, digest: u64) -> Result<(), EndReason> {
        let now = Instant::now();
        if self.shared.table().digest() == digest {
            self.differ_since = None;
            self.comparison_delay = COMPARISON_DELAY;
            return Ok(());
        }
        let since = *self.differ_since.get_or_insert(now);
        if self.initiates && now.duration_since(since) >= self.comparison_delay {
            self.comparison_delay = (self.comparison_delay * 2).min(MAX_COMPARISON_DELAY);
            return self.start_comparison(link).await;
        }
        Ok(())
    }

    /// Sends the bucket digests of this node, which the peer answers with the records that differ.
    pub(crate) async fn start_comparison(&mut self, link: &Link) -> Result<(), EndReason> {
        self.differ_since = None;
        link.send(self.digests(false)).await
    }

    /// Answers the bucket digests of the peer with the records of the buckets that differ.
    pub(crate) async fn answer(&mut self, link: &Link, buckets: &Buckets) -> Result<(), EndReason> {
        if buckets.digests.len() != BUCKET_COUNT {
            return Err(EndReason::UnexpectedMessage);
        }
        let differing = self.shared.table().differing_buckets(&buckets.digests);
        for first in (0..BUCKET_COUNT).step_by(BUCKETS_PER_GROUP) {
            for records in self.records(&differing, first..first + BUCKETS_PER_GROUP) {
                link.send(Kind::Records(records)).await?;
            }
        }
        if !buckets.answer {
            link.send(self.digests(true)).await?;
        }
        Ok(())
    }

    fn digests(&self, answer: bool) -> Kind {
        let digests = self.shared.table().bucket_digests().to_vec();
        Kind::Buckets(Buckets { digests, answer })
    }

    /// Records of the differing buckets of a group, in messages of bounded size.
    fn records(&self, differing: &[bool; BUCKET_COUNT], group: Range<usize>) -> Vec<Records> {
        let mut selected = [false; BUCKET_COUNT];
        selected[group.clone()].copy_from_slice(&differing[group]);
        if !selected.contains(&true) {
            return Vec::new();
        }
        let now = Instant::now();
        let table = self.shared.table();
        let mut messages = Vec::new();
        for (record, age) in table.records_in_buckets(&selected, now) {
            let message = record.to_message(u32::try_from(age.as_secs()).unwrap_or(u32::MAX));
            gossip::add_record(&mut messages, message);
        }
        messages
    }
}
