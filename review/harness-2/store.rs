//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Normal,
    /// Every call gets 503.
    Down,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    mode: Mode,
    /// Whether leases expire while the store is down; otherwise they pause.
    lapses: bool,
    down_since: Instant,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port for the store");
        let address = listener.local_addr().expect("address");
        let state = State {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 100,
            leases: HashMap::new(),
            next_lease: 7000,
            mode: Mode::Normal,
            lapses: false,
            down_since: Instant::now(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        store
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, encode_base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Takes the store down or brings it back. `lapses`: leases expire meanwhile; otherwise they pause.
    pub fn set(&self, mode: Mode, lapses: bool) {
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Normal && mode == Mode::Down {
            state.down_since = Instant::now();
            state.lapses = lapses;
        }
        if state.mode == Mode::Down && mode == Mode::Normal {
            let (pause, lapses) = (state.down_since.elapsed(), state.lapses);
            for (until, _) in state.leases.values_mut() {
                *until = if lapses { Instant::now() } else { *until + pause };
            }
        }
        state.mode = mode;
        drop(state);
        self.expire();
        self.state.1.notify_all();
    }

    /// Keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            state.leases.remove(lease);
        }
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease > 0 && ended.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            state.remove(key);
        }
        if !keys.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else { return };
            let (status, answer) = self.answer(&head, &body);
            let line = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            if http::write_message(&mut stream, &line, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (u16, String) {
        let target = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Down {
            return (503, "{}".to_owned());
        }
        if path == "/v1/kv-watch" {
            let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
            let (prefix, after) = (text("pathPrefix"), number("after"));
            loop {
                if state.mode == Mode::Down {
                    return (503, "{}".to_owned());
                }
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => show(key, item),
                        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"compacted\":true}}"),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return (200, format!("{{\"events\":[{}],\"atRev\":{}}}", events.join(","), state.revision));
                }
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
        }
        let answer = state.answer(head.method(), path, &text("key"), &text("pathPrefix"), &body);
        drop(state);
        self.state.1.notify_all();
        answer
    }
}

impl State {
    fn answer(&mut self, method: &str, path: &str, key: &str, prefix: &str, body: &Json) -> (u16, String) {
        if let Some(lease) = path.strip_prefix("/v1/kv-keep/") {
            let lease = lease.parse().unwrap_or(0);
            return match self.leases.get_mut(&lease) {
                Some((until, life)) => {
                    *until = Instant::now() + *life;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = path.strip_prefix("/v1/kv-lease-end/") {
            if let Some((until, _)) = self.leases.get_mut(&lease.parse().unwrap_or(0)) {
                *until = Instant::now();
            }
            return (200, "{}".to_owned());
        }
        match (method, path) {
            ("GET", "/v1/kv-key") => match self.items.get(key) {
                Some(item) => (200, show(key, item)),
                None => (404, "{}".to_owned()),
            },
            ("GET", "/v1/kv-range") => {
                let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let items: Vec<String> = items.map(|(key, item)| show(key, item)).collect();
                (200, format!("{{\"items\":[{}],\"hasMore\":false,\"atRev\":{}}}", items.join(","), self.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let life = body.get("ttlMs").number().clamp(1000, 600_000);
                self.next_lease += 1;
                let until = Instant::now() + Duration::from_millis(life);
                self.leases.insert(self.next_lease, (until, Duration::from_millis(life)));
                (200, format!("{{\"leaseId\":{},\"ttlMs\":{life}}}", self.next_lease))
            }
            ("POST", "/v1/kv-txn") => self.transact(body),
            _ => (400, "{}".to_owned()),
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected").list();
        let holds = expected.iter().all(|row| {
            let known = self.items.get(row.get("key").text());
            known.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(show(key, self.items.get(key)?))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let has_lease = |row: &Json| {
            let lease = row.get("leaseId").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            self.put(row.get("key").text(), row.get("value").text().to_owned(), row.get("leaseId").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"leaseId\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (other, _) => {
                out.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
