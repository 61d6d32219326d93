//! Failure detection at a root, for nodes that no parent reports.

use std::collections::HashMap;
use std::time::Duration;

use member::{Record, State};
use tokio::time::{Instant, sleep};
use types::id;

use crate::shared::Shared;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks how long nodes of the region have not been attached to the root's tree.
#[derive(Debug, Default)]
pub struct Detector {
    detached_since: HashMap<id::Node, Instant>,
}

impl Detector {
    /// Decides which of the detached nodes become suspect or down.
    ///
    /// A node becomes suspect after twice the silence timeout and down one timeout later. The first
    /// time is twice as long because after a change of the root the nodes below need a few attempts
    /// to attach.
    pub fn check(
        &mut self,
        detached: &[Record],
        silence: Duration,
        now: Instant,
    ) -> Vec<(Record, State)> {
        let previous = std::mem::take(&mut self.detached_since);
        let mut transitions = Vec::new();
        for record in detached {
            let since = previous.get(&record.id).copied().unwrap_or(now);
            self.detached_since.insert(record.id.clone(), since);
            let detached_for = now.duration_since(since);
            if detached_for >= silence * 3 && record.state == State::Suspect {
                transitions.push((record.clone(), State::Down));
            } else if detached_for >= silence * 2 && record.state < State::Suspect {
                transitions.push((record.clone(), State::Suspect));
            }
        }
        transitions
    }

    /// Forgets all nodes.
    pub fn reset(&mut self) {
        self.detached_since.clear();
    }
}

/// Reports detached nodes while this node is the root of its region, and drops expired records.
pub(crate) async fn run(shared: Shared) {
    let mut detector = Detector::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        shared.drop_gone();
        if !shared.is_root() {
            detector.reset();
            continue;
        }
        let detached = detached_nodes(&shared);
        let transitions = detector.check(&detached, shared.config.silence_timeout, Instant::now());
        for (record, state) in transitions {
            shared.mark(&record, state, "not attached to the tree of the region");
        }
    }
}

fn detached_nodes(shared: &Shared) -> Vec<Record> {
    let table = shared.table();
    let Some(me) = table.get(&shared.local.id) else {
        return Vec::new();
    };
    let nodes = member::find_detached(&table, me);
    nodes
        .iter()
        .filter_map(|node| table.get(node).cloned())
        .collect()
}
