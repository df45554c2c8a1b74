//! Entry hosts before targets that say something of themselves.
//!
//! Virtual time. Each entry host has more to send than the targets take, so
//! that requests wait. Some attempts are refused and some streams break, so
//! that requests are sent again and go on elsewhere.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetNotice, TargetReport, TargetSpec,
        request::Next, retry_budget::RetryBound, routes::EngineSpec,
        shares::Sender, target_end::StartId,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const START_MS: u64 = 1_000_000;
pub const RUN_MS: u64 = 16_000;
pub const STEP_MS: u64 = 20;
pub const SLOTS: u32 = 12;

/// Requests that come to each entry host in a second.
pub const DEMAND_PER_S: f64 = 10.0;

/// From a request's arrival at a target to the head of its answer, and to its
/// end, in milliseconds.
pub const HEAD_MS: u64 = 80;
pub const END_MS: u64 = 800;

/// Time between two heartbeats, in milliseconds.
pub const BEAT_MS: u64 = 400;

/// Time from the first answer with a limit on until it is kept, in
/// milliseconds, as targets are promised.
pub const GRACE_MS: u64 = 3_000;

/// Time between two reports of a target, in milliseconds.
pub const REPORT_MS: u64 = 100;

/// Shares of the attempts that are refused, and that break off midway.
pub const REFUSED: f64 = 0.1;
pub const BROKEN: f64 = 0.1;

pub fn routing() -> Routing {
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
        max_attempts: 3,
        is_public: false,
        is_resumable: true,
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

pub fn head() -> RequestHead {
    RequestHead {
        host: "a".into(),
        path: "/".into(),
        deadline_ms: Some(6_000),
        model: Some("m".into()),
        ..RequestHead::default()
    }
}

pub fn centre(place: usize) -> Name {
    Name::from(format!("dc-{}", place % 3))
}

pub fn spec(place: usize) -> TargetSpec {
    TargetSpec {
        id: Name::from(format!("t{place:02}")),
        born_ms: None,
        service: "model".into(),
        address: SocketAddr::from(([10, 0, 0, place as u8], 80)),
        data_centre: centre(place),
        slots: SLOTS,
        is_draining: false,
        serves_version: Some(1),
        stamp: Stamp::new(0, 1),
    }
}

/// What happens to entry hosts in the middle of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// Nine in ten are killed at one moment and start anew.
    Restart,
    /// A third stand still for three seconds.
    Freeze,
    /// A third are cut off from the others, and not from the targets.
    Cut,
    /// The time of day of a third jumps by two seconds and back.
    ClockStep,
}

/// When a trouble begins and ends.
pub const TROUBLE_MS: std::ops::Range<u64> =
    START_MS + 6_000..START_MS + 9_000;

/// A request that an entry host has.
pub struct Held {
    request: Admission,
    since_ms: u64,
}

/// A request at a target.
pub struct Attempt {
    held: Held,
    host: usize,
    target: usize,
    sent_ms: u64,
    has_head: bool,
    is_broken: bool,
}

pub struct World {
    pub now_ms: u64,
    rng: StdRng,
    pub hosts: Vec<Gateway>,
    waiting: Vec<Vec<Held>>,
    attempts: Vec<Attempt>,
    /// The limit that each target names.
    pub limits: Vec<Option<f64>>,
    /// Since when they do, and leave.
    pub named_ms: u64,
    /// Whether each target leaves.
    pub leaving: Vec<bool>,
    /// The time that each target names beside a refusal, in milliseconds.
    pub waits_ms: Vec<u64>,
    /// Until when each entry host is to send nothing to a target, by what the
    /// target told it.
    bound_until_ms: HashMap<(usize, usize), u64>,
    /// Requests that were sent all the same.
    pub broken: usize,
    /// When requests reached each target.
    pub arrivals: Vec<Vec<u64>>,
    trouble: Trouble,
    senders: Vec<Sender>,
}

impl World {
    /// Entry hosts before targets whose limits all of them have been told.
    pub fn new(hosts: usize, limits: Vec<Option<f64>>) -> World {
        let senders: Vec<Sender> = (0..hosts)
            .map(|place| Sender {
                data_centre: centre(place),
                demand: DEMAND_PER_S,
            })
            .collect();
        let gateways =
            (0..hosts).map(|own| gateway(&senders, own, &limits)).collect();
        World {
            now_ms: START_MS,
            rng: StdRng::seed_from_u64(hosts as u64),
            hosts: gateways,
            waiting: (0..hosts).map(|_| Vec::new()).collect(),
            attempts: Vec::new(),
            arrivals: vec![Vec::new(); limits.len()],
            leaving: vec![false; limits.len()],
            waits_ms: vec![0; limits.len()],
            bound_until_ms: HashMap::new(),
            broken: 0,
            limits,
            named_ms: START_MS - GRACE_MS,
            trouble: Trouble::None,
            senders,
        }
    }

    /// The same whose targets name their limits in the middle of the run.
    pub fn naming(hosts: usize, limits: Vec<Option<f64>>) -> World {
        let mut world = World::new(hosts, vec![None; limits.len()]);
        world.limits = limits;
        world.named_ms = START_MS + 5_000;
        world
    }

    pub fn with(self, trouble: Trouble) -> World {
        World { trouble, ..self }
    }

    /// Whether the trouble is on at an entry host.
    pub fn is_struck(&self, host: usize) -> bool {
        let is_one = match self.trouble {
            Trouble::None => false,
            Trouble::Restart => !host.is_multiple_of(10),
            _ => host.is_multiple_of(3),
        };
        is_one && TROUBLE_MS.contains(&self.now_ms)
    }

    /// Nine in ten start anew. The others tell them at once what targets said;
    /// who the others are they know with the next heartbeats.
    pub fn restart(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_struck(host) {
                let nothing = vec![None; self.limits.len()];
                self.hosts[host] = gateway(&self.senders, host, &nothing);
                self.waiting[host].clear();
            }
        }
        let now_ms = self.now_ms;
        let struck: Vec<bool> =
            (0..self.hosts.len()).map(|host| self.is_struck(host)).collect();
        self.attempts.retain(|attempt| !struck[attempt.host]);
        self.bound_until_ms.retain(|(host, _), _| !struck[*host]);
        for host in (0..struck.len()).filter(|host| struck[*host]) {
            let own = vec![self.senders[host].clone()];
            self.hosts[host].set_entry_hosts(own, 0);
            self.hosts[host].set_known_entry_hosts(1);
            self.hosts[host].targets.set_fleet_known(false);
        }
        let all: Vec<usize> = (0..struck.len()).collect();
        self.exchange(now_ms, &all);
    }

    /// Heartbeats: all tell all what targets said.
    pub fn tell(&mut self, now_ms: u64) {
        let silences = matches!(self.trouble, Trouble::Freeze | Trouble::Cut);
        let is_heard = |host: &usize| !silences || !self.is_struck(*host);
        let heard: Vec<usize> =
            (0..self.hosts.len()).filter(is_heard).collect();
        self.exchange(now_ms, &heard);
        for host in 0..self.hosts.len() {
            self.know_others(host, &heard);
        }
    }

    /// Entry hosts that hear one another tell what targets said.
    fn exchange(&mut self, now_ms: u64, heard: &[usize]) {
        let told: Vec<_> = heard
            .iter()
            .map(|host| self.hosts[*host].targets.notices.outgoing(now_ms))
            .collect();
        for host in heard {
            for (from, told) in heard.iter().zip(&told) {
                let ip = IpAddr::from([10, 1, 0, *from as u8]);
                let others = told.iter().filter(|_| from != host);
                let notices = &mut self.hosts[*host].targets.notices;
                for one in others {
                    notices.merge_remote(now_ms, ip, one);
                }
            }
        }
    }

    /// An entry host counts those that it hears, and hears the time of day.
    pub fn know_others(&mut self, host: usize, heard: &[usize]) {
        let alone = [host];
        let is_struck = self.is_struck(host);
        let alive = match self.trouble {
            Trouble::Cut if is_struck => &alone[..],
            _ => heard,
        };
        let senders: Vec<Sender> =
            alive.iter().map(|one| self.senders[*one].clone()).collect();
        let own = alive.iter().position(|one| *one == host).unwrap_or(0);
        let steps_ms = match self.trouble {
            Trouble::ClockStep if is_struck => 2_000,
            _ => host as u64 % 7 * 5,
        };
        let gateway = &mut self.hosts[host];
        gateway.set_entry_hosts(senders, own);
        gateway.set_known_entry_hosts(self.senders.len());
        gateway.targets.set_fleet_known(true);
        let notices = &mut gateway.targets.notices;
        notices.set_time_of_day(self.now_ms, self.now_ms + steps_ms);
    }

    pub fn play(&mut self) {
        while self.now_ms < START_MS + RUN_MS {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.now_ms.is_multiple_of(REPORT_MS) {
            self.report();
        }
        let is_restart = self.trouble == Trouble::Restart;
        if is_restart && self.now_ms == TROUBLE_MS.start + STEP_MS {
            self.restart();
        }
        if self.now_ms.is_multiple_of(BEAT_MS) {
            self.tell(self.now_ms);
        }
        self.answer();
        for host in 0..self.hosts.len() {
            let is_still =
                self.trouble == Trouble::Freeze && self.is_struck(host);
            if !is_still {
                self.arrive(host);
                self.send(host);
            }
        }
    }

    pub fn report(&mut self) {
        for target in 0..self.limits.len() {
            let here = self.attempts.iter().filter(|a| a.target == target);
            let here = here.count() as u32;
            let told = TargetReport {
                is_up: true,
                is_accepting: true,
                serves_version: 1,
                running: here.min(SLOTS),
                queued: here.saturating_sub(SLOTS),
                pace: 1.0,
                every_ms: REPORT_MS as u32,
                ..TargetReport::default()
            };
            for host in &mut self.hosts {
                let address = spec(target).address;
                host.targets.note_report(self.now_ms, address, told);
            }
        }
    }

    /// What comes back from targets.
    fn answer(&mut self) {
        for attempt in std::mem::take(&mut self.attempts) {
            let age_ms = self.now_ms - attempt.sent_ms;
            let attempt = match age_ms >= HEAD_MS && !attempt.has_head {
                true => self.open(attempt),
                false => Some(attempt),
            };
            if let Some(attempt) = attempt {
                self.go_on(attempt, age_ms);
            }
        }
    }

    /// An answer's head comes, with what its target says; `None` if the
    /// request was refused and waits again.
    fn open(&mut self, mut attempt: Attempt) -> Option<Attempt> {
        let (now_ms, target) = (self.now_ms, attempt.target);
        attempt.has_head = true;
        let is_refused = self.rng.random_bool(REFUSED);
        let notice = self.notice(target, is_refused);
        self.note_bound(attempt.host, target, notice);
        let start = StartId::of(&spec(target));
        let host = &mut self.hosts[attempt.host];
        let notices = &mut host.targets.notices;
        notices.note(now_ms, start, attempt.sent_ms, notice);
        let id = spec(target).id;
        let request = &mut attempt.held.request;
        if is_refused {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Refused);
            attempt.held.since_ms = now_ms;
            self.waiting[attempt.host].push(attempt.held);
            return None;
        }
        host.note_begun(now_ms, request, &id, HEAD_MS);
        Some(attempt)
    }

    /// What a target says of itself in an answer.
    fn notice(&self, target: usize, is_refused: bool) -> TargetNotice {
        let is_named = self.now_ms >= self.named_ms;
        let wait_ms = self.waits_ms[target];
        let is_waiting = is_refused && wait_ms > 0;
        TargetNotice {
            limit_per_s: self.limits[target].filter(|_| is_named),
            is_leaving: is_named && self.leaving[target],
            retry_after_ms: is_waiting.then_some(wait_ms),
            is_malformed: false,
        }
    }

    /// An entry host is bound by what it was told from now on.
    fn note_bound(
        &mut self,
        host: usize,
        target: usize,
        notice: TargetNotice,
    ) {
        let until_ms = match (notice.is_leaving, notice.retry_after_ms) {
            (true, _) => u64::MAX,
            (false, Some(wait_ms)) => self.now_ms + wait_ms,
            (false, None) => return,
        };
        let bound = self.bound_until_ms.entry((host, target)).or_default();
        *bound = until_ms.max(*bound);
    }

    /// An answer goes on, breaks off, or ends.
    fn go_on(&mut self, mut attempt: Attempt, age_ms: u64) {
        let now_ms = self.now_ms;
        let id = spec(attempt.target).id;
        let host = &mut self.hosts[attempt.host];
        let request = &mut attempt.held.request;
        if attempt.is_broken && age_ms >= END_MS / 2 {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Broken);
            request.last_event_ms = Some(now_ms);
            attempt.held.since_ms = now_ms;
            self.waiting[attempt.host].push(attempt.held);
        } else if age_ms >= END_MS {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Whole);
        } else {
            self.attempts.push(attempt);
        }
    }

    /// Requests that come to an entry host.
    pub fn arrive(&mut self, host: usize) {
        let head = head();
        let chance = DEMAND_PER_S * STEP_MS as f64 / 1e3;
        if self.rng.random_bool(chance) {
            let draw = self.rng.random();
            let admitted = self.hosts[host].admit(self.now_ms, &head, draw);
            let request = admitted.expect("it is let in");
            let since_ms = self.now_ms;
            self.waiting[host].push(Held { request, since_ms });
        }
    }

    /// What an entry host sends of those that wait.
    pub fn send(&mut self, host: usize) {
        let now_ms = self.now_ms;
        for mut held in std::mem::take(&mut self.waiting[host]) {
            let draw = self.rng.random();
            let since_ms = held.since_ms;
            let gateway = &mut self.hosts[host];
            match gateway.next(now_ms, &mut held.request, since_ms, draw) {
                Next::Wait(_) => self.waiting[host].push(held),
                Next::Refuse(_) => {}
                Next::Send(dispatch) => {
                    let number = dispatch.target.trim_start_matches('t');
                    let target: usize =
                        number.parse().expect("a target's number");
                    self.arrivals[target].push(now_ms);
                    let bound = self.bound_until_ms.get(&(host, target));
                    let is_bound = bound.is_some_and(|ms| now_ms < *ms);
                    self.broken += usize::from(is_bound);
                    self.attempts.push(Attempt {
                        held,
                        host,
                        target,
                        sent_ms: now_ms,
                        has_head: false,
                        is_broken: self.rng.random_bool(BROKEN),
                    });
                }
            }
        }
    }
}

/// An entry host that every target has told its limit.
pub fn gateway(
    senders: &[Sender],
    own: usize,
    limits: &[Option<f64>],
) -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: centre(own),
        retries: RetryBound { ratio: 0.2, extra: 1_000.0 },
        version_ms: 0,
    });
    gateway.set_routing(routing());
    gateway.set_entry_hosts(senders.to_vec(), own);
    gateway.set_known_entry_hosts(senders.len());
    for (place, limit) in limits.iter().enumerate() {
        let spec = spec(place);
        let start = StartId::of(&spec);
        gateway.targets.put(spec);
        let notice =
            TargetNotice { limit_per_s: *limit, ..Default::default() };
        gateway.targets.notices.note(START_MS, start, START_MS, notice);
    }
    gateway
}
