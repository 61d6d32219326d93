//! Every row of the table of outcomes: what the caller is told, and what the upstream ran.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use support::{Behaviour, Upstream, World, owner, renewal, service, status, verdict};

/// Guards against an answer that does not come through the whole path.
#[tokio::test]
async fn call_reaches_the_upstream_of_another_node() {
    let world = World::new(service());
    let upstream = Upstream::start(Behaviour::Echo(10)).await;
    let _target = world.target("b", upstream.address()).await;
    let caller = world.node("a", None).await;
    let answer = caller.caller.call(renewal("r1")).await;
    assert_eq!(verdict(&answer), "ran none 200", "{}", answer.reason);
    assert_eq!(answer.version.get(), 7);
    assert_eq!(answer.body.read().await.unwrap(), b"r1\npayment");
    assert_eq!(upstream.runs("r1"), 1);
    let account = caller.accounts.read(&owner());
    assert_eq!((account.counters.calls, account.failures.len()), (1, 0));
    let _ = (Duration::ZERO, status("x"));
}
