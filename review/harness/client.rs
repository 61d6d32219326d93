//! Clients, and what they saw.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// End of one request as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Status(u16),
    Closed,
    TimedOut,
}

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub machine: String,
    pub sent: Duration,
    pub end: End,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    pub body: &'static [u8],
    /// Whether the body is sent in chunks, without a declared length.
    pub is_chunked: bool,
}

#[derive(Clone)]
pub struct Clients {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    next_id: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self {
            attempts: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
            stopped: Arc::default(),
            record: record.clone(),
        }
    }

    /// Sends one request over a new connection.
    pub fn send(&self, machine: &str, outbound: SocketAddr, class: &Class) -> Attempt {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let headers = [
            ("Host", class.host.to_owned()),
            ("X-Dandelionseam-Attempt-Id", id.clone()),
            (
                "X-Dandelionseam-Deadline-Ms",
                class.deadline.as_millis().to_string(),
            ),
        ];
        let sent = self.record.now();
        let start = format!("{} {} HTTP/1.1", class.method, class.path);
        let (length, framing) = (
            class.body.len(),
            if class.is_chunked {
                "in chunks"
            } else {
                "with a length"
            },
        );
        self.record.note(&format!(
            "client on {machine} sends {id}: {start}, body of {length} bytes {framing}"
        ));
        let answer = http::exchange_framed(
            outbound,
            &start,
            &headers,
            class.body,
            class.deadline,
            class.is_chunked,
        );
        let end = match answer {
            Ok(answer) => End::Status(answer.status()),
            Err(error) if matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                End::TimedOut
            }
            Err(_) => End::Closed,
        };
        self.record.note(&format!(
            "client on {machine} sees the end of {id}: {end:?}"
        ));
        let attempt = Attempt {
            id,
            machine: machine.to_owned(),
            sent,
            end,
        };
        self.attempts.lock().unwrap().push(attempt.clone());
        attempt
    }

    /// Sends requests of a class, one after the other with a pause, until `stop` is called.
    pub fn begin(&self, machine: &str, outbound: SocketAddr, class: Class, pause: Duration) {
        let (clients, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || {
            while !clients.stopped.load(Ordering::SeqCst) {
                clients.send(&machine, outbound, &class);
                thread::sleep(pause);
            }
        });
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub fn all(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }
}
