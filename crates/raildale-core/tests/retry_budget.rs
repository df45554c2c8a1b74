//! The bound on repeats holds over all entry hosts together while some of them
//! are killed and restarted, freeze, are partitioned, join, or leave for good.

use std::collections::VecDeque;

use raildale_core::gateway::retry_budget::{RetryBound, RetryBudget};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const BOUND: RetryBound = RetryBound { ratio: 0.2, extra: 100.0 };

/// The window over which repeats and requests are counted, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// The time between two steps of a run, in milliseconds.
const STEP_MS: u64 = 100;

/// An entry host: its budget, until when it is frozen, and how many entry
/// hosts it knows of.
struct EntryHost {
    budget: RetryBudget,
    frozen_until_ms: u64,
    known_hosts: usize,
}

impl EntryHost {
    fn new(known_hosts: usize) -> EntryHost {
        let budget = RetryBudget::new(BOUND);
        EntryHost { budget, frozen_until_ms: 0, known_hosts }
    }
}

/// Requests and repeats over a sliding window, by step.
#[derive(Default)]
struct Window {
    steps: VecDeque<(u64, u64)>,
}

impl Window {
    fn push(&mut self, requests: u64, repeats: u64) {
        self.steps.push_back((requests, repeats));
        if self.steps.len() as u64 > WINDOW_MS / STEP_MS {
            self.steps.pop_front();
        }
    }

    fn assert_bound(&self, seed: u64, now_ms: u64) {
        let requests: u64 = self.steps.iter().map(|step| step.0).sum();
        let repeats: u64 = self.steps.iter().map(|step| step.1).sum();
        let max_repeats = BOUND.ratio * requests as f64 + BOUND.extra;
        assert!(
            repeats as f64 <= max_repeats,
            "seed {seed}: {repeats} repeats, {max_repeats} allowed at {now_ms} ms"
        );
    }
}

/// Runs a fleet in which every request wants repeats, and asserts the bound in
/// every window. `kill_share` of the entry hosts restart at random times.
fn run(seed: u64, kill_share: f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(1..40_usize);
    let mut hosts: Vec<EntryHost> =
        (0..count).map(|_| EntryHost::new(count)).collect();
    let mut window = Window::default();
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        if rng.random_bool(0.02) {
            for host in &mut hosts {
                if rng.random_bool(kill_share) {
                    // A restarted host doesn't know all others at first.
                    *host = EntryHost::new(rng.random_range(1..=count));
                }
            }
        }
        let (mut requests, mut repeats) = (0, 0);
        for host in &mut hosts {
            // A restarted host gets the list of entry hosts after a few steps.
            if rng.random_bool(0.5) {
                host.known_hosts = count;
            }
            if rng.random_bool(0.01) {
                let freeze_ms = rng.random_range(0..8_000);
                host.frozen_until_ms = now_ms + freeze_ms;
            }
            if now_ms < host.frozen_until_ms {
                continue;
            }
            for _ in 0..rng.random_range(0..6) {
                host.budget.record_request(host.known_hosts);
                requests += 1;
                // A request that fails at every target wants as many repeats
                // as it can get.
                let wanted = rng.random_range(0..4);
                repeats += (0..wanted)
                    .filter(|_| host.budget.try_repeat(host.known_hosts))
                    .count() as u64;
            }
        }
        window.push(requests, repeats);
        window.assert_bound(seed, now_ms);
    }
}

#[test]
fn the_bound_holds_over_restarts_and_freezes() {
    for seed in 0..200 {
        run(seed, 0.9);
    }
}

#[test]
fn the_bound_holds_without_restarts() {
    for seed in 200..300 {
        run(seed, 0.0);
    }
}

/// Half a window of requests with all the repeats that they allow, a kill of
/// all entry hosts, and the same again: the second half has no state of the
/// first.
#[test]
fn a_restart_of_all_adds_no_repeats() {
    const HOSTS: usize = 9;
    let mut repeats = 0;
    let mut requests = 0;
    for _ in 0..2 {
        for _ in 0..HOSTS {
            let mut budget = RetryBudget::new(BOUND);
            for _ in 0..130 {
                budget.record_request(HOSTS);
                requests += 1;
                repeats += u64::from(budget.try_repeat(HOSTS));
            }
        }
    }
    let max_repeats = BOUND.ratio * f64::from(requests) + BOUND.extra;
    assert!(
        repeats as f64 <= max_repeats,
        "{repeats} repeats, {max_repeats} allowed"
    );
    assert!(repeats as f64 > 0.19 * f64::from(requests), "{repeats}");
}

#[test]
fn an_idle_host_saves_up_only_its_part_of_the_extra() {
    let mut budget = RetryBudget::new(BOUND);
    for _ in 0..1_000 {
        budget.record_request(5);
    }
    let granted = (0..200).filter(|_| budget.try_repeat(5)).count();
    // 90 % of 100 / 5.
    assert_eq!(granted, 18);
}

#[test]
fn a_large_fleet_still_repeats() {
    let mut budget = RetryBudget::new(BOUND);
    for _ in 0..5 {
        budget.record_request(940);
    }
    assert!(budget.try_repeat(940));
    assert!(!budget.try_repeat(940));
}
