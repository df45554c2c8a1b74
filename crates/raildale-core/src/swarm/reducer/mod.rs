//! The agent's reducer, which turns events into effects.
//!
//! * [`messages`]: the events, the effects and their contents.
//! * `arrivals`: received manifests and chunks, and failed transfers.
//! * `transfers`: which transfers start, from which source, and their
//!   time-outs.
//! * `requests`: requests of other agents for items.
//! * `target_swap`: staging, and the target's swap to a new version.
//! * `orders`: which orders the target may still carry out.
//! * `prior_staging`: chunks that an earlier agent left staged.

use std::{collections::BTreeMap, net::IpAddr};

use super::{
    sources::Sources,
    swap::{SwapConfig, SwapPhase},
    version::Version,
    window::Window,
};
use crate::{Name, gateway::TargetReport, log_event::LogEvent};

mod arrivals;
pub mod messages;
mod orders;
mod prior_staging;
mod requests;
mod target_swap;
mod transfers;

use self::{orders::Orders, prior_staging::PriorStaging};

pub use self::messages::{
    Content, Effect, Event, FetchError, Item, OrderGuard, OrderOutcome,
    TargetStart, TargetState, Ticket,
};

/// The start-up configuration of an agent.
#[derive(Clone, Debug)]
pub struct SwarmConfig {
    /// Its own address.
    pub ip: IpAddr,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The maximum number of concurrent transfers.
    pub max_transfers: usize,
    /// Timing of a swap.
    pub swap: SwapConfig,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Swarm {
    config: SwarmConfig,
    sources: Sources,
    chunk_count: usize,
    may_cut: bool,
    origin_connections: usize,
    window: Window,
    /// The queueing delay of the inbound link, in milliseconds.
    queue_delay_ms: u64,
    /// When each version was named, by version number.
    named: BTreeMap<u64, u64>,
    /// The state of each version, by version number.
    versions: BTreeMap<u64, Version>,
    target: TargetState,
    /// The last start time that the target reported.
    last_born_ms: Option<u64>,
    orders: Orders,
    prior_staging: PriorStaging,
    phase: SwapPhase,
    /// Whether chunks are being staged.
    is_staging: bool,
    /// No swap begins, and no order is sent, before this time.
    not_before_ms: u64,
    /// When the progress of a version was last logged.
    progress_logged_ms: u64,
}

/// The base pause before a retry, in milliseconds. For transfers it doubles
/// with each failure.
const RETRY_PAUSE_MS: u64 = 30;

/// A version is stalled after this many milliseconds without a new chunk. A
/// chunk arrives every 42 ms on ordinary links, and every 330 ms on a link
/// limited to 1.2 Mbit/s.
const STALL_TIMEOUT_MS: u64 = 1_000;

/// The maximum pause before a retry, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 800;

impl Swarm {
    /// Creates an agent without any information about the service, its peers
    /// or its target.
    pub fn new(config: SwarmConfig) -> Swarm {
        let sources = Sources::new(config.ip, config.data_centre.clone());
        let max_transfers = config.max_transfers;
        Swarm {
            config,
            sources,
            chunk_count: 0,
            may_cut: false,
            origin_connections: 0,
            window: Window::new(max_transfers),
            queue_delay_ms: 0,
            named: BTreeMap::new(),
            versions: BTreeMap::new(),
            target: TargetState::default(),
            last_born_ms: None,
            orders: Orders::default(),
            prior_staging: PriorStaging::default(),
            phase: SwapPhase::Idle,
            is_staging: false,
            not_before_ms: 0,
            progress_logged_ms: 0,
        }
    }

    /// Returns the report for the entry hosts.
    pub fn report(&self) -> TargetReport {
        let whole = self.versions.values().rev().find(|v| v.is_whole());
        TargetReport {
            is_up: self.target.is_up,
            is_accepting: self.phase == SwapPhase::Idle,
            serves_version: self.target.serves_version,
            whole_version: whole.map_or(0, |version| version.number),
            running: self.target.running,
            queued: self.target.queued,
            pace: self.target.pace,
            missing_chunks: self.missing_chunks(),
            round_trip_ms: 0,
            every_ms: 0,
        }
    }

    /// Returns the number of chunks that the target needs before it can load
    /// the wanted version; 0 if it serves that version already.
    fn missing_chunks(&self) -> u32 {
        let wanted = self.wanted();
        if self.target.serves_version >= wanted {
            return 0;
        }
        let held = self.versions.get(&wanted).map_or(0, Version::held_count);
        self.chunk_count.saturating_sub(held) as u32
    }

    /// Returns whether the target serves the newest version and no swap is
    /// active.
    pub fn is_settled(&self) -> bool {
        self.target.serves_version >= self.wanted()
            && self.phase == SwapPhase::Idle
    }

    /// Handles an event and appends the resulting effects to `effects`.
    pub fn reduce(
        &mut self,
        now_ms: u64,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Layout { chunk_count, may_cut, origin_connections } => {
                self.chunk_count = chunk_count as usize;
                self.may_cut = may_cut;
                self.origin_connections = origin_connections as usize;
            }
            Event::Named { version, named_ms } => {
                self.on_named(version, named_ms, effects);
            }
            Event::Peers(peers) => self.sources.set_peers(peers),
            Event::Manifest { version, source, result } => {
                self.on_manifest(now_ms, version, source, result, effects);
            }
            Event::Chunk { version, index, source, result, took_ms } => {
                self.record_transfer_time(source, &result, took_ms);
                self.on_chunk(now_ms, version, index, source, result, effects);
            }
            Event::StagingRead { chunks } => {
                self.on_staging_read(now_ms, chunks, effects);
            }
            Event::TargetStart(start) => {
                self.on_target_start(now_ms, start, effects)
            }
            Event::QueueDelay(ms) => self.queue_delay_ms = ms,
            Event::Target(state) => {
                self.on_target_state(now_ms, state, effects)
            }
            Event::Staged { version, is_done } => {
                self.on_staged(now_ms, version, is_done);
            }
            Event::Ordered { guard, outcome } => {
                self.on_order_outcome(now_ms, &guard, outcome, effects);
            }
            Event::ItemRequested { ticket, version, item, hops } => {
                self.on_item_requested(
                    now_ms, ticket, version, item, hops, effects,
                );
            }
            Event::Tick => {
                self.expire_waiters(now_ms, effects);
                self.expire_transfers(now_ms);
                self.drop_old_versions();
                self.log_progress(now_ms, effects);
            }
        }
        self.advance(now_ms, effects);
    }

    /// Returns the version that the target should serve.
    fn wanted(&self) -> u64 {
        const FIRST_VERSION: u64 = 1;
        self.named.keys().next_back().copied().unwrap_or(FIRST_VERSION)
    }

    fn on_named(
        &mut self,
        version: u64,
        named_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(known_ms) = self.named.get_mut(&version) {
            *known_ms = named_ms.min(*known_ms);
            return;
        }
        self.named.insert(version, named_ms);
        let detail = format!("version={version} named_at_ms={named_ms}");
        effects.push(Effect::Log(LogEvent::SpreadJoined, detail));
    }

    /// Returns whether a version is incomplete and has made no progress for
    /// [`STALL_TIMEOUT_MS`].
    fn is_stalled(&self, now_ms: u64, version: u64) -> bool {
        let held = self.versions.get(&version);
        held.is_some_and(|held| {
            let named_ms = self.named.get(&version).copied().unwrap_or(0);
            let since_ms = held.progress_ms.max(named_ms);
            !held.is_whole() && now_ms >= since_ms + STALL_TIMEOUT_MS
        })
    }

    fn version_entry(&mut self, version: u64) -> &mut Version {
        let count = self.chunk_count;
        self.versions
            .entry(version)
            .or_insert_with(|| Version::new(version, count))
    }

    /// Drops versions older than the served one. No other agent needs them
    /// once a newer version is served here, as all targets move to the same
    /// newer versions.
    fn drop_old_versions(&mut self) {
        let served = self.target.serves_version;
        self.versions.retain(|number, _| *number >= served);
    }

    fn advance(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        // An agent without known peers would fetch everything from the origin.
        if self.chunk_count == 0 || !self.sources.has_peers() {
            return;
        }
        self.query_start(now_ms, effects);
        self.read_prior_staging(now_ms, effects);
        self.fetch(now_ms, effects);
        self.swap(now_ms, effects);
    }
}
