//! Stand-in of a target, as PROTOCOL.md describes it.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::record::Record;

const BEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// A heartbeat counts as acknowledged if its answer arrives within this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

pub const SLOTS: u64 = 12;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
    pub instance: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether the answer was sent before the target ended.
    pub is_answered: bool,
}

#[derive(Clone)]
pub struct Target {
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub instance: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born: u128,
    work: Duration,
    sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Target {
    pub fn start(
        machine: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        control: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let target = Self {
            machine: machine.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            instance: format!(
                "i-{:08x}",
                clock.subsec_nanos() ^ u32::from(address.port()) << 16
            ),
            address,
            control,
            born: clock.as_millis(),
            work,
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            ended: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address)?;
        let accepting = target.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(socket)));
            }
        });
        let beating = target.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                let beat = beating.new_beat("ready");
                beating.send_beat(&beat);
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(target)
    }

    /// Body of a heartbeat with the next sequence number.
    pub fn new_beat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\
             \"seq\":{sequence},\"coldLeftMs\":0}}}}",
            self.address, self.born, self.service, self.zone
        )
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn send_beat(&self, body: &str) -> bool {
        self.post(&format!("/v1/Instances.Heartbeat/{}", self.instance), body)
    }

    /// Sends a heartbeat that was held up on the way, as soon as the node accepts a connection.
    /// Returns whether it was acknowledged.
    pub fn deliver_late(&self, body: &str, limit: Duration) -> bool {
        let end = self.record.now() + limit;
        while self.record.now() < end {
            if Connection::connect(self.control, ACK_TIMEOUT).is_ok() {
                let is_acknowledged = self.send_beat(body);
                self.record.note(&format!(
                    "late heartbeat of {} delivered to {}, acknowledged: {is_acknowledged}: {body}",
                    self.instance, self.machine
                ));
                return is_acknowledged;
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Says that the target leaves; returns whether that was acknowledged. It goes on serving.
    pub fn leave(&self) -> bool {
        self.stop_beats();
        let body = format!("{{\"born\":{}}}", self.born);
        let path = format!("/v1/Instances.Leave/{}", self.instance);
        let is_acknowledged = self.post(&path, &body);
        self.record.say(&format!(
            "{} ({}, beside {}) said that it leaves, acknowledged: {is_acknowledged}",
            self.instance, self.service, self.machine
        ));
        is_acknowledged
    }

    /// Ends the target. Requests at which it is at work get no answer.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.stop_beats();
        let _ = std::net::TcpStream::connect(self.address);
        self.record.say(&format!("{} ends", self.instance));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn post(&self, path: &str, body: &str) -> bool {
        let headers = [
            ("Host", self.control.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let start = format!("POST {path} HTTP/1.1");
        let answer = http::exchange(self.control, &start, &headers, body.as_bytes(), ACK_TIMEOUT);
        answer
            .is_ok_and(|answer| (200..300).contains(&answer.status()) && answer.body.len() <= 4096)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(None) {
            if self.ended.load(Ordering::SeqCst) || self.answer(&mut connection, &request).is_none()
            {
                return;
            }
        }
    }

    /// Runs one request; `None` when the connection ends.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<()> {
        let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let id = text("x-dandelionseam-attempt-id");
        let expected = text("x-dandelionseam-expect-instance");
        let echo = ("X-Dandelionseam-Attempt-Id", id.clone());
        if !expected.is_empty() && expected != self.instance {
            self.record
                .note(&format!("{} rejects {id}: 421", self.instance));
            return connection
                .write("HTTP/1.1 421 Misdirected", &[echo], b"")
                .ok();
        }
        if id.is_empty() {
            let mark = ("X-Dandelionseam-Not-Executed", "1".to_owned());
            return connection
                .write("HTTP/1.1 400 Bad Request", &[mark], b"")
                .ok();
        }
        let caller = text("x-dandelionseam-caller-service");
        let run = Run {
            id: id.clone(),
            at: self.record.now(),
            instance: self.instance.clone(),
            path: request.word(1).to_owned(),
            body: request.body.clone(),
            is_answered: false,
        };
        self.record.note(&format!(
            "{} ({}) runs {id}: {} for caller service `{caller}`, body of {} bytes",
            self.instance,
            self.service,
            request.start,
            request.body.len()
        ));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        thread::sleep(self.work);
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let seal = (
            "X-Dandelionseam-Server-Seal",
            format!("seal-{}", self.instance),
        );
        let body = format!("{id} from {}", self.instance);
        connection
            .write("HTTP/1.1 200 OK", &[echo, seal], body.as_bytes())
            .ok()?;
        self.runs.lock().unwrap()[index].is_answered = true;
        Some(())
    }
}
