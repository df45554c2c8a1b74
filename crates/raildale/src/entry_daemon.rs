//! `raildale-entry`: the I/O shell around the entry host's reducer.
//!
//! Turns effects into I/O and I/O into events. All decisions are made by the
//! reducer.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use raildale_core::{
    Code, Digest, LogEvent, Name,
    entry::{Effect, Entry, EntryConfig, Event, FinalResponse},
    message::{Body, Entries, Identity, PeerAddress},
    request::{routing::Policy, run_key::ClusterKey},
    spread::tracker::TrackerConfig,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::{Interval, MissedTickBehavior},
};

use crate::{
    clock::Clock,
    config::EntryFile,
    error::Error,
    http_api::{self, Api},
    http_client::HttpClient,
    http_server::Shutdown,
    link::{self, LinkEvent, LinkHandle, Links, Side},
    logs,
    metrics::Metrics,
    origin::Origin,
    platform::Platform,
    settings_text,
    settings_watch::{self, WatchEvent},
    signals::{SignalEvent, Signals},
    status::Status,
};

/// Interval between the reducer's tick events.
const TICK: Duration = Duration::from_millis(20);

/// Time without a message after which an accepted connection is closed.
/// Agents and entry hosts send two messages a second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the last answers may take to be written during shutdown. Longer
/// than any pause of a caller that still wants its answer.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(15);

/// A message from the HTTP handlers to the shell.
#[derive(Debug)]
pub enum Input {
    /// An event with a response.
    Call {
        /// The request's number, unique in the process.
        request: u64,
        /// The event for the reducer.
        event: Event,
        /// Receives the parts of the response.
        reply: mpsc::UnboundedSender<Reply>,
    },
    /// An event without a response.
    Notify(Event),
    /// A query for the status of the process.
    Status(oneshot::Sender<Box<Status>>),
}

/// A part of the response to an [`Input::Call`].
#[derive(Debug)]
pub enum Reply {
    /// A piece of a streamed answer.
    Piece(Vec<u8>),
    /// The final response; nothing follows it.
    Final(FinalResponse),
}

/// Runs the entry host until it has been told to leave and no request is in
/// progress.
///
/// # Errors
///
/// [`crate::ErrorKind::Io`] if one of its addresses cannot be bound.
pub async fn run(file: EntryFile, signals: Signals) -> Result<(), Error> {
    let clock = Clock::new();
    let listener = TcpListener::bind(file.node.listen).await?;
    let http = TcpListener::bind(file.http.listen).await?;
    let mut shell = Shell::new(file, clock, signals);
    shell.start(listener, http);
    shell.serve().await;
    Ok(())
}

struct Shell {
    file: EntryFile,
    clock: Clock,
    process: Arc<str>,
    entry: Entry,
    links: Arc<Links>,
    links_rx: mpsc::UnboundedReceiver<LinkEvent>,
    inputs_tx: mpsc::UnboundedSender<Input>,
    inputs_rx: mpsc::UnboundedReceiver<Input>,
    watch_tx: mpsc::UnboundedSender<WatchEvent>,
    watch_rx: mpsc::UnboundedReceiver<WatchEvent>,
    watching: watch::Sender<bool>,
    agents: HashMap<Name, LinkHandle>,
    entries: HashMap<Name, LinkHandle>,
    /// Connections that other entry hosts dialled. Nothing is sent over them;
    /// the handles are held because dropping one closes its connection.
    accepted_entries: HashMap<Name, LinkHandle>,
    dialling: HashMap<SocketAddr, AbortHandle>,
    replies: HashMap<u64, mpsc::UnboundedSender<Reply>>,
    platform: Platform,
    origin: Origin,
    metrics: Arc<Metrics>,
    signals: Signals,
    tick: Interval,
    http_shutdown: Arc<Shutdown>,
    is_done: bool,
}

impl Shell {
    fn new(file: EntryFile, clock: Clock, signals: Signals) -> Shell {
        let process: Arc<str> = file.node.name.as_str().into();
        let (links_tx, links_rx) = mpsc::unbounded_channel();
        let (inputs_tx, inputs_rx) = mpsc::unbounded_channel();
        let (watch_tx, watch_rx) = mpsc::unbounded_channel();
        let key = ClusterKey::new(&file.node.cluster_key);
        let links = Arc::new(Links {
            identity: identity(&file, clock),
            key: key.clone(),
            bind_ip: file.node.listen.ip(),
            pacer: None,
            dialled_idle_timeout: None,
            accepted_idle_timeout: Some(IDLE_TIMEOUT),
            process: process.clone(),
            events: links_tx,
            shutdown: watch::Sender::new(false),
        });
        let http = HttpClient::new(Some(file.node.listen.ip()));
        let config = entry_config(&file, key, clock);
        Shell {
            entry: Entry::new(config, clock.now_ms()),
            platform: Platform::new(http.clone(), &file.platform),
            origin: Origin::new(http, file.origin.address),
            metrics: Arc::new(Metrics::new()),
            file,
            clock,
            process,
            links,
            links_rx,
            inputs_tx,
            inputs_rx,
            watch_tx,
            watch_rx,
            watching: watch::Sender::new(false),
            agents: HashMap::new(),
            entries: HashMap::new(),
            accepted_entries: HashMap::new(),
            dialling: HashMap::new(),
            replies: HashMap::new(),
            signals,
            tick: tick_interval(),
            http_shutdown: Arc::new(Shutdown::new()),
            is_done: false,
        }
    }

    fn start(&mut self, listener: TcpListener, http: TcpListener) {
        tokio::spawn(self.links.clone().accept_all(listener));
        for address in self.file.node.entries.clone() {
            if address != self.file.node.address() {
                let task = self.links.dial(address, true);
                self.dialling.insert(address, task);
            }
        }
        settings_watch::start(
            self.platform.clone(),
            self.watching.subscribe(),
            self.watch_tx.clone(),
        );
        let api = Api::new(
            self.inputs_tx.clone(),
            self.platform.clone(),
            self.metrics.clone(),
            self.process.clone(),
            self.file.http.bootstrap_key_hash.clone(),
            self.file.node.spans,
            self.clock,
        );
        let shutdown = self.http_shutdown.clone();
        tokio::spawn(http_api::serve(http, api, shutdown));
        logs::event(&self.process, LogEvent::Started, "entry host");
    }

    async fn serve(&mut self) {
        while !self.is_done {
            self.step().await;
        }
        self.close_connections().await;
        self.close_links().await;
        logs::event(&self.process, LogEvent::Stopped, "entry host");
    }

    async fn step(&mut self) {
        tokio::select! {
            _ = self.tick.tick() => {
                self.update_gauges();
                self.reduce(Event::Tick);
            }
            Some(input) = self.inputs_rx.recv() => self.on_input(input),
            Some(event) = self.links_rx.recv() => self.on_link(event),
            Some(event) = self.watch_rx.recv() => {
                self.on_watch_event(event);
            }
            signal = self.signals.next() => self.on_signal(signal),
        }
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

    /// Closes callers' connections, each once its answer is written. Requests
    /// that arrive meanwhile are still answered.
    async fn close_connections(&mut self) {
        let shutdown = self.http_shutdown.clone();
        let mut ended =
            std::pin::pin!(shutdown.shut_down(LAST_ANSWERS_TIMEOUT));
        loop {
            tokio::select! {
                open = &mut ended => {
                    if open > 0 {
                        log::warn!("{open} HTTP connections are still open");
                    }
                    return;
                }
                () = self.step() => {}
            }
        }
    }

    /// Closes the connections to agents and entry hosts, each once its queued
    /// messages are written.
    async fn close_links(&mut self) {
        self.agents.clear();
        self.entries.clear();
        self.accepted_entries.clear();
        let ended = self.links.shut_down(IDLE_TIMEOUT);
        let open =
            link::discard_events_during(&mut self.links_rx, ended).await;
        if open > 0 {
            log::warn!("{open} connections to other processes are still open");
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Call { request, event, reply } => {
                self.replies.insert(request, reply);
                self.reduce(event);
            }
            Input::Notify(event) => {
                if let Event::CallerGone(request) = &event {
                    self.replies.remove(request);
                }
                self.reduce(event);
            }
            Input::Status(reply) => {
                let now_ms = self.clock.now_ms();
                let status = Status::new(&self.process, &self.entry, now_ms);
                let _ = reply.send(Box::new(status));
            }
        }
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(identity, side, link) => {
                self.link_up(identity, side, link);
            }
            LinkEvent::Down(name, side, id) => self.link_down(name, side, id),
            LinkEvent::Message(name, _, body) => self.on_message(name, body),
            LinkEvent::Sent(..) => {}
        }
    }

    fn link_up(&mut self, identity: Identity, side: Side, link: LinkHandle) {
        let name: Name = identity.name.as_str().into();
        self.log(LogEvent::PeerUp, &format!("{name}, {side:?}"));
        match (identity.is_agent, side) {
            (true, _) => {
                self.agents.insert(name, link);
                self.reduce(Event::AgentUp(identity));
            }
            (false, Side::Dialled) => {
                self.entries.insert(name, link);
                self.reduce(Event::EntryUp(identity));
            }
            // The peer may not be known yet; the reducer then dials it back.
            (false, Side::Accepted) => {
                self.accepted_entries.insert(name.clone(), link);
                let peer = PeerAddress {
                    name: identity.name,
                    address: identity.address,
                };
                let body = Body::Entries(Entries { entries: vec![peer] });
                self.reduce(Event::FromEntry(name, body));
            }
        }
    }

    fn link_down(&mut self, name: Name, side: Side, id: u64) {
        self.log(LogEvent::PeerDown, &format!("{name}, {side:?}"));
        let is_current =
            |link: Option<&LinkHandle>| link.is_some_and(|link| link.id == id);
        if is_current(self.agents.get(&name)) {
            self.agents.remove(&name);
            return self.reduce(Event::AgentDown(name));
        }
        if is_current(self.accepted_entries.get(&name)) {
            self.accepted_entries.remove(&name);
        }
        if side == Side::Dialled && is_current(self.entries.get(&name)) {
            self.entries.remove(&name);
            self.reduce(Event::EntryDown(name));
        }
    }

    fn on_message(&mut self, name: Name, body: Body) {
        match body {
            Body::Settings(body) => {
                self.on_settings(body.revision, &body.text);
            }
            body if self.agents.contains_key(&name) => {
                self.reduce(Event::FromAgent(name, body));
            }
            body => self.reduce(Event::FromEntry(name, body)),
        }
    }

    fn on_watch_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Settings { revision, text } => {
                self.on_settings(revision, &text);
            }
            WatchEvent::Down => self.log(LogEvent::PlatformDown, ""),
            WatchEvent::Back => self.log(LogEvent::PlatformBack, ""),
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

    fn reduce(&mut self, event: Event) {
        let mut effects = vec![];
        self.entry.reduce(self.clock.now_ms(), event, &mut effects);
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::ToAgent(name, body) => {
                if let Some(link) = self.agents.get(&name) {
                    link.send(body);
                }
            }
            Effect::ToEntry(name, body) => {
                if let Some(link) = self.entries.get(&name) {
                    link.send(body);
                }
            }
            Effect::DialEntry(peer) => self.dial(&peer),
            Effect::Stream(request, data) => {
                if let Some(reply) = self.replies.get(&request) {
                    let _ = reply.send(Reply::Piece(data));
                }
            }
            Effect::Finish(request, response) => {
                self.finish(request, response)
            }
            Effect::ReadManifest { digest, origin_path } => {
                self.read_manifest(digest, origin_path);
            }
            Effect::Watch(watching) => {
                self.watching.send_replace(watching);
            }
            Effect::Stop => self.is_done = true,
            Effect::Log(event, detail) => self.log(event, &detail),
        }
    }

    fn dial(&mut self, peer: &PeerAddress) {
        let Ok(address) = peer.address.parse() else { return };
        let links = &self.links;
        let known = self.dialling.get(&address);
        if known.is_none_or(|task| task.is_finished()) {
            self.dialling.insert(address, links.dial(address, false));
        }
    }

    fn finish(&mut self, request: u64, response: FinalResponse) {
        let label = format!("code=\"{}\"", response.code.number());
        self.metrics.add("answers_total", &label, 1);
        if let Some(reply) = self.replies.remove(&request) {
            let _ = reply.send(Reply::Final(response));
        }
    }

    fn read_manifest(&self, digest: Digest, origin_path: String) {
        let origin = self.origin.clone();
        let inputs = self.inputs_tx.clone();
        tokio::spawn(async move {
            let manifest = origin.manifest(&origin_path).await;
            let read = Event::ManifestRead { digest, manifest };
            let _ = inputs.send(Input::Notify(read));
        });
    }

    fn log(&self, event: LogEvent, detail: &str) {
        let label = format!("event=\"{}\"", event.number());
        self.metrics.add("events_total", &label, 1);
        logs::event(&self.process, event, detail);
    }

    fn update_gauges(&self) {
        let in_progress = self.entry.in_progress() as u64;
        self.metrics.set("requests_in_progress", "", in_progress);
        self.metrics.set("settings_revision", "", self.entry.revision());
        self.metrics.set("agents", "", self.agents.len() as u64);
    }
}

fn tick_interval() -> Interval {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}

fn identity(file: &EntryFile, clock: Clock) -> Identity {
    Identity {
        name: file.node.name.clone(),
        incarnation: clock.incarnation(),
        is_agent: false,
        data_centre: file.node.data_centre.clone(),
        region: file.node.region.clone(),
        address: file.node.address().to_string(),
        http_address: http_address(file),
        pool: String::new(),
    }
}

fn http_address(file: &EntryFile) -> String {
    file.http.advertise.unwrap_or(file.http.listen).to_string()
}

fn entry_config(
    file: &EntryFile,
    cluster_key: ClusterKey,
    clock: Clock,
) -> EntryConfig {
    let spread = &file.spread;
    let own = file.node.address();
    EntryConfig {
        name: file.node.name.as_str().into(),
        incarnation: clock.incarnation(),
        data_centre: file.node.data_centre.as_str().into(),
        http_address: http_address(file),
        address: own.to_string(),
        cluster_key,
        tracker: TrackerConfig {
            origin_slots: spread.origin_slots,
            crossing_slots: spread.crossing_slots,
            max_neighbours: spread.max_neighbours,
            gather_ms: spread.gather_ms,
            grant_timeout_ms: spread.grant_timeout_ms,
            origin_data_centre: file.origin.data_centre.as_str().into(),
        },
        policy: Policy::TwoChoices,
        has_seeds: file.node.entries.iter().any(|seed| *seed != own),
        seed: rand::random(),
    }
}

/// The code of responses that are lost because the process stops.
pub(crate) const SHUTDOWN_CODE: Code = Code::Unknown;
