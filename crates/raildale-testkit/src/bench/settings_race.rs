//! Settings under racing operators: how soon a change is in force
//! everywhere, and whether any is lost, doubled or taken back.

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

/// How long a change may take to be in force.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two rounds of changes.
const ROUND: Duration = Duration::from_secs(1);

/// Bytes of the version that is served.
const MODEL_BYTES: usize = 64 << 10;

/// One update in so many takes effect while its answer is lost.
const LOSE_ANSWER_ONE_IN: u64 = 5;

/// What is to be raced.
#[derive(Clone, Debug)]
pub struct RaceConfig {
    /// The program that starts as the product's processes.
    pub program: PathBuf,
    /// Entry hosts.
    pub entries: usize,
    /// Hosts with a model engine.
    pub hosts: usize,
    /// Rounds, in each of which two operators change the settings at once.
    pub rounds: usize,
    /// Whether answers of the platform are lost.
    pub lose_answers: bool,
    /// Whether the platform is restored, after two thirds of the rounds, to
    /// what it held after one third.
    pub restores: bool,
}

/// What it came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RaceReport {
    /// Changes that operators were told are accepted.
    pub accepted: u64,
    /// Changes refused as conflicts.
    pub conflicts: u64,
    /// Changes whose outcome nobody could say.
    pub unsettled: u64,
    /// From the accepted change until every process had it, the worst of a
    /// hundred.
    pub accept_to_everywhere_p99_ms: f64,
    /// The same in the middle.
    pub accept_to_everywhere_p50_ms: f64,
    /// Rounds after which not every process had the newest change in time.
    pub late: u64,
    /// Times that a process showed a lower revision than before.
    pub reverted: u64,
    /// Accepted changes whose revision was not above all before.
    pub reused: u64,
    /// Accepted changes that the platform does not know and that no restore
    /// has undone.
    pub lost_updates: u64,
    /// Changes that the platform holds twice.
    pub doubled_writes: u64,
    /// Calls at the platform.
    pub platform_calls_per_s: f64,
}

/// Races two operators.
///
/// # Errors
///
/// If the fleet cannot be started or does not come up.
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
        seen: BTreeMap::new(),
        accepted: vec![],
        newest: 0,
        lags: vec![],
        report: RaceReport::default(),
    };
    let (start, calls) = (Instant::now(), fleet.platform.calls());
    let mut kept = None;
    for round in 0..config.rounds {
        if config.restores && round == config.rounds / 3 {
            kept = Some((fleet.platform.copy(), race.accepted.len()));
        }
        if round == config.rounds * 2 / 3
            && let Some((copy, accepted)) = kept.take()
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

struct Race<'a> {
    fleet: &'a Fleet,
    operator: Operator,
    manifest: Manifest,
    seen: BTreeMap<String, u64>,
    accepted: Vec<String>,
    /// The highest revision accepted.
    newest: u64,
    lags: Vec<f64>,
    report: RaceReport,
}

impl Race<'_> {
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
        let newest = self.note(ana, one).max(self.note(ben, other));
        let accepted_at = Instant::now();
        if newest > 0 {
            self.report.reused += u64::from(newest <= self.newest);
            self.newest = self.newest.max(newest);
            self.wait_for(newest, accepted_at).await;
        }
        tokio::time::sleep(ROUND.saturating_sub(start.elapsed())).await;
    }

    /// The revision of the settings that the platform holds.
    fn revision(&self) -> u64 {
        let object = self.fleet.platform.object(SETTINGS_KEY);
        let stored = serde_json::from_value::<StoredSettings>(object.value);
        stored.unwrap_or_default().revision(object.version)
    }

    /// Notes an operator's answer; returns the revision accepted, or 0.
    fn note(&mut self, operation: String, answer: Option<Value>) -> u64 {
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

    async fn wait_for(&mut self, revision: u64, since: Instant) {
        let is_everywhere = loop {
            if self.lowest().await >= revision {
                break true;
            }
            if since.elapsed() > PATIENCE {
                break false;
            }
        };
        self.report.late += u64::from(!is_everywhere);
        self.lags.push(since.elapsed().as_secs_f64() * 1000.0);
    }

    /// The lowest revision in force, as the processes say themselves: each
    /// entry host of itself, and of the agents what they reported to it.
    async fn lowest(&mut self) -> u64 {
        let mut lowest = u64::MAX;
        for address in self.fleet.http_addresses() {
            let Some(status) = self.operator.status(address).await else {
                return 0;
            };
            lowest = lowest.min(self.see(&address.to_string(), &status));
            for host in status["hosts"].as_array().into_iter().flatten() {
                let name = format!("{address} {}", host["name"]);
                lowest = lowest.min(self.see(&name, host));
            }
        }
        lowest
    }

    fn see(&mut self, name: &str, value: &Value) -> u64 {
        let revision = value["revision"].as_u64().unwrap_or(0);
        let before = self.seen.insert(name.to_string(), revision);
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
        let times: Vec<usize> = recent.map(count).collect();
        let lost = times.iter().filter(|times| **times == 0).count();
        self.report.lost_updates = lost as u64;
        let doubled = times.iter().filter(|times| **times > 1).count();
        self.report.doubled_writes = doubled as u64;
        self.lags.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let last = self.lags.len().saturating_sub(1) as f64;
            let place = (last * quantile).ceil() as usize;
            self.lags.get(place).copied().unwrap_or(0.0)
        };
        self.report.accept_to_everywhere_p50_ms = at(0.5);
        self.report.accept_to_everywhere_p99_ms = at(0.99);
        self.report
    }
}

fn text(manifest: &Manifest, number: u64) -> String {
    let extra = format!("deadline_ms = {}", 10_000 + number);
    settings("origin-bytes", "v1", &[("v1", manifest)], &extra)
}
