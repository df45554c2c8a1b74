//! Decisions of an entry host about requests.

use std::net::SocketAddr;

use raildale_core::{
    Code, Name,
    catalog::Stamp,
    gateway::{
        Admission, Fingerprint, Fingerprints, Gateway, GatewayConfig, Outcome,
        RequestHead, Route, RouteKind, Routing, Service, TargetReport,
        TargetSpec,
        lapse::{Lapse, StoreView},
        ranks::{Rank, Turns},
        regions::Regions,
        request::Next,
        retry_budget::RetryBound,
        routes::{EngineSpec, NoRoute, Organisation},
        shares::Sender,
        versions::NamedVersion,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
const VERSION_MS: u64 = 8_000;

fn route(host: &str, prefix: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: Name::from(format!("{host}{prefix}")),
        host: Name::from(host),
        path_prefix: Name::from(prefix),
        kind,
        timeout_ms: 6_000,
        goal_ms: 400,
        gap_goal_ms: 300,
        priority: 1,
        backends: vec![(Name::from(service), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: kind == RouteKind::Streaming,
        regions: Vec::new(),
    }
}

/// Returns entry hosts in the same data centre with equal demand.
fn entry_hosts(count: u32) -> Vec<Sender> {
    let data_centre = Name::from("here");
    vec![Sender { data_centre, demand: 10.0 }; count as usize]
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 2,
        models: vec![Name::from("m")],
        chunk_count: 4,
        layer_count: 16,
        step_ms: 7.4,
        per_sequence_ms: 0.04,
        usual_answer_tokens: 106.0,
        ..EngineSpec::default()
    }
}

fn routing() -> Routing {
    let organisation = Organisation {
        name: "club".into(),
        priority: None,
        regions: Vec::new(),
    };
    Routing::new(7)
        .with_route(route("a", "/", "plain", RouteKind::Idempotent))
        .with_route(route("a", "/deep/", "model", RouteKind::Streaming))
        .with_route(route("a", "/once/", "plain", RouteKind::NonIdempotent))
        .with_service(Service {
            name: "model".into(),
            engine: Some(engine()),
            ..Service::default()
        })
        .with_service(Service { name: "plain".into(), ..Service::default() })
        .with_organisation(organisation, [Name::from("key")])
}

fn target(
    id: &str,
    service: &str,
    last: u8,
    version: Option<u64>,
) -> TargetSpec {
    TargetSpec {
        id: Name::from(id),
        service: Name::from(service),
        address: SocketAddr::from(([10, 0, 0, last], 80)),
        data_centre: Name::from("here"),
        slots: 2,
        is_draining: false,
        born_ms: None,
        serves_version: version,
        cold_ms: 0,
        stamp: Stamp::new(0, 1),
    }
}

fn report(version: u64) -> TargetReport {
    TargetReport {
        is_up: true,
        is_accepting: true,
        serves_version: version,
        pace: 1.0,
        ..TargetReport::default()
    }
}

fn gateway() -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: "here".into(),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: VERSION_MS,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    assert!(gateway.set_routing(routing()));
    gateway
}

fn head(path: &str) -> RequestHead {
    RequestHead {
        id: "r1".into(),
        host: "a".into(),
        path: path.into(),
        key: Some("key".into()),
        deadline_ms: Some(6_000),
        model: Some("m".into()),
        ..RequestHead::default()
    }
}

fn admit(gateway: &mut Gateway, path: &str) -> Admission {
    gateway.admit(START_MS, &head(path), 0).expect("the request is admitted")
}

fn sent(next: Next) -> Option<Name> {
    match next {
        Next::Send(dispatch) => Some(dispatch.target),
        Next::Wait(_) | Next::Refuse(_) => None,
    }
}

#[parameterized(
    longest_prefix_wins = { "a", "/deep/x", Some("key"), Ok("a/deep/") },
    short_prefix = { "a", "/other", Some("key"), Ok("a/") },
    unknown_host = { "b", "/", Some("key"), Err(NoRoute::Unknown) },
    no_key = { "a", "/", None, Err(NoRoute::Unauthorised) },
    wrong_key = { "a", "/", Some("no"), Err(NoRoute::Unauthorised) },
)]
fn a_route_is_found(
    host: &str,
    path: &str,
    key: Option<&str>,
    expected: Result<&str, NoRoute>,
) {
    let found = routing().find(host, path, key);
    let found = found.map(|(route, _)| route.name.to_string());
    assert_eq!(found, expected.map(str::to_string));
}

#[test]
fn an_older_configuration_is_refused() {
    let mut gateway = gateway();
    assert!(!gateway.set_routing(Routing::new(6)));
    assert_eq!(gateway.routing().map(|routing| routing.version), Some(7));
}

#[test]
fn a_split_route_follows_its_weights() {
    let mut split = route("a", "/", "one", RouteKind::Idempotent);
    split.backends = vec![("one".into(), 90), ("two".into(), 10)];
    let twos = (0..100)
        .filter(|draw| split.service(*draw).is_some_and(|s| &**s == "two"))
        .count();
    assert_eq!(twos, 10);
}

#[parameterized(
    empty = { None, false },
    whole = { Some(1), true },
)]
fn weights_are_needed(version: Option<u64>, is_sent: bool) {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, version));
    let mut request = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next).is_some(), is_sent);
}

#[parameterized(
    long_before_the_bound = { 1_000, 0, true },
    shortly_before_the_bound = { VERSION_MS - 2_400, 0, false },
    after_the_bound = { VERSION_MS + 1, 0, false },
    over_a_slow_path = { 1_000, 600, false },
    over_no_fast_path_near_the_bound = { VERSION_MS - 3_000, 150, false },
    over_no_fast_path_long_before = { 1_000, 150, true },
    over_a_fast_path_near_the_bound = { VERSION_MS - 3_000, 20, true },
)]
fn an_old_version_gets_nothing_that_starts_too_late(
    age_ms: u64,
    round_trip_ms: u64,
    is_sent: bool,
) {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let named_ms = START_MS - age_ms;
    gateway
        .versions
        .record_heard(&"m".into(), NamedVersion { version: 2, named_ms });
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let report = TargetReport { round_trip_ms, ..report(1) };
    gateway.targets.record_report(START_MS, address, report);
    let mut request = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next).is_some(), is_sent);
}

#[test]
fn what_waits_at_an_old_version_is_withdrawn_before_the_bound() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let version = NamedVersion { version: 2, named_ms: START_MS };
    gateway.versions.record_heard(&"m".into(), version);
    let request = admit(&mut gateway, "/deep/");
    let late_ms = START_MS + VERSION_MS - 600;
    assert!(!gateway.is_too_old(START_MS + 1_000, &request, "t", Some(1)));
    assert!(gateway.is_too_old(late_ms, &request, "t", Some(1)));
}

#[test]
fn what_waits_where_nothing_is_known_is_withdrawn_before_the_bound() {
    let mut gateway = gateway();
    let version = NamedVersion { version: 2, named_ms: START_MS };
    gateway.versions.record_heard(&"m".into(), version);
    let request = admit(&mut gateway, "/deep/");
    let late_ms = START_MS + VERSION_MS - 600;
    assert!(gateway.is_too_old(late_ms, &request, "t", Some(1)), "unlisted");
    gateway.targets.put(target("t", "model", 1, None));
    assert!(gateway.is_too_old(late_ms, &request, "t", Some(1)), "unknown");
    gateway.targets.put(target("t", "model", 1, Some(2)));
    assert!(!gateway.is_too_old(late_ms, &request, "t", Some(1)), "newer");
}

// Failure: an entry host that was killed or frozen while a version was named
// started streams on the older version for longer after the naming than the
// bound allows. It heard of the version seconds late, and another entry host
// then reported how long ago it was named, or a version in between.
//
// Cause: the time at which the version was first heard of was kept, and
// versions below the newest were ignored.
//
// It happened with three entry hosts frozen from 0.1 s before a naming until
// 4.3 s after it: they logged event 308 4.3 s later than the others, and event
// 510 for streams that only they started on the older version until 10.1 s
// after the naming, with a bound of 8 s.
#[parameterized(
    reported_as_named_earlier = { &[(2, 0), (2, 5_000)] },
    reported_one_between = { &[(3, 0), (2, 5_000)] },
    reported_as_named_later = { &[(2, 5_000), (2, 0)] },
)]
fn a_bound_counts_from_the_earliest_reported_naming(reported: &[(u64, u64)]) {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    for (version, age_ms) in reported {
        let named_ms = START_MS - age_ms;
        let named = NamedVersion { version: *version, named_ms };
        gateway.versions.record_heard(&"m".into(), named);
    }
    let request = admit(&mut gateway, "/deep/");
    let bound_ms = START_MS - 5_000 + VERSION_MS;
    assert!(!gateway.is_too_old(bound_ms - 800, &request, "t", Some(1)));
    assert!(gateway.is_too_old(bound_ms - 600, &request, "t", Some(1)));
}

#[parameterized(
    draining = { true, true },
    about_to_swap = { false, false },
)]
fn a_closed_target_gets_nothing(is_draining: bool, is_accepting: bool) {
    let mut gateway = gateway();
    let spec = target("t", "model", 1, Some(1));
    gateway.targets.put(TargetSpec { is_draining, ..spec });
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let report = TargetReport { is_accepting, ..report(1) };
    gateway.targets.record_report(START_MS, address, report);
    let mut request = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next), None);
}

#[test]
fn entry_hosts_with_equal_reports_do_not_flood_one_target() {
    let mut gateway = gateway();
    gateway.set_entry_hosts(entry_hosts(6), 0);
    for last in 1..=2 {
        let id = format!("t{last}");
        let slots = 16;
        let spec = target(&id, "model", last, Some(1));
        gateway.targets.put(TargetSpec { slots, ..spec });
        let address = SocketAddr::from(([10, 0, 0, last], 80));
        let running = u32::from(last - 1) * 4;
        let report = TargetReport { running, ..report(1) };
        gateway.targets.record_report(START_MS, address, report);
    }
    let mut counts = [0; 2];
    for draw in 0..6 {
        let mut request = admit(&mut gateway, "/deep/");
        let next = gateway.next(START_MS, &mut request, START_MS, draw);
        let id = sent(next).expect("there is room");
        gateway.record_begun(START_MS, &mut request, &id, 100);
        counts[usize::from(&*id == "t2")] += 1;
    }
    assert_eq!(
        counts,
        [3, 3],
        "the target with less load does not get all six"
    );
}

#[parameterized(
    stream_breaks = { "/deep/", Outcome::Broken, true },
    repeatable_breaks = { "/x", Outcome::Broken, true },
    once_breaks = { "/once/", Outcome::Broken, false },
    once_is_refused = { "/once/", Outcome::Refused, true },
    once_is_misdirected = { "/once/", Outcome::Misdirected, true },
    once_is_not_reached = { "/once/", Outcome::Unreachable, true },
    whole = { "/x", Outcome::Whole, false },
)]
fn only_what_may_run_twice_is_sent_again(
    path: &str,
    outcome: Outcome,
    again: bool,
) {
    let mut gateway = gateway();
    let mut request = admit(&mut gateway, path);
    let may_repeat =
        gateway.on_attempt_ended(START_MS, &mut request, "t", outcome);
    assert_eq!(may_repeat, again);
}

#[test]
fn a_misdirecting_target_is_excluded_for_a_while() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "plain", 1, None));
    let mut request = admit(&mut gateway, "/x");
    gateway.on_attempt_ended(
        START_MS,
        &mut request,
        "t",
        Outcome::Misdirected,
    );
    let mut other = admit(&mut gateway, "/x");
    let next = gateway.next(START_MS, &mut other, START_MS, 0);
    assert_eq!(sent(next), None, "no second attempt goes there");
    let later_ms = START_MS + 1_600;
    let next = gateway.next(later_ms, &mut other, later_ms, 0);
    assert!(sent(next).is_some());
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut gateway = gateway();
    let mut request = admit(&mut gateway, "/once/");
    gateway.on_attempt_ended(START_MS, &mut request, "t", Outcome::Broken);
    for code in [Code::NoTarget, Code::DeadlinePassed, Code::TargetBusy] {
        let refusal = gateway.give_up(&request, code);
        assert_eq!(refusal.code, Code::Unknown);
        assert_eq!(refusal.retry_after_ms, None);
    }
}

#[test]
fn attempts_are_bounded_by_the_route() {
    let mut gateway = gateway();
    for last in 1..=3 {
        gateway.targets.put(target(&format!("t{last}"), "plain", last, None));
    }
    // Earlier requests must fill the budget: it is empty at the start.
    for _ in 0..10 {
        admit(&mut gateway, "/x");
    }
    let mut request = admit(&mut gateway, "/x");
    for _ in 0..2 {
        let next = gateway.next(START_MS, &mut request, START_MS, 0);
        let id = sent(next).expect("an attempt is left");
        gateway.on_attempt_ended(
            START_MS,
            &mut request,
            &id,
            Outcome::Refused,
        );
    }
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    let Next::Refuse(refusal) = next else { panic!("a third attempt") };
    assert_eq!(refusal.code, Code::TargetBusy);
}

#[test]
fn a_first_try_is_refused_with_the_time_until_a_target_serves() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, None));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let missing_chunks = 10;
    let report = TargetReport { missing_chunks, ..report(0) };
    gateway.targets.record_report(START_MS, address, report);
    let mut request = admit(&mut gateway, "/deep/");
    let later_ms = START_MS + 200;
    let next = gateway.next(later_ms, &mut request, START_MS, 0);
    let Next::Refuse(refusal) = next else { panic!("it waits") };
    assert_eq!(refusal.code, Code::NoTarget);
    assert_eq!(refusal.retry_after_ms, Some(10 * 65 + 450));
}

#[test]
fn a_later_try_waits_for_a_target_that_will_serve() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, None));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let report = TargetReport { missing_chunks: 10, ..report(0) };
    gateway.targets.record_report(START_MS, address, report);
    let later_try = RequestHead { deadline_ms: Some(4_000), ..head("/deep/") };
    let mut request = gateway
        .admit(START_MS, &later_try, 0)
        .expect("the request is admitted");
    let later_ms = START_MS + 200;
    let next = gateway.next(later_ms, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
}

/// Returns a gateway with one target that has `slots` slots and runs 9
/// requests.
fn full_gateway(slots: u32) -> Gateway {
    let mut gateway = gateway();
    let spec = target("t", "model", 1, Some(1));
    gateway.targets.put(TargetSpec { slots, ..spec });
    report_running(&mut gateway, START_MS, 9);
    gateway
}

fn report_running(gateway: &mut Gateway, now_ms: u64, running: u32) {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let report = TargetReport { running, ..report(1) };
    gateway.targets.record_report(now_ms, address, report);
}

fn waits(gateway: &mut Gateway, now_ms: u64, request: &mut Admission) -> bool {
    let since_ms = request.arrived_ms;
    match gateway.next(now_ms, request, since_ms, 0) {
        Next::Wait(_) => true,
        Next::Refuse(_) => false,
        Next::Send(dispatch) => panic!("sent: {dispatch:?}"),
    }
}

/// A request that can meet its goal waits. Of the late ones, one at a time
/// waits to find out whether any is served; the next is refused at once.
#[test]
fn in_an_overload_a_late_first_try_is_refused_at_once() {
    let mut gateway = full_gateway(2);
    let mut in_time = admit(&mut gateway, "/deep/");
    assert!(waits(&mut gateway, START_MS, &mut in_time), "an empty queue");
    let mut late = admit(&mut gateway, "/deep/");
    assert!(waits(&mut gateway, START_MS, &mut late), "the only late one");
    let mut refused = admit(&mut gateway, "/deep/");
    assert!(!waits(&mut gateway, START_MS, &mut refused), "a second one");
    gateway.stop_waiting(&mut in_time);
    let mut next = admit(&mut gateway, "/deep/");
    assert!(
        waits(&mut gateway, START_MS, &mut next),
        "the queue is empty again"
    );
    let mut refused = admit(&mut gateway, "/deep/");
    assert!(!waits(&mut gateway, START_MS, &mut refused), "still late");
}

/// A request that has waited too long to meet its goal becomes late, and is
/// refused at once if no late request is served.
#[test]
fn a_request_that_has_become_late_is_refused() {
    let mut gateway = full_gateway(2);
    let mut first = admit(&mut gateway, "/deep/");
    let mut second = admit(&mut gateway, "/deep/");
    assert!(waits(&mut gateway, START_MS, &mut first));
    assert!(waits(&mut gateway, START_MS, &mut second));
    let later_ms = START_MS + 300;
    report_running(&mut gateway, later_ms, 9);
    assert!(!waits(&mut gateway, later_ms, &mut first), "one is late already");
    assert!(waits(&mut gateway, later_ms, &mut second), "the only late one");
}

/// Late requests leave a fifth of the slots to those that can meet their goal.
#[parameterized(
    room_for_all = { 6, true },
    room_for_those_in_time = { 7, false },
)]
fn late_requests_leave_slots_free(running: u32, is_late_sent: bool) {
    let mut gateway = full_gateway(8);
    let later_try = RequestHead { deadline_ms: Some(4_000), ..head("/deep/") };
    let mut late = gateway
        .admit(START_MS, &later_try, 0)
        .expect("the request is admitted");
    report_running(&mut gateway, START_MS, running);
    let next = gateway.next(START_MS, &mut late, START_MS, 0);
    assert_eq!(matches!(next, Next::Send(_)), is_late_sent, "{next:?}");
    let mut in_time = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut in_time, START_MS, 0);
    assert!(matches!(next, Next::Send(_)), "{next:?}");
}

/// When a request counts as late depends on the recently measured time to the
/// first event.
#[parameterized(
    quick = { 100, 200, true },
    slow = { 350, 200, false },
)]
fn lateness_follows_measured_first_events(
    first_event_ms: u64,
    waited_ms: u64,
    is_in_time: bool,
) {
    let mut gateway = full_gateway(8);
    report_running(&mut gateway, START_MS, 0);
    for _ in 0..50 {
        let mut served = admit(&mut gateway, "/deep/");
        let next = gateway.next(START_MS, &mut served, START_MS, 0);
        let id = sent(next).expect("there is room");
        gateway.record_begun(START_MS, &mut served, &id, first_event_ms);
        gateway.on_attempt_ended(START_MS, &mut served, &id, Outcome::Whole);
    }
    let mut request = admit(&mut gateway, "/deep/");
    let later_ms = START_MS + waited_ms;
    // There is room for a request that can meet its goal, but not for a late
    // one.
    report_running(&mut gateway, later_ms, 7);
    let next = gateway.next(later_ms, &mut request, START_MS, 0);
    assert_eq!(matches!(next, Next::Send(_)), is_in_time, "{next:?}");
}

/// Prompts are read one after the other, however many slots are free.
#[test]
fn prompts_that_a_target_reads_at_once_are_bounded() {
    let mut gateway = full_gateway(8);
    report_running(&mut gateway, START_MS, 0);
    let mut requests = Vec::new();
    for _ in 0..4 {
        let mut request = admit(&mut gateway, "/deep/");
        let next = gateway.next(START_MS, &mut request, START_MS, 0);
        let is_sent = sent(next).is_some();
        gateway.stop_waiting(&mut request);
        requests.push(is_sent.then_some(request));
    }
    let counts = requests.iter().flatten().count();
    assert_eq!(counts, 3, "0.4 of its 8 slots");
    let first = requests[0].as_mut().expect("it was sent");
    let id = first.tried[0].clone();
    gateway.record_begun(START_MS, first, &id, 100);
    let mut next_one = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut next_one, START_MS, 0);
    assert!(matches!(next, Next::Send(_)), "one has begun: {next:?}");
}

/// The request that is due first is sent first, whichever is checked first.
#[test]
fn the_request_that_is_due_first_gets_the_free_slot() {
    let mut gateway = full_gateway(8);
    let mut first = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut first, START_MS, 0);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
    let later_ms = START_MS + 60;
    let mut second =
        gateway.admit(later_ms, &head("/deep/"), 0).expect("it is admitted");
    let next = gateway.next(later_ms, &mut second, later_ms, 0);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
    let free_ms = START_MS + 80;
    report_running(&mut gateway, free_ms, 7);
    let next = gateway.next(free_ms, &mut second, later_ms, 0);
    assert!(matches!(next, Next::Wait(_)), "not first in the queue: {next:?}");
    let next = gateway.next(free_ms, &mut first, START_MS, 0);
    assert!(matches!(next, Next::Send(_)), "{next:?}");
}

/// As many late requests wait as will be served before their callers leave.
#[test]
fn late_requests_wait_while_others_are_served() {
    let mut gateway = full_gateway(8);
    report_running(&mut gateway, START_MS, 0);
    for _ in 0..6 {
        let later_try =
            RequestHead { deadline_ms: Some(4_000), ..head("/deep/") };
        let mut served =
            gateway.admit(START_MS, &later_try, 0).expect("it is admitted");
        let next = gateway.next(START_MS, &mut served, START_MS, 0);
        let id = sent(next).expect("there is room");
        gateway.record_begun(START_MS, &mut served, &id, 100);
    }
    report_running(&mut gateway, START_MS, 9);
    // Six requests just sent are a rate of 4.2 per second. A caller leaves
    // after 2.4 s, of which the first event takes 0.1 s, so that nine precede
    // the last one that is served in time.
    let mut waiting: Vec<Admission> = Vec::new();
    for place in 0..12 {
        let later_try =
            RequestHead { deadline_ms: Some(4_000), ..head("/deep/") };
        let mut late =
            gateway.admit(START_MS, &later_try, 0).expect("it is admitted");
        let is_waiting = waits(&mut gateway, START_MS, &mut late);
        assert_eq!(is_waiting, place <= 9, "place {place}");
        waiting.push(late);
    }
}

/// Guards against cutting an answer that has begun at `due_ms`: a stream was
/// cut 28 ms before its caller's deadline.
#[test]
fn an_answer_that_has_begun_may_use_the_whole_timeout() {
    let mut gateway = gateway();
    let request = admit(&mut gateway, "/deep/");
    let timeout_ms = request.route.timeout_ms;
    assert_eq!(request.answer_due_ms(), START_MS + timeout_ms);
    assert!(request.due_ms < request.answer_due_ms());
}

#[parameterized(
    agent_heard = { 100, 400, false },
    agent_silent = { 1_200, 400, true },
    agent_silent_for_a_moment = { 1_200, 100, false },
)]
fn requests_move_from_a_silent_target(
    report_age_ms: u64,
    silent_ms: u64,
    is_moved: bool,
) {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let heard_ms = START_MS - report_age_ms;
    gateway.targets.record_report(heard_ms, address, report(1));
    let mut request = admit(&mut gateway, "/deep/");
    request.tried.push("t".into());
    let silence = gateway.silence(START_MS, &request, "t", silent_ms, false);
    assert_eq!(silence.is_some(), is_moved);
}

#[parameterized(
    no_other = { 1_200, None, false },
    another_with_room = { 1_200, Some(0), true },
    another_that_is_full = { 1_200, Some(9), false },
    soon = { 900, Some(0), false },
)]
fn a_silent_stream_moves_only_where_there_is_room(
    silent_ms: u64,
    running_elsewhere: Option<u32>,
    is_moved: bool,
) {
    let mut gateway = gateway();
    let put = |gateway: &mut Gateway, id: &str, last: u8, running: u32| {
        let spec = target(id, "model", last, Some(1));
        let address = spec.address;
        gateway.targets.put(spec);
        let reported = TargetReport { running, ..report(1) };
        gateway.targets.record_report(START_MS, address, reported);
    };
    put(&mut gateway, "t", 1, 1);
    if let Some(running) = running_elsewhere {
        put(&mut gateway, "u", 2, running);
    }
    let mut request = admit(&mut gateway, "/deep/");
    request.tried.push("t".into());
    let silence = gateway.silence(START_MS, &request, "t", silent_ms, true);
    assert_eq!(silence.is_some(), is_moved);
}

#[parameterized(
    as_it_happens = { ["old", "new"], [(0, 5), (0, 9)] },
    from_a_list = { ["new", "old"], [(0, 5), (0, 9)] },
    after_a_restore = { ["old", "new"], [(0, 9), (1, 5)] },
    from_a_list_after_a_restore = { ["new", "old"], [(0, 9), (1, 5)] },
)]
fn an_address_belongs_to_its_latest_start(
    order: [&str; 2],
    stamps: [(u64, u64); 2],
) {
    let mut gateway = gateway();
    for id in order {
        let (era, revision) = stamps[usize::from(id == "new")];
        let stamp = Stamp::new(era, revision);
        let spec = TargetSpec { stamp, ..target(id, "model", 1, Some(1)) };
        gateway.targets.put(spec);
    }
    let known: Vec<&str> =
        gateway.targets.iter().map(|t| &*t.spec.id).collect();
    assert_eq!(known, ["new"]);
    gateway.targets.remove("old");
    let reported = gateway.targets.record_report(
        START_MS,
        SocketAddr::from(([10, 0, 0, 1], 80)),
        report(1),
    );
    assert!(reported, "removing the old start keeps the new one");
}

#[parameterized(
    progress = { 20, Some(1_750) },
    no_progress = { 30, None },
)]
fn a_stalled_fill_gives_no_ready_time(
    missing_chunks: u32,
    ready_ms: Option<u64>,
) {
    let mut gateway = gateway();
    let spec = target("t1", "model", 1, None);
    let address = spec.address;
    gateway.targets.put(spec);
    let reported =
        |missing_chunks| TargetReport { missing_chunks, ..report(0) };
    gateway.targets.record_report(START_MS, address, reported(30));
    let later_ms = START_MS + 1_200;
    gateway.targets.record_report(later_ms, address, reported(missing_chunks));
    let ready = gateway.targets.ready_in_ms(later_ms, "model");
    assert_eq!(ready, ready_ms);
}

#[test]
fn a_silent_agent_is_reported_once() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    gateway.targets.record_report(START_MS, address, report(1));
    let up = vec![(Name::from("t"), true)];
    assert_eq!(gateway.targets.agent_changes(START_MS), up);
    assert_eq!(gateway.targets.agent_changes(START_MS + 100), vec![]);
    let down = vec![(Name::from("t"), false)];
    assert_eq!(gateway.targets.agent_changes(START_MS + 2_000), down);
    assert_eq!(gateway.targets.agent_changes(START_MS + 2_100), vec![]);
}

#[test]
fn a_path_that_was_slow_stays_slow_for_a_while() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let named_ms = START_MS - 1_000;
    gateway
        .versions
        .record_heard(&"m".into(), NamedVersion { version: 2, named_ms });
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let slow = TargetReport { round_trip_ms: 600, ..report(1) };
    gateway.targets.record_report(START_MS - 300, address, slow);
    gateway.targets.record_report(START_MS, address, report(1));
    let mut request = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next), None, "the path was slow recently");
}

/// Guards against resuming a stream over a congested link, where it arrived
/// long after its caller had left, because the healthy targets were full for a
/// moment.
#[test]
fn nothing_is_sent_over_a_slow_path_while_a_fast_one_is_only_full() {
    let mut gateway = gateway();
    gateway.targets.put(target("full", "model", 1, Some(1)));
    gateway.targets.put(target("slow", "model", 2, Some(1)));
    let full = TargetReport { running: 2, queued: 2, ..report(1) };
    let slow = TargetReport { round_trip_ms: 600, ..report(1) };
    for (last, reported) in [(1, full), (2, slow)] {
        let address = SocketAddr::from(([10, 0, 0, last], 80));
        gateway.targets.record_report(START_MS, address, reported);
    }
    let mut request = admit(&mut gateway, "/deep/");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
    gateway.targets.remove("full");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next).as_deref(), Some("slow"), "there is no other");
}

/// Where a congested link delays reports as well as requests, only an overdue
/// report shows that it is slow. An agent whose reports are missing for longer
/// than any path takes has failed beside a healthy target.
#[parameterized(
    regular = { 100, true },
    slow_path = { 800, false },
    very_slow_path = { 2_800, false },
    agent_missing = { 3_600, true },
)]
fn nothing_is_sent_where_reports_are_overdue_while_a_fast_path_is_full(
    silent_ms: u64,
    is_sent: bool,
) {
    let mut gateway = gateway();
    gateway.targets.put(target("full", "model", 1, Some(1)));
    gateway.targets.put(target("mute", "model", 2, Some(1)));
    let now_ms = START_MS + silent_ms;
    let idle = TargetReport { every_ms: 100, ..report(1) };
    let full = TargetReport { running: 2, queued: 2, ..idle };
    for (last, at_ms, reported) in [(1, now_ms, full), (2, START_MS, idle)] {
        let address = SocketAddr::from(([10, 0, 0, last], 80));
        gateway.targets.record_report(at_ms, address, reported);
    }
    let mut request =
        gateway.admit(now_ms, &head("/deep/"), 0).expect("it is admitted");
    let next = gateway.next(now_ms, &mut request, now_ms, 0);
    assert_eq!(sent(next).as_deref(), is_sent.then_some("mute"));
}

/// Many entry hosts have the same reports, in which one target looks idle.
#[test]
fn a_target_that_looks_idle_is_not_flooded_by_all_entry_hosts() {
    const HOSTS: u32 = 34;
    const TARGETS: u8 = 45;
    let mut sent_to_idle = 0;
    for host in 0..HOSTS {
        let mut gateway = gateway();
        gateway.set_entry_hosts(entry_hosts(HOSTS), host as usize);
        for last in 1..=TARGETS {
            let id = format!("t{last}");
            let spec = TargetSpec {
                slots: 12,
                ..target(&id, "model", last, Some(1))
            };
            let address = spec.address;
            gateway.targets.put(spec);
            let running = if last == 1 { 0 } else { 6 };
            let reported = TargetReport { running, ..report(1) };
            gateway.targets.record_report(START_MS, address, reported);
        }
        // A different random number on each host spreads them over the
        // targets.
        let draw = host.wrapping_mul(2_654_435_761);
        let head = head("/deep/x");
        let mut request =
            gateway.admit(START_MS, &head, draw).expect("it is admitted");
        match gateway.next(START_MS, &mut request, START_MS, draw) {
            Next::Send(to) if &*to.target == "t1" => sent_to_idle += 1,
            Next::Send(_) => {}
            other => panic!("it has a target: {other:?}"),
        }
    }
    assert!(sent_to_idle <= 14, "{sent_to_idle} of {HOSTS} at once");
}

#[parameterized(
    just_due = { 300, 440, 0 },
    late = { 300, 700, 250 },
    frequent = { 100, 440, 190 },
)]
fn a_report_counts_as_delayed_once_it_is_overdue(
    every_ms: u32,
    age_ms: u64,
    delay_ms: u64,
) {
    let mut gateway = gateway();
    let spec = target("t1", "model", 1, Some(1));
    let address = spec.address;
    gateway.targets.put(spec);
    let reported = TargetReport { every_ms, ..report(1) };
    gateway.targets.record_report(START_MS, address, reported);
    let target = gateway.targets.get("t1").expect("it was listed");
    assert_eq!(target.round_trip_ms(START_MS + age_ms), delay_ms);
}

/// A relayed report is ignored if the agent itself has reported later.
#[test]
fn a_digest_never_replaces_a_later_report() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let running = |gateway: &Gateway| {
        let target = gateway.targets.get("t").expect("it is listed");
        let report = target.report(START_MS).map(|report| report.running);
        (report, target.direct_report(START_MS).is_some())
    };
    let reported = |running| TargetReport { running, ..report(1) };
    gateway.targets.record_relayed_report(
        START_MS - 700,
        address,
        reported(5),
    );
    assert_eq!(running(&gateway), (Some(5), false), "by digest only");
    gateway.targets.record_report(START_MS - 200, address, reported(1));
    assert_eq!(running(&gateway), (Some(1), true));
    gateway.targets.record_relayed_report(
        START_MS - 300,
        address,
        reported(7),
    );
    assert_eq!(running(&gateway), (Some(1), true), "older");
    gateway.targets.record_relayed_report(
        START_MS - 100,
        address,
        reported(9),
    );
    assert_eq!(running(&gateway), (Some(9), false), "newer");
}

/// Digests come less often than reports: a target is not considered silent
/// between two of them.
#[test]
fn a_target_known_by_digests_is_not_silent_between_two() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let every_ms = 800;
    let reported = TargetReport { every_ms, ..report(1) };
    gateway.targets.record_relayed_report(START_MS, address, reported);
    let is_silent = |now_ms| {
        let target = gateway.targets.get("t").expect("it is listed");
        target.is_silent(now_ms)
    };
    assert!(!is_silent(START_MS + 1_100));
    assert!(is_silent(START_MS + 1_300));
}

/// When a target starts again under its name, the reports on the previous
/// start and the requests sent there don't count.
#[test]
fn a_target_that_restarts_under_its_name_is_a_new_start() {
    let mut gateway = gateway();
    let started = |ms| TargetSpec {
        born_ms: Some(ms),
        serves_version: None,
        ..target("t", "model", 1, Some(1))
    };
    gateway.targets.put(started(1));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    gateway.targets.record_report(START_MS, address, report(1));
    gateway.targets.record_sent("t");
    gateway.targets.put(started(1));
    let known = gateway.targets.get("t").expect("it is listed");
    assert_eq!(
        (known.in_flight, known.serves_version(START_MS)),
        (1, Some(1))
    );
    gateway.targets.put(started(2));
    let known = gateway.targets.get("t").expect("it is listed");
    assert_eq!((known.in_flight, known.serves_version(START_MS)), (0, None));
}

/// An entry host that was cut off from the store heard 1.9 s after its
/// recovery that a target had left, and no longer watched the store by then.
#[parameterized(
    heard_and_watching = { false, true, 2_250 },
    heard_and_not_watching = { false, false, 2_250 },
    peer_reported_and_watching = { true, true, 2_250 },
    peer_reported_and_not_watching = { true, false, 4_150 },
)]
fn a_lapse_is_over_some_time_after_the_recovery(
    is_from_peer: bool,
    is_watcher: bool,
    over_ms: u64,
) {
    let lapse = Lapse { at_ms: START_MS + 1_900, is_from_peer };
    let recovered_ms = START_MS;
    let store = StoreView { is_watcher, sees_store: true, recovered_ms };
    let over = (0..100)
        .map(|step| START_MS + step * 50)
        .find(|now_ms| lapse.is_over(*now_ms, store));
    assert_eq!(over, Some(START_MS + over_ms));
}

/// A start has ended once another start has its address, even if its entry was
/// removed first; one that lapsed and returned has not.
#[parameterized(
    at_once = { false, "u", 1, 1 },
    removed_first = { true, "u", 1, 1 },
    returned_unchanged = { true, "t", 1, 0 },
    elsewhere = { true, "u", 2, 0 },
)]
fn another_start_at_the_address_ends_the_previous_one(
    is_removed_first: bool,
    next: &str,
    address: u8,
    expected: usize,
) {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    if is_removed_first {
        gateway.targets.remove("t");
    }
    let mut spec = target(next, "model", address, Some(1));
    spec.stamp.revision = 2;
    gateway.targets.put(spec);
    assert_eq!(gateway.take_ends(START_MS).len(), expected);
}

/// A request that broke off three times as its target ended is refused at
/// once, with a code that tells correctly whether this try has run.
#[parameterized(first_attempt = { false }, after_an_attempt = { true })]
fn a_request_that_crashed_its_targets_is_refused(has_tried: bool) {
    let mut gateway = gateway();
    let same = Fingerprint::new(Some("key"), &[b"/deep/x"]);
    let lose_target =
        |gateway: &mut Gateway, request: &mut Admission, last: u8| {
            let id = format!("t{last}");
            let now_ms = START_MS + u64::from(last) * 1_000;
            gateway.targets.put(target(&id, "model", last, Some(1)));
            let address = SocketAddr::from(([10, 0, 0, last], 80));
            gateway.targets.record_report(now_ms, address, report(1));
            let next = gateway.next(now_ms, request, now_ms, 0);
            assert_eq!(sent(next).as_deref(), Some(&*id));
            gateway.on_attempt_ended(now_ms, request, &id, Outcome::Broken);
            let down = TargetReport { is_up: false, ..report(1) };
            gateway.targets.record_report(now_ms + 50, address, down);
            gateway.take_ends(now_ms + 50);
        };
    for last in 1..=3 {
        let mut request = admit(&mut gateway, "/deep/x");
        request = request.with_fingerprints(Fingerprints::new(same));
        request.due_ms += 10_000;
        lose_target(&mut gateway, &mut request, last);
        if has_tried && last == 3 {
            let now_ms = START_MS + 3_100;
            let next = gateway.next(now_ms, &mut request, now_ms, 0);
            let Next::Refuse(refusal) = next else { panic!("it is sent") };
            assert_eq!(refusal.code, Code::Unknown);
            assert_eq!(refusal.retry_after_ms, None);
            return;
        }
    }
    let mut request = admit(&mut gateway, "/deep/x")
        .with_fingerprints(Fingerprints::new(same));
    let next = gateway.next(START_MS + 3_100, &mut request, START_MS, 0);
    let Next::Refuse(refusal) = next else { panic!("it is sent") };
    assert_eq!(refusal.code, Code::Quarantined);
    assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 1_000));
}

/// A target at whose address nothing listens gets no requests until its agent
/// reports it up again.
#[test]
fn a_target_that_refused_a_connection_gets_nothing_until_it_is_up() {
    let mut gateway = gateway();
    gateway.targets.put(target("t", "model", 1, Some(1)));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    gateway.targets.record_report(START_MS, address, report(1));
    let mut request = admit(&mut gateway, "/deep/x");
    let next = gateway.next(START_MS, &mut request, START_MS, 0);
    assert_eq!(sent(next).as_deref(), Some("t"));
    let now_ms = START_MS + 5;
    gateway.on_attempt_ended(now_ms, &mut request, "t", Outcome::NobodyThere);
    let mut later = admit(&mut gateway, "/deep/x");
    let next = gateway.next(now_ms, &mut later, now_ms, 0);
    assert_eq!(sent(next), None);
    gateway.targets.record_report(now_ms + 100, address, report(1));
    let next = gateway.next(now_ms + 101, &mut later, now_ms, 0);
    assert_eq!(sent(next).as_deref(), Some("t"));
}

/// Returns a gateway whose service `model` has streams of two priorities, and
/// two organisations of which `first` goes first.
fn ranked_gateway() -> Gateway {
    let stream = |path: &str, priority: u8| Route {
        priority,
        ..route("r", path, "model", RouteKind::Streaming)
    };
    let organisation = |name: &str, priority: u8| Organisation {
        name: name.into(),
        priority: Some(priority),
        regions: Vec::new(),
    };
    let mut gateway = gateway();
    let routing = Routing::new(8)
        .with_route(stream("/urgent/", 0))
        .with_route(stream("/batch/", 2))
        .with_service(Service {
            name: "model".into(),
            engine: Some(EngineSpec { usual_answer_tokens: 5.0, ..engine() }),
            ..Service::default()
        })
        .with_organisation(organisation("first", 0), [Name::from("a")])
        .with_organisation(organisation("other", 1), [Name::from("b")]);
    assert!(gateway.set_routing(routing));
    gateway.targets.put(target("t1", "model", 1, Some(1)));
    gateway
}

fn admit_ranked(gateway: &mut Gateway, path: &str, key: &str) -> Admission {
    let head = RequestHead {
        host: "r".into(),
        path: Name::from(path),
        key: Some(key.into()),
        deadline_ms: Some(6_000),
        ..RequestHead::default()
    };
    gateway.admit(START_MS, &head, 0).expect("it is admitted")
}

/// An organisation's priority goes before the route's, and the route's decides
/// among its requests.
#[test]
fn waiting_requests_go_by_rank() {
    let mut gateway = ranked_gateway();
    let mut running: Vec<Admission> =
        (0..2).map(|_| admit_ranked(&mut gateway, "/urgent/", "a")).collect();
    for request in &mut running {
        gateway.next(START_MS, request, START_MS, 0);
        gateway.record_begun(START_MS, request, "t1", 20);
    }
    let full = TargetReport { running: 2, ..report(1) };
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    gateway.targets.record_report(START_MS, address, full);
    let order = [
        ("/batch/", "b"),
        ("/urgent/", "b"),
        ("/batch/", "a"),
        ("/urgent/", "a"),
    ];
    let mut waiting: Vec<Admission> = order
        .iter()
        .map(|(path, key)| admit_ranked(&mut gateway, path, key))
        .collect();
    for request in &mut waiting {
        let next = gateway.next(START_MS, request, START_MS, 0);
        assert!(matches!(next, Next::Wait(_)), "{next:?}");
    }
    for first in (0..waiting.len()).rev() {
        let mut done = running.remove(0);
        let outcome = Outcome::Whole;
        gateway.on_attempt_ended(START_MS, &mut done, "t1", outcome);
        let later_ms = START_MS + 20;
        for (place, request) in waiting.iter_mut().enumerate() {
            let next = gateway.next(later_ms, request, START_MS, 0);
            let is_sent = matches!(next, Next::Send(_));
            assert_eq!(is_sent, place == first, "{place}: {next:?}");
        }
        let mut sent = waiting.remove(first);
        gateway.record_begun(later_ms, &mut sent, "t1", 20);
        running.push(sent);
    }
}

/// While little is free, the less urgent wait although there is a slot, but
/// not a stream that broke off elsewhere.
#[test]
fn the_last_slots_are_left_to_the_urgent() {
    let mut gateway = ranked_gateway();
    let spec = target("t1", "model", 1, Some(1));
    gateway.targets.put(TargetSpec { slots: 10, ..spec });
    report_running(&mut gateway, START_MS, 9);
    let mut urgent = admit_ranked(&mut gateway, "/urgent/", "a");
    let mut batch = admit_ranked(&mut gateway, "/batch/", "a");
    assert!(waits(&mut gateway, START_MS, &mut batch));
    gateway.stop_waiting(&mut batch);
    let mut resumed = admit_ranked(&mut gateway, "/batch/", "a");
    resumed.last_event_ms = Some(START_MS);
    for request in [&mut urgent, &mut resumed] {
        let next = gateway.next(START_MS, request, START_MS, 0);
        assert_eq!(sent(next).as_deref(), Some("t1"));
    }
}

/// However many urgent requests there are, the others get a turn.
#[test]
fn every_rank_gets_a_turn() {
    let mut turns = Turns::default();
    let mut unranked = 0;
    for _ in 0..80 {
        unranked += u32::from(turns.is_unranked());
        turns.record_sent(true);
        turns.record_sent(false);
    }
    assert_eq!(unranked, 10);
}

/// Where the streams of a service have one priority, nobody has a rank,
/// whatever the organisations' priorities and other routes' are.
#[test]
fn requests_of_one_priority_have_no_rank() {
    let mut gateway = gateway();
    let organisation = Organisation {
        name: "first".into(),
        priority: Some(0),
        regions: Vec::new(),
    };
    let plain = Route {
        priority: 2,
        ..route("a", "/plain/", "plain", RouteKind::Idempotent)
    };
    let mut routing = routing()
        .with_route(plain)
        .with_organisation(organisation, [Name::from("a")]);
    routing.version = 9;
    gateway.set_routing(routing);
    for (path, key) in [("/deep/", "a"), ("/deep/", "key"), ("/plain/", "a")] {
        let head = RequestHead {
            host: "a".into(),
            path: path.into(),
            key: Some(key.into()),
            ..RequestHead::default()
        };
        let request = gateway.admit(START_MS, &head, 0).expect("admitted");
        assert_eq!(request.rank, Rank::default(), "{path} {key}");
    }
}
