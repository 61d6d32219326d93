//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Value};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// Every call is answered with 503; nothing is done. Leases pause.
    Busy,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    left: Duration,
    ttl: Duration,
}

struct State {
    mode: Mode,
    /// Machines that get no response. A connection on which a response is lost returns nothing
    /// further.
    silent: HashSet<usize>,
    items: BTreeMap<String, Item>,
    /// Revision, key and the event as JSON.
    history: Vec<(u64, String, String)>,
    revision: u64,
    leases: HashMap<u64, Lease>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            mode: Mode::Normal,
            silent: HashSet::new(),
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
            leases: HashMap::new(),
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let expiring = store.clone();
        thread::spawn(move || expiring.expire());
        store
    }

    /// Opens an address for the calls of one machine.
    pub fn listen(&self, ip: &str, machine: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let accepting = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(socket), machine));
            }
        });
        Ok(address)
    }

    /// Sets which machines get no response from now on.
    pub fn set_silent(&self, machines: &[usize]) {
        self.lock().silent = machines.iter().copied().collect();
    }

    fn is_silent(&self, machine: usize) -> bool {
        self.lock().silent.contains(&machine)
    }

    pub fn set(&self, mode: Mode) {
        self.lock().mode = mode;
        self.shared.1.notify_all();
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        put(&mut self.lock(), key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Removes the keys of leases that have ended. Leases pause while the store is down.
    fn expire(&self) {
        let mut last = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(20));
            let elapsed = last.elapsed();
            last = Instant::now();
            let mut state = self.lock();
            if state.mode == Mode::Busy {
                continue;
            }
            for lease in state.leases.values_mut() {
                lease.left = lease.left.saturating_sub(elapsed);
            }
            state.leases.retain(|_, lease| !lease.left.is_zero());
            let ended = state
                .items
                .iter()
                .filter(|(_, item)| item.lease > 0 && !state.leases.contains_key(&item.lease));
            let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
            for key in ended {
                remove(&mut state, &key);
            }
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection, machine: usize) {
        while let Ok(Some(request)) = connection.read(None) {
            if self.is_silent(machine) {
                return hold(connection);
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = if self.lock().mode == Mode::Busy {
                (503, "{}".to_owned())
            } else {
                self.answer(&request)
            };
            if self.is_silent(machine) {
                return hold(connection);
            }
            let start = format!("HTTP/1.1 {status} X");
            let kind = ("Content-Type", "application/json".to_owned());
            if connection.write(&start, &[kind], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = json::parse(&request.body);
        if path == "/v1/kv-watch" {
            let after = text("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
            return self.watch(&text("pathPrefix"), after, wait);
        }
        let mut state = self.lock();
        if let Some(id) = path.strip_prefix("/v1/kv-keep/") {
            let lease = id
                .parse()
                .ok()
                .and_then(|id: u64| state.leases.get_mut(&id));
            return match lease {
                Some(lease) => {
                    lease.left = lease.ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            };
        }
        match path {
            "/v1/kv-key" => match state.items.get(&text("key")) {
                Some(item) => (200, show(&text("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "/v1/kv-range" => {
                let prefix = text("pathPrefix");
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = items.map(|(key, item)| show(key, item)).collect();
                let revision = state.revision;
                let items = items.join(",");
                (
                    200,
                    format!("{{\"items\":[{items}],\"hasMore\":false,\"atRev\":{revision}}}"),
                )
            }
            "/v1/kv-lease" => {
                let ttl = Duration::from_millis(body.get("ttlMs").number());
                let id = 1000 + state.leases.len() as u64 + state.revision * 100;
                state.leases.insert(id, Lease { left: ttl, ttl });
                (
                    200,
                    format!("{{\"leaseId\":{id},\"ttlMs\":{}}}", ttl.as_millis()),
                )
            }
            "/v1/kv-txn" => {
                let answer = transact(&mut state, &body);
                drop(state);
                self.shared.1.notify_all();
                answer
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.mode == Mode::Busy {
                return (503, "{}".to_owned());
            }
            let events = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = if events.is_empty() {
                    after.max(state.revision)
                } else {
                    state.revision
                };
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"atRev\":{revision}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Keeps a connection open without a response until the peer closes it.
fn hold(mut connection: Connection) {
    while let Ok(Some(_)) = connection.read(None) {}
}

fn transact(state: &mut State, body: &Value) -> (u16, String) {
    let expected = body.get("expected").list();
    let holds = expected.iter().all(|row| {
        let known = state.items.get(row.get("key").text());
        known.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        let current = expected.iter().filter_map(|row| {
            let key = row.get("key").text();
            state.items.get(key).map(|item| show(key, item))
        });
        let items: Vec<String> = current.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").list();
    let has_lease = |row: &Value| {
        let lease = row.get("leaseId").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    for row in puts {
        let value = row.get("value").text().to_owned();
        put(
            state,
            row.get("key").text(),
            value,
            row.get("leaseId").number(),
        );
    }
    for key in body.get("remove").list() {
        remove(state, key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn put(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    state
        .history
        .push((revision, key.to_owned(), show(key, &item)));
    state.items.insert(key.to_owned(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_none() {
        return;
    }
    state.revision += 1;
    let event = format!(
        "{{\"key\":\"{key}\",\"revision\":{},\"compacted\":true}}",
        state.revision
    );
    state.history.push((state.revision, key.to_owned(), event));
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"leaseId\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}
