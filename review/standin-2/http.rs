//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole, as far as its framing tells.
    pub is_whole: bool,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(known, _)| known == name);
        named.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the
    /// status of an answer.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads messages from a connection, whose surplus bytes it keeps.
pub struct Reader {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, pending: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let length = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            let end = self.pending.windows(2).position(|w| w == b"\r\n");
            if let Some(end) = end {
                let line: Vec<u8> = self.pending.drain(..end + 2).collect();
                let text = String::from_utf8_lossy(&line[..end]).to_string();
                return Ok(Some(text));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.pending.len() < length {
            if !self.fill()? {
                body.append(&mut self.pending);
                return Ok(false);
            }
        }
        body.extend(self.pending.drain(..length));
        Ok(true)
    }

    /// Reads the next message; `None` if the connection ends before its head
    /// does. `is_answer` tells whether a body without a length lasts until the
    /// connection ends.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_string()));
            }
        }
        let mut body = Vec::new();
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length");
        let length: Option<usize> = length.and_then(|text| text.parse().ok());
        message.is_whole = if is_chunked {
            self.chunks(&mut body)?
        } else if let Some(length) = length {
            self.exact(length, &mut body)?
        } else if is_answer && message.status() != 204 {
            while self.fill()? {}
            body.append(&mut self.pending);
            true
        } else {
            true
        };
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let digits = line.split(';').next().unwrap_or("").trim();
            let Ok(length) = usize::from_str_radix(digits, 16) else {
                return Ok(false);
            };
            if !self.exact(length, body)? {
                return Ok(false);
            }
            let mut end = Vec::new();
            if !self.exact(2, &mut end)? {
                return Ok(false);
            }
            if length == 0 {
                return Ok(true);
            }
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads its answer within `limit`.
/// Returns `None` if there is no answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut stream =
        TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))
            .ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Reader::new(stream).message(true).ok()?
}
