//! Concurrent changes of the settings by two operators: the time until a
//! change is in force everywhere, and whether any is lost, duplicated or
//! reverted.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use raildale::platform::{SETTINGS_KEY, StoredSettings};
use raildale_core::{Manifest, settings::writer::RECENT_OPERATIONS};
use serde::Serialize;
use serde_json::Value;

use super::{Operator, ServingFleet, settings_text::settings};
use crate::{
    fleet::{Fleet, FleetConfig},
    platform::Faults,
};

/// The maximum time for a change to be in force everywhere.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

/// The minimum interval between two rounds of changes.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The size of the served version, in bytes.
const MODEL_BYTES: usize = 64 << 10;

/// One in this many updates takes effect while its answer is lost.
const LOSE_ANSWER_ONE_IN: u64 = 5;

/// The configuration of a race.
#[derive(Clone, Debug)]
pub struct RaceConfig {
    /// The executable that runs the entry hosts and agents.
    pub program: PathBuf,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of hosts with a model engine.
    pub hosts: usize,
    /// The number of rounds, in each of which two operators change the
    /// settings concurrently.
    pub rounds: usize,
    /// Whether some answers of the platform are lost.
    pub lose_answers: bool,
    /// Whether the platform is restored, after two thirds of the rounds, to
    /// what it held after one third.
    pub restores: bool,
}

/// The results of a race.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RaceReport {
    /// The number of changes answered as accepted.
    pub accepted: u64,
    /// The number of changes refused as conflicts.
    pub conflicts: u64,
    /// The number of changes without an answer or with any other answer.
    pub unsettled: u64,
    /// The 99th percentile of the time from the answer to an accepted change
    /// until every process had it.
    pub accept_to_everywhere_p99_ms: f64,
    /// The median of the same time.
    pub accept_to_everywhere_p50_ms: f64,
    /// The number of rounds in which not every process had the newest change
    /// in time.
    pub late: u64,
    /// The number of times that a process showed a lower revision than before.
    pub reverted: u64,
    /// The number of rounds whose accepted revision was not higher than all
    /// before.
    pub reused: u64,
    /// The number of recent accepted changes that the platform does not know
    /// and that no restore has undone.
    pub lost_updates: u64,
    /// The number of recent accepted changes that the platform holds more than
    /// once.
    pub doubled_writes: u64,
    /// Calls to the platform per second.
    pub platform_calls_per_s: f64,
}

/// Runs a race of two operators.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or does not come up.
pub async fn run(config: &RaceConfig) -> anyhow::Result<RaceReport> {
    let ServingFleet { fleet, operator, manifest } = ServingFleet::start(
        FleetConfig::new(&config.program, config.entries, config.hosts),
        MODEL_BYTES,
    )
    .await?;
    if config.lose_answers {
        fleet.platform.set_faults(Faults {
            lose_answer_one_in: LOSE_ANSWER_ONE_IN,
            ..Faults::default()
        });
    }
    let mut race = Race {
        fleet: &fleet,
        operator,
        manifest,
        revisions: BTreeMap::new(),
        accepted: vec![],
        newest: 0,
        lags: vec![],
        report: RaceReport::default(),
    };
    let (start, calls) = (Instant::now(), fleet.platform.calls());
    let mut saved = None;
    for round in 0..config.rounds {
        if config.restores && round == config.rounds / 3 {
            saved = Some((fleet.platform.snapshot(), race.accepted.len()));
        }
        if round == config.rounds * 2 / 3
            && let Some((copy, accepted)) = saved.take()
        {
            fleet.platform.restore(copy);
            race.accepted.truncate(accepted);
        }
        race.round(round as u64).await;
    }
    let calls = (fleet.platform.calls() - calls) as f64;
    let seconds = start.elapsed().as_secs_f64();
    race.report.platform_calls_per_s = calls / seconds;
    Ok(race.finish())
}

/// A running race.
struct Race<'a> {
    fleet: &'a Fleet,
    operator: Operator,
    manifest: Manifest,
    /// The last revision that each process showed, by process.
    revisions: BTreeMap<String, u64>,
    /// The operations of the accepted changes that no restore has undone.
    accepted: Vec<String>,
    /// The highest accepted revision.
    newest: u64,
    /// The times from the answers to accepted changes until they were in force
    /// everywhere, in milliseconds.
    lags: Vec<f64>,
    report: RaceReport,
}

impl Race<'_> {
    /// Lets both operators change the settings, and waits until the accepted
    /// change is in force everywhere.
    async fn round(&mut self, round: u64) {
        let start = Instant::now();
        let (ana, ben) = (format!("ana-{round}"), format!("ben-{round}"));
        let base = self.revision();
        let (one, other) = (
            text(&self.manifest, 2 * round + 1),
            text(&self.manifest, 2 * round + 2),
        );
        let (one, other) = tokio::join!(
            self.operator.change_settings(0, &one, base, &ana),
            self.operator.change_settings(1, &other, base, &ben),
        );
        let newest =
            self.record_answer(ana, one).max(self.record_answer(ben, other));
        let accepted_at = Instant::now();
        if newest > 0 {
            self.report.reused += u64::from(newest <= self.newest);
            self.newest = self.newest.max(newest);
            self.wait_for(newest, accepted_at).await;
        }
        tokio::time::sleep(ROUND_INTERVAL.saturating_sub(start.elapsed()))
            .await;
    }

    /// Returns the revision of the settings that the platform holds.
    fn revision(&self) -> u64 {
        let object = self.fleet.platform.object(SETTINGS_KEY);
        let stored = serde_json::from_value::<StoredSettings>(object.value);
        stored.unwrap_or_default().revision(object.version)
    }

    /// Records the answer to an operator's change. Returns the accepted
    /// revision, or 0.
    fn record_answer(
        &mut self,
        operation: String,
        answer: Option<Value>,
    ) -> u64 {
        let code = answer.as_ref().and_then(|value| value["code"].as_u64());
        match code {
            Some(1001) => {
                self.report.accepted += 1;
                self.accepted.push(operation);
                answer.and_then(|v| v["revision"].as_u64()).unwrap_or(0)
            }
            Some(5001) => {
                self.report.conflicts += 1;
                0
            }
            _ => {
                self.report.unsettled += 1;
                0
            }
        }
    }

    /// Waits until every process has `revision`, and records the time since
    /// `since`.
    async fn wait_for(&mut self, revision: u64, since: Instant) {
        let is_everywhere = loop {
            if self.lowest_revision().await >= revision {
                break true;
            }
            if since.elapsed() > PROPAGATION_TIMEOUT {
                break false;
            }
        };
        self.report.late += u64::from(!is_everywhere);
        self.lags.push(since.elapsed().as_secs_f64() * 1000.0);
    }

    /// Returns the lowest revision in force, according to each entry host's
    /// status, which covers itself and the agents that report to it. Returns 0
    /// if an entry host does not answer.
    async fn lowest_revision(&mut self) -> u64 {
        let mut lowest = u64::MAX;
        for address in self.fleet.http_addresses() {
            let Some(status) = self.operator.status(address).await else {
                return 0;
            };
            lowest = lowest
                .min(self.record_revision(&address.to_string(), &status));
            for host in status["hosts"].as_array().into_iter().flatten() {
                let name = format!("{address} {}", host["name"]);
                lowest = lowest.min(self.record_revision(&name, host));
            }
        }
        lowest
    }

    /// Records and returns the revision that a process shows.
    fn record_revision(&mut self, name: &str, value: &Value) -> u64 {
        let revision = value["revision"].as_u64().unwrap_or(0);
        let before = self.revisions.insert(name.to_string(), revision);
        if before.is_some_and(|before| before > revision) {
            self.report.reverted += 1;
        }
        revision
    }

    fn finish(mut self) -> RaceReport {
        let object = self.fleet.platform.object(SETTINGS_KEY);
        let stored: StoredSettings =
            serde_json::from_value(object.value).unwrap_or_default();
        let count = |operation: &String| {
            stored.operations.iter().filter(|o| *o == operation).count()
        };
        let recent = self.accepted.iter().rev().take(RECENT_OPERATIONS / 2);
        let counts: Vec<usize> = recent.map(count).collect();
        let lost = counts.iter().filter(|count| **count == 0).count();
        self.report.lost_updates = lost as u64;
        let doubled = counts.iter().filter(|count| **count > 1).count();
        self.report.doubled_writes = doubled as u64;
        self.lags.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let last = self.lags.len().saturating_sub(1) as f64;
            let index = (last * quantile).ceil() as usize;
            self.lags.get(index).copied().unwrap_or(0.0)
        };
        self.report.accept_to_everywhere_p50_ms = at(0.5);
        self.report.accept_to_everywhere_p99_ms = at(0.99);
        self.report
    }
}

/// Returns settings that differ by `number`.
fn text(manifest: &Manifest, number: u64) -> String {
    let extra = format!("deadline_ms = {}", 10_000 + number);
    settings("origin-bytes", "v1", &[("v1", manifest)], &extra)
}
