//! The messages of the simulation and their sizes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
};

use prost::Message as _;
use raildale_core::{
    catalog::Kind,
    fleet_message::{
        AgentEntry, Briefing, Datagram, Digest, DigestEntryHost, DigestTarget,
        Hello, Note, Report,
    },
    gateway::TargetReport,
    members::{Heartbeat, MemberEntry},
};

/// The bytes of a datagram's IP and UDP headers.
const HEADER_BYTES: u64 = 28;

/// A message to entry hosts.
#[derive(Clone, Debug)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(Rc<HeartbeatNote>),
    /// A digest, and the entry hosts to which the receiver passes it on;
    /// `None` if the receiver decides.
    Digest(Rc<DigestNote>, Option<Rc<[usize]>>),
}

/// A heartbeat of a simulated entry host.
#[derive(Debug)]
pub struct HeartbeatNote {
    /// The sender's index.
    pub from: usize,
    /// The sender's entry.
    pub entry: MemberEntry,
    /// Its content.
    pub heartbeat: Heartbeat,
    /// Its size.
    pub bytes: u64,
}

/// A digest of a simulated relay.
#[derive(Debug)]
pub struct DigestNote {
    /// The relay's heartbeat.
    pub heartbeat: HeartbeatNote,
    /// The entry hosts that the relay hears.
    pub entry_hosts: Vec<DigestEntryHost>,
    /// When the relay made it, in microseconds.
    pub made_us: u64,
    /// Its size without the recipients behind the receiver.
    pub bytes: u64,
}

impl HeartbeatNote {
    /// Creates the heartbeat of the entry host with index `from`.
    pub fn new(
        from: usize,
        entry: &MemberEntry,
        heartbeat: Heartbeat,
    ) -> HeartbeatNote {
        let hello = hello(entry, &heartbeat);
        let bytes = datagram_bytes(Note::Hello(hello));
        HeartbeatNote { from, entry: entry.clone(), heartbeat, bytes }
    }
}

impl DigestNote {
    /// Creates a digest that contains `targets` targets.
    pub fn new(
        heartbeat: HeartbeatNote,
        entry_hosts: Vec<DigestEntryHost>,
        targets: usize,
        made_us: u64,
    ) -> DigestNote {
        let digest = Digest {
            hello: Some(hello(&heartbeat.entry, &heartbeat.heartbeat)),
            entry_hosts: entry_hosts.clone(),
            targets: vec![target(); targets],
            ..Digest::default()
        };
        let bytes = datagram_bytes(Note::Digest(digest));
        DigestNote { heartbeat, entry_hosts, made_us, bytes }
    }
}

/// The size of one recipient in a digest that is passed on.
pub const RECIPIENT_BYTES: u64 = size_of::<u32>() as u64;

/// Returns the size of a briefing with a list of `agents` agents.
pub fn agent_list_bytes(agents: usize) -> u64 {
    let agent = AgentEntry {
        ip: u32::MAX,
        data_centre: 1,
        whole_version: 1,
        serves_version: 1,
        is_slow: false,
    };
    let briefing =
        Briefing { agents: vec![agent; agents], ..Briefing::default() };
    datagram_bytes(Note::Briefing(briefing))
}

/// Returns the number of kinds of object whose extents a heartbeat contains.
pub fn kind_count() -> usize {
    Kind::in_use(false).len()
}

fn hello(entry: &MemberEntry, heartbeat: &Heartbeat) -> Hello {
    let hello = Hello {
        name: entry.name.to_string(),
        data_centre: entry.data_centre.to_string(),
        is_ready: heartbeat.is_ready,
        sees_store: heartbeat.sees_store,
        demand_per_s: heartbeat.demand_per_s as f32,
        ..Hello::default()
    };
    hello.with_extents(&heartbeat.extents)
}

/// Returns a target in a digest, with numbers of usual sizes.
fn target() -> DigestTarget {
    let address =
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 1, 1)), 18001);
    let report = TargetReport {
        is_up: true,
        is_accepting: true,
        serves_version: 1,
        whole_version: 1,
        running: 4,
        queued: 0,
        pace: 1.0,
        missing_chunks: 0,
        round_trip_ms: 1,
        every_ms: 800,
    };
    DigestTarget {
        report: Some(Report::of(address, &report)),
        age_ms: 100,
        round_trip_ms: 1,
    }
}

fn datagram_bytes(note: Note) -> u64 {
    let datagram = Datagram { note: Some(note) };
    datagram.encoded_len() as u64 + HEADER_BYTES
}
