//! A target leaves while the store is down, and all nodes are killed before the store is back.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::mesh::{self, Client, Folder, Node, Record, Route, Seen, Target, Terms, Work, new_id};
use crate::store::{Mode, Store};
use crate::sys;

const DRAIN_S: f64 = 2.5;
const STABLE_S: f64 = 4.0;
const DEADLINE: Duration = Duration::from_millis(2000);

pub fn run(folder: &Path, trouble: bool) -> Option<bool> {
    let record = Record::new(&folder.join("record.txt"));
    let files = Folder::new();
    let store = Store::start();
    let routes = [Route { name: "r-renew", prefix: "/renew/", kind: "unsafe", timeout_ms: 2000, service: "renewals" }];
    store.write("op/config", &mesh::configuration(12, &["status-desk", "renewals"], &routes, ""));
    let zones = [("north-a", "north"), ("central-a", "central"), ("south-a", "south"), ("north-b", "north"), ("central-b", "central"), ("south-b", "south")];
    let terms = Terms::default();
    let nodes: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(index, (zone, region))| {
            let service = if index < 3 { "renewals" } else { "status-desk" };
            Node::new(&files.0, &format!("sidecar-{zone}-1"), zone, region, service, store.address, &terms)
        })
        .collect();
    for node in &nodes {
        node.start(true);
    }
    let work = Work { time: Duration::from_millis(20), answer_bytes: 400 };
    let targets: Vec<Target> = nodes.iter().map(|node| Target::start(node, 12, work.clone(), &record)).collect();
    if !mesh::wait_for(Duration::from_secs(10), || nodes.iter().all(|node| node.is_ready())) {
        return None;
    }
    thread::sleep(Duration::from_secs(8));
    let works = Arc::new(AtomicBool::new(true));
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (works, seen, record, address) = (Arc::clone(&works), Arc::clone(&seen), record.clone(), node.callers);
            thread::spawn(move || {
                let mut client = Client::new(address);
                while works.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(100));
                    let id = new_id();
                    let headers = [("Host", "mesh.example"), ("X-Dandelionseam-Attempt-Id", id.as_str()), ("X-Dandelionseam-Deadline-Ms", "2000")];
                    record.line(&format!("sent {id}"));
                    let answer = client.send("POST /renew/1 HTTP/1.1", &headers, b"permit", DEADLINE);
                    record.line(&format!("answer {id} {answer:?}"));
                    seen.lock().unwrap().push(match answer {
                        Seen::Whole(status) => status.to_string(),
                        Seen::Cut(..) => "cut".to_owned(),
                        Seen::NoConnection => "no connection".to_owned(),
                    });
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let leaving = &targets[0];
    if trouble {
        record.say("the store is down");
        store.set(Mode::Down, false);
        thread::sleep(Duration::from_secs(1));
    }
    let instance = leaving.instance.lock().unwrap().clone();
    let mut acknowledged_at = None;
    for _ in 0..3 {
        let status = leaving.leave();
        record.say(&format!("{instance} beside {} leaves: {status:?}", nodes[0].name));
        if status.is_some_and(|status| (200..300).contains(&status)) {
            acknowledged_at = Some(record.now());
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let Some(acknowledged_at) = acknowledged_at else {
        record.say("the leave was not acknowledged");
        return None;
    };
    let mut in_touch_at = acknowledged_at;
    if trouble {
        thread::sleep(Duration::from_millis(300));
        record.say("all nodes are killed");
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
        record.say("all nodes start");
        thread::sleep(Duration::from_secs(1));
        store.set(Mode::Normal, false);
        record.say("the store answers again");
        in_touch_at = record.now() + STABLE_S;
    }
    // The target serves on for many seconds.
    thread::sleep(Duration::from_secs(12));
    works.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs.iter().filter(|(time, ..)| *time > acknowledged_at + DRAIN_S).collect();
    let counted = late.iter().filter(|(time, ..)| *time > in_touch_at).count();
    for (time, id, _) in &late {
        let mark = if *time > in_touch_at { "DRAIN" } else { "not counted, machines not in touch yet:" };
        record.line(&format!("{mark} {id} ran {:.3} s after the acknowledgement", time - acknowledged_at));
    }
    record.say(&format!("answers: {}", mesh::tally(&seen.lock().unwrap())));
    record.say(&format!(
        "{} requests ran at {instance} later than {DRAIN_S} s after the acknowledgement, {counted} of them sent on by machines in touch",
        late.len()
    ));
    Some(counted > 0)
}
