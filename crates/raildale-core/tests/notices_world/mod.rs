//! Simulates entry hosts and targets that send notices.
//!
//! Runs in virtual time. Each entry host has more requests than the targets
//! accept, so that requests wait. Some attempts are refused and some streams
//! break off, so that requests are sent again and streams are resumed
//! elsewhere.

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
        regions::Regions, request::Next, retry_budget::RetryBound,
        routes::EngineSpec, shares::Sender, target_end::StartId,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const START_MS: u64 = 1_000_000;
pub const RUN_MS: u64 = 16_000;
pub const STEP_MS: u64 = 20;
pub const SLOTS: u32 = 12;

/// The rate of requests to each entry host, per second.
pub const DEMAND_PER_S: f64 = 10.0;

/// The time from a request's arrival at a target to the head of its answer,
/// and to its end, in milliseconds.
pub const HEAD_MS: u64 = 80;
pub const END_MS: u64 = 800;

/// The time between two heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 400;

/// The time after the first answer with a limit from which the limit is kept,
/// in milliseconds, as targets are promised.
pub const GRACE_MS: u64 = 3_000;

/// The time between two reports on a target, in milliseconds.
pub const REPORT_MS: u64 = 100;

/// The share of attempts that are refused, and that break off midway.
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
        cold_ms: 0,
        stamp: Stamp::new(0, 1),
    }
}

/// Faults of entry hosts in the middle of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Nine in ten are killed at one moment and restart.
    Restart,
    /// A third freeze for three seconds.
    Freeze,
    /// A third are cut off from the other entry hosts, but not from the
    /// targets.
    Cut,
    /// The time of day of a third jumps by two seconds and back.
    ClockStep,
}

/// When a fault begins and ends.
pub const FAULT_MS: std::ops::Range<u64> = START_MS + 6_000..START_MS + 9_000;

/// A request on an entry host.
pub struct PendingRequest {
    request: Admission,
    since_ms: u64,
}

/// A request at a target.
pub struct Attempt {
    pending: PendingRequest,
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
    waiting: Vec<Vec<PendingRequest>>,
    attempts: Vec<Attempt>,
    /// The limit that each target names.
    pub limits: Vec<Option<f64>>,
    /// Since when targets name limits and are leaving.
    pub named_ms: u64,
    /// Whether each target is leaving.
    pub leaving: Vec<bool>,
    /// The retry time that each target names with a refusal, in milliseconds.
    pub waits_ms: Vec<u64>,
    /// Until when each entry host must send nothing to a target, according to
    /// the target's answers to it.
    bound_until_ms: HashMap<(usize, usize), u64>,
    /// The number of requests that were sent nevertheless.
    pub violations: usize,
    /// The times at which requests reached each target.
    pub arrivals: Vec<Vec<u64>>,
    fault: Fault,
    senders: Vec<Sender>,
}

impl World {
    /// Creates entry hosts that have been told the limits of all targets.
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
            violations: 0,
            limits,
            named_ms: START_MS - GRACE_MS,
            fault: Fault::None,
            senders,
        }
    }

    /// Creates a world whose targets name their limits in the middle of the
    /// run.
    pub fn naming(hosts: usize, limits: Vec<Option<f64>>) -> World {
        let mut world = World::new(hosts, vec![None; limits.len()]);
        world.limits = limits;
        world.named_ms = START_MS + 5_000;
        world
    }

    pub fn with(self, fault: Fault) -> World {
        World { fault, ..self }
    }

    /// Returns whether the fault affects an entry host now.
    pub fn is_affected(&self, host: usize) -> bool {
        let is_selected = match self.fault {
            Fault::None => false,
            Fault::Restart => !host.is_multiple_of(10),
            _ => host.is_multiple_of(3),
        };
        is_selected && FAULT_MS.contains(&self.now_ms)
    }

    /// Restarts nine entry hosts in ten. The others send them the notices at
    /// once; they learn of the other entry hosts with the next heartbeats.
    pub fn restart(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_affected(host) {
                let no_limits = vec![None; self.limits.len()];
                self.hosts[host] = gateway(&self.senders, host, &no_limits);
                self.waiting[host].clear();
            }
        }
        let now_ms = self.now_ms;
        let affected: Vec<bool> =
            (0..self.hosts.len()).map(|host| self.is_affected(host)).collect();
        self.attempts.retain(|attempt| !affected[attempt.host]);
        self.bound_until_ms.retain(|(host, _), _| !affected[*host]);
        for host in (0..affected.len()).filter(|host| affected[*host]) {
            let own = vec![self.senders[host].clone()];
            self.hosts[host].set_entry_hosts(own, 0);
            self.hosts[host].set_known_entry_hosts(1);
            self.hosts[host].targets.set_fleet_known(false);
        }
        let all: Vec<usize> = (0..affected.len()).collect();
        self.exchange(now_ms, &all);
    }

    /// Exchanges heartbeats with notices among all entry hosts.
    pub fn exchange_heartbeats(&mut self, now_ms: u64) {
        let is_partition = matches!(self.fault, Fault::Freeze | Fault::Cut);
        let is_heard =
            |host: &usize| !is_partition || !self.is_affected(*host);
        let heard: Vec<usize> =
            (0..self.hosts.len()).filter(is_heard).collect();
        self.exchange(now_ms, &heard);
        for host in 0..self.hosts.len() {
            self.update_peers(host, &heard);
        }
    }

    /// Exchanges notices among the entry hosts that hear one another.
    fn exchange(&mut self, now_ms: u64, heard: &[usize]) {
        let outgoing: Vec<_> = heard
            .iter()
            .map(|host| self.hosts[*host].targets.notices.outgoing(now_ms))
            .collect();
        for host in heard {
            for (from, outgoing) in heard.iter().zip(&outgoing) {
                let ip = IpAddr::from([10, 1, 0, *from as u8]);
                let others = outgoing.iter().filter(|_| from != host);
                let notices = &mut self.hosts[*host].targets.notices;
                for one in others {
                    notices.merge_remote(now_ms, ip, one);
                }
            }
        }
    }

    /// Updates an entry host's list of the hosts that it hears, and its time
    /// of day.
    pub fn update_peers(&mut self, host: usize, heard: &[usize]) {
        let alone = [host];
        let is_affected = self.is_affected(host);
        let alive = match self.fault {
            Fault::Cut if is_affected => &alone[..],
            _ => heard,
        };
        let senders: Vec<Sender> =
            alive.iter().map(|one| self.senders[*one].clone()).collect();
        let own = alive.iter().position(|one| *one == host).unwrap_or(0);
        let steps_ms = match self.fault {
            Fault::ClockStep if is_affected => 2_000,
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
        let is_restart = self.fault == Fault::Restart;
        if is_restart && self.now_ms == FAULT_MS.start + STEP_MS {
            self.restart();
        }
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.exchange_heartbeats(self.now_ms);
        }
        self.handle_answers();
        for host in 0..self.hosts.len() {
            let is_frozen =
                self.fault == Fault::Freeze && self.is_affected(host);
            if !is_frozen {
                self.arrive(host);
                self.send(host);
            }
        }
    }

    pub fn report(&mut self) {
        for target in 0..self.limits.len() {
            let running = self.attempts.iter().filter(|a| a.target == target);
            let running = running.count() as u32;
            let report = TargetReport {
                is_up: true,
                is_accepting: true,
                serves_version: 1,
                running: running.min(SLOTS),
                queued: running.saturating_sub(SLOTS),
                pace: 1.0,
                every_ms: REPORT_MS as u32,
                ..TargetReport::default()
            };
            for host in &mut self.hosts {
                let address = spec(target).address;
                host.targets.record_report(self.now_ms, address, report);
            }
        }
    }

    /// Handles the answers of targets.
    fn handle_answers(&mut self) {
        for attempt in std::mem::take(&mut self.attempts) {
            let age_ms = self.now_ms - attempt.sent_ms;
            let attempt = match age_ms >= HEAD_MS && !attempt.has_head {
                true => self.handle_head(attempt),
                false => Some(attempt),
            };
            if let Some(attempt) = attempt {
                self.continue_answer(attempt, age_ms);
            }
        }
    }

    /// Handles the head of an answer with its notice. Returns `None` if the
    /// request was refused and waits again.
    fn handle_head(&mut self, mut attempt: Attempt) -> Option<Attempt> {
        let (now_ms, target) = (self.now_ms, attempt.target);
        attempt.has_head = true;
        let is_refused = self.rng.random_bool(REFUSED);
        let notice = self.notice(target, is_refused);
        self.note_bound(attempt.host, target, notice);
        let start = StartId::of(&spec(target));
        let host = &mut self.hosts[attempt.host];
        let notices = &mut host.targets.notices;
        notices.record(now_ms, start, attempt.sent_ms, notice);
        let id = spec(target).id;
        let request = &mut attempt.pending.request;
        if is_refused {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Refused);
            attempt.pending.since_ms = now_ms;
            self.waiting[attempt.host].push(attempt.pending);
            return None;
        }
        host.record_begun(now_ms, request, &id, HEAD_MS);
        Some(attempt)
    }

    /// Returns the notice of a target in an answer.
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

    /// Records that a notice binds an entry host from now on.
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

    /// Continues, breaks off or ends an answer.
    fn continue_answer(&mut self, mut attempt: Attempt, age_ms: u64) {
        let now_ms = self.now_ms;
        let id = spec(attempt.target).id;
        let host = &mut self.hosts[attempt.host];
        let request = &mut attempt.pending.request;
        if attempt.is_broken && age_ms >= END_MS / 2 {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Broken);
            request.last_event_ms = Some(now_ms);
            attempt.pending.since_ms = now_ms;
            self.waiting[attempt.host].push(attempt.pending);
        } else if age_ms >= END_MS {
            host.on_attempt_ended(now_ms, request, &id, Outcome::Whole);
        } else {
            self.attempts.push(attempt);
        }
    }

    /// Adds the requests that arrive at an entry host.
    pub fn arrive(&mut self, host: usize) {
        let head = head();
        let chance = DEMAND_PER_S * STEP_MS as f64 / 1e3;
        if self.rng.random_bool(chance) {
            let draw = self.rng.random();
            let admitted = self.hosts[host].admit(self.now_ms, &head, draw);
            let request = admitted.expect("it is admitted");
            let since_ms = self.now_ms;
            self.waiting[host].push(PendingRequest { request, since_ms });
        }
    }

    /// Sends the waiting requests of an entry host that may be sent.
    pub fn send(&mut self, host: usize) {
        let now_ms = self.now_ms;
        for mut pending in std::mem::take(&mut self.waiting[host]) {
            let draw = self.rng.random();
            let since_ms = pending.since_ms;
            let gateway = &mut self.hosts[host];
            match gateway.next(now_ms, &mut pending.request, since_ms, draw) {
                Next::Wait(_) => self.waiting[host].push(pending),
                Next::Refuse(_) => {}
                Next::Send(dispatch) => {
                    let number = dispatch.target.trim_start_matches('t');
                    let target: usize =
                        number.parse().expect("a target's number");
                    self.arrivals[target].push(now_ms);
                    let bound = self.bound_until_ms.get(&(host, target));
                    let is_bound = bound.is_some_and(|ms| now_ms < *ms);
                    self.violations += usize::from(is_bound);
                    self.attempts.push(Attempt {
                        pending,
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

/// Creates an entry host that every target has told its limit.
pub fn gateway(
    senders: &[Sender],
    own: usize,
    limits: &[Option<f64>],
) -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: centre(own),
        retries: RetryBound { ratio: 0.2, extra: 1_000.0 },
        version_ms: 0,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    gateway.set_routing(routing());
    gateway.set_entry_hosts(senders.to_vec(), own);
    gateway.set_known_entry_hosts(senders.len());
    for (place, limit) in limits.iter().enumerate() {
        let spec = spec(place);
        let start = StartId::of(&spec);
        gateway.targets.put(spec);
        let notice =
            TargetNotice { limit_per_s: *limit, ..Default::default() };
        gateway.targets.notices.record(START_MS, start, START_MS, notice);
    }
    gateway
}
