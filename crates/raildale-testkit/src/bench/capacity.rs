//! Resource usage of processes: processor time, memory and control traffic,
//! measured over the number of hosts and over the request rate.
//!
//! The figures come from the kernel's accounting of each process and from the
//! byte counters of the simulated links, not from the measured processes.

use std::{path::PathBuf, time::Duration};

use serde::Serialize;

use super::{ServingFleet, settings_text::CLUB_KEY};
use crate::{
    caller::{Callers, RequestSpec, Tally},
    fleet::{Fleet, FleetConfig, Node},
};

/// Clock ticks per second in the kernel's accounting.
const TICKS_PER_S: f64 = 100.0;

/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// The time before a measurement in which the fleet reaches a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The size of the served version, in bytes.
const MODEL_BYTES: usize = 64 << 10;

/// The configuration of the measurements.
#[derive(Clone, Debug)]
pub struct CapacityConfig {
    /// The executable that runs the entry hosts and agents.
    pub program: PathBuf,
    /// The number of entry hosts.
    pub entries: usize,
    /// The fleet sizes to measure: numbers of hosts with an engine.
    pub hosts: Vec<usize>,
    /// The loads to measure at the first size, in requests per second.
    pub loads: Vec<u64>,
    /// The duration of each measurement, in seconds.
    pub seconds: u64,
}

/// The resource usage of a role's processes, on average per process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Bytes per second over its link, in both directions.
    pub link_bytes_per_s: f64,
}

/// A measurement at one fleet size and load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The number of hosts with an engine.
    pub hosts: usize,
    /// The number of entry hosts.
    pub entries: usize,
    /// Requests per second over all entry hosts.
    pub requests_per_s: f64,
    /// The usage of an entry host.
    pub entry: Usage,
    /// The usage of an agent.
    pub agent: Usage,
    /// Calls to the platform per second.
    pub platform_calls_per_s: f64,
}

/// Measures all sizes without load, and the first size under each load.
///
/// # Errors
///
/// Returns an error if a fleet cannot be started or does not come up.
pub async fn run(config: &CapacityConfig) -> anyhow::Result<Vec<Point>> {
    let mut points = vec![];
    for (index, hosts) in config.hosts.iter().enumerate() {
        let serving = ServingFleet::start(
            FleetConfig::new(&config.program, config.entries, *hosts),
            MODEL_BYTES,
        )
        .await?;
        let fleet = &serving.fleet;
        points.push(measure(config, fleet, 0).await);
        if index == 0 {
            for load in &config.loads {
                points.push(measure(config, fleet, *load).await);
            }
        }
    }
    Ok(points)
}

/// Measures a fleet under `load` requests per second.
async fn measure(config: &CapacityConfig, fleet: &Fleet, load: u64) -> Point {
    tokio::time::sleep(SETTLE_TIME).await;
    let callers = Callers::new(fleet.caller_ip(), fleet.http_addresses());
    if load > 0 {
        callers.run(load as f64, plan);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let before = Snapshot::new(fleet);
    let answered = callers.finished().len();
    tokio::time::sleep(Duration::from_secs(config.seconds)).await;
    let after = Snapshot::new(fleet);
    let answered = callers.finished().len() - answered;
    callers.stop().await;
    let seconds = config.seconds as f64;
    let tally = Tally::new(&callers.finished(), &fleet.truth);
    if tally.requests_whole < tally.requests_sent {
        eprintln!(
            "not all requests were answered at {load} requests/s: {tally:?}"
        );
    }
    Point {
        hosts: fleet.engines.len(),
        entries: fleet.entries.len(),
        requests_per_s: answered as f64 / seconds,
        entry: before.usage(&after, &fleet.entries, seconds, 0),
        agent: before.usage(&after, &fleet.agents, seconds, config.entries),
        platform_calls_per_s: (after.calls - before.calls) as f64 / seconds,
    }
}

/// The usage of all processes at one moment: entry hosts, then agents.
struct Snapshot {
    processes: Vec<ProcessUsage>,
    calls: u64,
}

/// The counters of a process since its start, and its current memory.
#[derive(Clone, Copy, Default)]
struct ProcessUsage {
    ticks: u64,
    memory_bytes: u64,
    link_bytes: u64,
}

impl Snapshot {
    fn new(fleet: &Fleet) -> Snapshot {
        let nodes = fleet.entries.iter().chain(&fleet.agents);
        Snapshot {
            processes: nodes.map(|node| usage_of(fleet, node)).collect(),
            calls: fleet.platform.calls(),
        }
    }

    /// Returns the average usage of `nodes` from this snapshot to `after`.
    /// `first` is the index of the first node in the snapshots.
    fn usage(
        &self,
        after: &Snapshot,
        nodes: &[Node],
        seconds: f64,
        first: usize,
    ) -> Usage {
        let mut usage = Usage::default();
        let count = nodes.len().max(1) as f64;
        for index in first..first + nodes.len() {
            let (old, new) = (self.processes[index], after.processes[index]);
            let ticks = new.ticks.saturating_sub(old.ticks) as f64;
            let bytes = (new.link_bytes - old.link_bytes) as f64;
            usage.cpu_percent += ticks / TICKS_PER_S / seconds * 100.0 / count;
            usage.memory_mib +=
                new.memory_bytes as f64 / f64::from(1 << 20) / count;
            usage.link_bytes_per_s += bytes / seconds / count;
        }
        usage
    }
}

/// Reads the usage of a process; zeros if it does not run.
fn usage_of(fleet: &Fleet, node: &Node) -> ProcessUsage {
    let Some(pid) = node.pid() else { return ProcessUsage::default() };
    let read = |name: &str| {
        std::fs::read_to_string(format!("/proc/{pid}/{name}"))
            .unwrap_or_default()
    };
    let field = |text: &str, index: usize| {
        text.split_whitespace()
            .nth(index)
            .and_then(|word| word.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let stat = read("stat");
    // The process's name, in parentheses, may contain spaces.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    ProcessUsage {
        ticks: field(rest, 11) + field(rest, 12),
        memory_bytes: field(&read("statm"), 1) * PAGE_BYTES,
        link_bytes: fleet.links.link_bytes(node.ip),
    }
}

/// Returns the request with the given number.
fn plan(number: u64) -> RequestSpec {
    RequestSpec {
        key: CLUB_KEY.to_string(),
        model: "commentary".to_string(),
        priority: "normal",
        repeatable: true,
        has_run_key: false,
        stream: false,
        max_tokens: 8,
        deadline_ms: 5_000,
        text: format!("position {number}"),
    }
}
