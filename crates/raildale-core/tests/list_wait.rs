//! When an agent asks the store for the list of agents.

use raildale_core::swarm::list_wait::ListWait;
use yare::parameterized;

const START_MS: u64 = 1_000_000;

/// The time without a list after which an agent asks the store, in
/// milliseconds.
const PATIENCE_MS: u64 = 1_500;

/// The interval at which an agent looks whether it must ask, in milliseconds.
const POLL_MS: u64 = 100;

/// Returns how often `agents` agents ask the store in 10 s after a start of
/// all, if entry hosts promise a list until they send one at `listed_ms`.
fn asked(agents: u64, listed_ms: u64, is_promised: bool) -> u64 {
    let mut asked = 0;
    for agent in 0..agents {
        let patience_ms = PATIENCE_MS + agent % 700;
        let mut wait = ListWait::new(START_MS, patience_ms);
        for age_ms in (0..10_000).step_by(POLL_MS as usize) {
            let now_ms = START_MS + age_ms;
            let is_due = age_ms % 500 == 0;
            match age_ms >= listed_ms {
                true => wait.record_list(now_ms),
                false if is_promised && is_due => wait.record_promise(now_ms),
                false => {}
            }
            if wait.asks_store(now_ms) {
                asked += 1;
                break;
            }
        }
    }
    asked
}

/// While entry hosts promise a list, no agent asks the store, however many
/// there are.
#[parameterized(
    small = { 50 },
    mid = { 210 },
    large = { 470 },
    twice = { 940 },
)]
fn a_promised_list_is_awaited(agents: u64) {
    assert_eq!(asked(agents, 4_500, true), 0);
    assert_eq!(asked(agents, 4_500, false), agents);
}

#[test]
fn a_list_that_never_comes_is_asked_for() {
    assert_eq!(asked(1, u64::MAX, true), 1);
}

#[test]
fn silence_after_a_promise_ends_the_wait() {
    let mut wait = ListWait::new(START_MS, PATIENCE_MS);
    wait.record_promise(START_MS + 400);
    assert!(!wait.asks_store(START_MS + 1_550));
    assert!(wait.asks_store(START_MS + 1_700));
}
