//! What goes into the reducer and comes out of it.

use bytes::Bytes;

use crate::{
    Name,
    gateway::TargetNotice,
    log_event::LogEvent,
    swarm::{
        digest::WeightDigest,
        sources::{Peer, Source},
        swap::LoadMethod,
    },
};

/// Names a question that another agent has asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What can be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// The digests of a version's chunks.
    Manifest,
    /// A chunk.
    Chunk(u32),
}

/// Why a transfer came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not hold it.
    Absent,
    /// No connection, no answer, or one that broke off.
    Lost,
}

/// What the target tells its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetState {
    /// Whether it answers.
    pub is_up: bool,
    /// The version that it serves whole; 0 if none.
    pub serves_version: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// How slow it is, 1 being its published pace.
    pub pace: f64,
    /// Orders that it has begun since its start.
    pub orders: u64,
    /// When it started, in Unix milliseconds, if it tells.
    pub born_ms: Option<u64>,
    /// What its answer says of it.
    pub notice: TargetNotice,
}

/// Which start of the target is meant: each start has an id of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetStart {
    /// The one of this id.
    Named(Name),
    /// Targets of this service do not tell.
    Untold,
    /// It did not answer.
    Lost,
}

/// What an order relies on: in any other state the target refuses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderGuard {
    /// The id of the target's start; `None` if targets do not tell it.
    pub start: Option<Name>,
    /// Orders that this start has begun before.
    pub orders: u64,
}

/// What came of an order to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It began, or was done before.
    Taken,
    /// The target refused it, or it was never sent.
    Refused,
    /// Another start of the target has the address.
    Misdirected,
    /// No answer came: the target may have taken it, or may take it yet.
    Unanswered,
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// Weights of the service are spread in this many chunks.
    Layout {
        /// Chunks of a version.
        chunk_count: u32,
        /// Whether what runs may be cut and go on elsewhere.
        may_cut: bool,
        /// Connections that the origin accepts from all agents together.
        origin_connections: u32,
    },
    /// A version was named.
    Named {
        /// Its number.
        version: u64,
        /// When, on this process's clock.
        named_ms: u64,
    },
    /// The list of live agents.
    Peers(Vec<Peer>),
    /// A manifest came, or did not.
    Manifest {
        /// The version.
        version: u64,
        /// Who was asked.
        source: Source,
        /// The chunks' digests.
        result: Result<Vec<WeightDigest>, FetchError>,
    },
    /// A chunk came, or did not.
    Chunk {
        /// The version.
        version: u64,
        /// The chunk's place.
        index: u32,
        /// Who was asked.
        source: Source,
        /// Its bytes, unchecked.
        result: Result<Bytes, FetchError>,
        /// Milliseconds from the question to the last byte, without the time
        /// that whoever was asked had to wait for it.
        took_ms: u64,
    },
    /// What lay in the target's staging when the agent began.
    StagingRead {
        /// The chunks found, unchecked; `None` if it could not be read.
        chunks: Option<Vec<(u32, Bytes)>>,
    },
    /// Which start of the target is up.
    Start(TargetStart),
    /// The target told of itself.
    Target(TargetState),
    /// How long what comes in waits before the own link, in milliseconds.
    QueueDelay(u64),
    /// Staging has ended.
    Staged {
        /// The version.
        version: u64,
        /// Whether every chunk lies there.
        is_done: bool,
    },
    /// What came of an order.
    Ordered {
        /// What the order relied on.
        guard: OrderGuard,
        /// What came of it.
        outcome: OrderOutcome,
    },
    /// Another agent asks for an item.
    Asked {
        /// Names the question.
        ticket: Ticket,
        /// The version.
        version: u64,
        /// What is asked for.
        item: Item,
        /// Agents that the question has passed.
        hops: u32,
    },
    /// Time has passed.
    Tick,
}

impl Event {
    /// The transfer of an item that broke off, or did not begin.
    pub fn lost(version: u64, item: Item, source: Source) -> Event {
        match item {
            Item::Manifest => {
                let result = Err(FetchError::Lost);
                Event::Manifest { version, source, result }
            }
            Item::Chunk(index) => {
                let result = Err(FetchError::Lost);
                Event::Chunk { version, index, source, result, took_ms: 0 }
            }
        }
    }
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask for an item.
    Fetch {
        /// The version.
        version: u64,
        /// What is asked for.
        item: Item,
        /// Whom to ask.
        source: Source,
        /// Agents that the question has passed.
        hops: u32,
    },
    /// Answer a question.
    Answer {
        /// Names the question.
        ticket: Ticket,
        /// The item.
        content: Content,
    },
    /// Read what lies in the target's staging.
    ReadStaging,
    /// Ask which start of the target is up.
    AskStart,
    /// Put all chunks into the target's staging.
    Stage {
        /// The version.
        version: u64,
        /// Its chunks, in order.
        chunks: Vec<Bytes>,
    },
    /// Order the target to load what lies staged.
    Order {
        /// The version.
        version: u64,
        /// What becomes of what runs.
        method: LoadMethod,
        /// What it relies on.
        guard: OrderGuard,
    },
    /// Tell the entry hosts now, not at the next regular time.
    Report,
    /// Write a log line.
    Log(LogEvent, String),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The chunks' digests.
    Manifest(Vec<WeightDigest>),
    /// A chunk's bytes.
    Chunk(Bytes),
    /// It is not to be had here.
    Absent,
}
