//! The platform's store: objects by kind and name, lists and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, answer},
    json,
    record::Record,
};

/// The time of an answer, and of each byte of it at 1,000 Mbit/s: as on the
/// sheets.
const LATENCY: Duration = Duration::from_millis(4);
const PER_BYTE: Duration = Duration::from_nanos(8);

/// The number of objects on a page of a list.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Object { revision, created, spec, status } = self;
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\
             \"Created\":{created},\"Finalizers\":[],\
             \"DeletionPending\":false}},\"Spec\":{spec},\
             \"Status\":{status}}}"
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

impl State {
    fn record(&mut self, kind: &str, name: &str, object: &Object, gone: bool) {
        let object = object.json(name);
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_string(),
            json: format!("{{\"Deleted\":{gone},\"Object\":{object}}}"),
        });
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        self.revision += 1;
        let revision = self.revision;
        let objects = self.kinds.entry(kind.to_string()).or_default();
        let object = objects.entry(name.to_string()).or_insert(Object {
            revision,
            created: revision,
            spec: String::new(),
            status: "null".to_string(),
        });
        object.revision = revision;
        object.spec = spec.to_string();
        let object = object.clone();
        self.record(kind, name, &object, false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let objects = self.kinds.entry(kind.to_string()).or_default();
        let Some(object) = objects.remove(name) else { return false };
        self.revision += 1;
        self.record(kind, name, &object, true);
        true
    }
}

/// The store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts a store that listens at `address`.
    pub fn start(address: SocketAddr, record: &Record) -> Store {
        let store =
            Store { shared: Arc::default(), record: record.clone() };
        let listener = TcpListener::bind(address).expect("a free port");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a worker does. On return the write
    /// is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let object = state.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
        let text = &spec[..spec.len().min(160)];
        let revision = object.revision;
        self.record.note(&format!("store: {kind}/{name} @{revision} {text}"));
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().delete(kind, name);
        changed.notify_all();
        self.record.note(&format!("store: {kind}/{name} removed"));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.message(false) {
            let (status, body) = self.handle(&request);
            thread::sleep(LATENCY + PER_BYTE * body.len() as u32);
            let headers = [("Content-Type", "application/json")];
            if answer(&mut stream, status, &headers, body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let path = request.second_word().to_string();
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| {
                pair.strip_prefix(name)?.strip_prefix('=')
            })
        };
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return ("404 Not Found", String::new());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let body = String::from_utf8_lossy(&request.body).to_string();
        match (request.method(), name) {
            ("GET", None) => match parameter("Watch") {
                Some(from) => self.watch(
                    kind,
                    from.parse().unwrap_or(0),
                    parameter("WaitMs").and_then(|t| t.parse().ok()),
                ),
                None => self.list(kind, parameter("AfterRev").unwrap_or("")),
            },
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.create(kind, &body),
            ("PUT", Some(name)) => self.replace(kind, name, &body),
            ("DELETE", Some(name)) => {
                let (state, changed) = &*self.shared;
                let is_gone = state.lock().unwrap().delete(kind, name);
                changed.notify_all();
                match is_gone {
                    true => ("200 OK", "{}".to_string()),
                    false => ("404 Not Found", String::new()),
                }
            }
            _ => ("405 Method Not Allowed", String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let none = BTreeMap::new();
        let objects = state.kinds.get(kind).unwrap_or(&none);
        let left: Vec<_> =
            objects.iter().filter(|(name, _)| name.as_str() > after).collect();
        let page: Vec<String> =
            left.iter().take(PAGE).map(|(n, object)| object.json(n)).collect();
        let has_more = left.len() > page.len();
        let body = format!(
            "{{\"Entries\":[{}],\"HasMore\":{has_more},\"CurrentRev\":{}}}",
            page.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let object = state.kinds.get(kind).and_then(|all| all.get(name));
        match object {
            Some(object) => ("200 OK", object.json(name)),
            None => ("404 Not Found", String::new()),
        }
    }

    fn watch(
        &self,
        kind: &str,
        from: u64,
        wait_ms: Option<u64>,
    ) -> (&'static str, String) {
        let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|e| e.revision > from && e.kind == kind)
                .map(|event| event.json.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"CurrentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (&'static str, String) {
        let named = json::field(body, "Metadata")
            .and_then(|metadata| json::text(metadata, "Name"));
        let (Some(name), Some(spec)) = (named, json::field(body, "Spec"))
        else {
            return ("400 Bad Request", String::new());
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let known = state.kinds.get(kind).and_then(|all| all.get(name));
        if let Some(known) = known {
            return ("409 Conflict", known.json(name));
        }
        let object = state.put(kind, name, spec);
        changed.notify_all();
        ("200 OK", object.json(name))
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        body: &str,
    ) -> (&'static str, String) {
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let revision = json::field(body, "Metadata")
            .and_then(|metadata| json::field(metadata, "Revision"))
            .and_then(|text| text.parse::<u64>().ok());
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let known = state.kinds.get(kind).and_then(|all| all.get(name));
        let Some(known) = known.cloned() else {
            return ("404 Not Found", String::new());
        };
        if revision.is_some_and(|revision| revision != known.revision) {
            return ("409 Conflict", known.json(name));
        }
        let field = if is_status { "Status" } else { "Spec" };
        let value = json::field(body, field).unwrap_or("null").to_string();
        let before = if is_status { &known.status } else { &known.spec };
        if *before == value {
            return ("200 OK", known.json(name));
        }
        if is_status {
            let all = state.kinds.get_mut(kind).expect("it was found");
            all.get_mut(name).expect("it was found").status = value;
            let object = state.put(kind, name, &known.spec);
            changed.notify_all();
            return ("200 OK", object.json(name));
        }
        let object = state.put(kind, name, &value);
        changed.notify_all();
        ("200 OK", object.json(name))
    }
}
