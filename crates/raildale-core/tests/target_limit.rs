//! Targets that name the rate that they take from all entry hosts together
//! got what they got before. In eight seconds from the naming on, one that
//! had named 3.3 requests a second got 6 to 10 a second, and 35 in four
//! seconds from entry hosts that had its word; 25 were allowed. It turned
//! none away and failed none, so that nothing else showed its need.
//!
//! Virtual time. Each entry host has more to send than the targets take, so
//! that requests wait. Some attempts are refused and some streams break, so
//! that requests are sent again and go on elsewhere.

use std::{collections::VecDeque, net::SocketAddr};

use raildale_core::{
    Name,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetNotice, TargetReport, TargetSpec,
        ends::StartId, request::Next, retry_budget::RetryBound,
        routes::EngineSpec, shares::Sender,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
const RUN_MS: u64 = 16_000;
const STEP_MS: u64 = 20;
const SLOTS: u32 = 12;

/// The span over which arrivals are counted.
const WINDOW_MS: u64 = 4_000;

/// Requests that come to each entry host in a second.
const DEMAND_PER_S: f64 = 10.0;

/// From a request's arrival at a target to the head of its answer, and to its
/// end, in milliseconds.
const HEAD_MS: u64 = 80;
const END_MS: u64 = 800;

/// Time between two reports of a target, in milliseconds.
const REPORT_MS: u64 = 100;

/// Shares of the attempts that are refused, and that break off midway.
const REFUSED: f64 = 0.1;
const BROKEN: f64 = 0.1;

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

fn centre(place: usize) -> Name {
    Name::from(format!("dc-{}", place % 3))
}

fn spec(place: usize) -> TargetSpec {
    TargetSpec {
        id: Name::from(format!("t{place:02}")),
        born_ms: None,
        service: "model".into(),
        address: SocketAddr::from(([10, 0, 0, place as u8], 80)),
        data_centre: centre(place),
        slots: SLOTS,
        is_draining: false,
        serves_version: Some(1),
        revision: 1,
    }
}

/// A request that an entry host has.
struct Held {
    request: Admission,
    since_ms: u64,
}

/// A request at a target.
struct Attempt {
    held: Held,
    host: usize,
    target: usize,
    sent_ms: u64,
    has_head: bool,
    is_broken: bool,
}

struct World {
    now_ms: u64,
    rng: StdRng,
    hosts: Vec<Gateway>,
    waiting: Vec<Vec<Held>>,
    attempts: Vec<Attempt>,
    /// The limit that each target names.
    limits: Vec<Option<f64>>,
    /// When requests reached each target.
    arrivals: Vec<Vec<u64>>,
}

impl World {
    /// Entry hosts before targets whose limits all of them have been told.
    fn new(hosts: usize, limits: Vec<Option<f64>>) -> World {
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
            limits,
        }
    }

    fn play(&mut self) {
        while self.now_ms < START_MS + RUN_MS {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.report();
            }
            self.answer();
            for host in 0..self.hosts.len() {
                self.arrive(host);
                self.send(host);
            }
        }
    }

    fn report(&mut self) {
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
        let now_ms = self.now_ms;
        for mut attempt in std::mem::take(&mut self.attempts) {
            let age_ms = now_ms - attempt.sent_ms;
            let host = &mut self.hosts[attempt.host];
            let request = &mut attempt.held.request;
            let id = spec(attempt.target).id;
            if age_ms >= HEAD_MS && !attempt.has_head {
                attempt.has_head = true;
                let start = StartId::of(&spec(attempt.target));
                let limit_per_s = self.limits[attempt.target];
                let notice = TargetNotice { limit_per_s };
                host.notices.note(now_ms, start, attempt.sent_ms, notice);
                if self.rng.random_bool(REFUSED) {
                    let may =
                        host.ended(now_ms, request, &id, Outcome::Refused);
                    assert!(may, "a refusal may be repeated");
                    attempt.held.since_ms = now_ms;
                    self.waiting[attempt.host].push(attempt.held);
                    continue;
                }
                host.note_begun(now_ms, request, &id, HEAD_MS);
            }
            if attempt.is_broken && age_ms >= END_MS / 2 {
                host.ended(now_ms, request, &id, Outcome::Broken);
                request.last_event_ms = Some(now_ms);
                attempt.held.since_ms = now_ms;
                self.waiting[attempt.host].push(attempt.held);
                continue;
            }
            if age_ms >= END_MS {
                host.ended(now_ms, request, &id, Outcome::Whole);
                continue;
            }
            self.attempts.push(attempt);
        }
    }

    /// Requests that come to an entry host.
    fn arrive(&mut self, host: usize) {
        let head = RequestHead {
            host: "a".into(),
            path: "/".into(),
            deadline_ms: Some(6_000),
            model: Some("m".into()),
            ..RequestHead::default()
        };
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
    fn send(&mut self, host: usize) {
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

    /// The most requests that reached a target in one window.
    fn most_in_window(&self, target: usize) -> usize {
        let mut window = VecDeque::new();
        let mut most = 0;
        for at_ms in &self.arrivals[target] {
            window.push_back(*at_ms);
            while window.front().is_some_and(|ms| ms + WINDOW_MS < *at_ms) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        most
    }
}

/// An entry host that every target has told its limit.
fn gateway(senders: &[Sender], own: usize, limits: &[Option<f64>]) -> Gateway {
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
        let notice = TargetNotice { limit_per_s: *limit };
        gateway.notices.note(START_MS, start, START_MS, notice);
    }
    gateway
}

/// Requests that a target with a limit may get in one window: half as many
/// again as the limit says, and five.
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW_MS as f64 / 1e3 + 5.0
}

/// Every target names a limit. Together they get what they take, and none
/// more than is allowed.
#[parameterized(
    three = { 3, 1.0 },
    seven = { 7, 1.0 },
    seven_some = { 7, 2.9 },
    seven_many = { 7, 6.0 },
    forty_one = { 41, 1.0 },
    forty_one_some = { 41, 2.9 },
    hundred_and_forty_nine = { 149, 1.0 },
    hundred_and_forty_nine_some = { 149, 3.3 },
)]
fn a_limit_is_kept_and_used(hosts: usize, limit_per_s: f64) {
    let targets = hosts.clamp(3, 12);
    let mut world = World::new(hosts, vec![Some(limit_per_s); targets]);
    world.play();
    for target in 0..targets {
        let most = world.most_in_window(target);
        let allowed = allowed(limit_per_s);
        assert!(
            most as f64 <= allowed,
            "target {target}: {most} in a window, {allowed} allowed"
        );
    }
    let all: usize = world.arrivals.iter().map(Vec::len).sum();
    let taken = limit_per_s * targets as f64 * RUN_MS as f64 / 1e3;
    assert!(all as f64 >= 0.8 * taken, "{all} of {taken} were used");
}

/// One target among many names a limit, and the others have room.
#[parameterized(
    three = { 3 },
    seven = { 7 },
    forty_one = { 41 },
    hundred_and_forty_nine = { 149 },
)]
fn one_limit_among_many_targets_is_kept(hosts: usize) {
    let mut limits = vec![None; hosts.clamp(3, 45)];
    limits[1] = Some(1.0);
    let mut world = World::new(hosts, limits);
    world.play();
    let most = world.most_in_window(1);
    let allowed = allowed(1.0);
    assert!(most as f64 <= allowed, "{most} in a window, {allowed} allowed");
}
