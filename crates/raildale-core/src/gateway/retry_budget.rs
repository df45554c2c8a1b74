//! How many repeats one process may send to a service.

use std::collections::VecDeque;

/// The bound on repeats that all entry hosts keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of these, for all entry hosts together.
    pub extra: f64,
    /// The window over which both are counted, in milliseconds.
    pub window_ms: u64,
}

/// Part of the bound that is used. The rest covers requests of others that
/// arrive unevenly: each entry host counts only its own.
const USED_SHARE: f64 = 0.85;

/// Milliseconds that one counter of the window covers.
const STEP_MS: u64 = 500;

/// Requests and repeats of one service over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    start_ms: u64,
    requests: u64,
    repeats: u64,
}

impl RetryBudget {
    /// Nothing counted yet.
    pub fn new(bound: RetryBound) -> RetryBudget {
        RetryBudget { bound, steps: VecDeque::new() }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now_ms: u64) {
        self.step(now_ms).requests += 1;
    }

    /// Counts a repeat if the share of this process still holds one.
    pub fn try_repeat(&mut self, now_ms: u64, entry_hosts: usize) -> bool {
        self.step(now_ms);
        let sum = |part: fn(&Step) -> u64| -> f64 {
            self.steps.iter().map(part).sum::<u64>() as f64
        };
        let requests = sum(|step| step.requests);
        let repeats = sum(|step| step.repeats);
        let extra = self.bound.extra / entry_hosts.max(1) as f64;
        let most = (self.bound.ratio * requests + extra) * USED_SHARE;
        let fits = repeats + 1.0 <= most;
        if fits {
            self.step(now_ms).repeats += 1;
        }
        fits
    }

    fn step(&mut self, now_ms: u64) -> &mut Step {
        let start_ms = now_ms - now_ms % STEP_MS;
        let oldest_ms = now_ms.saturating_sub(self.bound.window_ms);
        while self.steps.front().is_some_and(|s| s.start_ms < oldest_ms) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.start_ms < start_ms) {
            self.steps.push_back(Step { start_ms, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
