//! The entry host's reducer.
//!
//! All entry hosts have the same role. Each one serves callers and operators,
//! admits and routes requests, tracks the spreads that rendezvous hashing
//! assigns to it, and relays settings. Its state is kept in memory only.

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
    requests::ServiceTime, run_keys::PendingQuery, shares::Limits,
    trackers::Spread,
};

/// The interval between heartbeats to other entry hosts and to agents.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// The time without a message after which an entry host is considered down.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

/// How long an entry host that has seeds waits after its start to hear of
/// newer settings from other entry hosts before it serves.
const STARTUP_LISTEN_MS: u64 = 700;

/// How long a leaving entry host keeps running to redirect callers that still
/// hold its address. Twice [`WHERE_TTL_MS`], the time for which callers may
/// cache the address.
const LINGER_MS: u64 = 2_000;

/// How long callers may cache the response of `where`.
pub const WHERE_TTL_MS: u64 = 1_000;

/// The configuration of an entry host at its start.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The entry host's name.
    pub name: Name,
    /// A number that differs at each start of the process.
    pub incarnation: u64,
    /// The entry host's data centre.
    pub data_centre: Name,
    /// The address at which callers reach the entry host.
    pub http_address: String,
    /// The address at which agents and other entry hosts reach it.
    pub address: String,
    /// The cluster's key, which authenticates run keys.
    pub cluster_key: ClusterKey,
    /// The limits of the trackers that this entry host runs.
    pub tracker: TrackerConfig,
    /// The policy by which targets are picked.
    pub policy: Policy,
    /// Whether other entry hosts were configured. If so, the entry host does
    /// not serve settings that it read from the platform until it has heard
    /// a peer's revision or has waited for its start-up period.
    pub has_seeds: bool,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// An input of the entry host's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Sent about every 20 ms.
    Tick,
    /// An agent connected.
    AgentUp(Identity),
    /// The connection to an agent is down.
    AgentDown(Name),
    /// An agent sent a message.
    FromAgent(Name, Body),
    /// The connection that this process dialled to an entry host is up.
    EntryUp(Identity),
    /// The connection to an entry host is down.
    EntryDown(Name),
    /// Another entry host sent a message.
    FromEntry(Name, Body),
    /// Settings were read, from the platform or from a message.
    Settings {
        /// The revision of the settings.
        revision: u64,
        /// The TOML text of the settings.
        text: Name,
        /// The parsed settings.
        tree: Box<Tree>,
    },
    /// The result of an [`Effect::ReadManifest`].
    ManifestRead {
        /// The requested digest.
        digest: Digest,
        /// The manifest; `None` if the origin did not return one.
        manifest: Option<Manifest>,
    },
    /// A caller submits a request.
    Submit {
        /// The request's number, assigned by the shell.
        request: u64,
        /// The request itself.
        submission: Box<Submission>,
    },
    /// The caller of this request disconnected.
    CallerGone(u64),
    /// A caller requests a run key.
    IssueKey {
        /// The request's number.
        request: u64,
        /// BLAKE3 of the caller's key.
        key_hash: Digest,
        /// The model's name.
        model: Name,
    },
    /// A caller queries the outcome of a run key.
    QueryRun {
        /// The request's number.
        request: u64,
        /// BLAKE3 of the caller's key.
        key_hash: Digest,
        /// The run key's text.
        run_key: String,
        /// Whether to bar the key from running if it has not run yet.
        revoke: bool,
    },
    /// An operator drains an agent.
    DrainAgent {
        /// The request's number.
        request: u64,
        /// The agent.
        agent: Name,
    },
    /// The process is to shut down.
    Leave,
}

/// The response that completes a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// The result code.
    pub code: Code,
    /// The complete answer; empty if it was streamed or there is none.
    pub answer: Vec<u8>,
    /// The run key, if the request has one.
    pub run_key: Option<Name>,
    /// The time after which the caller may retry; 0 if it should not.
    pub retry_after_ms: u64,
    /// The address of another entry host, for [`Code::Leaving`].
    pub redirect: Option<String>,
}

impl FinalResponse {
    /// Returns a response that carries only a code.
    pub fn new(code: Code) -> FinalResponse {
        FinalResponse {
            code,
            answer: vec![],
            run_key: None,
            retry_after_ms: 0,
            redirect: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after_ms(
        mut self,
        retry_after_ms: u64,
    ) -> FinalResponse {
        self.retry_after_ms = retry_after_ms;
        self
    }
}

/// An output of the entry host's reducer, which the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an agent.
    ToAgent(Name, Body),
    /// Send a message to another entry host.
    ToEntry(Name, Body),
    /// Connect to another entry host and keep the connection up.
    DialEntry(PeerAddress),
    /// Forward a piece of an answer to the caller of a request.
    Stream(u64, Vec<u8>),
    /// Complete a caller's request.
    Finish(u64, FinalResponse),
    /// Read a manifest from the origin.
    ReadManifest {
        /// The digest that the manifest must have.
        digest: Digest,
        /// The manifest's path at the origin.
        origin_path: String,
    },
    /// Start (`true`) or stop (`false`) watching the platform's settings.
    Watch(bool),
    /// Stop the process: it is leaving and no request is in progress.
    Stop,
    /// Write a log line.
    Log(LogEvent, String),
}

/// What is known of another entry host.
#[derive(Debug)]
struct Peer {
    identity: Identity,
    is_linked: bool,
    is_up: bool,
    leaving: bool,
    revision: u64,
    last_heard_ms: u64,
}

/// The state of an entry host.
#[derive(Debug)]
pub struct Entry {
    config: EntryConfig,
    rng: SmallRng,
    started_ms: u64,
    revision: RevisionGate,
    text: Name,
    tree: Tree,
    organisations_by_key: BTreeMap<Digest, Name>,
    watching: bool,
    peers: BTreeMap<Name, Peer>,
    agents: BTreeMap<Name, Identity>,
    agent_revisions: BTreeMap<Name, u64>,
    progress: BTreeMap<Name, Vec<crate::message::Progress>>,
    router: Router,
    queues: Queues,
    requests: BTreeMap<u64, Request>,
    requests_by_attempt: BTreeMap<u64, u64>,
    deadlines: BTreeSet<(u64, u64)>,
    pending_queries: BTreeMap<u64, PendingQuery>,
    service_times: BTreeMap<Name, ServiceTime>,
    limits: BTreeMap<Name, Limits>,
    shares: shares::Shares,
    spreads: BTreeMap<Digest, Spread>,
    next_serial: u64,
    leaving_since_ms: Option<u64>,
    heartbeat_sent_ms: u64,
}

impl Entry {
    /// Returns an entry host without settings, peers and agents.
    pub fn new(config: EntryConfig, now_ms: u64) -> Entry {
        Entry {
            rng: SmallRng::seed_from_u64(config.seed),
            started_ms: now_ms,
            revision: RevisionGate::new(),
            text: "".into(),
            tree: Tree::default(),
            organisations_by_key: BTreeMap::new(),
            watching: false,
            peers: BTreeMap::new(),
            agents: BTreeMap::new(),
            agent_revisions: BTreeMap::new(),
            progress: BTreeMap::new(),
            router: Router::new(config.policy, config.data_centre.clone()),
            queues: Queues::new(),
            requests: BTreeMap::new(),
            requests_by_attempt: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            pending_queries: BTreeMap::new(),
            service_times: BTreeMap::new(),
            limits: BTreeMap::new(),
            shares: shares::Shares::default(),
            spreads: BTreeMap::new(),
            next_serial: 1,
            leaving_since_ms: None,
            heartbeat_sent_ms: 0,
            config,
        }
    }

    /// Handles an event and appends the resulting effects.
    pub fn reduce(
        &mut self,
        now_ms: u64,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Tick => self.tick(now_ms, effects),
            Event::AgentUp(identity) => {
                self.on_agent_up(identity, now_ms, effects)
            }
            Event::AgentDown(name) => {
                self.on_agent_down(&name, now_ms, effects)
            }
            Event::FromAgent(name, body) => {
                self.handle_agent_message(name, body, now_ms, effects)
            }
            Event::EntryUp(identity) => {
                self.on_entry_up(identity, now_ms, effects)
            }
            Event::EntryDown(name) => self.on_entry_down(&name, effects),
            Event::FromEntry(name, body) => {
                self.handle_entry_message(name, body, now_ms, effects)
            }
            Event::Settings { revision, text, tree } => {
                self.offer_settings(revision, text, *tree, effects)
            }
            Event::ManifestRead { digest, manifest } => {
                self.on_manifest_read(digest, manifest, now_ms, effects)
            }
            Event::Submit { request, submission } => {
                self.submit(request, *submission, now_ms, effects)
            }
            Event::CallerGone(request) => {
                self.on_caller_gone(request, now_ms, effects)
            }
            Event::IssueKey { request, key_hash, model } => {
                self.issue_key(request, key_hash, &model, now_ms, effects)
            }
            Event::QueryRun { request, key_hash, run_key, revoke } => self
                .query_run(
                    request, key_hash, &run_key, revoke, now_ms, effects,
                ),
            Event::DrainAgent { request, agent } => {
                self.drain_agent(request, agent, effects)
            }
            Event::Leave => self.leave(now_ms, effects),
        }
    }

    /// Returns the settings' revision in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision.in_force()
    }

    /// Returns the text of the settings in force.
    pub fn settings_text(&self) -> &Name {
        &self.text
    }

    /// Returns the settings in force.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the router, which holds the targets known here.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the last reported settings revision of each agent.
    pub fn agent_revisions(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.agent_revisions.iter().map(|(name, revision)| (name, *revision))
    }

    /// Returns the last reported settings revision of each other entry host.
    pub fn entry_revisions(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.peers.iter().map(|(name, peer)| (name, peer.revision))
    }

    /// Returns the last reported progress of each agent's downloads.
    pub fn progress(
        &self,
    ) -> impl Iterator<Item = (&Name, &[crate::message::Progress])> {
        self.progress.iter().map(|(name, rows)| (name, rows.as_slice()))
    }

    /// Returns the identities of the connected agents.
    pub fn agents(&self) -> impl Iterator<Item = &Identity> {
        self.agents.values()
    }

    /// Returns the number of requests that are not complete.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether this entry host is leaving and takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// Returns the name and HTTP address of each entry host that takes new
    /// work, those of this data centre first.
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
        self.mark_silent_entries_down(now_ms, effects);
        self.choose_watchers(effects);
        self.tick_trackers(now_ms, effects);
        self.tick_requests(now_ms, effects);
        if now_ms >= self.heartbeat_sent_ms + HEARTBEAT_INTERVAL_MS {
            self.heartbeat_sent_ms = now_ms;
            self.broadcast_heartbeat(effects);
            self.request_shares(now_ms, effects);
        }
        self.stop_if_done(now_ms, effects);
    }

    fn on_agent_up(
        &mut self,
        identity: Identity,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = identity.name.as_str().into();
        // A new connection may come up before the loss of the previous one is
        // detected.
        if self.agents.contains_key(&name) {
            self.on_agent_down(&name, now_ms, effects);
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

    fn on_agent_down(
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

    fn handle_agent_message(
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
            Body::SettingsRequest(_) => {
                let settings = self.settings_body();
                effects
                    .extend(settings.map(|body| Effect::ToAgent(agent, body)));
            }
            Body::Report(report) => {
                self.agent_revisions
                    .insert(agent.clone(), report.settings_revision);
                self.router.record_report(&agent, &report);
                self.progress.insert(agent, report.progress);
                self.dispatch_queued(now_ms, effects);
            }
            Body::Join(join) => self.on_join(agent, join, now_ms, effects),
            Body::LeaveSpread(part) => {
                self.on_leave_spread(&agent, part, now_ms, effects)
            }
            Body::Obtained(obtained) => {
                self.on_obtained(&agent, obtained, now_ms, effects)
            }
            Body::Piece(piece) => self.on_piece(piece, effects),
            Body::Ended(ended) => {
                self.on_ended(&agent, ended, now_ms, effects)
            }
            Body::QueryReply(known) => self.on_query_reply(known, effects),
            _ => log_misplaced_frame(&agent, effects),
        }
    }

    fn on_entry_up(
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
            last_heard_ms: now_ms,
        };
        self.peers.insert(name.clone(), peer);
        effects.push(Effect::ToEntry(name, self.heartbeat()));
        self.broadcast_entries(effects);
    }

    fn on_entry_down(&mut self, name: &Name, effects: &mut Vec<Effect>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = false;
            peer.is_up = false;
        }
        self.broadcast_entries(effects);
    }

    fn handle_entry_message(
        &mut self,
        entry: Name,
        body: Body,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.record_entry_contact(&entry, now_ms, effects);
        match body {
            Body::Heartbeat(beat) => {
                self.handle_entry_heartbeat(&entry, beat, effects)
            }
            Body::SettingsRequest(_) => {
                let settings = self.settings_body();
                effects
                    .extend(settings.map(|body| Effect::ToEntry(entry, body)));
            }
            Body::Entries(entries) => self.dial_new_entries(entries, effects),
            Body::ShareRequest(request) => {
                self.on_share_request(entry, request, now_ms, effects)
            }
            Body::ShareLease(lease) => self.on_share_lease(&lease, now_ms),
            _ => log_misplaced_frame(&entry, effects),
        }
    }

    /// Records that a message came from a peer. A peer that was marked down
    /// for its silence (a frozen process, a cut link) is up again.
    fn record_entry_contact(
        &mut self,
        entry: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(entry) else { return };
        peer.last_heard_ms = now_ms;
        if peer.is_linked && !peer.is_up {
            peer.is_up = true;
            self.broadcast_entries(effects);
        }
    }

    fn handle_entry_heartbeat(
        &mut self,
        entry: &Name,
        beat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(entry) else { return };
        let has_started_leaving = beat.leaving && !peer.leaving;
        peer.leaving = beat.leaving;
        peer.revision = beat.settings_revision;
        if beat.settings_revision > self.revision.in_force() {
            self.request_settings(entry.clone(), effects);
        }
        if has_started_leaving {
            self.broadcast_entries(effects);
        }
    }

    /// Marks entry hosts down that have been silent for
    /// [`SILENCE_TIMEOUT_MS`], so that callers and agents are not directed to
    /// them. Their connections may still be open: a frozen process or a cut
    /// link does not close them.
    fn mark_silent_entries_down(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let mut has_changed = false;
        for peer in self.peers.values_mut() {
            let is_heard = now_ms < peer.last_heard_ms + SILENCE_TIMEOUT_MS;
            if peer.is_up && !is_heard {
                peer.is_up = false;
                has_changed = true;
            }
        }
        if has_changed {
            self.broadcast_entries(effects);
        }
    }

    fn dial_new_entries(
        &mut self,
        entries: Entries,
        effects: &mut Vec<Effect>,
    ) {
        for entry in entries.entries {
            let is_new = !self.peers.contains_key(entry.name.as_str())
                && *entry.name != *self.config.name;
            if is_new {
                effects.push(Effect::DialEntry(entry));
            }
        }
    }

    /// Sends the list of entry hosts to all agents and to the entry hosts
    /// that are up.
    fn broadcast_entries(&self, effects: &mut Vec<Effect>) {
        let body = Body::Entries(self.entries_body());
        for agent in self.agents.keys() {
            effects.push(Effect::ToAgent(agent.clone(), body.clone()));
        }
        for (name, _) in self.peers.iter().filter(|(_, peer)| peer.is_up) {
            effects.push(Effect::ToEntry(name.clone(), body.clone()));
        }
    }

    /// Returns the entry hosts that take new work, with the addresses that
    /// agents and entry hosts connect to.
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

    /// Returns the names of the entry hosts that take new work, including
    /// this one unless it is leaving.
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

    fn broadcast_heartbeat(&self, effects: &mut Vec<Effect>) {
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
        effects.push(Effect::Finish(request, FinalResponse::new(code)));
    }

    fn leave(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.leaving_since_ms.is_some() {
            return;
        }
        self.leaving_since_ms = Some(now_ms);
        effects.push(Effect::Log(LogEvent::Stopping, String::new()));
        effects.push(Effect::Watch(false));
        self.watching = false;
        self.broadcast_heartbeat(effects);
        self.broadcast_entries(effects);
    }

    fn stop_if_done(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let is_done = self.leaving_since_ms.is_some_and(|leaving_since_ms| {
            now_ms >= leaving_since_ms + LINGER_MS && self.requests.is_empty()
        });
        if is_done {
            effects.push(Effect::Stop);
        }
    }
}

fn log_misplaced_frame(from: &Name, effects: &mut Vec<Effect>) {
    effects.push(Effect::Log(LogEvent::BadFrame, from.to_string()));
}
