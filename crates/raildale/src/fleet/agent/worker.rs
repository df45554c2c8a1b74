//! The loop of an agent: events to the reducer, effects carried out.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use raildale_core::{
    LogEvent, Name,
    fleet_message::AskBriefing,
    gateway::TargetNotice,
    swarm::{
        Effect, Event, Item, LoadMethod, OrderGuard, OrderOutcome, Source,
        SwapConfig, Swarm, SwarmConfig, TargetStart,
    },
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};

use super::{
    calls::WeightCalls,
    links::{Links, Question},
    reports::{QueueClock, Reports},
    server::Server,
    service_facts::ServiceFacts,
    store_facts::StoreFacts,
};
use crate::{
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store, WeightOrigin, WeightTarget},
        settings::{FleetFile, NodeSettings},
        steady_clock::now_ms,
    },
    logs,
};

/// Transfers at once: six chunks of 49,152 bytes take 250 ms on a link of
/// 9.4 Mbit/s.
const PARALLEL: usize = 6;

/// The share of the link that chunks may use: answers to callers leave by
/// the same link.
const LINK_SHARE: f64 = 0.85;

/// Time between two looks at the target while nothing is under way, in
/// milliseconds.
const CALM_LOOK_MS: u32 = 100;

/// Time between two looks at the target while weights are on their way, in
/// milliseconds.
const BUSY_LOOK_MS: u32 = 50;

/// Without a list of agents for this long the store is asked, in
/// milliseconds: entry hosts brief every 400 ms, and after a loss of power
/// they know the configuration 0.5 to 0.9 s after their start.
const UNBRIEFED_MS: u64 = 1_500;

/// What is added to that at random, so that not all agents ask at once.
const UNBRIEFED_SPREAD_MS: u64 = 700;

type Inbox = mpsc::UnboundedReceiver<Event>;

/// What the loop of an agent holds.
struct Agent<P> {
    platform: Rc<P>,
    name: Name,
    swarm: Swarm,
    facts: Rc<ServiceFacts>,
    store: Rc<StoreFacts<P>>,
    /// Without a list of agents for this long it asks the store.
    unbriefed_ms: u64,
    calls: WeightCalls<P>,
    links: Links,
    server: Server,
    reports: Reports,
    events: mpsc::UnboundedSender<Event>,
    /// What the target said of itself last.
    notice: TargetNotice,
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
    let (mut agent, inbox) = Agent::start(file, platform).await?;
    agent.run(inbox).await
}

impl<P> Agent<P>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    /// Listens, and starts the tasks beside the loop: its server, and the
    /// talk with entry hosts.
    async fn start(
        file: FleetFile,
        platform: P,
    ) -> Result<(Agent<P>, Inbox), Error> {
        let target = file.target.clone().ok_or_else(|| {
            Error::new(ErrorKind::Config, "target: an agent needs it")
        })?;
        let address = SocketAddr::new(file.node.ip, file.node.agent_port());
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let (events, inbox) = mpsc::unbounded_channel();
        let bytes_per_s = (file.link_bytes_per_s() * LINK_SHARE) as u64;
        let server = Server::new(events.clone(), bytes_per_s);
        let facts = Rc::new(ServiceFacts::new());
        let queue_delay = QueueClock::default();
        let reports = Reports::new(
            socket,
            target.address,
            facts.clone(),
            queue_delay.clone(),
        );
        tokio::task::spawn_local(server.clone().run(listener));
        tokio::task::spawn_local(reports.clone().receive(events.clone()));
        introduce(&reports, &file.node, &target.service);
        let platform = Rc::new(platform);
        let store = StoreFacts::new(
            platform.clone(),
            target.service,
            facts.clone(),
            events.clone(),
        );
        let agent = Agent {
            name: Name::from(file.node.name.as_str()),
            swarm: Swarm::new(swarm_config(&file)),
            facts,
            store: Rc::new(store),
            unbriefed_ms: unbriefed_ms(),
            calls: WeightCalls::new(platform.clone(), events.clone()),
            links: Links::new(
                file.node.agent_port(),
                events.clone(),
                queue_delay,
            ),
            platform,
            server,
            reports,
            events,
            notice: TargetNotice::default(),
        };
        let detail = format!("role=agent ip={}", file.node.ip);
        logs::event(&agent.name, LogEvent::Started, &detail);
        Ok((agent, inbox))
    }

    /// Looks at the target regularly, and takes events in between.
    async fn run(&mut self, mut inbox: Inbox) -> Result<(), Error> {
        loop {
            self.look().await;
            let pause_ms = u64::from(self.look_ms());
            let pause = Duration::from_millis(pause_ms);
            let until = tokio::time::Instant::now() + pause;
            while let Ok(Some(event)) =
                tokio::time::timeout_at(until, inbox.recv()).await
            {
                self.take(event).await;
            }
        }
    }

    /// Milliseconds until the next look at the target.
    fn look_ms(&self) -> u32 {
        match self.swarm.is_settled() {
            true => CALM_LOOK_MS,
            false => BUSY_LOOK_MS,
        }
    }

    /// Looks at the target, tells the entry hosts, and asks the store if
    /// nobody else tells what it knows.
    async fn look(&mut self) {
        let state = self.platform.state().await;
        if let Some(state) = &state {
            self.log_notice(state.notice);
        }
        let state = state.unwrap_or_default();
        self.take(Event::Target(state)).await;
        self.take(Event::QueueDelay(self.reports.queue_ms())).await;
        self.take(Event::Tick).await;
        let look_ms = self.look_ms();
        let report = self.swarm.report();
        self.reports.send_regularly(&report, look_ms).await;
        if now_ms() > self.reports.last_list_ms() + self.unbriefed_ms {
            self.store.ask();
        }
    }

    /// Writes what the target says of itself, once it says anything else.
    fn log_notice(&mut self, notice: TargetNotice) {
        let before = std::mem::replace(&mut self.notice, notice);
        let limit = notice.limit_per_s;
        if limit != before.limit_per_s {
            let detail = format!("limit_per_s={limit:?}");
            logs::event(&self.name, LogEvent::TargetLimited, &detail);
        }
        if notice.is_leaving && !before.is_leaving {
            logs::event(&self.name, LogEvent::TargetLeaving, "");
        }
        if notice.is_malformed && !before.is_malformed {
            logs::event(&self.name, LogEvent::NoticeMalformed, "");
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
            Effect::ReadStaging => {
                match self.known_model("tell its staging") {
                    Some(model) => self.calls.read_staging(model),
                    None => self.tell(Event::StagingRead { chunks: None }),
                }
            }
            Effect::QueryStart => match self.facts.health_path() {
                Some(path) => self.calls.ask_start(path),
                None => self.tell(Event::TargetStart(TargetStart::Untold)),
            },
            Effect::Stage { version, chunks } => {
                match self.known_model("stage chunks") {
                    Some(model) => self.calls.stage(model, version, chunks),
                    None => self.refuse_staging(version),
                }
            }
            Effect::Order { version, method, guard } => {
                self.order(version, method, guard);
            }
            Effect::Report => {
                let look_ms = self.look_ms();
                self.reports.send_news(&self.swarm.report(), look_ms).await;
            }
            Effect::Log(event, detail) => {
                logs::event(&self.name, event, &detail);
            }
        }
    }

    fn ask_origin(&self, version: u64, item: Item) {
        match (self.facts.model(), self.facts.origin()) {
            (Some(model), Some(origin)) => {
                self.calls.fetch(origin, model, version, item);
            }
            _ => {
                self.tell(Event::lost(version, item, Source::Origin));
            }
        }
    }

    fn order(&self, version: u64, method: LoadMethod, guard: OrderGuard) {
        let Some(model) = self.known_model("load a version") else {
            let outcome = OrderOutcome::Refused;
            self.tell(Event::Ordered { guard, outcome });
            return;
        };
        let detail = format!(
            "version={version} method={method:?} orders={}",
            guard.orders
        );
        logs::event(&self.name, LogEvent::SwapOrdered, &detail);
        self.calls.order(model, version, method, guard);
    }

    /// Tells the reducer that nothing was staged, so that it tries again.
    fn refuse_staging(&self, version: u64) {
        let is_done = false;
        self.tell(Event::Staged { version, is_done });
    }

    /// Tells the reducer what came of an effect that needed no call.
    fn tell(&self, event: Event) {
        // The loop that takes events ends with the process only.
        let _ = self.events.send(event);
    }

    /// The target's model; a log line if nobody has told it yet.
    fn known_model(&self, purpose: &str) -> Option<Name> {
        let model = self.facts.model();
        if model.is_none() {
            log::warn!("the target was not asked to {purpose}: no model yet");
        }
        model
    }
}

/// Starts asking the seeds for the first briefing.
fn introduce(reports: &Reports, node: &NodeSettings, service: &str) {
    let seeds = node.seed_entry_hosts().collect();
    let ask = AskBriefing {
        service: service.to_string(),
        data_centre: node.data_centre.clone(),
    };
    tokio::task::spawn_local(reports.clone().introduce(seeds, ask));
}

/// How long this agent waits for a list of agents, in milliseconds.
fn unbriefed_ms() -> u64 {
    UNBRIEFED_MS + rand::random_range(0..UNBRIEFED_SPREAD_MS)
}

fn swarm_config(file: &FleetFile) -> SwarmConfig {
    SwarmConfig {
        ip: file.node.ip,
        data_centre: Name::from(file.node.data_centre.as_str()),
        max_transfers: PARALLEL,
        swap: SwapConfig {
            bound_ms: file.bounds.version_ms,
            ..SwapConfig::default()
        },
    }
}
