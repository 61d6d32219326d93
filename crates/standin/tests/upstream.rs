//! The stand-in upstream, seen by a caller.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use reqwest::{Client, Response};
use standin::upstream::Upstream;
use standin::{Behaviour, HealthMode, LogEntry, Progress, ServiceTime, UpstreamSettings};
use tokio::time::{sleep, timeout};

/// Bound of the waits for a state that follows an event; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(10);

async fn start(settings: UpstreamSettings) -> Upstream {
    Upstream::start_local(settings).await.unwrap()
}

fn steady(us: u32) -> Vec<ServiceTime> {
    vec![ServiceTime { us, weight: 1 }]
}

async fn post(upstream: &Upstream, id: &str) -> reqwest::Result<Response> {
    let request = Client::new().post(format!("{}/permits", upstream.url()));
    let request = request.header("dandelionseam-request-id", id);
    request
        .header("idempotency-key", "key-7")
        .body("body")
        .send()
        .await
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
    timeout(PATIENCE, wait).await.unwrap()
}

/// Guards against modes that do not show on the wire, so that a test of the mesh tests nothing.
#[tokio::test]
async fn each_mode_shows_in_the_answer() {
    let upstream = start(UpstreamSettings::default()).await;
    let set = |behaviour| upstream.set_behaviour(behaviour);

    set(Behaviour {
        echo: true,
        ..Behaviour::default()
    });
    let answer = post(&upstream, "r1").await.unwrap();
    assert_eq!(answer.headers()["dandelionseam-request-id"], "r1");
    assert_eq!(answer.content_length(), Some(7));
    assert_eq!(answer.text().await.unwrap(), "r1\nbody");

    set(Behaviour {
        answer_bytes: 300_000,
        without_length: true,
        ..Behaviour::default()
    });
    let answer = post(&upstream, "r2").await.unwrap();
    assert_eq!(answer.content_length(), None);
    assert_eq!(answer.text().await.unwrap(), "r2\n".repeat(100_000));

    for without_length in [false, true] {
        let (answer_bytes, break_off_after) = (50_000, 20_000);
        set(Behaviour {
            answer_bytes,
            break_off_after,
            without_length,
            ..Behaviour::default()
        });
        let mut answer = post(&upstream, "r3").await.unwrap();
        let (mut received, mut whole) = (0, true);
        while whole && received < 50_000 {
            match answer.chunk().await {
                Ok(part) => received += part.map_or(0, |part| part.len()),
                Err(_) => whole = false,
            }
        }
        assert_eq!((received, whole), (20_000, false));
    }

    set(Behaviour {
        status: 418,
        ..Behaviour::default()
    });
    assert_eq!(post(&upstream, "r4").await.unwrap().status(), 418);
    set(Behaviour {
        shed: true,
        ..Behaviour::default()
    });
    let answer = post(&upstream, "r5").await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), &answer.headers()["shed"]),
        (503, &"1".parse().unwrap())
    );
    assert_eq!((upstream.runs("r5"), upstream.runs("key-7")), (0, 5));
}

/// Guards against a run that is missing from the log or listed with the wrong end.
#[tokio::test]
async fn log_tells_cancelled_expired_and_complete_apart() {
    let upstream = start(UpstreamSettings {
        slots: 1,
        queue: 1,
        ..UpstreamSettings::default()
    })
    .await;
    upstream.set_behaviour(Behaviour {
        never_answer: true,
        ..Behaviour::default()
    });
    let url = upstream.url();
    let hung = tokio::spawn(
        Client::new()
            .get(&url)
            .header("dandelionseam-request-id", "hung")
            .send(),
    );
    wait_for(&upstream, "hung", Progress::Running).await;

    let late = Client::new()
        .get(&url)
        .header("dandelionseam-request-id", "late");
    let late = late
        .header("dandelionseam-deadline-ms", "20")
        .send()
        .await
        .unwrap();
    assert_eq!(late.status(), 504);
    assert!(!wait_for(&upstream, "late", Progress::Expired).await.ran);

    hung.abort();
    assert!(wait_for(&upstream, "hung", Progress::Cancelled).await.ran);
    upstream.set_behaviour(Behaviour::default());
    post(&upstream, "done").await.unwrap();
    assert!(wait_for(&upstream, "done", Progress::Complete).await.ran);
    assert_eq!(
        (
            upstream.runs("hung"),
            upstream.runs("late"),
            upstream.runs("key-7")
        ),
        (1, 0, 1)
    );
    let runs = Client::new()
        .get(format!("{url}/runs?key=key-7"))
        .send()
        .await
        .unwrap();
    assert_eq!(runs.text().await.unwrap(), r#"{"runs":1}"#);
}

/// Guards against an upstream that takes more calls or connections than it declares.
#[tokio::test]
async fn slots_queue_and_connections_are_bounded() {
    let settings = UpstreamSettings {
        slots: 1,
        queue: 1,
        connections: 3,
        ..UpstreamSettings::default()
    };
    let upstream = start(settings).await;
    upstream.set_behaviour(Behaviour {
        never_answer: true,
        ..Behaviour::default()
    });
    let hold = |id: &'static str| {
        let request = Client::new()
            .get(upstream.url())
            .header("dandelionseam-request-id", id);
        tokio::spawn(request.send())
    };
    let _first = hold("first");
    wait_for(&upstream, "first", Progress::Running).await;
    let _second = hold("second");
    wait_for(&upstream, "second", Progress::Waiting).await;
    let third = Client::new();
    assert_eq!(
        third.get(upstream.url()).send().await.unwrap().status(),
        503
    );
    assert!(Client::new().get(upstream.url()).send().await.is_err());
    assert_eq!(
        third.get(upstream.url()).send().await.unwrap().status(),
        503
    );
}

/// Guards against a drain that cuts off a call, takes new ones, or does not tell the node; and against
/// an upstream that never announces itself.
#[tokio::test]
async fn drain_finishes_calls_and_tells_the_node() {
    // A second stand-in takes the place of the node; its log shows what was announced.
    let node = start(UpstreamSettings::default()).await;
    let settings = UpstreamSettings {
        service: "renewals".into(),
        admin_url: node.url(),
        ..UpstreamSettings::default()
    };
    let upstream = start(settings).await;
    upstream.set_behaviour(Behaviour {
        service_times: steady(300_000),
        ..Behaviour::default()
    });
    wait_for(&node, "", Progress::Complete).await;
    let (running, drained) = tokio::join!(post(&upstream, "running"), async {
        wait_for(&upstream, "running", Progress::Running).await;
        let (left, refused) = tokio::join!(upstream.drain(PATIENCE), async {
            sleep(Duration::from_millis(20)).await;
            post(&upstream, "new").await.unwrap().status()
        });
        (left, refused.as_u16())
    });
    assert_eq!(
        (running.unwrap().status().as_u16(), drained),
        (200, (0, 503))
    );
    assert!(wait_for(&upstream, "new", Progress::Shed).await.draining);
    let seen: Vec<_> = node
        .log()
        .entries
        .into_iter()
        .map(|e| (e.method, e.path))
        .collect();
    assert_eq!(seen.last().unwrap(), &("DELETE".into(), "/announce".into()));
    assert!(
        seen.len() >= 3 && seen[0] == ("POST".into(), "/announce".into()),
        "{seen:?}"
    );
}

/// Guards against a health endpoint that always tells the truth, which no test of the probes could
/// rely on.
#[tokio::test]
async fn health_lags_or_lies_when_asked() {
    let upstream = start(UpstreamSettings::default()).await;
    upstream.drain(PATIENCE).await;
    for (mode, lag, status) in [
        (HealthMode::Honest, 0, 503),
        (HealthMode::Lagging, 600_000, 200),
        (HealthMode::Lying, 0, 200),
    ] {
        let health_lag_ms = lag;
        upstream.set_behaviour(Behaviour {
            health: mode.into(),
            health_lag_ms,
            ..Behaviour::default()
        });
        let url = format!("http://{}/health", upstream.control_address());
        assert_eq!(
            reqwest::get(url).await.unwrap().status(),
            status,
            "{mode:?}"
        );
    }
}

/// Guards against a nested call that loses the identity or the deadline of the outer one.
#[tokio::test]
async fn nested_call_passes_on_id_and_deadline() {
    let inner = start(UpstreamSettings::default()).await;
    inner.set_behaviour(Behaviour {
        never_answer: true,
        ..Behaviour::default()
    });
    let outer = start(UpstreamSettings::default()).await;
    let behaviour = Behaviour {
        nested_url: inner.url(),
        ..Behaviour::default()
    };
    // Control over HTTP, as the demo does it.
    let control = Client::new().post(format!("http://{}/control", outer.control_address()));
    assert_eq!(control.json(&behaviour).send().await.unwrap().status(), 200);
    let call = Client::new()
        .get(outer.url())
        .header("dandelionseam-request-id", "n1");
    let call = call.header("dandelionseam-deadline-ms", "400");
    call.send().await.unwrap();
    let nested = inner.log().entries.remove(0);
    assert_eq!(nested.request_id, "n1");
    assert!((1..=400).contains(&nested.deadline_ms), "{nested:?}");
    inner.set_behaviour(Behaviour {
        status: 500,
        ..Behaviour::default()
    });
    assert_eq!(post(&outer, "n2").await.unwrap().status(), 502);
}
