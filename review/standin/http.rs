//! HTTP/1.1 over blocking sockets, one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request as a server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (n, value) = pair.split_once('=')?;
            (n == name).then_some(value)
        })
    }

    /// Returns a whole number in the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

/// What happens to a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It stays open.
    Keep,
    /// It is closed.
    Close,
}

/// Listens and calls `handle` for each request, in a thread of its connection.
/// `handle` writes the answer itself.
pub fn serve<H, S>(address: SocketAddr, handle: H) -> io::Result<()>
where
    S: Default,
    H: Fn(&Request, &mut TcpStream, &mut S) -> Next + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                // A peer that closes its connection ends the loop.
                let _ = serve_connection(stream, handle);
            });
        }
    });
    Ok(())
}

fn serve_connection<H, S>(stream: TcpStream, handle: H) -> io::Result<()>
where
    S: Default,
    H: Fn(&Request, &mut TcpStream, &mut S) -> Next,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut state = S::default();
    while let Some(request) = read_request(&mut reader)? {
        if handle(&request, &mut writer, &mut state) == Next::Close {
            break;
        }
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            headers.push((name, value.trim().to_string()));
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_string(), query.to_string());
    let body = if is_chunked(&headers) {
        read_chunks(reader)?
    } else {
        let length = find(&headers, "content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request { method, path, query, headers, body }))
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked"))
}

/// Reads a chunked body.
///
/// # Errors
///
/// [`io::ErrorKind::UnexpectedEof`] if it ends before its last chunk.
fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_chunks_to(reader, &mut body)?;
    Ok(body)
}

fn read_chunks_to(
    reader: &mut impl BufRead,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes an answer with a length.
pub fn respond(
    writer: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Next {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    match writer.write_all(&bytes) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// Writes an answer in JSON.
pub fn respond_json(writer: &mut TcpStream, status: &str, body: &str) -> Next {
    let json = [("Content-Type", "application/json")];
    respond(writer, status, &json, body.as_bytes())
}

/// The answer to a request, as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; 0 if no head arrived.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The part of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the answer is complete in the protocol.
    pub is_complete: bool,
    /// Why it is not.
    pub error: String,
}

impl Answer {
    /// Returns a header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }
}

/// A caller's connection, kept from request to request.
#[derive(Debug, Default)]
pub struct Caller {
    kept: Option<(SocketAddr, BufReader<TcpStream>)>,
}

impl Caller {
    /// Sends a request and reads its answer, for at most `limit`.
    pub fn send(
        &mut self,
        to: SocketAddr,
        head: &str,
        body: &[u8],
        limit: Duration,
    ) -> Answer {
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(to, head, body, limit, &mut answer) {
            answer.error = error.to_string();
        }
        if !answer.is_complete || answer.header("connection") == "close" {
            self.kept = None;
        }
        answer
    }

    fn exchange(
        &mut self,
        to: SocketAddr,
        head: &str,
        body: &[u8],
        limit: Duration,
        answer: &mut Answer,
    ) -> io::Result<()> {
        let kept = self.kept.take().filter(|(address, _)| *address == to);
        let mut reader = match kept {
            Some((_, reader)) => reader,
            None => {
                let connect = Duration::from_secs(1);
                let stream = TcpStream::connect_timeout(&to, connect)?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(limit))?;
        let length = body.len();
        let mut bytes =
            format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(body);
        reader.get_mut().write_all(&bytes)?;
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        answer.status = status.unwrap_or(0);
        answer.headers = headers;
        if is_chunked(&answer.headers) {
            read_chunks_to(&mut reader, &mut answer.body)?;
        } else if let Some(length) = find(&answer.headers, "content-length") {
            let length: u64 = length.parse().unwrap_or(0);
            let mut limited = (&mut reader).take(length);
            limited.read_to_end(&mut answer.body)?;
            if (answer.body.len() as u64) < length {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        } else {
            reader.read_to_end(&mut answer.body)?;
        }
        answer.is_complete = true;
        self.kept = Some((to, reader));
        Ok(())
    }
}
