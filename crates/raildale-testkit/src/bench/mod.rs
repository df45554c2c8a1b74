//! Benchmarks on fleets of real processes.

pub mod burst;
pub mod capacity;
pub mod faults;
pub mod rolling;
pub mod settings_race;
pub mod settings_text;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use raildale::http_client::HttpClient;
use raildale_core::Manifest;
use serde_json::Value;

use crate::fleet::{BOOTSTRAP_KEY, Fleet, FleetConfig};

/// The maximum time for a fleet to come up.
pub(crate) const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A client of the admin API of a fleet.
#[derive(Clone, Debug)]
pub struct Operator {
    http: HttpClient,
    entries: Vec<SocketAddr>,
}

impl Operator {
    /// Returns an operator that calls the entry hosts at `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Operator {
        Operator { http: HttpClient::new(None), entries }
    }

    /// Applies settings through the first entry host that accepts them.
    /// Returns their revision; `None` if no entry host accepted them.
    pub async fn apply(&self, text: &str) -> Option<u64> {
        for address in &self.entries {
            let path = "/admin/v1/settings";
            let value = self.put(*address, path, text).await;
            let Some(value) = value else { continue };
            if value["code"] == 1001 {
                return value["revision"].as_u64();
            }
        }
        None
    }

    /// Changes the settings through the entry host with index `entry`, on top
    /// of revision `expected`, as the operation named `operation`. Returns the
    /// JSON answer; `None` if there was none.
    pub async fn change_settings(
        &self,
        entry: usize,
        text: &str,
        expected: u64,
        operation: &str,
    ) -> Option<Value> {
        let path = format!(
            "/admin/v1/settings?expected={expected}&operation={operation}"
        );
        self.put(self.entries[entry], &path, text).await
    }

    async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        text: &str,
    ) -> Option<Value> {
        let request = Request::put(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {BOOTSTRAP_KEY}"))
            .body(Full::new(Bytes::from(text.to_string())))
            .ok()?;
        let response = self.http.open(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Waits until every entry host sees `targets` serving targets, for at
    /// most `limit`. Returns whether that happened.
    pub async fn wait_for_targets(
        &self,
        fleet: &Fleet,
        targets: usize,
        limit: Duration,
    ) -> bool {
        let entries = fleet.http_addresses();
        wait_until(limit, async || {
            for address in &entries {
                if self.serving_target_count(*address).await != Some(targets) {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Returns the number of serving targets that the entry host at `address`
    /// sees; `None` if it did not answer.
    async fn serving_target_count(
        &self,
        address: SocketAddr,
    ) -> Option<usize> {
        let status = self.status(address).await?;
        let serves = |host: &&Value| {
            let is_live = host["leaving"] == false;
            is_live
                && host["served"].as_object().is_some_and(|s| !s.is_empty())
        };
        Some(status["hosts"].as_array()?.iter().filter(serves).count())
    }

    /// Returns the status report of the entry host at `address`; `None` if it
    /// did not answer.
    pub async fn status(&self, address: SocketAddr) -> Option<Value> {
        let url = format!("http://{address}/admin/v1/status");
        let request = Request::get(url)
            .header("authorization", format!("Bearer {BOOTSTRAP_KEY}"))
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = self.http.open(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

/// A running fleet whose hosts all serve one version, as every entry host
/// knows.
#[derive(Debug)]
pub struct ServingFleet {
    /// The fleet.
    pub fleet: Fleet,
    /// An operator of the fleet.
    pub operator: Operator,
    /// The manifest of the version.
    pub manifest: Manifest,
}

impl ServingFleet {
    /// Starts a fleet and waits until every host serves a version of
    /// `model_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started or does not come up.
    pub async fn start(
        config: FleetConfig,
        model_bytes: usize,
    ) -> anyhow::Result<ServingFleet> {
        let targets = config.hosts + 1;
        let chunk_bytes = config.chunk_bytes;
        let fleet = Fleet::start(config).await?;
        let manifest =
            burst::publish(&fleet, "v1", model_bytes, chunk_bytes, 1);
        let operator = Operator::new(fleet.http_addresses());
        let versions = [("v1", &manifest)];
        let text =
            settings_text::settings("origin-bytes", "v1", &versions, "");
        let is_applied = wait_until(STARTUP_TIMEOUT, async || {
            operator.apply(&text).await.is_some()
        })
        .await;
        anyhow::ensure!(is_applied, "no entry host accepted the settings");
        let is_up =
            operator.wait_for_targets(&fleet, targets, STARTUP_TIMEOUT).await;
        anyhow::ensure!(is_up, "not every entry host sees all targets");
        Ok(ServingFleet { fleet, operator, manifest })
    }
}

/// Waits until `condition` holds, for at most `limit`. Returns whether it did.
pub async fn wait_until(
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> bool {
    let start = Instant::now();
    loop {
        if condition().await {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
