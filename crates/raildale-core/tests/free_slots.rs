//! Free slots of targets that many entry hosts learn of at the same time.

use std::net::SocketAddr;

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{
        Gateway, GatewayConfig, RequestHead, Route, RouteKind, Routing,
        Service, TargetReport, TargetSpec, regions::Regions, request::Next,
        retry_budget::RetryBound, routes::EngineSpec, shares::Sender,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
const TARGETS: u8 = 45;
const SLOTS: u32 = 12;

/// The number of free slots in each report.
const FREE: u32 = 2;

fn routing() -> Routing {
    let route = Route {
        name: "deep".into(),
        host: "a".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 6_000,
        goal_ms: 400,
        gap_goal_ms: 400,
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
        step_ms: 9.3,
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

fn address(target: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, target], 80))
}

/// Returns an entry host that has a request in each slot that it owns, and
/// targets that each have some free slots.
fn busy_gateway(senders: &[Sender], own: usize) -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: centre(own),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: 0,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    gateway.set_routing(routing());
    gateway.set_entry_hosts(senders.to_vec(), own);
    for place in 1..=TARGETS {
        gateway.targets.put(TargetSpec {
            id: Name::from(format!("t{place:02}")),
            born_ms: None,
            service: "model".into(),
            address: address(place),
            data_centre: centre(usize::from(place)),
            slots: SLOTS,
            is_draining: false,
            serves_version: Some(1),
            cold_ms: 0,
            stamp: Stamp::new(0, 1),
        });
    }
    let service = gateway.routing().and_then(|r| r.service("model")).cloned();
    let service = service.expect("it is configured");
    gateway.targets.update_own_slots(START_MS, &service);
    let own_slots: Vec<(Name, u32)> = gateway
        .targets
        .iter()
        .map(|target| (target.spec.id.clone(), target.own_slots))
        .collect();
    for (id, slots) in own_slots {
        for _ in 0..slots {
            gateway.targets.record_sent(&id);
            gateway.targets.record_begun(&id);
        }
    }
    for place in 1..=TARGETS {
        let report = TargetReport {
            is_up: true,
            is_accepting: true,
            serves_version: 1,
            running: SLOTS - FREE,
            pace: 1.0,
            every_ms: 100,
            ..TargetReport::default()
        };
        let at_ms = START_MS + u64::from(place);
        gateway.targets.record_report(at_ms, address(place), report);
    }
    gateway
}

/// Returns how many of ten requests that wait at an entry host are sent at
/// once.
fn sent_at_once(gateway: &mut Gateway, host: usize) -> u32 {
    let now_ms = START_MS + 100;
    let head = RequestHead {
        host: "a".into(),
        path: "/".into(),
        deadline_ms: Some(6_000),
        model: Some("m".into()),
        ..RequestHead::default()
    };
    let is_sent = |place: u32| {
        let draw = (host as u32 * 10 + place).wrapping_mul(2_654_435_761);
        let admitted = gateway.admit(now_ms, &head, draw);
        let mut request = admitted.expect("it is admitted");
        let next = gateway.next(now_ms, &mut request, now_ms, draw);
        matches!(next, Next::Send(_))
    };
    (0..10).map(is_sent).filter(|is_sent| *is_sent).count() as u32
}

/// All entry hosts learn that two slots are free at each target, and have more
/// requests than that. A target reads prompts one after the other, so that
/// each request beyond its slots waits for a whole answer. The number of
/// requests sent is at most twice the number of free slots in a fleet of any
/// size.
#[parameterized(
    three = { 3 },
    seven = { 7 },
    twenty = { 20 },
    forty_one = { 41 },
    forty_eight = { 48 },
    forty_nine = { 49 },
    hundred_and_forty_nine = { 149 },
)]
fn free_slots_are_filled_about_once(hosts: usize) {
    let senders: Vec<Sender> = (0..hosts)
        .map(|place| Sender { data_centre: centre(place), demand: 10.0 })
        .collect();
    let sent: u32 = (0..hosts)
        .map(|own| sent_at_once(&mut busy_gateway(&senders, own), own))
        .sum();
    let free = u32::from(TARGETS) * FREE;
    assert!(sent <= 2 * free, "{sent} sent to {free} free slots");
}
