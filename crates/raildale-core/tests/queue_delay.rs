//! How an agent measures the queue before its link.

use std::net::IpAddr;

use raildale_core::swarm::QueueDelay;

const START_MS: u64 = 1_000_000;

fn agent(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Slices of `agents` with clocks of their own, one each 20 ms, of which each
/// takes `way_ms` at its time.
fn sliced(
    agents: u8,
    lasting_ms: u64,
    way_ms: impl Fn(u64) -> u64,
) -> QueueDelay {
    let mut delay = QueueDelay::new();
    let mut came: Vec<(u64, u8, u64)> = (0..lasting_ms / 20)
        .map(|number| {
            let at_ms = number * 20;
            let last = (number % u64::from(agents)) as u8;
            let clock_ms = u64::from(last) * 1_234;
            (START_MS + at_ms + way_ms(at_ms), last, at_ms + clock_ms)
        })
        .collect();
    came.sort_unstable();
    for (now_ms, last, sent_ms) in came {
        if now_ms < START_MS + lasting_ms {
            delay.record(now_ms, agent(last), sent_ms);
        }
    }
    delay
}

#[test]
fn a_quick_way_has_no_queue_whatever_the_clocks_are() {
    let delay = sliced(6, 2_000, |_| 3);
    assert_eq!(delay.estimate_ms(START_MS + 2_000), 0);
}

/// A queue that grows by two seconds a second, from a moment on.
#[test]
fn a_queue_that_grows_is_seen_while_it_grows() {
    let way_ms = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    let seen_ms = sliced(6, 1_600, way_ms).estimate_ms(START_MS + 1_600);
    assert!((200..=400).contains(&seen_ms), "{seen_ms}");
    let later_ms = sliced(6, 2_200, way_ms).estimate_ms(START_MS + 2_200);
    assert!(later_ms >= 600, "{later_ms}");
}

/// A sender's own slow way says nothing of the others, or of the own link.
#[test]
fn one_slow_sender_is_no_queue() {
    let growing = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    assert_eq!(sliced(1, 2_200, growing).estimate_ms(START_MS + 2_200), 0);
    let mut delay = sliced(6, 2_000, |_| 3);
    let now_ms = START_MS + 2_000;
    delay.record(now_ms, agent(3), 1_200 + 3 * 1_234);
    assert_eq!(delay.estimate_ms(now_ms), 0);
}

/// Once nothing comes any more, nothing stands in the queue.
#[test]
fn a_queue_is_forgotten_after_its_last_slice() {
    let way_ms = |at_ms: u64| 3 + at_ms.saturating_sub(1_000) * 2;
    let delay = sliced(6, 2_200, way_ms);
    assert_eq!(delay.estimate_ms(START_MS + 3_200), 0);
}

/// An agent that starts anew begins its clock anew.
#[test]
fn a_start_of_a_sender_is_no_queue() {
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
