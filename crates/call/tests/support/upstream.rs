use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// How the upstream answers a request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with the request id, a line feed, the body of the request and padding up to a
    /// length.
    Echo(usize),
    /// Answers with this status and an empty body.
    Status(u16),
    /// Answers with a 503 that states that no work was done.
    Shed,
    /// Reads the request, then closes the connection without an answer.
    CloseBeforeHead,
    /// Sends the head and half of the body, then closes the connection.
    CloseInBody,
    /// As `CloseInBody`, with a chunked body.
    CloseInChunks,
    /// Sends a body that is delimited only by the end of the connection.
    Lengthless,
    /// As `Lengthless`, but resets the connection instead of closing it.
    LengthlessReset,
    /// Reads the request and never answers it.
    Silent,
    /// Sends the head and half of the body, then nothing more.
    SilentInBody,
    /// Answers as `Echo` without padding, after this time.
    Slow(Duration),
    /// As `Slow`, with further header lines, each with its line end.
    Headers(Duration, &'static str),
    /// Sends the first text, then the second one over and over until the client closes the
    /// connection.
    Endless(&'static str, &'static str),
    /// As `Endless`, but sends the second text only every 20 ms.
    EndlessSlow(&'static str, &'static str),
}

/// Size of one write of [`Behaviour::Endless`].
const ENDLESS_WRITE_BYTES: usize = 64 * 1024;

/// Interval of the writes of [`Behaviour::EndlessSlow`].
const ENDLESS_WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Upstream that speaks HTTP on raw sockets, so that it can stop at any byte. It counts each
/// request that arrived completely as a run, unless it sheds the request.
#[derive(Clone)]
pub struct Upstream(Arc<State>);

struct State {
    address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<String>>,
    closed_early: AtomicU32,
    running: AtomicU32,
    max_running: AtomicU32,
}

impl Upstream {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = Arc::new(State {
            address: listener.local_addr().unwrap(),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
            closed_early: AtomicU32::new(0),
            running: AtomicU32::new(0),
            max_running: AtomicU32::new(0),
        });
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn(serve(Arc::clone(&shared), socket));
            }
        });
        Self(state)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.0.behaviour.lock().unwrap() = behaviour;
    }

    pub fn total_runs(&self) -> usize {
        self.0.runs.lock().unwrap().len()
    }

    /// Waits until the client has closed a connection before the end of its answer.
    pub async fn wait_closed_early(&self) {
        wait(|| self.0.closed_early.load(Ordering::SeqCst) > 0).await;
    }

    /// Waits until a request with this id has arrived.
    pub async fn wait_run(&self, id: &str) {
        wait(|| self.runs(id) > 0).await;
    }

    /// Number of runs with this request id.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.0.runs.lock().unwrap();
        runs.iter().filter(|run| *run == id).count()
    }

    pub fn max_running(&self) -> u32 {
        self.0.max_running.load(Ordering::SeqCst)
    }
}

/// Waits until `condition` holds, for at most twice the 2 s in which the mesh must detect a
/// failure.
pub async fn wait<F>(condition: F)
where
    F: Fn() -> bool,
{
    let deadline = tokio::time::Instant::now() + Duration::from_secs(4);
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "condition does not hold within 4 s"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

struct Received {
    id: String,
    health: bool,
    body: Vec<u8>,
}

async fn serve(state: Arc<State>, mut socket: TcpStream) {
    while let Some(head) = read_request(&mut socket).await {
        if head.health {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            if socket.write_all(answer).await.is_err() {
                return;
            }
            continue;
        }
        if !matches!(*state.behaviour.lock().unwrap(), Behaviour::Shed) {
            state.runs.lock().unwrap().push(head.id.clone());
        }
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.max_running.fetch_max(running, Ordering::SeqCst);
        let keep_open = answer(&state, &mut socket, &head).await;
        state.running.fetch_sub(1, Ordering::SeqCst);
        if !keep_open {
            return;
        }
    }
}

/// Reads one request, whose body has a length or is chunked.
async fn read_request(socket: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        read_some(socket, &mut bytes).await?;
    };
    let text = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let header = |name: &str| {
        let mut lines = text.lines();
        let line = lines.find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    };
    let mut body = bytes.split_off(end);
    if header("transfer-encoding").is_some() {
        while !body.ends_with(b"0\r\n\r\n") {
            read_some(socket, &mut body).await?;
        }
        body = decode_chunks(&body);
    } else {
        let length = header("content-length").map_or(0, |length| length.parse().unwrap());
        while body.len() < length {
            read_some(socket, &mut body).await?;
        }
    }
    Some(Received {
        id: header("dandelionseam-request-id").unwrap_or_default(),
        health: text.starts_with("GET /health "),
        body,
    })
}

/// Decodes a chunked body.
fn decode_chunks(mut body: &[u8]) -> Vec<u8> {
    let mut content = Vec::new();
    loop {
        let end = body.windows(2).position(|two| two == b"\r\n").unwrap();
        let size = std::str::from_utf8(&body[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return content;
        }
        content.extend_from_slice(&body[end + 2..end + 2 + size]);
        body = &body[end + 2 + size + 2..];
    }
}

async fn read_some(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = vec![0; 16 * 1024];
    let count = socket.read(&mut part).await.ok()?;
    bytes.extend_from_slice(&part[..count]);
    (count > 0).then_some(())
}

/// Sends `first`, then `unit` over and over until the client closes the connection, for at most a
/// minute.
async fn send_endless(socket: &mut TcpStream, first: &str, unit: &str, pause: Duration) {
    let unit = if pause.is_zero() {
        unit.repeat(ENDLESS_WRITE_BYTES / unit.len())
    } else {
        unit.to_owned()
    };
    let sending = async {
        let mut text = first;
        while socket.write_all(text.as_bytes()).await.is_ok() {
            tokio::time::sleep(pause).await;
            text = &unit;
        }
    };
    let _ = tokio::time::timeout(Duration::from_mins(1), sending).await;
}

/// Answers one request; returns false if the connection must be closed.
async fn answer(state: &State, socket: &mut TcpStream, head: &Received) -> bool {
    let behaviour = state.behaviour.lock().unwrap().clone();
    let endless = match behaviour {
        Behaviour::Endless(first, unit) => Some((first, unit, Duration::ZERO)),
        Behaviour::EndlessSlow(first, unit) => Some((first, unit, ENDLESS_WRITE_INTERVAL)),
        _ => None,
    };
    if let Some((first, unit, pause)) = endless {
        send_endless(socket, first, unit, pause).await;
        state.closed_early.fetch_add(1, Ordering::SeqCst);
        return false;
    }
    let mut content = format!("{}\n", head.id).into_bytes();
    content.extend_from_slice(&head.body);
    if let Behaviour::Echo(length) = behaviour {
        let padding = head.id.bytes().cycle();
        content.extend(padding.take(length.saturating_sub(content.len())));
    }
    let length = content.len();
    let half = &content[..length / 2];
    let more = match behaviour {
        Behaviour::Headers(_, lines) => lines,
        _ => "",
    };
    let sized = format!("HTTP/1.1 200 OK\r\n{more}content-length: {length}\r\n\r\n").into_bytes();
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n");
    let (bytes, keep_open) = match behaviour {
        Behaviour::Echo(_) => ([sized, content.clone()].concat(), true),
        Behaviour::Slow(time) | Behaviour::Headers(time, _) => {
            if closes_within(socket, time).await {
                state.closed_early.fetch_add(1, Ordering::SeqCst);
                return false;
            }
            ([sized, content.clone()].concat(), true)
        }
        Behaviour::Status(status) => {
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            (head.into_bytes(), true)
        }
        Behaviour::Shed => {
            let head = "HTTP/1.1 503 X\r\nshed: 1\r\ncontent-length: 0\r\n\r\n";
            (head.as_bytes().to_vec(), true)
        }
        Behaviour::CloseInBody | Behaviour::SilentInBody => ([&sized, half].concat(), false),
        Behaviour::CloseInChunks => ([chunked.as_bytes(), half].concat(), false),
        Behaviour::Lengthless | Behaviour::LengthlessReset => (
            [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), half].concat(),
            false,
        ),
        Behaviour::CloseBeforeHead
        | Behaviour::Silent
        | Behaviour::Endless(..)
        | Behaviour::EndlessSlow(..) => (Vec::new(), false),
    };
    let sent = socket.write_all(&bytes).await.is_ok();
    if matches!(behaviour, Behaviour::LengthlessReset) {
        // The client must read the bytes before the reset discards them.
        tokio::time::sleep(Duration::from_millis(50)).await;
        socket.set_zero_linger().unwrap();
    }
    let silent = matches!(behaviour, Behaviour::Silent | Behaviour::SilentInBody);
    if !sent || silent && closes_within(socket, Duration::from_mins(1)).await {
        state.closed_early.fetch_add(1, Ordering::SeqCst);
    }
    sent && keep_open
}

/// Whether the client closes the connection within `time`.
async fn closes_within(socket: &mut TcpStream, time: Duration) -> bool {
    let mut byte = [0; 1];
    tokio::time::timeout(time, socket.read(&mut byte))
        .await
        .is_ok()
}
