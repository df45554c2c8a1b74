//! Estimation of the queueing delay of an agent's inbound link.

use std::net::IpAddr;

use raildale_core::swarm::QueueDelay;

const START_MS: u64 = 1_000_000;

fn agent(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Records slices of `agents` senders with different clocks, one every 20 ms
/// in total, each with the transit time `transit_ms` at its sending time.
fn record_slices(
    agents: u8,
    duration_ms: u64,
    transit_ms: impl Fn(u64) -> u64,
) -> QueueDelay {
    let mut delay = QueueDelay::new();
    let mut arrivals: Vec<(u64, u8, u64)> = (0..duration_ms / 20)
        .map(|number| {
            let at_ms = number * 20;
            let last = (number % u64::from(agents)) as u8;
            let clock_ms = u64::from(last) * 1_234;
            (START_MS + at_ms + transit_ms(at_ms), last, at_ms + clock_ms)
        })
        .collect();
    arrivals.sort_unstable();
    for (now_ms, last, sent_ms) in arrivals {
        if now_ms < START_MS + duration_ms {
            delay.record(now_ms, agent(last), sent_ms);
        }
    }
    delay
}

#[test]
fn clock_offsets_are_not_a_queue() {
    let delay = record_slices(6, 2_000, |_| 3);
    assert_eq!(delay.estimate_ms(START_MS + 2_000), 0);
}

/// A queue that grows by two seconds per second after a certain time.
#[test]
fn a_growing_queue_is_detected() {
    let transit_ms = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    let growing_ms =
        record_slices(6, 1_600, transit_ms).estimate_ms(START_MS + 1_600);
    assert!((200..=400).contains(&growing_ms), "{growing_ms}");
    let later_ms =
        record_slices(6, 2_200, transit_ms).estimate_ms(START_MS + 2_200);
    assert!(later_ms >= 600, "{later_ms}");
}

/// Slow slices of one sender indicate nothing about the other senders or the
/// own link.
#[test]
fn one_slow_sender_is_not_a_queue() {
    let growing = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    assert_eq!(
        record_slices(1, 2_200, growing).estimate_ms(START_MS + 2_200),
        0
    );
    let mut delay = record_slices(6, 2_000, |_| 3);
    let now_ms = START_MS + 2_000;
    delay.record(now_ms, agent(3), 1_200 + 3 * 1_234);
    assert_eq!(delay.estimate_ms(now_ms), 0);
}

/// The queue counts as empty once no slices arrive.
#[test]
fn a_queue_estimate_expires_after_the_last_slice() {
    let transit_ms = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    let delay = record_slices(6, 2_200, transit_ms);
    assert_eq!(delay.estimate_ms(START_MS + 3_200), 0);
}

/// A restarted agent restarts its clock.
#[test]
fn a_restarted_sender_is_not_a_queue() {
    let mut delay = QueueDelay::new();
    for number in 0..10 {
        for last in 1..=2 {
            let at_ms = number * 100;
            delay.record(START_MS + at_ms, agent(last), 50_000 + at_ms);
        }
    }
    for last in 1..=2 {
        delay.record(START_MS + 1_400, agent(last), 1_000);
    }
    assert_eq!(delay.estimate_ms(START_MS + 1_400), 0);
}
