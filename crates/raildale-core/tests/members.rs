//! Which entry hosts callers are told of.

use std::net::{IpAddr, Ipv4Addr};

use raildale_core::{
    Name,
    catalog::{Extent, Kind, Stamp},
    members::{Heartbeat, MemberEntry, Members, SILENT_MS},
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

fn told(members: &Members, now_ms: u64, centre: &str) -> Vec<u8> {
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
fn callers_are_sent_near_and_evenly() {
    let members = members();
    assert_eq!(told(&members, START_MS, "a"), [1, 2, 3]);
    assert_eq!(told(&members, START_MS, "b"), [4, 5]);
    let crowded = told(&members, START_MS, "c");
    assert_eq!(crowded[0], 6);
    assert_eq!(crowded.len(), 2, "the only one there gets help");
    assert!(crowded[1] <= 3, "from where most are: {crowded:?}");
}

#[test]
fn silent_leaving_and_unready_ones_are_left_out() {
    let mut members = members();
    let later_ms = START_MS + SILENT_MS + 1;
    let leaving = Heartbeat { is_leaving: true, ..ready() };
    members.on_heartbeat(later_ms, entry("a", 2), leaving);
    members.on_heartbeat(later_ms, entry("a", 3), Heartbeat::default());
    members.on_heartbeat(later_ms, entry("b", 4), ready());
    assert_eq!(told(&members, later_ms, "b"), [4]);
    assert_eq!(told(&members, later_ms, "a"), [1]);
}

#[test]
fn without_any_other_callers_are_sent_here() {
    let members = Members::new(entry("a", 1));
    assert_eq!(told(&members, START_MS, "elsewhere"), [1]);
}

#[test]
fn one_that_stays_ahead_is_asked() {
    let mut members = members();
    let ahead = Heartbeat { extents: vec![known(0, 9)], ..ready() };
    members.on_heartbeat(START_MS, entry("b", 4), ahead);
    let kind = Kind::Configuration;
    assert_eq!(
        members.find_ahead(START_MS, kind, known(0, 8), 0),
        None,
        "the watch may bring it"
    );
    let asked = members.find_ahead(START_MS, kind, known(0, 0), 0);
    assert_eq!(asked, Some(entry("b", 4).ip), "nothing is known yet");
    let asked = members.find_ahead(START_MS + 300, kind, known(0, 8), 0);
    assert_eq!(asked, Some(entry("b", 4).ip));
    assert_eq!(members.find_ahead(START_MS + 301, kind, known(0, 9), 0), None);
}

/// Revisions go back when the store is restored.
#[test]
fn one_that_has_heard_of_a_restore_is_ahead() {
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

/// It may know what the restore has taken back.
#[test]
fn one_that_knew_the_store_before_its_restore_is_asked() {
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
fn one_that_falls_silent_is_told_once() {
    let mut members = members();
    assert_eq!(members.take_changes(START_MS).len(), 5, "all came up");
    let later_ms = START_MS + SILENT_MS + 1;
    members.on_heartbeat(later_ms, entry("a", 2), ready());
    assert_eq!(
        members.take_changes(later_ms).len(),
        4,
        "all others fell silent"
    );
    assert_eq!(members.take_changes(later_ms), vec![]);
}

#[test]
fn a_data_centre_without_entry_hosts_is_looked_after_from_elsewhere() {
    let members = members();
    let later_ms = START_MS + SILENT_MS + 1;
    assert!(members.is_nearest(START_MS, "a"), "the own one");
    assert!(!members.is_nearest(START_MS, "c"), "one is alive there");
    assert!(members.is_nearest(later_ms, "c"), "none is alive any more");
    assert!(members.is_nearest(START_MS, "d"), "there never was one");
}

fn seeing() -> Heartbeat {
    Heartbeat { sees_store: true, ..ready() }
}

/// The last of four entry hosts in one data centre.
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
    assert!(!members.is_watcher(START_MS), "two before it do");
    assert!(members.is_watcher(START_MS + 950), "they are silent");
    let members = last_of_four([(1, seeing()), (2, ready()), (3, ready())]);
    assert!(members.is_watcher(START_MS), "two were turned away");
    let leaving = Heartbeat { is_leaving: true, ..seeing() };
    let members = last_of_four([(1, seeing()), (2, leaving), (3, ready())]);
    assert!(members.is_watcher(START_MS), "one is leaving");
    assert!(Members::new(entry("a", 1)).is_watcher(START_MS), "alone");
}

#[test]
fn one_that_does_not_watch_asks_next_door_at_once() {
    let ahead = || Heartbeat { extents: vec![known(0, 9)], ..seeing() };
    let mut members =
        last_of_four([(1, seeing()), (2, ahead()), (3, ahead())]);
    members.on_heartbeat(START_MS, entry("b", 7), ahead());
    let kind = Kind::Configuration;
    let asked: Vec<_> = (0..4)
        .map(|draw| members.find_ahead(START_MS, kind, known(0, 8), draw))
        .collect();
    let near = [2, 3].map(|last| Some(entry("a", last).ip));
    assert_eq!(asked, [near, near].concat(), "shared among those here");
}

#[test]
fn one_that_comes_up_is_answered_at_once() {
    let mut members = Members::new(entry("a", 1));
    let mut heard =
        |at_ms| members.on_heartbeat(at_ms, entry("a", 2), seeing());
    assert!(heard(START_MS), "never heard before");
    assert!(!heard(START_MS + 400));
    assert!(heard(START_MS + 400 + SILENT_MS), "it may have restarted");
}

/// Its entry is in the copy from which the store was restored.
#[test]
fn one_that_has_ended_is_not_back_by_a_restore() {
    let mut members = Members::new(entry("a", 1));
    members.set_listed(START_MS, vec![entry("a", 1), entry("b", 4)]);
    assert_eq!(told(&members, START_MS, "b"), [4], "it is greeted");
    let later_ms = START_MS + SILENT_MS + 1;
    members.set_listed(later_ms, vec![entry("a", 1)]);
    members.set_listed(later_ms, vec![entry("a", 1), entry("b", 4)]);
    assert_eq!(told(&members, later_ms, "b"), [1]);
    members.on_heartbeat(later_ms, entry("b", 4), ready());
    assert_eq!(told(&members, later_ms, "b"), [4], "it has started again");
}
