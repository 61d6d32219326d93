//! The stand-in upstream, seen by a caller.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};
use standin::upstream::Upstream;
use standin::{LogEntry, Progress, UpstreamSettings};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Bound of the waits for a state that follows an event; far above what a busy machine needs.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an upstream with settings given as JSON without its braces.
async fn start(settings: &str) -> Upstream {
    let settings: UpstreamSettings = serde_json::from_str(&format!("{{{settings}}}")).unwrap();
    Upstream::start_local(settings).await.unwrap()
}

/// Sets the behaviour through the control endpoint, given as JSON without its braces.
async fn set(upstream: &Upstream, behaviour: &str) {
    let url = format!("http://{}/control", upstream.control_address());
    let request = Client::new().post(url).body(format!("{{{behaviour}}}"));
    assert_eq!(request.send().await.unwrap().status(), 200);
}

/// Call on a connection of its own.
fn call(upstream: &Upstream, id: &str) -> RequestBuilder {
    let request = Client::new().post(format!("{}/permits", upstream.url()));
    let request = request.header("dandelionseam-request-id", id);
    request.header("idempotency-key", "key-7").body("body")
}

async fn send(upstream: &Upstream, id: &str) -> Response {
    call(upstream, id).send().await.unwrap()
}

/// Sends a call that is held until the task is aborted.
fn hold(upstream: &Upstream, id: &str) -> JoinHandle<reqwest::Result<Response>> {
    tokio::spawn(call(upstream, id).send())
}

/// Waits until the log has an entry of a request with some progress.
async fn wait_for(upstream: &Upstream, id: &str, progress: Progress) -> LogEntry {
    let wait = async {
        loop {
            let log = upstream.log().entries.into_iter();
            let mut found = log.filter(|e| e.request_id == id && e.progress() == progress);
            if let Some(entry) = found.next() {
                return entry;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(EVENT_TIMEOUT, wait).await.unwrap()
}

/// Bytes of an answer that arrive, and whether it ends properly.
async fn receive(mut answer: Response) -> (usize, bool) {
    let mut received = 0;
    loop {
        match answer.chunk().await {
            Ok(Some(part)) => received += part.len(),
            Ok(None) => return (received, true),
            Err(_) => return (received, false),
        }
    }
}

/// Guards against modes that do not show on the wire, so that a test of the mesh tests nothing.
#[tokio::test]
async fn each_mode_shows_in_the_answer() {
    let upstream = start("").await;
    set(&upstream, r#""echo": true"#).await;
    let answer = send(&upstream, "r1").await;
    assert_eq!(answer.headers()["dandelionseam-request-id"], "r1");
    assert_eq!(answer.content_length(), Some(7));
    assert_eq!(answer.text().await.unwrap(), "r1\nbody");

    set(
        &upstream,
        r#""answer_bytes": 300000, "without_length": true"#,
    )
    .await;
    let answer = send(&upstream, "r2").await;
    assert_eq!(answer.content_length(), None);
    assert_eq!(answer.text().await.unwrap(), "r2\n".repeat(100_000));

    for without_length in [false, true] {
        let cut = r#""answer_bytes": 50000, "break_off_after": 20000"#;
        set(
            &upstream,
            &format!(r#"{cut}, "without_length": {without_length}"#),
        )
        .await;
        let answer = send(&upstream, "r3").await;
        assert_eq!(receive(answer).await, (20_000, false));
    }

    set(&upstream, r#""status": 418"#).await;
    assert_eq!(send(&upstream, "r4").await.status(), 418);
    set(&upstream, r#""shed": true"#).await;
    let answer = send(&upstream, "r5").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["shed"], "1");
    assert_eq!((upstream.runs("r5"), upstream.runs("key-7")), (0, 5));
}

/// Guards against a run that is missing from the log or listed with the wrong end.
#[tokio::test]
async fn log_tells_cancelled_expired_and_complete_apart() {
    let upstream = start(r#""slots": 1, "queue": 1"#).await;
    set(&upstream, r#""never_answer": true"#).await;
    let hung = hold(&upstream, "hung");
    wait_for(&upstream, "hung", Progress::Running).await;
    let late = call(&upstream, "late").header("dandelionseam-deadline-ms", "20");
    assert_eq!(late.send().await.unwrap().status(), 504);
    assert!(!wait_for(&upstream, "late", Progress::Expired).await.ran);
    hung.abort();
    assert!(wait_for(&upstream, "hung", Progress::Cancelled).await.ran);
    set(&upstream, "").await;
    send(&upstream, "done").await;
    assert!(wait_for(&upstream, "done", Progress::Complete).await.ran);
    assert_eq!((upstream.runs("hung"), upstream.runs("late")), (1, 0));
    let url = format!("{}/runs?key=key-7", upstream.url());
    let runs = reqwest::get(url).await.unwrap();
    assert_eq!(runs.text().await.unwrap(), r#"{"runs":2}"#);
}

/// Guards against an upstream that takes more calls or connections than it declares.
#[tokio::test]
async fn slots_queue_and_connections_are_bounded() {
    let upstream = start(r#""slots": 1, "queue": 1, "connections": 3"#).await;
    set(&upstream, r#""never_answer": true"#).await;
    let _running = hold(&upstream, "running");
    wait_for(&upstream, "running", Progress::Running).await;
    let _waiting = hold(&upstream, "waiting");
    wait_for(&upstream, "waiting", Progress::Waiting).await;
    let third = Client::new();
    let shed = async || {
        let answer = timeout(EVENT_TIMEOUT, third.get(upstream.url()).send()).await;
        answer.unwrap().unwrap().status()
    };
    assert_eq!(shed().await, 503);
    let fourth = timeout(EVENT_TIMEOUT, call(&upstream, "fourth").send()).await;
    assert!(fourth.unwrap().is_err());
    assert_eq!(shed().await, 503);
}

/// Guards against a drain that cuts off a call, takes new ones, or does not tell the node; and against
/// an upstream that never announces itself.
#[tokio::test]
async fn drain_finishes_calls_and_tells_the_node() {
    // A second stand-in takes the place of the node; its log shows what was announced.
    let node = start("").await;
    let upstream = start(&format!(r#""admin_url": "{}""#, node.url())).await;
    set(
        &upstream,
        r#""service_times": [{"us": 300000, "weight": 1}]"#,
    )
    .await;
    wait_for(&node, "", Progress::Complete).await;
    let running = hold(&upstream, "running");
    wait_for(&upstream, "running", Progress::Running).await;
    let (left, refused) = tokio::join!(upstream.drain(EVENT_TIMEOUT), async {
        sleep(Duration::from_millis(20)).await;
        send(&upstream, "new").await.status()
    });
    assert_eq!((left, refused.as_u16()), (0, 503));
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
    assert!(wait_for(&upstream, "new", Progress::Shed).await.draining);
    let seen = node.log().entries.into_iter();
    let seen: Vec<_> = seen.map(|e| e.method + &e.path).collect();
    assert!(seen.len() >= 3, "{seen:?}");
    assert_eq!(seen.first().unwrap(), "POST/announce");
    assert_eq!(seen.last().unwrap(), "DELETE/announce");
}

/// Guards against a health endpoint that always tells the truth, which no test of the probes could
/// rely on.
#[tokio::test]
async fn health_lags_or_lies_when_asked() {
    let upstream = start("").await;
    upstream.drain(EVENT_TIMEOUT).await;
    for (behaviour, status) in [
        ("", 503),
        (r#""health": "LAGGING", "health_lag_ms": 600000"#, 200),
        (r#""health": "LYING""#, 200),
    ] {
        set(&upstream, behaviour).await;
        let url = format!("{}/health", upstream.url());
        assert_eq!(
            reqwest::get(url).await.unwrap().status(),
            status,
            "{behaviour}"
        );
    }
}

/// Guards against a nested call that loses the identity or the deadline of the outer one.
#[tokio::test]
async fn nested_call_passes_on_id_and_deadline() {
    let (inner, outer) = (start("").await, start("").await);
    set(&outer, &format!(r#""nested_url": "{}""#, inner.url())).await;
    let request = call(&outer, "n1").header("dandelionseam-deadline-ms", "5000");
    assert_eq!(request.send().await.unwrap().status(), 200);
    let nested = inner.log().entries.remove(0);
    assert_eq!(nested.request_id, "n1");
    assert!((1..=5000).contains(&nested.deadline_ms), "{nested:?}");
    set(&inner, r#""status": 500"#).await;
    assert_eq!(send(&outer, "n2").await.status(), 502);
}

/// Guards against service times that ignore their weights or the cold start. A time of an hour with
/// weight 0 must never be chosen, and the least time of the longest call is known.
#[tokio::test]
async fn service_times_follow_weights_and_cold_start() {
    let never = r#"{"us": 3600000000, "weight": 0}"#;
    let times = format!(
        r#""service_times": [{{"us": 1, "weight": 9}}, {never}, {{"us": 50000, "weight": 1}}]"#
    );
    for (cold, least_ms) in [("0", 50), (r#"3600000, "cold_factor": 4"#, 200)] {
        let upstream = start(&format!(r#""seed": "5", "slots": 40, "cold_ms": {cold}"#)).await;
        set(&upstream, &times).await;
        let sent: Vec<_> = (0..40).map(|_| hold(&upstream, "w")).collect();
        for call in sent {
            timeout(EVENT_TIMEOUT, call)
                .await
                .unwrap()
                .unwrap()
                .unwrap();
        }
        let entries = upstream.log().entries.into_iter();
        let longest = entries.map(|e| e.end_ms - e.start_ms).max().unwrap();
        assert!(longest >= least_ms, "{longest} ms with cold_ms {cold}");
    }
}
