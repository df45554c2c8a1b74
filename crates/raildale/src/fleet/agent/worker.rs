//! The main loop of an agent, which passes events to the reducer and executes
//! its effects.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use raildale_core::{
    LogEvent, Name,
    fleet_message::BriefingRequest,
    gateway::TargetNotice,
    swarm::{
        Effect, Event, Item, LoadMethod, OrderGuard, OrderOutcome, Source,
        SwapConfig, Swarm, SwarmConfig, TargetStart, list_wait::ListWait,
    },
};
use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    calls::WeightCalls,
    peer_connections::{ItemFetch, PeerConnections},
    reports::{Reports, SharedQueueDelay},
    server::Server,
    service_info::ServiceInfo,
    store_queries::StoreQueries,
};
use crate::{
    error::{Error, ErrorKind},
    fleet::{
        edge::{Dialect, Store, WeightOrigin, WeightTarget},
        frames,
        settings::{FleetFile, NodeSettings},
        steady_clock::now_ms,
    },
    logs,
};

/// The maximum number of parallel transfers: six chunks of 49,152 bytes take
/// 250 ms on a link of 9.4 Mbit/s.
const MAX_PARALLEL_TRANSFERS: usize = 6;

/// The maximum share of the link's rate for chunks: answers to callers use the
/// same link.
const MAX_LINK_SHARE: f64 = 0.85;

/// The interval between polls of the target while no weights are being
/// transferred or loaded, in milliseconds.
const IDLE_POLL_INTERVAL_MS: u32 = 100;

/// The interval between polls of the target while weights are being
/// transferred or loaded, in milliseconds.
const BUSY_POLL_INTERVAL_MS: u32 = 50;

/// The minimum time without a list of agents after which the store is queried,
/// in milliseconds. Entry hosts send briefings every 400 ms, and after a loss
/// of power they know the configuration 0.5 to 0.9 s after their start.
const MIN_STORE_QUERY_DELAY_MS: u64 = 1_500;

/// The maximum random addition to that, in milliseconds, so that not all
/// agents query the store at once.
const STORE_QUERY_JITTER_MS: u64 = 700;

type EventReceiver = mpsc::UnboundedReceiver<Event>;

/// The state of an agent's main loop.
struct Agent<P> {
    platform: Rc<P>,
    name: Name,
    swarm: Swarm,
    service_info: Rc<ServiceInfo>,
    store: Rc<StoreQueries<P>>,
    calls: WeightCalls<P>,
    peer_connections: PeerConnections,
    server: Server,
    reports: Reports,
    events: mpsc::UnboundedSender<Event>,
    /// The last notice of the target.
    notice: TargetNotice,
}

/// Runs an agent. Returns only if it cannot start.
///
/// # Errors
///
/// [`ErrorKind::Config`] if the settings name no target; [`ErrorKind::Io`] if
/// it cannot listen.
pub async fn run<P>(file: FleetFile, platform: P) -> Result<(), Error>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    let (mut agent, event_receiver) = Agent::start(file, platform).await?;
    agent.run(event_receiver).await
}

impl<P> Agent<P>
where
    P: Dialect + Store + WeightTarget + WeightOrigin + 'static,
{
    /// Listens, and starts the tasks besides the main loop: the server, and
    /// the exchange of messages with entry hosts.
    async fn start(
        file: FleetFile,
        platform: P,
    ) -> Result<(Agent<P>, EventReceiver), Error> {
        let target = file.target.clone().ok_or_else(|| {
            Error::new(ErrorKind::Config, "target: required for an agent")
        })?;
        let address = SocketAddr::new(file.node.ip, file.node.agent_port());
        let listener =
            frames::listen(address, frames::REQUEST_BUFFER_BYTES).await?;
        let socket = UdpSocket::bind(address).await?;
        let (events, event_receiver) = mpsc::unbounded_channel();
        let bytes_per_s = (file.link_bytes_per_s() * MAX_LINK_SHARE) as u64;
        let server = Server::new(events.clone(), bytes_per_s);
        let service_info = Rc::new(ServiceInfo::new());
        let queue_delay = SharedQueueDelay::default();
        let reports = Reports::new(
            socket,
            target.address,
            service_info.clone(),
            queue_delay.clone(),
            ListWait::new(now_ms(), store_query_delay_ms()),
        );
        tokio::task::spawn_local(server.clone().run(listener));
        tokio::task::spawn_local(reports.clone().receive(events.clone()));
        request_briefing(&reports, &file.node, &target.service);
        let platform = Rc::new(platform);
        let store = StoreQueries::new(
            platform.clone(),
            target.service,
            service_info.clone(),
            events.clone(),
        );
        let agent = Agent {
            name: Name::from(file.node.name.as_str()),
            swarm: Swarm::new(swarm_config(&file)),
            service_info,
            store: Rc::new(store),
            calls: WeightCalls::new(platform.clone(), events.clone()),
            peer_connections: PeerConnections::new(
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
        Ok((agent, event_receiver))
    }

    /// Polls the target regularly, and handles events in between.
    async fn run(
        &mut self,
        mut event_receiver: EventReceiver,
    ) -> Result<(), Error> {
        loop {
            self.poll_target().await;
            let pause_ms = u64::from(self.poll_interval_ms());
            let pause = Duration::from_millis(pause_ms);
            let until = tokio::time::Instant::now() + pause;
            while let Ok(Some(event)) =
                tokio::time::timeout_at(until, event_receiver.recv()).await
            {
                self.handle_event(event).await;
            }
        }
    }

    /// Returns the time until the next poll of the target, in milliseconds.
    fn poll_interval_ms(&self) -> u32 {
        match self.swarm.is_settled() {
            true => IDLE_POLL_INTERVAL_MS,
            false => BUSY_POLL_INTERVAL_MS,
        }
    }

    /// Polls the target, reports to the entry hosts, and queries the store if
    /// no list of agents has arrived for long enough.
    async fn poll_target(&mut self) {
        let state = self.platform.state().await;
        if let Some(state) = &state {
            self.log_notice(state.notice);
        }
        let state = state.unwrap_or_default();
        self.handle_event(Event::Target(state)).await;
        self.handle_event(Event::QueueDelay(self.reports.queue_ms())).await;
        self.handle_event(Event::Tick).await;
        let poll_interval_ms = self.poll_interval_ms();
        let report = self.swarm.report();
        self.reports.send_regular(&report, poll_interval_ms).await;
        if self.reports.must_ask_store() {
            self.store.start();
        }
    }

    /// Logs the changes of the target's notice.
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

    async fn handle_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.swarm.reduce(now_ms(), event, &mut effects);
        for effect in effects {
            self.execute(effect).await;
        }
    }

    async fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Fetch { version, item, source, hops } => {
                let requested_ms = now_ms();
                let request = ItemFetch { version, item, hops, requested_ms };
                match source {
                    Source::Peer(ip) => {
                        self.peer_connections.request_item(ip, request)
                    }
                    Source::Origin => self.fetch_from_origin(version, item),
                }
            }
            Effect::Answer { ticket, content } => {
                self.server.answer(ticket, content);
            }
            Effect::ReadStaging => {
                match self.model_or_warn("list its staging") {
                    Some(model) => self.calls.read_staging(model),
                    None => {
                        self.send_event(Event::StagingRead { chunks: None })
                    }
                }
            }
            Effect::QueryStart => match self.service_info.health_path() {
                Some(path) => self.calls.query_start(path),
                None => {
                    self.send_event(Event::TargetStart(TargetStart::Untold))
                }
            },
            Effect::Stage { version, chunks } => {
                match self.model_or_warn("stage chunks") {
                    Some(model) => self.calls.stage(model, version, chunks),
                    None => self.report_staging_failed(version),
                }
            }
            Effect::Order { version, method, guard } => {
                self.order(version, method, guard);
            }
            Effect::Report => {
                let poll_interval_ms = self.poll_interval_ms();
                self.reports
                    .send_change(&self.swarm.report(), poll_interval_ms)
                    .await;
            }
            Effect::Log(event, detail) => {
                logs::event(&self.name, event, &detail);
            }
        }
    }

    fn fetch_from_origin(&self, version: u64, item: Item) {
        match (self.service_info.model(), self.service_info.origin()) {
            (Some(model), Some(origin)) => {
                self.calls.fetch(origin, model, version, item);
            }
            _ => {
                self.send_event(Event::lost(version, item, Source::Origin));
            }
        }
    }

    fn order(&self, version: u64, method: LoadMethod, guard: OrderGuard) {
        let Some(model) = self.model_or_warn("load a version") else {
            let outcome = OrderOutcome::Refused;
            self.send_event(Event::Ordered { guard, outcome });
            return;
        };
        let detail = format!(
            "version={version} method={method:?} orders={}",
            guard.orders
        );
        logs::event(&self.name, LogEvent::SwapOrdered, &detail);
        self.calls.order(model, version, method, guard);
    }

    /// Reports to the reducer that nothing was staged, so that it tries again.
    fn report_staging_failed(&self, version: u64) {
        let is_done = false;
        self.send_event(Event::Staged { version, is_done });
    }

    /// Sends the reducer the result of an effect that needed no call.
    fn send_event(&self, event: Event) {
        // The main loop, which receives events, only ends with the process.
        let _ = self.events.send(event);
    }

    /// Returns the target's model; `None`, with a warning in the log, if it is
    /// unknown.
    fn model_or_warn(&self, purpose: &str) -> Option<Name> {
        let model = self.service_info.model();
        if model.is_none() {
            log::warn!(
                "cannot ask the target to {purpose}: its model is unknown"
            );
        }
        model
    }
}

/// Starts to request the first briefing from the seeds.
fn request_briefing(reports: &Reports, node: &NodeSettings, service: &str) {
    let seeds = node.seed_entry_hosts().collect();
    let request = BriefingRequest {
        service: service.to_string(),
        data_centre: node.data_centre.clone(),
    };
    tokio::task::spawn_local(reports.clone().request_briefing(seeds, request));
}

/// Returns the time without a list of agents after which this agent queries
/// the store, in milliseconds.
fn store_query_delay_ms() -> u64 {
    MIN_STORE_QUERY_DELAY_MS + rand::random_range(0..STORE_QUERY_JITTER_MS)
}

fn swarm_config(file: &FleetFile) -> SwarmConfig {
    SwarmConfig {
        ip: file.node.ip,
        data_centre: Name::from(file.node.data_centre.as_str()),
        max_transfers: MAX_PARALLEL_TRANSFERS,
        swap: SwapConfig {
            bound_ms: file.bounds.version_ms,
            ..SwapConfig::default()
        },
    }
}
