//! Nodes as separate processes, targets beside them, and the record of a run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::sys;

/// Ports below the range of outgoing connections and that of the soak; scripts that run beside each other
/// begin at different ones.
static FIRST_PORT: OnceLock<u16> = OnceLock::new();
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// What was sent, answered and run, with times from the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }
}

/// Id of one attempt of a client.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}

/// A port that nothing listens on, between 3000 and 9999.
fn free_port() -> u16 {
    let start = FIRST_PORT.get_or_init(|| {
        let seed = unix_ms().wrapping_mul(31).wrapping_add(u64::from(std::process::id()) * 7919);
        u16::try_from(seed % 7000).unwrap_or(0)
    });
    loop {
        let port = 3000 + (start + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 7000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}

/// Settings that a case adds to those of every node.
#[derive(Clone, Default)]
pub struct Terms {
    pub extra: String,
    /// Rate of the machine's link; 1000 Mbit/s when it is not set.
    pub link_mbps: Option<f64>,
}

/// One node: its addresses and its process.
pub struct Node {
    pub name: String,
    pub service: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub target: SocketAddr,
    settings: PathBuf,
    text: String,
    child: Mutex<Option<Child>>,
}

impl Node {
    /// Writes the settings as the template of the deploy file gives them. Nothing is started yet.
    pub fn new(folder: &Path, name: &str, zone: &str, region: &str, service: &str, store: SocketAddr, terms: &Terms) -> Arc<Self> {
        let [callers, peers, ready, control, metrics, target] = std::array::from_fn(|_| free_address());
        let text = format!(
            "[node]\nid = {name}\nregion = {region}\ndomain = {zone}\n@FIRST@\n[listen]\ncallers = {callers}\npeers = {peers}\n\
             ready = {ready}\nannouncements = {control}\nmetrics = {metrics}\n\n[store]\naddresses = http://{}\n\n\
             [upstream]\nservice = {service}\naddress = {target}\n\n[retries]\nratio = 0.2\nslack = 64\n\n{}\
             [link]\nrate_mbit = {:.1}\n\n[stop]\ngrace_s = 6\n\n[log]\noutput = stdout\nformat = json\n",
            store,
            terms.extra,
            terms.link_mbps.unwrap_or(1000.0)
        );
        Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            callers,
            control,
            ready,
            metrics,
            target,
            settings: folder.join(format!("{name}.ini")),
            text,
            child: Mutex::new(None),
        })
    }

    /// Starts the process; `first` is true only when the whole system starts for the first time.
    pub fn start(&self, first: bool) {
        let mark = if first { "first_start = yes\n" } else { "" };
        std::fs::write(&self.settings, self.text.replace("@FIRST@\n", mark)).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log");
        let child = Command::new("target/release/dandelionseam-sidecar")
            .env("DANDELIONSEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => *self.child.lock().unwrap() = Some(child),
            Err(error) => {
                eprintln!("cannot start target/release/dandelionseam-sidecar: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            sys::signal(child.id(), number);
        }
    }

    /// Waits until the process has ended; false if it has not in time.
    pub fn wait_end(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut child = self.child.lock().unwrap();
            match child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => {}
                _ => {
                    *child = None;
                    return true;
                }
            }
            drop(child);
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn kill(&self) {
        self.signal(sys::SIGCONT);
        self.signal(sys::SIGKILL);
        self.wait_end(Duration::from_secs(5));
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET /v1/ready HTTP/1.1", &[], b"", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Time in seconds until the node is ready; `None` if it is not in time.
    pub fn wait_ready(&self, limit: Duration) -> Option<f64> {
        let start = Instant::now();
        wait_for(limit, || self.is_ready()).then(|| start.elapsed().as_secs_f64())
    }

    /// A number from the metrics of the node.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let (_, text) = http::call(self.metrics, "GET /metrics HTTP/1.1", &[], b"", Duration::from_millis(500))?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let line = text.lines().find(|line| line.starts_with(&format!("{name} ")))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a target treats requests.
#[derive(Clone, Debug)]
pub struct Work {
    pub time: Duration,
    pub answer_bytes: usize,
}

/// Target beside a node. Clones share one state.
#[derive(Clone)]
pub struct Target {
    pub service: String,
    pub address: SocketAddr,
    control: SocketAddr,
    pub instance: Arc<Mutex<String>>,
    pub born: Arc<AtomicU64>,
    pub slots: u32,
    work: Work,
    running: Arc<AtomicU32>,
    pub state: Arc<Mutex<&'static str>>,
    pub runs: Arc<Mutex<Vec<(f64, String, String)>>>,
    /// Length that the next answer announces before it breaks off; 0 for none.
    pub breaks_off: Arc<AtomicU64>,
    is_open: Arc<AtomicBool>,
    record: Record,
    sequence: Arc<AtomicU64>,
}

impl Target {
    pub fn start(node: &Node, slots: u32, work: Work, record: &Record) -> Self {
        let target = Self {
            service: node.service.clone(),
            address: node.target,
            control: node.control,
            instance: Arc::new(Mutex::new(format!("i-{}", new_id()))),
            born: Arc::new(AtomicU64::new(unix_ms())),
            slots,
            work,
            running: Arc::default(),
            state: Arc::new(Mutex::new("ready")),
            runs: Arc::default(),
            breaks_off: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
            sequence: Arc::default(),
        };
        let listener = TcpListener::bind(target.address).expect("port of a target");
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_open.load(Ordering::SeqCst) {
                    return;
                }
                let target = accepting.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        let beating = target.clone();
        thread::spawn(move || loop {
            if *beating.state.lock().unwrap() != "silent" {
                beating.beat();
            }
            thread::sleep(Duration::from_millis(1500));
        });
        target
    }

    /// Sends one heartbeat; returns the status of its answer.
    pub fn beat(&self) -> Option<u16> {
        let state = *self.state.lock().unwrap();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\"coldLeftMs\":0}}}}",
            self.address,
            self.born.load(Ordering::SeqCst),
            self.service,
            self.slots
        );
        let instance = self.instance.lock().unwrap().clone();
        self.post(&format!("/v1/Instances.Heartbeat/{instance}"), &body)
    }

    /// Tells the node that this target leaves; returns the status of the answer.
    pub fn leave(&self) -> Option<u16> {
        *self.state.lock().unwrap() = "silent";
        let instance = self.instance.lock().unwrap().clone();
        let body = format!("{{\"born\":{}}}", self.born.load(Ordering::SeqCst));
        self.post(&format!("/v1/Instances.Leave/{instance}"), &body)
    }

    fn post(&self, path: &str, body: &str) -> Option<u16> {
        let headers = [("Content-Type", "application/json")];
        let line = format!("POST {path} HTTP/1.1");
        let answer = http::call(self.control, &line, &headers, body.as_bytes(), Duration::from_secs(1));
        answer.map(|(status, _)| status)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head, false).is_err() || self.answer(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &http::Head) -> std::io::Result<()> {
        let id = head.get("x-dandelionseam-attempt-id").to_owned();
        let instance = self.instance.lock().unwrap().clone();
        let expected = head.get("x-dandelionseam-expect-instance");
        let ids = ("X-Dandelionseam-Attempt-Id", id.as_str());
        if !expected.is_empty() && expected != instance {
            let headers = [ids, ("X-Dandelionseam-Instance-Id", instance.as_str())];
            return http::write_message(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if self.running.load(Ordering::SeqCst) >= 3 * self.slots {
            let headers = [ids, ("X-Dandelionseam-Not-Executed", "1")];
            return http::write_message(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("run {id} at {instance} of {} {}", self.service, head.target()));
        let tenant = head.get("x-dandelionseam-tenant").to_owned();
        self.runs.lock().unwrap().push((self.record.now(), id.clone(), tenant));
        thread::sleep(self.work.time);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let seal = format!("seal-{instance}");
        let headers = [ids, ("X-Dandelionseam-Server-Seal", seal.as_str())];
        let announced = self.breaks_off.swap(0, Ordering::SeqCst);
        if announced > 0 {
            self.record.line(&format!("answer of {id} announces {announced} bytes and breaks off"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Dandelionseam-Attempt-Id: {id}\r\nX-Dandelionseam-Server-Seal: {seal}\r\nContent-Length: {announced}\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(&[b'b'; 32 * 1024])?;
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let body = vec![b'b'; self.work.answer_bytes];
        http::write_message(stream, "HTTP/1.1 200 OK", &headers, &body)
    }
}

/// Answer as a client saw it.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended early: status if a head came, bytes of the body, length that was announced.
    Cut(Option<u16>, usize, String),
    /// No connection.
    NoConnection,
}

/// Client with one kept connection.
pub struct Client {
    pub address: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request and reads its answer, on the kept connection if there is one.
    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8], deadline: Duration) -> Seen {
        let (mut stream, mut reader) = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else {
                    return Seen::NoConnection;
                };
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return Seen::NoConnection };
                (stream, BufReader::new(reading))
            }
        };
        let _ = stream.set_read_timeout(Some(deadline));
        if let Err(error) = http::write_message(&mut stream, line, headers, body) {
            return Seen::Cut(None, 0, error.to_string());
        }
        let head = match http::read_head(&mut reader) {
            Ok(Some(head)) => head,
            Ok(None) => return Seen::Cut(None, 0, "closed".to_owned()),
            Err(error) => return Seen::Cut(None, 0, error.to_string()),
        };
        let status = head.status();
        match http::read_body(&mut reader, &head, true) {
            Ok(_) => {
                if !head.closes() {
                    self.connection = Some((stream, reader));
                }
                Seen::Whole(status)
            }
            Err((body, error)) => Seen::Cut(Some(status), body.len(), format!("{error}, {} announced", head.get("content-length"))),
        }
    }
}

/// Largest number of times within a window of `length` seconds, and the start of that window.
pub fn busiest_window(times: &[f64], length: f64) -> (usize, f64) {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    let mut best = (0, 0.0);
    let mut end = 0;
    for (start, first) in times.iter().enumerate() {
        while end < times.len() && times[end] < first + length {
            end += 1;
        }
        if end - start > best.0 {
            best = (end - start, *first);
        }
    }
    best
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_for<F: Fn() -> bool>(limit: Duration, condition: F) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub service: &'a str,
}

/// Builds a configuration with one host, `mesh.example`. `tenants` is inserted as it is.
pub fn configuration(version: u32, services: &[&str], routes: &[Route<'_>], tenants: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\"sloMs\":1000,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":2,\"public\":false}}",
                route.name, route.prefix, route.kind, route.timeout_ms, route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},{tenants}\"virtualHosts\":[{{\"host\":\"mesh.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

/// Temporary folder that is removed in the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Counts of what clients saw, by text.
pub fn tally(seen: &[String]) -> String {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for text in seen {
        *counts.entry(text).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    let counts: Vec<String> = counts.iter().map(|(text, count)| format!("{text}: {count}")).collect();
    counts.join(", ")
}
