//! The simulation of a fleet's messages.

use std::{collections::BTreeMap, net::IpAddr, rc::Rc};

use raildale::fleet::frames::MAX_DATAGRAM_BYTES;
use raildale_core::{
    catalog::Kind,
    members::{
        HEARTBEAT_INTERVAL_MS, MemberEntry, fan_out, joining::Joining,
        relays::HEARTBEATS_PER_DIGEST,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    host::{self, Host},
    links::{Link, MICROS_PER_MS, micros},
    messages::{self, DigestNote, HeartbeatNote, Message, RECIPIENT_BYTES},
    pattern::ControlPattern,
    result::ControlResult,
    tally::Tally,
};

/// The time in which all processes first start, in microseconds.
const START_SPREAD_US: u64 = 300 * MICROS_PER_MS;

/// The time between two heartbeats, in microseconds.
const HEARTBEAT_INTERVAL_US: u64 = HEARTBEAT_INTERVAL_MS * MICROS_PER_MS;

/// The time after which an entry host checks again whether it should ask the
/// store, in microseconds.
const ROLE_CHECK_INTERVAL_US: u64 = 100 * MICROS_PER_MS;

/// The time between two samples of what is believed, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 200 * MICROS_PER_MS;

/// The initial revision of every kind in the store.
const FIRST_REVISION: u64 = 1;

/// What happens at a time. Events of an earlier start of a process are
/// ignored.
#[derive(Debug)]
pub(super) enum Event {
    /// A process starts.
    Start(usize),
    /// A heartbeat is due.
    Beat { index: usize, start: u32 },
    /// An entry host checks whether it should ask the store.
    CheckRole { index: usize, start: u32 },
    /// An entry host looks again for what others know.
    Recheck { index: usize, start: u32 },
    /// A message arrives.
    Arrival { to: Vec<usize>, message: Message },
    /// A call of the store has ended.
    Read { index: usize, start: u32, kind: Kind, revision: Option<u64> },
    /// A fetch from another entry host has ended.
    Fetched { index: usize, start: u32, kind: Kind, revision: Option<u64> },
    /// The configuration changes in the store.
    Change(usize),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// What is believed is sampled.
    Sample,
}

/// A simulated fleet.
#[derive(Debug)]
pub(super) struct World<'a> {
    pub(super) pattern: &'a ControlPattern,
    pub(super) rng: SmallRng,
    /// Future events, by time and order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    pub(super) now_us: u64,
    pub(super) hosts: Vec<Host>,
    /// The link of each data centre to all others.
    crossings: Vec<Link>,
    /// The store's list of entry hosts.
    pub(super) listed: Vec<MemberEntry>,
    /// The store's revision of each kind, in the order of their numbers.
    pub(super) revisions: Vec<u64>,
    /// When each change of the configuration was made, and its revision.
    pub(super) changed_us: Vec<Option<(u64, u64)>>,
    /// Whether the store does not answer each entry host.
    pub(super) is_store_away: Vec<bool>,
    /// Whether each data centre is cut off.
    pub(super) is_cut: Vec<bool>,
    /// The share of the links' rates that is left.
    pub(super) link_share: f64,
    /// When entry hosts were last killed.
    pub(super) killed_us: Option<u64>,
    /// Whether each entry host takes each other one for alive.
    believed_up: Vec<Vec<bool>>,
    pub(super) tally: Tally,
}

impl<'a> World<'a> {
    /// Creates a fleet of which nothing has started.
    pub(super) fn new(pattern: &'a ControlPattern, seed: u64) -> World<'a> {
        let count = pattern.entry_hosts;
        let centres = pattern.data_centres;
        let mut rng = SmallRng::seed_from_u64(seed);
        let link = Link::new(pattern.link_mbps);
        let hosts = (0..count).map(|index| {
            let joining = joining(&mut rng, 0, index < pattern.seeds);
            Host::new(index, centres, link, joining)
        });
        let hosts = hosts.collect();
        let warm_up_us = micros(pattern.warm_up_s);
        let changes = pattern.changes_s.len();
        World {
            pattern,
            events: BTreeMap::new(),
            scheduled: 0,
            now_us: 0,
            hosts,
            crossings: vec![Link::new(pattern.crossing_mbps); centres],
            listed: (0..count).map(|i| host::entry(i, centres)).collect(),
            revisions: vec![FIRST_REVISION; messages::kind_count()],
            changed_us: vec![None; changes],
            is_store_away: vec![false; count],
            is_cut: vec![false; centres],
            link_share: 1.0,
            killed_us: None,
            believed_up: vec![vec![false; count]; count],
            tally: Tally::new(warm_up_us, count, pattern.agents, changes),
            rng,
        }
    }

    /// Runs the simulation to its end.
    pub(super) fn run(mut self) -> ControlResult {
        for index in 0..self.hosts.len() {
            let at_us = self.rng.random_range(0..START_SPREAD_US);
            self.schedule(at_us, Event::Start(index));
        }
        for (number, at_s) in self.pattern.changes_s.iter().enumerate() {
            self.schedule(micros(*at_s), Event::Change(number));
        }
        self.schedule_faults();
        self.schedule(micros(self.pattern.warm_up_s), Event::Sample);
        let end_us = micros(self.pattern.length_s);
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        ControlResult::new(&self)
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.insert((at_us, self.scheduled), event);
        self.scheduled += 1;
    }

    /// Returns the current time in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / MICROS_PER_MS
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Beat { index, start } if self.runs(index, start) => {
                self.beat(index);
            }
            Event::CheckRole { index, start } if self.runs(index, start) => {
                self.check_role(index);
                let at_us = self.now_us + ROLE_CHECK_INTERVAL_US;
                self.schedule(at_us, Event::CheckRole { index, start });
            }
            Event::Recheck { index, start } if self.runs(index, start) => {
                self.fetch_newer(index);
            }
            Event::Arrival { to, message } => {
                for index in to {
                    self.receive(index, &message);
                }
            }
            Event::Read { index, start, kind, revision }
                if self.runs(index, start) =>
            {
                self.on_read(index, kind, revision);
            }
            Event::Fetched { index, start, kind, revision }
                if self.runs(index, start) =>
            {
                self.on_fetched(index, kind, revision);
            }
            Event::Change(number) => self.change_configuration(number),
            Event::FaultBegins(number) => self.begin_fault(number),
            Event::FaultEnds(number) => self.end_fault(number),
            Event::Sample => self.sample(),
            // Events of a start that has ended.
            Event::Beat { .. }
            | Event::CheckRole { .. }
            | Event::Recheck { .. }
            | Event::Read { .. }
            | Event::Fetched { .. } => {}
        }
    }

    /// Returns whether a start of a process is running.
    fn runs(&self, index: usize, start: u32) -> bool {
        let host = &self.hosts[index];
        host.is_up && host.start == start
    }

    fn start(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let is_seed = index < self.pattern.seeds;
        let joining = joining(&mut self.rng, now_ms, is_seed);
        self.hosts[index].restart(now_ms, joining);
        self.believed_up[index].fill(false);
        let start = self.hosts[index].start;
        self.schedule(self.now_us, Event::Beat { index, start });
        self.schedule(self.now_us, Event::CheckRole { index, start });
    }

    fn beat(&mut self, index: usize) {
        self.send_heartbeats(index);
        self.fetch_newer(index);
        self.hosts[index].beat += 1;
        self.send_digest(index);
        self.send_lists(index);
        let start = self.hosts[index].start;
        let at_us = self.now_us + HEARTBEAT_INTERVAL_US;
        self.schedule(at_us, Event::Beat { index, start });
    }

    /// Sends the heartbeat of an entry host.
    pub(super) fn send_heartbeats(&mut self, index: usize) {
        let seeds = (0..self.pattern.seeds).map(host::ip);
        let now_ms = self.now_ms();
        let host = &self.hosts[index];
        let recipients = host.members.heartbeat_recipients(now_ms, seeds);
        let note = Rc::new(host.heartbeat(index));
        let recipients: Vec<usize> =
            recipients.into_iter().filter_map(host::index).collect();
        let bytes = note.bytes;
        self.send(index, &recipients, bytes, &Message::Heartbeat(note));
    }

    /// Sends a message to several entry hosts. Those in the own data centre
    /// get it once the last copy has been transmitted.
    fn send(
        &mut self,
        from: usize,
        recipients: &[usize],
        bytes: u64,
        message: &Message,
    ) {
        let mut near = Vec::new();
        let mut near_us = self.now_us;
        for &to in recipients {
            let Some(at_us) = self.transmit(from, to, bytes) else { continue };
            if self.hosts[to].centre == self.hosts[from].centre {
                near.push(to);
                near_us = at_us;
            } else {
                let message = message.clone();
                self.schedule(at_us, Event::Arrival { to: vec![to], message });
            }
        }
        if !near.is_empty() {
            let message = message.clone();
            self.schedule(near_us, Event::Arrival { to: near, message });
        }
    }

    /// Transmits a message. Returns when it arrives; `None` if it is lost.
    pub(super) fn transmit(
        &mut self,
        from: usize,
        to: usize,
        bytes: u64,
    ) -> Option<u64> {
        let share = self.link_share;
        let link = &mut self.hosts[from].link;
        let sent_us = link.transmit(self.now_us, bytes, share);
        self.tally.record_message(self.now_us, from, to, bytes);
        let (here, there) = (self.hosts[from].centre, self.hosts[to].centre);
        if here == there {
            return Some(sent_us + self.latency_us(from, to));
        }
        if self.is_cut[here] || self.is_cut[there] {
            return None;
        }
        self.tally.record_crossing(self.now_us, bytes);
        let crossed_us = self.crossings[here].transmit(sent_us, bytes, 1.0);
        Some(crossed_us + self.latency_us(from, to))
    }

    /// Returns the one-way latency between two entry hosts.
    pub(super) fn latency_us(&self, from: usize, to: usize) -> u64 {
        let is_near = self.hosts[from].centre == self.hosts[to].centre;
        let ms = match is_near {
            true => self.pattern.near_ms,
            false => self.pattern.crossing_ms,
        };
        (ms * MICROS_PER_MS as f64) as u64
    }

    fn receive(&mut self, index: usize, message: &Message) {
        if !self.hosts[index].is_up {
            return;
        }
        match message {
            Message::Heartbeat(note) => self.receive_heartbeat(index, note),
            Message::Digest(note, pass_on_to) => {
                self.record_digest(index, note);
                let recipients = match pass_on_to {
                    Some(recipients) => {
                        recipients.iter().map(|to| host::ip(*to)).collect()
                    }
                    None => self.audience(index),
                };
                self.distribute(index, note, &recipients);
                self.fetch_newer(index);
            }
        }
    }

    /// Records a heartbeat, and answers it if its sender may know nothing yet.
    fn receive_heartbeat(&mut self, index: usize, note: &HeartbeatNote) {
        let now_ms = self.now_ms();
        let host = &mut self.hosts[index];
        let is_behind = host.is_behind(&note.heartbeat.extents);
        let entry = note.entry.clone();
        let heartbeat = note.heartbeat.clone();
        if host.members.on_heartbeat(now_ms, entry, heartbeat) {
            let own = Rc::new(host.heartbeat(index));
            let bytes = own.bytes;
            self.send(index, &[note.from], bytes, &Message::Heartbeat(own));
        }
        if is_behind {
            self.fetch_newer(index);
        }
    }

    /// Sends a digest if the entry host is a relay and one is due.
    fn send_digest(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let host = &self.hosts[index];
        let place = host.members.relay_index(now_ms, host.is_ready());
        let Some(place) = place else { return };
        let turn = place as u64 % HEARTBEATS_PER_DIGEST;
        if host.beat % HEARTBEATS_PER_DIGEST != turn {
            return;
        }
        let note = Rc::new(DigestNote::new(
            host.heartbeat(index),
            host.members.digest_entry_hosts(now_ms),
            self.agents_of(host.centre).count(),
            self.now_us,
        ));
        if note.bytes > MAX_DATAGRAM_BYTES as u64 {
            self.tally.oversized_digests += 1;
            return;
        }
        let draw = self.rng.random_range(0..usize::from(u16::MAX));
        let host = &self.hosts[index];
        let remote = host.members.digest_recipients(now_ms, place, draw);
        let remote: Vec<usize> =
            remote.into_iter().filter_map(host::index).collect();
        let message = Message::Digest(note.clone(), None);
        self.send(index, &remote, note.bytes, &message);
        let audience = self.audience(index);
        self.distribute(index, &note, &audience);
    }

    /// Returns the neighbours in a random order of distribution.
    fn audience(&mut self, index: usize) -> Vec<IpAddr> {
        let draw = self.rng.random();
        self.hosts[index].members.audience(self.now_ms(), draw)
    }

    /// Sends a digest to the first of `recipients`, which pass it on to the
    /// others.
    fn distribute(
        &mut self,
        index: usize,
        note: &Rc<DigestNote>,
        recipients: &[IpAddr],
    ) {
        for branch in fan_out::branches(recipients) {
            let Some(to) = host::index(branch.ip) else { continue };
            let behind = branch.pass_on_to.into_iter();
            let behind: Rc<[usize]> = behind.filter_map(host::index).collect();
            let bytes = note.bytes + RECIPIENT_BYTES * behind.len() as u64;
            let message = Message::Digest(note.clone(), Some(behind));
            self.send(index, &[to], bytes, &message);
        }
    }

    fn record_digest(&mut self, index: usize, note: &DigestNote) {
        let now_ms = self.now_ms();
        let relay = note.heartbeat.from;
        let centre = self.hosts[relay].centre;
        let host = &mut self.hosts[index];
        let entry = note.heartbeat.entry.clone();
        let heartbeat = note.heartbeat.heartbeat.clone();
        host.members.on_heartbeat(now_ms, entry, heartbeat);
        for entry in &note.entry_hosts {
            host.members.on_digest_entry(now_ms, entry);
        }
        let made_us = &mut host.digest_made_us[centre];
        *made_us = (*made_us).max(Some(note.made_us));
    }

    /// Sends the list of agents to the agents whose turn it is.
    fn send_lists(&mut self, index: usize) {
        let host = &self.hosts[index];
        let turn = host.members.list_turn(self.now_ms(), host.is_ready());
        let Some(turn) = turn else { return };
        let bytes = messages::agent_list_bytes(self.pattern.agents);
        let agents: Vec<usize> = self.agents_of(host.centre).collect();
        let listed = agents.into_iter().enumerate();
        for (_, agent) in listed.filter(|(place, _)| turn.includes(*place)) {
            let share = self.link_share;
            let link = &mut self.hosts[index].link;
            link.transmit(self.now_us, bytes, share);
            self.tally.record_list(self.now_us, index, agent, bytes);
        }
    }

    /// Returns the agents of a data centre.
    fn agents_of(&self, centre: usize) -> impl Iterator<Item = usize> + use<> {
        (centre..self.pattern.agents).step_by(self.pattern.data_centres)
    }

    /// Compares what is believed with what is true.
    fn sample(&mut self) {
        let mut takes_dead_for_alive = false;
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_up {
                self.update_beliefs(index);
                takes_dead_for_alive |= self.check_beliefs(index);
                self.sample_digests(index);
            }
        }
        if let (true, Some(killed_us)) = (takes_dead_for_alive, self.killed_us)
        {
            let since_ms = (self.now_us - killed_us) / MICROS_PER_MS;
            self.tally.loss_known_ms = self.tally.loss_known_ms.max(since_ms);
        }
        self.schedule(self.now_us + SAMPLE_INTERVAL_US, Event::Sample);
    }

    fn update_beliefs(&mut self, index: usize) {
        let now_ms = self.now_ms();
        for (ip, is_up) in self.hosts[index].members.take_changes(now_ms) {
            if let Some(other) = host::index(ip) {
                self.believed_up[index][other] = is_up;
            }
        }
    }

    /// Counts what an entry host believes of the others. Returns whether it
    /// takes a dead one for alive.
    fn check_beliefs(&mut self, index: usize) -> bool {
        let believed_up = self.believed_up[index].iter();
        let others = self.hosts.iter().zip(believed_up).enumerate();
        let mut takes_dead_for_alive = false;
        for (other, (host, is_believed_up)) in others {
            if other == index {
                continue;
            }
            let is_wrong = host.is_up != *is_believed_up;
            self.tally.beliefs += 1;
            self.tally.wrong_beliefs += u64::from(is_wrong);
            takes_dead_for_alive |= is_wrong && *is_believed_up;
        }
        takes_dead_for_alive
    }

    fn sample_digests(&mut self, index: usize) {
        let host = &self.hosts[index];
        for (centre, made_us) in host.digest_made_us.iter().enumerate() {
            if let (true, Some(made_us)) = (centre != host.centre, made_us) {
                let age_us = self.now_us - made_us;
                self.tally.record_digest_age(age_us);
            }
        }
    }
}

fn joining(rng: &mut SmallRng, now_ms: u64, is_seed: bool) -> Joining {
    Joining::new(now_ms, is_seed, |range| rng.random_range(range))
}
