//! The messages between entry hosts and agents on a platform that stores the
//! configuration and the list of targets itself.
//!
//! Datagrams carry messages that are repeated periodically, so the loss of one
//! only delays its information. Frames on a connection carry chunks and
//! snapshots.

use std::net::SocketAddr;

use prost::Message;

use crate::{
    Name,
    catalog::{Extent, Stamp},
    gateway::{
        TargetReport,
        versions::{NamedVersion, told::ToldVersions},
    },
};

/// A datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The message; a datagram of an unknown kind has none.
    #[prost(oneof = "Note", tags = "1, 2, 3, 4, 5")]
    pub note: Option<Note>,
}

/// The message in a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Note {
    /// Entry host to entry host: a heartbeat.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Entry host to agent: a briefing.
    #[prost(message, tag = "2")]
    Briefing(Briefing),
    /// Agent to entry host: a report on its target.
    #[prost(message, tag = "3")]
    Report(Report),
    /// Agent to entry host: requests a briefing, as it has had none yet.
    #[prost(message, tag = "4")]
    BriefingRequest(BriefingRequest),
    /// Relay to the relays of other data centres, which distribute it among
    /// their neighbours.
    #[prost(message, tag = "5")]
    Digest(Digest),
}

/// An entry host's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The entry host's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The entry host's data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Whether the entry host takes no new callers.
    #[prost(bool, tag = "3")]
    pub is_leaving: bool,
    /// Whether the entry host is ready for callers.
    #[prost(bool, tag = "4")]
    pub is_ready: bool,
    /// For each kind of object, the store's revision of the last change that
    /// the entry host knows, in the order of the kinds' numbers.
    #[prost(uint64, repeated, tag = "5")]
    pub revisions: Vec<u64>,
    /// Whether the store responds to the entry host, as far as it knows.
    #[prost(bool, tag = "6")]
    pub sees_store: bool,
    /// The versions that limit what may start, and how long ago they were
    /// named. Receivers that have just started, or were frozen, cannot know
    /// these ages.
    #[prost(message, repeated, tag = "7")]
    pub versions: Vec<ModelVersionAge>,
    // Tag 8 is reserved: earlier builds tell there when the store last
    // answered, without the versions that they can't date.
    /// The newest version of each model that no entry host heard being named.
    #[prost(message, repeated, tag = "15")]
    pub unheard_versions: Vec<ModelVersion>,
    /// Milliseconds since the time until which the sender knows every naming;
    /// `None` if it may lack some.
    #[prost(uint64, optional, tag = "16")]
    pub versions_complete_age_ms: Option<u64>,
    /// The recent rate of requests to the entry host, in requests a second.
    #[prost(float, tag = "9")]
    pub demand_per_s: f32,
    /// Requests that may end the targets that run them, the most severe first.
    #[prost(message, repeated, tag = "10")]
    pub suspects: Vec<SuspectEntry>,
    /// Notices that targets gave of their limits and departure, latest first.
    #[prost(message, repeated, tag = "11")]
    pub notices: Vec<NoticeEntry>,
    /// The store's eras of `revisions`, in the same order; missing ones count
    /// as 0.
    #[prost(uint64, repeated, tag = "12")]
    pub eras: Vec<u64>,
    /// For each kind, the first era of which the entry host knows anything, in
    /// the same order; missing ones count as the era in `eras`.
    #[prost(uint64, repeated, tag = "13")]
    pub oldest_eras: Vec<u64>,
    /// Whether the entry host names only some entry hosts to callers.
    #[prost(bool, tag = "14")]
    pub is_concentrating: bool,
}

impl Hello {
    /// Returns the extent of the sender's knowledge of the store, by kind.
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

    /// Returns what the sender tells of the named versions, at `now_ms` on this
    /// process's clock.
    pub fn told_versions(&self, now_ms: u64) -> ToldVersions {
        let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
        let heard = self.versions.iter().map(|told| {
            let named_ms = at_ms(told.age_ms);
            let named = NamedVersion { version: told.version, named_ms };
            (Name::from(told.model.as_str()), named)
        });
        let unheard = self.unheard_versions.iter();
        let unheard =
            unheard.map(|told| (Name::from(&*told.model), told.version));
        ToldVersions {
            heard: heard.collect(),
            unheard: unheard.collect(),
            complete_until_ms: self.versions_complete_age_ms.map(at_ms),
        }
    }

    /// Sets the fields that hold what is told of the named versions, at
    /// `now_ms` on this process's clock.
    pub fn with_told_versions(self, now_ms: u64, told: ToldVersions) -> Hello {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let heard = told.heard.into_iter().map(|(model, named)| {
            let (model, version) = (model.to_string(), named.version);
            let age_ms = age_ms(named.named_ms);
            ModelVersionAge { model, version, age_ms }
        });
        let unheard = told.unheard.into_iter().map(|(model, version)| {
            ModelVersion { model: model.to_string(), version }
        });
        Hello {
            versions: heard.collect(),
            unheard_versions: unheard.collect(),
            versions_complete_age_ms: told.complete_until_ms.map(age_ms),
            ..self
        }
    }

    /// Sets the fields that hold the extents, by kind.
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

/// The last notice of one start of a target.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct NoticeEntry {
    /// Identifies the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// The requests a second that the target accepts from all entry hosts
    /// together; `None` if it no longer sets a limit.
    #[prost(double, optional, tag = "2")]
    pub limit_per_s: Option<f64>,
    /// Milliseconds since the target's last notice.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The number of requests that the sender recently sent to the target.
    #[prost(uint32, tag = "4")]
    pub sent_lately: u32,
    /// Whether the target has told the sender that it is leaving.
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
}

/// A request that may end the targets that run it.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// Identifies the caller's key.
    #[prost(fixed32, tag = "1")]
    pub caller: u32,
    /// Identifies the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The starts of targets that ended while the request was there.
    #[prost(message, repeated, tag = "3")]
    pub losses: Vec<LossEntry>,
    /// Milliseconds since a target answered the request; `None` if none did.
    #[prost(uint64, optional, tag = "4")]
    pub cleared_age_ms: Option<u64>,
}

/// A start of a target that ended while a request was there.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LossEntry {
    /// Identifies the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Milliseconds since the start ended.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether it ended in a cut, together with a large part of the service's
    /// other starts.
    #[prost(bool, tag = "3")]
    pub is_cut: bool,
}

/// A relay's summary of its data centre for the relays of other data centres.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The relay's own heartbeat.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// The relay's IPv4 address.
    #[prost(fixed32, tag = "2")]
    pub relay_ip: u32,
    /// The entry hosts from which the relay receives heartbeats.
    #[prost(message, repeated, tag = "3")]
    pub entry_hosts: Vec<DigestEntryHost>,
    /// The targets whose agents report to the relay.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<DigestTarget>,
    /// The relay's clock when it sent the digest, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub sent_ms: u64,
    /// The last digest received from each other relay.
    #[prost(message, repeated, tag = "6")]
    pub echoes: Vec<Echo>,
    /// The round-trip time to the relay's data centre in milliseconds, as
    /// measured by the relay that passed the digest on; 0 when it leaves the
    /// original relay.
    #[prost(uint64, tag = "7")]
    pub round_trip_ms: u64,
    /// The IPv4 addresses of the entry hosts to which the receiver passes the
    /// digest on.
    #[prost(fixed32, repeated, tag = "8")]
    pub pass_on_to: Vec<u32>,
}

/// An entry host in a digest.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DigestEntryHost {
    /// The entry host's IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Whether the entry host is ready for callers.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// Whether the entry host takes no new callers.
    #[prost(bool, tag = "3")]
    pub is_leaving: bool,
    /// The recent rate of requests to the entry host, in requests a second.
    #[prost(float, tag = "4")]
    pub demand_per_s: f32,
}

/// A target in a digest.
#[derive(Clone, PartialEq, Message)]
pub struct DigestTarget {
    /// The last report of the target's agent.
    #[prost(message, optional, tag = "1")]
    pub report: Option<Report>,
    /// Milliseconds since the report was received.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The round-trip time from the relay to the target's machine, in
    /// milliseconds.
    #[prost(uint64, tag = "3")]
    pub round_trip_ms: u64,
}

/// The receipt of a digest, from which its sender measures the round-trip
/// time.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Echo {
    /// The IPv4 address of the digest's sender.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The digest's `sent_ms`, on its sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_ms: u64,
    /// Milliseconds since the digest was received.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A version of a model.
#[derive(Clone, PartialEq, Message)]
pub struct ModelVersion {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version's number.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A version of a model and how long ago it was named.
#[derive(Clone, PartialEq, Message)]
pub struct ModelVersionAge {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version's number.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was named, as far as the sender knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// The information that an entry host sends to an agent periodically. It also
/// requests reports.
#[derive(Clone, PartialEq, Message)]
pub struct Briefing {
    /// The number of chunks of a version.
    #[prost(uint32, tag = "1")]
    pub chunk_count: u32,
    /// Whether running requests may be cut and continued at other targets.
    #[prost(bool, tag = "2")]
    pub may_cut: bool,
    /// The versions that were named, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub versions: Vec<VersionAge>,
    /// The agents of the service.
    #[prost(message, repeated, tag = "4")]
    pub agents: Vec<AgentEntry>,
    /// The names of data centres, which [`AgentEntry`] refers to by index.
    #[prost(string, repeated, tag = "5")]
    pub data_centres: Vec<String>,
    /// The number of connections that the origin accepts from all agents
    /// together.
    #[prost(uint32, tag = "6")]
    pub origin_connections: u32,
    /// The sender's clock in milliseconds, which the report returns.
    #[prost(uint64, tag = "7")]
    pub sent_ms: u64,
    /// The model that the service's targets load.
    #[prost(string, tag = "8")]
    pub model: String,
    /// The address of the origin of weights; empty if there is none.
    #[prost(string, tag = "9")]
    pub origin: String,
    /// The path of the targets' health checks; empty if there are none.
    #[prost(string, tag = "10")]
    pub health_path: String,
    /// Whether the sender is responsible for the agent's data centre and is to
    /// get every report.
    #[prost(bool, tag = "11")]
    pub is_near: bool,
    /// Whether the sender doesn't know enough for a briefing yet; all other
    /// fields are empty.
    #[prost(bool, tag = "12")]
    pub is_pending: bool,
}

/// Requests a briefing. Entry hosts brief an agent on their own only when its
/// target is listed, which takes about a second from its start.
#[derive(Clone, PartialEq, Message)]
pub struct BriefingRequest {
    /// The service of the agent's target.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The agent's data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// A version and how long ago it was named.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionAge {
    /// The version's number.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Milliseconds since it was named, as far as the sender knows.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// An agent in a briefing.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AgentEntry {
    /// The agent's IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The index of its data centre in [`Briefing::data_centres`].
    #[prost(uint32, tag = "2")]
    pub data_centre: u32,
    /// The newest version of which the agent holds all chunks; 0 if none.
    #[prost(uint64, tag = "3")]
    pub whole_version: u64,
    /// The version that the agent's target serves; 0 if none.
    #[prost(uint64, tag = "4")]
    pub serves_version: u64,
    /// Whether the network path to the agent is slow, or the agent is silent.
    #[prost(bool, tag = "5")]
    pub is_slow: bool,
}

/// An agent's report on its target.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The target's address.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether the target responds to its agent.
    #[prost(bool, tag = "2")]
    pub is_up: bool,
    /// Whether the target accepts new requests.
    #[prost(bool, tag = "3")]
    pub is_accepting: bool,
    /// The version that the target serves; 0 if none.
    #[prost(uint64, tag = "4")]
    pub serves_version: u64,
    /// The newest version of which all chunks are held; 0 if none.
    #[prost(uint64, tag = "5")]
    pub whole_version: u64,
    /// The number of running requests.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// The number of queued requests.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// The target's current slowness, in thousandths of its published pace.
    #[prost(uint32, tag = "8")]
    pub pace_milli: u32,
    /// The receiver's clock in its last briefing, in milliseconds; 0 if there
    /// was none.
    #[prost(uint64, tag = "9")]
    pub briefing_sent_ms: u64,
    /// Milliseconds since the agent received that briefing.
    #[prost(uint64, tag = "10")]
    pub briefing_age_ms: u64,
    /// The number of chunks still missing before the target can load the
    /// wanted version; 0 if none.
    #[prost(uint32, tag = "11")]
    pub missing_chunks: u32,
    /// Milliseconds until the next report to the receiver, unless a change
    /// causes an earlier one.
    #[prost(uint32, tag = "12")]
    pub every_ms: u32,
    /// The queueing delay of traffic to the agent before its link, in
    /// milliseconds.
    #[prost(uint64, tag = "13")]
    pub queue_ms: u64,
}

/// The number of thousandths in one, the unit of [`Report::pace_milli`].
const MILLI: f64 = 1e3;

impl Report {
    /// Returns the message for a report on the target at `address`. The fields
    /// for the briefing's times and the queueing delay are 0.
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

    /// Returns the report as an entry host uses it, with the round-trip time.
    /// `now_ms` is the time of receipt and `last_briefed_ms` that of its last
    /// briefing to the agent, 0 if there was none, both on the clock that the
    /// entry host puts into its briefings.
    pub fn target_report(
        &self,
        now_ms: u64,
        last_briefed_ms: u64,
    ) -> TargetReport {
        let round_trip_ms = match self.briefing_sent_ms {
            0 => 0,
            sent_ms => now_ms
                .saturating_sub(sent_ms)
                .saturating_sub(self.briefing_age_ms),
        };
        // A congested link drops datagrams, so an overdue briefing at the
        // agent indicates a slow path just as a long round trip does. Nothing
        // is overdue if the entry host has sent no later one: it briefs only
        // agents whose targets it uses.
        let overdue_ms = match last_briefed_ms > self.briefing_sent_ms {
            true => self.briefing_age_ms.saturating_sub(OVERDUE_AFTER_MS),
            false => 0,
        };
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

/// The age in milliseconds from which a briefing at an agent is overdue.
/// Briefings are sent every 400 ms, and some of them later.
const OVERDUE_AFTER_MS: u64 = 520;

/// A frame on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct FleetFrame {
    /// The message; a frame of an unknown kind has none.
    #[prost(oneof = "FleetBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<FleetBody>,
}

/// The message in a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FleetBody {
    /// Agent to agent: requests a manifest or chunk.
    #[prost(message, tag = "1")]
    ItemRequest(ItemRequest),
    /// Agent to agent: the response to an item request.
    #[prost(message, tag = "2")]
    ItemResponse(ItemResponse),
    /// Entry host to entry host: requests all objects of a kind.
    #[prost(message, tag = "3")]
    SnapshotRequest(SnapshotRequest),
    /// Entry host to entry host: the response to a snapshot request.
    #[prost(message, tag = "4")]
    SnapshotResponse(SnapshotResponse),
    /// Agent to agent: acknowledges a slice of a chunk.
    #[prost(message, tag = "5")]
    SliceAck(SliceAck),
}

/// Requests a manifest or chunk.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ItemRequest {
    /// The request's number, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The chunk's index; `None` requests the manifest.
    #[prost(uint32, optional, tag = "3")]
    pub chunk: Option<u32>,
    /// The number of agents that have forwarded the request.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// The response to an [`ItemRequest`]: a manifest, a slice of a chunk, or
/// neither if the item is not available.
#[derive(Clone, PartialEq, Message)]
pub struct ItemResponse {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// A slice of the chunk, which follows the previous slices.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub chunk: Option<bytes::Bytes>,
    /// The manifest's digests, 32 bytes each, in order.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub digests: Option<bytes::Bytes>,
    /// Milliseconds that the request waited before the response began.
    #[prost(uint64, tag = "4")]
    pub waited_ms: u64,
    /// The number of bytes of the chunk that follow in later slices.
    #[prost(uint32, tag = "5")]
    pub left_bytes: u32,
    /// The time of sending on the sender's clock, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub sent_ms: u64,
}

/// Acknowledges a slice of a chunk, so that another one may be sent.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SliceAck {}

/// Requests all objects of a kind.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotRequest {
    /// The kind's number.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// The response to a [`SnapshotRequest`]: all objects of a kind.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotResponse {
    /// The kind's number.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The revision of the store at which the snapshot was taken.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The store's revision of the last change, including deletions.
    #[prost(uint64, tag = "3")]
    pub changed_revision: u64,
    /// The names of objects that are missing but may come back, because their
    /// entries expired while the store was unavailable.
    #[prost(string, repeated, tag = "4")]
    pub lapsed: Vec<String>,
    /// The objects, as an [`ObjectList`] compressed with deflate.
    #[prost(bytes = "bytes", tag = "5")]
    pub packed: bytes::Bytes,
    /// The store's era that `revision` belongs to.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// The store's era that `changed_revision` belongs to.
    #[prost(uint64, tag = "7")]
    pub changed_era: u64,
    /// The first era of which the sender knows anything; `None` means `era`.
    #[prost(uint64, optional, tag = "8")]
    pub oldest_era: Option<u64>,
    /// Starts of targets that have recently left the list.
    #[prost(message, repeated, tag = "9")]
    pub departed: Vec<DepartureEntry>,
    /// The name behind which it is unknown which objects there are; `None` if
    /// all are known.
    #[prost(string, optional, tag = "10")]
    pub unread_after: Option<String>,
}

/// A start of a target that has left the list.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DepartureEntry {
    /// Identifies the start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// The era of a change of the store by which the start's entry was gone.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// The revision of that change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Milliseconds since the departure became known.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The era of the start's entry in a restored copy of the store, if there
    /// is one.
    #[prost(uint64, optional, tag = "5")]
    pub copied_era: Option<u64>,
    /// The revision of that entry; unused without `copied_era`.
    #[prost(uint64, tag = "6")]
    pub copied_revision: u64,
}

impl DepartureEntry {
    /// Returns the stamp of the start's entry in a restored copy of the store.
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
    /// The object's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The object's body, as the platform encodes it.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// The store's era that `revision` belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}
