//! The entry host's reducer.
//!
//! All entry hosts are equal. Each answers callers and operators, admits and
//! routes requests, tracks the spreads that rendezvous hashing gives it, and
//! passes settings on. Nothing here outlives the process.

mod attempts;
mod requests;
mod run_keys;
mod settings;
mod shares;
mod trackers;

use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    Code, Digest, LogEvent, Manifest, Name,
    message::{Body, Drain, Entries, Heartbeat, Identity, PeerAddress},
    request::{
        admission::Queues,
        dispatch::{Request, Submission},
        routing::{Policy, Router, Target},
        run_key::ClusterKey,
    },
    settings::{RevisionGate, Tree},
    spread::tracker::TrackerConfig,
};

use self::{
    requests::ModelPace, run_keys::Ask, shares::Limits, trackers::Spread,
};

/// How often an entry host tells others that it is here.
const HEARTBEAT_EVERY_MS: u64 = 500;

/// An entry host that was silent for so long counts as gone.
const SILENT_MS: u64 = 2_000;

/// How long a starting entry host listens for settings newer than the first
/// it hears, before it serves.
const LISTEN_MS: u64 = 700;

/// How long a leaving entry host stays to redirect callers that hold its
/// address. Twice what [`WHERE_TTL_MS`] lets them keep it.
const LINGER_MS: u64 = 2_000;

/// How long callers may keep the answer of `where`.
pub const WHERE_TTL_MS: u64 = 1_000;

/// What an entry host is told at its start.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Its name.
    pub name: Name,
    /// A number that differs at each start.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: Name,
    /// Where callers reach it.
    pub http_address: String,
    /// Where agents and other entry hosts reach it.
    pub address: String,
    /// The cluster's key.
    pub cluster_key: ClusterKey,
    /// Bounds of the trackers it owns.
    pub tracker: TrackerConfig,
    /// How targets are picked.
    pub policy: Policy,
    /// Whether it was told of other entry hosts, and so has to hear one
    /// before it trusts a first reading of the platform.
    pub has_seeds: bool,
    /// Seed of its random choices.
    pub seed: u64,
}

/// What happened, as an entry host hears it.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. About every 20 ms.
    Tick,
    /// An agent connected.
    AgentUp(Identity),
    /// An agent's connection is down.
    AgentDown(Name),
    /// An agent said something.
    FromAgent(Name, Body),
    /// The connection that this process dialled to an entry host is up.
    EntryUp(Identity),
    /// It is down.
    EntryDown(Name),
    /// Another entry host said something.
    FromEntry(Name, Body),
    /// Settings were read, from the platform or from a message.
    Settings {
        /// Their revision.
        revision: u64,
        /// Their text.
        text: Name,
        /// Their meaning.
        tree: Box<Tree>,
    },
    /// The origin gave a manifest, or did not.
    ManifestRead {
        /// The digest that was asked for.
        digest: Digest,
        /// What came.
        manifest: Option<Manifest>,
    },
    /// A caller submits a request.
    Submit {
        /// Its number, from the shell.
        request: u64,
        /// What is asked for.
        submission: Box<Submission>,
    },
    /// The caller of a request went away.
    CallerGone(u64),
    /// A caller wants a run key.
    IssueKey {
        /// The request's number.
        request: u64,
        /// BLAKE3 of the caller's key.
        key_hash: Digest,
        /// The model's name.
        model: Name,
    },
    /// A caller asks what became of a run key.
    AskRun {
        /// The request's number.
        request: u64,
        /// BLAKE3 of the caller's key.
        key_hash: Digest,
        /// The run key's text.
        run_key: String,
        /// Whether a key that has not run is to be barred.
        revoke: bool,
    },
    /// An operator tells an agent to leave.
    DrainAgent {
        /// The request's number.
        request: u64,
        /// The agent.
        agent: Name,
    },
    /// The process is told to leave.
    Leave,
}

/// The last word to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Final {
    /// The result.
    pub code: Code,
    /// The whole answer; empty if it was streamed or there is none.
    pub answer: Vec<u8>,
    /// The run key, if the request has one.
    pub run_key: Option<Name>,
    /// When to come back; 0 if there is no use in it.
    pub retry_after_ms: u64,
    /// For [`Code::Leaving`]: whom to ask.
    pub redirect: Option<String>,
}

impl Final {
    /// A last word that is only a code.
    pub fn new(code: Code) -> Final {
        Final {
            code,
            answer: vec![],
            run_key: None,
            retry_after_ms: 0,
            redirect: None,
        }
    }

    /// The same, with the time to come back.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Final {
        self.retry_after_ms = retry_after_ms;
        self
    }
}

/// What an entry host wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Say something to an agent.
    ToAgent(Name, Body),
    /// Say something to another entry host.
    ToEntry(Name, Body),
    /// Keep a connection to another entry host.
    DialEntry(PeerAddress),
    /// Send a piece of an answer on to the caller.
    Stream(u64, Vec<u8>),
    /// Answer a caller for good.
    Finish(u64, Final),
    /// Read a manifest from the origin.
    ReadManifest {
        /// The digest that it has to have.
        digest: Digest,
        /// Where the origin keeps it.
        origin_path: String,
    },
    /// Watch the platform's settings, or no longer.
    Watch(bool),
    /// Nothing is in progress and the process was told to leave.
    Stop,
    /// Write a log line.
    Log(LogEvent, String),
}

/// Another entry host.
#[derive(Debug)]
struct Peer {
    identity: Identity,
    is_linked: bool,
    is_up: bool,
    leaving: bool,
    revision: u64,
    heard_ms: u64,
}

/// The entry host's state.
#[derive(Debug)]
pub struct Entry {
    config: EntryConfig,
    rng: SmallRng,
    started_ms: u64,
    revision: RevisionGate,
    text: Name,
    tree: Tree,
    callers: BTreeMap<Digest, Name>,
    watching: bool,
    peers: BTreeMap<Name, Peer>,
    agents: BTreeMap<Name, Identity>,
    agent_revisions: BTreeMap<Name, u64>,
    progress: BTreeMap<Name, Vec<crate::message::Progress>>,
    router: Router,
    queues: Queues,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, u64>,
    deadlines: BTreeSet<(u64, u64)>,
    asks: BTreeMap<u64, Ask>,
    paces: BTreeMap<Name, ModelPace>,
    limits: BTreeMap<Name, Limits>,
    shares: shares::Shares,
    spreads: BTreeMap<Digest, Spread>,
    next_serial: u64,
    left_ms: Option<u64>,
    beat_ms: u64,
}

impl Entry {
    /// An entry host that has heard of nothing.
    pub fn new(config: EntryConfig, now_ms: u64) -> Entry {
        Entry {
            rng: SmallRng::seed_from_u64(config.seed),
            started_ms: now_ms,
            revision: RevisionGate::new(),
            text: "".into(),
            tree: Tree::default(),
            callers: BTreeMap::new(),
            watching: false,
            peers: BTreeMap::new(),
            agents: BTreeMap::new(),
            agent_revisions: BTreeMap::new(),
            progress: BTreeMap::new(),
            router: Router::new(config.policy, config.data_centre.clone()),
            queues: Queues::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            asks: BTreeMap::new(),
            paces: BTreeMap::new(),
            limits: BTreeMap::new(),
            shares: shares::Shares::default(),
            spreads: BTreeMap::new(),
            next_serial: 1,
            left_ms: None,
            beat_ms: 0,
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
            Event::AgentUp(identity) => {
                self.agent_up(identity, now_ms, effects)
            }
            Event::AgentDown(name) => self.agent_down(&name, now_ms, effects),
            Event::FromAgent(name, body) => {
                self.heard_agent(name, body, now_ms, effects)
            }
            Event::EntryUp(identity) => {
                self.entry_up(identity, now_ms, effects)
            }
            Event::EntryDown(name) => self.entry_down(&name, effects),
            Event::FromEntry(name, body) => {
                self.heard_entry(name, body, now_ms, effects)
            }
            Event::Settings { revision, text, tree } => {
                self.offer_settings(revision, text, *tree, effects)
            }
            Event::ManifestRead { digest, manifest } => {
                self.manifest_read(digest, manifest, now_ms, effects)
            }
            Event::Submit { request, submission } => {
                self.submit(request, *submission, now_ms, effects)
            }
            Event::CallerGone(request) => {
                self.caller_gone(request, now_ms, effects)
            }
            Event::IssueKey { request, key_hash, model } => {
                self.issue_key(request, key_hash, &model, now_ms, effects)
            }
            Event::AskRun { request, key_hash, run_key, revoke } => self
                .ask_run(request, key_hash, &run_key, revoke, now_ms, effects),
            Event::DrainAgent { request, agent } => {
                self.drain_agent(request, agent, effects)
            }
            Event::Leave => self.leave(now_ms, effects),
        }
    }

    /// The settings' revision in force.
    pub fn revision(&self) -> u64 {
        self.revision.in_force()
    }

    /// The settings' text in force.
    pub fn settings_text(&self) -> &Name {
        &self.text
    }

    /// The settings in force.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// The targets as this entry host sees them.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The revision in force at each agent, as last reported.
    pub fn agent_revisions(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.agent_revisions.iter().map(|(name, revision)| (name, *revision))
    }

    /// The revision in force at each other entry host, as last heard.
    pub fn entry_revisions(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.peers.iter().map(|(name, peer)| (name, peer.revision))
    }

    /// How far each agent is with its versions.
    pub fn progress(
        &self,
    ) -> impl Iterator<Item = (&Name, &[crate::message::Progress])> {
        self.progress.iter().map(|(name, rows)| (name, rows.as_slice()))
    }

    /// Who the agents are.
    pub fn agents(&self) -> impl Iterator<Item = &Identity> {
        self.agents.values()
    }

    /// Requests that are not answered yet.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.left_ms.is_some()
    }

    /// Callers' addresses of the entry hosts that take new work, nearest
    /// first, with each one's name.
    pub fn ranked_addresses(&self) -> Vec<PeerAddress> {
        let mut ranked = vec![];
        if !self.is_leaving() {
            let near = (false, self.config.name.clone());
            ranked.push((near, self.config.http_address.clone()));
        }
        for (name, peer) in &self.peers {
            if peer.is_up && !peer.leaving {
                let is_far =
                    *peer.identity.data_centre != *self.config.data_centre;
                let place = (is_far, name.clone());
                ranked.push((place, peer.identity.http_address.clone()));
            }
        }
        ranked.sort();
        ranked
            .into_iter()
            .map(|((_, name), address)| PeerAddress {
                name: name.to_string(),
                address,
            })
            .collect()
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.suspect_silent(now_ms, effects);
        self.choose_watchers(effects);
        self.tick_trackers(now_ms, effects);
        self.tick_requests(now_ms, effects);
        if now_ms >= self.beat_ms + HEARTBEAT_EVERY_MS {
            self.beat_ms = now_ms;
            self.beat(effects);
            self.ask_shares(now_ms, effects);
        }
        self.stop_if_done(now_ms, effects);
    }

    fn agent_up(
        &mut self,
        identity: Identity,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = identity.name.as_str().into();
        // A new connection may come before the old one is known to be dead.
        if self.agents.contains_key(&name) {
            self.agent_down(&name, now_ms, effects);
        }
        let incarnation = identity.incarnation;
        let data_centre = identity.data_centre.as_str().into();
        let target = Target::new(incarnation, data_centre);
        self.router.add(name.clone(), target);
        self.agents.insert(name.clone(), identity);
        effects.push(Effect::ToAgent(name.clone(), self.heartbeat()));
        let entries = Body::Entries(self.entries_body());
        effects.push(Effect::ToAgent(name.clone(), entries));
        self.rejoin_runs(&name, incarnation, now_ms, effects);
    }

    fn agent_down(
        &mut self,
        name: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.router.remove(name);
        self.agents.remove(name);
        self.agent_revisions.remove(name);
        self.progress.remove(name);
        self.leave_spreads(name, now_ms, effects);
        self.detach_runs(name, now_ms, effects);
    }

    fn heard_agent(
        &mut self,
        agent: Name,
        body: Body,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Heartbeat(beat) => {
                self.agent_revisions.insert(agent, beat.settings_revision);
            }
            Body::SettingsAsk(_) => {
                let settings = self.settings_body();
                effects
                    .extend(settings.map(|body| Effect::ToAgent(agent, body)));
            }
            Body::Report(report) => {
                self.agent_revisions
                    .insert(agent.clone(), report.settings_revision);
                self.router.record_report(&agent, &report);
                self.progress.insert(agent, report.progress);
                self.pump(now_ms, effects);
            }
            Body::Join(join) => self.join(agent, join, now_ms, effects),
            Body::Part(part) => self.part(&agent, part, now_ms, effects),
            Body::Obtained(obtained) => {
                self.obtained(&agent, obtained, now_ms, effects)
            }
            Body::Piece(piece) => self.piece(piece, effects),
            Body::Ended(ended) => self.ended(&agent, ended, now_ms, effects),
            Body::Known(known) => self.known(known, effects),
            _ => misplaced(&agent, effects),
        }
    }

    fn entry_up(
        &mut self,
        identity: Identity,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = identity.name.as_str().into();
        let peer = Peer {
            identity,
            is_linked: true,
            is_up: true,
            leaving: false,
            revision: 0,
            heard_ms: now_ms,
        };
        self.peers.insert(name.clone(), peer);
        effects.push(Effect::ToEntry(name, self.heartbeat()));
        self.tell_entries(effects);
    }

    fn entry_down(&mut self, name: &Name, effects: &mut Vec<Effect>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = false;
            peer.is_up = false;
        }
        self.tell_entries(effects);
    }

    fn heard_entry(
        &mut self,
        entry: Name,
        body: Body,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.heard_from(&entry, now_ms, effects);
        match body {
            Body::Heartbeat(beat) => self.heard_beat(&entry, beat, effects),
            Body::SettingsAsk(_) => {
                let settings = self.settings_body();
                effects
                    .extend(settings.map(|body| Effect::ToEntry(entry, body)));
            }
            Body::Entries(entries) => self.learn_entries(entries, effects),
            Body::ShareAsk(ask) => {
                self.share_asked(entry, ask, now_ms, effects)
            }
            Body::ShareLease(lease) => self.share_leased(&lease, now_ms),
            _ => misplaced(&entry, effects),
        }
    }

    /// A peer that was silent for a while, frozen or cut off, is back as soon
    /// as it speaks.
    fn heard_from(
        &mut self,
        entry: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(entry) else { return };
        peer.heard_ms = now_ms;
        if peer.is_linked && !peer.is_up {
            peer.is_up = true;
            self.tell_entries(effects);
        }
    }

    fn heard_beat(
        &mut self,
        entry: &Name,
        beat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(entry) else { return };
        let began_to_leave = beat.leaving && !peer.leaving;
        peer.leaving = beat.leaving;
        peer.revision = beat.settings_revision;
        if beat.settings_revision > self.revision.in_force() {
            self.ask_settings(entry.clone(), effects);
        }
        if began_to_leave {
            self.tell_entries(effects);
        }
    }

    /// An entry host that has said nothing for long is not named to callers
    /// or agents, although its connection may still stand: a frozen process
    /// or a cut link closes nothing.
    fn suspect_silent(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let mut has_changed = false;
        for peer in self.peers.values_mut() {
            let is_heard = now_ms < peer.heard_ms + SILENT_MS;
            if peer.is_up && !is_heard {
                peer.is_up = false;
                has_changed = true;
            }
        }
        if has_changed {
            self.tell_entries(effects);
        }
    }

    fn learn_entries(&mut self, entries: Entries, effects: &mut Vec<Effect>) {
        for entry in entries.entries {
            let is_new = !self.peers.contains_key(entry.name.as_str())
                && *entry.name != *self.config.name;
            if is_new {
                effects.push(Effect::DialEntry(entry));
            }
        }
    }

    /// Tells agents, and entry hosts that may not know, who is here.
    fn tell_entries(&self, effects: &mut Vec<Effect>) {
        let body = Body::Entries(self.entries_body());
        for agent in self.agents.keys() {
            effects.push(Effect::ToAgent(agent.clone(), body.clone()));
        }
        for (name, _) in self.peers.iter().filter(|(_, peer)| peer.is_up) {
            effects.push(Effect::ToEntry(name.clone(), body.clone()));
        }
    }

    /// The entry hosts that take new work, with the addresses for processes.
    fn entries_body(&self) -> Entries {
        let own = PeerAddress {
            name: self.config.name.to_string(),
            address: self.config.address.clone(),
        };
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_up && !peer.leaving)
            .map(|(name, peer)| PeerAddress {
                name: name.to_string(),
                address: peer.identity.address.clone(),
            });
        let own = (!self.is_leaving()).then_some(own);
        Entries { entries: own.into_iter().chain(others).collect() }
    }

    /// The names of the entry hosts that take new work, this one included.
    fn live_entries(&self) -> Vec<Name> {
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_up && !peer.leaving)
            .map(|(name, _)| name.clone());
        let own = (!self.is_leaving()).then(|| self.config.name.clone());
        own.into_iter().chain(others).collect()
    }

    fn heartbeat(&self) -> Body {
        Body::Heartbeat(Heartbeat {
            leaving: self.is_leaving(),
            settings_revision: self.revision.in_force(),
        })
    }

    fn beat(&self, effects: &mut Vec<Effect>) {
        for name in self.peers.keys() {
            effects.push(Effect::ToEntry(name.clone(), self.heartbeat()));
        }
        for name in self.agents.keys() {
            effects.push(Effect::ToAgent(name.clone(), self.heartbeat()));
        }
    }

    fn drain_agent(
        &mut self,
        request: u64,
        agent: Name,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.agents.contains_key(&agent);
        let code = if known { Code::Accepted } else { Code::NotFound };
        if known {
            self.router.set_leaving(&agent);
            effects.push(Effect::ToAgent(agent, Body::Drain(Drain {})));
        }
        effects.push(Effect::Finish(request, Final::new(code)));
    }

    fn leave(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.left_ms.is_some() {
            return;
        }
        self.left_ms = Some(now_ms);
        effects.push(Effect::Log(LogEvent::Stopping, String::new()));
        effects.push(Effect::Watch(false));
        self.watching = false;
        self.beat(effects);
        self.tell_entries(effects);
    }

    fn stop_if_done(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let is_done = self.left_ms.is_some_and(|left_ms| {
            now_ms >= left_ms + LINGER_MS && self.requests.is_empty()
        });
        if is_done {
            effects.push(Effect::Stop);
        }
    }
}

fn misplaced(from: &Name, effects: &mut Vec<Effect>) {
    effects.push(Effect::Log(LogEvent::BadFrame, from.to_string()));
}
