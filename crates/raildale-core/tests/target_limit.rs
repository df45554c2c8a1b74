//! Targets that name the rate that they take from all entry hosts together
//! got what they got before. In eight seconds from the naming on, one that
//! had named 3.3 requests a second got 6 to 10 a second, and 35 in four
//! seconds from entry hosts that had its word; 25 were allowed. It turned
//! none away and failed none, so that nothing else showed its need. No code
//! read the limit, which only the heads of its answers told: arrivals went on
//! as before at each entry host of its data centre, 20 to 23 from each.

mod notices_world;

use std::{collections::VecDeque, net::IpAddr};

use notices_world::{
    GRACE_MS, RUN_MS, START_MS, STEP_MS, Trouble, World, head, spec,
};
use raildale_core::{
    fleet_message::ToldNotice,
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

/// The span over which arrivals are counted.
const WINDOW_MS: u64 = 4_000;

/// The most requests that reached a target in one window, of those that
/// end three seconds after the limit was named or later.
fn most_in_window(world: &World, target: usize) -> usize {
    let from_ms = world.named_ms + GRACE_MS;
    let mut window = VecDeque::new();
    let mut most = 0;
    for at_ms in &world.arrivals[target] {
        window.push_back(*at_ms);
        while window.front().is_some_and(|ms| ms + WINDOW_MS < *at_ms) {
            window.pop_front();
        }
        if *at_ms >= from_ms {
            most = most.max(window.len());
        }
    }
    most
}

/// A target with a limit gets at most half as many requests again as it says
/// in one window, and five.
fn assert_kept(world: &World, target: usize, limit_per_s: f64) {
    let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1e3 + 5.0;
    let most = most_in_window(world, target);
    assert!(
        most as f64 <= allowed,
        "target {target}: {most} in a window, {allowed} allowed"
    );
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
        assert_kept(&world, target, limit_per_s);
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
    assert_kept(&world, 1, 1.0);
}

/// Targets name limits in the middle of a run. What they got just before
/// counts in the windows from three seconds later on: one that had named 2.2
/// a second got 22 in four seconds, 18 allowed, while each entry host kept to
/// its part from the naming on.
#[parameterized(
    seven = { 7, 7 },
    seven_before_many = { 7, 45 },
    forty_one = { 41, 45 },
    hundred_and_forty_nine = { 149, 45 },
)]
fn what_came_before_the_naming_counts(hosts: usize, targets: usize) {
    let limits = (0..targets).map(|t| (t % 5 == 1).then_some(1.0)).collect();
    let mut world = World::naming(hosts, limits);
    world.play();
    for target in (1..targets).step_by(5) {
        assert_kept(&world, target, 1.0);
    }
}

/// Every target names a limit while entry hosts are killed, stand still, are
/// cut off or lose the time of day.
#[parameterized(
    restart_of_7 = { 7, Trouble::Restart, 1.0 },
    restart_of_41 = { 41, Trouble::Restart, 1.0 },
    restart_of_149 = { 149, Trouble::Restart, 1.0 },
    restart_of_41_some = { 41, Trouble::Restart, 2.9 },
    restart_of_149_some = { 149, Trouble::Restart, 2.9 },
    freeze_of_7 = { 7, Trouble::Freeze, 1.0 },
    freeze_of_41 = { 41, Trouble::Freeze, 1.0 },
    cut_of_7 = { 7, Trouble::Cut, 1.0 },
    cut_of_41 = { 41, Trouble::Cut, 1.0 },
    clock_step_of_7 = { 7, Trouble::ClockStep, 1.0 },
    clock_step_of_41 = { 41, Trouble::ClockStep, 1.0 },
)]
fn a_limit_outlasts_trouble(hosts: usize, trouble: Trouble, per_s: f64) {
    let limits = vec![Some(per_s); 7];
    let mut world = World::new(hosts, limits).with(trouble);
    world.play();
    for target in 0..7 {
        assert_kept(&world, target, per_s);
    }
}

/// A target that names a limit no longer is used as before: the first answer
/// without one tells all.
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

/// An answer without a limit to a request from before it was named, and the
/// word of another entry host from then, end nothing.
#[test]
fn what_is_older_ends_no_limit() {
    let mut notices = Notices::new();
    let (start, now_ms) = (StartId(7), START_MS);
    let limited =
        TargetNotice { limit_per_s: Some(2.0), ..TargetNotice::default() };
    let silent = TargetNotice::default();
    notices.note(now_ms, start, now_ms - 50, limited);
    let news = notices.note(now_ms + 10, start, now_ms - 40, silent);
    assert_eq!(news, []);
    let told = ToldNotice { start: 7, age_ms: 500, ..ToldNotice::default() };
    let from = IpAddr::from([10, 1, 0, 1]);
    notices.merge_remote(now_ms + 20, from, &told);
    assert_eq!(notices.limit_per_s(start), Some(2.0));
    let news = notices.note(now_ms + 100, start, now_ms + 30, silent);
    assert_eq!(news, [NoticeChange::Higher]);
    assert_eq!(notices.limit_per_s(start), None);
}

/// What does not decode is passed over and told once; zero still lets a
/// request through now and then, and a very large limit all.
#[parameterized(
    zero = { 0.0, 0, 2 },
    a_fifth = { 0.2, 1, 3 },
    some = { 2.9, 27, 30 },
    large = { 1e12, 500, 500 },
)]
fn any_limit_is_kept(limit_per_s: f64, least: usize, most: usize) {
    let mut notices = Notices::new();
    let start = StartId(7);
    let limited = TargetNotice {
        limit_per_s: Some(limit_per_s),
        ..TargetNotice::default()
    };
    notices.note(START_MS, start, START_MS, limited);
    let mut sent = 0;
    for step in 1..=500 {
        let now_ms = START_MS + step * STEP_MS;
        if notices.admits(now_ms, start, || OwnPart::ALL) {
            notices.note_sent(now_ms, start, || OwnPart::ALL);
            sent += 1;
        }
    }
    assert!((least..=most).contains(&sent), "{sent} in ten seconds");
}

#[test]
fn a_malformed_limit_is_passed_over_and_told_once() {
    let mut notices = Notices::new();
    let start = StartId(7);
    let limited =
        TargetNotice { limit_per_s: Some(2.0), ..TargetNotice::default() };
    let malformed =
        TargetNotice { is_malformed: true, ..TargetNotice::default() };
    notices.note(START_MS, start, START_MS, limited);
    let later_ms = START_MS + 100;
    let first = notices.note(later_ms, start, later_ms, malformed);
    let second = notices.note(later_ms, start, later_ms, malformed);
    assert_eq!(first, [NoticeChange::Malformed]);
    assert_eq!(second, []);
    assert_eq!(notices.limit_per_s(start), Some(2.0));
}

/// The list loses a target and has it back, and another start takes over its
/// address: the limit stays with the start that named it.
#[test]
fn a_limit_stays_with_its_start() {
    let mut gateway = World::new(1, vec![Some(1.0); 3]).hosts.remove(0);
    let start = StartId::of(&spec(1));
    gateway.targets.remove("t01");
    gateway.targets.sweep_notices(START_MS + 1_000);
    gateway.targets.put(spec(1));
    assert_eq!(gateway.targets.notices.limit_per_s(start), Some(1.0));
    let born_again = TargetSpec { born_ms: Some(5), ..spec(1) };
    gateway.targets.put(born_again.clone());
    let next = StartId::of(&born_again);
    assert_eq!(gateway.targets.notices.limit_per_s(next), None);
}

/// All targets name a limit just after they got far more. What comes now is
/// refused at once, and told a time at which a target takes requests again;
/// it does not wait until it cannot be in time any more.
#[test]
fn what_no_limit_lets_through_is_refused_at_once() {
    let mut world = World::naming(3, vec![Some(1.0); 3]);
    let now_ms = world.named_ms + 1_000;
    while world.now_ms < now_ms {
        world.step();
    }
    let gateway = &mut world.hosts[0];
    let head = head();
    let admitted = gateway.admit(now_ms, &head, 0);
    let mut request = admitted.expect("it is let in");
    let next = gateway.next(now_ms, &mut request, now_ms, 0);
    let Next::Refuse(refusal) = next else {
        panic!("it was not refused: {next:?}");
    };
    let back_ms = refusal.retry_after_ms.expect("it has not run");
    let notices = &gateway.targets.notices;
    let blocked = (0..3).map(|target| StartId::of(&spec(target)));
    let blocked = blocked.map(|start| notices.blocked_ms(now_ms, start));
    let blocked_ms = blocked.min().expect("there are targets");
    assert!(blocked_ms > 400, "the targets take none: {blocked_ms} ms");
    // Callers heed a third of the time that they have left.
    let heeded_ms = (request.due_ms - request.arrived_ms) / 3;
    let least_ms = blocked_ms.min(heeded_ms);
    assert!(back_ms >= least_ms, "{back_ms} ms, blocked for {blocked_ms}");
}

/// Half of a data centre's targets take one request a second of twelve at
/// once. Its entry hosts count on slots of the other data centres for what
/// does not fit there any more; they had none there.
#[test]
fn what_a_limit_does_not_take_is_dealt_elsewhere() {
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
    assert!(elsewhere > 0, "all slots are counted on at home");
}

/// A token was found again after it had been used where its time, multiplied
/// by the limit again, came out below its number: at 2.2 a second that is one
/// token in eleven, and it was there until the next one.
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
    let most = per_s * 1_000.0 + 1.0;
    assert!(f64::from(used) <= most, "{used} tokens of {most}");
}
