//! `raildale-agent`: the I/O shell around the agent's reducer.
//!
//! Turns effects into I/O and I/O into events. All decisions are made by the
//! reducer.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use raildale_core::{
    Digest, LogEvent, Manifest, Name,
    agent::{Agent, AgentConfig, Effect, Event, RunOrder, Scheme},
    message::{Body, Identity, PeerAddress},
    request::{ledger::LedgerConfig, run_key::ClusterKey},
    spread::download::Source,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, watch},
    task::AbortHandle,
};

use crate::{
    chunk_store::ChunkStore,
    clock::Clock,
    config::{AgentFile, SchemeName},
    error::Error,
    http_client::HttpClient,
    link::{self, LinkEvent, LinkHandle, Links, Side},
    logs,
    metrics::Metrics,
    metrics_page,
    origin::Origin,
    pacer::Pacer,
    settings_text,
    signals::{SignalEvent, Signals},
    target::Target,
    trace::Span,
};

/// Interval between the reducer's tick events.
const TICK: Duration = Duration::from_millis(50);

/// The maximum number of chunks that are staged at the target at once.
const MAX_CONCURRENT_STAGINGS: usize = 4;

/// Time without a message after which a connection to an entry host is
/// closed. Entry hosts send two messages a second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Runs the agent until it has been told to leave and no run is in progress.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if its address cannot be bound.
pub async fn run(file: AgentFile, signals: Signals) -> Result<(), Error> {
    let clock = Clock::new();
    let listener = TcpListener::bind(file.node.listen).await?;
    let mut shell = Shell::new(file, clock);
    shell.start(listener);
    shell.serve(signals).await;
    Ok(())
}

/// The connections to one peer agent.
#[derive(Debug, Default)]
struct PeerLinks {
    dialling: Option<AbortHandle>,
    dialled: Option<LinkHandle>,
    accepted: Option<LinkHandle>,
    /// Chunk requests to send once the dialled connection is up.
    waiting: Vec<Body>,
}

struct Shell {
    file: AgentFile,
    clock: Clock,
    process: Arc<str>,
    agent: Agent,
    peer_links: Arc<Links>,
    entry_links: Arc<Links>,
    links_rx: mpsc::UnboundedReceiver<LinkEvent>,
    events_tx: mpsc::UnboundedSender<Event>,
    events_rx: mpsc::UnboundedReceiver<Event>,
    arrivals_tx: mpsc::UnboundedSender<Arrival>,
    arrivals_rx: mpsc::UnboundedReceiver<Arrival>,
    entries: HashMap<Name, LinkHandle>,
    entry_dials: HashMap<SocketAddr, AbortHandle>,
    peers: HashMap<Name, PeerLinks>,
    store: ChunkStore,
    runs: HashMap<Name, (AbortHandle, Option<Span>)>,
    origin: Origin,
    target: Target,
    staging: Arc<Semaphore>,
    metrics: Arc<Metrics>,
    is_done: bool,
}

/// The result of fetching a chunk from the origin or a peer; `data` is `None`
/// if the fetch failed.
struct Arrival {
    manifest: Digest,
    index: usize,
    data: Option<Bytes>,
}

impl Shell {
    fn new(file: AgentFile, clock: Clock) -> Shell {
        let process: Arc<str> = file.node.name.as_str().into();
        let (links_tx, links_rx) = mpsc::unbounded_channel();
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        let (arrivals_tx, arrivals_rx) = mpsc::unbounded_channel();
        let identity = identity(&file, clock);
        let spread_rate =
            file.link.bytes_per_s * file.link.spread_percent / 100;
        let links = |idle_timeout, pacer| {
            Arc::new(Links {
                identity: identity.clone(),
                key: ClusterKey::new(&file.node.cluster_key),
                bind_ip: file.node.listen.ip(),
                pacer,
                dialled_idle_timeout: idle_timeout,
                accepted_idle_timeout: None,
                process: process.clone(),
                events: links_tx.clone(),
                shutdown: watch::Sender::new(false),
            })
        };
        let http = HttpClient::new(Some(file.node.listen.ip()));
        let agent = Agent::new(agent_config(&file, clock), clock.now_ms());
        Shell {
            peer_links: links(None, Some(Pacer::new(spread_rate))),
            entry_links: links(Some(IDLE_TIMEOUT), None),
            origin: Origin::new(http.clone(), file.origin.address),
            target: Target::new(http, file.target.address),
            staging: Arc::new(Semaphore::new(MAX_CONCURRENT_STAGINGS)),
            metrics: Arc::new(Metrics::new()),
            file,
            clock,
            process,
            agent,
            links_rx,
            events_tx,
            events_rx,
            arrivals_tx,
            arrivals_rx,
            entries: HashMap::new(),
            entry_dials: HashMap::new(),
            peers: HashMap::new(),
            store: ChunkStore::new(),
            runs: HashMap::new(),
            is_done: false,
        }
    }

    fn start(&mut self, listener: TcpListener) {
        tokio::spawn(self.peer_links.clone().accept_all(listener));
        for address in self.file.node.entries.clone() {
            let task = self.entry_links.dial(address, true);
            self.entry_dials.insert(address, task);
        }
        if let Some(address) = self.file.metrics {
            metrics_page::start(address, self.metrics.clone());
        }
        logs::event(&self.process, LogEvent::Started, "agent");
    }

    async fn serve(&mut self, mut signals: Signals) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.is_done {
            tokio::select! {
                _ = tick.tick() => {
                    self.update_gauges();
                    self.reduce(Event::Tick);
                }
                Some(event) = self.events_rx.recv() => {
                    self.on_event(event);
                }
                Some(event) = self.links_rx.recv() => {
                    self.on_link(event);
                }
                Some(arrival) = self.arrivals_rx.recv() => {
                    self.on_arrival(arrival, Source::Origin);
                }
                signal = signals.next() => self.on_signal(signal),
            }
        }
        self.close_links().await;
        logs::event(&self.process, LogEvent::Stopped, "agent");
    }

    fn on_signal(&mut self, signal: SignalEvent) {
        match signal {
            SignalEvent::Stop => self.reduce(Event::Leave),
            // The settings file is only read at start.
            SignalEvent::SettingsChanged => self.log(
                LogEvent::Reloaded,
                "the settings file is only read at start",
            ),
        }
    }

    /// Closes the connections to agents and entry hosts, each once its queued
    /// messages are written.
    async fn close_links(&mut self) {
        self.entries.clear();
        self.peers.clear();
        let (entries, peers) = (&self.entry_links, &self.peer_links);
        let ended = async {
            let (entries, peers) = tokio::join!(
                entries.shut_down(IDLE_TIMEOUT),
                peers.shut_down(IDLE_TIMEOUT)
            );
            entries + peers
        };
        let open =
            link::discard_events_during(&mut self.links_rx, ended).await;
        if open > 0 {
            log::warn!("{open} connections to other processes are still open");
        }
    }

    fn on_event(&mut self, event: Event) {
        if let Event::RunEnded(key, code) = &event
            && let Some((_, Some(span))) = self.runs.remove(key)
        {
            span.end(code.number());
        }
        self.reduce(event);
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(identity, side, handle) => {
                self.link_up(identity, side, handle);
            }
            LinkEvent::Down(name, side, id) => self.link_down(name, side, id),
            LinkEvent::Message(name, _, body) => self.on_message(name, body),
            LinkEvent::Sent(peer, manifest, index) => {
                self.reduce(Event::ChunkSent { peer, manifest, index });
            }
        }
    }

    fn link_up(&mut self, identity: Identity, side: Side, link: LinkHandle) {
        let name: Name = identity.name.as_str().into();
        self.log(LogEvent::PeerUp, &format!("{name}, {side:?}"));
        if !identity.is_agent {
            self.entries.insert(name, link);
            return self.reduce(Event::EntryUp(identity));
        }
        let peer = self.peers.entry(name.clone()).or_default();
        match side {
            Side::Accepted => peer.accepted = Some(link),
            Side::Dialled => {
                for body in peer.waiting.drain(..) {
                    link.send(body);
                }
                peer.dialled = Some(link);
                self.reduce(Event::PeerUp(name));
            }
        }
    }

    /// Handles the end of a connection. If a newer one has replaced it, the
    /// end is only logged.
    fn link_down(&mut self, name: Name, side: Side, id: u64) {
        self.log(LogEvent::PeerDown, &format!("{name}, {side:?}"));
        let is_current = |link: &Option<LinkHandle>| {
            link.as_ref().is_some_and(|l| l.id == id)
        };
        if self.entries.get(&name).is_some_and(|link| link.id == id) {
            self.entries.remove(&name);
            return self.reduce(Event::EntryDown(name));
        }
        let Some(peer) = self.peers.get_mut(&name) else { return };
        match side {
            Side::Dialled if is_current(&peer.dialled) => {
                peer.dialled = None;
                self.reduce(Event::PeerDown(name));
            }
            Side::Accepted if is_current(&peer.accepted) => {
                peer.accepted = None;
                self.reduce(Event::PeerLeft(name));
            }
            _ => {}
        }
    }

    fn on_message(&mut self, name: Name, body: Body) {
        match body {
            Body::ChunkData(chunk) => {
                let Some(manifest) = Digest::from_slice(&chunk.manifest)
                else {
                    return;
                };
                let data = Some(Bytes::from(chunk.data));
                let index = chunk.index as usize;
                let arrival = Arrival { manifest, index, data };
                self.on_arrival(arrival, Source::Peer(name));
            }
            Body::Manifest(body) => {
                if let Some(manifest) = Manifest::decode(&body.encoded) {
                    self.reduce(Event::ManifestArrived(manifest));
                }
            }
            Body::Settings(body) => {
                self.on_settings(body.revision, &body.text)
            }
            body if self.entries.contains_key(&name) => {
                self.reduce(Event::FromEntry(name, body));
            }
            body => self.reduce(Event::FromPeer(name, body)),
        }
    }

    fn on_settings(&mut self, revision: u64, text: &str) {
        match settings_text::parse(text) {
            Ok(tree) => self.reduce(Event::Settings {
                revision,
                text: text.into(),
                tree: Box::new(tree),
            }),
            Err(error) => {
                let detail = format!("revision {revision}: {error}");
                self.log(LogEvent::SettingsUnreadable, &detail);
            }
        }
    }

    fn on_arrival(&mut self, arrival: Arrival, source: Source) {
        let Arrival { manifest, index, data } = arrival;
        if let Some(data) = &data {
            let label = match source {
                Source::Origin => "from=\"origin\"",
                Source::Peer(_) => "from=\"peer\"",
            };
            let bytes = data.len() as u64;
            self.metrics.add("chunk_bytes_total", label, bytes);
        }
        let digest = data.map(|data| self.store.insert_unverified(data));
        self.reduce(Event::ChunkArrived { manifest, index, source, digest });
    }

    fn reduce(&mut self, event: Event) {
        let mut effects = vec![];
        self.agent.reduce(self.clock.now_ms(), event, &mut effects);
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::ToEntry(name, body) => {
                if let Some(link) = self.entries.get(&name) {
                    link.send(body);
                }
            }
            Effect::DialEntry(entry) => self.dial_entry(&entry),
            Effect::Dial { name, address } => self.dial_peer(name, &address),
            Effect::Disconnect(name) => self.hangup(&name),
            Effect::ToPeer(name, body) => self.send_to_peer(name, body),
            Effect::ReplyToPeer(name, body) => {
                if let Some(link) = self.accepted(&name) {
                    link.send(body);
                }
            }
            Effect::SendChunk { peer, manifest, index, digest } => {
                self.send_chunk(&peer, manifest, index, digest);
            }
            Effect::FetchOrigin { manifest, origin_path, index } => {
                self.fetch_origin(manifest, origin_path, index);
            }
            Effect::KeepChunk(digest) => self.store.keep(digest),
            Effect::Discard(digest) => self.store.discard(digest),
            Effect::DropChunk(digest) => self.store.drop_kept(digest),
            Effect::Stage { manifest, index, digest, round } => {
                self.stage(manifest, index, digest, round);
            }
            Effect::Activate { model, manifest, fence } => {
                let target = self.target.clone();
                let events = self.events_tx.clone();
                tokio::spawn(async move {
                    let activated =
                        target.activate(&model, manifest, fence).await;
                    let done = Event::Activated { model, manifest, activated };
                    let _ = events.send(done);
                });
            }
            Effect::CheckTarget => {
                let target = self.target.clone();
                let events = self.events_tx.clone();
                tokio::spawn(async move {
                    if let Some(served) = target.served_models().await {
                        let _ = events.send(Event::TargetServes(served));
                    }
                });
            }
            Effect::StartRun(order) => self.start_run(order),
            Effect::StopRun(key) => self.stop_run(key),
            Effect::Stop => self.is_done = true,
            Effect::Log(event, detail) => self.log(event, &detail),
        }
    }

    fn accepted(&self, name: &Name) -> Option<&LinkHandle> {
        self.peers.get(name)?.accepted.as_ref()
    }

    fn dial_entry(&mut self, entry: &PeerAddress) {
        let Ok(address) = entry.address.parse() else { return };
        let links = &self.entry_links;
        let known = self.entry_dials.get(&address);
        if known.is_none_or(|task| task.is_finished()) {
            self.entry_dials.insert(address, links.dial(address, false));
        }
    }

    fn dial_peer(&mut self, name: Name, address: &str) {
        let Ok(address) = address.parse() else { return };
        let links = &self.peer_links;
        let peer = self.peers.entry(name).or_default();
        if peer.dialling.as_ref().is_none_or(|task| task.is_finished()) {
            peer.dialling = Some(links.dial(address, false));
        }
    }

    fn hangup(&mut self, name: &Name) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(task) = peer.dialling.take() {
            task.abort();
        }
        if let Some(link) = peer.dialled.take() {
            link.close();
        }
        peer.waiting.clear();
    }

    /// Sends a message to a peer. Until the peer is connected, chunk requests
    /// are queued and all other messages are dropped.
    fn send_to_peer(&mut self, name: Name, body: Body) {
        let peer = self.peers.entry(name).or_default();
        match &peer.dialled {
            Some(link) => link.send(body),
            None if matches!(body, Body::ChunkRequest(_)) => {
                peer.waiting.push(body);
            }
            // A peer that connects is told which chunks are held anyway.
            None => {}
        }
    }

    fn send_chunk(
        &mut self,
        peer: &Name,
        manifest: Digest,
        index: usize,
        digest: Digest,
    ) {
        let data = self.store.get(&digest);
        match (self.accepted(peer), data) {
            (Some(link), Some(data)) => {
                let bytes = data.len() as u64;
                link.send_chunk(manifest, index, data);
                self.metrics.add("chunk_sent_bytes_total", "", bytes);
            }
            _ => {
                let peer = peer.clone();
                let sent = Event::ChunkSent { peer, manifest, index };
                let _ = self.events_tx.send(sent);
            }
        }
    }

    fn fetch_origin(
        &self,
        manifest: Digest,
        origin_path: String,
        index: usize,
    ) {
        let origin = self.origin.clone();
        let arrivals = self.arrivals_tx.clone();
        tokio::spawn(async move {
            let data = origin.chunk(&origin_path, index).await;
            let _ = arrivals.send(Arrival { manifest, index, data });
        });
    }

    fn stage(
        &self,
        manifest: Digest,
        index: usize,
        digest: Digest,
        round: u64,
    ) {
        let Some(data) = self.store.get(&digest) else { return };
        let target = self.target.clone();
        let events = self.events_tx.clone();
        let staging = self.staging.clone();
        tokio::spawn(async move {
            let Ok(_permit) = staging.acquire().await else { return };
            let stored = target.stage(manifest, index, data).await;
            if !stored {
                // Avoids a tight retry loop while the target is down.
                tokio::time::sleep(TICK * 10).await;
            }
            let _ =
                events.send(Event::Staged { manifest, index, round, stored });
        });
    }

    fn start_run(&mut self, mut order: RunOrder) {
        let span = Span::new(
            "agent.run",
            &self.process,
            &order.traceparent,
            self.file.node.spans,
        );
        order.traceparent = span.context().to_traceparent();
        let key = order.key.clone();
        let target = self.target.clone();
        let events = self.events_tx.clone();
        let task =
            tokio::spawn(async move { target.run(order, events).await });
        self.runs.insert(key, (task.abort_handle(), Some(span)));
    }

    /// Aborts a run. Dropping the exchange closes its connection, which tells
    /// the target to stop.
    fn stop_run(&mut self, key: Name) {
        if let Some((task, _)) = self.runs.get(&key) {
            task.abort();
            let ended = Event::RunEnded(key, raildale_core::Code::Cancelled);
            let _ = self.events_tx.send(ended);
        }
    }

    fn log(&self, event: LogEvent, detail: &str) {
        let label = format!("event=\"{}\"", event.number());
        self.metrics.add("events_total", &label, 1);
        logs::event(&self.process, event, detail);
    }

    fn update_gauges(&self) {
        let running = self.agent.ledger().running() as u64;
        self.metrics.set("runs_in_progress", "", running);
        self.metrics.set("run_keys", "", self.agent.ledger().len() as u64);
        self.metrics.set("settings_revision", "", self.agent.revision());
        self.metrics.set("kept_bytes", "", self.store.kept_bytes());
    }
}

fn identity(file: &AgentFile, clock: Clock) -> Identity {
    Identity {
        name: file.node.name.clone(),
        incarnation: clock.incarnation(),
        is_agent: true,
        data_centre: file.node.data_centre.clone(),
        region: file.node.region.clone(),
        address: file.node.address().to_string(),
        http_address: String::new(),
        pool: file.target.pool.clone(),
    }
}

fn agent_config(file: &AgentFile, clock: Clock) -> AgentConfig {
    AgentConfig {
        name: file.node.name.as_str().into(),
        incarnation: clock.incarnation(),
        pool: file.target.pool.as_str().into(),
        link_bytes_per_s: file.link.bytes_per_s,
        chunk_bytes: file.link.chunk_bytes,
        window: file.link.window,
        upload_slots: file.link.upload_slots,
        upload_places: file.link.upload_places,
        capacity: file.target.capacity,
        ledger: LedgerConfig::default(),
        scheme: match file.link.scheme {
            SchemeName::Swarm => Scheme::Swarm,
            SchemeName::Origin => Scheme::Origin,
        },
        seeds: file.node.entries.len(),
        seed: rand::random(),
    }
}
