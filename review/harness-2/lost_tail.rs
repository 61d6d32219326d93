//! A node is stopped as planned while clients behind a thin link read their downloads.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::link::Link;
use crate::mesh::{self, Client, Folder, Node, Record, Route, Seen, Target, Terms, Work, new_id};
use crate::store::Store;
use crate::sys;

/// Rate of the machine's own link in Mbit/s.
const LINK_MBPS: f64 = 7.0;
const CLIENTS: usize = 6;
const ANSWER_BYTES: usize = 540_000;
const DEADLINE: Duration = Duration::from_millis(4000);
const GRACE: Duration = Duration::from_secs(6);

pub fn run(folder: &Path, trouble: bool) -> Option<bool> {
    let record = Record::new(&folder.join("record.txt"));
    let files = Folder::new();
    let store = Store::start();
    let routes = [Route { name: "r-pack", prefix: "/pack/", kind: "download", timeout_ms: 4000, service: "pack-store" }];
    store.write("op/config", &mesh::configuration(12, &["status-desk", "pack-store"], &routes, ""));
    let terms = Terms::default();
    let nodes = [
        Node::new(&files.0, "sidecar-south-b-1", "south-b", "south", "status-desk", store.address, &terms),
        Node::new(&files.0, "sidecar-south-b-2", "south-b", "south", "pack-store", store.address, &terms),
        Node::new(&files.0, "sidecar-south-b-3", "south-b", "south", "pack-store", store.address, &terms),
    ];
    for node in &nodes {
        node.start(true);
    }
    let work = Work { time: Duration::from_millis(72), answer_bytes: ANSWER_BYTES };
    let targets: Vec<Target> = nodes.iter().map(|node| Target::start(node, 12, work.clone(), &record)).collect();
    if !mesh::wait_for(Duration::from_secs(10), || nodes.iter().all(|node| node.is_ready())) {
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let front = &nodes[0];
    let link = Link::start(front.callers, LINK_MBPS);
    let works = Arc::new(AtomicBool::new(true));
    let results: Arc<Mutex<Vec<(f64, f64, String, Seen)>>> = Arc::default();
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (works, results, record, address) = (Arc::clone(&works), Arc::clone(&results), record.clone(), link.address);
        clients.push(thread::spawn(move || {
            let mut client = Client::new(address);
            while works.load(Ordering::SeqCst) {
                let id = new_id();
                let headers = [("Host", "mesh.example"), ("X-Dandelionseam-Attempt-Id", id.as_str()), ("X-Dandelionseam-Deadline-Ms", "4000")];
                let sent = record.now();
                record.line(&format!("sent {id}"));
                let seen = client.send("GET /pack/1 HTTP/1.1", &headers, b"", DEADLINE);
                record.line(&format!("answer {id} {seen:?}"));
                results.lock().unwrap().push((sent, record.now(), id, seen));
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    let stopped_at = record.now();
    if trouble {
        record.say("SIGTERM to the node that takes the requests");
        front.signal(sys::SIGTERM);
    }
    // The platform asks each second; after two misses the clients of this machine get no new work.
    let mut misses = 0;
    let until = Instant::now() + Duration::from_secs(4);
    while misses < 2 && Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        misses = if front.is_ready() { 0 } else { misses + 1 };
    }
    record.say("clients get no new work");
    works.store(false, Ordering::SeqCst);
    if trouble {
        let ended = front.wait_end(GRACE);
        record.say(&format!("node ended by itself: {ended}, {:.2} s after SIGTERM", record.now() - stopped_at));
    }
    for client in clients {
        let _ = client.join();
    }
    let ran: std::collections::HashSet<String> = targets
        .iter()
        .flat_map(|target| target.runs.lock().unwrap().iter().map(|(_, id, _)| id.clone()).collect::<Vec<_>>())
        .collect();
    let results = results.lock().unwrap();
    let mut lost = 0;
    let mut whole = 0;
    for (sent, ended, id, seen) in results.iter() {
        match seen {
            Seen::Whole(_) => whole += 1,
            // The deadline had not passed, and a target had run the request.
            Seen::Cut(..) if ended - sent < DEADLINE.as_secs_f64() - 0.1 && ran.contains(id) => {
                lost += 1;
                record.say(&format!("LOST {id}: sent {:.3} s after SIGTERM, ended {:.3} s after it: {seen:?}", sent - stopped_at, ended - stopped_at));
            }
            Seen::Cut(..) | Seen::NoConnection => record.say(&format!("not counted {id}: {seen:?}, {:.3} s", ended - sent)),
        }
    }
    record.say(&format!("{whole} whole answers, {lost} requests that a target ran and whose answers were cut"));
    Some(lost > 0)
}
