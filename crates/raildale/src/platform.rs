//! The platform's object API, as a client sees it.

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

use crate::{boot_time, config::PlatformConfig, http_client::HttpClient};

/// The object that holds the settings tree.
pub const SETTINGS_KEY: &str = "raildale-settings";

/// How long a watch waits at the platform.
const WATCH_MS: u64 = 10_000;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of an answer at most: the limit on a value, and its frame.
const MOST_BYTES: usize = 3 << 20;

/// An object as the platform holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// Grows with each update; 0 if there is no object.
    pub version: u64,
    /// The value; null if there is no object.
    pub value: serde_json::Value,
}

/// The value of the settings object.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoredSettings {
    /// TOML.
    pub text: String,
    /// Who wrote it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The operations that made this and earlier versions, newest last.
    pub operations: Vec<String>,
    /// Earlier changes, newest last, without their texts.
    #[serde(default)]
    pub history: Vec<Change>,
    /// What the object's version lacks for the settings' revision.
    #[serde(default)]
    pub base: u64,
}

impl StoredSettings {
    /// The settings' revision, in an object of this version. It grows with
    /// each change, also if the platform is restored from an older copy and
    /// gives versions out again.
    pub fn revision(&self, version: u64) -> u64 {
        self.base + version
    }
}

/// A change in the history.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Change {
    /// Who wrote it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The operation id.
    pub operation: String,
}

/// What a call came to.
#[derive(Clone, Debug)]
pub enum CallResult<T> {
    /// The platform answered.
    Answered(T),
    /// The condition of an update did not hold.
    Conflict,
    /// No answer, or one that says nothing. A write may have taken effect.
    Lost,
}

/// A client with a budget of calls.
#[derive(Clone, Debug)]
pub struct Platform {
    http: HttpClient,
    address: SocketAddr,
    budget: Arc<CallBudget>,
}

impl Platform {
    /// A client for the platform at the configured address.
    pub fn new(http: HttpClient, config: &PlatformConfig) -> Platform {
        Platform {
            http,
            address: config.address,
            budget: Arc::new(CallBudget::new(config.calls_per_s)),
        }
    }

    /// Reads an object.
    pub async fn read(&self, key: &str) -> CallResult<Object> {
        self.get(&format!("/objects/{key}"), CALL_TIMEOUT).await
    }

    /// Waits until an object's version is above `after`, for a while.
    pub async fn watch(&self, key: &str, after: u64) -> CallResult<Object> {
        let path = format!("/objects/{key}?after={after}&wait_ms={WATCH_MS}");
        let timeout = CALL_TIMEOUT + Duration::from_millis(WATCH_MS);
        self.get(&path, timeout).await
    }

    /// Updates an object if its version is `expected`; returns the new one.
    pub async fn update(
        &self,
        key: &str,
        expected: u64,
        value: &serde_json::Value,
    ) -> CallResult<u64> {
        self.budget.wait().await;
        let path = format!("/objects/{key}?if_version={expected}");
        let body = Bytes::from(value.to_string());
        let answer = self
            .http
            .call(
                Method::PUT,
                self.address,
                &path,
                body,
                MOST_BYTES,
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

    async fn get(&self, path: &str, timeout: Duration) -> CallResult<Object> {
        self.budget.wait().await;
        let answer = self
            .http
            .call(
                Method::GET,
                self.address,
                path,
                Bytes::new(),
                MOST_BYTES,
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

/// Spaces calls out, so that a process never calls faster than its budget.
#[derive(Debug)]
struct CallBudget {
    gap_us: u64,
    start: Duration,
    next_us: AtomicU64,
}

/// Calls that may follow one another without a pause.
const BURST: u64 = 4;

impl CallBudget {
    fn new(calls_per_s: u32) -> CallBudget {
        CallBudget {
            gap_us: 1_000_000 / u64::from(calls_per_s.max(1)),
            start: boot_time::now(),
            next_us: AtomicU64::new(0),
        }
    }

    async fn wait(&self) {
        let passed = boot_time::now().saturating_sub(self.start);
        let now_us = passed.as_micros() as u64;
        let earliest = now_us.saturating_sub(BURST * self.gap_us);
        let turn = self.next_us.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |next_us| Some(next_us.max(earliest) + self.gap_us),
        );
        let turn_us = turn.unwrap_or(0).max(earliest);
        let wait_us = turn_us.saturating_sub(now_us);
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
    }
}
