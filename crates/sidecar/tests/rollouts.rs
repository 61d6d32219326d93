//! Roll-outs end in the store, whatever happens to the nodes that drive them.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use standin::Memory;
use support::{Process, TIMEOUT, wait_status};
use tokio::time::{sleep, timeout};

const SETTINGS: &str = "[rollouts]\nexposure_share = 0.1\n";

/// Order with a duration of 3 s, for a version without targets.
const ORDER: &[u8] = b"v2 3";

fn status(store: &Memory) -> String {
    let value = store.get("statuses/renewals").unwrap_or_default();
    String::from_utf8(value.to_vec()).unwrap()
}

async fn wait_stage(store: &Memory, expected: &str) {
    let waiting = async {
        while status(store) != expected {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.unwrap();
}

async fn start(store: &Memory, name: &str) -> Process {
    let process = Process::start_with(store, name, SETTINGS).await;
    wait_status(process.node.ready, "GET /", "200").await;
    process
}

/// Guards against roll-outs that stop with the process that drives them, and against orders that are left
/// without an answer.
#[tokio::test]
async fn a_roll_out_ends_after_its_driver_is_killed() {
    let store = Memory::default();
    store.set("config", b"1");
    let mut process = start(&store, "a").await;
    store.set("orders/renewals", ORDER);
    wait_stage(&store, "waiting").await;
    process.kill().await;
    sleep(Duration::from_millis(500)).await;
    process.restart().await;
    wait_stage(&store, "rolled-back").await;
}

/// Guards against roll-outs that are decided on an outdated state when the answer to a write is lost, and
/// against ones that stop for good when the store is down.
#[tokio::test]
async fn a_roll_out_survives_faults_of_the_store() {
    let store = Memory::default();
    store.set("config", b"1");
    let _process = start(&store, "a").await;
    store.lose_puts(2);
    store.set("orders/renewals", ORDER);
    wait_stage(&store, "waiting").await;
    store.set_down(true);
    sleep(Duration::from_secs(1)).await;
    store.set_down(false);
    wait_stage(&store, "rolled-back").await;
}

/// Guards against a final decision that is taken back: by a node with an older view, or for an order that stays
/// in the store.
#[tokio::test]
async fn a_final_decision_stays() {
    let store = Memory::default();
    store.set("config", b"1");
    let mut first = start(&store, "a").await;
    store.set("orders/renewals", ORDER);
    wait_stage(&store, "rolled-back").await;
    first.kill().await;
    let _second = start(&store, "b").await;
    for _ in 0..20 {
        assert_eq!(status(&store), "rolled-back");
        sleep(Duration::from_millis(100)).await;
    }
    // A later order is carried out again.
    store.set("orders/renewals", ORDER);
    wait_stage(&store, "waiting").await;
}

/// Guards against a decision that is taken back, or lost for the operator, when the store comes back from a
/// copy without it and the order is written again.
#[tokio::test]
async fn a_final_decision_outlives_a_restore_of_the_store() {
    let store = Memory::default();
    store.set("config", b"1");
    let _process = start(&store, "a").await;
    let backup = store.back_up();
    store.set("orders/renewals", ORDER);
    wait_stage(&store, "rolled-back").await;
    store.restore(backup);
    store.set("orders/renewals", ORDER);
    let waiting = async {
        while status(&store).is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.unwrap();
    for _ in 0..20 {
        assert_eq!(status(&store), "rolled-back");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a roll-out that is taken for withdrawn because the store has come back from a copy without
/// its order, which is written again a moment later.
#[tokio::test]
async fn an_order_that_a_restore_has_lost_is_not_withdrawn() {
    let store = Memory::default();
    store.set("config", b"1");
    let _process = start(&store, "a").await;
    let backup = store.back_up();
    let order = b"v2 60";
    store.set("orders/renewals", order);
    wait_stage(&store, "waiting").await;
    store.restore(backup);
    for _ in 0..15 {
        sleep(Duration::from_millis(100)).await;
        assert_ne!(status(&store), "rolled-back");
    }
    store.set("orders/renewals", order);
    wait_stage(&store, "waiting").await;
}
