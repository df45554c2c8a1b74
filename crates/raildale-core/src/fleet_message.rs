//! What entry hosts and agents say to one another on a platform that keeps
//! the configuration and the list of targets itself.
//!
//! Datagrams carry what is repeated anyway, so a lost one costs a moment;
//! frames on a connection carry chunks and snapshots.

use std::net::SocketAddr;

use prost::Message;

use crate::{
    catalog::{Extent, Stamp},
    gateway::TargetReport,
};

/// A datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// What it says.
    #[prost(oneof = "Note", tags = "1, 2, 3, 4, 5")]
    pub note: Option<Note>,
}

/// What a datagram says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Note {
    /// An entry host to another.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// An entry host to an agent.
    #[prost(message, tag = "2")]
    Briefing(Briefing),
    /// An agent to an entry host.
    #[prost(message, tag = "3")]
    Report(Report),
    /// An agent that nobody has briefed yet to an entry host.
    #[prost(message, tag = "4")]
    BriefingRequest(BriefingRequest),
    /// A relay of a data centre to those of the others, and these to their
    /// neighbours.
    #[prost(message, tag = "5")]
    Digest(Digest),
}

/// An entry host's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The data centre that it stands in.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Whether it takes no new callers.
    #[prost(bool, tag = "3")]
    pub is_leaving: bool,
    /// Whether it is ready for callers.
    #[prost(bool, tag = "4")]
    pub is_ready: bool,
    /// The store's revision of the last change that it knows, by kind, in the
    /// order of the kinds' numbers.
    #[prost(uint64, repeated, tag = "5")]
    pub revisions: Vec<u64>,
    /// Whether the store answers it, as far as it knows.
    #[prost(bool, tag = "6")]
    pub sees_store: bool,
    /// The versions that bound what may start, and how long ago they were
    /// named: whoever has just started, or was frozen, cannot know.
    #[prost(message, repeated, tag = "7")]
    pub versions: Vec<ModelVersionAge>,
    /// Milliseconds since the store last told some entry host which versions
    /// are named, as the sender knows.
    #[prost(uint64, optional, tag = "8")]
    pub versions_heard_age_ms: Option<u64>,
    /// Requests that come to it in a second, as of late.
    #[prost(float, tag = "9")]
    pub demand_per_s: f32,
    /// Requests that may end the targets that run them, the weightiest first.
    #[prost(message, repeated, tag = "10")]
    pub suspects: Vec<SuspectEntry>,
    /// What starts of targets say of themselves, the latest first.
    #[prost(message, repeated, tag = "11")]
    pub notices: Vec<NoticeEntry>,
    /// The store's eras that the revisions belong to, in the same order; 0
    /// for those that are missing.
    #[prost(uint64, repeated, tag = "12")]
    pub eras: Vec<u64>,
    /// The first eras of which it knows anything, in the same order; those of
    /// the revisions for those that are missing.
    #[prost(uint64, repeated, tag = "13")]
    pub oldest_eras: Vec<u64>,
}

impl Hello {
    /// What it knows of the store, by kind.
    pub fn extents(&self) -> Vec<Extent> {
        let extent = |(place, revision): (usize, &u64)| {
            let era = self.eras.get(place).copied().unwrap_or(0);
            let oldest_era = self.oldest_eras.get(place).copied();
            Extent {
                changed: Stamp::new(era, *revision),
                oldest_era: oldest_era.unwrap_or(era),
            }
        };
        self.revisions.iter().enumerate().map(extent).collect()
    }

    /// The same, told.
    pub fn with_extents(self, extents: &[Extent]) -> Hello {
        let changed = || extents.iter().map(|extent| extent.changed);
        Hello {
            revisions: changed().map(|stamp| stamp.revision).collect(),
            eras: changed().map(|stamp| stamp.era).collect(),
            oldest_eras: extents.iter().map(|e| e.oldest_era).collect(),
            ..self
        }
    }
}

/// What a start of a target says of itself.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct NoticeEntry {
    /// Names the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Requests a second that it takes from all entry hosts together; none if
    /// it names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub limit_per_s: Option<f64>,
    /// Milliseconds since it said so last.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Requests that the sender has sent to it of late.
    #[prost(uint32, tag = "4")]
    pub sent_lately: u32,
    /// Whether it has told the sender that it leaves.
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
}

/// A request that may end the targets that run it.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// Names the caller's key.
    #[prost(fixed32, tag = "1")]
    pub caller: u32,
    /// Names the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The starts of targets that ended while it was there.
    #[prost(message, repeated, tag = "3")]
    pub losses: Vec<LossEntry>,
    /// Milliseconds since a target answered it; none if none did.
    #[prost(uint64, optional, tag = "4")]
    pub cleared_age_ms: Option<u64>,
}

/// A start of a target that ended while a request was there.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LossEntry {
    /// Names the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Milliseconds since it ended.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether it ended in a cut, together with a large part of its
    /// service's.
    #[prost(bool, tag = "3")]
    pub is_cut: bool,
}

/// What a relay knows of its data centre, for the others.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The relay's own heartbeat.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// The relay's IPv4 address.
    #[prost(fixed32, tag = "2")]
    pub relay_ip: u32,
    /// Entry hosts that it hears.
    #[prost(message, repeated, tag = "3")]
    pub entry_hosts: Vec<DigestEntryHost>,
    /// Targets whose agents report to it.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<DigestTarget>,
    /// The relay's clock as it was sent.
    #[prost(uint64, tag = "5")]
    pub sent_ms: u64,
    /// What came last from each relay that it hears from.
    #[prost(message, repeated, tag = "6")]
    pub echoes: Vec<Echo>,
    /// Milliseconds to the relay's data centre and back, as whoever passed
    /// this on measured them; 0 as it leaves the relay.
    #[prost(uint64, tag = "7")]
    pub round_trip_ms: u64,
}

/// An entry host in a digest.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DigestEntryHost {
    /// Its IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Whether it is ready for callers.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// Whether it takes no new callers.
    #[prost(bool, tag = "3")]
    pub is_leaving: bool,
    /// Requests that come to it in a second, as of late.
    #[prost(float, tag = "4")]
    pub demand_per_s: f32,
}

/// A target in a digest.
#[derive(Clone, PartialEq, Message)]
pub struct DigestTarget {
    /// What its agent reported.
    #[prost(message, optional, tag = "1")]
    pub report: Option<Report>,
    /// Milliseconds since it did.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Milliseconds from the relay to its machine and back.
    #[prost(uint64, tag = "3")]
    pub round_trip_ms: u64,
}

/// A digest that came, for its sender to measure the way.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Echo {
    /// The IPv4 address that it came from.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Its sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_ms: u64,
    /// Milliseconds that it has been held since.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A version of a model and how long ago it was named.
#[derive(Clone, PartialEq, Message)]
pub struct ModelVersionAge {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Its number.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was named, as the sender knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// What an entry host tells an agent: it also asks for reports.
#[derive(Clone, PartialEq, Message)]
pub struct Briefing {
    /// Chunks of a version.
    #[prost(uint32, tag = "1")]
    pub chunk_count: u32,
    /// Whether what runs may be cut and go on elsewhere.
    #[prost(bool, tag = "2")]
    pub may_cut: bool,
    /// Versions that were named, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub versions: Vec<VersionAge>,
    /// The agents of the service.
    #[prost(message, repeated, tag = "4")]
    pub agents: Vec<AgentEntry>,
    /// Data centres, to which agents refer by place.
    #[prost(string, repeated, tag = "5")]
    pub data_centres: Vec<String>,
    /// Connections that the origin accepts from all agents together.
    #[prost(uint32, tag = "6")]
    pub origin_connections: u32,
    /// The sender's clock, for the report to send back.
    #[prost(uint64, tag = "7")]
    pub sent_ms: u64,
    /// The model that the service's targets load.
    #[prost(string, tag = "8")]
    pub model: String,
    /// Where the origin of weights listens; empty if there is none.
    #[prost(string, tag = "9")]
    pub origin: String,
    /// The path of the targets' health checks; empty if there are none.
    #[prost(string, tag = "10")]
    pub health_path: String,
    /// Whether the sender looks after the agent's data centre and wants every
    /// report.
    #[prost(bool, tag = "11")]
    pub is_near: bool,
}

/// A question for a briefing: entry hosts brief agents of their own accord
/// only once the agent's target is listed, about a second after its start.
#[derive(Clone, PartialEq, Message)]
pub struct BriefingRequest {
    /// The service of the agent's target.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The data centre that the agent stands in.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// A version and how long ago it was named.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionAge {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Milliseconds since it was named, as the sender knows.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// An agent in a briefing.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AgentEntry {
    /// Its IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The place of its data centre in the briefing's list.
    #[prost(uint32, tag = "2")]
    pub data_centre: u32,
    /// The newest version of which it holds every chunk; 0 if none.
    #[prost(uint64, tag = "3")]
    pub whole_version: u64,
    /// The version that its target serves; 0 if none.
    #[prost(uint64, tag = "4")]
    pub serves_version: u64,
    /// Whether the way to it is slow, or it is silent.
    #[prost(bool, tag = "5")]
    pub is_slow: bool,
}

/// What an agent tells of its target.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The target's address.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether the target answers its agent.
    #[prost(bool, tag = "2")]
    pub is_up: bool,
    /// Whether new requests are welcome.
    #[prost(bool, tag = "3")]
    pub is_accepting: bool,
    /// The version that it serves; 0 if none.
    #[prost(uint64, tag = "4")]
    pub serves_version: u64,
    /// The newest version held whole; 0 if none.
    #[prost(uint64, tag = "5")]
    pub whole_version: u64,
    /// Requests that run.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// How slow the target is, in thousandths of its published pace.
    #[prost(uint32, tag = "8")]
    pub pace_milli: u32,
    /// The reader's clock in its last briefing; 0 if there was none.
    #[prost(uint64, tag = "9")]
    pub briefing_sent_ms: u64,
    /// Milliseconds that the agent has held that briefing.
    #[prost(uint64, tag = "10")]
    pub briefing_age_ms: u64,
    /// Chunks that are missing before the target can load the version
    /// wanted; 0 if none.
    #[prost(uint32, tag = "11")]
    pub missing_chunks: u32,
    /// Milliseconds until the reader's next report, if nothing happens.
    #[prost(uint32, tag = "12")]
    pub every_ms: u32,
    /// Milliseconds that what comes to the agent waits before its link.
    #[prost(uint64, tag = "13")]
    pub queue_ms: u64,
}

/// Thousandths in the whole, as paces are told.
const MILLI: f64 = 1e3;

impl Report {
    /// What is told of the target at `address`, without the times of a
    /// briefing.
    pub fn of(address: SocketAddr, report: &TargetReport) -> Report {
        Report {
            address: address.to_string(),
            is_up: report.is_up,
            is_accepting: report.is_accepting,
            serves_version: report.serves_version,
            whole_version: report.whole_version,
            running: report.running,
            queued: report.queued,
            pace_milli: (report.pace * MILLI) as u32,
            briefing_sent_ms: 0,
            briefing_age_ms: 0,
            missing_chunks: report.missing_chunks,
            every_ms: report.every_ms,
            queue_ms: 0,
        }
    }

    /// What an entry host takes from it, which read it at `now_ms` on the
    /// clock that its briefings tell.
    pub fn target_report(&self, now_ms: u64) -> TargetReport {
        let round_trip_ms = match self.briefing_sent_ms {
            0 => 0,
            sent_ms => now_ms
                .saturating_sub(sent_ms)
                .saturating_sub(self.briefing_age_ms),
        };
        // A full link drops datagrams: a briefing that is overdue at the
        // agent says as much of the way as one that took long.
        let overdue_ms = self.briefing_age_ms.saturating_sub(OVERDUE_AFTER_MS);
        let round_trip_ms = round_trip_ms.max(overdue_ms).max(self.queue_ms);
        TargetReport {
            is_up: self.is_up,
            is_accepting: self.is_accepting,
            serves_version: self.serves_version,
            whole_version: self.whole_version,
            running: self.running,
            queued: self.queued,
            pace: f64::from(self.pace_milli) / MILLI,
            missing_chunks: self.missing_chunks,
            round_trip_ms,
            every_ms: self.every_ms,
        }
    }
}

/// Age from which a briefing is overdue at an agent, in milliseconds: they
/// leave every 400 ms, and some later.
const OVERDUE_AFTER_MS: u64 = 520;

/// A frame on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct FleetFrame {
    /// What it says.
    #[prost(oneof = "FleetBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<FleetBody>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FleetBody {
    /// An agent asks another for an item.
    #[prost(message, tag = "1")]
    ItemRequest(ItemRequest),
    /// The answer.
    #[prost(message, tag = "2")]
    ItemResponse(ItemResponse),
    /// An entry host asks another for a kind of object.
    #[prost(message, tag = "3")]
    SnapshotRequest(SnapshotRequest),
    /// The answer.
    #[prost(message, tag = "4")]
    SnapshotResponse(SnapshotResponse),
    /// A slice of a chunk has come.
    #[prost(message, tag = "5")]
    SliceAck(SliceAck),
}

/// A question for a manifest or chunk.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ItemRequest {
    /// Names the question on its connection.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The chunk's place; none asks for the manifest.
    #[prost(uint32, optional, tag = "3")]
    pub chunk: Option<u32>,
    /// Agents that the question has passed.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// A manifest or a slice of a chunk, or that it is not to be had.
#[derive(Clone, PartialEq, Message)]
pub struct ItemResponse {
    /// Names the question.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// Bytes of a chunk, after those of the slices before.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub chunk: Option<bytes::Bytes>,
    /// A manifest's digests, 32 bytes each, in order.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub digests: Option<bytes::Bytes>,
    /// Milliseconds that the question waited before the answer began.
    #[prost(uint64, tag = "4")]
    pub waited_ms: u64,
    /// Bytes of the chunk that are still to come.
    #[prost(uint32, tag = "5")]
    pub left_bytes: u32,
    /// When it left, on the sender's clock.
    #[prost(uint64, tag = "6")]
    pub sent_ms: u64,
}

/// That a slice of a chunk has come, so that another one may leave.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SliceAck {}

/// A question for all objects of a kind.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotRequest {
    /// The kind's number.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// All objects of a kind.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotResponse {
    /// The kind's number.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The revision of the store.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The store's revision of the last change, deletions among them.
    #[prost(uint64, tag = "3")]
    pub changed_revision: u64,
    /// Objects that are missing and may yet come back: their entries lapsed
    /// while the store was away.
    #[prost(string, repeated, tag = "4")]
    pub lapsed: Vec<String>,
    /// The objects: an [`ObjectList`], deflated.
    #[prost(bytes = "bytes", tag = "5")]
    pub packed: bytes::Bytes,
    /// The store's era that the revision belongs to.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// The same of the last change.
    #[prost(uint64, tag = "7")]
    pub changed_era: u64,
    /// The first era of which the sender knows anything; none for the one
    /// that the revision belongs to.
    #[prost(uint64, optional, tag = "8")]
    pub oldest_era: Option<u64>,
    /// Starts of targets that have left the list of late.
    #[prost(message, repeated, tag = "9")]
    pub departed: Vec<DepartureEntry>,
}

/// A start of a target that has left the list.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DepartureEntry {
    /// Names the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// The era of a change of the store by which its entry was gone.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// The revision of that change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Milliseconds since that was known.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The era of its entry in a restored copy, if there is one.
    #[prost(uint64, optional, tag = "5")]
    pub copied_era: Option<u64>,
    /// The revision of that entry.
    #[prost(uint64, tag = "6")]
    pub copied_revision: u64,
}

impl DepartureEntry {
    /// Its entry in a restored copy.
    pub fn copied(&self) -> Option<Stamp> {
        let revision = self.copied_revision;
        self.copied_era.map(|era| Stamp { era, revision })
    }
}

/// The objects of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectList {
    /// The objects.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<ObjectEntry>,
}

/// An object in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its body, as the platform encodes it.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// The store's era that the revision belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}
