//! A simulation of the platform's object API, with versions, conditional
//! updates, watches, injected faults and restores from a snapshot.

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

/// The maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The number of old versions of an object that are kept for stale reads.
const OLD_VERSIONS: usize = 8;

/// The injected faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether calls are left unanswered.
    pub is_down: bool,
    /// The delay added to each call.
    pub delay: Duration,
    /// Every n-th update takes effect while its answer is lost; 0 for none.
    pub lose_answer_one_in: u64,
    /// Every n-th read returns an older version; 0 for none.
    pub stale_read_one_in: u64,
}

#[derive(Clone, Debug, Default)]
struct Stored {
    version: u64,
    value: Value,
    /// The previous versions, oldest first.
    old: Vec<Object>,
}

/// The objects of the platform at one time.
#[derive(Clone, Debug)]
pub struct PlatformSnapshot {
    objects: HashMap<String, Stored>,
}

/// A simulated platform.
#[derive(Debug)]
pub struct Platform {
    objects: Mutex<HashMap<String, Stored>>,
    changed: Notify,
    faults: Mutex<Faults>,
    calls: AtomicU64,
    updates: AtomicU64,
    reads: AtomicU64,
    call_rate: Mutex<CallRate>,
}

/// The number of calls in the current second, and the maximum so far.
#[derive(Debug)]
struct CallRate {
    since: Instant,
    calls: u64,
    max: u64,
}

impl Platform {
    /// Starts a platform that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
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
            call_rate: Mutex::new(CallRate { since, calls: 0, max: 0 }),
        });
        let shared = platform.clone();
        http_server::serve(listener, move |from, request| {
            shared.clone().handle(from, request)
        });
        Ok(platform)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns a snapshot of all objects.
    pub fn snapshot(&self) -> PlatformSnapshot {
        PlatformSnapshot { objects: lock(&self.objects).clone() }
    }

    /// Restores a snapshot. Later writes are lost, and their versions are
    /// assigned again.
    pub fn restore(&self, snapshot: PlatformSnapshot) {
        *lock(&self.objects) = snapshot.objects;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls in the second with the most calls.
    pub fn max_calls_per_s(&self) -> u64 {
        lock(&self.call_rate).max
    }

    /// Returns the value and version of an object; version 0 if there is none.
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
            // The delay exceeds the clients' time-outs, so an outage looks
            // like silence to them.
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
        query: Option<&str>,
        faults: &Faults,
    ) -> Response<Body> {
        let number =
            |name| query_value(query, name).and_then(|v| v.parse().ok());
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

    /// Waits until the version of an object is greater than `after`, for at
    /// most `wait`. Also returns if the platform is down.
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

    /// Returns the oldest known version of an object.
    fn stale(&self, key: &str) -> Object {
        let oldest = lock(&self.objects)
            .get(key)
            .and_then(|stored| stored.old.first().cloned());
        oldest.unwrap_or_else(|| self.object(key))
    }

    async fn put(
        &self,
        key: &str,
        query: Option<&str>,
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
            query_value(query, "if_version").and_then(|v| v.parse().ok());
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

    /// Replaces the value of an object if its version is `condition`. Returns
    /// the new version; `None` on a conflict.
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
        let mut rate = lock(&self.call_rate);
        if rate.since.elapsed() >= Duration::from_secs(1) {
            rate.since = Instant::now();
            rate.calls = 0;
        }
        rate.calls += 1;
        rate.max = rate.max.max(rate.calls);
    }
}
