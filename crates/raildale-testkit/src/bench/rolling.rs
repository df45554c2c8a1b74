//! Rolling replacement: every process is stopped and restarted under load. A
//! planned stop must not cut any answer.

use std::{path::PathBuf, time::Duration};

use serde::Serialize;

use super::{ServingFleet, burst::plan, wait_until};
use crate::{
    caller::{Callers, Tally},
    fleet::{Fleet, FleetConfig},
};

/// The request rate, per second.
const REQUESTS_PER_S: f64 = 60.0;

/// The maximum time for a process to come up or to stop.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between two replacements, in which the other processes discover
/// the new one.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(1_500);

/// The size of the served version, in bytes.
const MODEL_BYTES: usize = 256 << 10;

/// The configuration of a rolling replacement.
#[derive(Clone, Debug)]
pub struct RollingConfig {
    /// The executable that runs the entry hosts and agents.
    pub program: PathBuf,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of hosts with a model engine.
    pub hosts: usize,
}

/// The results, as counted by the simulated engines and callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RollingReport {
    /// The number of processes that were stopped and restarted.
    pub replaced: u64,
    /// The number of processes that did not stop within the time limit.
    pub stuck: u64,
    /// The outcomes of the requests.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Replaces every entry host and every agent, one after the other.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or does not come up.
pub async fn run(config: &RollingConfig) -> anyhow::Result<RollingReport> {
    let ServingFleet { mut fleet, operator, .. } = ServingFleet::start(
        FleetConfig::new(&config.program, config.entries, config.hosts),
        MODEL_BYTES,
    )
    .await?;
    let targets = config.hosts + 1;
    let callers = Callers::new(fleet.caller_ip(), fleet.http_addresses());
    callers.run(REQUESTS_PER_S, plan);
    tokio::time::sleep(REPLACEMENT_PAUSE).await;
    let mut report = RollingReport::default();
    for index in 0..config.entries {
        fleet.entries[index].terminate();
        report.stuck +=
            u64::from(!wait_for_exit(&mut fleet, true, index).await);
        fleet.restart_entry(index)?;
        report.replaced += 1;
        operator.wait_for_targets(&fleet, targets, STEP_TIMEOUT).await;
        tokio::time::sleep(REPLACEMENT_PAUSE).await;
    }
    for index in 0..fleet.agents.len() {
        fleet.agents[index].terminate();
        report.stuck +=
            u64::from(!wait_for_exit(&mut fleet, false, index).await);
        fleet.restart_agent(index)?;
        report.replaced += 1;
        operator.wait_for_targets(&fleet, targets, STEP_TIMEOUT).await;
    }
    callers.stop().await;
    report.tally = Tally::new(&callers.finished(), &fleet.truth);
    Ok(report)
}

/// Waits until a process that was told to stop has exited. Returns whether it
/// did so within the time limit.
async fn wait_for_exit(
    fleet: &mut Fleet,
    is_entry: bool,
    index: usize,
) -> bool {
    wait_until(STEP_TIMEOUT, async || {
        let node = match is_entry {
            true => &mut fleet.entries[index],
            false => &mut fleet.agents[index],
        };
        !node.is_running()
    })
    .await
}
