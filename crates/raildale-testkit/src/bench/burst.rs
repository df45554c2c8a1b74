//! A burst: a new version reaches every host while requests flow.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use raildale_core::Manifest;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    COME_UP, Operator,
    faults::{self, Fault},
    settings_text::{CLUB_KEY, GRID_KEY, origin_path, settings},
    wait_until,
};
use crate::{
    caller::{Callers, Plan, Sent, Tally, quantile_ms},
    fleet::{Fleet, FleetConfig},
};

/// Bytes of the version that serves before the burst.
const FIRST_BYTES: usize = 256 << 10;

/// Chunks of a version, unless that makes them too small.
const CHUNKS: u64 = 256;

/// Bytes of a chunk at least.
const MIN_CHUNK_BYTES: u64 = 16 << 10;

/// What all links of a fleet carry together at most, so that this machine,
/// which plays them all, is not the bottleneck.
const FLEET_BYTES_PER_S: u64 = 160 << 20;

/// A host's link at most.
const MAX_LINK_BYTES_PER_S: u64 = 4 << 20;

/// How long requests flow before the burst.
const BEFORE: Duration = Duration::from_secs(4);

/// Requests a second.
const REQUESTS_PER_S: f64 = 60.0;

/// Time that a burst may take beyond that.
const GRACE: Duration = Duration::from_secs(15);

/// A burst may take so many times its floor.
const MAX_RATIO: u32 = 4;

/// What a burst is to be.
#[derive(Clone, Debug)]
pub struct BurstConfig {
    /// The program that starts as the product's processes.
    pub program: PathBuf,
    /// Hosts with a model engine.
    pub hosts: usize,
    /// The version's size.
    pub model_bytes: u64,
    /// `time` or `origin-bytes`.
    pub favour: String,
    /// `swarm` or `origin`.
    pub scheme: String,
    /// Seed of the weights' bytes and of the faults.
    pub seed: u64,
    /// Entry hosts.
    pub entries: usize,
    /// Data centres.
    pub data_centres: usize,
    /// A host's link; one that suits this machine if absent.
    pub link_bytes_per_s: Option<u64>,
    /// Lines added to `[link]` of each agent's settings file.
    pub link_extra: String,
    /// What goes wrong meanwhile.
    pub faults: Vec<Fault>,
    /// Whether progress is shown.
    pub show: bool,
    /// Whether logs are kept.
    pub keep_logs: bool,
}

/// What a burst came to. Every figure is counted by stand-ins and callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BurstReport {
    /// Hosts with a model engine that were not killed.
    pub hosts: u64,
    /// Hosts that serve the new version.
    pub hosts_ready: u64,
    /// From the accepted settings until the last host served it.
    pub time_to_n_ms: f64,
    /// The version's size over a host's link.
    pub floor_ms: f64,
    /// The one over the other.
    pub time_ratio: f64,
    /// Bytes that left the origin over the version's size.
    pub origin_copies: f64,
    /// Bytes between hosts of different data centres over the version's
    /// size, for each data centre but the first.
    pub crossing_copies: f64,
    /// Answers from weights that were not whole.
    pub partial_served: u64,
    /// What the requests came to.
    #[serde(flatten)]
    pub tally: Tally,
    /// Of urgent requests, before the burst.
    pub p99_before_ms: f64,
    /// Of urgent requests, during it.
    pub p99_during_ms: f64,
    /// Calls at the platform, over the whole run.
    pub platform_calls_per_s: f64,
}

/// Runs a burst.
///
/// # Errors
///
/// If the fleet cannot be started or does not come up.
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
        unchecked_one_in: 4,
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
    tokio::time::sleep(BEFORE).await;
    let began = burst.begin().await?;
    let floor =
        Duration::from_secs_f64(config.model_bytes as f64 / rate as f64);
    burst.disturb(floor).await?;
    burst.follow(began, floor).await;
    let ended = Instant::now();
    callers.stop().await;
    let seconds = start.elapsed().as_secs_f64();
    let mut report = burst.report(began, floor);
    let sent = callers.sent();
    report.tally = Tally::new(&sent, &fleet.truth);
    report.p99_before_ms = urgent_p99(&sent, began - BEFORE, began);
    report.p99_during_ms = urgent_p99(&sent, began, ended);
    report.platform_calls_per_s = fleet.platform.calls() as f64 / seconds;
    Ok(report)
}

struct Burst<'a> {
    config: &'a BurstConfig,
    fleet: &'a Fleet,
    operator: Operator,
    chunk_bytes: u64,
    first: Manifest,
    second: Manifest,
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

    /// Applies the first settings and waits until the first version serves.
    async fn bring_up(&self) -> anyhow::Result<()> {
        let is_applied = wait_until(COME_UP, async || {
            self.operator.apply(&self.settings("v1")).await.is_some()
        })
        .await;
        anyhow::ensure!(is_applied, "no entry host took the settings");
        let digest = self.first.digest();
        let is_up = wait_until(COME_UP, async || {
            self.fleet.ready(digest).len() == self.config.hosts
        })
        .await;
        anyhow::ensure!(is_up, "the first version did not reach all hosts");
        let targets = self.config.hosts + 1;
        let all_know =
            self.operator.wait_for_targets(self.fleet, targets, COME_UP).await;
        anyhow::ensure!(all_know, "not every entry host sees all targets");
        Ok(())
    }

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

    /// Lets happen what was asked for, after a part of the burst.
    async fn disturb(&mut self, floor: Duration) -> anyhow::Result<()> {
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

    /// Other bytes under the same path and version name; the settings name
    /// the new manifest.
    async fn replace(&mut self) -> anyhow::Result<()> {
        let bytes = self.config.model_bytes as usize;
        let seed = self.config.seed + 2;
        self.second = publish(self.fleet, "v2", bytes, self.chunk_bytes, seed);
        let applied = self.operator.apply(&self.settings("v2")).await;
        anyhow::ensure!(applied.is_some(), "the replacement was refused");
        Ok(())
    }

    /// When each surviving host first served the version.
    fn ready(&self) -> Vec<Instant> {
        self.fleet
            .truth
            .ready(self.second.digest())
            .into_iter()
            .filter(|(host, _)| !self.killed.contains(host))
            .map(|(_, at)| at)
            .collect()
    }

    fn survivors(&self) -> usize {
        self.config.hosts - self.killed.len()
    }

    /// Waits until all hosts serve the new version, or too long.
    async fn follow(&self, began: Instant, floor: Duration) {
        let mut shown = Instant::now();
        wait_until(floor * MAX_RATIO + GRACE, async || {
            let ready = self.ready().len();
            if self.config.show && shown.elapsed() > Duration::from_secs(1) {
                shown = Instant::now();
                let copies = self.fleet.origin.bytes_sent() as f64
                    / self.config.model_bytes as f64;
                let peers = self.fleet.links.peer_bytes() as f64
                    / (self.config.model_bytes * self.config.hosts as u64)
                        as f64;
                eprintln!(
                    "{:5.1} s: {ready}/{} hosts ready, {:3.0}% of all bytes \
                     moved, origin gave {copies:.2} copies",
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
            partial_served: self.fleet.truth.partial_served(),
            ..BurstReport::default()
        }
    }
}

/// What a host's link carries in a fleet of this size.
fn link_rate(hosts: usize) -> u64 {
    (FLEET_BYTES_PER_S / hosts as u64).min(MAX_LINK_BYTES_PER_S)
}

/// Puts a version with random bytes at the origin.
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

/// A mix of classes, kinds and organisations.
pub(super) fn plan(number: u64) -> Plan {
    let is_plain = number % 6 == 5;
    let repeatable = number.is_multiple_of(2);
    Plan {
        key: if is_plain { GRID_KEY } else { CLUB_KEY }.to_string(),
        model: if is_plain { "tickets" } else { "commentary" }.to_string(),
        priority: ["urgent", "normal", "bulk"][(number % 3) as usize],
        repeatable,
        holds_key: number % 4 == 1,
        stream: number.is_multiple_of(5),
        max_tokens: 12,
        deadline_ms: 5_000,
        text: format!("position {} of the round", number % 40),
    }
}

fn urgent_p99(sent: &[Sent], from: Instant, to: Instant) -> f64 {
    let urgent: Vec<&Sent> = sent
        .iter()
        .filter(|request| request.priority == "urgent")
        .filter(|request| request.at >= from && request.at < to)
        .collect();
    quantile_ms(&urgent, 0.99)
}
