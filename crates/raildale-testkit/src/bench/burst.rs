//! A burst: the rollout of a new version to every host under load.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use raildale_core::Manifest;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    Operator, STARTUP_TIMEOUT,
    faults::{self, Fault},
    settings_text::{CLUB_KEY, GRID_KEY, origin_path, settings},
    wait_until,
};
use crate::{
    caller::{Callers, RequestSpec, SentRequest, Tally, latency_quantile_ms},
    fleet::{Fleet, FleetConfig},
};

/// The size of the version that is served before the burst, in bytes.
const FIRST_BYTES: usize = 256 << 10;

/// The number of chunks of a version, unless they would be smaller than
/// [`MIN_CHUNK_BYTES`].
const CHUNKS: u64 = 256;

/// The minimum size of a chunk, in bytes.
const MIN_CHUNK_BYTES: u64 = 16 << 10;

/// The maximum rate of all links of a fleet together, so that the machine that
/// runs all its hosts is not the bottleneck.
const FLEET_BYTES_PER_S: u64 = 160 << 20;

/// The maximum rate of a host's link.
const MAX_LINK_BYTES_PER_S: u64 = 4 << 20;

/// The period of load before the burst.
const WARM_UP: Duration = Duration::from_secs(4);

/// The request rate, per second.
const REQUESTS_PER_S: f64 = 60.0;

/// The time that a burst may take in addition to [`MAX_RATIO`] times its
/// floor.
const GRACE: Duration = Duration::from_secs(15);

/// The maximum duration of a burst, as a multiple of its floor.
const MAX_RATIO: u32 = 4;

/// The configuration of a burst.
#[derive(Clone, Debug)]
pub struct BurstConfig {
    /// The executable that runs the entry hosts and agents.
    pub program: PathBuf,
    /// The number of hosts with a model engine.
    pub hosts: usize,
    /// The size of the new version, in bytes.
    pub model_bytes: u64,
    /// The setting `favour`: `time` or `origin-bytes`.
    pub favour: String,
    /// The distribution scheme: `swarm` or `origin`.
    pub scheme: String,
    /// The seed of the versions' contents and of the faults.
    pub seed: u64,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The rate of a host's link; if `None`, a rate that one machine can carry
    /// for all hosts.
    pub link_bytes_per_s: Option<u64>,
    /// Lines added to `[link]` of each agent's settings file.
    pub link_extra: String,
    /// The faults injected during the burst.
    pub faults: Vec<Fault>,
    /// Whether progress is printed to standard error.
    pub show: bool,
    /// Whether the logs of the processes are kept.
    pub keep_logs: bool,
}

/// The results of a burst. Every figure is counted by the simulated engines,
/// origin, links, platform and callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BurstReport {
    /// The number of hosts with a model engine that were not killed.
    pub hosts: u64,
    /// The number of hosts that serve the new version.
    pub hosts_ready: u64,
    /// The time from the acceptance of the settings until the last host served
    /// the new version.
    pub time_to_n_ms: f64,
    /// The time to transfer the new version over a host's link.
    pub floor_ms: f64,
    /// `time_to_n_ms` divided by `floor_ms`.
    pub time_ratio: f64,
    /// The bytes that the origin sent, divided by the size of the version.
    pub origin_copies: f64,
    /// The bytes sent between hosts of different data centres, divided by the
    /// size of the version and by the number of data centres but one.
    pub crossing_copies: f64,
    /// The number of answers generated from incomplete weights.
    pub partial_served: u64,
    /// The outcomes of the requests.
    #[serde(flatten)]
    pub tally: Tally,
    /// The 99th percentile of the latency of urgent requests before the burst.
    pub p99_before_ms: f64,
    /// The 99th percentile of the latency of urgent requests during the burst.
    pub p99_during_ms: f64,
    /// Calls to the platform per second, over the whole run.
    pub platform_calls_per_s: f64,
}

/// Runs a burst.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or does not come up.
pub async fn run(config: &BurstConfig) -> anyhow::Result<BurstReport> {
    let rate =
        config.link_bytes_per_s.unwrap_or_else(|| link_rate(config.hosts));
    let chunk_bytes = (config.model_bytes / CHUNKS).max(MIN_CHUNK_BYTES);
    let mut fleet = Fleet::start(FleetConfig {
        program: config.program.clone(),
        entries: config.entries,
        hosts: config.hosts,
        data_centres: config.data_centres,
        link_bytes_per_s: rate,
        chunk_bytes,
        scheme: config.scheme.clone(),
        unfenced_one_in: 4,
        spans: false,
        link_extra: config.link_extra.clone(),
    })
    .await?;
    if config.keep_logs {
        eprintln!("logs: {}", fleet.keep_folder().display());
    }
    let start = Instant::now();
    let mut burst = Burst::new(config, &fleet, chunk_bytes);
    burst.bring_up().await?;
    let callers = Callers::new(fleet.caller_ip(), fleet.http_addresses());
    callers.run(REQUESTS_PER_S, plan);
    tokio::time::sleep(WARM_UP).await;
    let began = burst.begin().await?;
    let floor =
        Duration::from_secs_f64(config.model_bytes as f64 / rate as f64);
    burst.inject_faults(floor).await?;
    burst.wait_until_ready(began, floor).await;
    let ended = Instant::now();
    callers.stop().await;
    let seconds = start.elapsed().as_secs_f64();
    let mut report = burst.report(began, floor);
    let sent = callers.finished();
    report.tally = Tally::new(&sent, &fleet.truth);
    report.p99_before_ms = urgent_p99(&sent, began - WARM_UP, began);
    report.p99_during_ms = urgent_p99(&sent, began, ended);
    report.platform_calls_per_s = fleet.platform.calls() as f64 / seconds;
    Ok(report)
}

/// A running burst.
struct Burst<'a> {
    config: &'a BurstConfig,
    fleet: &'a Fleet,
    operator: Operator,
    chunk_bytes: u64,
    first: Manifest,
    second: Manifest,
    /// The names of the hosts that were killed.
    killed: Vec<String>,
}

impl<'a> Burst<'a> {
    fn new(
        config: &'a BurstConfig,
        fleet: &'a Fleet,
        chunk_bytes: u64,
    ) -> Burst<'a> {
        let first =
            publish(fleet, "v1", FIRST_BYTES, chunk_bytes, config.seed);
        let bytes = config.model_bytes as usize;
        let second = publish(fleet, "v2", bytes, chunk_bytes, config.seed + 1);
        let operator = Operator::new(fleet.http_addresses());
        Burst {
            config,
            fleet,
            operator,
            chunk_bytes,
            first,
            second,
            killed: vec![],
        }
    }

    /// Applies the first settings and waits until all hosts serve the first
    /// version and all entry hosts know them.
    async fn bring_up(&self) -> anyhow::Result<()> {
        let is_applied = wait_until(STARTUP_TIMEOUT, async || {
            self.operator.apply(&self.settings("v1")).await.is_some()
        })
        .await;
        anyhow::ensure!(is_applied, "no entry host accepted the settings");
        let digest = self.first.digest();
        let is_up = wait_until(STARTUP_TIMEOUT, async || {
            self.fleet.activation_times(digest).len() == self.config.hosts
        })
        .await;
        anyhow::ensure!(is_up, "the first version did not reach all hosts");
        let targets = self.config.hosts + 1;
        let all_seen = self
            .operator
            .wait_for_targets(self.fleet, targets, STARTUP_TIMEOUT)
            .await;
        anyhow::ensure!(all_seen, "not every entry host sees all targets");
        Ok(())
    }

    /// Resets the counters and applies the settings with the new version.
    /// Returns the time at which they were accepted.
    async fn begin(&self) -> anyhow::Result<Instant> {
        self.fleet.origin.reset_counts();
        self.fleet.links.reset_counts();
        let applied = self.operator.apply(&self.settings("v2")).await;
        anyhow::ensure!(applied.is_some(), "the new version was refused");
        Ok(Instant::now())
    }

    fn settings(&self, version: &str) -> String {
        let versions = [("v1", &self.first), ("v2", &self.second)];
        settings(&self.config.favour, version, &versions, "")
    }

    /// Injects the configured faults, most of them after a part of the burst.
    async fn inject_faults(&mut self, floor: Duration) -> anyhow::Result<()> {
        let has = |fault| self.config.faults.contains(&fault);
        if has(Fault::Corrupt) {
            faults::corrupt(self.fleet, self.chunk_bytes);
        }
        if has(Fault::Replace) {
            tokio::time::sleep(floor / 5).await;
            self.replace().await?;
        }
        if self.config.faults.contains(&Fault::Outage) {
            faults::outage(self.fleet);
        }
        if self.config.faults.is_empty() {
            return Ok(());
        }
        tokio::time::sleep(floor / 5).await;
        if self.config.faults.contains(&Fault::Owner) {
            faults::kill_owner(self.fleet, &self.second.digest());
        }
        if self.config.faults.contains(&Fault::Kills) {
            self.killed = faults::kill_hosts(self.fleet, self.config.seed);
        }
        if self.config.faults.contains(&Fault::Stalls) {
            faults::stall_links(self.fleet, self.config.seed).await;
        }
        Ok(())
    }

    /// Replaces the contents of the new version under the same path and name,
    /// and applies settings with the new manifest.
    async fn replace(&mut self) -> anyhow::Result<()> {
        let bytes = self.config.model_bytes as usize;
        let seed = self.config.seed + 2;
        self.second = publish(self.fleet, "v2", bytes, self.chunk_bytes, seed);
        let applied = self.operator.apply(&self.settings("v2")).await;
        anyhow::ensure!(applied.is_some(), "the replacement was refused");
        Ok(())
    }

    /// Returns when each surviving host first served the new version.
    fn ready(&self) -> Vec<Instant> {
        self.fleet
            .truth
            .activation_times(self.second.digest())
            .into_iter()
            .filter(|(host, _)| !self.killed.contains(host))
            .map(|(_, at)| at)
            .collect()
    }

    fn survivors(&self) -> usize {
        self.config.hosts - self.killed.len()
    }

    /// Waits until all surviving hosts serve the new version or the maximum
    /// duration has passed.
    async fn wait_until_ready(&self, began: Instant, floor: Duration) {
        let mut shown_at = Instant::now();
        wait_until(floor * MAX_RATIO + GRACE, async || {
            let ready = self.ready().len();
            if self.config.show && shown_at.elapsed() > Duration::from_secs(1)
            {
                shown_at = Instant::now();
                let copies = self.fleet.origin.bytes_sent() as f64
                    / self.config.model_bytes as f64;
                let peers = self.fleet.links.peer_bytes() as f64
                    / (self.config.model_bytes * self.config.hosts as u64)
                        as f64;
                eprintln!(
                    "{:5.1} s: {ready}/{} hosts ready, {:3.0}% of all bytes \
                     moved, origin sent {copies:.2} copies",
                    began.elapsed().as_secs_f64(),
                    self.config.hosts,
                    peers * 100.0,
                );
            }
            ready == self.survivors()
        })
        .await;
    }

    fn report(&self, began: Instant, floor: Duration) -> BurstReport {
        let ready = self.ready();
        let last = ready.iter().max().copied().unwrap_or(began);
        let time_ms =
            last.saturating_duration_since(began).as_secs_f64() * 1000.0;
        let floor_ms = floor.as_secs_f64() * 1000.0;
        let size = self.config.model_bytes as f64;
        let further = self.config.data_centres.saturating_sub(1).max(1) as f64;
        BurstReport {
            hosts: self.survivors() as u64,
            hosts_ready: ready.len() as u64,
            time_to_n_ms: time_ms,
            floor_ms,
            time_ratio: time_ms / floor_ms,
            origin_copies: self.fleet.origin.bytes_sent() as f64 / size,
            crossing_copies: self.fleet.links.crossing_bytes() as f64
                / size
                / further,
            partial_served: self.fleet.truth.partial_answers(),
            ..BurstReport::default()
        }
    }
}

/// Returns the rate of a host's link in a fleet of `hosts` hosts, in bytes per
/// second.
fn link_rate(hosts: usize) -> u64 {
    (FLEET_BYTES_PER_S / hosts as u64).min(MAX_LINK_BYTES_PER_S)
}

/// Stores a version with random contents at the origin. Returns its manifest.
pub(super) fn publish(
    fleet: &Fleet,
    version: &str,
    bytes: usize,
    chunk_bytes: u64,
    seed: u64,
) -> Manifest {
    let mut data = vec![0; bytes];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut data);
    let manifest = Manifest::new(&data, chunk_bytes as usize);
    let path = origin_path(version);
    fleet.origin.store(&path, Bytes::from(data), manifest.clone());
    fleet.truth.publish(manifest.clone());
    manifest
}

/// Returns the request with the given number, from a mix of priorities, kinds
/// and organisations.
pub(super) fn plan(number: u64) -> RequestSpec {
    let is_plain = number % 6 == 5;
    let repeatable = number.is_multiple_of(2);
    RequestSpec {
        key: if is_plain { GRID_KEY } else { CLUB_KEY }.to_string(),
        model: if is_plain { "tickets" } else { "commentary" }.to_string(),
        priority: ["urgent", "normal", "bulk"][(number % 3) as usize],
        repeatable,
        has_run_key: number % 4 == 1,
        stream: number.is_multiple_of(5),
        max_tokens: 12,
        deadline_ms: 5_000,
        text: format!("position {} of the round", number % 40),
    }
}

/// Returns the 99th percentile of the latency of the urgent requests sent from
/// `from` until `to`, in milliseconds.
fn urgent_p99(sent: &[SentRequest], from: Instant, to: Instant) -> f64 {
    let urgent: Vec<&SentRequest> = sent
        .iter()
        .filter(|request| request.priority == "urgent")
        .filter(|request| request.sent_at >= from && request.sent_at < to)
        .collect();
    latency_quantile_ms(&urgent, 0.99)
}
