//! Each target of a service truncates one large answer; afterwards the service is asked as before.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::mesh::{self, Client, Folder, Node, Record, Route, Seen, Target, Terms, Work, new_id};
use crate::store::Store;

const DEADLINE: Duration = Duration::from_millis(4000);
/// Length that the truncated answers announce.
const ANNOUNCED: u64 = 64 * 1024 * 1024;

pub fn run(folder: &Path, trouble: bool) -> Option<bool> {
    let record = Record::new(&folder.join("record.txt"));
    let files = Folder::new();
    let store = Store::start();
    let routes = [
        Route { name: "r-status", prefix: "/status/", kind: "safe", timeout_ms: 3000, service: "status-desk" },
        Route { name: "r-pack", prefix: "/pack/", kind: "download", timeout_ms: 4000, service: "pack-store" },
    ];
    store.write("op/config", &mesh::configuration(12, &["status-desk", "pack-store"], &routes, ""));
    let terms = Terms { link_mbps: Some(7.0), ..Terms::default() };
    let places = [("north-a", "north", "status-desk"), ("central-a", "central", "status-desk"), ("south-a", "south", "pack-store"), ("south-b", "south", "pack-store")];
    let nodes: Vec<_> = places
        .iter()
        .map(|(zone, region, service)| Node::new(&files.0, &format!("sidecar-{zone}-1"), zone, region, service, store.address, &terms))
        .collect();
    for node in &nodes {
        node.start(true);
    }
    let targets: Vec<Target> = nodes
        .iter()
        .map(|node| {
            let answer_bytes = if node.service == "pack-store" { 90_000 } else { 1500 };
            Target::start(node, 12, Work { time: Duration::from_millis(60), answer_bytes }, &record)
        })
        .collect();
    if !mesh::wait_for(Duration::from_secs(10), || nodes.iter().all(|node| node.is_ready())) {
        return None;
    }
    thread::sleep(Duration::from_secs(8));
    let works = Arc::new(AtomicBool::new(true));
    let seen: Arc<Mutex<Vec<(f64, &str, String)>>> = Arc::default();
    let mut clients = Vec::new();
    for node in &nodes[..2] {
        for (path, pause) in [("/status/1", 100), ("/pack/1", 300)] {
            let (works, seen, record, address) = (Arc::clone(&works), Arc::clone(&seen), record.clone(), node.callers);
            clients.push(thread::spawn(move || {
                let mut client = Client::new(address);
                while works.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(pause));
                    let id = new_id();
                    let headers = [("Host", "mesh.example"), ("X-Dandelionseam-Attempt-Id", id.as_str()), ("X-Dandelionseam-Deadline-Ms", "4000")];
                    let sent = record.now();
                    record.line(&format!("sent {id} {path}"));
                    let answer = client.send(&format!("GET {path} HTTP/1.1"), &headers, b"", DEADLINE);
                    record.line(&format!("answer {id} {answer:?}"));
                    let text = match answer {
                        Seen::Whole(status) => status.to_string(),
                        Seen::Cut(..) => "cut".to_owned(),
                        Seen::NoConnection => "no connection".to_owned(),
                    };
                    seen.lock().unwrap().push((sent, path, text));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(10));
    let trouble_at = record.now();
    if trouble {
        record.say("each target of pack-store truncates one answer");
        for target in &targets[2..] {
            target.breaks_off.store(ANNOUNCED, Ordering::SeqCst);
        }
    }
    thread::sleep(Duration::from_secs(15));
    let judged_from = record.now();
    thread::sleep(Duration::from_secs(60));
    works.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let share = |path: &str, from: f64, until: f64| {
        let chosen = seen.iter().filter(|(sent, known, _)| known.starts_with(path) && *sent >= from && *sent < until);
        let all: Vec<String> = chosen.map(|(.., text)| text.clone()).collect();
        let served = all.iter().filter(|text| *text == "200").count();
        let share = served as f64 / all.len().max(1) as f64;
        record.say(&format!("{path} sent from {from:.1} to {until:.1}: {} ({share:.2} served)", mesh::tally(&all)));
        share
    };
    share("/pack/", 0.0, trouble_at);
    share("/pack/", judged_from, record.now());
    let all = share("/", trouble_at, record.now());
    let packs = share("/pack/", trouble_at, record.now());
    Some(packs < all / 4.0)
}
