//! Rolling replacement: every process leaves and is replaced while requests
//! flow. A planned stop must cut nothing.

use std::{path::PathBuf, time::Duration};

use serde::Serialize;

use super::{ServingFleet, burst::plan, wait_until};
use crate::{
    caller::{Callers, Tally},
    fleet::{Fleet, FleetConfig},
};

/// Requests a second.
const REQUESTS_PER_S: f64 = 60.0;

/// How long a process may take to come up or to go.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two replacements, in which the new process is found.
const BETWEEN: Duration = Duration::from_millis(1_500);

/// Bytes of the version that is served.
const MODEL_BYTES: usize = 256 << 10;

/// What is to be replaced.
#[derive(Clone, Debug)]
pub struct RollingConfig {
    /// The program that starts as the product's processes.
    pub program: PathBuf,
    /// Entry hosts.
    pub entries: usize,
    /// Hosts with a model engine.
    pub hosts: usize,
}

/// What it came to, counted by stand-ins and callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RollingReport {
    /// Processes that left and were replaced.
    pub replaced: u64,
    /// Processes that did not stop by themselves.
    pub stuck: u64,
    /// What the requests came to.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Replaces every entry host and every agent, one after the other.
///
/// # Errors
///
/// If the fleet cannot be started or does not come up.
pub async fn run(config: &RollingConfig) -> anyhow::Result<RollingReport> {
    let ServingFleet { mut fleet, operator, .. } = ServingFleet::start(
        FleetConfig::new(&config.program, config.entries, config.hosts),
        MODEL_BYTES,
    )
    .await?;
    let targets = config.hosts + 1;
    let callers = Callers::new(fleet.caller_ip(), fleet.http_addresses());
    callers.run(REQUESTS_PER_S, plan);
    tokio::time::sleep(BETWEEN).await;
    let mut report = RollingReport::default();
    for index in 0..config.entries {
        fleet.entries[index].terminate();
        report.stuck += u64::from(!gone(&mut fleet, true, index).await);
        fleet.restart_entry(index)?;
        report.replaced += 1;
        operator.wait_for_targets(&fleet, targets, PATIENCE).await;
        tokio::time::sleep(BETWEEN).await;
    }
    for index in 0..fleet.agents.len() {
        fleet.agents[index].terminate();
        report.stuck += u64::from(!gone(&mut fleet, false, index).await);
        fleet.restart_agent(index)?;
        report.replaced += 1;
        operator.wait_for_targets(&fleet, targets, PATIENCE).await;
    }
    callers.stop().await;
    report.tally = Tally::new(&callers.sent(), &fleet.truth);
    Ok(report)
}

/// Waits until a process that was told to leave has stopped by itself.
async fn gone(fleet: &mut Fleet, is_entry: bool, index: usize) -> bool {
    wait_until(PATIENCE, async || {
        let node = match is_entry {
            true => &mut fleet.entries[index],
            false => &mut fleet.agents[index],
        };
        !node.is_running()
    })
    .await
}
