//! Reports to the entry hosts about the target, and briefings from them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use raildale_core::{
    Name,
    fleet_message::{Briefing, BriefingRequest, Note, Report},
    gateway::TargetReport,
    swarm::{Event, Peer, QueueDelay, list_wait::ListWait},
};
use tokio::{net::UdpSocket, sync::mpsc};

use super::service_info::ServiceInfo;
use crate::fleet::{
    frames::{self, NoteReceiver},
    steady_clock::now_ms,
};

/// How long after its last briefing an entry host still gets reports, in
/// milliseconds.
const SUBSCRIBER_EXPIRY_MS: u64 = 4_000;

/// The minimum pause between two requests for the first briefing: a round trip
/// takes a few milliseconds, and a seed that starts at the same time knows the
/// configuration after a tenth of a second.
const MIN_REQUEST_PAUSE: Duration = Duration::from_millis(60);

/// The maximum pause between two such requests: after a loss of all, hundreds
/// of agents send them to the same few seeds.
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(500);

/// Entry hosts of other data centres get one of this many regular reports:
/// they send few requests here, and traffic between data centres is costly.
const FAR_REPORT_INTERVAL: u32 = 3;

/// Sends reports to the entry hosts that send briefings. Clones share their
/// state.
#[derive(Clone, Debug)]
pub struct Reports {
    socket: Rc<UdpSocket>,
    target: SocketAddr,
    subscribers: Rc<RefCell<HashMap<SocketAddr, Subscriber>>>,
    service_info: Rc<ServiceInfo>,
    list_wait: Rc<Cell<ListWait>>,
    /// Whether such a briefing has ever arrived.
    has_agent_list: Rc<Cell<bool>>,
    /// The number of regular reports so far; it wraps around.
    poll_count: Rc<Cell<u32>>,
    queue_delay: SharedQueueDelay,
}

/// The measured queueing delay of data that arrives over the own link, shared
/// with the connections that measure it.
pub type SharedQueueDelay = Rc<RefCell<QueueDelay>>;

/// The last briefing of an entry host.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// When it arrived, by this process's clock.
    received_ms: u64,
    /// When it was sent, by the sender's clock.
    sent_ms: u64,
    /// Whether it is marked as near: such an entry host gets every report.
    is_near: bool,
}

impl Reports {
    /// Creates reports about a target. What briefings contain about its
    /// service goes to `service_info`.
    pub fn new(
        socket: UdpSocket,
        target: SocketAddr,
        service_info: Rc<ServiceInfo>,
        queue_delay: SharedQueueDelay,
        list_wait: ListWait,
    ) -> Reports {
        Reports {
            socket: Rc::new(socket),
            target,
            subscribers: Rc::default(),
            service_info,
            list_wait: Rc::new(Cell::new(list_wait)),
            has_agent_list: Rc::default(),
            poll_count: Rc::default(),
            queue_delay,
        }
    }

    /// Returns whether the store must be asked for the list of agents.
    pub fn must_ask_store(&self) -> bool {
        self.list_wait.get().asks_store(now_ms())
    }

    /// Returns the queueing delay of incoming data, in milliseconds.
    pub fn queue_ms(&self) -> u64 {
        self.queue_delay.borrow().estimate_ms(now_ms())
    }

    /// Requests a briefing from the entry hosts at `seeds` until one with a
    /// list of agents arrives: other entry hosts only know this agent once its
    /// target is listed.
    pub async fn request_briefing(
        self,
        seeds: Vec<SocketAddr>,
        request: BriefingRequest,
    ) {
        let note = frames::encode_note(Note::BriefingRequest(request));
        let mut pause = MIN_REQUEST_PAUSE;
        while !self.has_agent_list.get() {
            for seed in &seeds {
                if let Err(error) = self.socket.send_to(&note, seed).await {
                    log::debug!("briefing request to {seed}: {error}");
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 3 / 2).min(MAX_REQUEST_PAUSE);
        }
    }

    /// Receives briefings for as long as the process runs.
    pub async fn receive(self, events: mpsc::UnboundedSender<Event>) {
        let mut notes = NoteReceiver::new(self.socket.clone());
        loop {
            let (note, from) = notes.next().await;
            let Note::Briefing(briefing) = note else { continue };
            if briefing.is_pending {
                self.update_list_wait(ListWait::record_promise);
                continue;
            }
            self.record_subscriber(from, &briefing);
            self.service_info.apply_briefing(&briefing);
            for event in briefing_events(&briefing) {
                // The main loop, which receives events, only ends with the
                // process.
                let _ = events.send(event);
            }
        }
    }

    /// Records an entry host that sends briefings, and so receives reports.
    fn record_subscriber(&self, from: SocketAddr, briefing: &Briefing) {
        let now = now_ms();
        let is_near = briefing.is_near;
        let subscriber = Subscriber {
            received_ms: now,
            sent_ms: briefing.sent_ms,
            is_near,
        };
        self.subscribers.borrow_mut().insert(from, subscriber);
        if !briefing.agents.is_empty() {
            self.update_list_wait(ListWait::record_list);
            self.has_agent_list.set(true);
        }
    }

    fn update_list_wait(&self, update: fn(&mut ListWait, u64)) {
        let mut list_wait = self.list_wait.get();
        update(&mut list_wait, now_ms());
        self.list_wait.set(list_wait);
    }

    /// Sends the result of a regular poll of the target; the next one is in
    /// `poll_interval_ms`. Entry hosts of other data centres get one report in
    /// `FAR_REPORT_INTERVAL`.
    pub async fn send_regular(
        &self,
        report: &TargetReport,
        poll_interval_ms: u32,
    ) {
        let poll_count = self.poll_count.get();
        self.poll_count.set(poll_count.wrapping_add(1));
        let is_far_due = poll_count.is_multiple_of(FAR_REPORT_INTERVAL);
        self.send(report, poll_interval_ms, is_far_due).await;
    }

    /// Reports a change to all subscribed entry hosts at once.
    pub async fn send_change(
        &self,
        report: &TargetReport,
        poll_interval_ms: u32,
    ) {
        self.send(report, poll_interval_ms, true).await;
    }

    async fn send(
        &self,
        report: &TargetReport,
        poll_interval_ms: u32,
        is_far_due: bool,
    ) {
        let now = now_ms();
        let subscribers: Vec<(SocketAddr, Subscriber)> = {
            let mut subscribers = self.subscribers.borrow_mut();
            subscribers.retain(|_, subscriber| {
                now - subscriber.received_ms < SUBSCRIBER_EXPIRY_MS
            });
            subscribers
                .iter()
                .map(|(to, subscriber)| (*to, *subscriber))
                .collect()
        };
        let mut message = Report::of(self.target, report);
        message.queue_ms = self.queue_ms();
        for (to, subscriber) in subscribers {
            if !subscriber.is_near && !is_far_due {
                continue;
            }
            let interval =
                if subscriber.is_near { 1 } else { FAR_REPORT_INTERVAL };
            message.every_ms = poll_interval_ms * interval;
            message.briefing_sent_ms = subscriber.sent_ms;
            message.briefing_age_ms = now - subscriber.received_ms;
            let note = frames::encode_note(Note::Report(message.clone()));
            if let Err(error) = self.socket.send_to(&note, to).await {
                log::debug!("report to {to}: {error}");
            }
        }
    }
}

/// Returns the reducer's events for a briefing.
fn briefing_events(briefing: &Briefing) -> Vec<Event> {
    let now = now_ms();
    let mut events = Vec::new();
    let peers = listed_peers(briefing);
    if !peers.is_empty() {
        events.push(Event::Peers(peers));
    }
    events.extend(briefing.versions.iter().map(|named| Event::Named {
        version: named.version,
        named_ms: now.saturating_sub(named.age_ms),
    }));
    events.push(Event::Layout {
        chunk_count: briefing.chunk_count,
        may_cut: briefing.may_cut,
        origin_connections: briefing.origin_connections,
    });
    events
}

/// Returns the agents that a briefing lists, except those whose data centre it
/// does not name.
fn listed_peers(briefing: &Briefing) -> Vec<Peer> {
    let centres: Vec<Name> = briefing
        .data_centres
        .iter()
        .map(|centre| Name::from(centre.as_str()))
        .collect();
    briefing
        .agents
        .iter()
        .filter_map(|agent| {
            Some(Peer {
                ip: IpAddr::V4(Ipv4Addr::from(agent.ip)),
                data_centre: centres.get(agent.data_centre as usize)?.clone(),
                whole_version: agent.whole_version,
                serves_version: agent.serves_version,
                is_slow: agent.is_slow,
            })
        })
        .collect()
}
