//! Simulates entry hosts and targets while requests with one part of a prompt
//! in common crash each target that begins to answer them.
//!
//! Runs in virtual time. No two requests are alike. Sound requests share the
//! caller and all other parts with the deadly ones. Entry hosts exchange
//! suspects with their heartbeats, and at once after a loss.

use std::net::SocketAddr;

use raildale_core::{
    Name,
    catalog::Stamp,
    fleet_message::SuspectEntry,
    gateway::{
        Admission, Fingerprint, Fingerprints, Gateway, GatewayConfig, Outcome,
        RequestHead, Route, RouteKind, Routing, Service, TargetReport,
        TargetSpec,
        quarantine::Record,
        regions::Regions,
        request::{Next, Obstacle},
        retry_budget::RetryBound,
        routes::EngineSpec,
        shares::Sender,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const START_MS: u64 = 1_000_000;
const STEP_MS: u64 = 20;
const SLOTS: u32 = 12;

/// When the first deadly request arrives.
pub const DEADLY_MS: u64 = START_MS + 4_000;

/// Until when requests with the part are sound in some runs. No such request
/// runs any more when the first deadly one arrives.
const SOUND_UNTIL_MS: u64 = START_MS + 2_000;

/// When a fault begins and ends.
const FAULT_MS: std::ops::Range<u64> = DEADLY_MS + 6_000..DEADLY_MS + 9_000;

/// The time within which entry hosts in touch must know of a crash, in
/// milliseconds.
pub const CONTACT_MS: u64 = 3_000;

/// The time between two heartbeats, and between two reports on a target, in
/// milliseconds.
const HEARTBEAT_MS: u64 = 400;
const REPORT_MS: u64 = 100;

/// The delay of heartbeats between data centres in a large fleet, in
/// milliseconds, and the number of entry hosts of a large one.
const FAR_MS: u64 = 800;
const LARGE_HOSTS: usize = 49;

/// The time from a request's arrival at a target until it begins to run, and
/// from then on until a deadly one crashes the target, in milliseconds.
const QUEUED_MS: u64 = 60;
const CRASH_MS: u64 = 60;

/// The minimum and maximum time that a sound request runs, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 300..1_500;

/// The time until a target that crashed is back as another start, in
/// milliseconds.
const TARGET_RESTART_MS: u64 = 4_000;

/// The rates of requests per target and second.
const SOUND_PER_S: f64 = 4.0;
const DEADLY_PER_S: f64 = 0.5;

/// The number of parts of which each prompt has one, beside the first part.
const DOCUMENTS: u32 = 20;

/// The time until the store has a record, in milliseconds.
const STORE_MS: u64 = 200;

/// What happens some seconds after the crashes have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A third of the entry hosts exchange no heartbeats from before the first
    /// crash on, until the fault ends.
    Silent,
    /// Nine entry hosts in ten start anew.
    Start,
    /// All entry hosts start anew and read the store's records.
    StartOfAll,
    /// The store is restored from a copy without records; when the fault ends,
    /// all entry hosts start anew and read what it has then.
    RestoreAndStart,
    /// Half of the targets lose power at one moment.
    PowerCut,
}

/// The size of the fleet and its trouble.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub targets: usize,
    pub fault: Fault,
    /// The place of the deadly part in its prompts.
    pub deadly_place: usize,
    /// Whether targets answered requests with the part before.
    pub was_sound: bool,
    /// How long the run goes on after the first deadly request, in
    /// milliseconds.
    pub length_ms: u64,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Results {
    /// When targets crashed under the deadly part.
    pub crashes_ms: Vec<u64>,
    /// When entry hosts in touch sent deadly requests to targets.
    pub deadly_sent_ms: Vec<u64>,
    /// For each sound request that arrived at an entry host in touch: when,
    /// and whether it began at its first attempt.
    pub sound: Vec<(u64, bool)>,
    /// The times of sound requests that the quarantine refused.
    pub sound_quarantined_ms: Vec<u64>,
}

impl Results {
    /// Returns when the fifth target crashed.
    pub fn fifth_ms(&self) -> Option<u64> {
        self.crashes_ms.get(4).copied()
    }

    /// Returns how many deadly requests were sent more than `CONTACT_MS` after
    /// the fifth crash.
    pub fn sent_later(&self) -> usize {
        let from_ms = self.fifth_ms().map_or(u64::MAX, |ms| ms + CONTACT_MS);
        self.deadly_sent_ms.iter().filter(|ms| **ms > from_ms).count()
    }

    /// Returns the share of the sound requests of a span that began at their
    /// first attempt.
    pub fn begun_share(&self, span_ms: std::ops::Range<u64>) -> f64 {
        let of_span = self.sound.iter().filter(|(ms, _)| span_ms.contains(ms));
        let begun: Vec<bool> = of_span.map(|(_, begun)| *begun).collect();
        let count = begun.iter().filter(|begun| **begun).count();
        count as f64 / begun.len().max(1) as f64
    }
}

struct Pending {
    request: Admission,
    head: RequestHead,
    fingerprints: Fingerprints,
    host: usize,
    since_ms: u64,
    is_deadly: bool,
    /// The index among the sound requests of the results, during the first
    /// attempt of one that counts.
    counted: Option<usize>,
    /// How often the caller sends it again.
    returns: u32,
}

struct Attempt {
    pending: Pending,
    place: usize,
    begins_ms: u64,
    ends_ms: u64,
    has_begun: bool,
}

struct Target {
    spec: TargetSpec,
    is_up: bool,
    back_ms: u64,
    starts: u32,
}

/// Suspects on their way to an entry host.
struct Message {
    due_ms: u64,
    to: usize,
    suspects: Vec<SuspectEntry>,
}

pub struct World {
    scenario: Scenario,
    now_ms: u64,
    rng: StdRng,
    hosts: Vec<Gateway>,
    /// When each entry host was last affected by a fault.
    affected_ms: Vec<u64>,
    targets: Vec<Target>,
    waiting: Vec<Pending>,
    attempts: Vec<Attempt>,
    returning: Vec<(u64, Pending)>,
    messages: Vec<Message>,
    /// The store's records, and from when on they are read.
    records: Vec<(u64, Record)>,
    number: u64,
    results: Results,
}

impl World {
    pub fn play(scenario: Scenario, seed: u64) -> Results {
        let mut world = World::new(scenario, seed);
        while world.now_ms < DEADLY_MS + scenario.length_ms {
            world.step();
        }
        world.results
    }

    fn new(scenario: Scenario, seed: u64) -> World {
        let targets: Vec<Target> = (0..scenario.targets)
            .map(|place| Target {
                spec: spec(place, 0),
                is_up: true,
                back_ms: 0,
                starts: 1,
            })
            .collect();
        let hosts = (0..scenario.hosts)
            .map(|own| gateway(scenario.hosts, own, &targets))
            .collect();
        World {
            now_ms: START_MS,
            rng: StdRng::seed_from_u64(seed),
            hosts,
            affected_ms: vec![0; scenario.hosts],
            targets,
            waiting: Vec::new(),
            attempts: Vec::new(),
            returning: Vec::new(),
            messages: Vec::new(),
            records: Vec::new(),
            number: 0,
            results: Results::default(),
            scenario,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.apply_fault();
        self.restart_targets();
        if self.now_ms.is_multiple_of(REPORT_MS) {
            self.report();
        }
        self.finish_attempts();
        self.exchange();
        self.arrive();
        self.send_waiting();
    }

    /// Returns whether an entry host neither sends nor gets heartbeats.
    fn is_silent(&self, host: usize) -> bool {
        let is_now =
            (DEADLY_MS - STEP_MS..FAULT_MS.end).contains(&self.now_ms);
        self.scenario.fault == Fault::Silent && is_now && host % 3 == 1
    }

    fn is_in_touch(&self, host: usize) -> bool {
        let is_affected = self.now_ms <= self.affected_ms[host] + CONTACT_MS;
        !is_affected && !self.is_silent(host)
    }

    fn apply_fault(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_silent(host) {
                self.affected_ms[host] = self.now_ms;
            }
        }
        let fault = self.scenario.fault;
        if fault == Fault::RestoreAndStart && self.now_ms == FAULT_MS.end {
            self.start_hosts(|_| true);
        }
        if self.now_ms != FAULT_MS.start {
            return;
        }
        match fault {
            Fault::None | Fault::Silent => {}
            Fault::RestoreAndStart => self.records.clear(),
            Fault::Start => self.start_hosts(|host| !host.is_multiple_of(10)),
            Fault::StartOfAll => self.start_hosts(|_| true),
            Fault::PowerCut => {
                let half = self.targets.len() / 2;
                (0..half).for_each(|place| self.end_target(place));
            }
        }
    }

    fn start_hosts(&mut self, is_affected: impl Fn(usize) -> bool) {
        let (now_ms, count) = (self.now_ms, self.hosts.len());
        for host in (0..count).filter(|host| is_affected(*host)) {
            self.affected_ms[host] = now_ms;
            self.hosts[host] = gateway(count, host, &self.targets);
            for (stored_ms, record) in &self.records {
                if *stored_ms <= now_ms {
                    let known = &mut self.hosts[host].quarantine;
                    known.merge_record(now_ms, now_ms, record.clone());
                }
            }
        }
        self.waiting.retain(|one| !is_affected(one.host));
        self.attempts.retain(|one| !is_affected(one.pending.host));
    }

    fn restart_targets(&mut self) {
        for place in 0..self.targets.len() {
            let target = &mut self.targets[place];
            if target.is_up || self.now_ms < target.back_ms {
                continue;
            }
            let left = target.spec.id.clone();
            target.spec = spec(place, target.starts);
            target.starts += 1;
            target.is_up = true;
            for host in &mut self.hosts {
                host.targets.remove(&left);
                host.targets.put(target.spec.clone());
            }
        }
    }

    fn report(&mut self) {
        let mut running = vec![0_u32; self.targets.len()];
        for attempt in &self.attempts {
            running[attempt.place] += 1;
        }
        for (target, running) in self.targets.iter().zip(running) {
            let report = TargetReport {
                is_up: target.is_up,
                is_accepting: target.is_up,
                serves_version: 1,
                running: running.min(SLOTS),
                queued: running.saturating_sub(SLOTS),
                pace: 1.0,
                every_ms: REPORT_MS as u32,
                ..TargetReport::default()
            };
            let address = target.spec.address;
            for host in &mut self.hosts {
                host.targets.record_report(self.now_ms, address, report);
            }
        }
        for host in &mut self.hosts {
            host.take_ends(self.now_ms);
        }
    }

    /// Exchanges suspects, and lets the owners write the records of culprits.
    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        for from in 0..self.hosts.len() {
            let offset_ms = from as u64 * STEP_MS;
            let is_due = (now_ms + offset_ms).is_multiple_of(HEARTBEAT_MS);
            let known = &mut self.hosts[from].quarantine;
            let is_urgent = known.take_urgent();
            for record in known.records(now_ms, now_ms) {
                let is_owner = known.is_owner(record.fingerprint);
                let stored = self
                    .records
                    .iter()
                    .find(|(_, r)| r.fingerprint == record.fingerprint)
                    .map(|(_, stored)| stored.clone());
                if is_owner && record.adds_to(stored.as_ref()) {
                    let changed = record.fingerprint;
                    self.records.retain(|(_, r)| r.fingerprint != changed);
                    self.records.push((now_ms + STORE_MS, record));
                }
            }
            if (is_due || is_urgent) && !self.is_silent(from) {
                self.send_suspects(from);
            }
        }
        let messages = std::mem::take(&mut self.messages);
        for message in messages {
            match message.due_ms <= now_ms {
                true => self.hosts[message.to]
                    .quarantine
                    .merge_remote(now_ms, message.suspects),
                false => self.messages.push(message),
            }
        }
    }

    fn send_suspects(&mut self, from: usize) {
        let suspects = self.hosts[from].quarantine.outgoing(self.now_ms);
        if suspects.is_empty() {
            return;
        }
        let is_large = self.hosts.len() > LARGE_HOSTS;
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            let is_far = is_large && to % 3 != from % 3;
            let delay_ms = if is_far { FAR_MS } else { 0 };
            if self.is_silent(to) || (is_far && self.rng.random_bool(0.5)) {
                continue;
            }
            let mut suspects = suspects.clone();
            for loss in suspects.iter_mut().flat_map(|one| &mut one.losses) {
                loss.age_ms += delay_ms;
            }
            let due_ms = self.now_ms + delay_ms;
            self.messages.push(Message { due_ms, to, suspects });
        }
    }

    fn arrive(&mut self) {
        let per_step = STEP_MS as f64 / 1e3 * self.targets.len() as f64;
        for _ in 0..self.draw_count(SOUND_PER_S * per_step) {
            self.add_request(false);
        }
        if self.now_ms >= DEADLY_MS {
            for _ in 0..self.draw_count(DEADLY_PER_S * per_step) {
                self.add_request(true);
            }
        }
        for (due_ms, pending) in std::mem::take(&mut self.returning) {
            match due_ms <= self.now_ms {
                true => {
                    self.admit(pending.head, pending.fingerprints, true, 0)
                }
                false => self.returning.push((due_ms, pending)),
            }
        }
    }

    /// Returns a whole number whose mean is `mean`.
    fn draw_count(&mut self, mean: f64) -> u64 {
        mean as u64 + u64::from(self.rng.random_bool(mean.fract()))
    }

    fn add_request(&mut self, is_deadly: bool) {
        self.number += 1;
        let document = self.rng.random_range(0..DOCUMENTS);
        let mut parts = vec![
            Name::from("system"),
            Name::from(format!("document-{document}")),
        ];
        let was_sound =
            self.scenario.was_sound && self.number.is_multiple_of(10);
        if is_deadly || (was_sound && self.now_ms < SOUND_UNTIL_MS) {
            let place = self.scenario.deadly_place;
            parts.insert(place, Name::from("deadly"));
        }
        let head = RequestHead {
            host: "a".into(),
            path: "/".into(),
            deadline_ms: Some(6_000),
            model: Some("m".into()),
            shared_parts: parts,
            ..RequestHead::default()
        };
        let body = self.number.to_le_bytes();
        let request = Fingerprint::new(Some("key"), &[&body]);
        let fingerprints =
            Fingerprints::new(request).with_parts(&head.shared_parts);
        self.admit(head, fingerprints, is_deadly, 1);
    }

    fn admit(
        &mut self,
        head: RequestHead,
        fingerprints: Fingerprints,
        is_deadly: bool,
        returns: u32,
    ) {
        let host = self.rng.random_range(0..self.hosts.len());
        let draw = self.rng.random();
        let admitted = self.hosts[host].admit(self.now_ms, &head, draw);
        let request = admitted
            .expect("it is admitted")
            .with_fingerprints(fingerprints.clone());
        let mut counted = None;
        if !is_deadly && self.is_in_touch(host) {
            counted = Some(self.results.sound.len());
            self.results.sound.push((self.now_ms, false));
        }
        self.waiting.push(Pending {
            request,
            head,
            fingerprints,
            host,
            since_ms: self.now_ms,
            is_deadly,
            counted,
            returns,
        });
    }

    fn send_waiting(&mut self) {
        let now_ms = self.now_ms;
        for mut pending in std::mem::take(&mut self.waiting) {
            let draw = self.rng.random();
            let gateway = &mut self.hosts[pending.host];
            let since_ms = pending.since_ms;
            match gateway.next(now_ms, &mut pending.request, since_ms, draw) {
                Next::Wait(_) => self.waiting.push(pending),
                Next::Refuse(refusal) => {
                    let is_quarantined =
                        refusal.obstacle == Obstacle::Quarantine;
                    if is_quarantined && !pending.is_deadly {
                        self.results.sound_quarantined_ms.push(now_ms);
                    }
                    if pending.returns > 0 && pending.is_deadly {
                        self.returning.push((now_ms + 400, pending));
                    }
                }
                Next::Send(dispatch) => self.send(pending, &dispatch.target),
            }
        }
    }

    fn send(&mut self, pending: Pending, id: &str) {
        let is_sent_there = |target: &Target| *target.spec.id == *id;
        let place = self.targets.iter().position(is_sent_there);
        let place = place.expect("entry hosts know the present starts");
        let begins_ms = self.now_ms + QUEUED_MS;
        let run_ms = match pending.is_deadly {
            true => CRASH_MS,
            false => self.rng.random_range(RUN_MS),
        };
        if pending.is_deadly && self.is_in_touch(pending.host) {
            self.results.deadly_sent_ms.push(self.now_ms);
        }
        let attempt = Attempt {
            pending,
            place,
            begins_ms,
            ends_ms: begins_ms + run_ms,
            has_begun: false,
        };
        match self.targets[place].is_up {
            true => self.attempts.push(attempt),
            false => self.fail(attempt, Outcome::NobodyThere),
        }
    }

    fn finish_attempts(&mut self) {
        let now_ms = self.now_ms;
        let mut crashed = Vec::new();
        for mut attempt in std::mem::take(&mut self.attempts) {
            if attempt.begins_ms <= now_ms && !attempt.has_begun {
                self.begin(&mut attempt);
            }
            match (attempt.ends_ms <= now_ms, attempt.pending.is_deadly) {
                (false, _) => self.attempts.push(attempt),
                (true, true) => {
                    crashed.push(attempt.place);
                    self.attempts.push(attempt);
                }
                (true, false) => self.complete(attempt),
            }
        }
        for place in crashed {
            if self.targets[place].is_up {
                self.results.crashes_ms.push(now_ms);
                self.end_target(place);
            }
        }
    }

    fn begin(&mut self, attempt: &mut Attempt) {
        attempt.has_begun = true;
        if let Some(index) = attempt.pending.counted.take() {
            self.results.sound[index].1 = true;
        }
        if attempt.pending.is_deadly {
            return;
        }
        let id = self.targets[attempt.place].spec.id.clone();
        let gateway = &mut self.hosts[attempt.pending.host];
        let request = &mut attempt.pending.request;
        gateway.record_begun(self.now_ms, request, &id, QUEUED_MS);
    }

    fn complete(&mut self, mut attempt: Attempt) {
        let id = self.targets[attempt.place].spec.id.clone();
        let gateway = &mut self.hosts[attempt.pending.host];
        let request = &mut attempt.pending.request;
        let outcome = Outcome::Whole;
        gateway.on_attempt_ended(self.now_ms, request, &id, outcome);
        gateway.record_answered(self.now_ms, request);
    }

    fn end_target(&mut self, place: usize) {
        if !std::mem::replace(&mut self.targets[place].is_up, false) {
            return;
        }
        self.targets[place].back_ms = self.now_ms + TARGET_RESTART_MS;
        for attempt in std::mem::take(&mut self.attempts) {
            match attempt.place == place {
                true => self.fail(attempt, Outcome::Broken),
                false => self.attempts.push(attempt),
            }
        }
    }

    /// Ends an attempt; the request waits for another target if it may have
    /// one.
    fn fail(&mut self, attempt: Attempt, outcome: Outcome) {
        let Attempt { mut pending, place, .. } = attempt;
        pending.counted = None;
        pending.since_ms = self.now_ms;
        let id = self.targets[place].spec.id.clone();
        let gateway = &mut self.hosts[pending.host];
        let request = &mut pending.request;
        if gateway.on_attempt_ended(self.now_ms, request, &id, outcome) {
            self.waiting.push(pending);
        }
    }
}

fn spec(place: usize, start: u32) -> TargetSpec {
    let [high, low] = (place as u16).to_be_bytes();
    TargetSpec {
        id: Name::from(format!("t{place}-{start}")),
        born_ms: None,
        service: "model".into(),
        address: SocketAddr::from(([10, 0, high, low], 80)),
        data_centre: centre(place),
        slots: SLOTS,
        is_draining: false,
        serves_version: Some(1),
        cold_ms: 0,
        stamp: Stamp::new(0, 1),
    }
}

fn centre(place: usize) -> Name {
    Name::from(format!("dc-{}", place % 3))
}

fn routing() -> Routing {
    let route = Route {
        name: "deep".into(),
        host: "a".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 6_000,
        goal_ms: 400,
        gap_goal_ms: 300,
        priority: 1,
        backends: vec![("model".into(), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: true,
        regions: Vec::new(),
    };
    let engine = EngineSpec {
        slots: SLOTS,
        models: vec!["m".into()],
        layer_count: 16,
        step_ms: 7.4,
        usual_answer_tokens: 100.0,
        ..EngineSpec::default()
    };
    let service = Service {
        name: "model".into(),
        engine: Some(engine),
        ..Service::default()
    };
    Routing::new(1).with_route(route).with_service(service)
}

fn gateway(hosts: usize, own: usize, targets: &[Target]) -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: centre(own),
        retries: RetryBound { ratio: 0.2, extra: 1_000.0 },
        version_ms: 0,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    let senders = (0..hosts).map(|place| Sender {
        data_centre: centre(place),
        demand: SOUND_PER_S * targets.len() as f64 / hosts as f64,
    });
    gateway.set_routing(routing());
    gateway.set_entry_hosts(senders.collect(), own);
    gateway.set_known_entry_hosts(hosts);
    for target in targets {
        gateway.targets.put(target.spec.clone());
    }
    gateway
}
