//! The state of a simulated entry host.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
};

use raildale_core::{
    Name,
    catalog::{Extent, Kind, Stamp},
    members::{
        Heartbeat, MemberEntry, Members, joining::Joining, sources::Sources,
    },
};

use super::{
    links::Link,
    messages::{self, HeartbeatNote},
};

/// The kinds of object that the simulation distributes.
pub const KINDS: [Kind; 3] =
    [Kind::Configuration, Kind::Targets, Kind::EntryHosts];

/// A simulated entry host.
#[derive(Debug)]
pub struct Host {
    /// Its entry in the store.
    pub entry: MemberEntry,
    /// Its data centre's index.
    pub centre: usize,
    /// Whether its process runs.
    pub is_up: bool,
    /// The number of its starts; events of earlier ones are ignored.
    pub start: u32,
    /// When it last started, in milliseconds.
    pub started_ms: u64,
    /// When it became ready; `None` before that.
    pub ready_ms: Option<u64>,
    /// The number of its heartbeats since the start.
    pub beat: u64,
    /// What it knows of the others.
    pub members: Members,
    /// The state of its start.
    pub joining: Joining,
    /// The revision of what it knows of each kind, in the order of their
    /// numbers; `None` if it knows nothing.
    pub revisions: Vec<Option<u64>>,
    /// The kinds that it is fetching.
    pub fetching: BTreeSet<Kind>,
    /// The kinds that it is reading from the store.
    pub reading: BTreeSet<Kind>,
    /// The kinds that it watches in the store.
    pub watching: BTreeSet<Kind>,
    /// Whether the store answers it.
    pub sees_store: bool,
    /// The number of fetches in a row that timed out.
    pub fetch_timeouts: u32,
    /// Its link.
    pub link: Link,
    /// When the last digest of each data centre was made, in microseconds;
    /// `None` if there was none.
    pub digest_made_us: Vec<Option<u64>>,
}

/// Returns the address of the entry host with an index.
pub fn ip(index: usize) -> IpAddr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

/// Returns the index of the entry host with an address.
pub fn index(ip: IpAddr) -> Option<usize> {
    let IpAddr::V4(ip) = ip else { return None };
    let [.., high, low] = ip.octets();
    let number = u16::from_be_bytes([high, low]);
    usize::from(number).checked_sub(1)
}

/// Returns the entry of the entry host with an index.
pub fn entry(index: usize, data_centres: usize) -> MemberEntry {
    MemberEntry {
        name: Name::from(format!("entry-{index}")),
        ip: ip(index),
        data_centre: Name::from(format!("centre-{}", index % data_centres)),
        cpu_millis: None,
    }
}

impl Host {
    /// Creates an entry host that has not started.
    pub fn new(
        index: usize,
        data_centres: usize,
        link: Link,
        joining: Joining,
    ) -> Host {
        let entry = entry(index, data_centres);
        Host {
            members: Members::new(entry.clone()),
            entry,
            centre: index % data_centres,
            is_up: false,
            start: 0,
            started_ms: 0,
            ready_ms: None,
            beat: 0,
            joining,
            revisions: vec![None; messages::kind_count()],
            fetching: BTreeSet::new(),
            reading: BTreeSet::new(),
            watching: BTreeSet::new(),
            sees_store: true,
            fetch_timeouts: 0,
            link,
            digest_made_us: vec![None; data_centres],
        }
    }

    /// Starts its process anew, which knows nothing.
    pub fn restart(&mut self, now_ms: u64, joining: Joining) {
        let digest_made_us = vec![None; self.digest_made_us.len()];
        *self = Host {
            members: Members::new(self.entry.clone()),
            entry: self.entry.clone(),
            is_up: true,
            start: self.start + 1,
            started_ms: now_ms,
            ready_ms: None,
            beat: 0,
            joining,
            revisions: vec![None; self.revisions.len()],
            fetching: BTreeSet::new(),
            reading: BTreeSet::new(),
            watching: BTreeSet::new(),
            sees_store: true,
            fetch_timeouts: 0,
            digest_made_us,
            ..*self
        };
    }

    /// Returns the revision of what it knows of a kind.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        self.revisions[kind.number() as usize]
    }

    /// Records what it knows of a kind.
    pub fn set_revision(&mut self, kind: Kind, revision: u64) {
        self.revisions[kind.number() as usize] = Some(revision);
    }

    /// Returns the extent of its knowledge of a kind.
    pub fn extent(&self, kind: Kind) -> Extent {
        extent(self.revision(kind))
    }

    /// Returns whether others with `extents`, by kind, know more than it.
    pub fn is_behind(&self, extents: &[Extent]) -> bool {
        let mut kinds = extents.iter().zip(&self.revisions);
        kinds.any(|(theirs, own)| theirs.adds_to(&extent(*own)))
    }

    /// Returns whether it knows all that it needs to serve requests.
    pub fn is_ready(&self) -> bool {
        let needed = [Kind::Configuration, Kind::Targets];
        needed.iter().all(|kind| self.revision(*kind).is_some())
    }

    /// Returns what decides from where it gets a kind.
    pub fn sources(&self, kind: Kind) -> Sources<'_> {
        Sources {
            members: &self.members,
            joining: &self.joining,
            is_known: self.revision(kind).is_some(),
            is_list_known: self.revision(Kind::EntryHosts).is_some(),
        }
    }

    /// Returns its heartbeat.
    pub fn heartbeat(&self, index: usize) -> HeartbeatNote {
        let extents = self.revisions.iter().map(|known| extent(*known));
        let heartbeat = Heartbeat {
            is_ready: self.is_ready(),
            extents: extents.collect(),
            sees_store: self.sees_store,
            demand_per_s: 1.0,
            ..Heartbeat::default()
        };
        HeartbeatNote::new(index, &self.entry, heartbeat)
    }
}

fn extent(revision: Option<u64>) -> Extent {
    match revision {
        Some(revision) => {
            Extent { changed: Stamp::new(0, revision), oldest_era: 0 }
        }
        None => Extent::default(),
    }
}
