//! HTTP/1.1 as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn closes(&self) -> bool {
        self.get("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if head.line.is_empty() {
            line.clone_into(&mut head.line);
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces. The error holds the bytes that came before it.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head, until_end: bool) -> Result<Vec<u8>, (Vec<u8>, io::Error)> {
    let mut body = Vec::new();
    let length: Option<usize> = head.get("content-length").parse().ok();
    let result = if head.get("transfer-encoding").contains("chunked") {
        read_chunks(reader, &mut body)
    } else if let Some(length) = length {
        body.reserve(length.min(1 << 24));
        let read = reader.by_ref().take(length as u64).read_to_end(&mut body);
        match read {
            Ok(_) if body.len() < length => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(()),
            Err(error) => Err(error),
        }
    } else if until_end {
        reader.read_to_end(&mut body).map(drop)
    } else {
        Ok(())
    };
    match result {
        Ok(()) => Ok(body),
        Err(error) => Err((body, error)),
    }
}

fn read_chunks<R: BufRead>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let before = body.len();
        reader.by_ref().take(size as u64).read_to_end(body)?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if body.len() < before + size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Writes a message with a body of known length.
pub fn write_message<W: Write>(writer: &mut W, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

/// Sends one request on a connection of its own; `None` without a whole answer.
pub fn call(address: SocketAddr, line: &str, headers: &[(&str, &str)], body: &[u8], limit: Duration) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let host = address.to_string();
    let mut all = vec![("Host", host.as_str()), ("Connection", "close")];
    all.extend_from_slice(headers);
    write_message(&mut stream, line, &all, body).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let body = read_body(&mut reader, &head, true).ok()?;
    Some((head.status(), body))
}
