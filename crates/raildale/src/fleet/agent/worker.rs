//! The loop of an agent: events to the reducer, effects carried out.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use raildale_core::{
    LogEvent, Name,
    catalog::Kind,
    swarm::{
        Effect, Event, FetchError, Item, Peer, Source, SwapConfig, Swarm,
        SwarmConfig,
    },
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};

use super::{
    links::{Links, Question},
    reports::Reports,
    server::Server,
};
use crate::{
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store, WeightOrigin, WeightTarget},
        settings::{FleetFile, TargetSettings},
        steady_clock::now_ms,
    },
    logs,
};

/// Transfers at once.
const PARALLEL: usize = 6;

/// The share of the link that chunks may use: answers to callers leave by
/// the same link.
const LINK_SHARE: f64 = 0.85;

/// Time between two looks at the target while nothing is under way.
const CALM_LOOK: Duration = Duration::from_millis(100);

/// Time between two looks at the target while weights are on their way.
const BUSY_LOOK: Duration = Duration::from_millis(50);

/// Looks between two regular reports.
const LOOKS_PER_REPORT: u32 = 1;

/// Without a briefing for this long the store is asked, in milliseconds.
const UNBRIEFED_MS: u64 = 1_500;

/// Time between two questions to the store, in milliseconds.
const STORE_PAUSE_MS: u64 = 2_000;

/// What the store told of the service.
#[derive(Clone, Debug, Default)]
struct Facts {
    model: Option<Name>,
    origin: Option<SocketAddr>,
}

struct Agent<P> {
    platform: Rc<P>,
    name: Name,
    target: TargetSettings,
    swarm: Swarm,
    facts: Facts,
    links: Links,
    server: Server,
    reports: Reports,
    events: mpsc::UnboundedSender<Event>,
    asked_store_ms: u64,
    looks: u32,
}

/// Runs an agent for as long as the process runs.
///
/// # Errors
///
/// [`ErrorKind::Config`] if its settings name no target;
/// [`ErrorKind::Io`] if it cannot listen.
pub async fn run<P>(file: FleetFile, platform: P) -> Result<(), Error>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    let target = file.target.clone().ok_or_else(|| {
        Error::new(ErrorKind::Config, "target: an agent needs it")
    })?;
    let address = SocketAddr::new(file.node.ip, file.node.agent_port());
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(address).await?;
    let (events, mut inbox) = mpsc::unbounded_channel();
    let bytes_per_s = (file.link_bytes_per_s() * LINK_SHARE) as u64;
    let server = Server::new(events.clone(), bytes_per_s);
    let reports = Reports::new(socket, target.address);
    tokio::task::spawn_local(server.clone().run(listener));
    tokio::task::spawn_local(reports.clone().receive(events.clone()));
    let swap = SwapConfig {
        bound_ms: file.bounds.version_ms,
        ..SwapConfig::default()
    };
    let mut agent = Agent {
        platform: Rc::new(platform),
        name: Name::from(file.node.name.as_str()),
        swarm: Swarm::new(SwarmConfig {
            ip: file.node.ip,
            data_centre: Name::from(file.node.data_centre.as_str()),
            parallel: PARALLEL,
            swap,
        }),
        target,
        facts: Facts::default(),
        links: Links::new(file.node.agent_port(), events.clone()),
        server,
        reports,
        events,
        asked_store_ms: 0,
        looks: 0,
    };
    let detail = format!("role=agent ip={}", file.node.ip);
    logs::event(&agent.name, LogEvent::Started, &detail);
    agent.ask_store().await;
    loop {
        agent.look().await;
        let pause = match agent.swarm.is_calm() {
            true => CALM_LOOK,
            false => BUSY_LOOK,
        };
        let until = tokio::time::Instant::now() + pause;
        while let Ok(Some(event)) =
            tokio::time::timeout_at(until, inbox.recv()).await
        {
            agent.take(event).await;
        }
    }
}

impl<P> Agent<P>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    /// Looks at the target, and tells the entry hosts now and then.
    async fn look(&mut self) {
        let state = self.platform.state().await.unwrap_or_default();
        self.take(Event::Target(state)).await;
        self.take(Event::Tick).await;
        self.looks += 1;
        if self.looks.is_multiple_of(LOOKS_PER_REPORT) {
            self.reports.send(&self.swarm.report()).await;
        }
        let now = now_ms();
        let is_unbriefed =
            now > self.reports.last_briefing_ms() + UNBRIEFED_MS;
        let needs_facts =
            self.facts.model.is_none() || self.facts.origin.is_none();
        let is_due = now > self.asked_store_ms + STORE_PAUSE_MS;
        if (is_unbriefed || needs_facts) && is_due {
            self.ask_store().await;
        }
    }

    async fn take(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.swarm.reduce(now_ms(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect).await;
        }
    }

    async fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Fetch { version, item, source, hops } => {
                let asked_ms = now_ms();
                let question = Question { version, item, hops, asked_ms };
                match source {
                    Source::Peer(ip) => self.links.ask(ip, question),
                    Source::Origin => self.ask_origin(version, item),
                }
            }
            Effect::Answer { ticket, content } => {
                self.server.answer(ticket, content);
            }
            Effect::ReadStaging { version } => self.read_staging(version),
            Effect::Stage { version, chunks } => self.stage(version, chunks),
            Effect::Order { version, method } => {
                let Some(model) = self.facts.model.clone() else { return };
                let detail = format!("version={version} method={method:?}");
                logs::event(&self.name, LogEvent::SwapOrdered, &detail);
                let platform = self.platform.clone();
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    let is_taken =
                        platform.load(&model, version, method).await;
                    let _ = events.send(Event::Ordered { version, is_taken });
                });
            }
            Effect::Report => {
                self.reports.send(&self.swarm.report()).await;
            }
            Effect::Log(event, detail) => {
                logs::event(&self.name, event, &detail);
            }
        }
    }

    fn ask_origin(&self, version: u64, item: Item) {
        let events = self.events.clone();
        let facts = (self.facts.model.clone(), self.facts.origin);
        let (Some(model), Some(origin)) = facts else {
            let _ = events.send(not_fetched(version, item));
            return;
        };
        let platform = self.platform.clone();
        let asked_ms = now_ms();
        tokio::task::spawn_local(async move {
            let source = Source::Origin;
            let event = match item {
                Item::Manifest => {
                    let found =
                        platform.manifest(origin, &model, version).await;
                    let result = found.ok_or(FetchError::Lost);
                    Event::Manifest { version, source, result }
                }
                Item::Chunk(index) => {
                    let found =
                        platform.chunk(origin, &model, version, index).await;
                    let result = found.ok_or(FetchError::Lost);
                    let took_ms = now_ms() - asked_ms;
                    Event::Chunk { version, index, source, result, took_ms }
                }
            };
            let _ = events.send(event);
        });
    }

    fn read_staging(&self, version: u64) {
        let Some(model) = self.facts.model.clone() else { return };
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let mut chunks = Vec::new();
            for index in platform.staged(&model).await {
                if let Some(data) = platform.read_staged(&model, index).await {
                    chunks.push((index, data));
                }
            }
            let _ = events.send(Event::StagingRead { version, chunks });
        });
    }

    fn stage(&self, version: u64, chunks: Vec<bytes::Bytes>) {
        let Some(model) = self.facts.model.clone() else { return };
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let mut is_done = true;
            for (index, data) in chunks.into_iter().enumerate() {
                is_done &= platform.stage(&model, index as u32, data).await;
            }
            let _ = events.send(Event::Staged { version, is_done });
        });
    }

    /// Asks the store for what briefings tell otherwise, and for the model
    /// and the origin, which they do not.
    async fn ask_store(&mut self) {
        self.asked_store_ms = now_ms();
        let layout = self.ask_routing().await;
        self.ask_versions().await;
        self.ask_targets().await;
        // Last: transfers begin with it, and an agent that knows of no other
        // would take everything from the origin.
        if let Some(layout) = layout {
            self.take(layout).await;
        }
    }

    async fn ask_routing(&mut self) -> Option<Event> {
        let listed = self.platform.list(Kind::Configuration, true).await;
        let snapshot = listed.ok()?;
        let mut layout = None;
        for object in &snapshot.objects {
            let routing = match self.platform.routing(&object.body) {
                Ok(routing) => routing,
                Err(error) => {
                    log::warn!("configuration: {error}");
                    continue;
                }
            };
            self.facts.origin =
                routing.services().find_map(|service| service.origin);
            let Some(service) = routing.service(&self.target.service) else {
                continue;
            };
            let Some(engine) = &service.engine else { continue };
            self.facts.model = engine.models.first().cloned();
            let chunk_count = engine.chunk_count;
            let may_cut = routing.is_resumable(&service.name);
            layout = Some(Event::Layout {
                chunk_count,
                may_cut,
                origin_connections: routing.origin_connections(),
            });
        }
        layout
    }

    async fn ask_versions(&mut self) {
        let listed = self.platform.list(Kind::Versions, true).await;
        let Ok(snapshot) = listed else { return };
        for object in &snapshot.objects {
            match self.platform.named_weights(&object.body) {
                Ok(named)
                    if Some(&named.model) == self.facts.model.as_ref() =>
                {
                    let version = named.version;
                    let named_ms = now_ms();
                    self.take(Event::Named { version, named_ms }).await;
                }
                Ok(_) => {}
                Err(error) => log::warn!("version: {error}"),
            }
        }
    }

    async fn ask_targets(&mut self) {
        let listed = self.platform.list(Kind::Targets, true).await;
        let Ok(snapshot) = listed else { return };
        let peers = snapshot
            .objects
            .iter()
            .filter_map(|object| self.platform.target(object).ok())
            .filter(|spec| *spec.service == *self.target.service)
            .map(|spec| Peer {
                ip: spec.address.ip(),
                data_centre: spec.data_centre,
                // The list may be older than a loss of power: who holds
                // what is believed from briefings alone.
                whole_version: 0,
                serves_version: spec.serves_version.unwrap_or(0),
                is_slow: false,
            })
            .collect();
        self.take(Event::Peers(peers)).await;
    }
}

fn not_fetched(version: u64, item: Item) -> Event {
    let source = Source::Origin;
    let result = Err(FetchError::Lost);
    match item {
        Item::Manifest => {
            Event::Manifest { version, source, result: Err(FetchError::Lost) }
        }
        Item::Chunk(index) => {
            Event::Chunk { version, index, source, result, took_ms: 0 }
        }
    }
}
