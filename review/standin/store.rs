//! The platform's store: lists, watches and conditional writes of objects.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Next, Request, respond_json},
    json::Value,
    record::unix_ms,
};

/// The entries on a page of a list.
const PAGE_SIZE: usize = 500;

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Condvar>,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Object>,
    /// Changes of each kind with their revisions, oldest first.
    events: BTreeMap<String, Vec<(u64, String)>>,
    /// How long a watch may wait until it is cut; `None` if it never is.
    cut_after: Option<Duration>,
    /// The number of watches that were cut.
    cut_count: u64,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn to_json(&self, name: &str) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":{},\"Revision\":{},\"Created\":1,\
             \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{},\
             \"Status\":{}}}",
            Value::Text(name.to_string()),
            self.revision,
            self.spec,
            self.status,
        )
    }
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        store.lock().revision = 1;
        let serving = store.clone();
        http::serve(address, move |request, writer, _: &mut ()| {
            serving.answer(request, writer)
        })?;
        Ok(store)
    }

    /// Writes an object, as the operator or a server does. Returns when the
    /// store took it, in Unix milliseconds: the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.lock().put(kind, name, spec.to_string());
        self.changed.notify_all();
        unix_ms()
    }

    /// Deletes an object, as a server that leaves does. Returns when the store
    /// took it, in Unix milliseconds.
    pub fn delete(&self, kind: &str, name: &str) -> u64 {
        self.lock().delete(kind, name);
        self.changed.notify_all();
        unix_ms()
    }

    /// Cuts each watch that has waited for this long, from now on.
    pub fn cut_watches_after(&self, wait: Duration) {
        self.lock().cut_after = Some(wait);
    }

    /// Returns the number of watches that were cut.
    pub fn cut_count(&self) -> u64 {
        self.lock().cut_count
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> Next {
        let path = request.path.strip_prefix("/-/objects/").unwrap_or("");
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let is_status = parts.next() == Some("status");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), name) {
            ("GET", None) if request.parameter("Watch").is_some() => {
                self.watch(&kind, request, writer)
            }
            ("GET", None) => {
                let after = request.parameter("AfterRev").unwrap_or("");
                let page = self.lock().list(&kind, after);
                respond_json(writer, "200 OK", &page)
            }
            ("GET", Some(name)) => {
                let found = self.lock().get(&kind, &name);
                match found {
                    Some(object) => respond_json(writer, "200 OK", &object),
                    None => respond_json(writer, "404 Not Found", "{}"),
                }
            }
            ("DELETE", Some(name)) => {
                let was_there = self.lock().delete(&kind, &name);
                self.changed.notify_all();
                match was_there {
                    true => respond_json(writer, "200 OK", "{}"),
                    false => respond_json(writer, "404 Not Found", "{}"),
                }
            }
            ("POST" | "PUT", name) => {
                let is_new = request.method == "POST";
                let written =
                    self.lock().write(&kind, name, &body, is_new, is_status);
                self.changed.notify_all();
                respond_json(writer, written.0, &written.1)
            }
            _ => respond_json(writer, "404 Not Found", "{}"),
        }
    }

    fn watch(
        &self,
        kind: &str,
        request: &Request,
        writer: &mut TcpStream,
    ) -> Next {
        let since = request.number("Watch").unwrap_or(0);
        let wait_ms = request.number("WaitMs").unwrap_or(0).min(30_000);
        let begun = Instant::now();
        let wait = Duration::from_millis(wait_ms);
        let mut inner = self.lock();
        loop {
            if let Some(events) = inner.changes(kind, since) {
                let revision = inner.revision;
                drop(inner);
                let body = format!(
                    "{{\"events\":[{events}],\"CurrentRev\":{revision}}}"
                );
                return respond_json(writer, "200 OK", &body);
            }
            let waited = begun.elapsed();
            if waited >= wait {
                let revision = inner.revision;
                drop(inner);
                let body =
                    format!("{{\"events\":[],\"CurrentRev\":{revision}}}");
                return respond_json(writer, "200 OK", &body);
            }
            if inner.cut_after.is_some_and(|after| waited >= after) {
                inner.cut_count += 1;
                return Next::Close;
            }
            let step = (wait - waited).min(Duration::from_millis(50));
            let waiting = self.changed.wait_timeout(inner, step);
            inner = match waiting {
                Ok((inner, _)) => inner,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: String) {
        self.revision += 1;
        let key = (kind.to_string(), name.to_string());
        let known = self.objects.get(&key);
        let status = known.map_or("null".to_string(), |o| o.status.clone());
        let object = Object { revision: self.revision, spec, status };
        self.objects.insert(key, object.clone());
        self.record(kind, false, &object.to_json(name));
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_string(), name.to_string());
        let Some(mut object) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.record(kind, true, &object.to_json(name));
        true
    }

    fn record(&mut self, kind: &str, is_deleted: bool, object: &str) {
        let event =
            format!("{{\"Deleted\":{is_deleted},\"Object\":{object}}}");
        let events = self.events.entry(kind.to_string()).or_default();
        events.push((self.revision, event));
    }

    fn get(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_string(), name.to_string());
        self.objects.get(&key).map(|object| object.to_json(name))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let mut rest = self
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let page: Vec<String> = rest
            .by_ref()
            .take(PAGE_SIZE)
            .map(|((_, name), object)| object.to_json(name))
            .collect();
        format!(
            "{{\"Entries\":[{}],\"HasMore\":{},\"CurrentRev\":{}}}",
            page.join(","),
            rest.next().is_some(),
            self.revision,
        )
    }

    fn changes(&self, kind: &str, since: u64) -> Option<String> {
        let all = self.events.get(kind)?;
        let first = all.partition_point(|(revision, _)| *revision <= since);
        let events: Vec<&str> =
            all[first..].iter().map(|(_, event)| event.as_str()).collect();
        (!events.is_empty()).then(|| events.join(","))
    }

    /// Makes or replaces an object, or its status. Returns the answer's status
    /// and body.
    fn write(
        &mut self,
        kind: &str,
        name: Option<String>,
        body: &str,
        is_new: bool,
        is_status: bool,
    ) -> (&'static str, String) {
        let sent = Value::parse(body).unwrap_or(Value::Null);
        let metadata = sent.get("Metadata");
        let sent_name = metadata.and_then(|m| m.get("Name")?.text());
        let name = name.or(sent_name.map(str::to_string));
        let Some(name) = name else {
            return ("400 Bad Request", "{}".to_string());
        };
        let key = (kind.to_string(), name.clone());
        let known = self.objects.get(&key).cloned();
        let condition = metadata.and_then(|m| m.get("Revision")?.whole());
        let Some(known) = known else {
            if !is_new {
                return ("404 Not Found", "{}".to_string());
            }
            let spec = sent.get("Spec").unwrap_or(&Value::Null).to_string();
            self.put(kind, &name, spec);
            let object = self.get(kind, &name).unwrap_or_default();
            return ("200 OK", object);
        };
        if is_new || condition.is_some_and(|c| c != known.revision) {
            return ("409 Conflict", known.to_json(&name));
        }
        if is_status {
            let status = sent.get("Status").unwrap_or(&Value::Null);
            let status = status.to_string();
            if status != known.status {
                self.revision += 1;
                let revision = self.revision;
                let object = Object { revision, status, ..known };
                self.objects.insert(key, object.clone());
                self.record(kind, false, &object.to_json(&name));
            }
        } else {
            let spec = sent.get("Spec").unwrap_or(&Value::Null).to_string();
            if spec != known.spec {
                self.put(kind, &name, spec);
            }
        }
        ("200 OK", self.get(kind, &name).unwrap_or_default())
    }
}
