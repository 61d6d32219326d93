//! The configuration grows to nearly the largest value of the store, and all processes are killed. The
//! machines have thin links.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::link::Link;
use crate::mesh::{self, Client, Folder, Node, Record, Seen, Target, Terms, Work, new_id};
use crate::store::Store;
use crate::sys;

/// Rate of the links of the machines, of the sheet of the grown permit mesh (7 to 140 Mbit/s).
const LINK_MBPS: f64 = 7.0;
/// Largest value of the store.
const MAX_VALUE_BYTES: usize = 1_048_576;
const BASE_ROUTES: usize = 1120;
/// Routes that each growth adds, and how often it comes.
const GROWTH: usize = 1400;
const GROWTHS: usize = 3;
const RECOVERY_S: f64 = 15.0;
const DEADLINE: Duration = Duration::from_millis(3000);

fn configuration(version: u32, routes: usize) -> String {
    let services = ["status-desk", "renewals"];
    let known = services.map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":570,\"protocol\":\"h1\",\"tls\":false}}"));
    let rows: Vec<String> = (0..routes)
        .map(|index| {
            let (name, prefix, kind, service) = match index {
                0 => ("r-permit-status".to_owned(), "/permits/status/".to_owned(), "safe", services[0]),
                _ => (
                    format!("r-council-{index:05}-renewal"),
                    format!("/councils/{index:05}/permits/renew/"),
                    "unsafe",
                    services[1],
                ),
            };
            format!(
                "{{\"name\":\"{name}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":3000,\"sloMs\":1000,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"virtualHosts\":[{{\"host\":\"mesh.example\",\"paths\":[{}]}}]}}",
        known.join(","),
        rows.join(",")
    )
}

pub fn run(folder: &Path, trouble: bool) -> Option<bool> {
    let record = Record::new(&folder.join("record.txt"));
    let files = Folder::new();
    let store = Store::start();
    store.write("op/config", &configuration(12, BASE_ROUTES));
    let places = [("north-a", "north", "status-desk"), ("central-a", "central", "status-desk"), ("south-a", "south", "renewals"), ("south-b", "south", "renewals")];
    let terms = Terms { link_mbps: Some(LINK_MBPS), ..Terms::default() };
    let nodes: Vec<_> = places
        .iter()
        .map(|(zone, region, service)| {
            let link = Link::start(store.address, LINK_MBPS);
            Node::new(&files.0, &format!("sidecar-{zone}-1"), zone, region, service, link.address, &terms)
        })
        .collect();
    for node in &nodes {
        node.start(true);
    }
    let work = Work { time: Duration::from_millis(60), answer_bytes: 1500 };
    let _targets: Vec<Target> = nodes.iter().map(|node| Target::start(node, 12, work.clone(), &record)).collect();
    if !mesh::wait_for(Duration::from_secs(10), || nodes.iter().all(|node| node.is_ready())) {
        return None;
    }
    thread::sleep(Duration::from_secs(8));
    let works = Arc::new(AtomicBool::new(true));
    let seen: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (works, seen, record, address) = (Arc::clone(&works), Arc::clone(&seen), record.clone(), node.callers);
            thread::spawn(move || {
                let mut client = Client::new(address);
                while works.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(200));
                    let id = new_id();
                    let headers = [("Host", "mesh.example"), ("X-Dandelionseam-Attempt-Id", id.as_str()), ("X-Dandelionseam-Deadline-Ms", "3000")];
                    let sent = record.now();
                    record.line(&format!("sent {id}"));
                    let answer = client.send("GET /permits/status/1 HTTP/1.1", &headers, b"", DEADLINE);
                    record.line(&format!("answer {id} {answer:?}"));
                    let text = match answer {
                        Seen::Whole(status) => status.to_string(),
                        Seen::Cut(..) => "cut".to_owned(),
                        Seen::NoConnection => "no connection".to_owned(),
                    };
                    seen.lock().unwrap().push((sent, text));
                }
            })
        })
        .collect();
    let versions = |text: &str| {
        let versions: Vec<String> = nodes.iter().map(|node| node.metric("dandelionseam_version").map_or("-".to_owned(), |version| version.to_string())).collect();
        record.say(&format!("{text}: versions {}", versions.join(", ")));
    };
    thread::sleep(Duration::from_secs(3));
    if trouble {
        for growth in 1..=GROWTHS {
            let text = configuration(12 + u32::try_from(growth).unwrap_or(0), BASE_ROUTES + growth * GROWTH);
            assert!(text.len() <= MAX_VALUE_BYTES);
            record.say(&format!("version {} with {} routes, {} bytes", 12 + growth, BASE_ROUTES + growth * GROWTH, text.len()));
            store.write("op/config", &text);
            thread::sleep(Duration::from_secs(6));
            versions("6 s later");
        }
    }
    let killed_at = record.now();
    if trouble {
        record.say("all processes are killed");
        for node in &nodes {
            node.signal(sys::SIGKILL);
        }
        for node in &nodes {
            node.wait_end(Duration::from_secs(5));
        }
        thread::sleep(Duration::from_millis(500));
        for node in &nodes {
            node.start(false);
        }
        record.say("all processes are started again");
    }
    let back_at = record.now();
    thread::sleep(Duration::from_secs_f64(RECOVERY_S));
    let ready = nodes.iter().filter(|node| node.is_ready()).count();
    record.say(&format!("{ready} of {} nodes are ready {RECOVERY_S} s later", nodes.len()));
    thread::sleep(Duration::from_secs(25));
    let ready = nodes.iter().filter(|node| node.is_ready()).count();
    record.say(&format!("{ready} of {} nodes are ready 40 s after their start", nodes.len()));
    versions("in the end");
    works.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let share = |from: f64, until: f64| {
        let all: Vec<String> = seen.iter().filter(|(sent, _)| *sent >= from && *sent < until).map(|(_, text)| text.clone()).collect();
        let served = all.iter().filter(|text| *text == "200").count();
        let share = served as f64 / all.len().max(1) as f64;
        record.say(&format!("sent from {from:.1} to {until:.1}: {} ({share:.2} served)", mesh::tally(&all)));
        share
    };
    let before = share(0.0, killed_at);
    let after = share(back_at + RECOVERY_S, record.now());
    Some(before >= 0.25 && after < 0.25)
}
