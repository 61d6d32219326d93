//! Minimal blocking HTTP/1.1 for the stand-ins and the clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads one message. `None` when the peer closes the connection between two messages.
    pub fn read(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.fill(deadline)? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> = headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks(deadline)?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.read_exact(length, deadline)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if !self.fill(deadline)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            body.extend(self.read_exact(size, deadline)?);
            self.read_exact(2, deadline)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_exact(&mut self, length: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads more bytes; false at the end of the stream.
    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let timeout = match deadline {
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.socket.set_read_timeout(timeout)?;
        let mut piece = [0; 16 * 1024];
        let length = self.socket.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length > 0)
    }

    /// Sends a message whose body has no declared length, in chunks.
    pub fn write_chunks(
        &mut self,
        start: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        for chunk in body.chunks(16 * 1024) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.socket.write_all(&bytes)
    }

    pub fn write(
        &mut self,
        start: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes)
    }
}

/// Sends a request over a new connection and reads the response.
pub fn exchange(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    exchange_framed(address, start, headers, body, timeout, false)
}

/// Like [`exchange`], with the body in chunks if `is_chunked`.
pub fn exchange_framed(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
    is_chunked: bool,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::connect(address, timeout)?;
    let written = if is_chunked {
        connection.write_chunks(start, headers, body)
    } else {
        connection.write(start, headers, body)
    };
    // The node may have answered before it read the whole body.
    match written {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => return Err(error),
        _ => {}
    }
    let response = connection.read(Some(deadline))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}
