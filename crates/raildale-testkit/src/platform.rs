//! The platform's object API: versions, conditional updates, watches, and
//! its faults, restores from an older copy.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use raildale::platform::Object;
use serde_json::Value;
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    http_server::{self, Body, answer, query_value},
    truth::lock,
};

/// Bytes of a value at most.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Versions of an object that a stale read may answer from.
const OLD_VERSIONS: usize = 8;

/// What goes wrong, and how often.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether no call is answered.
    pub is_down: bool,
    /// Time added to each call.
    pub delay: Duration,
    /// One in so many updates takes effect and its answer is lost; 0 none.
    pub lose_answer_one_in: u64,
    /// One in so many reads gives an older version; 0 none.
    pub stale_read_one_in: u64,
}

#[derive(Clone, Debug, Default)]
struct Stored {
    version: u64,
    value: Value,
    old: Vec<Object>,
}

/// What the platform held at one time.
#[derive(Clone, Debug)]
pub struct PlatformSnapshot {
    objects: HashMap<String, Stored>,
}

/// The stand-in.
#[derive(Debug)]
pub struct Platform {
    objects: Mutex<HashMap<String, Stored>>,
    changed: Notify,
    faults: Mutex<Faults>,
    calls: AtomicU64,
    updates: AtomicU64,
    reads: AtomicU64,
    busiest: Mutex<Busiest>,
}

/// Calls in the current second, and in the busiest one.
#[derive(Debug)]
struct Busiest {
    since: Instant,
    calls: u64,
    most: u64,
}

impl Platform {
    /// Starts it at `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Arc<Platform>> {
        let listener = TcpListener::bind(address).await?;
        let since = Instant::now();
        let platform = Arc::new(Platform {
            objects: Mutex::default(),
            changed: Notify::new(),
            faults: Mutex::default(),
            calls: AtomicU64::new(0),
            updates: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            busiest: Mutex::new(Busiest { since, calls: 0, most: 0 }),
        });
        let shared = platform.clone();
        http_server::serve(listener, move |from, request| {
            shared.clone().handle(from, request)
        });
        Ok(platform)
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// What it holds now.
    pub fn snapshot(&self) -> PlatformSnapshot {
        PlatformSnapshot { objects: lock(&self.objects).clone() }
    }

    /// Comes back from a copy: what was written since is gone, and versions
    /// are given out again.
    pub fn restore(&self, copy: PlatformSnapshot) {
        *lock(&self.objects) = copy.objects;
        self.changed.notify_waiters();
    }

    /// Calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Calls in the busiest second.
    pub fn max_calls_per_s(&self) -> u64 {
        lock(&self.busiest).most
    }

    /// The value and version of an object.
    pub fn object(&self, key: &str) -> Object {
        let objects = lock(&self.objects);
        match objects.get(key) {
            Some(stored) => {
                Object { version: stored.version, value: stored.value.clone() }
            }
            None => Object { version: 0, value: Value::Null },
        }
    }

    async fn handle(
        self: Arc<Self>,
        _from: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Body> {
        self.count_call();
        let faults = lock(&self.faults).clone();
        if faults.is_down {
            // An outage answers nothing; the client's patience ends it.
            tokio::time::sleep(Duration::from_secs(30)).await;
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        tokio::time::sleep(faults.delay).await;
        let path = request.uri().path().to_string();
        let Some(key) = path.strip_prefix("/objects/") else {
            return answer(StatusCode::NOT_FOUND, "");
        };
        let query = request.uri().query().map(str::to_string);
        match *request.method() {
            Method::GET => self.get(key, query.as_deref(), &faults).await,
            Method::PUT => {
                let body = http_server::read(request.into_body()).await;
                self.put(key, query.as_deref(), body, &faults).await
            }
            _ => answer(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    async fn get(
        &self,
        key: &str,
        words: Option<&str>,
        faults: &Faults,
    ) -> Response<Body> {
        let number =
            |name| query_value(words, name).and_then(|v| v.parse().ok());
        if let Some(after) = number("after") {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            self.wait_above(key, after, wait).await;
        }
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        let one_in = faults.stale_read_one_in;
        let is_stale = one_in > 0 && reads % one_in == one_in - 1;
        let object = match is_stale {
            true => self.stale(key),
            false => self.object(key),
        };
        let text = serde_json::to_vec(&object).unwrap_or_default();
        answer(StatusCode::OK, text)
    }

    async fn wait_above(&self, key: &str, after: u64, wait: Duration) {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let is_down = lock(&self.faults).is_down;
            if self.object(key).version > after || is_down {
                return;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    fn stale(&self, key: &str) -> Object {
        let oldest = lock(&self.objects)
            .get(key)
            .and_then(|stored| stored.old.first().cloned());
        oldest.unwrap_or_else(|| self.object(key))
    }

    async fn put(
        &self,
        key: &str,
        words: Option<&str>,
        body: Bytes,
        faults: &Faults,
    ) -> Response<Body> {
        if body.len() > MAX_VALUE_BYTES {
            return answer(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        let Ok(value) = serde_json::from_slice::<Value>(&body) else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let condition =
            query_value(words, "if_version").and_then(|v| v.parse().ok());
        let Some(version) = self.update(key, condition, value) else {
            return answer(StatusCode::CONFLICT, "");
        };
        let updates = self.updates.fetch_add(1, Ordering::Relaxed);
        let one_in = faults.lose_answer_one_in;
        if one_in > 0 && updates % one_in == one_in - 1 {
            tokio::time::sleep(Duration::from_secs(30)).await;
        }
        let object = Object { version, value: Value::Null };
        let text = serde_json::to_vec(&object).unwrap_or_default();
        answer(StatusCode::OK, text)
    }

    fn update(
        &self,
        key: &str,
        condition: Option<u64>,
        value: Value,
    ) -> Option<u64> {
        let mut objects = lock(&self.objects);
        let stored = objects.entry(key.to_string()).or_default();
        if condition != Some(stored.version) {
            return None;
        }
        let old = Object {
            version: stored.version,
            value: std::mem::replace(&mut stored.value, value),
        };
        stored.old.push(old);
        if stored.old.len() > OLD_VERSIONS {
            stored.old.remove(0);
        }
        stored.version += 1;
        let version = stored.version;
        drop(objects);
        self.changed.notify_waiters();
        Some(version)
    }

    fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut busiest = lock(&self.busiest);
        if busiest.since.elapsed() >= Duration::from_secs(1) {
            busiest.since = Instant::now();
            busiest.calls = 0;
        }
        busiest.calls += 1;
        busiest.most = busiest.most.max(busiest.calls);
    }
}
