//! Cold targets get no more than the rate that they bear, from all entry hosts
//! together.

use raildale_core::gateway::{
    cold::ColdTime, notices::quota::OwnPart, target_end::StartId,
};
use yare::parameterized;

const START_MS: u64 = 1_000_000;
const RATE_PER_S: f64 = 26.0;
const START: StartId = StartId(7);

/// What a cold target must not exceed in any second: one and a half times its
/// rate, and five.
const MAX_IN_A_SECOND: usize = 44;

/// One entry host's view of the target.
struct Host {
    cold: ColdTime,
    part: OwnPart,
    /// The offset of its time of day, in milliseconds.
    clock_ms: i64,
}

impl Host {
    /// Sends as many requests as the target bears now; returns their number.
    fn send_all(&mut self, now_ms: u64) -> usize {
        let now_s = now_ms.saturating_add_signed(self.clock_ms) as f64 / 1e3;
        let mut sent = 0;
        while let Some(rate) = self.cold.rate_per_s(now_ms, RATE_PER_S) {
            if !self.cold.admits(now_s, START, rate, self.part) {
                break;
            }
            self.cold.record_sent(now_s, START, rate, self.part);
            sent += 1;
            assert!(sent <= MAX_IN_A_SECOND, "at once");
        }
        sent
    }
}

/// Returns entry hosts with equal parts, `clock_ms` apart, that know that the
/// target is cold for `cold_ms`.
fn hosts(count: usize, cold_ms: u64, clock_ms: i64) -> Vec<Host> {
    let width = 1.0 / count as f64;
    let host = |index: usize| {
        let mut cold = ColdTime::default();
        assert!(cold.record(START_MS, cold_ms));
        Host {
            cold,
            part: OwnPart { before: width * index as f64, width },
            clock_ms: clock_ms * (index % 2) as i64,
        }
    };
    (0..count).map(host).collect()
}

/// Returns the requests of each 20 ms while all entry hosts always have some
/// to send.
fn sent_by(hosts: &mut [Host], length_ms: u64) -> Vec<usize> {
    let steps = (0..length_ms).step_by(20);
    let sent_at = |at_ms: u64| {
        hosts.iter_mut().map(|host| host.send_all(START_MS + at_ms)).sum()
    };
    steps.map(sent_at).collect()
}

/// In no second more than the bound arrives, and nine tenths of the rate are
/// used, whatever the number of entry hosts and the distance of their clocks.
#[parameterized(
    seven = { 7, 0 },
    forty_four = { 44, 0 },
    many = { 149, 0 },
    seven_apart = { 7, 300 },
    many_apart = { 149, 2_000 },
)]
fn all_entry_hosts_together_keep_the_rate(count: usize, clock_ms: i64) {
    let mut hosts = hosts(count, 6_000, clock_ms);
    let sent = sent_by(&mut hosts, 6_000);
    let most = sent.windows(50).map(|second| second.iter().sum::<usize>());
    let most = most.max().expect("there are seconds");
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    let all: usize = sent.iter().sum();
    assert!(all as f64 >= 0.9 * RATE_PER_S * 6.0, "{all} in six seconds");
}

/// The entry host that owns most of the rate dies: nobody takes its part, and
/// the others keep theirs.
#[test]
fn the_part_of_a_dead_entry_host_is_not_used() {
    let mut hosts = hosts(3, 6_000, 0);
    let before: usize = sent_by(&mut hosts, 2_000).iter().sum();
    let after: usize = sent_by(&mut hosts[1..], 4_000)[100..].iter().sum();
    assert!(after * 3 <= before * 2 + 6, "{after} after {before}");
    assert!(after * 2 >= before, "{after} after {before}");
}

/// The rate doubles for a second before it is lifted.
#[test]
fn the_way_back_is_a_ramp() {
    let mut cold = ColdTime::default();
    cold.record(START_MS, 3_000);
    let rate = |after_ms| cold.rate_per_s(START_MS + after_ms, RATE_PER_S);
    assert_eq!(rate(2_999), Some(RATE_PER_S));
    assert_eq!(rate(3_000), Some(RATE_PER_S * 2.0));
    assert_eq!(rate(4_000), None);
    assert_eq!(cold.rate_per_s(START_MS, 0.0), None, "no rate is named");
    let warm = ColdTime::default();
    assert_eq!(warm.rate_per_s(START_MS, RATE_PER_S), None);
}

/// A target may turn cold again at any moment.
#[test]
fn a_target_may_turn_cold_again() {
    let mut cold = ColdTime::default();
    assert!(!cold.record(START_MS, 0));
    assert!(cold.record(START_MS + 10, 1_000));
    assert!(!cold.record(START_MS + 500, 500), "it is cold already");
    assert!(!cold.record(START_MS + 5_000, 0));
    assert!(cold.record(START_MS + 6_000, 1_000));
}
