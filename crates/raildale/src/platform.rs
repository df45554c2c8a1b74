//! A client for the platform's object API.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    boot_time, config::PlatformConfig, http_client::HttpClient,
    request_path::RequestPath,
};

/// The key of the object that holds the settings tree.
pub const SETTINGS_KEY: &str = "raildale-settings";

/// How long the platform holds a watch without a change.
const WATCH_MS: u64 = 10_000;

/// Time-out of a call; a watch may take [`WATCH_MS`] longer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of an answer in bytes: the largest value and its frame.
const MAX_ANSWER_BYTES: usize = 3 << 20;

/// An object stored at the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// The version, which grows with each update; 0 if there is no object.
    pub version: u64,
    /// The value; null if there is no object.
    pub value: serde_json::Value,
}

/// The value of the settings object.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoredSettings {
    /// The settings, TOML.
    pub text: String,
    /// The name of the author.
    pub author: String,
    /// The reason that the author gave.
    pub reason: String,
    /// The time of the write, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The ids of the operations that made this and earlier versions, newest
    /// last.
    pub operations: Vec<String>,
    /// Earlier changes, newest last, without their texts.
    #[serde(default)]
    pub history: Vec<Change>,
    /// The difference between the settings' revision and the object's version.
    #[serde(default)]
    pub base: u64,
}

impl StoredSettings {
    /// Returns the settings' revision, given the object's version. It grows
    /// with each change, even if the platform is restored from an older copy
    /// and assigns versions again.
    pub fn revision(&self, version: u64) -> u64 {
        self.base + version
    }
}

/// A change in the history.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Change {
    /// The name of the author.
    pub author: String,
    /// The reason that the author gave.
    pub reason: String,
    /// The time of the write, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The operation id.
    pub operation: String,
}

/// The result of a call.
#[derive(Clone, Debug)]
pub enum CallResult<T> {
    /// The platform answered.
    Answered(T),
    /// The condition of an update did not hold.
    Conflict,
    /// No answer, or an unusable one. An update may have taken effect.
    Lost,
}

/// A client for the object API that limits its rate of calls.
#[derive(Clone, Debug)]
pub struct Platform {
    http: HttpClient,
    address: SocketAddr,
    rate_limit: Arc<CallRateLimit>,
}

impl Platform {
    /// Creates a client for the platform at the configured address.
    pub fn new(http: HttpClient, config: &PlatformConfig) -> Platform {
        Platform {
            http,
            address: config.address,
            rate_limit: Arc::new(CallRateLimit::new(config.calls_per_s)),
        }
    }

    /// Reads an object.
    pub async fn read(&self, key: &str) -> CallResult<Object> {
        self.get(&object_path(key), CALL_TIMEOUT).await
    }

    /// Waits until an object's version is above `after`, for at most ten
    /// seconds, and returns the object.
    pub async fn watch(&self, key: &str, after: u64) -> CallResult<Object> {
        let path = object_path(key)
            .with_query("after", after)
            .with_query("wait_ms", WATCH_MS);
        let timeout = CALL_TIMEOUT + Duration::from_millis(WATCH_MS);
        self.get(&path, timeout).await
    }

    /// Updates an object if its version is `expected`; returns the new
    /// version.
    pub async fn update(
        &self,
        key: &str,
        expected: u64,
        value: &serde_json::Value,
    ) -> CallResult<u64> {
        self.rate_limit.wait().await;
        let path = object_path(key).with_query("if_version", expected);
        let body = Bytes::from(value.to_string());
        let answer = self
            .http
            .call(
                Method::PUT,
                self.address,
                &path,
                body,
                MAX_ANSWER_BYTES,
                CALL_TIMEOUT,
            )
            .await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                match serde_json::from_slice::<Object>(&answer.body) {
                    Ok(object) => CallResult::Answered(object.version),
                    Err(_) => CallResult::Lost,
                }
            }
            Ok(answer) if answer.status == StatusCode::CONFLICT => {
                CallResult::Conflict
            }
            _ => CallResult::Lost,
        }
    }

    async fn get(
        &self,
        path: &RequestPath,
        timeout: Duration,
    ) -> CallResult<Object> {
        self.rate_limit.wait().await;
        let answer = self
            .http
            .call(
                Method::GET,
                self.address,
                path,
                Bytes::new(),
                MAX_ANSWER_BYTES,
                timeout,
            )
            .await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                match serde_json::from_slice(&answer.body) {
                    Ok(object) => CallResult::Answered(object),
                    Err(_) => CallResult::Lost,
                }
            }
            _ => CallResult::Lost,
        }
    }
}

/// Returns the path of an object.
fn object_path(key: &str) -> RequestPath {
    RequestPath::new("/objects").with_segments(key)
}

/// Delays calls so that the process stays within its rate of calls.
#[derive(Debug)]
struct CallRateLimit {
    gap_us: u64,
    start: Duration,
    next_us: AtomicU64,
}

/// The number of calls that may follow an earlier one without a delay.
const BURST: u64 = 4;

impl CallRateLimit {
    fn new(calls_per_s: u32) -> CallRateLimit {
        CallRateLimit {
            gap_us: 1_000_000 / u64::from(calls_per_s.max(1)),
            start: boot_time::now(),
            next_us: AtomicU64::new(0),
        }
    }

    async fn wait(&self) {
        let passed = boot_time::now().saturating_sub(self.start);
        let now_us = passed.as_micros() as u64;
        let earliest = now_us.saturating_sub(BURST * self.gap_us);
        let reserved = self.next_us.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |next_us| Some(next_us.max(earliest) + self.gap_us),
        );
        let slot_us = reserved.unwrap_or(0).max(earliest);
        let wait_us = slot_us.saturating_sub(now_us);
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
    }
}
