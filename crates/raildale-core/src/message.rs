//! The messages that raildale's own processes exchange.
//!
//! They derive their codec by hand-written tags, so that the build needs no
//! generator. A field is never renumbered; a reader skips tags it does not
//! know, which is what lets two releases run side by side.

use prost::{Message, Oneof};

/// The protocol version that a frame carries.
///
/// A peer that speaks another version is refused by number in the greeting.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame on a connection between two processes.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The sender's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// What is said; a frame without a body is malformed.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, \
                19, 20, 21, 22, 23, 24, 25, 26, 28, 29, 30, 31"
    )]
    pub body: Option<Body>,
}

impl Frame {
    /// Wraps `body` with this release's protocol version.
    pub fn new(body: Body) -> Frame {
        Frame { version: PROTOCOL_VERSION, body: Some(body) }
    }
}

/// Everything that one process can say to another.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of the side that dialled.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// First frame of the side that accepted.
    #[prost(message, tag = "3")]
    Welcome(Welcome),
    /// Second frame of the side that dialled.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// A numbered refusal; the connection closes after it.
    #[prost(message, tag = "5")]
    Refusal(Refusal),
    /// Agent to entry host: load and what it serves.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Any process to another: the newest settings it has in force.
    #[prost(message, tag = "7")]
    Settings(SettingsBody),
    /// Agent to the tracker: wants this manifest, holds these chunks.
    #[prost(message, tag = "8")]
    Join(Join),
    /// Agent to the tracker: has these granted chunks now.
    #[prost(message, tag = "9")]
    Obtained(Obtained),
    /// Tracker to agent: the manifest's own bytes.
    #[prost(message, tag = "10")]
    Manifest(ManifestBody),
    /// Tracker to agent: the neighbours to exchange chunks with.
    #[prost(message, tag = "11")]
    View(View),
    /// Tracker to agent: bring these chunks into the data centre.
    #[prost(message, tag = "12")]
    Grant(Grant),
    /// Agent to agent: chunks held.
    #[prost(message, tag = "13")]
    Have(Have),
    /// Agent to agent: send me one chunk.
    #[prost(message, tag = "14")]
    ChunkRequest(ChunkRequest),
    /// Agent to agent: one whole chunk.
    #[prost(message, tag = "15")]
    ChunkData(ChunkData),
    /// Agent to agent: that chunk will not come.
    #[prost(message, tag = "16")]
    ChunkRefused(ChunkRefused),
    /// Entry host to agent: run this request.
    #[prost(message, tag = "17")]
    Dispatch(Dispatch),
    /// Agent to entry host: a piece of an answer.
    #[prost(message, tag = "18")]
    Piece(Piece),
    /// Agent to entry host: how an attempt ended.
    #[prost(message, tag = "19")]
    Ended(Ended),
    /// Entry host to agent: nobody waits for this attempt any more.
    #[prost(message, tag = "20")]
    Cancel(Cancel),
    /// Entry host to agent: what is known of this run key?
    #[prost(message, tag = "21")]
    Query(Query),
    /// Agent to entry host: the answer to a [`Query`].
    #[prost(message, tag = "22")]
    QueryReply(QueryReply),
    /// Either side: still here. Sent when nothing else was.
    #[prost(message, tag = "23")]
    Heartbeat(Heartbeat),
    /// Entry host to the owner of an organisation's limits.
    #[prost(message, tag = "24")]
    ShareRequest(ShareRequest),
    /// The owner's lease of a share of a limit.
    #[prost(message, tag = "25")]
    ShareLease(ShareLease),
    /// Operator, through an entry host, to agent: leave.
    #[prost(message, tag = "26")]
    Drain(Drain),
    /// Entry host to agent: the addresses of the live entry hosts.
    #[prost(message, tag = "28")]
    Entries(Entries),
    /// Agent to agent: the manifest itself is wanted.
    #[prost(message, tag = "29")]
    ManifestRequest(ManifestRequest),
    /// Either side: send me the settings you have in force.
    #[prost(message, tag = "30")]
    SettingsRequest(SettingsRequest),
    /// Agent to a tracker: another one tracks this spread for me now.
    #[prost(message, tag = "31")]
    LeaveSpread(LeaveSpread),
}

/// Who a process is, as it says itself in the greeting.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Identity {
    /// Its name, unique in the fleet.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A number that differs at each start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether it is an agent; an entry host otherwise.
    #[prost(bool, tag = "3")]
    pub is_agent: bool,
    /// Its data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Its region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Where its peers reach it, `ip:port`.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Where callers reach it, `ip:port`; empty for an agent.
    #[prost(string, tag = "7")]
    pub http_address: String,
    /// The pool of an agent's host; empty for an entry host.
    #[prost(string, tag = "8")]
    pub pool: String,
}

/// First frame of the side that dialled.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Who dials.
    #[prost(message, required, tag = "1")]
    pub identity: Identity,
    /// Random bytes that the other side signs.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
}

/// First frame of the side that accepted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Welcome {
    /// Who accepted.
    #[prost(message, required, tag = "1")]
    pub identity: Identity,
    /// Random bytes that the dialling side signs.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The dialling side's nonce and this name under the cluster key.
    #[prost(bytes = "vec", tag = "3")]
    pub mac: Vec<u8>,
}

/// Second frame of the side that dialled.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// The accepting side's nonce and this name under the cluster key.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// A numbered refusal.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Refusal {
    /// A result code's number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// What was wrong, without any secret.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// A model that an agent's target serves whole.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Served {
    /// `organisation/model`.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The active version's manifest digest; empty for a plain service.
    #[prost(bytes = "vec", tag = "2")]
    pub manifest: Vec<u8>,
}

/// How far an agent is with a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Progress {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// Chunks verified.
    #[prost(uint32, tag = "2")]
    pub verified: u32,
    /// Chunks in all.
    #[prost(uint32, tag = "3")]
    pub total: u32,
}

/// An agent's load and what it serves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Report {
    /// What the target serves.
    #[prost(message, repeated, tag = "1")]
    pub served: Vec<Served>,
    /// Runs in progress at the target.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Runs that the target takes at once.
    #[prost(uint32, tag = "3")]
    pub capacity: u32,
    /// Whether the agent takes no new work.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The settings' revision in force at the agent.
    #[prost(uint64, tag = "5")]
    pub settings_revision: u64,
    /// Versions on their way.
    #[prost(message, repeated, tag = "6")]
    pub progress: Vec<Progress>,
}

/// The settings' whole text at one revision.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsBody {
    /// The platform's version of the object.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// TOML.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// An agent wants a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Join {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// Where the origin keeps it, `model/version`.
    #[prost(string, tag = "2")]
    pub origin_path: String,
    /// A bit for each chunk held, low bit first; may be short.
    #[prost(bytes = "vec", tag = "3")]
    pub have: Vec<u8>,
    /// Whether the agent lacks the manifest's text.
    #[prost(bool, tag = "4")]
    pub wants_manifest: bool,
}

/// Granted chunks that an agent now holds, or gives back.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Obtained {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// Chunks held.
    #[prost(uint32, repeated, tag = "2")]
    pub held: Vec<u32>,
    /// Granted chunks that could not be had from their source.
    #[prost(uint32, repeated, tag = "3")]
    pub failed: Vec<u32>,
}

/// A manifest's own encoding.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ManifestBody {
    /// The manifest's digest, to be checked by the reader.
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
    /// All neighbours; those not named are no longer.
    #[prost(message, repeated, tag = "2")]
    pub neighbours: Vec<PeerAddress>,
}

/// One chunk to bring into a data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GrantedChunk {
    /// The chunk's index.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Whom to ask; the origin if absent.
    #[prost(message, optional, tag = "2")]
    pub source: Option<PeerAddress>,
}

/// Chunks that this agent, and no other, is to bring in.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunks.
    #[prost(message, repeated, tag = "2")]
    pub chunks: Vec<GrantedChunk>,
}

/// Chunks that an agent holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Have {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// A bit for each chunk held; sent once when a link comes up.
    #[prost(bytes = "vec", tag = "2")]
    pub bitmap: Vec<u8>,
    /// Chunks held since the last message.
    #[prost(uint32, repeated, tag = "3")]
    pub indices: Vec<u32>,
    /// Whether the peer is to say what it holds itself.
    #[prost(bool, tag = "4")]
    pub asks: bool,
}

/// Asks a peer for a chunk.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChunkRequest {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunk's index.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Chunks that the asking side holds; the least is served first.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// Whether a tracker granted it: it brings the chunk into a data centre
    /// that lacks it, and is served before all others.
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

/// A chunk that will not come.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ChunkRefused {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
    /// The chunk's index.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Whether the peer is only busy; it does not hold the chunk otherwise.
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
    /// The request's body, handed to the target as it is.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
    /// 0 urgent, 1 normal, 2 bulk.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// Time left for the answer.
    #[prost(uint64, tag = "6")]
    pub budget_ms: u64,
    /// Whether the request may run twice.
    #[prost(bool, tag = "7")]
    pub repeatable: bool,
    /// Tokens wanted at most.
    #[prost(uint32, tag = "8")]
    pub max_tokens: u32,
    /// W3C `traceparent` of the entry host's span.
    #[prost(string, tag = "9")]
    pub traceparent: String,
    /// Salt of the organisation for the target's prefix cache.
    #[prost(string, tag = "10")]
    pub cache_salt: String,
    /// Whether the caller may hold this key from before.
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
    /// Where the piece starts in the answer, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset_bytes: u64,
    /// The piece.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// How an attempt ended.
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
    /// The whole answer's length in bytes.
    #[prost(uint64, tag = "4")]
    pub length_bytes: u64,
    /// The whole answer's digest.
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
}

/// Nobody waits for an attempt any more.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// The attempt.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
    /// Whether the run itself is to stop, not only this listener.
    #[prost(bool, tag = "3")]
    pub stop_run: bool,
}

/// Asks what is known of a run key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Query {
    /// The run key's text.
    #[prost(string, tag = "1")]
    pub run_key: String,
    /// Comes back in [`QueryReply`].
    #[prost(uint64, tag = "2")]
    pub ask: u64,
    /// Whether an unseen key is to be barred from ever running, and a
    /// running one stopped.
    #[prost(bool, tag = "3")]
    pub revoke: bool,
}

/// What an agent knows of a run key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QueryReply {
    /// The number from the [`Query`].
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// A result code's number.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// The whole answer, if the run ended well and is still kept.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// Still here.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Whether the sender takes no new work.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
    /// The settings' revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub settings_revision: u64,
}

/// Asks for a share of an organisation's limits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareRequest {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Requests that came in the last second or so.
    #[prost(uint64, tag = "2")]
    pub demand_per_s: u64,
}

/// A lease of a share.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareLease {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Thousandths of each of the organisation's limits.
    #[prost(uint32, tag = "2")]
    pub share_permille: u32,
    /// How long the share may be used from receipt of the lease.
    #[prost(uint64, tag = "3")]
    pub ttl_ms: u64,
}

/// Leave: take no new work, end what runs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Drain {}

/// The live entry hosts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entries {
    /// Names and addresses for agents.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<PeerAddress>,
}

/// Asks a peer for a manifest's text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ManifestRequest {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
}

/// Asks for the settings in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsRequest {}

/// Leaves a tracker.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaveSpread {
    /// The manifest's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub manifest: Vec<u8>,
}
