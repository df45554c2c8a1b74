//! What processes cost: processor time, memory and control traffic, as
//! slopes over hosts and over requests.
//!
//! The kernel's own accounting of each process is read, and the relays count
//! the bytes; the product is not asked.

use std::{path::PathBuf, time::Duration};

use serde::Serialize;

use super::{ServingFleet, settings_text::CLUB_KEY};
use crate::{
    caller::{Callers, Plan, Tally},
    fleet::{Fleet, FleetConfig, Node},
};

/// Ticks a second in the kernel's accounting.
const TICKS_PER_S: f64 = 100.0;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;

/// How long it rests before it is measured.
const SETTLE: Duration = Duration::from_secs(2);

/// Bytes of the version that is served.
const MODEL_BYTES: usize = 64 << 10;

/// What is to be measured.
#[derive(Clone, Debug)]
pub struct CapacityConfig {
    /// The program that starts as the product's processes.
    pub program: PathBuf,
    /// Entry hosts.
    pub entries: usize,
    /// Sizes: hosts with an engine.
    pub hosts: Vec<usize>,
    /// Loads: requests a second, at the smallest size.
    pub loads: Vec<u64>,
    /// How long each is measured.
    pub seconds: u64,
}

/// What one process of a role cost, on average over the role.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Percent of a core.
    pub cpu_percent: f64,
    /// Resident memory.
    pub memory_mib: f64,
    /// Bytes over its link, both ways.
    pub link_bytes_per_s: f64,
}

/// One point of a slope.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Hosts with an engine.
    pub hosts: usize,
    /// Entry hosts.
    pub entries: usize,
    /// Requests a second over all entry hosts.
    pub requests_per_s: f64,
    /// An entry host's cost.
    pub entry: Cost,
    /// An agent's cost.
    pub agent: Cost,
    /// Calls at the platform.
    pub platform_calls_per_s: f64,
}

/// Measures all points.
///
/// # Errors
///
/// If a fleet cannot be started or does not come up.
pub async fn run(config: &CapacityConfig) -> anyhow::Result<Vec<Point>> {
    let mut points = vec![];
    for (place, hosts) in config.hosts.iter().enumerate() {
        let serving = ServingFleet::start(
            FleetConfig::new(&config.program, config.entries, *hosts),
            MODEL_BYTES,
        )
        .await?;
        let fleet = &serving.fleet;
        points.push(measure(config, fleet, 0).await);
        if place == 0 {
            for load in &config.loads {
                points.push(measure(config, fleet, *load).await);
            }
        }
    }
    Ok(points)
}

async fn measure(config: &CapacityConfig, fleet: &Fleet, load: u64) -> Point {
    tokio::time::sleep(SETTLE).await;
    let callers = Callers::new(fleet.caller_ip(), fleet.http_addresses());
    if load > 0 {
        callers.run(load as f64, plan);
        tokio::time::sleep(SETTLE).await;
    }
    let before = Reading::new(fleet);
    let answered = callers.sent().len();
    tokio::time::sleep(Duration::from_secs(config.seconds)).await;
    let after = Reading::new(fleet);
    let answered = callers.sent().len() - answered;
    callers.stop().await;
    let seconds = config.seconds as f64;
    let tally = Tally::new(&callers.sent(), &fleet.truth);
    if tally.requests_whole < tally.requests_sent {
        eprintln!("at {load} requests/s not all were answered: {tally:?}");
    }
    Point {
        hosts: fleet.engines.len(),
        entries: fleet.entries.len(),
        requests_per_s: answered as f64 / seconds,
        entry: before.cost(&after, &fleet.entries, seconds, 0),
        agent: before.cost(&after, &fleet.agents, seconds, config.entries),
        platform_calls_per_s: (after.calls - before.calls) as f64 / seconds,
    }
}

/// The accounts of all processes at one moment: entry hosts, then agents.
struct Reading {
    accounts: Vec<Account>,
    calls: u64,
}

#[derive(Clone, Copy, Default)]
struct Account {
    ticks: u64,
    memory_bytes: u64,
    link_bytes: u64,
}

impl Reading {
    fn new(fleet: &Fleet) -> Reading {
        let nodes = fleet.entries.iter().chain(&fleet.agents);
        Reading {
            accounts: nodes.map(|node| account(fleet, node)).collect(),
            calls: fleet.platform.calls(),
        }
    }

    fn cost(
        &self,
        after: &Reading,
        nodes: &[Node],
        seconds: f64,
        first: usize,
    ) -> Cost {
        let mut cost = Cost::default();
        let count = nodes.len().max(1) as f64;
        for place in first..first + nodes.len() {
            let (then, now) = (self.accounts[place], after.accounts[place]);
            let ticks = now.ticks.saturating_sub(then.ticks) as f64;
            let bytes = (now.link_bytes - then.link_bytes) as f64;
            cost.cpu_percent += ticks / TICKS_PER_S / seconds * 100.0 / count;
            cost.memory_mib +=
                now.memory_bytes as f64 / f64::from(1 << 20) / count;
            cost.link_bytes_per_s += bytes / seconds / count;
        }
        cost
    }
}

fn account(fleet: &Fleet, node: &Node) -> Account {
    let Some(pid) = node.pid() else { return Account::default() };
    let read = |name: &str| {
        std::fs::read_to_string(format!("/proc/{pid}/{name}"))
            .unwrap_or_default()
    };
    let field = |text: &str, place: usize| {
        text.split_whitespace()
            .nth(place)
            .and_then(|word| word.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let stat = read("stat");
    // The process's name, in brackets, may hold spaces.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    Account {
        ticks: field(rest, 11) + field(rest, 12),
        memory_bytes: field(&read("statm"), 1) * PAGE_BYTES,
        link_bytes: fleet.links.bytes_of(node.ip),
    }
}

fn plan(number: u64) -> Plan {
    Plan {
        key: CLUB_KEY.to_string(),
        model: "commentary".to_string(),
        priority: "normal",
        repeatable: true,
        holds_key: false,
        stream: false,
        max_tokens: 8,
        deadline_ms: 5_000,
        text: format!("position {number}"),
    }
}
