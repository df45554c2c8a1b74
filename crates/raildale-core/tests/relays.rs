//! Communication between entry hosts in a large fleet.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
};

use raildale_core::{
    Name,
    catalog::{Extent, Kind, Stamp},
    fleet_message::{DigestEntryHost, Echo},
    members::{
        Heartbeat, MAX_WATCHER_CANDIDATES, MemberEntry, Members, SILENT_MS,
        relays::{RELAYS, RelayRoundTrips},
    },
};

const START_MS: u64 = 1_000_000;

fn known(revision: u64) -> Extent {
    Extent { changed: Stamp::new(0, revision), oldest_era: 0 }
}

/// The number of entry hosts in the largest supported fleet.
const LARGE: usize = 340;

/// The number of its data centres.
const CENTRES: usize = 8;

fn ip(host: usize) -> IpAddr {
    let [.., high, low] = (host as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

fn entry(host: usize) -> MemberEntry {
    MemberEntry {
        name: Name::from(format!("host-{host}")),
        ip: ip(host),
        data_centre: Name::from(format!("centre-{}", host % CENTRES)),
        cpu_millis: None,
    }
}

fn ready() -> Heartbeat {
    Heartbeat { is_ready: true, ..Heartbeat::default() }
}

/// Returns the state of the host at index `own` in a fleet of `count` live
/// hosts.
fn members(own: usize, count: usize) -> Members {
    let mut members = Members::new(entry(own));
    members.set_listed(START_MS, (0..count).map(entry).collect());
    for host in (0..count).filter(|host| *host != own) {
        members.on_heartbeat(START_MS, entry(host), ready());
    }
    members
}

/// Returns the number of datagrams between entry hosts per heartbeat interval:
/// heartbeats, digests, and forwarded digests.
fn datagrams_a_beat(count: usize) -> usize {
    let mut sum = 0;
    for own in 0..count {
        let members = members(own, count);
        let neighbours = members.neighbours().count();
        sum += neighbours;
        if let Some(place) = members.relay_index(START_MS, true) {
            let far = members.digest_recipients(START_MS, place, 0).len();
            // One of the relays sends with each heartbeat, and each recipient
            // in another data centre forwards the digest.
            sum += (neighbours + far + far * neighbours) / RELAYS;
        }
    }
    sum
}

#[test]
fn traffic_grows_with_the_data_centre() {
    let mesh = LARGE * (LARGE - 1);
    let sent = datagrams_a_beat(LARGE);
    assert!(sent < mesh / 6, "{sent} of {mesh} in a mesh");
    let most = LARGE * (LARGE / CENTRES + CENTRES + 1);
    assert!(sent < most, "{sent} of {most}");
}

#[test]
fn a_small_fleet_is_a_mesh() {
    let members = members(0, 40);
    assert_eq!(members.neighbours().count(), 39);
    assert_eq!(members.relay_index(START_MS, true), None);
    assert!(members.reaches_data_centre("centre-5"));
}

#[test]
fn each_data_centre_has_two_relays_and_each_reaches_every_other() {
    let mut reached = BTreeSet::new();
    for own in 0..LARGE {
        let members = members(own, LARGE);
        let Some(place) = members.relay_index(START_MS, true) else {
            continue;
        };
        assert_eq!(place, own / CENTRES, "the first by address");
        for to in members.digest_recipients(START_MS, place, 0) {
            reached.insert((own % CENTRES, place, to));
        }
    }
    assert_eq!(reached.len(), CENTRES * RELAYS * (CENTRES - 1));
}

#[test]
fn a_relay_that_is_silent_leaving_or_not_ready_is_replaced() {
    // Hosts 8 and 16 follow host 0 in its data centre.
    let third = |change: fn(&mut Members)| {
        let mut members = members(16, LARGE);
        change(&mut members);
        members.relay_index(START_MS + 1_000, true)
    };
    let beat = |members: &mut Members, host: usize, heartbeat: Heartbeat| {
        members.on_heartbeat(START_MS + 1_000, entry(host), heartbeat);
    };
    assert_eq!(
        third(|members| {
            members.on_heartbeat(START_MS + 1_000, entry(0), ready());
            members.on_heartbeat(START_MS + 1_000, entry(8), ready());
        }),
        None,
        "both are alive"
    );
    assert_eq!(
        third(|members| {
            members.on_heartbeat(START_MS + 1_000, entry(8), ready());
        }),
        Some(1),
        "the first is silent"
    );
    let mut leaving = members(16, LARGE);
    beat(&mut leaving, 0, Heartbeat { is_leaving: true, ..ready() });
    beat(&mut leaving, 8, ready());
    assert_eq!(leaving.relay_index(START_MS + 1_000, true), Some(1));
    let mut unready = members(16, LARGE);
    beat(&mut unready, 0, Heartbeat::default());
    beat(&mut unready, 8, ready());
    assert_eq!(unready.relay_index(START_MS + 1_000, true), Some(1));
    assert_eq!(unready.relay_index(START_MS + 1_000, false), None);
}

#[test]
fn an_unheard_data_centre_still_gets_digests() {
    let mut members = Members::new(entry(0));
    members.set_listed(START_MS, (0..LARGE).map(entry).collect());
    let to = members.digest_recipients(START_MS, 0, 7);
    assert_eq!(to.len(), CENTRES - 1, "one listed host in each");
    let other = members.digest_recipients(START_MS, 0, 8);
    assert_ne!(to, other, "another host for another draw");
}

#[test]
fn a_digest_reports_live_hosts_of_another_data_centre() {
    let mut members = Members::new(entry(0));
    members.set_listed(START_MS, (0..LARGE).map(entry).collect());
    let now_ms = START_MS + 10_000;
    assert_eq!(members.addresses_for(now_ms, "centre-3", true, 0).len(), 1);
    let IpAddr::V4(address) = ip(3) else { panic!("an IPv4 address") };
    let reported = DigestEntryHost {
        ip: u32::from(address),
        is_ready: true,
        is_leaving: false,
        demand_per_s: 7.0,
    };
    members.on_digest_entry(now_ms, &reported);
    let addresses = members.addresses_for(now_ms, "centre-3", true, 0);
    assert_eq!(addresses[0], ip(3));
    let (senders, _) = members.senders(now_ms, 1.0);
    let demand: f64 = senders.iter().map(|sender| sender.demand).sum();
    assert!((demand - 8.0).abs() < 1e-6, "{demand}");
    let later_ms = now_ms + SILENT_MS + 1;
    let (senders, _) = members.senders(later_ms, 1.0);
    assert_eq!(senders.len(), 1, "digests no longer name it");
    members.on_digest_entry(later_ms, &DigestEntryHost { ip: 1, ..reported });
    assert_eq!(members.others().count(), LARGE - 1, "no list names it");
}

/// While only other data centres know a change, the neighbours of the watchers
/// wait for the watchers to ask. Otherwise a configuration crosses between
/// regions once for each entry host.
#[test]
fn remote_changes_cross_once_or_twice() {
    let ahead = Heartbeat { extents: vec![known(9); 4], ..ready() };
    let asks_at = |own: usize| {
        let mut members = members(own, LARGE);
        let mut now_ms = START_MS;
        loop {
            // The heartbeats of the neighbours continue without new knowledge.
            for host in (0..LARGE).filter(|host| *host != own) {
                let beat = match host % CENTRES == own % CENTRES {
                    true => Heartbeat { sees_store: true, ..ready() },
                    false => ahead.clone(),
                };
                members.on_heartbeat(now_ms, entry(host), beat);
            }
            if members
                .find_ahead(now_ms, Kind::Configuration, known(5), 0)
                .is_some()
            {
                return now_ms - START_MS;
            }
            now_ms += 100;
        }
    };
    let watcher_ms = asks_at(0);
    let other_ms = asks_at(80);
    assert!(watcher_ms <= 500, "{watcher_ms}");
    assert!(other_ms > watcher_ms + 500, "{other_ms}");
}

#[test]
fn round_trips_are_measured_by_echoes() {
    let mut round_trips = RelayRoundTrips::default();
    let own = ip(0);
    let IpAddr::V4(own_address) = own else { panic!("an IPv4 address") };
    assert_eq!(
        round_trips.record(START_MS, 5, 77, own, &[]),
        0,
        "no echo yet"
    );
    let echo = Echo {
        ip: u32::from(own_address),
        sent_ms: START_MS - 500,
        age_ms: 380,
    };
    assert_eq!(round_trips.record(START_MS, 5, 78, own, &[echo]), 120);
    let back = round_trips.echoes(START_MS + 30);
    assert_eq!(back.len(), 1);
    assert_eq!((back[0].sent_ms, back[0].age_ms), (78, 30));
    assert_eq!(
        round_trips.echoes(START_MS + 5_000),
        [],
        "the relay is silent"
    );
}

/// While the store is unreachable for all, only a few entry hosts of each data
/// centre keep trying it.
#[test]
fn an_unreachable_store_is_tried_by_few() {
    let blind = Heartbeat { sees_store: false, ..ready() };
    let mut watchers = 0;
    for own in 0..LARGE {
        let mut members = members(own, LARGE);
        for host in (0..LARGE).filter(|host| *host != own) {
            members.on_heartbeat(START_MS, entry(host), blind.clone());
        }
        watchers += usize::from(members.is_watcher(START_MS));
    }
    assert_eq!(watchers, CENTRES * MAX_WATCHER_CANDIDATES);
}
