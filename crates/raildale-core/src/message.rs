//! The messages that raildale's processes exchange.
//!
//! Their protobuf codec is derived from tags in the source, so the build needs
//! no code generator. A field is never renumbered, and a reader skips unknown
//! tags, which allows two releases to run side by side.

use prost::{Message, Oneof};

/// The protocol version that a frame carries.
///
/// A peer with another version is refused with a result code in the handshake.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame on a connection between two processes.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The sender's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The message; a frame without a body is malformed.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, \
                19, 20, 21, 22, 23, 24, 25, 26, 28, 29, 30, 31"
    )]
    pub body: Option<Body>,
}

impl Frame {
    /// Returns a frame with `body` and this release's protocol version.
    pub fn new(body: Body) -> Frame {
        Frame { version: PROTOCOL_VERSION, body: Some(body) }
    }
}

/// A message from one process to another.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first frame from the dialling side.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// The first frame from the accepting side.
    #[prost(message, tag = "3")]
    Welcome(Welcome),
    /// The second frame from the dialling side.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// A refusal with a result code; the connection is closed after it.
    #[prost(message, tag = "5")]
    Refusal(Refusal),
    /// Agent to entry host: the target's load and the models it serves.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Any process to another: the settings that the sender has in force.
    #[prost(message, tag = "7")]
    Settings(SettingsBody),
    /// Agent to tracker: joins the spread of a manifest.
    #[prost(message, tag = "8")]
    Join(Join),
    /// Agent to tracker: granted chunks were obtained, or could not be.
    #[prost(message, tag = "9")]
    Obtained(Obtained),
    /// Tracker or agent to agent: the encoded manifest.
    #[prost(message, tag = "10")]
    Manifest(ManifestBody),
    /// Tracker to agent: the neighbours to exchange chunks with.
    #[prost(message, tag = "11")]
    View(View),
    /// Tracker to agent: fetch these chunks into the data centre.
    #[prost(message, tag = "12")]
    Grant(Grant),
    /// Agent to agent: the chunks that the sender holds.
    #[prost(message, tag = "13")]
    Have(Have),
    /// Agent to agent: requests one chunk.
    #[prost(message, tag = "14")]
    ChunkRequest(ChunkRequest),
    /// Agent to agent: one complete chunk.
    #[prost(message, tag = "15")]
    ChunkData(ChunkData),
    /// Agent to agent: refuses a chunk request.
    #[prost(message, tag = "16")]
    ChunkRefused(ChunkRefused),
    /// Entry host to agent: a request to run.
    #[prost(message, tag = "17")]
    Dispatch(Dispatch),
    /// Agent to entry host: a piece of an answer.
    #[prost(message, tag = "18")]
    Piece(Piece),
    /// Agent to entry host: the result of an attempt.
    #[prost(message, tag = "19")]
    Ended(Ended),
    /// Entry host to agent: the caller no longer waits for an attempt.
    #[prost(message, tag = "20")]
    Cancel(Cancel),
    /// Entry host to agent: queries the state of a run key.
    #[prost(message, tag = "21")]
    Query(Query),
    /// Agent to entry host: the answer to a [`Query`].
    #[prost(message, tag = "22")]
    QueryReply(QueryReply),
    /// Any process to another: a periodic sign of life.
    #[prost(message, tag = "23")]
    Heartbeat(Heartbeat),
    /// Entry host to the owner of an organisation's limits: requests a share.
    #[prost(message, tag = "24")]
    ShareRequest(ShareRequest),
    /// Owner of an organisation's limits to entry host: a lease of a share.
    #[prost(message, tag = "25")]
    ShareLease(ShareLease),
    /// Entry host to agent, on behalf of an operator: drain and leave.
    #[prost(message, tag = "26")]
    Drain(Drain),
    /// Entry host to agent or entry host: the entry hosts that take new work.
    #[prost(message, tag = "28")]
    Entries(Entries),
    /// Agent to agent: requests an encoded manifest.
    #[prost(message, tag = "29")]
    ManifestRequest(ManifestRequest),
    /// Any process to another: requests the settings in force.
    #[prost(message, tag = "30")]
    SettingsRequest(SettingsRequest),
    /// Agent to tracker: leaves a spread.
    #[prost(message, tag = "31")]
    LeaveSpread(LeaveSpread),
}

/// The identity that a process states in the handshake.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Identity {
    /// The process's name, unique in the fleet.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A number that differs at each start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the process is an agent; it is an entry host otherwise.
    #[prost(bool, tag = "3")]
    pub is_agent: bool,
    /// The process's data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// The process's region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// The address at which peers reach the process, `ip:port`.
    #[prost(string, tag = "6")]
    pub address: String,
    /// The address at which callers reach the process, `ip:port`; empty for an
    /// agent.
    #[prost(string, tag = "7")]
    pub http_address: String,
    /// The pool of an agent's host; empty for an entry host.
    #[prost(string, tag = "8")]
    pub pool: String,
}

/// The first frame from the dialling side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The dialling process.
    #[prost(message, required, tag = "1")]
    pub identity: Identity,
    /// Random bytes that the accepting side authenticates.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
}

/// The first frame from the accepting side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Welcome {
    /// The accepting process.
    #[prost(message, required, tag = "1")]
    pub identity: Identity,
    /// Random bytes that the dialling side authenticates.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The dialling side's nonce and this name under the cluster key.
    #[prost(bytes = "vec", tag = "3")]
    pub mac: Vec<u8>,
}

/// The second frame from the dialling side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// The accepting side's nonce and this name under the cluster key.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// A refusal with a result code.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Refusal {
    /// A result code's number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// The reason, without any secrets.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// A model that an agent's target serves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Served {
    /// `organisation/model`.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The active version's manifest digest; empty for a plain service.
    #[prost(bytes = "vec", tag = "2")]
    pub manifest: Vec<u8>,
}

/// An agent's progress in downloading a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Progress {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The number of verified chunks.
    #[prost(uint32, tag = "2")]
    pub verified: u32,
    /// The total number of chunks.
    #[prost(uint32, tag = "3")]
    pub total: u32,
}

/// The load of an agent's target and the models it serves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Report {
    /// The models that the target serves.
    #[prost(message, repeated, tag = "1")]
    pub served: Vec<Served>,
    /// The number of runs in progress at the target.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// The maximum number of concurrent runs at the target.
    #[prost(uint32, tag = "3")]
    pub capacity: u32,
    /// Whether the agent takes no new work.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The settings' revision in force at the agent.
    #[prost(uint64, tag = "5")]
    pub settings_revision: u64,
    /// The progress of versions that are being downloaded.
    #[prost(message, repeated, tag = "6")]
    pub progress: Vec<Progress>,
}

/// The complete text of the settings at one revision.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsBody {
    /// The platform's revision of the settings object.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The TOML text.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// Joins the spread of a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Join {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The version's path at the origin, `model/version`.
    #[prost(string, tag = "2")]
    pub origin_path: String,
    /// A bitmap of the chunks held, low bit first; trailing zero bytes may be
    /// missing.
    #[prost(bytes = "vec", tag = "3")]
    pub have: Vec<u8>,
    /// Whether the agent lacks the manifest and wants it sent.
    #[prost(bool, tag = "4")]
    pub wants_manifest: bool,
}

/// The result of fetching granted chunks.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Obtained {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// Granted chunks that the agent now holds.
    #[prost(uint32, repeated, tag = "2")]
    pub held: Vec<u32>,
    /// Granted chunks that could not be fetched from their source.
    #[prost(uint32, repeated, tag = "3")]
    pub failed: Vec<u32>,
}

/// An encoded manifest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ManifestBody {
    /// The manifest's digest; the reader must check it.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The encoding that the digest covers.
    #[prost(bytes = "vec", tag = "2")]
    pub encoded: Vec<u8>,
}

/// A peer's name and address.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerAddress {
    /// The peer's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The neighbours of an agent in one spread.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct View {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// All current neighbours; they replace the previous ones.
    #[prost(message, repeated, tag = "2")]
    pub neighbours: Vec<PeerAddress>,
}

/// One chunk to fetch into a data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GrantedChunk {
    /// The chunk's index.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// The peer to fetch the chunk from; the origin if absent.
    #[prost(message, optional, tag = "2")]
    pub source: Option<PeerAddress>,
}

/// Chunks that only the receiving agent is to fetch into its data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunks to fetch.
    #[prost(message, repeated, tag = "2")]
    pub chunks: Vec<GrantedChunk>,
}

/// Chunks that an agent holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Have {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// A bitmap of the chunks held; sent once when a link comes up.
    #[prost(bytes = "vec", tag = "2")]
    pub bitmap: Vec<u8>,
    /// Chunks held since the last message.
    #[prost(uint32, repeated, tag = "3")]
    pub indices: Vec<u32>,
    /// Whether the receiver is to reply with the chunks that it holds.
    #[prost(bool, tag = "4")]
    pub asks: bool,
}

/// Requests a chunk from a peer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChunkRequest {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunk's index.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// The number of chunks that the requester holds; the requester with the
    /// fewest is served first.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// Whether a tracker granted the chunk. Such a request fetches a chunk
    /// into a data centre that lacks it and is served before all others.
    #[prost(bool, tag = "4")]
    pub granted: bool,
}

/// One chunk.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChunkData {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunk's index.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// The chunk's bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
}

/// Refuses a [`ChunkRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChunkRefused {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunk's index.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Whether the sender is busy; otherwise it does not hold the chunk.
    #[prost(bool, tag = "3")]
    pub busy: bool,
}

/// A request for an agent's target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Dispatch {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The attempt's number under this run key at this entry host.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
    /// `organisation/model`.
    #[prost(string, tag = "3")]
    pub model: String,
    /// The request's body, passed to the target unchanged.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
    /// The priority class: 0 urgent, 1 normal, 2 bulk.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// The time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub budget_ms: u64,
    /// Whether the request may run twice.
    #[prost(bool, tag = "7")]
    pub repeatable: bool,
    /// The maximum number of tokens in the answer.
    #[prost(uint32, tag = "8")]
    pub max_tokens: u32,
    /// W3C `traceparent` of the entry host's span.
    #[prost(string, tag = "9")]
    pub traceparent: String,
    /// The organisation's salt for the target's prefix cache.
    #[prost(string, tag = "10")]
    pub cache_salt: String,
    /// Whether the caller supplied the key, so that an earlier attempt under
    /// it may have run.
    #[prost(bool, tag = "11")]
    pub key_is_held: bool,
}

/// A piece of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Piece {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The attempt it belongs to.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
    /// The offset of the piece in the answer, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset_bytes: u64,
    /// The bytes of the piece.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// The result of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ended {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The attempt it belongs to.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
    /// A result code's number.
    #[prost(uint32, tag = "3")]
    pub code: u32,
    /// The length of the complete answer in bytes.
    #[prost(uint64, tag = "4")]
    pub length_bytes: u64,
    /// The digest of the complete answer.
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
}

/// The caller no longer waits for an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The attempt.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
    /// Whether to stop the run itself, and not only this listener's stream.
    #[prost(bool, tag = "3")]
    pub stop_run: bool,
}

/// Queries the state of a run key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Query {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The query's number, which is returned in [`QueryReply`].
    #[prost(uint64, tag = "2")]
    pub ask: u64,
    /// Whether to bar an unseen key from ever running and to stop a running
    /// one.
    #[prost(bool, tag = "3")]
    pub revoke: bool,
}

/// An agent's reply to a [`Query`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QueryReply {
    /// The number from the [`Query`].
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// A result code's number.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// The complete answer, if the run succeeded and its answer is still kept.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// A periodic sign of life.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Whether the sender takes no new work.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
    /// The settings' revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub settings_revision: u64,
}

/// Requests a share of an organisation's limits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareRequest {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The sender's recent demand: requests since its previous share request,
    /// plus those in progress.
    #[prost(uint64, tag = "2")]
    pub demand_per_s: u64,
}

/// A lease of a share of an organisation's limits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareLease {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The leased part of each of the organisation's limits, in thousandths.
    #[prost(uint32, tag = "2")]
    pub share_permille: u32,
    /// How long the share may be used, from the receipt of the lease.
    #[prost(uint64, tag = "3")]
    pub ttl_ms: u64,
}

/// Drains an agent: it takes no new work and completes what runs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Drain {}

/// The entry hosts that take new work.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entries {
    /// Their names and the addresses for agents and other entry hosts.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<PeerAddress>,
}

/// Requests an encoded manifest from a peer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ManifestRequest {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
}

/// Requests the settings in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsRequest {}

/// Leaves a spread at its tracker.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaveSpread {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
}
