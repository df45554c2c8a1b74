//! Which requests are kept from targets, and who knows of it, case by case.

use raildale_core::{
    fleet_message::ToldSuspect,
    gateway::{
        Fingerprint,
        quarantine::{Permission, Quarantine},
        target_end::StartId,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// Time between two ends that have nothing to do with one another.
const APART_MS: u64 = 1_000;

/// The time of day as the process's clock began.
const UNIX_MS: u64 = 1_790_000_000_000;

/// Targets of the service.
const TARGETS: u32 = 12;

/// Longer than a culprit that is sure is kept.
const LONG_MS: u64 = 20 * 60 * 1_000;

fn fingerprint(key: &str, path: &str) -> Fingerprint {
    Fingerprint::new(Some(key), &[path.as_bytes()])
}

fn deadly() -> Fingerprint {
    fingerprint("key", "/deadly")
}

fn sound() -> Fingerprint {
    fingerprint("key", "/sound")
}

/// A start of a target ends under some requests.
fn end(known: &mut Quarantine, at_ms: u64, start: u64, under: &[Fingerprint]) {
    for one in under {
        known.note_sent(*one);
        known.note_broken(at_ms, *one, StartId(start));
        known.note_try_ended(*one);
    }
    known.note_start_ended(at_ms + 100, StartId(start), at_ms + 100, TARGETS);
}

/// Starts that end one after the other under some requests; returns when the
/// last one did.
fn end_apart(
    known: &mut Quarantine,
    count: u64,
    under: &[Fingerprint],
) -> u64 {
    let at_ms = |number: u64| START_MS + number * APART_MS;
    for number in 0..count {
        end(known, at_ms(number), number, under);
    }
    at_ms(count - 1)
}

fn is_kept(known: &Quarantine, now_ms: u64, of: Fingerprint) -> bool {
    matches!(known.permission(now_ms, of), Permission::Denied(_))
}

fn tell(from: &Quarantine, to: &mut Quarantine, now_ms: u64) {
    to.merge_remote(now_ms, from.outgoing(now_ms));
}

#[parameterized(
    none = { 0, false },
    two = { 2, false },
    three = { 3, true },
    many = { 40, true },
)]
fn three_losses_make_a_culprit(losses: u64, expected: bool) {
    let mut known = Quarantine::new();
    let mut at_ms = START_MS;
    if losses > 0 {
        at_ms = end_apart(&mut known, losses, &[deadly()]);
    }
    assert_eq!(is_kept(&known, at_ms + APART_MS, deadly()), expected);
}

#[parameterized(
    key = { Some("other"), "/deadly", false },
    no_key = { None, "/deadly", false },
    path = { Some("key"), "/other", false },
    same = { Some("key"), "/deadly", true },
)]
fn only_the_same_request_of_the_same_caller_is_kept(
    key: Option<&str>,
    path: &str,
    expected: bool,
) {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 3, &[deadly()]);
    let other = Fingerprint::new(key, &[path.as_bytes()]);
    assert_eq!(is_kept(&known, at_ms + 200, other), expected);
}

#[test]
fn parts_do_not_run_into_one_another() {
    let split = |parts: &[&[u8]]| Fingerprint::new(Some("key"), parts);
    assert_ne!(split(&[b"ab", b"c"]), split(&[b"a", b"bc"]));
    let text = deadly().to_string();
    assert_eq!(Fingerprint::from_text(&text), Some(deadly()));
    assert_eq!(Fingerprint::from_text("of another writer"), None);
}

/// A link that was cut, or an answer that was spoilt, ends no target.
#[test]
fn what_broke_without_an_end_of_its_target_counts_for_nothing() {
    let mut known = Quarantine::new();
    for number in 0..20 {
        let at_ms = START_MS + number * APART_MS;
        known.note_broken(at_ms, sound(), StartId(number));
    }
    let later_ms = START_MS + 21 * APART_MS;
    assert_eq!(known.permission(later_ms, sound()), Permission::Allowed);
}

/// Where no agent stands beside a target, the next attempt finds nobody.
#[test]
fn nobody_at_the_address_is_a_sign_after_something_broke_there() {
    let mut known = Quarantine::new();
    for number in 0..3 {
        let at_ms = START_MS + number * APART_MS;
        known.note_refused_connection(at_ms - 1, StartId(number), TARGETS);
        known.note_broken(at_ms, deadly(), StartId(number));
        known.note_refused_connection(at_ms + 20, StartId(number), TARGETS);
    }
    assert!(is_kept(&known, START_MS + 3 * APART_MS, deadly()));
}

#[test]
fn an_answer_clears_whatever_was_lost_before() {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 2, &[sound()]);
    known.note_answered(at_ms + 300, sound());
    end(&mut known, at_ms + APART_MS, 7, &[sound()]);
    assert!(!is_kept(&known, at_ms + 2 * APART_MS, sound()));
}

/// Each of three power cuts ends every target, and the same callers ask again
/// each time.
#[parameterized(three = { 3 }, twelve = { 12 }, hundred = { 100 })]
fn power_cuts_make_no_culprit(targets: u64) {
    let mut known = Quarantine::new();
    let requests: Vec<Fingerprint> =
        (0..targets).map(|n| fingerprint("key", &format!("/{n}"))).collect();
    for cut in 0..3 {
        let at_ms = START_MS + cut * 5_000;
        for (place, request) in requests.iter().enumerate() {
            let start = cut * 1_000 + place as u64;
            known.note_broken(at_ms, *request, StartId(start));
        }
        for place in 0..targets {
            let told_ms = at_ms + 50 + place % 100;
            let start = StartId(cut * 1_000 + place);
            known.note_start_ended(told_ms, start, told_ms, targets as u32);
        }
    }
    let now_ms = START_MS + 20_000;
    let kept = requests.iter().filter(|r| is_kept(&known, now_ms, **r));
    assert_eq!(kept.count(), 0);
    assert_eq!(known.outgoing(now_ms).len(), 0, "nor is it told");
}

/// A popular request runs on every target as some of them end: that is one
/// moment. Lost again and again by chance, it is tried by one entry host.
#[test]
fn what_is_not_sure_is_tried_again_by_its_owner() {
    let mut known = Quarantine::new();
    for start in 0..3 {
        end(&mut known, START_MS, start, &[sound()]);
    }
    assert!(!is_kept(&known, START_MS + 700, sound()), "one moment");
    end(&mut known, START_MS + APART_MS, 3, &[sound()]);
    let now_ms = START_MS + APART_MS + 4_000;
    let count = 7;
    let owner = (sound().request % count as u64) as usize;
    known.set_place((owner + 1) % count, count);
    assert!(is_kept(&known, now_ms, sound()), "not by the others");
    known.set_place(owner, count);
    assert!(is_kept(&known, now_ms - 2_000, sound()), "not at once");
    assert_eq!(known.permission(now_ms, sound()), Permission::Allowed);
    known.note_sent(sound());
    assert!(is_kept(&known, now_ms + 1, sound()), "one try at a time");
    known.note_try_ended(sound());
    known.note_answered(now_ms + 900, sound());
    assert_eq!(known.permission(now_ms + 901, sound()), Permission::Allowed);
    let news: Vec<bool> =
        known.take_changes().iter().map(|n| n.is_culprit).collect();
    assert_eq!(news, [true, false]);
}

/// What ran beside a culprit each time is cleared once the culprit has lost
/// one more.
#[test]
fn a_culprit_explains_the_losses_of_what_ran_beside_it() {
    let mut known = Quarantine::new();
    end(&mut known, START_MS, 0, &[deadly()]);
    for number in 1..4 {
        let at_ms = START_MS + number * APART_MS;
        end(&mut known, at_ms, number, &[deadly(), sound()]);
    }
    let now_ms = START_MS + 5 * APART_MS;
    assert!(is_kept(&known, now_ms, deadly()));
    assert_eq!(known.permission(now_ms, sound()), Permission::Allowed);
}

#[test]
fn after_two_losses_one_try_decides() {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 2, &[deadly()]);
    let now_ms = at_ms + APART_MS;
    assert_eq!(known.permission(now_ms, deadly()), Permission::Allowed);
    known.note_sent(deadly());
    assert_eq!(known.permission(now_ms, deadly()), Permission::Pending);
    known.note_broken(now_ms, deadly(), StartId(9));
    known.note_try_ended(deadly());
    let settling = known.permission(now_ms + 50, deadly());
    assert_eq!(settling, Permission::Pending, "its target may have ended");
    let later = known.permission(now_ms + 600, deadly());
    assert_eq!(later, Permission::Allowed, "no sign came that it has");
}

/// Three entry hosts see one loss each.
#[test]
fn what_several_entry_hosts_saw_adds_up() {
    let mut hosts: Vec<Quarantine> =
        (0..3).map(|_| Quarantine::new()).collect();
    for (place, host) in hosts.iter_mut().enumerate() {
        let number = place as u64;
        let at_ms = START_MS + number * APART_MS;
        end(host, at_ms, number, &[deadly()]);
    }
    let now_ms = START_MS + 3 * APART_MS;
    let told: Vec<Vec<ToldSuspect>> =
        hosts.iter().map(|host| host.outgoing(now_ms)).collect();
    for host in &mut hosts {
        for told in &told {
            host.merge_remote(now_ms, told.clone());
        }
        assert!(is_kept(host, now_ms, deadly()));
    }
}

/// Nine entry hosts in ten start anew before each loss: what each of them saw
/// is kept by the tenth, from whom the others hear it.
#[test]
fn what_is_known_outlasts_a_start_of_nine_in_ten() {
    let mut hosts: Vec<Quarantine> =
        (0..10).map(|_| Quarantine::new()).collect();
    let mut now_ms = START_MS;
    for loss in 0..3 {
        let sees = (loss as usize * 3 + 1) % 10;
        end(&mut hosts[sees], now_ms, loss, &[deadly()]);
        now_ms += APART_MS;
        let survivor = (sees + 5) % 10;
        let told = hosts[sees].outgoing(now_ms);
        hosts[survivor].merge_remote(now_ms, told);
        for (place, host) in hosts.iter_mut().enumerate() {
            if place != survivor {
                *host = Quarantine::new();
            }
        }
        let told = hosts[survivor].outgoing(now_ms);
        for host in &mut hosts {
            host.merge_remote(now_ms, told.clone());
        }
    }
    for host in &hosts {
        assert!(is_kept(host, now_ms, deadly()));
    }
}

/// All start anew: the store's record remains, whatever the time of day.
#[parameterized(same = { 0 }, ahead = { 2_400 }, behind = { -2_400 })]
fn a_record_outlasts_a_start_of_all(clock_step_ms: i64) {
    let mut before = Quarantine::new();
    let at_ms = end_apart(&mut before, 5, &[deadly()]);
    let records = before.records(at_ms + 300, UNIX_MS);
    assert_eq!(records.len(), 1);
    let mut after = Quarantine::new();
    let unix_ms = (UNIX_MS + 5_000).saturating_add_signed(clock_step_ms);
    for record in records {
        after.merge_record(START_MS, unix_ms, record);
    }
    assert!(is_kept(&after, START_MS, deadly()));
    after.lift(START_MS + 10, deadly());
    assert!(!is_kept(&after, START_MS + 20, deadly()), "an operator may");
}

/// What one knew before it was cleared must not bring it back.
#[test]
fn an_answer_told_first_outlives_older_losses_told_later() {
    let mut saw = Quarantine::new();
    let at_ms = end_apart(&mut saw, 3, &[sound()]);
    let mut answered = Quarantine::new();
    tell(&saw, &mut answered, at_ms + 200);
    answered.note_answered(at_ms + 300, sound());
    let mut third = Quarantine::new();
    tell(&answered, &mut third, at_ms + 400);
    tell(&saw, &mut third, at_ms + 500);
    assert!(!is_kept(&third, at_ms + 600, sound()));
    tell(&third, &mut saw, at_ms + 700);
    assert!(!is_kept(&saw, at_ms + 800, sound()));
}

/// Whoever stood still, at any moment of it, has lost time and no knowledge;
/// what it says is as old as it is.
#[test]
fn a_suspension_at_any_moment_changes_no_verdict() {
    for step in 0..60 {
        let jump_at_ms = START_MS + step * 100;
        let mut stood = Quarantine::new();
        let mut ran = Quarantine::new();
        let clock = |ms: u64| if ms < jump_at_ms { ms } else { ms + 10_000 };
        for number in 0..5 {
            let at_ms = START_MS + number * APART_MS;
            end(&mut stood, clock(at_ms), number, &[deadly()]);
        }
        let now_ms = clock(START_MS + 6 * APART_MS);
        assert!(is_kept(&stood, now_ms, deadly()), "jump at step {step}");
        tell(&stood, &mut ran, now_ms);
        assert!(is_kept(&ran, now_ms, deadly()), "jump at step {step}");
    }
}

#[test]
fn a_sure_culprit_is_tried_again_after_long_and_costs_one_target() {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 5, &[deadly()]);
    let before_ms = at_ms + LONG_MS / 2;
    known.sweep(before_ms);
    assert!(is_kept(&known, before_ms, deadly()));
    let mut now_ms = at_ms + LONG_MS;
    known.sweep(now_ms);
    for number in 0..20 {
        assert_eq!(known.permission(now_ms, deadly()), Permission::Allowed);
        end(&mut known, now_ms, 100 + number, &[deadly()]);
        assert!(is_kept(&known, now_ms + APART_MS, deadly()));
        now_ms += LONG_MS;
    }
}

/// One organisation's suspects do not push out another's.
#[test]
fn a_caller_with_many_suspects_drops_its_own() {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 5, &[deadly()]);
    let mut now_ms = at_ms + APART_MS;
    for start in 0..200 {
        let many: Vec<Fingerprint> = (0..16)
            .map(|n| fingerprint("flood", &format!("/{start}/{n}")))
            .collect();
        end(&mut known, now_ms, 1_000 + start, &many);
        now_ms += 50;
    }
    assert!(is_kept(&known, now_ms, deadly()));
    assert!(known.outgoing(now_ms).len() <= 24, "a heartbeat stays small");
}

/// A record is written again for what makes its culprit sure, and for a loss
/// much later; it is of no use long after the last.
#[parameterized(
    first = { 3, 0, true },
    same = { 3, 3, false },
    one_more = { 4, 3, true },
    sure = { 5, 4, true },
    surer = { 9, 5, false },
)]
fn a_record_is_written_while_it_tells_more(
    losses: u64,
    stored: u64,
    expected: bool,
) {
    let records = |count: u64| {
        let mut known = Quarantine::new();
        let at_ms = match count {
            0 => START_MS,
            _ => end_apart(&mut known, count, &[deadly()]),
        };
        known.records(at_ms, UNIX_MS + at_ms).pop()
    };
    let stored = records(stored);
    let record = records(losses).expect("it is a culprit");
    assert_eq!(record.adds_to(stored.as_ref()), expected);
    assert!(!record.is_over(record.last_unix_ms() + LONG_MS / 2));
    assert!(record.is_over(record.last_unix_ms() + 2 * LONG_MS));
}

#[test]
fn a_record_is_written_again_after_a_later_loss() {
    let mut known = Quarantine::new();
    let at_ms = end_apart(&mut known, 5, &[deadly()]);
    let stored = known.records(at_ms, UNIX_MS + at_ms).pop();
    let later_ms = at_ms + LONG_MS;
    end(&mut known, later_ms, 77, &[deadly()]);
    let record = known.records(later_ms, UNIX_MS + later_ms).pop();
    assert!(record.is_some_and(|r| r.adds_to(stored.as_ref())));
}

/// A request whose targets end one soon after the other, each of which looks
/// like part of a cut: a series without a pause is no single moment.
#[parameterized(every_40_ms = { 40 }, every_150_ms = { 150 })]
fn a_series_of_ends_without_a_pause_is_no_single_moment(every_ms: u64) {
    let mut known = Quarantine::new();
    for number in 0..60 {
        let at_ms = START_MS + number * every_ms;
        end(&mut known, at_ms, number, &[deadly()]);
    }
    let now_ms = START_MS + 60 * every_ms + 200;
    assert!(is_kept(&known, now_ms, deadly()));
}

/// Copies of it are lost with many targets at the first moment: what is
/// remembered of that leaves room for the moments after it.
#[test]
fn many_losses_at_the_first_moment_hide_none_of_the_later_ones() {
    let mut known = Quarantine::new();
    for moment in 0..5 {
        let at_ms = START_MS + moment * APART_MS;
        for copy in 0..20 {
            let start = StartId(moment * 100 + copy);
            known.note_broken(at_ms, deadly(), start);
            known.note_start_ended(at_ms + 60, start, at_ms + 60, TARGETS);
        }
    }
    let now_ms = START_MS + 5 * APART_MS;
    assert!(is_kept(&known, now_ms, deadly()));
}
