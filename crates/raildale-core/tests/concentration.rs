//! Concentration of callers on some of the entry hosts.

use std::net::{IpAddr, Ipv4Addr};

use raildale_core::{
    Name,
    gateway::shares::{Sender, Shares},
    members::{
        Heartbeat, MemberEntry, Members,
        concentration::{Candidate, CentreLoad, Concentration, named},
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
/// Longer than slots must have been too few.
const SETTLED_MS: u64 = START_MS + 6_000;

fn ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn candidates(cpu_millis: &[u32]) -> Vec<Candidate> {
    let numbered = (1..).zip(cpu_millis);
    let candidate = |(last, millis): (u8, &u32)| Candidate {
        ip: ip(last),
        cpu_millis: Some(*millis),
    };
    numbered.map(candidate).collect()
}

/// Returns whether callers are concentrated once that has settled.
fn is_concentrated(slots_per_host: f64) -> bool {
    let mut concentration = Concentration::default();
    concentration.update(START_MS, slots_per_host, false);
    concentration.update(SETTLED_MS, slots_per_host, false);
    concentration.is_on()
}

/// Fleets in which entry hosts own enough slots name all of them.
#[parameterized(
    few_targets = { 69, 408.0, true },
    many_targets = { 7, 192.0, false },
    as_many = { 44, 480.0, false },
    large = { 149, 960.0, false },
)]
fn it_begins_where_entry_hosts_own_few_slots(
    hosts: u32,
    slots: f64,
    expected: bool,
) {
    let per_host = slots / f64::from(hosts);
    assert_eq!(is_concentrated(per_host), expected);
}

/// While a fleet starts, few targets are listed.
#[test]
fn a_list_that_fills_does_not_begin_it() {
    let mut concentration = Concentration::default();
    for (step, slots) in [1.0, 3.0, 5.0, 13.0].into_iter().enumerate() {
        let now_ms = START_MS + step as u64 * 1_000;
        concentration.update(now_ms, slots, false);
        assert!(!concentration.is_on());
    }
    concentration.update(SETTLED_MS, 13.0, false);
    assert!(!concentration.is_on());
}

/// Added targets end it only once they are enough, and an entry host that has
/// started since does as the others do.
#[test]
fn between_the_bounds_entry_hosts_agree() {
    let mut old = Concentration::default();
    old.update(START_MS, 5.9, false);
    old.update(SETTLED_MS, 5.9, false);
    old.update(SETTLED_MS + 1, 10.8, false);
    assert!(old.is_on());
    let mut started = Concentration::default();
    started.update(SETTLED_MS + 1, 10.8, true);
    assert!(started.is_on());
    old.update(SETTLED_MS + 2, 12.0, true);
    assert!(!old.is_on());
}

/// Each named entry host owns some 32 slots; those with most processor time
/// are named first, and at least three.
#[parameterized(
    three = { 24.0, 10.0, 3 },
    by_slots = { 144.0, 100.0, 5 },
    by_demand = { 24.0, 500.0, 5 },
    all = { 24.0, 10_000.0, 8 },
)]
fn as_many_are_named_as_slots_and_demand_need(
    slots: f64,
    demand_per_s: f64,
    count: usize,
) {
    let all = candidates(&[170, 170, 170, 500, 170, 170, 500, 170]);
    let named = named(all, CentreLoad { slots, demand_per_s });
    assert_eq!(named.len(), count);
    assert_eq!(named[..3], [ip(4), ip(7), ip(1)]);
}

fn entry(last: u8) -> MemberEntry {
    MemberEntry {
        name: Name::from(format!("entry-{last}")),
        ip: ip(last),
        data_centre: "here".into(),
        cpu_millis: Some(170),
    }
}

/// A named entry host that falls silent or leaves is replaced by the next one.
#[test]
fn a_lost_entry_host_is_replaced() {
    let mut members = Members::new(entry(1));
    let ready = Heartbeat { is_ready: true, ..Heartbeat::default() };
    for last in 2..=9 {
        members.on_heartbeat(START_MS, entry(last), ready.clone());
    }
    let named = |members: &Members, now_ms| {
        members.concentrated_addresses(now_ms, "here", true, 24.0)
    };
    let expected = Some(vec![ip(1), ip(2), ip(3)]);
    assert_eq!(named(&members, START_MS), expected);
    let later_ms = START_MS + 1_500;
    for last in (3..=9).filter(|last| *last != 3) {
        members.on_heartbeat(later_ms, entry(last), ready.clone());
    }
    let leaving = Heartbeat { is_leaving: true, ..ready };
    members.on_heartbeat(later_ms, entry(4), leaving);
    let expected = Some(vec![ip(1), ip(5), ip(6)]);
    assert_eq!(named(&members, later_ms), expected);
    let elsewhere =
        members.concentrated_addresses(later_ms, "there", true, 24.0);
    assert_eq!(elsewhere, None);
}

/// Entry hosts that get no requests leave the slots to those that do.
#[test]
fn idle_entry_hosts_hardly_own_slots() {
    let sender = |demand: f64| Sender { data_centre: "here".into(), demand };
    let demands = [45.0, 45.0, 45.0].into_iter().chain([0.0; 20]);
    let senders: Vec<Sender> = demands.map(sender).collect();
    let supplies = [(Name::from("here"), 144.0)];
    let width =
        |shares: &Shares| shares.parts(&supplies).own_part("here").width;
    let all = Shares::new(senders.clone(), 0);
    let active = Shares::new(senders, 0).among_active();
    assert!(width(&all) < 0.315, "{}", width(&all));
    assert!(width(&active) > 0.33, "{}", width(&active));
    assert_eq!(active.competitors("here").count, 3);
    assert_eq!(all.competitors("here").count, 23);
}
