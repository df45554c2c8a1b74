//! A worker, as a process of its own: `standin worker ...`.
//!
//! It writes a line to its log for each request that it begins to run, before
//! it does anything else with it: `TIME run ATTEMPT-ID METHOD PATH`.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Next, Request, respond, respond_json},
    json::Value,
    record::unix_ms,
    weights::{LAYERS, PIECES, piece},
};

/// How a worker is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The id of this start.
    pub id: String,
    /// The path of its log, to which it appends.
    pub log: String,
    /// The time of a request that is no stream, in milliseconds.
    pub work_ms: u64,
    /// The version that it holds, staged too; 0 if none.
    pub version: u64,
    /// The number of events of a stream.
    pub events: u32,
    /// The time before each event, in milliseconds.
    pub event_ms: u64,
    /// One in so many answers that are no streams has no length and ends with
    /// its connection, during faulty times; 0 for none.
    pub unframed_every: u64,
    /// One in so many answers is followed by more, during faulty times; 0 for
    /// none.
    pub surplus_every: u64,
    /// When the first faulty time begins, in Unix milliseconds.
    pub faulty_from_ms: u64,
}

/// The length of a faulty time, in milliseconds.
const FAULTY_MS: u64 = 5_000;

/// The time from one faulty time to the next, in milliseconds.
const FAULTY_PERIOD_MS: u64 = 10_000;

impl Options {
    /// Returns the arguments of the process.
    pub fn to_arguments(&self) -> Vec<String> {
        vec![
            "worker".to_string(),
            self.listen.to_string(),
            self.id.clone(),
            self.log.clone(),
            self.work_ms.to_string(),
            self.version.to_string(),
            self.events.to_string(),
            self.event_ms.to_string(),
            self.unframed_every.to_string(),
            self.surplus_every.to_string(),
            self.faulty_from_ms.to_string(),
        ]
    }

    /// Parses the arguments after the first.
    pub fn parse(arguments: &[String]) -> Option<Options> {
        let number = |place: usize| -> Option<u64> {
            arguments.get(place)?.parse().ok()
        };
        Some(Options {
            listen: arguments.first()?.parse().ok()?,
            id: arguments.get(1)?.clone(),
            log: arguments.get(2)?.clone(),
            work_ms: number(3)?,
            version: number(4)?,
            events: number(5)? as u32,
            event_ms: number(6)?,
            unframed_every: number(7)?,
            surplus_every: number(8)?,
            faulty_from_ms: number(9)?,
        })
    }
}

#[derive(Clone)]
struct Worker {
    options: Arc<Options>,
    log: Arc<Mutex<File>>,
    /// The number of answers during faulty times.
    faulty_answers: Arc<AtomicU64>,
    active: Arc<AtomicI64>,
    state: Arc<Mutex<State>>,
}

/// The weights of a model worker.
struct State {
    version: u64,
    orders: u64,
    staged: BTreeMap<u32, Vec<u8>>,
}

/// The size of answers that are no streams, in bytes.
pub const BODY_BYTES: usize = 800;

/// What the log says when half of an answer without a length is written.
pub const UNFRAMED_BEGUN: &str = "half of an answer without a length:";

/// The state of a connection.
#[derive(Default)]
pub struct ConnectionState {
    /// Whether the last answer is followed by more, which arrives where the
    /// next answer is due.
    owes_surplus: bool,
}

/// What a faulty worker sends after a whole answer: bytes that belong to no
/// request. They are the rejection of a request without an id, and so carry
/// none themselves.
const SURPLUS: &[u8] = b"HTTP/1.1 400 Bad Request\r\n\
    Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Runs a worker until its process is ended.
pub fn run(options: Options) -> io::Result<()> {
    let log =
        OpenOptions::new().create(true).append(true).open(&options.log)?;
    let listen = options.listen;
    let staged = match options.version {
        0 => BTreeMap::new(),
        version => (0..PIECES).map(|i| (i, piece(version, i))).collect(),
    };
    let state = State { version: options.version, orders: 0, staged };
    let worker = Worker {
        options: Arc::new(options),
        log: Arc::new(Mutex::new(log)),
        faulty_answers: Arc::default(),
        active: Arc::default(),
        state: Arc::new(Mutex::new(state)),
    };
    http::serve(
        listen,
        move |request, writer, state: &mut ConnectionState| {
            worker.answer(request, writer, state)
        },
    )?;
    loop {
        thread::park();
    }
}

impl Worker {
    fn log(&self, text: &str) {
        let mut log =
            self.log.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(log, "{} {text}", unix_ms());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn answer(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        connection: &mut ConnectionState,
    ) -> Next {
        match request.path.split('/').collect::<Vec<_>>()[..] {
            ["", "healthz"] => {
                let id = [("Instance-Id", self.options.id.as_str())];
                respond(writer, "200 OK", &id, b"")
            }
            ["", "-", "report"] => self.report(writer),
            ["", "-", "order"] => self.order(request, writer),
            ["", "-", "stage-put", _] => {
                let index = request.number("ChunkCount").unwrap_or(0) as u32;
                self.state().staged.insert(index, request.body.clone());
                respond_json(writer, "200 OK", "{}")
            }
            ["", "-", "stage-get", _] => self.staged(request, writer),
            _ => self.run(request, writer, connection),
        }
    }

    fn report(&self, writer: &mut TcpStream) -> Next {
        let active = self.active.load(Ordering::SeqCst);
        let state = self.state();
        let layers = match state.version {
            0 => "null".to_string(),
            version => layers_json(version),
        };
        let body = format!(
            "{{\"Phase\":\"colocated\",\"Models\":[],\"layers\":{layers},\
             \"Utilization\":false,\"SeqNo\":{},\"Queued\":0,\
             \"Active\":{active},\"KvUsed\":0,\"KvTotal\":685000,\
             \"KvHandles\":0,\"pace\":1.0}}",
            state.orders,
        );
        drop(state);
        respond_json(writer, "200 OK", &body)
    }

    fn order(&self, request: &Request, writer: &mut TcpStream) -> Next {
        if !self.is_expected(request) {
            return self.misdirect(writer);
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Value::parse(&text).unwrap_or(Value::Null);
        let version = order.get("Version").and_then(Value::whole).unwrap_or(0);
        let expected = order.get("ExpectedRev").and_then(Value::whole);
        let mut state = self.state();
        if expected.is_some_and(|expected| expected != state.orders) {
            return respond_json(writer, "409 Conflict", "{}");
        }
        if state.version == version {
            return respond_json(writer, "200 OK", "{}");
        }
        let held = state.staged.len();
        if held < PIECES as usize {
            return respond_json(writer, "409 Conflict", "{}");
        }
        state.orders += 1;
        state.version = version;
        drop(state);
        self.log(&format!("order start version={version}"));
        respond_json(writer, "202 Accepted", "{}")
    }

    fn staged(&self, request: &Request, writer: &mut TcpStream) -> Next {
        let state = self.state();
        let Some(index) = request.number("ChunkCount") else {
            let held: Vec<String> =
                state.staged.keys().map(u32::to_string).collect();
            drop(state);
            let body = format!("{{\"held\":[{}]}}", held.join(","));
            return respond_json(writer, "200 OK", &body);
        };
        let data = state.staged.get(&(index as u32)).cloned();
        drop(state);
        match data {
            Some(data) => respond(writer, "200 OK", &[], &data),
            None => respond_json(writer, "404 Not Found", "{}"),
        }
    }

    fn is_expected(&self, request: &Request) -> bool {
        let expected = request.header("expect-instance");
        expected.is_empty() || expected == self.options.id
    }

    fn misdirect(&self, writer: &mut TcpStream) -> Next {
        let id = [("Instance-Id", self.options.id.as_str())];
        respond(writer, "421 Misdirected Request", &id, b"")
    }

    fn run(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        connection: &mut ConnectionState,
    ) -> Next {
        if !self.is_expected(request) {
            return self.misdirect(writer);
        }
        let attempt = request.header("attempt-id").to_string();
        self.log(&format!(
            "run {attempt} {} {}",
            request.method, request.path
        ));
        if std::mem::take(&mut connection.owes_surplus) {
            self.log(&format!("surplus where the answer to {attempt} is due"));
            if writer.write_all(SURPLUS).is_err() {
                return Next::Close;
            }
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        let number = self.faulty_answer_number();
        let is_one_in = |every: u64| every > 0 && number % every == 1 % every;
        let is_faulty = number > 0;
        let next = match request.path.starts_with("/stream/") {
            true => self.stream(request, &attempt, writer),
            false => {
                let is_unframed =
                    is_faulty && is_one_in(self.options.unframed_every);
                self.plain(&attempt, is_unframed, writer)
            }
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        connection.owes_surplus =
            is_faulty && is_one_in(self.options.surplus_every);
        next
    }

    /// Returns the number of this answer among those of faulty times, from 1
    /// on; 0 outside of them.
    fn faulty_answer_number(&self) -> u64 {
        let now = unix_ms();
        let Some(since_ms) = now.checked_sub(self.options.faulty_from_ms)
        else {
            return 0;
        };
        match since_ms % FAULTY_PERIOD_MS < FAULTY_MS {
            true => self.faulty_answers.fetch_add(1, Ordering::SeqCst) + 1,
            false => 0,
        }
    }

    fn seal(&self) -> String {
        format!("seal-{}", self.options.id)
    }

    /// Writes the head and half of the body at once, and the rest when the
    /// work is done.
    fn plain(
        &self,
        attempt: &str,
        is_unframed: bool,
        writer: &mut TcpStream,
    ) -> Next {
        let body =
            format!("{:-<BODY_BYTES$}", format!("answer to {attempt} "));
        let framing = match is_unframed {
            true => "Connection: close\r\n".to_string(),
            false => format!("Content-Length: {BODY_BYTES}\r\n"),
        };
        let (half, rest) = body.split_at(BODY_BYTES / 2);
        let begin = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n\
             Server-Seal: {}\r\n{framing}\r\n{half}",
            self.seal(),
        );
        if writer.write_all(begin.as_bytes()).is_err() {
            return Next::Close;
        }
        if is_unframed {
            self.log(&format!("{UNFRAMED_BEGUN} {attempt}"));
        }
        thread::sleep(Duration::from_millis(self.options.work_ms));
        if writer.write_all(rest.as_bytes()).is_err() {
            self.log(&format!("dropped {attempt}"));
            return Next::Close;
        }
        self.log(&format!("answered {attempt}"));
        if is_unframed { Next::Close } else { Next::Keep }
    }

    /// Writes a stream of events after the one that the caller has.
    fn stream(
        &self,
        request: &Request,
        attempt: &str,
        writer: &mut TcpStream,
    ) -> Next {
        let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Attempt-Id: {attempt}\r\nServer-Seal: {}\r\n\
             Weight-Versions: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.seal(),
            self.state().version,
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return Next::Close;
        }
        for id in after + 1..=self.options.events {
            thread::sleep(Duration::from_millis(self.options.event_ms));
            let event =
                format!("id: {id}\ndata: {id} of {}\n\n", self.options.events);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                self.log(&format!("dropped {attempt} before event {id}"));
                return Next::Close;
            }
        }
        self.log(&format!("answered {attempt}"));
        match writer.write_all(b"0\r\n\r\n") {
            Ok(()) => Next::Keep,
            Err(_) => Next::Close,
        }
    }
}

/// Returns the layers that a worker holds, as it tells them.
pub fn layers_json(version: u64) -> String {
    format!("{{\"From\":0,\"TargetVersion\":{LAYERS},\"Version\":{version}}}")
}
