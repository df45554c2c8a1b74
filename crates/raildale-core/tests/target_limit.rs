//! Limits that targets name in the heads of their answers are kept by all
//! entry hosts together.
//!
//! Guards against ignoring them: a target that had named 3.3 requests per
//! second got 6 to 10 per second in the next eight seconds, and in four
//! seconds got 35 from entry hosts that had received its limit, where 25 were
//! allowed. It refused and failed none of them, so that nothing else showed
//! the overload. Each entry host of its data centre went on sending 20 to 23.

mod notices_world;

use std::{collections::VecDeque, net::IpAddr};

use notices_world::{
    Fault, GRACE_MS, RUN_MS, START_MS, STEP_MS, World, head, spec,
};
use raildale_core::{
    fleet_message::NoticeEntry,
    gateway::{
        NoticeChange, TargetNotice, TargetSpec,
        notices::{
            Notices,
            quota::{OwnPart, Quota},
        },
        request::Next,
        target_end::StartId,
    },
};
use yare::parameterized;

/// The window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the maximum number of requests that reached a target in one window,
/// of the windows that end at least three seconds after the limit was named.
fn max_in_window(world: &World, target: usize) -> usize {
    let from_ms = world.named_ms + GRACE_MS;
    let mut window = VecDeque::new();
    let mut max_requests = 0;
    for at_ms in &world.arrivals[target] {
        window.push_back(*at_ms);
        while window.front().is_some_and(|ms| ms + WINDOW_MS < *at_ms) {
            window.pop_front();
        }
        if *at_ms >= from_ms {
            max_requests = max_requests.max(window.len());
        }
    }
    max_requests
}

/// Asserts that a target with a limit got at most 1.5 times its limit in one
/// window, plus five requests.
fn assert_within_limit(world: &World, target: usize, limit_per_s: f64) {
    let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1e3 + 5.0;
    let max_requests = max_in_window(world, target);
    assert!(
        max_requests as f64 <= allowed,
        "target {target}: {max_requests} requests in a window, {allowed} allowed"
    );
}

/// Every target names a limit. The limits are used almost fully and none is
/// exceeded.
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
        assert_within_limit(&world, target, limit_per_s);
    }
    let all: usize = world.arrivals.iter().map(Vec::len).sum();
    let taken = limit_per_s * targets as f64 * RUN_MS as f64 / 1e3;
    assert!(all as f64 >= 0.8 * taken, "{all} of {taken} were used");
}

/// One target of many names a limit, and the others have room.
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
    assert_within_limit(&world, 1, 1.0);
}

/// Targets name limits in the middle of a run. Requests from just before the
/// naming count in the windows that end three seconds later. When each entry
/// host kept only to its part from the naming on, a target that had named 2.2
/// per second got 22 in four seconds, where 18 were allowed.
#[parameterized(
    seven = { 7, 7 },
    seven_before_many = { 7, 45 },
    forty_one = { 41, 45 },
    hundred_and_forty_nine = { 149, 45 },
)]
fn requests_before_the_naming_count(hosts: usize, targets: usize) {
    let limits = (0..targets).map(|t| (t % 5 == 1).then_some(1.0)).collect();
    let mut world = World::naming(hosts, limits);
    world.play();
    for target in (1..targets).step_by(5) {
        assert_within_limit(&world, target, 1.0);
    }
}

/// Every target names a limit while entry hosts are killed, freeze, are
/// partitioned or have their time of day changed.
#[parameterized(
    restart_of_7 = { 7, Fault::Restart, 1.0 },
    restart_of_41 = { 41, Fault::Restart, 1.0 },
    restart_of_149 = { 149, Fault::Restart, 1.0 },
    restart_of_41_some = { 41, Fault::Restart, 2.9 },
    restart_of_149_some = { 149, Fault::Restart, 2.9 },
    freeze_of_7 = { 7, Fault::Freeze, 1.0 },
    freeze_of_41 = { 41, Fault::Freeze, 1.0 },
    cut_of_7 = { 7, Fault::Cut, 1.0 },
    cut_of_41 = { 41, Fault::Cut, 1.0 },
    clock_step_of_7 = { 7, Fault::ClockStep, 1.0 },
    clock_step_of_41 = { 41, Fault::ClockStep, 1.0 },
)]
fn a_limit_holds_during_faults(hosts: usize, fault: Fault, per_s: f64) {
    let limits = vec![Some(per_s); 7];
    let mut world = World::new(hosts, limits).with(fault);
    world.play();
    for target in 0..7 {
        assert_within_limit(&world, target, per_s);
    }
}

/// A target whose limit ends is used as before. The first answer without a
/// limit is passed on to all entry hosts.
#[parameterized(
    seven = { 7 },
    hundred_and_forty_nine = { 149 },
)]
fn a_limit_ends_for_all(hosts: usize) {
    let mut world = World::new(hosts, vec![Some(1.0); 7]);
    world.limits = vec![None; 7];
    world.play();
    for (place, gateway) in world.hosts.iter().enumerate() {
        for target in 0..7 {
            let start = StartId::of(&spec(target));
            let limit = gateway.targets.notices.limit_per_s(start);
            assert_eq!(limit, None, "entry host {place}, target {target}");
        }
    }
}

/// An answer without a limit to a request from before the naming, and an older
/// report by another entry host, don't end the limit.
#[test]
fn older_information_does_not_end_a_limit() {
    let mut notices = Notices::new();
    let (start, now_ms) = (StartId(7), START_MS);
    let limited =
        TargetNotice { limit_per_s: Some(2.0), ..TargetNotice::default() };
    let silent = TargetNotice::default();
    notices.record(now_ms, start, now_ms - 50, limited);
    let changes = notices.record(now_ms + 10, start, now_ms - 40, silent);
    assert_eq!(changes, []);
    let received =
        NoticeEntry { start: 7, age_ms: 500, ..NoticeEntry::default() };
    let from = IpAddr::from([10, 1, 0, 1]);
    notices.merge_remote(now_ms + 20, from, &received);
    assert_eq!(notices.limit_per_s(start), Some(2.0));
    let changes = notices.record(now_ms + 100, start, now_ms + 30, silent);
    assert_eq!(changes, [NoticeChange::Higher]);
    assert_eq!(notices.limit_per_s(start), None);
}

/// A limit of zero still allows a request now and then, and a very large one
/// allows all.
#[parameterized(
    zero = { 0.0, 0, 2 },
    a_fifth = { 0.2, 1, 3 },
    some = { 2.9, 27, 30 },
    large = { 1e12, 500, 500 },
)]
fn any_limit_is_kept(limit_per_s: f64, min_sent: usize, max_requests: usize) {
    let mut notices = Notices::new();
    let start = StartId(7);
    let limited = TargetNotice {
        limit_per_s: Some(limit_per_s),
        ..TargetNotice::default()
    };
    notices.record(START_MS, start, START_MS, limited);
    let mut sent = 0;
    for step in 1..=500 {
        let now_ms = START_MS + step * STEP_MS;
        if notices.admits(now_ms, start, || OwnPart::ALL) {
            notices.record_sent(now_ms, start, || OwnPart::ALL);
            sent += 1;
        }
    }
    assert!(
        (min_sent..=max_requests).contains(&sent),
        "{sent} in ten seconds"
    );
}

#[test]
fn a_malformed_limit_is_ignored_and_reported_once() {
    let mut notices = Notices::new();
    let start = StartId(7);
    let limited =
        TargetNotice { limit_per_s: Some(2.0), ..TargetNotice::default() };
    let malformed =
        TargetNotice { is_malformed: true, ..TargetNotice::default() };
    notices.record(START_MS, start, START_MS, limited);
    let later_ms = START_MS + 100;
    let first = notices.record(later_ms, start, later_ms, malformed);
    let second = notices.record(later_ms, start, later_ms, malformed);
    assert_eq!(first, [NoticeChange::Malformed]);
    assert_eq!(second, []);
    assert_eq!(notices.limit_per_s(start), Some(2.0));
}

/// A limit is kept by the start that named it, when its entry is removed and
/// returns, and when another start takes over its address.
#[test]
fn a_limit_is_kept_by_its_start() {
    let mut gateway = World::new(1, vec![Some(1.0); 3]).hosts.remove(0);
    let start = StartId::of(&spec(1));
    gateway.targets.remove("t01");
    gateway.targets.sweep_notices(START_MS + 1_000);
    gateway.targets.put(spec(1));
    assert_eq!(gateway.targets.notices.limit_per_s(start), Some(1.0));
    let restarted = TargetSpec { born_ms: Some(5), ..spec(1) };
    gateway.targets.put(restarted.clone());
    let next = StartId::of(&restarted);
    assert_eq!(gateway.targets.notices.limit_per_s(next), None);
}

/// All targets name a limit just after they got far more. A new request is
/// refused at once, with the time at which a target accepts requests again; it
/// does not wait until it can't meet its goal any more.
#[test]
fn requests_beyond_all_limits_are_refused_at_once() {
    let mut world = World::naming(3, vec![Some(1.0); 3]);
    let now_ms = world.named_ms + 1_000;
    while world.now_ms < now_ms {
        world.step();
    }
    let gateway = &mut world.hosts[0];
    let head = head();
    let admitted = gateway.admit(now_ms, &head, 0);
    let mut request = admitted.expect("it is admitted");
    let next = gateway.next(now_ms, &mut request, now_ms, 0);
    let Next::Refuse(refusal) = next else {
        panic!("it was not refused: {next:?}");
    };
    let retry_ms = refusal.retry_after_ms.expect("it has not run");
    let notices = &gateway.targets.notices;
    let blocked = (0..3).map(|target| StartId::of(&spec(target)));
    let blocked = blocked.map(|start| notices.blocked_ms(now_ms, start));
    let blocked_ms = blocked.min().expect("there are targets");
    assert!(blocked_ms > 400, "the targets accept none: {blocked_ms} ms");
    // Callers heed at most a third of their remaining time.
    let max_retry_ms = (request.due_ms - request.arrived_ms) / 3;
    let min_retry_ms = blocked_ms.min(max_retry_ms);
    assert!(
        retry_ms >= min_retry_ms,
        "{retry_ms} ms, blocked for {blocked_ms}"
    );
}

/// Half of a data centre's targets, which have twelve slots each, accept one
/// request per second. Its entry hosts must own slots in the other data
/// centres for the requests that no longer fit in theirs.
#[test]
fn slots_beyond_a_limit_are_owned_elsewhere() {
    let is_limited = |target: usize| target.is_multiple_of(6);
    let limits = (0..12).map(|t| is_limited(t).then_some(1.0)).collect();
    let mut world = World::new(6, limits);
    let gateway = &mut world.hosts[0];
    let service = gateway.routing().and_then(|r| r.service("model")).cloned();
    let service = service.expect("it is configured");
    gateway.targets.update_own_slots(START_MS + 1_000, &service);
    let elsewhere: u32 = gateway
        .targets
        .iter()
        .filter(|target| *target.spec.data_centre != *"dc-0")
        .map(|target| target.own_slots)
        .sum();
    assert!(elsewhere > 0, "all owned slots are in the own data centre");
}

/// Guards against using a token twice. That happened where the token's time,
/// multiplied by the limit, was rounded to less than its number: for one token
/// in eleven at 2.2 per second, until the next token.
#[parameterized(
    one = { 1.0 },
    two_and_a_bit = { 2.2 },
    some = { 2.9 },
    a_third = { 1.0 / 3.0 },
    many = { 37.7 },
)]
fn a_token_is_used_once(per_s: f64) {
    let quota = Quota { start: StartId(7), per_s, part: OwnPart::ALL };
    let from_s = 1_772_827_726.0;
    let mut used_s = from_s;
    let mut used = 0;
    for step in 1..=50_000 {
        let now_s = from_s + f64::from(step) * 0.02;
        if let Some(token_s) = quota.token(now_s, used_s) {
            used_s = token_s;
            used += 1;
        }
    }
    let max_requests = per_s * 1_000.0 + 1.0;
    assert!(
        f64::from(used) <= max_requests,
        "{used} tokens, {max_requests} allowed"
    );
}
