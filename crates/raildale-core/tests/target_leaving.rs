//! Targets that announce in their answers that they are leaving or want no
//! requests for a time.
//!
//! Guards against relying on the store's list alone. During a store outage
//! from 6 to 20 s, an entry host that had received such an answer at 7.792 s
//! sent the target requests at 10.183 and 10.688 s, and 3 to 5 per second
//! throughout; the store heard of it at 19.216 s. These were first tries with
//! `waited_ms=0`, so that no earlier choice of the target explains them.

mod notices_world;

use std::net::{IpAddr, SocketAddr};

use notices_world::{Fault, World};
use raildale_core::{
    Name,
    catalog::Stamp,
    fleet_message::NoticeEntry,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetNotice, TargetReport, TargetSpec,
        regions::Regions, request::Next, retry_budget::RetryBound,
        routes::EngineSpec, target_end::StartId,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// The interval at which a waiting request looks for a target, in
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

fn gateway(targets: u8) -> Gateway {
    let route = |path: &str, service: &str, kind: RouteKind| Route {
        name: path.into(),
        host: "a".into(),
        path_prefix: path.into(),
        kind,
        timeout_ms: 6_000,
        goal_ms: 400,
        gap_goal_ms: 300,
        priority: 1,
        backends: vec![(service.into(), 1)],
        max_attempts: 3,
        is_public: false,
        is_resumable: kind == RouteKind::Streaming,
        regions: Vec::new(),
    };
    let engine = EngineSpec {
        slots: 4,
        models: vec!["m".into()],
        layer_count: 16,
        step_ms: 7.4,
        usual_answer_tokens: 100.0,
        ..EngineSpec::default()
    };
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: "here".into(),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: 0,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    gateway.set_routing(
        Routing::new(1)
            .with_route(route("/", "model", RouteKind::Streaming))
            .with_route(route("/once/", "model", RouteKind::NonIdempotent))
            .with_service(Service {
                name: "model".into(),
                engine: Some(engine),
                ..Service::default()
            }),
    );
    for number in 0..targets {
        gateway.targets.put(spec(number));
    }
    gateway
}

fn spec(number: u8) -> TargetSpec {
    TargetSpec {
        id: Name::from(format!("t{number}")),
        born_ms: None,
        service: "model".into(),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        data_centre: "here".into(),
        slots: 4,
        is_draining: false,
        serves_version: Some(1),
        cold_ms: 0,
        stamp: Stamp::new(0, 1),
    }
}

fn start(number: u8) -> StartId {
    StartId::of(&spec(number))
}

fn leaving_notice() -> TargetNotice {
    TargetNotice { is_leaving: true, ..TargetNotice::default() }
}

fn retry_notice(retry_after_ms: u64) -> TargetNotice {
    let retry_after_ms = Some(retry_after_ms);
    TargetNotice { retry_after_ms, ..TargetNotice::default() }
}

/// Handles the notice in an answer of a target.
fn handle_notice(
    gateway: &mut Gateway,
    now_ms: u64,
    number: u8,
    notice: TargetNotice,
) {
    let notices = &mut gateway.targets.notices;
    notices.record(now_ms, start(number), now_ms - 50, notice);
}

fn admit(gateway: &mut Gateway, now_ms: u64, path: &str) -> Admission {
    let head = RequestHead {
        host: "a".into(),
        path: path.into(),
        deadline_ms: Some(6_000),
        model: Some("m".into()),
        ..RequestHead::default()
    };
    gateway.admit(now_ms, &head, 0).expect("it is admitted")
}

/// Returns where a new request goes, after waiting if necessary, and has it
/// answered at once; `None` if it is refused.
fn target_of(gateway: &mut Gateway, now_ms: u64, path: &str) -> Option<Name> {
    let mut request = admit(gateway, now_ms, path);
    let to = send_or_refuse(gateway, now_ms, &mut request)?;
    gateway.record_begun(now_ms, &mut request, &to, 50);
    gateway.on_attempt_ended(now_ms, &mut request, &to, Outcome::Whole);
    Some(to)
}

fn send_or_refuse(
    gateway: &mut Gateway,
    now_ms: u64,
    request: &mut Admission,
) -> Option<Name> {
    for poll in 0..400 {
        let at_ms = now_ms + poll * POLL_INTERVAL_MS;
        match gateway.next(at_ms, request, now_ms, poll as u32) {
            Next::Send(dispatch) => return Some(dispatch.target),
            Next::Wait(_) => {}
            Next::Refuse(_) => return None,
        }
    }
    panic!("it waits forever");
}

/// A target that is leaving gets nothing from the next request on, whichever
/// way requests choose a target.
#[test]
fn a_target_that_says_it_leaves_gets_nothing() {
    let mut gateway = gateway(2);
    handle_notice(&mut gateway, START_MS, 0, leaving_notice());
    for number in 0..4 {
        let now_ms = START_MS + number * 500;
        let to = target_of(&mut gateway, now_ms, "/");
        assert_eq!(to.as_deref(), Some("t1"), "a first try");
    }
    // A request that is refused elsewhere, and a stream that broke there.
    for outcome in [Outcome::Refused, Outcome::Broken] {
        let now_ms = START_MS + 3_000;
        let mut request = admit(&mut gateway, now_ms, "/");
        let first = send_or_refuse(&mut gateway, now_ms, &mut request);
        assert_eq!(first.as_deref(), Some("t1"));
        gateway.on_attempt_ended(now_ms, &mut request, "t1", outcome);
        let again = send_or_refuse(&mut gateway, now_ms + 10, &mut request);
        assert_eq!(again, None, "sent again after {outcome:?}");
    }
}

/// A request that was already waiting does not go there either.
#[test]
fn a_waiting_request_does_not_go_to_a_target_that_leaves() {
    let mut gateway = gateway(2);
    let full = TargetReport {
        is_up: true,
        is_accepting: true,
        serves_version: 1,
        running: 4,
        queued: 4,
        pace: 1.0,
        every_ms: 100,
        ..TargetReport::default()
    };
    for number in 0..2 {
        let address = spec(number).address;
        gateway.targets.record_report(START_MS, address, full);
    }
    let mut request = admit(&mut gateway, START_MS, "/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Wait(_)), "both are full");
    handle_notice(&mut gateway, START_MS + 10, 0, leaving_notice());
    let free = TargetReport { running: 0, queued: 0, ..full };
    let address = spec(0).address;
    gateway.targets.record_report(START_MS + 20, address, free);
    let to = send_or_refuse(&mut gateway, START_MS + 30, &mut request);
    assert_ne!(to.as_deref(), Some("t0"));
}

/// The store's list, an agent's report and the target's later answers don't
/// undo the announcement, even if the entry is removed and returns. Another
/// start at the same address is another target.
#[test]
fn nothing_undoes_that_a_target_leaves() {
    let mut gateway = gateway(1);
    handle_notice(&mut gateway, START_MS, 0, leaving_notice());
    let report = TargetReport {
        is_up: true,
        is_accepting: true,
        serves_version: 1,
        pace: 1.0,
        every_ms: 100,
        ..TargetReport::default()
    };
    for round in 1..=30 {
        let now_ms = START_MS + round * 1_000;
        gateway.targets.remove("t0");
        gateway.targets.sweep_notices(now_ms);
        gateway
            .targets
            .put(TargetSpec { stamp: Stamp::new(0, round), ..spec(0) });
        let address = spec(0).address;
        gateway.targets.record_report(now_ms, address, report);
        handle_notice(&mut gateway, now_ms, 0, TargetNotice::default());
        let to = target_of(&mut gateway, now_ms, "/");
        assert_eq!(to, None, "{round} s after the announcement");
    }
    let next =
        TargetSpec { id: "next".into(), stamp: Stamp::new(0, 99), ..spec(0) };
    gateway.targets.put(next);
    let to = target_of(&mut gateway, START_MS + 40_000, "/");
    assert_eq!(to.as_deref(), Some("next"));
}

/// All targets of a service are leaving: new requests are refused at once as
/// not run, with a retry time, and none is sent.
#[test]
fn with_all_targets_leaving_requests_are_refused_at_once() {
    let mut gateway = gateway(3);
    for number in 0..3 {
        handle_notice(&mut gateway, START_MS, number, leaving_notice());
    }
    for path in ["/", "/once/"] {
        let mut request = admit(&mut gateway, START_MS + 10, path);
        let now_ms = START_MS + 10;
        let next = gateway.next(now_ms, &mut request, now_ms, 0);
        let Next::Refuse(refusal) = next else {
            panic!("{path} was not refused: {next:?}");
        };
        assert!(refusal.retry_after_ms.is_some(), "it has not run");
    }
}

/// A target that refuses a request with a retry time gets no request until
/// then. The time applies to that target only.
#[test]
fn a_target_with_a_retry_time_gets_nothing_until_then() {
    let mut gateway = gateway(2);
    handle_notice(&mut gateway, START_MS, 0, retry_notice(1_500));
    for at_ms in [0, 400, 900, 1_480] {
        let to = target_of(&mut gateway, START_MS + at_ms, "/");
        assert_eq!(to.as_deref(), Some("t1"), "{at_ms} ms after the notice");
    }
    handle_notice(&mut gateway, START_MS + 1_490, 1, retry_notice(3_000));
    let to = target_of(&mut gateway, START_MS + 1_520, "/");
    assert_eq!(to.as_deref(), Some("t0"), "its retry time has passed");
}

/// All targets have named a retry time. A request whose caller will still be
/// there waits for the earliest one, and is not sent before.
#[test]
fn requests_wait_for_a_retry_time_before_their_deadline() {
    let mut gateway = gateway(2);
    handle_notice(&mut gateway, START_MS, 0, retry_notice(1_500));
    handle_notice(&mut gateway, START_MS, 1, retry_notice(3_000));
    let mut request = admit(&mut gateway, START_MS, "/");
    for at_ms in
        (START_MS..START_MS + 1_500).step_by(POLL_INTERVAL_MS as usize)
    {
        let next = gateway.next(at_ms, &mut request, START_MS, 0);
        assert!(matches!(next, Next::Wait(_)), "{next:?}");
    }
    let at_ms = START_MS + 1_500;
    let next = gateway.next(at_ms, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Send(one) if &*one.target == "t0"));
}

/// All targets have named a retry time after which the caller will have left:
/// the request is refused at once, with as much of the time as its caller
/// heeds.
#[test]
fn requests_do_not_wait_for_a_retry_time_after_their_deadline() {
    let mut gateway = gateway(2);
    handle_notice(&mut gateway, START_MS, 0, retry_notice(4_000));
    handle_notice(&mut gateway, START_MS, 1, retry_notice(3_600_000));
    let mut request = admit(&mut gateway, START_MS, "/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    let Next::Refuse(refusal) = next else {
        panic!("it was not refused: {next:?}");
    };
    let retry_ms = refusal.retry_after_ms.expect("it has not run");
    let max_retry_ms = (request.due_ms - request.arrived_ms) / 3;
    assert_eq!(retry_ms, max_retry_ms, "of 4,000 ms");
}

/// The latest retry time holds; an answer with an earlier one doesn't shorten
/// it.
#[test]
fn an_earlier_retry_time_does_not_end_a_later_one() {
    let mut gateway = gateway(2);
    handle_notice(&mut gateway, START_MS, 0, retry_notice(2_000));
    handle_notice(&mut gateway, START_MS + 10, 0, retry_notice(0));
    handle_notice(&mut gateway, START_MS + 20, 0, TargetNotice::default());
    let to = target_of(&mut gateway, START_MS + 1_000, "/");
    assert_eq!(to.as_deref(), Some("t1"));
}

/// A report by another entry host diverts requests while another target fits,
/// but doesn't close the target: a wrong report would leave a service without
/// targets.
#[test]
fn a_report_by_another_entry_host_closes_no_target() {
    let mut gateway = gateway(2);
    let from = IpAddr::from([10, 1, 0, 1]);
    for number in [0, 1] {
        let received = NoticeEntry {
            start: start(number).0,
            is_leaving: true,
            ..NoticeEntry::default()
        };
        gateway.targets.notices.merge_remote(START_MS, from, &received);
        let to = target_of(&mut gateway, START_MS, "/");
        match number {
            0 => assert_eq!(to.as_deref(), Some("t1")),
            _ => assert!(to.is_some(), "both are reported to leave"),
        }
    }
}

/// Half of the targets are leaving and the others name retry times with
/// refusals, while entry hosts are killed, freeze, are partitioned or have
/// their time of day changed. No entry host that was told sends requests
/// there.
#[parameterized(
    calm_3 = { 3, Fault::None },
    calm_7 = { 7, Fault::None },
    calm_41 = { 41, Fault::None },
    calm_149 = { 149, Fault::None },
    restart_of_7 = { 7, Fault::Restart },
    restart_of_149 = { 149, Fault::Restart },
    freeze_of_41 = { 41, Fault::Freeze },
    cut_of_41 = { 41, Fault::Cut },
    clock_step_of_7 = { 7, Fault::ClockStep },
)]
fn what_a_target_told_an_entry_host_binds_it(hosts: usize, fault: Fault) {
    let mut world = World::naming(hosts, vec![None; 12]).with(fault);
    for target in 0..12 {
        world.leaving[target] = target % 2 == 0;
        world.waits_ms[target] = 300 + 200 * target as u64;
    }
    world.play();
    assert_eq!(world.violations, 0, "requests sent nevertheless");
    let later_ms = world.named_ms + 2_000;
    let late = (0..12).step_by(2).map(|target| {
        world.arrivals[target].iter().filter(|ms| **ms > later_ms).count()
    });
    let late: usize = late.sum();
    // A restarted host has not been told.
    let was_told = fault != Fault::Restart;
    assert!(!was_told || late == 0, "{late} requests later than two seconds");
}
