//! What the entry hosts are told of the target, and what they tell.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use raildale_core::{
    Name,
    fleet_message::{AskBriefing, Briefing, Note, Report},
    gateway::TargetReport,
    swarm::{Event, Peer, QueueDelay},
};
use tokio::{net::UdpSocket, sync::mpsc};

use super::service_facts::ServiceFacts;
use crate::fleet::{
    frames::{self, NoteReceiver},
    steady_clock::now_ms,
};

/// An entry host that has not briefed for this long gets no more reports,
/// in milliseconds.
const FORGET_MS: u64 = 4_000;

/// Time between two questions for the first briefing: the way there and back
/// takes a few milliseconds, and a seed that starts as well knows the
/// configuration after a tenth of a second.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// Longest time between two such questions: after a loss of all, hundreds of
/// agents turn to the same few seeds.
const ASK_AGAIN_MOST: Duration = Duration::from_millis(500);

/// Of this many regular reports, entry hosts of other data centres get one:
/// these send little here, and bytes that cross are dear.
const FAR_EVERY: u32 = 3;

/// The entry hosts that want reports.
#[derive(Clone, Debug)]
pub struct Reports {
    socket: Rc<UdpSocket>,
    target: SocketAddr,
    readers: Rc<RefCell<HashMap<SocketAddr, Reader>>>,
    facts: Rc<ServiceFacts>,
    /// When the last briefing with a list of agents came.
    listed_ms: Rc<Cell<u64>>,
    /// Whether such a briefing ever came.
    is_briefed: Rc<Cell<bool>>,
    /// Looks at the target so far.
    looks: Rc<Cell<u32>>,
    queue_delay: QueueClock,
}

/// What is known of the queue before the own link; shared with the
/// connections that measure it.
pub type QueueClock = Rc<RefCell<QueueDelay>>;

/// An entry host's last briefing.
#[derive(Clone, Copy, Debug)]
struct Reader {
    /// When it came, on this process's clock.
    at_ms: u64,
    /// When it left, on the sender's clock.
    sent_ms: u64,
    /// Whether the entry host looks after this data centre.
    is_near: bool,
}

impl Reports {
    /// Reports of a target, to whoever briefs; what briefings tell of its
    /// service goes to `facts`.
    pub fn new(
        socket: UdpSocket,
        target: SocketAddr,
        facts: Rc<ServiceFacts>,
        queue_delay: QueueClock,
    ) -> Reports {
        Reports {
            socket: Rc::new(socket),
            target,
            readers: Rc::default(),
            facts,
            listed_ms: Rc::new(Cell::new(now_ms())),
            is_briefed: Rc::default(),
            looks: Rc::default(),
            queue_delay,
        }
    }

    /// When the last briefing with a list of agents came; the start of the
    /// process if none has.
    pub fn last_list_ms(&self) -> u64 {
        self.listed_ms.get()
    }

    /// How long what comes in waits before the link, in milliseconds.
    pub fn queue_ms(&self) -> u64 {
        self.queue_delay.borrow().estimate_ms(now_ms())
    }

    /// Asks the entry hosts at `seeds` for a briefing until one comes: the
    /// others know of this agent only once its target is listed.
    pub async fn introduce(self, seeds: Vec<SocketAddr>, ask: AskBriefing) {
        let note = frames::encode_note(Note::AskBriefing(ask));
        let mut pause = ASK_AGAIN;
        while !self.is_briefed.get() {
            for seed in &seeds {
                if let Err(error) = self.socket.send_to(&note, seed).await {
                    log::debug!("question to {seed}: {error}");
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 3 / 2).min(ASK_AGAIN_MOST);
        }
    }

    /// Takes briefings for as long as the process runs.
    pub async fn receive(self, events: mpsc::UnboundedSender<Event>) {
        let mut notes = NoteReceiver::new(self.socket.clone());
        loop {
            let (note, from) = notes.next().await;
            let Note::Briefing(briefing) = note else { continue };
            self.note_reader(from, &briefing);
            self.facts.note_briefing(&briefing);
            for event in events_of(&briefing) {
                // The loop that takes events ends with the process only.
                let _ = events.send(event);
            }
        }
    }

    /// Notes that an entry host briefs, and so wants reports.
    fn note_reader(&self, from: SocketAddr, briefing: &Briefing) {
        let now = now_ms();
        let is_near = briefing.is_near;
        let reader = Reader { at_ms: now, sent_ms: briefing.sent_ms, is_near };
        self.readers.borrow_mut().insert(from, reader);
        if !briefing.agents.is_empty() {
            self.listed_ms.set(now);
            self.is_briefed.set(true);
        }
    }

    /// Tells entry hosts what a regular look at the target found; the next
    /// look is `look_ms` later. Those of other data centres hear of one look
    /// in `FAR_EVERY`.
    pub async fn send_regularly(&self, report: &TargetReport, look_ms: u32) {
        let looks = self.looks.get();
        self.looks.set(looks.wrapping_add(1));
        let is_far_due = looks.is_multiple_of(FAR_EVERY);
        self.send(report, look_ms, is_far_due).await;
    }

    /// Tells every entry host that wants to know what has just changed.
    pub async fn send_news(&self, report: &TargetReport, look_ms: u32) {
        self.send(report, look_ms, true).await;
    }

    async fn send(
        &self,
        report: &TargetReport,
        look_ms: u32,
        is_far_due: bool,
    ) {
        let now = now_ms();
        let readers: Vec<(SocketAddr, Reader)> = {
            let mut readers = self.readers.borrow_mut();
            readers.retain(|_, reader| now - reader.at_ms < FORGET_MS);
            readers.iter().map(|(to, reader)| (*to, *reader)).collect()
        };
        let mut message = Report::of(self.target, report);
        message.queue_ms = self.queue_ms();
        for (to, reader) in readers {
            if !reader.is_near && !is_far_due {
                continue;
            }
            let every = if reader.is_near { 1 } else { FAR_EVERY };
            message.every_ms = look_ms * every;
            message.briefing_sent_ms = reader.sent_ms;
            message.briefing_age_ms = now - reader.at_ms;
            let note = frames::encode_note(Note::Report(message.clone()));
            if let Err(error) = self.socket.send_to(&note, to).await {
                log::debug!("report to {to}: {error}");
            }
        }
    }
}

/// What a briefing tells the reducer.
fn events_of(briefing: &Briefing) -> Vec<Event> {
    let now = now_ms();
    let mut events = Vec::new();
    let peers = peers_of(briefing);
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

/// The agents that a briefing lists; without those whose data centre it does
/// not name.
fn peers_of(briefing: &Briefing) -> Vec<Peer> {
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
