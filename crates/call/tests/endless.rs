//! Upstreams that send bytes without end.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{
    Behaviour, TestMesh, Upstream, announcement, pack, renewal, service, status, summary,
};
use tokio::time::{Instant, timeout};
use types::Deadline;

const DEADLINE_MS: u64 = 1_000;

/// Longest time from a call to the end of its answer: the deadline, the time in which the caller's
/// node waits for a report, and room for a busy machine.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// Most memory growth that endless answers may cause.
const MAX_GROWTH_BYTES: u64 = 48 * 1024 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const SHED: &str = "HTTP/1.1 503 X\r\nshed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() * 1024
}

/// Guards against bytes without end that hold a call past its deadline, keep its slot or its
/// connection, or are collected in memory.
#[tokio::test]
async fn endless_bytes_end_with_the_call() {
    use Behaviour::{Endless, EndlessSlow};
    let before = resident_bytes();
    let behaviours = [
        Endless("", "H"),
        Endless("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        Endless("HTTP/1.1 200 OK\r\nx: ", "y"),
        Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Endless(CHUNKED, "0"),
        Endless(CHUNKED, "1;a"),
        Endless(CHUNKED, "1\r\nx\r\n"),
        Endless(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x: y\r\n",
        ),
        Endless("HTTP/1.1 200 OK\r\n\r\n", "x"),
        Endless("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n", "x"),
        Endless(SHED, "1\r\nx\r\n"),
        EndlessSlow("", "H"),
        EndlessSlow("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        EndlessSlow("", "HTTP/1.1 100 Continue\r\n\r\n"),
        EndlessSlow(CHUNKED, "1\r\nx\r\n"),
        EndlessSlow("HTTP/1.1 200 OK\r\n\r\n", "x"),
        EndlessSlow(SHED, "1\r\nx\r\n"),
    ];
    join_all(behaviours.map(play)).await;
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "memory grew by {growth} bytes");
}

/// Sends calls to an upstream with endless answers, and one more after it has recovered.
async fn play(behaviour: Behaviour) {
    let mesh = TestMesh::new(service());
    let upstream = Upstream::start(behaviour.clone()).await;
    let target = mesh.target("b", upstream.address()).await;
    let caller = mesh.node("a", None).await;
    for request in [renewal("r1"), status("r2"), pack("r3")] {
        // Renewed, since an announcement expires.
        target.target.announce(announcement(upstream.address()));
        let case = format!("{behaviour:?} {}", request.id);
        let request = request.with_deadline(Deadline::after_ms(DEADLINE_MS));
        let start = Instant::now();
        let call = async {
            let answer = caller.caller.call(request).await;
            let outcome = summary(&answer);
            // An answer of one byte that is followed by others is whole.
            let _ = answer.body.read_to_end().await;
            outcome
        };
        let outcome = timeout(END_TIMEOUT, call).await;
        let outcome = outcome.unwrap_or_else(|_| panic!("{case}: no end"));
        let (Behaviour::Endless(first, _) | Behaviour::EndlessSlow(first, _)) = behaviour else {
            unreachable!();
        };
        let is_refusal = first == SHED;
        assert_eq!(
            outcome.starts_with("not-run"),
            is_refusal,
            "{case}: {outcome}"
        );
        let is_early = start.elapsed() < Duration::from_millis(DEADLINE_MS);
        assert!(!is_refusal || is_early, "{case}: refused late");
    }
    upstream.wait_closed_early().await;
    target.target.announce(announcement(upstream.address()));
    support::wait(|| target.target.load().unwrap().in_use == 0).await;
    upstream.set_behaviour(Behaviour::Echo(10));
    let answer = caller.caller.call(status("r4")).await;
    assert_eq!(summary(&answer), "ran none 200", "{behaviour:?}");
}
