//! The entry hosts that callers are named.

use std::net::{IpAddr, Ipv4Addr};

use raildale_core::members::concentration::{
    Candidate, CentreLoad, Concentration, named,
};

use super::pattern::Pattern;

/// The entry hosts that are named to the callers of each data centre.
#[derive(Debug)]
pub(super) struct NamedHosts {
    /// Whether callers are concentrated on them.
    pub(super) is_concentrated: bool,
    by_centre: Vec<Vec<usize>>,
}

impl NamedHosts {
    /// Returns the entry hosts that a fleet in a steady state names.
    pub(super) fn new(pattern: &Pattern) -> NamedHosts {
        let fleet = &pattern.fleet;
        let host_count: usize = fleet.entry_hosts.iter().sum();
        let slots = |targets: usize| (targets * pattern.engine.slots) as f64;
        let per_host =
            slots(fleet.targets.iter().sum()) / host_count.max(1) as f64;
        let mut concentration = Concentration::default();
        for now_ms in [0, STEADY_MS] {
            concentration.update(now_ms, per_host, false);
        }
        let is_concentrated = concentration.is_on();
        let mut first = 0;
        let centres = fleet.entry_hosts.iter().zip(&fleet.targets);
        let by_centre = centres.map(|(hosts, targets)| {
            let hosts: Vec<usize> = (first..first + hosts).collect();
            first += hosts.len();
            match is_concentrated {
                true => concentrated(&hosts, slots(*targets)),
                false => hosts,
            }
        });
        NamedHosts { is_concentrated, by_centre: by_centre.collect() }
    }

    /// Returns the entry hosts for the callers of a data centre.
    pub(super) fn in_centre(&self, centre: usize) -> &[usize] {
        &self.by_centre[centre]
    }
}

/// The time after which a fleet is in a steady state, in milliseconds.
const STEADY_MS: u64 = 60_000;

fn concentrated(hosts: &[usize], slots: f64) -> Vec<usize> {
    let ip = |host: usize| IpAddr::from(Ipv4Addr::from(host as u32));
    let candidates =
        hosts.iter().map(|host| Candidate { ip: ip(*host), cpu_millis: None });
    let load = CentreLoad { slots, demand_per_s: 0.0 };
    let chosen = named(candidates.collect(), load);
    let is_chosen = |host: &usize| chosen.contains(&ip(*host));
    hosts.iter().copied().filter(is_chosen).collect()
}
