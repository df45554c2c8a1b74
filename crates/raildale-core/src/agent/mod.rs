//! The agent's reducer: one process on each target host.
//!
//! It fetches, checks and serves chunks, gives the target its fenced orders,
//! and gates every request in front of the target. It is the only way to its
//! target, which is what makes its checks stand in for those of a target that
//! checks nothing itself.

mod peers;
mod runs;
mod spread;
mod target;

use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    Code, Digest, LogEvent, Manifest, Name,
    message::{
        Body, Entries, Heartbeat, Identity, PeerAddress, Report, SettingsAsk,
    },
    rendezvous,
    request::ledger::{Ledger, LedgerConfig},
    settings::{RevisionGate, Tree, revision::Offer},
    spread::{
        download::{Download, Source},
        upload::UploadQueue,
    },
};

use self::target::ModelState;

/// How often an agent reports its load.
const REPORT_EVERY_MS: u64 = 500;

/// How often an agent compares its target with what it ordered.
const CHECK_EVERY_MS: u64 = 1_000;

/// How long a starting agent listens for settings newer than the first it
/// hears, before it gives orders.
const LISTEN_MS: u64 = 700;

/// Entry hosts that an agent keeps connections to.
const ENTRY_FANOUT: usize = 8;

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Its name.
    pub name: Name,
    /// A number that differs at each start.
    pub incarnation: u64,
    /// The pool of its host.
    pub pool: Name,
    /// What its host's link carries.
    pub link_bytes_per_s: u64,
    /// Bytes of a chunk, for deadlines.
    pub chunk_bytes: u64,
    /// Chunks asked for at once, grants not counted.
    pub window: usize,
    /// Chunks that leave at once.
    pub upload_slots: usize,
    /// Chunks that wait for a slot.
    pub upload_places: usize,
    /// Runs that the target takes at once.
    pub capacity: u32,
    /// Bounds of the ledger of run keys.
    pub ledger: LedgerConfig,
    /// How chunks are found.
    pub scheme: Scheme,
    /// Entry hosts that it was told of; it listens to all before it acts.
    pub seeds: usize,
    /// Seed of its random choices.
    pub seed: u64,
}

/// How an agent finds chunks. Two of these are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scheme {
    /// Pull from neighbours, rarest first; a tracker grants the rest.
    #[default]
    Swarm,
    /// Every host fetches everything from the origin.
    Origin,
}

/// A fence: a target that checks refuses an order with a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence {
    /// The settings' revision behind the order.
    pub revision: u64,
    /// The incarnation of the agent that gives it.
    pub incarnation: u64,
}

/// A run for the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// The run key's text.
    pub key: Name,
    /// `organisation/model`.
    pub model: Name,
    /// The request's body.
    pub payload: Vec<u8>,
    /// 0 urgent, 1 normal, 2 bulk.
    pub priority: u32,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Time left.
    pub budget_ms: u64,
    /// Salt for the prefix cache.
    pub cache_salt: String,
    /// W3C trace context of the entry host's span.
    pub traceparent: String,
    /// Whether the model is a plain service.
    pub is_plain: bool,
}

/// What happened, as an agent hears it.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. About every 50 ms.
    Tick,
    /// A connection to an entry host is up.
    EntryUp(Identity),
    /// It is down.
    EntryDown(Name),
    /// An entry host said something.
    FromEntry(Name, Body),
    /// Settings were read from a message.
    Settings {
        /// Their revision.
        revision: u64,
        /// Their text, to pass on.
        text: Name,
        /// Their meaning.
        tree: Box<Tree>,
    },
    /// The connection that this agent dialled to a peer is up.
    PeerUp(Name),
    /// It is down.
    PeerDown(Name),
    /// The connection that a peer dialled to this agent is down.
    PeerLeft(Name),
    /// A peer said something.
    FromPeer(Name, Body),
    /// A chunk came, whole or not.
    ChunkArrived {
        /// The version it was asked for.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// Who sent it.
        source: Source,
        /// The digest of its bytes; none if it did not come.
        digest: Option<Digest>,
    },
    /// A chunk has left for a peer.
    ChunkSent {
        /// The peer.
        peer: Name,
        /// The version.
        manifest: Digest,
        /// The chunk.
        index: usize,
    },
    /// A manifest came from a tracker or a peer.
    ManifestArrived(Manifest),
    /// The target took a chunk, or failed to.
    Staged {
        /// The version, which has a slot of its own.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// The round of the order.
        round: u64,
        /// Whether it was taken.
        stored: bool,
    },
    /// The target answered an order to serve a version.
    Activated {
        /// The model.
        model: Name,
        /// The version.
        manifest: Digest,
        /// Whether it obeyed.
        activated: bool,
    },
    /// What the target says that it serves.
    TargetServes(Vec<(Name, Digest)>),
    /// A piece of an answer.
    RunPiece(Name, Vec<u8>),
    /// A run ended.
    RunEnded(Name, Code),
    /// The process is told to leave.
    Leave,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Say something to an entry host.
    ToEntry(Name, Body),
    /// Keep a connection to an entry host.
    DialEntry(PeerAddress),
    /// Keep a connection to a peer.
    Dial {
        /// The peer.
        name: Name,
        /// Where it listens.
        address: String,
    },
    /// Drop the connection that this agent dialled.
    Disconnect(Name),
    /// Say something over the connection that this agent dialled.
    ToPeer(Name, Body),
    /// Say something over the connection that the peer dialled.
    ReplyToPeer(Name, Body),
    /// Send a chunk over the connection that the peer dialled.
    SendChunk {
        /// The peer.
        peer: Name,
        /// The version.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// Its bytes, by digest.
        digest: Digest,
    },
    /// Fetch a chunk from the origin.
    FetchOrigin {
        /// The version.
        manifest: Digest,
        /// Where the origin keeps it.
        origin_path: String,
        /// The chunk.
        index: usize,
    },
    /// Keep the chunk with this digest; it is checked.
    KeepChunk(Digest),
    /// Throw away the bytes that arrived with this digest.
    Discard(Digest),
    /// No version needs the kept chunk with this digest any more.
    DropChunk(Digest),
    /// Put a chunk into the target's slot for a version.
    Stage {
        /// The version.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// Its bytes, by digest.
        digest: Digest,
        /// Comes back in [`Event::Staged`]. A slot is filled in one round;
        /// an answer of an earlier one says nothing about it.
        round: u64,
    },
    /// Order the target to serve a version.
    Activate {
        /// The model.
        model: Name,
        /// The version.
        manifest: Digest,
        /// The fence.
        fence: Fence,
    },
    /// Ask the target what it serves.
    CheckTarget,
    /// Start a run.
    StartRun(RunOrder),
    /// Stop a run.
    StopRun(Name),
    /// Nothing is in progress and the agent was told to leave.
    Stop,
    /// Write a log line.
    Log(LogEvent, String),
}

/// The agent's state.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    rng: SmallRng,
    started_ms: u64,
    revision: RevisionGate,
    settings_text: Name,
    tree: Tree,
    entries: BTreeMap<Name, EntryLink>,
    downloads: BTreeMap<Digest, Download>,
    trackers: BTreeMap<Digest, Name>,
    models: BTreeMap<Name, ModelState>,
    peers_up: BTreeSet<Name>,
    uploads: UploadQueue,
    ledger: Ledger,
    served_by_target: Option<Vec<(Name, Digest)>>,
    leaving: bool,
    reported_ms: u64,
    checked_ms: u64,
    /// Orders to serve and their answers so far.
    order_events: u64,
    /// The same when the target was last asked what it serves, until it
    /// answers.
    order_events_at_check: Option<u64>,
    last_round: u64,
}

#[derive(Debug, Default)]
struct EntryLink {
    revision: u64,
}

impl Agent {
    /// An agent that has heard of nothing.
    pub fn new(config: AgentConfig, now_ms: u64) -> Agent {
        Agent {
            rng: SmallRng::seed_from_u64(config.seed),
            started_ms: now_ms,
            revision: RevisionGate::new(),
            settings_text: "".into(),
            tree: Tree::default(),
            entries: BTreeMap::new(),
            downloads: BTreeMap::new(),
            trackers: BTreeMap::new(),
            models: BTreeMap::new(),
            peers_up: BTreeSet::new(),
            uploads: UploadQueue::new(
                config.upload_slots,
                config.upload_places,
            ),
            ledger: Ledger::new(config.ledger.clone()),
            served_by_target: None,
            leaving: false,
            reported_ms: 0,
            checked_ms: 0,
            order_events: 0,
            order_events_at_check: None,
            last_round: 1,
            config,
        }
    }

    /// Takes an event in and pushes what is to be done.
    pub fn reduce(
        &mut self,
        now_ms: u64,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Tick => self.tick(now_ms, effects),
            Event::EntryUp(identity) => {
                self.on_entry_up(identity, now_ms, effects)
            }
            Event::EntryDown(name) => {
                self.on_entry_down(&name, now_ms, effects)
            }
            Event::FromEntry(name, body) => {
                self.on_entry_message(name, body, now_ms, effects)
            }
            Event::Settings { revision, text, tree } => {
                self.on_settings(revision, text, *tree, now_ms, effects)
            }
            Event::PeerUp(name) => self.on_peer_up(&name, now_ms, effects),
            Event::PeerDown(name) => self.on_peer_down(&name, now_ms, effects),
            Event::PeerLeft(name) => self.on_peer_left(&name, effects),
            Event::FromPeer(name, body) => {
                self.on_peer_message(name, body, now_ms, effects)
            }
            Event::ChunkArrived { manifest, index, source, digest } => self
                .on_chunk_arrived(
                    manifest, index, &source, digest, now_ms, effects,
                ),
            Event::ChunkSent { peer, manifest, index } => {
                let next = self.uploads.sent(&peer, manifest, index);
                self.send_uploads(next, effects);
            }
            Event::ManifestArrived(manifest) => {
                self.on_manifest_arrived(manifest, now_ms, effects)
            }
            Event::Staged { manifest, index, round, stored } => {
                self.on_staged(manifest, index, round, stored, effects)
            }
            Event::Activated { model, manifest, activated } => {
                self.on_activated(&model, manifest, activated, effects)
            }
            Event::TargetServes(serves) => {
                self.on_target_serves(serves, now_ms, effects)
            }
            Event::RunPiece(key, data) => {
                self.on_run_piece(&key, data, effects)
            }
            Event::RunEnded(key, code) => {
                self.on_run_ended(&key, code, now_ms, effects)
            }
            Event::Leave => self.on_leave(now_ms, effects),
        }
    }

    /// The settings' revision in force.
    pub fn revision(&self) -> u64 {
        self.revision.in_force()
    }

    /// The settings' text in force.
    pub fn settings_text(&self) -> &Name {
        &self.settings_text
    }

    /// The versions on their way or here.
    pub fn downloads(&self) -> impl Iterator<Item = &Download> {
        self.downloads.values()
    }

    /// The ledger of run keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Chunks on their way out.
    pub fn uploads_active(&self) -> usize {
        self.uploads.active()
    }

    /// Whether the agent takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.follow_settings(now_ms, effects);
        self.spread_tick(now_ms, effects);
        self.ledger.expire(now_ms);
        if now_ms >= self.reported_ms + REPORT_EVERY_MS {
            self.send_report(now_ms, effects);
        }
        if now_ms >= self.checked_ms + CHECK_EVERY_MS {
            self.checked_ms = now_ms;
            self.order_events_at_check = Some(self.order_events);
            effects.push(Effect::CheckTarget);
        }
        self.stop_if_done(effects);
    }

    fn on_entry_up(
        &mut self,
        identity: Identity,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = identity.name.as_str().into();
        self.entries.insert(name.clone(), EntryLink::default());
        effects.push(Effect::ToEntry(name.clone(), self.heartbeat()));
        let report = Body::Report(self.report_body());
        effects.push(Effect::ToEntry(name, report));
        self.choose_trackers(now_ms, effects);
    }

    fn on_entry_down(
        &mut self,
        name: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.entries.remove(name);
        for key in self.ledger.remove_entry_host(name) {
            effects.push(Effect::StopRun(key));
        }
        self.trackers.retain(|_, tracker| tracker != name);
        self.choose_trackers(now_ms, effects);
    }

    fn on_entry_message(
        &mut self,
        entry: Name,
        body: Body,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => {
                self.on_entry_revision(&entry, heartbeat, effects)
            }
            Body::Grant(grant) => self.on_grant(grant, now_ms, effects),
            Body::View(view) => self.on_view(view, now_ms, effects),
            Body::Dispatch(dispatch) => {
                self.on_dispatch(entry, dispatch, now_ms, effects)
            }
            Body::Cancel(cancel) => self.on_cancel(entry, cancel, effects),
            Body::Query(query) => self.on_query(entry, query, now_ms, effects),
            Body::Drain(_) => self.on_leave(now_ms, effects),
            Body::Entries(entries) => self.on_entries(entries, effects),
            _ => log_unexpected(&entry, effects),
        }
    }

    /// Keeps connections to a bounded number of entry hosts, each agent to
    /// others, so that no entry host holds all agents of a large fleet.
    fn on_entries(&mut self, entries: Entries, effects: &mut Vec<Effect>) {
        let known: BTreeMap<Name, PeerAddress> = entries
            .entries
            .into_iter()
            .map(|entry| (entry.name.as_str().into(), entry))
            .collect();
        let key = self.config.name.as_bytes();
        let chosen = rendezvous::owners(key, known.keys(), ENTRY_FANOUT);
        for name in chosen {
            if !self.entries.contains_key(name) {
                effects.push(Effect::DialEntry(known[name].clone()));
            }
        }
    }

    fn on_entry_revision(
        &mut self,
        entry: &Name,
        heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(link) = self.entries.get_mut(entry) {
            link.revision = heartbeat.settings_revision;
        }
        if heartbeat.settings_revision > self.revision.in_force() {
            let ask = Body::SettingsAsk(SettingsAsk {});
            effects.push(Effect::ToEntry(entry.clone(), ask));
        }
    }

    fn on_settings(
        &mut self,
        revision: u64,
        text: Name,
        tree: Tree,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        match self.revision.weigh(revision) {
            Offer::Newer => {}
            Offer::Same => return,
            Offer::Older => {
                let detail = revision.to_string();
                effects
                    .push(Effect::Log(LogEvent::SettingsOlderRefused, detail));
                return;
            }
        }
        self.revision.advance(revision);
        self.tree = tree;
        self.settings_text = text;
        let detail = revision.to_string();
        effects.push(Effect::Log(LogEvent::SettingsInForce, detail));
        for entry in self.entries.keys() {
            effects.push(Effect::ToEntry(entry.clone(), self.heartbeat()));
        }
        self.follow_settings(now_ms, effects);
    }

    /// Whether the agent may act on the settings that it has: it has heard
    /// every entry host it knows of, or has listened long enough. An agent
    /// that restarts must not obey a stale relay's older revision first.
    fn may_act(&self, now_ms: u64) -> bool {
        let heard =
            self.entries.values().filter(|link| link.revision > 0).count();
        let newest =
            self.entries.values().map(|link| link.revision).max().unwrap_or(0);
        self.served_by_target.is_some()
            && self.revision.in_force() > 0
            && self.revision.in_force() >= newest
            && (heard >= self.config.seeds
                || now_ms >= self.started_ms + LISTEN_MS)
    }

    fn heartbeat(&self) -> Body {
        Body::Heartbeat(Heartbeat {
            leaving: self.leaving,
            settings_revision: self.revision.in_force(),
        })
    }

    fn send_report(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.reported_ms = now_ms;
        let body = Body::Report(self.report_body());
        for entry in self.entries.keys() {
            effects.push(Effect::ToEntry(entry.clone(), body.clone()));
        }
    }

    fn report_body(&self) -> Report {
        Report {
            served: self.served(),
            running: self.ledger.running() as u32,
            capacity: self.config.capacity,
            leaving: self.leaving,
            settings_revision: self.revision.in_force(),
            progress: self.progress(),
        }
    }

    fn on_leave(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if !self.leaving {
            self.leaving = true;
            effects.push(Effect::Log(LogEvent::Stopping, String::new()));
            self.send_report(now_ms, effects);
        }
        self.stop_if_done(effects);
    }

    fn stop_if_done(&mut self, effects: &mut Vec<Effect>) {
        if self.leaving
            && self.ledger.running() == 0
            && self.uploads.active() == 0
        {
            effects.push(Effect::Stop);
        }
    }
}

fn log_unexpected(from: &Name, effects: &mut Vec<Effect>) {
    effects.push(Effect::Log(LogEvent::BadFrame, from.to_string()));
}
