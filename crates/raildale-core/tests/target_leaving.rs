//! A target said in its answers that it leaves, while the store, which was to
//! list it as leaving, answered nobody from 6 to 20 s. The entry host that had
//! passed such an answer on at 7.792 s sent it requests at 10.183 and 10.688
//! s, and 3 to 5 a second all the while; the store heard of it at 19.216 s.
//! That a target leaves was read from the store's list alone: `waited_ms=0` and
//! first tries say that nothing had chosen it before.

mod notices_world;

use std::net::{IpAddr, SocketAddr};

use notices_world::{Trouble, World};
use raildale_core::{
    Name,
    catalog::Stamp,
    fleet_message::ToldNotice,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetNotice, TargetReport, TargetSpec,
        request::Next, retry_budget::RetryBound, routes::EngineSpec,
        target_end::StartId,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// Time between two looks of a request that waits, in milliseconds.
const LOOK_MS: u64 = 20;

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
    });
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
        stamp: Stamp::new(0, 1),
    }
}

fn start(number: u8) -> StartId {
    StartId::of(&spec(number))
}

fn leaves() -> TargetNotice {
    TargetNotice { is_leaving: true, ..TargetNotice::default() }
}

fn turns_away(retry_after_ms: u64) -> TargetNotice {
    let retry_after_ms = Some(retry_after_ms);
    TargetNotice { retry_after_ms, ..TargetNotice::default() }
}

/// What the answer of a target says to this entry host.
fn hear(gateway: &mut Gateway, now_ms: u64, number: u8, notice: TargetNotice) {
    let notices = &mut gateway.targets.notices;
    notices.note(now_ms, start(number), now_ms - 50, notice);
}

fn admit(gateway: &mut Gateway, now_ms: u64, path: &str) -> Admission {
    let head = RequestHead {
        host: "a".into(),
        path: path.into(),
        deadline_ms: Some(6_000),
        model: Some("m".into()),
        ..RequestHead::default()
    };
    gateway.admit(now_ms, &head, 0).expect("it is let in")
}

/// Where a request that comes now goes, waiting included, and is answered at
/// once; `None` if it is refused.
fn goes_to(gateway: &mut Gateway, now_ms: u64, path: &str) -> Option<Name> {
    let mut request = admit(gateway, now_ms, path);
    let to = settle(gateway, now_ms, &mut request)?;
    gateway.note_begun(now_ms, &mut request, &to, 50);
    gateway.on_attempt_ended(now_ms, &mut request, &to, Outcome::Whole);
    Some(to)
}

fn settle(
    gateway: &mut Gateway,
    now_ms: u64,
    request: &mut Admission,
) -> Option<Name> {
    for look in 0..400 {
        let at_ms = now_ms + look * LOOK_MS;
        match gateway.next(at_ms, request, now_ms, look as u32) {
            Next::Send(dispatch) => return Some(dispatch.target),
            Next::Wait(_) => {}
            Next::Refuse(_) => return None,
        }
    }
    panic!("it waits for ever");
}

/// The one that leaves gets nothing from the next request on, in whatever way
/// requests choose a target.
#[test]
fn a_target_that_says_it_leaves_gets_nothing() {
    let mut gateway = gateway(2);
    hear(&mut gateway, START_MS, 0, leaves());
    for number in 0..4 {
        let now_ms = START_MS + number * 500;
        let to = goes_to(&mut gateway, now_ms, "/");
        assert_eq!(to.as_deref(), Some("t1"), "a first try");
    }
    // One that is refused elsewhere, and a stream that broke there.
    for outcome in [Outcome::Refused, Outcome::Broken] {
        let now_ms = START_MS + 3_000;
        let mut request = admit(&mut gateway, now_ms, "/");
        let first = settle(&mut gateway, now_ms, &mut request);
        assert_eq!(first.as_deref(), Some("t1"));
        gateway.on_attempt_ended(now_ms, &mut request, "t1", outcome);
        let again = settle(&mut gateway, now_ms + 10, &mut request);
        assert_eq!(again, None, "sent again after {outcome:?}");
    }
}

/// One that waited since before the word does not go there either.
#[test]
fn what_waits_does_not_go_to_a_target_that_leaves() {
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
        gateway.targets.note_report(START_MS, address, full);
    }
    let mut request = admit(&mut gateway, START_MS, "/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Wait(_)), "both are full");
    hear(&mut gateway, START_MS + 10, 0, leaves());
    let free = TargetReport { running: 0, queued: 0, ..full };
    let address = spec(0).address;
    gateway.targets.note_report(START_MS + 20, address, free);
    let to = settle(&mut gateway, START_MS + 30, &mut request);
    assert_ne!(to.as_deref(), Some("t0"));
}

/// The store's list, an agent's report and another entry host that know of
/// nothing do not undo it; the entry may go and come back meanwhile. Another
/// start at the same address is another target.
#[test]
fn nobody_else_undoes_that_a_target_leaves() {
    let mut gateway = gateway(1);
    hear(&mut gateway, START_MS, 0, leaves());
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
        gateway.targets.note_report(now_ms, address, report);
        hear(&mut gateway, now_ms, 0, TargetNotice::default());
        let to = goes_to(&mut gateway, now_ms, "/");
        assert_eq!(to, None, "{round} s after it said so");
    }
    let next =
        TargetSpec { id: "next".into(), stamp: Stamp::new(0, 99), ..spec(0) };
    gateway.targets.put(next);
    let to = goes_to(&mut gateway, START_MS + 40_000, "/");
    assert_eq!(to.as_deref(), Some("next"));
}

/// All targets of a service leave: what comes is refused at once, as not run
/// and with a time, and not sent there.
#[test]
fn with_all_targets_leaving_requests_are_refused_at_once() {
    let mut gateway = gateway(3);
    for number in 0..3 {
        hear(&mut gateway, START_MS, number, leaves());
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

/// A target that turned a request away with a time got the next one at once,
/// where it wants nothing until then and two may reach it by mistake. The time
/// holds for that target alone.
#[test]
fn a_target_that_names_a_time_gets_nothing_until_then() {
    let mut gateway = gateway(2);
    hear(&mut gateway, START_MS, 0, turns_away(1_500));
    for at_ms in [0, 400, 900, 1_480] {
        let to = goes_to(&mut gateway, START_MS + at_ms, "/");
        assert_eq!(to.as_deref(), Some("t1"), "{at_ms} ms after it said so");
    }
    hear(&mut gateway, START_MS + 1_490, 1, turns_away(3_000));
    let to = goes_to(&mut gateway, START_MS + 1_520, "/");
    assert_eq!(to.as_deref(), Some("t0"), "its time is over");
}

/// All targets have named a time. A request whose caller is still there by
/// then waits for the first of them, and is sent no sooner.
#[test]
fn what_can_wait_for_the_time_named_does() {
    let mut gateway = gateway(2);
    hear(&mut gateway, START_MS, 0, turns_away(1_500));
    hear(&mut gateway, START_MS, 1, turns_away(3_000));
    let mut request = admit(&mut gateway, START_MS, "/");
    for at_ms in (START_MS..START_MS + 1_500).step_by(LOOK_MS as usize) {
        let next = gateway.next(at_ms, &mut request, START_MS, 0);
        assert!(matches!(next, Next::Wait(_)), "{next:?}");
    }
    let at_ms = START_MS + 1_500;
    let next = gateway.next(at_ms, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Send(one) if &*one.target == "t0"));
}

/// All have named a time after which the caller will have left: the request is
/// refused at once, and told the time as far as its caller heeds one.
#[test]
fn what_cannot_wait_for_the_time_named_is_refused_at_once() {
    let mut gateway = gateway(2);
    hear(&mut gateway, START_MS, 0, turns_away(4_000));
    hear(&mut gateway, START_MS, 1, turns_away(3_600_000));
    let mut request = admit(&mut gateway, START_MS, "/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    let Next::Refuse(refusal) = next else {
        panic!("it was not refused: {next:?}");
    };
    let back_ms = refusal.retry_after_ms.expect("it has not run");
    let heeded_ms = (request.due_ms - request.arrived_ms) / 3;
    assert_eq!(back_ms, heeded_ms, "of 4,000 ms");
}

/// The longest time named holds, and one that is told again while it lasts
/// shortens nothing.
#[test]
fn a_shorter_time_does_not_end_a_longer_one() {
    let mut gateway = gateway(2);
    hear(&mut gateway, START_MS, 0, turns_away(2_000));
    hear(&mut gateway, START_MS + 10, 0, turns_away(0));
    hear(&mut gateway, START_MS + 20, 0, TargetNotice::default());
    let to = goes_to(&mut gateway, START_MS + 1_000, "/");
    assert_eq!(to.as_deref(), Some("t1"));
}

/// Another entry host's word keeps requests away while another target fits,
/// and closes nothing: wrong, it would empty a service.
#[test]
fn the_word_of_another_entry_host_empties_no_service() {
    let mut gateway = gateway(2);
    let from = IpAddr::from([10, 1, 0, 1]);
    for number in [0, 1] {
        let told = ToldNotice {
            start: start(number).0,
            is_leaving: true,
            ..ToldNotice::default()
        };
        gateway.targets.notices.merge_remote(START_MS, from, &told);
        let to = goes_to(&mut gateway, START_MS, "/");
        match number {
            0 => assert_eq!(to.as_deref(), Some("t1")),
            _ => assert!(to.is_some(), "both are said to leave"),
        }
    }
}

/// Half of the targets leave and the others name times beside refusals, while
/// entry hosts are killed, stand still, are cut off or lose the time of day.
/// None that was told sends there all the same.
#[parameterized(
    calm_3 = { 3, Trouble::None },
    calm_7 = { 7, Trouble::None },
    calm_41 = { 41, Trouble::None },
    calm_149 = { 149, Trouble::None },
    restart_of_7 = { 7, Trouble::Restart },
    restart_of_149 = { 149, Trouble::Restart },
    freeze_of_41 = { 41, Trouble::Freeze },
    cut_of_41 = { 41, Trouble::Cut },
    clock_step_of_7 = { 7, Trouble::ClockStep },
)]
fn what_a_target_told_an_entry_host_binds_it(hosts: usize, trouble: Trouble) {
    let mut world = World::naming(hosts, vec![None; 12]).with(trouble);
    for target in 0..12 {
        world.leaving[target] = target % 2 == 0;
        world.waits_ms[target] = 300 + 200 * target as u64;
    }
    world.play();
    assert_eq!(world.broken, 0, "requests sent all the same");
    let later_ms = world.named_ms + 2_000;
    let late = (0..12).step_by(2).map(|target| {
        world.arrivals[target].iter().filter(|ms| **ms > later_ms).count()
    });
    let late: usize = late.sum();
    // One that starts anew has not been told.
    let is_told = trouble != Trouble::Restart;
    assert!(!is_told || late == 0, "{late} two seconds later");
}
