//! Which requests are quarantined, and how entry hosts share that knowledge.

use raildale_core::{
    fleet_message::SuspectEntry,
    gateway::{
        Fingerprint,
        quarantine::{Permission, Quarantine},
        target_end::StartId,
    },
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// The time between two unrelated ends, in milliseconds.
const APART_MS: u64 = 1_000;

/// The time of day when the process's clock started, in Unix milliseconds.
const UNIX_MS: u64 = 1_790_000_000_000;

/// The number of targets of the service.
const TARGETS: u32 = 12;

/// Longer than the quarantine of a certain culprit, in milliseconds.
const LONG_MS: u64 = 20 * 60 * 1_000;

fn fingerprint(key: &str, path: &str) -> Fingerprint {
    Fingerprint::new(Some(key), &[path.as_bytes()])
}

fn culprit() -> Fingerprint {
    fingerprint("key", "/deadly")
}

fn sound() -> Fingerprint {
    fingerprint("key", "/sound")
}

/// Ends a start of a target while some requests run there.
fn end(
    known: &mut Quarantine,
    at_ms: u64,
    start: u64,
    requests: &[Fingerprint],
) {
    for request in requests {
        known.record_sent(*request);
        known.record_broken(at_ms, *request, StartId(start));
        known.record_attempt_ended(*request);
    }
    known.record_start_ended(
        at_ms + 100,
        StartId(start),
        at_ms + 100,
        TARGETS,
    );
}

/// Ends `count` starts one after the other while some requests run there.
/// Returns when the last one ended.
fn end_separately(
    known: &mut Quarantine,
    count: u64,
    requests: &[Fingerprint],
) -> u64 {
    let at_ms = |number: u64| START_MS + number * APART_MS;
    for number in 0..count {
        end(known, at_ms(number), number, requests);
    }
    at_ms(count - 1)
}

fn is_quarantined(known: &Quarantine, now_ms: u64, of: Fingerprint) -> bool {
    matches!(known.permission(now_ms, of), Permission::Denied(_))
}

fn send_suspects(from: &Quarantine, to: &mut Quarantine, now_ms: u64) {
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
        at_ms = end_separately(&mut known, losses, &[culprit()]);
    }
    assert_eq!(is_quarantined(&known, at_ms + APART_MS, culprit()), expected);
}

#[parameterized(
    key = { Some("other"), "/deadly", false },
    no_key = { None, "/deadly", false },
    path = { Some("key"), "/other", false },
    same = { Some("key"), "/deadly", true },
)]
fn only_the_same_request_of_the_same_caller_is_quarantined(
    key: Option<&str>,
    path: &str,
    expected: bool,
) {
    let mut known = Quarantine::new();
    let at_ms = end_separately(&mut known, 3, &[culprit()]);
    let other = Fingerprint::new(key, &[path.as_bytes()]);
    assert_eq!(is_quarantined(&known, at_ms + 200, other), expected);
}

#[test]
fn parts_of_a_fingerprint_are_delimited() {
    let split = |parts: &[&[u8]]| Fingerprint::new(Some("key"), parts);
    assert_ne!(split(&[b"ab", b"c"]), split(&[b"a", b"bc"]));
    let text = culprit().to_string();
    assert_eq!(Fingerprint::from_text(&text), Some(culprit()));
    assert_eq!(Fingerprint::from_text("not a fingerprint"), None);
}

/// A cut link or a malformed answer is no evidence that a target has ended.
#[test]
fn a_broken_attempt_without_an_end_of_its_target_is_no_loss() {
    let mut known = Quarantine::new();
    for number in 0..20 {
        let at_ms = START_MS + number * APART_MS;
        known.record_broken(at_ms, sound(), StartId(number));
    }
    let later_ms = START_MS + 21 * APART_MS;
    assert_eq!(known.permission(later_ms, sound()), Permission::Allowed);
}

/// Without an agent beside a target, a refused connection on the next attempt
/// is the evidence.
#[test]
fn a_refused_connection_is_evidence_after_a_broken_attempt() {
    let mut known = Quarantine::new();
    for number in 0..3 {
        let at_ms = START_MS + number * APART_MS;
        known.record_refused_connection(at_ms - 1, StartId(number), TARGETS);
        known.record_broken(at_ms, culprit(), StartId(number));
        known.record_refused_connection(at_ms + 20, StartId(number), TARGETS);
    }
    assert!(is_quarantined(&known, START_MS + 3 * APART_MS, culprit()));
}

#[test]
fn an_answer_clears_earlier_losses() {
    let mut known = Quarantine::new();
    let at_ms = end_separately(&mut known, 2, &[sound()]);
    known.record_answered(at_ms + 300, sound());
    end(&mut known, at_ms + APART_MS, 7, &[sound()]);
    assert!(!is_quarantined(&known, at_ms + 2 * APART_MS, sound()));
}

/// Each of three power failures ends every target, and the same requests come
/// again each time.
#[parameterized(three = { 3 }, twelve = { 12 }, hundred = { 100 })]
fn power_cuts_make_no_culprit(targets: u64) {
    let mut known = Quarantine::new();
    let requests: Vec<Fingerprint> =
        (0..targets).map(|n| fingerprint("key", &format!("/{n}"))).collect();
    for cut in 0..3 {
        let at_ms = START_MS + cut * 5_000;
        for (place, request) in requests.iter().enumerate() {
            let start = cut * 1_000 + place as u64;
            known.record_broken(at_ms, *request, StartId(start));
        }
        for place in 0..targets {
            let evidence_ms = at_ms + 50 + place % 100;
            let start = StartId(cut * 1_000 + place);
            known.record_start_ended(
                evidence_ms,
                start,
                evidence_ms,
                targets as u32,
            );
        }
    }
    let now_ms = START_MS + 20_000;
    let quarantined =
        requests.iter().filter(|r| is_quarantined(&known, now_ms, **r));
    assert_eq!(quarantined.count(), 0);
    assert_eq!(known.outgoing(now_ms).len(), 0, "nor are they sent");
}

/// A popular request that runs on every target loses several at one moment.
/// When it has lost more by chance, one entry host tries it again.
#[test]
fn an_uncertain_culprit_is_tried_again_by_its_owner() {
    let mut known = Quarantine::new();
    for start in 0..3 {
        end(&mut known, START_MS, start, &[sound()]);
    }
    assert!(!is_quarantined(&known, START_MS + 700, sound()), "one moment");
    end(&mut known, START_MS + APART_MS, 3, &[sound()]);
    let now_ms = START_MS + APART_MS + 4_000;
    let count = 7;
    let owner = (sound().request % count as u64) as usize;
    known.set_place((owner + 1) % count, count);
    assert!(is_quarantined(&known, now_ms, sound()), "not sent by the others");
    known.set_place(owner, count);
    assert!(is_quarantined(&known, now_ms - 2_000, sound()), "not at once");
    assert_eq!(known.permission(now_ms, sound()), Permission::Allowed);
    known.record_sent(sound());
    assert!(is_quarantined(&known, now_ms + 1, sound()), "one try at a time");
    known.record_attempt_ended(sound());
    known.record_answered(now_ms + 900, sound());
    assert_eq!(known.permission(now_ms + 901, sound()), Permission::Allowed);
    let changes: Vec<bool> =
        known.take_changes().iter().map(|n| n.is_culprit).collect();
    assert_eq!(changes, [true, false]);
}

/// A request that ran beside a culprit each time is cleared once the culprit
/// has one more loss.
#[test]
fn a_culprit_explains_the_losses_of_requests_beside_it() {
    let mut known = Quarantine::new();
    end(&mut known, START_MS, 0, &[culprit()]);
    for number in 1..4 {
        let at_ms = START_MS + number * APART_MS;
        end(&mut known, at_ms, number, &[culprit(), sound()]);
    }
    let now_ms = START_MS + 5 * APART_MS;
    assert!(is_quarantined(&known, now_ms, culprit()));
    assert_eq!(known.permission(now_ms, sound()), Permission::Allowed);
}

#[test]
fn after_two_losses_one_try_decides() {
    let mut known = Quarantine::new();
    let at_ms = end_separately(&mut known, 2, &[culprit()]);
    let now_ms = at_ms + APART_MS;
    assert_eq!(known.permission(now_ms, culprit()), Permission::Allowed);
    known.record_sent(culprit());
    assert_eq!(known.permission(now_ms, culprit()), Permission::Pending);
    known.record_broken(now_ms, culprit(), StartId(9));
    known.record_attempt_ended(culprit());
    let settling = known.permission(now_ms + 50, culprit());
    assert_eq!(settling, Permission::Pending, "its target may have ended");
    let later = known.permission(now_ms + 600, culprit());
    assert_eq!(later, Permission::Allowed, "no evidence that it has");
}

/// Each of three entry hosts observes one loss.
#[test]
fn losses_on_several_entry_hosts_add_up() {
    let mut hosts: Vec<Quarantine> =
        (0..3).map(|_| Quarantine::new()).collect();
    for (place, host) in hosts.iter_mut().enumerate() {
        let number = place as u64;
        let at_ms = START_MS + number * APART_MS;
        end(host, at_ms, number, &[culprit()]);
    }
    let now_ms = START_MS + 3 * APART_MS;
    let received: Vec<Vec<SuspectEntry>> =
        hosts.iter().map(|host| host.outgoing(now_ms)).collect();
    for host in &mut hosts {
        for received in &received {
            host.merge_remote(now_ms, received.clone());
        }
        assert!(is_quarantined(host, now_ms, culprit()));
    }
}

/// Nine entry hosts in ten restart before each loss: the tenth keeps what each
/// of them observed and passes it on.
#[test]
fn losses_outlast_a_restart_of_nine_in_ten() {
    let mut hosts: Vec<Quarantine> =
        (0..10).map(|_| Quarantine::new()).collect();
    let mut now_ms = START_MS;
    for loss in 0..3 {
        let observer = (loss as usize * 3 + 1) % 10;
        end(&mut hosts[observer], now_ms, loss, &[culprit()]);
        now_ms += APART_MS;
        let survivor = (observer + 5) % 10;
        let received = hosts[observer].outgoing(now_ms);
        hosts[survivor].merge_remote(now_ms, received);
        for (place, host) in hosts.iter_mut().enumerate() {
            if place != survivor {
                *host = Quarantine::new();
            }
        }
        let received = hosts[survivor].outgoing(now_ms);
        for host in &mut hosts {
            host.merge_remote(now_ms, received.clone());
        }
    }
    for host in &hosts {
        assert!(is_quarantined(host, now_ms, culprit()));
    }
}

/// All entry hosts restart: the record in the store is used whatever the time
/// of day.
#[parameterized(same = { 0 }, ahead = { 2_400 }, behind = { -2_400 })]
fn a_record_outlasts_a_restart_of_all(clock_step_ms: i64) {
    let mut before = Quarantine::new();
    let at_ms = end_separately(&mut before, 5, &[culprit()]);
    let records = before.records(at_ms + 300, UNIX_MS);
    assert_eq!(records.len(), 1);
    let mut after = Quarantine::new();
    let unix_ms = (UNIX_MS + 5_000).saturating_add_signed(clock_step_ms);
    for record in records {
        after.merge_record(START_MS, unix_ms, record);
    }
    assert!(is_quarantined(&after, START_MS, culprit()));
    after.lift(START_MS + 10, culprit());
    assert!(
        !is_quarantined(&after, START_MS + 20, culprit()),
        "an operator may lift it"
    );
}

/// Losses from before an answer are not reintroduced by a host that has not
/// heard of the answer.
#[test]
fn older_losses_do_not_undo_an_answer() {
    let mut observed = Quarantine::new();
    let at_ms = end_separately(&mut observed, 3, &[sound()]);
    let mut answered = Quarantine::new();
    send_suspects(&observed, &mut answered, at_ms + 200);
    answered.record_answered(at_ms + 300, sound());
    let mut third = Quarantine::new();
    send_suspects(&answered, &mut third, at_ms + 400);
    send_suspects(&observed, &mut third, at_ms + 500);
    assert!(!is_quarantined(&third, at_ms + 600, sound()));
    send_suspects(&third, &mut observed, at_ms + 700);
    assert!(!is_quarantined(&observed, at_ms + 800, sound()));
}

/// A process that was suspended at any moment has lost no information, and
/// reports the losses with their correct ages.
#[test]
fn a_suspension_at_any_moment_changes_no_decision() {
    for step in 0..60 {
        let jump_at_ms = START_MS + step * 100;
        let mut suspended = Quarantine::new();
        let mut ran = Quarantine::new();
        let clock = |ms: u64| if ms < jump_at_ms { ms } else { ms + 10_000 };
        for number in 0..5 {
            let at_ms = START_MS + number * APART_MS;
            end(&mut suspended, clock(at_ms), number, &[culprit()]);
        }
        let now_ms = clock(START_MS + 6 * APART_MS);
        assert!(
            is_quarantined(&suspended, now_ms, culprit()),
            "jump at step {step}"
        );
        send_suspects(&suspended, &mut ran, now_ms);
        assert!(
            is_quarantined(&ran, now_ms, culprit()),
            "jump at step {step}"
        );
    }
}

#[test]
fn a_certain_culprit_is_tried_again_much_later_and_costs_one_target() {
    let mut known = Quarantine::new();
    let at_ms = end_separately(&mut known, 5, &[culprit()]);
    let before_ms = at_ms + LONG_MS / 2;
    known.sweep(before_ms);
    assert!(is_quarantined(&known, before_ms, culprit()));
    let mut now_ms = at_ms + LONG_MS;
    known.sweep(now_ms);
    for number in 0..20 {
        assert_eq!(known.permission(now_ms, culprit()), Permission::Allowed);
        end(&mut known, now_ms, 100 + number, &[culprit()]);
        assert!(is_quarantined(&known, now_ms + APART_MS, culprit()));
        now_ms += LONG_MS;
    }
}

/// One caller's suspects don't displace another's.
#[test]
fn a_caller_with_many_suspects_drops_its_own() {
    let mut known = Quarantine::new();
    let at_ms = end_separately(&mut known, 5, &[culprit()]);
    let mut now_ms = at_ms + APART_MS;
    for start in 0..200 {
        let many: Vec<Fingerprint> = (0..16)
            .map(|n| fingerprint("flood", &format!("/{start}/{n}")))
            .collect();
        end(&mut known, now_ms, 1_000 + start, &many);
        now_ms += 50;
    }
    assert!(is_quarantined(&known, now_ms, culprit()));
    assert!(known.outgoing(now_ms).len() <= 24, "a heartbeat stays small");
}

/// A record is written again for losses that make its culprit certain, and for
/// a much later loss; it expires long after its last loss.
#[parameterized(
    first = { 3, 0, true },
    same = { 3, 3, false },
    one_more = { 4, 3, true },
    certain = { 5, 4, true },
    more_than_certain = { 9, 5, false },
)]
fn a_record_is_written_while_it_adds_information(
    losses: u64,
    stored: u64,
    expected: bool,
) {
    let records = |count: u64| {
        let mut known = Quarantine::new();
        let at_ms = match count {
            0 => START_MS,
            _ => end_separately(&mut known, count, &[culprit()]),
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
    let at_ms = end_separately(&mut known, 5, &[culprit()]);
    let stored = known.records(at_ms, UNIX_MS + at_ms).pop();
    let later_ms = at_ms + LONG_MS;
    end(&mut known, later_ms, 77, &[culprit()]);
    let record = known.records(later_ms, UNIX_MS + later_ms).pop();
    assert!(record.is_some_and(|r| r.adds_to(stored.as_ref())));
}

/// The targets of a request end shortly after one another, so that each end
/// looks like part of a power failure. A series without a pause is not a
/// single moment.
#[parameterized(every_40_ms = { 40 }, every_150_ms = { 150 })]
fn a_series_of_ends_without_a_pause_is_not_one_moment(every_ms: u64) {
    let mut known = Quarantine::new();
    for number in 0..60 {
        let at_ms = START_MS + number * every_ms;
        end(&mut known, at_ms, number, &[culprit()]);
    }
    let now_ms = START_MS + 60 * every_ms + 200;
    assert!(is_quarantined(&known, now_ms, culprit()));
}

/// Copies of the request are lost with many targets at the first moment. The
/// losses that are kept of it leave room for later moments.
#[test]
fn many_losses_at_the_first_moment_do_not_hide_later_ones() {
    let mut known = Quarantine::new();
    for moment in 0..5 {
        let at_ms = START_MS + moment * APART_MS;
        for copy in 0..20 {
            let start = StartId(moment * 100 + copy);
            known.record_broken(at_ms, culprit(), start);
            known.record_start_ended(at_ms + 60, start, at_ms + 60, TARGETS);
        }
    }
    let now_ms = START_MS + 5 * APART_MS;
    assert!(is_quarantined(&known, now_ms, culprit()));
}
