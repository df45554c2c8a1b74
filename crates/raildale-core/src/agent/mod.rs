//! The reducer of the agent, a process that runs on each target host.
//!
//! It fetches, verifies and serves chunks, gives the target fenced orders,
//! and admits or refuses every request to the target. All requests to a
//! target pass through its agent, so the agent's checks also protect a target
//! that checks nothing itself.

mod peers;
mod runs;
mod spread;
mod target;

use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    Code, Digest, LogEvent, Manifest, Name,
    message::{
        Body, Entries, Heartbeat, Identity, PeerAddress, Report,
        SettingsRequest,
    },
    rendezvous,
    request::ledger::{Ledger, LedgerConfig},
    settings::{RevisionGate, Tree, revision::RevisionOrder},
    spread::{
        download::{Download, Source},
        upload::UploadQueue,
    },
};

use self::target::ModelState;

/// The interval between load reports.
const REPORT_EVERY_MS: u64 = 500;

/// The interval at which an agent compares what its target serves with its
/// orders.
const CHECK_EVERY_MS: u64 = 1_000;

/// How long a starting agent waits for newer settings than the first that it
/// receives, before it acts on them.
const LISTEN_MS: u64 = 700;

/// The number of entry hosts that an agent keeps connections to.
const ENTRY_FANOUT: usize = 8;

/// The configuration of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Its name.
    pub name: Name,
    /// A number that differs at each start.
    pub incarnation: u64,
    /// The pool of its host.
    pub pool: Name,
    /// The bandwidth of its host's link.
    pub link_bytes_per_s: u64,
    /// The size of a chunk in bytes, from which time-outs are derived.
    pub chunk_bytes: u64,
    /// The maximum number of chunks requested at once. Granted chunks are
    /// requested even if it is reached.
    pub window: usize,
    /// The maximum number of concurrent chunk uploads.
    pub upload_slots: usize,
    /// The maximum number of uploads that wait for a slot. Granted chunks
    /// are queued even if it is reached.
    pub upload_places: usize,
    /// The maximum number of concurrent runs at the target.
    pub capacity: u32,
    /// The limits of the ledger of run keys.
    pub ledger: LedgerConfig,
    /// How chunks are obtained.
    pub scheme: Scheme,
    /// The number of configured entry hosts. The agent waits until it has
    /// heard from that many, or for a bounded time, before it acts.
    pub seeds: usize,
    /// The seed of its random number generator.
    pub seed: u64,
}

/// How an agent obtains chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scheme {
    /// Pull from neighbours, rarest first; a tracker grants the chunks that
    /// are to be fetched from elsewhere.
    #[default]
    Swarm,
    /// Fetch every chunk from the origin. A baseline.
    Origin,
}

/// The fencing token of an order. A target that checks fences refuses an order
/// with a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence {
    /// The settings revision on which the order is based.
    pub revision: u64,
    /// The incarnation of the agent that gives the order.
    pub incarnation: u64,
}

/// A run to be started at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// The text of the run key.
    pub key: Name,
    /// `organisation/model`.
    pub model: Name,
    /// The body of the request.
    pub payload: Vec<u8>,
    /// The priority class: 0 urgent, 1 normal, 2 bulk.
    pub priority: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The time left until the deadline.
    pub budget_ms: u64,
    /// The salt for the prefix cache.
    pub cache_salt: String,
    /// The W3C trace context of the entry host's span.
    pub traceparent: String,
    /// Whether the model is a plain service.
    pub is_plain: bool,
}

/// An input to the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent about every 50 ms.
    Tick,
    /// A connection to an entry host was established.
    EntryUp(Identity),
    /// The connection to an entry host was lost.
    EntryDown(Name),
    /// A message from an entry host.
    FromEntry(Name, Body),
    /// A settings message was received and parsed.
    Settings {
        /// The revision of the settings.
        revision: u64,
        /// Their text, to be passed on to others.
        text: Name,
        /// The parsed settings.
        tree: Box<Tree>,
    },
    /// A connection that this agent dialled to a peer was established.
    PeerUp(Name),
    /// A connection that this agent dialled to a peer was lost.
    PeerDown(Name),
    /// A connection that a peer dialled to this agent was lost.
    PeerLeft(Name),
    /// A message from a peer.
    FromPeer(Name, Body),
    /// A chunk arrived, or fetching it failed.
    ChunkArrived {
        /// The manifest digest of the version it was requested for.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// The source it was requested from.
        source: Source,
        /// The digest of its bytes; `None` if fetching failed.
        digest: Option<Digest>,
    },
    /// A chunk was sent to a peer.
    ChunkSent {
        /// The peer.
        peer: Name,
        /// The version.
        manifest: Digest,
        /// The chunk.
        index: usize,
    },
    /// A manifest was received from a tracker or a peer.
    ManifestArrived(Manifest),
    /// The target answered an [`Effect::Stage`].
    Staged {
        /// The version, which has its own slot at the target.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// The round given in the effect.
        round: u64,
        /// Whether the target stored the chunk.
        stored: bool,
    },
    /// The target answered an [`Effect::Activate`].
    Activated {
        /// The model.
        model: Name,
        /// The version.
        manifest: Digest,
        /// Whether the target now serves the version.
        activated: bool,
    },
    /// The models and versions that the target reports to serve.
    TargetServes(Vec<(Name, Digest)>),
    /// A piece of the answer of a run.
    RunPiece(Name, Vec<u8>),
    /// A run ended.
    RunEnded(Name, Code),
    /// The process was asked to shut down.
    Leave,
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an entry host.
    ToEntry(Name, Body),
    /// Establish a connection to an entry host and maintain it.
    DialEntry(PeerAddress),
    /// Establish a connection to a peer and maintain it.
    Dial {
        /// The peer.
        name: Name,
        /// The address at which it listens.
        address: String,
    },
    /// Close the connection that this agent dialled to a peer.
    Disconnect(Name),
    /// Send a message over the connection that this agent dialled to a peer.
    ToPeer(Name, Body),
    /// Send a message over the connection that the peer dialled.
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
        /// The path of the version at the origin.
        origin_path: String,
        /// The chunk.
        index: usize,
    },
    /// Keep the received chunk with this digest, which was verified.
    KeepChunk(Digest),
    /// Discard the received bytes with this digest.
    Discard(Digest),
    /// Delete the kept chunk with this digest, which no version needs any
    /// more.
    DropChunk(Digest),
    /// Store a chunk in the target's slot for a version.
    Stage {
        /// The version.
        manifest: Digest,
        /// The chunk.
        index: usize,
        /// Its bytes, by digest.
        digest: Digest,
        /// Identifies one filling of the slot and is returned in
        /// [`Event::Staged`]. An answer from an earlier round says nothing
        /// about the current contents of the slot.
        round: u64,
    },
    /// Order the target to serve a version.
    Activate {
        /// The model.
        model: Name,
        /// The version.
        manifest: Digest,
        /// The fencing token.
        fence: Fence,
    },
    /// Query which models and versions the target serves.
    CheckTarget,
    /// Start a run.
    StartRun(RunOrder),
    /// Stop a run.
    StopRun(Name),
    /// Stop the process: the agent is leaving and nothing is in progress.
    Stop,
    /// Write a log line.
    Log(LogEvent, String),
}

/// The state of an agent.
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
    /// The number of activation orders given and answers to them received.
    order_events: u64,
    /// The value of `order_events` when the target was last queried; `None`
    /// once it has answered.
    order_events_at_check: Option<u64>,
    last_round: u64,
}

#[derive(Debug, Default)]
struct EntryLink {
    revision: u64,
}

impl Agent {
    /// Creates an agent that has received neither settings nor messages.
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

    /// Handles an event and appends the resulting effects to `effects`.
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
                let next = self.uploads.finish(&peer, manifest, index);
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

    /// Returns the settings revision in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision.in_force()
    }

    /// Returns the text of the settings in force; empty if there are none.
    pub fn settings_text(&self) -> &Name {
        &self.settings_text
    }

    /// Returns the versions that are being downloaded or are complete.
    pub fn downloads(&self) -> impl Iterator<Item = &Download> {
        self.downloads.values()
    }

    /// Returns the ledger of run keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of chunk uploads in progress.
    pub fn uploads_active(&self) -> usize {
        self.uploads.active()
    }

    /// Returns whether the agent is leaving and accepts no new work.
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

    /// Connects to a bounded number of the entry hosts, chosen by rendezvous
    /// hashing per agent, so that in a large fleet no entry host has
    /// connections from all agents.
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
            let request = Body::SettingsRequest(SettingsRequest {});
            effects.push(Effect::ToEntry(entry.clone(), request));
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
        match self.revision.compare(revision) {
            RevisionOrder::Newer => {}
            RevisionOrder::Same => return,
            RevisionOrder::Older => {
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

    /// Returns whether the agent may act on the settings that it has: it has
    /// received revisions from as many entry hosts as are configured, or has
    /// waited for [`LISTEN_MS`]. After a restart it must not act on an older
    /// revision from a stale relay first.
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
