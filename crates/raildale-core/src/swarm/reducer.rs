//! The agent's reducer: events in, effects out.

use std::{collections::BTreeMap, net::IpAddr};

use bytes::Bytes;

use super::{
    digest::WeightDigest,
    sources::{Peer, Source, Sources, TRIES_PER_SOURCE},
    swap::{LoadMethod, SwapConfig, SwapPhase},
    version::{Fetch, Version, Waiter},
    window::Window,
};
use crate::{Name, gateway::TargetReport, log_event::LogEvent};

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct SwarmConfig {
    /// Its own address.
    pub ip: IpAddr,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// Transfers at once.
    pub parallel: usize,
    /// Times of a change-over.
    pub swap: SwapConfig,
}

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
    /// What lay in the target's staging at the start.
    StagingRead {
        /// The version that it is thought to be.
        version: u64,
        /// The chunks found, unchecked.
        chunks: Vec<(u32, Bytes)>,
    },
    /// The target told of itself.
    Target(TargetState),
    /// Staging has ended.
    Staged {
        /// The version.
        version: u64,
        /// Whether every chunk lies there.
        is_done: bool,
    },
    /// The target took the order, or did not.
    Ordered {
        /// The version.
        version: u64,
        /// Whether it began or was done before.
        is_taken: bool,
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
    ReadStaging {
        /// The version that it is thought to be.
        version: u64,
    },
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

/// The agent's state.
#[derive(Debug)]
pub struct Swarm {
    config: SwarmConfig,
    sources: Sources,
    chunk_count: usize,
    may_cut: bool,
    origin_connections: usize,
    window: Window,
    named: BTreeMap<u64, u64>,
    versions: BTreeMap<u64, Version>,
    target: TargetState,
    phase: SwapPhase,
    not_before_ms: u64,
    told_ms: u64,
}

/// Time between two lines on the progress of a version, in milliseconds.
const PROGRESS_EVERY_MS: u64 = 1_000;

/// A chunk from an agent that holds it, and has not come by then, is asked
/// for elsewhere, in milliseconds: six chunks at once take 250 ms at 9.4
/// Mbit/s, and the sender may serve several.
const FETCH_TIMEOUT_MS: u64 = 1_200;

/// The same for one that its source may have to fetch first: the origin
/// gives a whole version of 48 chunks in 1.3 s to all together.
const WAITING_TIMEOUT_MS: u64 = 1_400;

/// How long a question waits for an item that is being fetched: less than
/// the asker's patience.
const WAITER_TIMEOUT_MS: u64 = 1_200;

/// Pause before an item is asked for again after a failure.
const RETRY_PAUSE_MS: u64 = 30;

/// Longest pause before an item is asked for again.
const RETRY_PAUSE_MOST_MS: u64 = 800;

/// Chunks staged longer ago than this are staged anew before the order: what
/// lies in the target may turn bad.
const STAGED_FRESH_MS: u64 = 2_000;

/// An order that shows no effect by then is given again.
const LOAD_TIMEOUT_MS: u64 = 4_000;

/// Transfers from the origin at once, however many connections it accepts.
const ORIGIN_PARALLEL_MOST: usize = 4;

/// Transfers at once from sources that may have to wait themselves: these
/// take no room on the link until they are answered.
const WAITING_MOST: usize = 10;

/// Mismatches straight from the origin after which the manifest is doubted.
const DOUBT_MANIFEST: u32 = 3;

impl Swarm {
    /// An agent that knows nothing yet.
    pub fn new(config: SwarmConfig) -> Swarm {
        let sources = Sources::new(config.ip, config.data_centre.clone());
        let parallel = config.parallel;
        Swarm {
            config,
            sources,
            chunk_count: 0,
            may_cut: false,
            origin_connections: 0,
            window: Window::new(parallel),
            named: BTreeMap::new(),
            versions: BTreeMap::new(),
            target: TargetState::default(),
            phase: SwapPhase::Idle,
            not_before_ms: 0,
            told_ms: 0,
        }
    }

    /// What the entry hosts are told.
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
        }
    }

    /// Chunks that are missing before the target can load what is wanted.
    fn missing_chunks(&self) -> u32 {
        let wanted = self.wanted();
        if self.target.serves_version >= wanted {
            return 0;
        }
        let held = self.versions.get(&wanted).map_or(0, Version::held);
        self.chunk_count.saturating_sub(held) as u32
    }

    /// Whether nothing is under way.
    pub fn is_calm(&self) -> bool {
        self.target.serves_version >= self.wanted()
            && self.phase == SwapPhase::Idle
    }

    /// Takes an event in; what is to be done is pushed to `effects`.
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
                self.named(version, named_ms, effects);
            }
            Event::Peers(peers) => self.sources.set_peers(peers),
            Event::Manifest { version, source, result } => {
                self.manifest_came(now_ms, version, source, result, effects);
            }
            Event::Chunk { version, index, source, result, took_ms } => {
                // The origin's own link is shared by all agents: how long
                // it takes says nothing of the link here.
                if source != Source::Origin && result.is_ok() {
                    self.window.note(took_ms);
                }
                self.chunk_came(
                    now_ms, version, index, source, result, effects,
                );
            }
            Event::StagingRead { version, chunks } => {
                self.staging_read(now_ms, version, chunks, effects);
            }
            Event::Target(state) => self.target_told(now_ms, state, effects),
            Event::Staged { version, is_done } => {
                self.staged(now_ms, version, is_done);
            }
            Event::Ordered { version, is_taken } => {
                self.ordered(now_ms, version, is_taken, effects);
            }
            Event::Asked { ticket, version, item, hops } => {
                self.asked(now_ms, ticket, version, item, hops, effects);
            }
            Event::Tick => {
                self.expire(now_ms, effects);
                self.tell_progress(now_ms, effects);
            }
        }
        self.go_on(now_ms, effects);
    }

    /// The version that the target should serve.
    fn wanted(&self) -> u64 {
        const FIRST_VERSION: u64 = 1;
        self.named.keys().next_back().copied().unwrap_or(FIRST_VERSION)
    }

    fn named(
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

    fn manifest_came(
        &mut self,
        now_ms: u64,
        version: u64,
        source: Source,
        result: Result<Vec<WeightDigest>, FetchError>,
        effects: &mut Vec<Effect>,
    ) {
        let count = self.chunk_count;
        let Some(held) = self.versions.get_mut(&version) else { return };
        let slot = &mut held.manifest;
        slot.fetch = None;
        let sound = result.ok().filter(|digests| digests.len() == count);
        let Some(digests) = sound else {
            slot.failures += 1;
            slot.not_before_ms = now_ms + pause_ms(slot.failures);
            if source == Source::Origin {
                let detail = format!("version={version} item=manifest");
                effects.push(Effect::Log(LogEvent::OriginFailed, detail));
            }
            return;
        };
        slot.failures = 0;
        for waiter in slot.waiters.drain(..) {
            let content = Content::Manifest(digests.clone());
            effects.push(Effect::Answer { ticket: waiter.ticket, content });
        }
        held.digests = Some(digests);
        if self.target.serves_version == version && !held.is_staging_read {
            held.is_staging_read = true;
            effects.push(Effect::ReadStaging { version });
        }
    }

    fn chunk_came(
        &mut self,
        now_ms: u64,
        version: u64,
        index: u32,
        source: Source,
        result: Result<Bytes, FetchError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let Some(slot) = held.slots.get_mut(index as usize) else { return };
        slot.fetch = None;
        let came = result.is_ok();
        let is_lost = result == Err(FetchError::Lost);
        let was_whole = held.is_whole();
        let is_kept = result.is_ok_and(|data| held.keep(index as usize, data));
        let slot = &mut held.slots[index as usize];
        if is_kept {
            slot.failures = 0;
            held.origin_mismatches = 0;
            self.hand_out(version, index, effects);
            if !was_whole {
                self.note_whole(now_ms, version, effects);
            }
            return;
        }
        slot.failures += if is_lost { TRIES_PER_SOURCE } else { 1 };
        slot.not_before_ms = now_ms + pause_ms(slot.failures);
        if came {
            let detail =
                format!("version={version} chunk={index} from={source:?}");
            effects.push(Effect::Log(LogEvent::ChunkCorrupt, detail));
        }
        if came && source == Source::Origin {
            held.origin_mismatches += 1;
        }
        if held.origin_mismatches >= DOUBT_MANIFEST && held.held() == 0 {
            held.digests = None;
            held.origin_mismatches = 0;
            held.manifest.failures = 2;
            let detail = format!("version={version}");
            effects.push(Effect::Log(LogEvent::ManifestMismatch, detail));
        }
    }

    fn hand_out(
        &mut self,
        version: u64,
        index: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let waiters = std::mem::take(&mut held.slots[index as usize].waiters);
        if let Some(data) = held.chunk(index as usize) {
            for waiter in waiters {
                let content = Content::Chunk(data.clone());
                effects
                    .push(Effect::Answer { ticket: waiter.ticket, content });
            }
        }
    }

    fn note_whole(
        &mut self,
        now_ms: u64,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        if held.is_whole() {
            held.whole_ms.get_or_insert(now_ms);
            let detail = format!("version={version}");
            effects.push(Effect::Log(LogEvent::SpreadWhole, detail));
            effects.push(Effect::Report);
        }
    }

    fn staging_read(
        &mut self,
        now_ms: u64,
        version: u64,
        chunks: Vec<(u32, Bytes)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let was_whole = held.is_whole();
        let mut kept = Vec::new();
        for (index, data) in chunks {
            let is_place = (index as usize) < held.slots.len();
            if is_place && held.keep(index as usize, data) {
                kept.push(index);
            }
        }
        for index in kept {
            self.hand_out(version, index, effects);
        }
        if !was_whole {
            self.note_whole(now_ms, version, effects);
        }
    }

    fn target_told(
        &mut self,
        now_ms: u64,
        state: TargetState,
        effects: &mut Vec<Effect>,
    ) {
        let is_news = state.is_up != self.target.is_up
            || state.serves_version != self.target.serves_version;
        self.target = state;
        if let SwapPhase::Loading { version, since_ms } = self.phase {
            if state.serves_version >= version {
                self.phase = SwapPhase::Idle;
                let took_ms = now_ms.saturating_sub(since_ms);
                let detail = format!("version={version} took_ms={took_ms}");
                effects.push(Effect::Log(LogEvent::Activated, detail));
            } else if now_ms > since_ms + LOAD_TIMEOUT_MS {
                self.phase = SwapPhase::Idle;
                let detail = format!("version={version} reason=no effect");
                effects.push(Effect::Log(LogEvent::ActivationFailed, detail));
            }
        }
        if is_news {
            effects.push(Effect::Report);
        }
    }

    fn staged(&mut self, now_ms: u64, version: u64, is_done: bool) {
        let SwapPhase::Draining { version: coming, since_ms, .. } = self.phase
        else {
            return;
        };
        if coming != version {
            return;
        }
        if is_done {
            let staged_ms = Some(now_ms);
            self.phase = SwapPhase::Draining { version, since_ms, staged_ms };
        } else {
            self.phase = SwapPhase::Idle;
            self.not_before_ms = now_ms + RETRY_PAUSE_MS;
        }
    }

    fn ordered(
        &mut self,
        now_ms: u64,
        version: u64,
        is_taken: bool,
        effects: &mut Vec<Effect>,
    ) {
        if is_taken {
            return;
        }
        if let SwapPhase::Loading { .. } = self.phase {
            self.phase = SwapPhase::Idle;
            self.not_before_ms = now_ms + RETRY_PAUSE_MOST_MS;
            let detail = format!("version={version} reason=order not taken");
            effects.push(Effect::Log(LogEvent::ActivationFailed, detail));
        }
    }

    fn asked(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        version: u64,
        item: Item,
        hops: u32,
        effects: &mut Vec<Effect>,
    ) {
        if self.chunk_count == 0 {
            // Not told yet how many chunks there are: others know more.
            let content = Content::Absent;
            effects.push(Effect::Answer { ticket, content });
            return;
        }
        let held = self.open(version);
        let content = match item {
            Item::Manifest => held.digests.clone().map(Content::Manifest),
            Item::Chunk(index) => {
                held.chunk(index as usize).cloned().map(Content::Chunk)
            }
        };
        if let Some(content) = content {
            effects.push(Effect::Answer { ticket, content });
            return;
        }
        let waiter =
            Waiter { ticket, until_ms: now_ms + WAITER_TIMEOUT_MS, hops };
        match held.slot_mut(item) {
            Some(slot) => slot.waiters.push(waiter),
            None => {
                let content = Content::Absent;
                effects.push(Effect::Answer { ticket, content });
            }
        }
    }

    fn open(&mut self, version: u64) -> &mut Version {
        let count = self.chunk_count;
        self.versions
            .entry(version)
            .or_insert_with(|| Version::new(version, count))
    }

    fn expire(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        for held in self.versions.values_mut() {
            let manifest = std::iter::once(&mut held.manifest);
            for slot in manifest.chain(held.slots.iter_mut()) {
                slot.waiters.retain(|waiter| {
                    let stays = waiter.until_ms > now_ms;
                    if !stays {
                        let ticket = waiter.ticket;
                        let content = Content::Absent;
                        effects.push(Effect::Answer { ticket, content });
                    }
                    stays
                });
                if slot.fetch.is_some_and(|fetch| fetch.until_ms <= now_ms) {
                    slot.fetch = None;
                    slot.failures += 1;
                }
            }
        }
        self.forget_old();
    }

    /// One line a second while the target lacks what it should serve.
    fn tell_progress(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let wanted = self.wanted();
        let is_due = now_ms >= self.told_ms + PROGRESS_EVERY_MS;
        let Some(held) = self.versions.get(&wanted) else { return };
        if !is_due || held.is_whole() || self.target.serves_version >= wanted {
            return;
        }
        self.told_ms = now_ms;
        let failures: u32 = held.slots.iter().map(|slot| slot.failures).sum();
        let waiters: usize =
            held.slots.iter().map(|slot| slot.waiters.len()).sum();
        let detail = format!(
            "version={wanted} manifest={} held={} of={} fetching={} \
             from_origin={} failures={failures} waiters={waiters} window={}",
            held.digests.is_some(),
            held.held(),
            held.slots.len(),
            held.fetches(true) + held.fetches(false),
            held.fetches_from_origin(),
            self.window.size(),
        );
        effects.push(Effect::Log(LogEvent::SpreadProgress, detail));
    }

    /// Drops versions older than the one served; nobody else needs them once
    /// a newer one is served here, since all targets go the same way.
    fn forget_old(&mut self) {
        let served = self.target.serves_version;
        self.versions.retain(|number, _| *number >= served);
    }

    fn go_on(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.chunk_count == 0 {
            return;
        }
        self.read_own_staging(effects);
        self.fetch(now_ms, effects);
        self.swap(now_ms, effects);
    }

    /// A target that serves a version may hold it staged: its agent can be a
    /// source from the start.
    fn read_own_staging(&mut self, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        if served == 0 || !self.target.is_up {
            return;
        }
        let held = self.open(served);
        if held.digests.is_some() && !held.is_staging_read {
            held.is_staging_read = true;
            effects.push(Effect::ReadStaging { version: served });
        }
    }

    /// Starts transfers: what others wait for first, then what the target
    /// lacks, an older version before a newer one that overtook it.
    fn fetch(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        let wanted = self.wanted();
        let needed: Vec<u64> = self.needed_versions(served, wanted);
        for version in &needed {
            self.open(*version);
        }
        let (rank, count) = self.sources.rank();
        let mut room = self.room(count);
        for (number, held) in &mut self.versions {
            let is_needed = needed.contains(number);
            let ask_manifest = is_needed
                || !held.manifest.waiters.is_empty()
                || *number == served;
            if held.digests.is_none() {
                if ask_manifest {
                    start(
                        held,
                        Item::Manifest,
                        now_ms,
                        &self.sources,
                        &mut room,
                        effects,
                    );
                }
                continue;
            }
            let chunk_count = held.slots.len();
            let offset = rank * chunk_count / count;
            for is_awaited in [true, false] {
                for step in 0..chunk_count {
                    let index = (offset + step) % chunk_count;
                    let awaited = !held.slots[index].waiters.is_empty();
                    let is_due =
                        awaited == is_awaited && (awaited || is_needed);
                    let is_open = held.chunk(index).is_none()
                        && held.slots[index].fetch.is_none();
                    if room.is_full() || !is_due || !is_open {
                        continue;
                    }
                    let item = Item::Chunk(index as u32);
                    start(
                        held,
                        item,
                        now_ms,
                        &self.sources,
                        &mut room,
                        effects,
                    );
                }
            }
        }
    }

    /// Transfers that may still start, among `agents`.
    fn room(&self, agents: usize) -> Room {
        let busy = |may_wait: bool| -> usize {
            self.versions.values().map(|held| held.fetches(may_wait)).sum()
        };
        let from_origin: usize =
            self.versions.values().map(Version::fetches_from_origin).sum();
        let most = self.origin_connections * 3 / 4 / agents.max(1);
        let most = most.clamp(1, ORIGIN_PARALLEL_MOST);
        Room {
            at_once: self.window.size().saturating_sub(busy(false)),
            waiting: self
                .window
                .share(WAITING_MOST)
                .saturating_sub(busy(true)),
            from_origin: most.saturating_sub(from_origin),
        }
    }

    /// Versions to fetch, oldest first.
    fn needed_versions(&self, served: u64, wanted: u64) -> Vec<u64> {
        if served >= wanted {
            return Vec::new();
        }
        let older = self
            .named
            .range(served + 1..wanted)
            .filter(|(number, named_ms)| {
                !self.is_overtaken(**number, **named_ms)
            })
            .map(|(number, _)| *number);
        older.chain(std::iter::once(wanted)).collect()
    }

    /// Whether a newer version was named so soon that it can be everywhere
    /// within the older one's bound: the older one is then left out. All
    /// agents decide that alike, from the times of naming alone. Else both
    /// are fetched, the older one first.
    fn is_overtaken(&self, number: u64, named_ms: u64) -> bool {
        let swap = &self.config.swap;
        let bound_ms = named_ms + swap.bound_ms;
        self.named
            .range(number + 1..)
            .any(|(_, newer_ms)| newer_ms + swap.renew_ms <= bound_ms)
    }

    fn swap(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        match self.phase {
            SwapPhase::Idle => self.begin_swap(now_ms, effects),
            SwapPhase::Draining { version, since_ms, staged_ms } => {
                self.order_if_drained(
                    now_ms, version, since_ms, staged_ms, effects,
                );
            }
            SwapPhase::Loading { .. } => {}
        }
    }

    fn begin_swap(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let served = self.target.serves_version;
        let newest = self.versions.values().rev().find(|v| v.is_whole());
        let Some(coming) = newest.map(|version| version.number) else {
            return;
        };
        let is_stale = coming <= served || !self.target.is_up;
        if is_stale || now_ms < self.not_before_ms {
            return;
        }
        if served > 0 && now_ms < self.turn_ms(served, coming) {
            return;
        }
        self.phase = SwapPhase::Draining {
            version: coming,
            since_ms: now_ms,
            staged_ms: None,
        };
        effects.push(Effect::Report);
        self.stage(coming, effects);
    }

    /// When this target's turn for the oldest outstanding version comes.
    fn turn_ms(&self, served: u64, coming: u64) -> u64 {
        let (rank, count) = self.sources.rank();
        let held = self.versions.get(&coming);
        let whole_ms = held.and_then(|held| held.whole_ms).unwrap_or(0);
        self.named
            .range(served + 1..=coming)
            .map(|(_, named_ms)| {
                self.config.swap.turn_ms(*named_ms, whole_ms, rank, count)
            })
            .min()
            .unwrap_or(0)
    }

    fn stage(&self, version: u64, effects: &mut Vec<Effect>) {
        let chunks = self.versions.get(&version).and_then(Version::chunks);
        if let Some(chunks) = chunks {
            effects.push(Effect::Stage { version, chunks });
        }
    }

    fn order_if_drained(
        &mut self,
        now_ms: u64,
        version: u64,
        since_ms: u64,
        staged_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(staged_ms) = staged_ms else { return };
        let is_idle = self.target.running + self.target.queued == 0;
        let is_over = now_ms >= since_ms + self.config.swap.drain_ms;
        if !is_idle && !is_over && self.target.serves_version > 0 {
            return;
        }
        if now_ms > staged_ms + STAGED_FRESH_MS {
            let staged_ms = None;
            self.phase = SwapPhase::Draining { version, since_ms, staged_ms };
            self.stage(version, effects);
            return;
        }
        let method = match self.may_cut && !is_idle {
            true => LoadMethod::CutRunning,
            false => LoadMethod::AfterRunning,
        };
        self.phase = SwapPhase::Loading { version, since_ms: now_ms };
        effects.push(Effect::Order { version, method });
    }
}

/// Transfers that may still start.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// From agents that hold the whole version.
    at_once: usize,
    /// From sources that may have to wait for it first.
    waiting: usize,
    /// From the origin.
    from_origin: usize,
}

impl Room {
    fn is_full(self) -> bool {
        self.at_once == 0 && self.waiting == 0
    }
}

/// Asks for an item unless that is under way, has to wait or has no room.
fn start(
    held: &mut Version,
    item: Item,
    now_ms: u64,
    sources: &Sources,
    room: &mut Room,
    effects: &mut Vec<Effect>,
) {
    let version = held.number;
    let Some(slot) = held.slot_mut(item) else { return };
    if slot.fetch.is_some() || now_ms < slot.not_before_ms {
        return;
    }
    let hops = slot.waiters.iter().map(|w| w.hops + 1).max().unwrap_or(0);
    let mut source = sources.pick(version, item, slot.failures, hops);
    if source == Source::Origin && room.from_origin == 0 {
        // A try that only goes astray to the origin need not wait for it.
        let failures = slot.failures + TRIES_PER_SOURCE;
        source = sources.pick(version, item, failures, hops);
    }
    if source == Source::Origin {
        if room.from_origin == 0 {
            return;
        }
        room.from_origin -= 1;
    }
    let may_wait = !sources.holds(source, version);
    if let Item::Chunk(_) = item {
        // A manifest is small, and without it nothing else can begin: it
        // never waits behind the chunks of another version.
        let place =
            if may_wait { &mut room.waiting } else { &mut room.at_once };
        if *place == 0 {
            return;
        }
        *place -= 1;
    }
    let patience_ms =
        if may_wait { WAITING_TIMEOUT_MS } else { FETCH_TIMEOUT_MS };
    let until_ms = now_ms + patience_ms;
    slot.fetch = Some(Fetch { source, until_ms, may_wait });
    effects.push(Effect::Fetch { version, item, source, hops });
}

fn pause_ms(failures: u32) -> u64 {
    (RETRY_PAUSE_MS << failures.min(4)).min(RETRY_PAUSE_MOST_MS)
}
