//! Events and effects of the reducer.

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

/// Identifies a pending request of another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An item that can be requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// The digests of a version's chunks.
    Manifest,
    /// The chunk with this index.
    Chunk(u32),
}

/// Why a transfer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not hold the item.
    Absent,
    /// The connection failed or broke, or there was no answer.
    Lost,
}

/// The state that the target reports to its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetState {
    /// Whether it responds.
    pub is_up: bool,
    /// The version that it serves completely; 0 if none.
    pub serves_version: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests in its queue.
    pub queued: u32,
    /// Its slowdown relative to its published pace; 1 is the published pace.
    pub pace: f64,
    /// The number of orders that it has begun since its start.
    pub orders: u64,
    /// When it started, in Unix milliseconds; `None` if it does not report
    /// this.
    pub born_ms: Option<u64>,
    /// The notice in its answer.
    pub notice: TargetNotice,
}

/// Identifies a start of the target. Each start has its own id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetStart {
    /// The start with this id.
    Named(Name),
    /// Targets of this service do not report a start id.
    Untold,
    /// The target did not answer.
    Lost,
}

/// The condition under which the target accepts an order. It refuses the order
/// in any other state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderGuard {
    /// The id of the target's start; `None` if targets do not report one.
    pub start: Option<Name>,
    /// The number of orders that this start has begun before.
    pub orders: u64,
}

/// The outcome of an order to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target began the order, or had carried it out before.
    Taken,
    /// The target refused it, or it was never sent.
    Refused,
    /// Another start of the target uses the address.
    Misdirected,
    /// No answer was received: the target may have carried out the order, or
    /// may do so later.
    Unanswered,
}

/// An input to the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The layout of the service's weights.
    Layout {
        /// The number of chunks of a version.
        chunk_count: u32,
        /// Whether running requests may be cut and resumed at another target.
        may_cut: bool,
        /// The maximum number of connections that the origin accepts from all
        /// agents together.
        origin_connections: u32,
    },
    /// A version was named as the one to serve.
    Named {
        /// The version number.
        version: u64,
        /// When it was named, on this process's clock.
        named_ms: u64,
    },
    /// The list of live agents.
    Peers(Vec<Peer>),
    /// A manifest transfer ended.
    Manifest {
        /// The version.
        version: u64,
        /// The source of the transfer.
        source: Source,
        /// The digests of the chunks, in order.
        result: Result<Vec<WeightDigest>, FetchError>,
    },
    /// A chunk transfer ended.
    Chunk {
        /// The version.
        version: u64,
        /// The index of the chunk.
        index: u32,
        /// The source of the transfer.
        source: Source,
        /// The unverified bytes of the chunk.
        result: Result<Bytes, FetchError>,
        /// The time from the request to the last byte in milliseconds, without
        /// the time that the source needed to obtain the chunk.
        took_ms: u64,
    },
    /// The staging area of the target was read after the agent started.
    StagingRead {
        /// The unverified chunks with their indices; `None` if the staging
        /// area could not be read.
        chunks: Option<Vec<(u32, Bytes)>>,
    },
    /// The target's current start.
    TargetStart(TargetStart),
    /// The target reported its state.
    Target(TargetState),
    /// The queueing delay of the inbound link, in milliseconds.
    QueueDelay(u64),
    /// Staging ended.
    Staged {
        /// The version.
        version: u64,
        /// Whether every chunk is staged.
        is_done: bool,
    },
    /// The outcome of an order.
    Ordered {
        /// The guard of the order.
        guard: OrderGuard,
        /// The outcome.
        outcome: OrderOutcome,
    },
    /// Another agent requests an item.
    ItemRequested {
        /// Identifies the request.
        ticket: Ticket,
        /// The version.
        version: u64,
        /// The requested item.
        item: Item,
        /// The number of agents that the request has passed.
        hops: u32,
    },
    /// A timer tick.
    Tick,
}

impl Event {
    /// Returns the event for the transfer of an item that broke or could not
    /// be started.
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

/// An action for the caller of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Fetch an item.
    Fetch {
        /// The version.
        version: u64,
        /// The requested item.
        item: Item,
        /// The source of the transfer.
        source: Source,
        /// The number of agents that the request has passed.
        hops: u32,
    },
    /// Answer a request of another agent.
    Answer {
        /// Identifies the request.
        ticket: Ticket,
        /// The content of the answer.
        content: Content,
    },
    /// Read the target's staging area.
    ReadStaging,
    /// Query which start of the target is running.
    QueryStart,
    /// Put all chunks into the target's staging area.
    Stage {
        /// The version.
        version: u64,
        /// The chunks, in order.
        chunks: Vec<Bytes>,
    },
    /// Order the target to load the staged chunks.
    Order {
        /// The version.
        version: u64,
        /// How running requests are treated.
        method: LoadMethod,
        /// The condition under which the target accepts the order.
        guard: OrderGuard,
    },
    /// Report to the entry hosts immediately instead of at the next regular
    /// time.
    Report,
    /// Write a log line.
    Log(LogEvent, String),
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The digests of the chunks, in order.
    Manifest(Vec<WeightDigest>),
    /// The bytes of a chunk.
    Chunk(Bytes),
    /// The item is not available here.
    Absent,
}
