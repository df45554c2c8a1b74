//! The entry hosts, and the addresses that callers receive.

use std::net::{IpAddr, Ipv4Addr};

use raildale_core::{
    Name,
    catalog::{Extent, Kind, Stamp},
    gateway::regions::Regions,
    members::{BoundRegions, Heartbeat, MemberEntry, Members, SILENT_MS},
};

const START_MS: u64 = 1_000_000;

fn known(era: u64, revision: u64) -> Extent {
    Extent { changed: Stamp::new(era, revision), oldest_era: era }
}

fn entry(centre: &str, last: u8) -> MemberEntry {
    MemberEntry {
        name: Name::from(format!("{centre}-{last}")),
        ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)),
        data_centre: Name::from(centre),
        cpu_millis: None,
    }
}

fn ready() -> Heartbeat {
    Heartbeat { is_ready: true, ..Heartbeat::default() }
}

/// Three entry hosts in `a`, two in `b`, one in `c`; this one is the first.
fn members() -> Members {
    let mut members = Members::new(entry("a", 1));
    for (centre, last) in [("a", 2), ("a", 3), ("b", 4), ("b", 5), ("c", 6)] {
        members.on_heartbeat(START_MS, entry(centre, last), ready());
    }
    members
}

fn addresses(members: &Members, now_ms: u64, centre: &str) -> Vec<u8> {
    members
        .addresses_for(now_ms, centre, true, 0)
        .into_iter()
        .map(|ip| match ip {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => 0,
        })
        .collect()
}

#[test]
fn callers_get_near_addresses_evenly() {
    let members = members();
    assert_eq!(addresses(&members, START_MS, "a"), [1, 2, 3]);
    assert_eq!(addresses(&members, START_MS, "b"), [4, 5]);
    let crowded = addresses(&members, START_MS, "c");
    assert_eq!(crowded[0], 6);
    assert_eq!(crowded.len(), 2, "callers also get a remote host");
    assert!(crowded[1] <= 3, "from the largest data centre: {crowded:?}");
}

/// Callers whose requests are bound to regions are named no entry host
/// elsewhere while their own region, or an allowed one, has any.
#[test]
fn bound_callers_stay_in_their_region() {
    let members = members();
    let regions = Regions::new()
        .with_data_centre("a".into(), "west".into())
        .with_data_centre("b".into(), "east".into())
        .with_data_centre("c".into(), "east".into());
    let addresses = |centre: &str, allowed: &[&str]| -> Vec<String> {
        let allowed: Vec<Name> =
            allowed.iter().map(|name| Name::from(*name)).collect();
        let bound = BoundRegions { regions: &regions, allowed: &allowed };
        members
            .addresses_in_regions(START_MS, centre, true, 0, bound)
            .iter()
            .map(|ip| ip.to_string())
            .collect()
    };
    assert_eq!(addresses("c", &["west"]), ["10.0.0.6", "10.0.0.4"]);
    let eastern = addresses("elsewhere", &["east"]);
    assert!(!eastern.is_empty());
    for address in eastern {
        assert!(address.as_str() > "10.0.0.3", "{address} is in the west");
    }
    assert!(!addresses("elsewhere", &["nowhere"]).is_empty());
}

#[test]
fn silent_leaving_and_unready_hosts_are_excluded() {
    let mut members = members();
    let later_ms = START_MS + SILENT_MS + 1;
    let leaving = Heartbeat { is_leaving: true, ..ready() };
    members.on_heartbeat(later_ms, entry("a", 2), leaving);
    members.on_heartbeat(later_ms, entry("a", 3), Heartbeat::default());
    members.on_heartbeat(later_ms, entry("b", 4), ready());
    assert_eq!(addresses(&members, later_ms, "b"), [4]);
    assert_eq!(addresses(&members, later_ms, "a"), [1]);
}

#[test]
fn a_lone_host_is_given_to_all_callers() {
    let members = Members::new(entry("a", 1));
    assert_eq!(addresses(&members, START_MS, "elsewhere"), [1]);
}

#[test]
fn a_host_that_stays_ahead_is_asked() {
    let mut members = members();
    let ahead = Heartbeat { extents: vec![known(0, 9)], ..ready() };
    members.on_heartbeat(START_MS, entry("b", 4), ahead);
    let kind = Kind::Configuration;
    assert_eq!(
        members.find_ahead(START_MS, kind, known(0, 8), 0),
        None,
        "the own watch may deliver it"
    );
    let asked = members.find_ahead(START_MS, kind, known(0, 0), 0);
    assert_eq!(asked, Some(entry("b", 4).ip), "nothing is known yet");
    let asked = members.find_ahead(START_MS + 300, kind, known(0, 8), 0);
    assert_eq!(asked, Some(entry("b", 4).ip));
    assert_eq!(members.find_ahead(START_MS + 301, kind, known(0, 9), 0), None);
}

/// Revisions decrease when the store is restored.
#[test]
fn a_host_that_knows_of_a_restore_is_ahead() {
    let mut members = members();
    let ahead = Heartbeat { extents: vec![known(1, 4)], ..ready() };
    members.on_heartbeat(START_MS, entry("b", 4), ahead);
    let behind = Heartbeat { extents: vec![known(0, 99)], ..ready() };
    members.on_heartbeat(START_MS, entry("b", 5), behind);
    let kind = Kind::Configuration;
    let asked = |members: &mut Members, changed: Stamp| {
        let own = Extent { changed, oldest_era: 0 };
        members.find_ahead(START_MS, kind, own, 0);
        members.find_ahead(START_MS + 300, kind, own, 0)
    };
    let ip = Some(entry("b", 4).ip);
    assert_eq!(asked(&mut members, Stamp::new(0, 9)), ip);
    assert_eq!(asked(&mut members, Stamp::new(1, 4)), None);
}

/// It may know changes that the restore has reverted.
#[test]
fn a_host_that_knew_the_store_before_its_restore_is_asked() {
    let mut members = members();
    let knew = Extent { oldest_era: 0, ..known(1, 4) };
    let heartbeat = Heartbeat { extents: vec![knew], ..ready() };
    members.on_heartbeat(START_MS, entry("b", 4), heartbeat);
    let kind = Kind::Configuration;
    members.find_ahead(START_MS, kind, known(1, 6), 0);
    let asked = members.find_ahead(START_MS + 300, kind, known(1, 6), 0);
    assert_eq!(asked, Some(entry("b", 4).ip));
    let own = Extent { oldest_era: 0, ..known(1, 6) };
    assert_eq!(members.find_ahead(START_MS + 301, kind, own, 0), None);
}

#[test]
fn a_silent_host_is_reported_once() {
    let mut members = members();
    assert_eq!(members.take_changes(START_MS).len(), 5, "all are up");
    let later_ms = START_MS + SILENT_MS + 1;
    members.on_heartbeat(later_ms, entry("a", 2), ready());
    assert_eq!(
        members.take_changes(later_ms).len(),
        4,
        "all others are silent"
    );
    assert_eq!(members.take_changes(later_ms), vec![]);
}

#[test]
fn a_data_centre_without_live_hosts_is_served_from_others() {
    let members = members();
    let later_ms = START_MS + SILENT_MS + 1;
    assert!(members.is_nearest(START_MS, "a"), "its own data centre");
    assert!(!members.is_nearest(START_MS, "c"), "a live host is there");
    assert!(members.is_nearest(later_ms, "c"), "no live host is left");
    assert!(members.is_nearest(START_MS, "d"), "it has no hosts");
}

fn seeing() -> Heartbeat {
    Heartbeat { sees_store: true, ..ready() }
}

/// Returns the state of the last of four entry hosts in one data centre.
fn last_of_four(beats: [(u8, Heartbeat); 3]) -> Members {
    let mut members = Members::new(entry("a", 9));
    for (last, beat) in beats {
        members.on_heartbeat(START_MS, entry("a", last), beat);
    }
    members.on_heartbeat(START_MS, entry("b", 7), seeing());
    members
}

#[test]
fn two_of_a_data_centre_watch_the_store() {
    let members = last_of_four([(1, seeing()), (2, seeing()), (3, seeing())]);
    assert!(!members.is_watcher(START_MS), "two others watch");
    assert!(members.is_watcher(START_MS + 950), "the others are silent");
    let members = last_of_four([(1, seeing()), (2, ready()), (3, ready())]);
    assert!(members.is_watcher(START_MS), "two cannot see the store");
    let leaving = Heartbeat { is_leaving: true, ..seeing() };
    let members = last_of_four([(1, seeing()), (2, leaving), (3, ready())]);
    assert!(members.is_watcher(START_MS), "one is leaving");
    assert!(Members::new(entry("a", 1)).is_watcher(START_MS), "alone");
}

#[test]
fn a_non_watcher_asks_its_neighbours_immediately() {
    let ahead = || Heartbeat { extents: vec![known(0, 9)], ..seeing() };
    let mut members =
        last_of_four([(1, seeing()), (2, ahead()), (3, ahead())]);
    members.on_heartbeat(START_MS, entry("b", 7), ahead());
    let kind = Kind::Configuration;
    let asked: Vec<_> = (0..4)
        .map(|draw| members.find_ahead(START_MS, kind, known(0, 8), draw))
        .collect();
    let near = [2, 3].map(|last| Some(entry("a", last).ip));
    assert_eq!(
        asked,
        [near, near].concat(),
        "requests rotate among local hosts"
    );
}

#[test]
fn a_new_host_is_recognised() {
    let mut members = Members::new(entry("a", 1));
    let mut heard =
        |at_ms| members.on_heartbeat(at_ms, entry("a", 2), seeing());
    assert!(heard(START_MS), "never heard before");
    assert!(!heard(START_MS + 400));
    assert!(heard(START_MS + 400 + SILENT_MS), "it may have restarted");
}

/// The entry of an ended entry host is in the copy from which the store was
/// restored.
#[test]
fn an_ended_host_is_not_revived_by_a_restore() {
    let mut members = Members::new(entry("a", 1));
    members.set_listed(START_MS, vec![entry("a", 1), entry("b", 4)]);
    assert_eq!(
        addresses(&members, START_MS, "b"),
        [4],
        "listed and not heard yet"
    );
    let later_ms = START_MS + SILENT_MS + 1;
    members.set_listed(later_ms, vec![entry("a", 1)]);
    members.set_listed(later_ms, vec![entry("a", 1), entry("b", 4)]);
    assert_eq!(addresses(&members, later_ms, "b"), [1]);
    members.on_heartbeat(later_ms, entry("b", 4), ready());
    assert_eq!(addresses(&members, later_ms, "b"), [4], "heard again");
}
