//! An upper bound on the credit that any policy can earn.
//!
//! Targets work for as long as they are present, and a request takes a known
//! part of a full engine's time. In each window of time, and in windows of
//! twice that length and so on, no more can be answered in time than the
//! targets can process until the longest answer begun there has ended. The
//! windows are nested, so a greedy choice of the requests with the most credit
//! per millisecond is the best that these bounds allow.

use super::{engine, pattern::Pattern, sample::CallerRequest};

/// The shortest window, in milliseconds.
const WINDOW_MS: f64 = 1_000.0;

/// The longest time that an answer may continue after the end of the window
/// that it began in, in milliseconds.
const TAIL_MS: f64 = 1_500.0;

/// Returns the maximum share of the obtainable credit that any policy can earn
/// with `requests`.
///
/// Requests that arrive during the warm-up are left out.
pub fn credit_bound(pattern: &Pattern, requests: &[CallerRequest]) -> f64 {
    let is_counted =
        |request: &&CallerRequest| request.at_ms >= pattern.warm_up_s * 1e3;
    let mut jobs: Vec<Job> = requests
        .iter()
        .filter(is_counted)
        .map(|request| Job::new(pattern, request))
        .collect();
    let total_credit: f64 = jobs.iter().map(|job| job.credit).sum();
    jobs.sort_by(|a, b| b.density().total_cmp(&a.density()));
    let mut windows = Windows::new(pattern);
    let earned: f64 = jobs
        .iter()
        .map(|job| windows.reserve(job) / job.cost_ms * job.credit)
        .sum();
    earned / total_credit.max(f64::MIN_POSITIVE)
}

/// A request as work for the targets.
struct Job {
    at_ms: f64,
    /// The time of a full engine that the request takes.
    cost_ms: f64,
    /// The credit for an answer in time.
    credit: f64,
}

impl Job {
    fn new(pattern: &Pattern, request: &CallerRequest) -> Job {
        let prompt = request.prompt_tokens;
        Job {
            at_ms: request.at_ms,
            cost_ms: engine::cost_ms(&pattern.engine, prompt, request.events),
            credit: pattern.routes[request.route].worth,
        }
    }

    /// Credit per millisecond.
    fn density(&self) -> f64 {
        self.credit / self.cost_ms
    }
}

/// The work left in each window, in milliseconds, by level and then by time.
/// The windows of a level are twice as long as those of the level before.
struct Windows(Vec<Vec<f64>>);

impl Windows {
    fn new(pattern: &Pattern) -> Windows {
        let end_ms = pattern.length_s * 1e3;
        let mut levels = Vec::new();
        let mut length_ms = WINDOW_MS;
        loop {
            let count = (end_ms / length_ms).ceil().max(1.0) as usize;
            let work = |index: usize| {
                let begin_ms = index as f64 * length_ms;
                let from_ms = begin_ms.max(pattern.warm_up_s * 1e3);
                let to_ms = (begin_ms + length_ms).min(end_ms);
                capacity_ms(pattern, from_ms, to_ms + TAIL_MS)
            };
            levels.push((0..count).map(work).collect());
            if count == 1 {
                return Windows(levels);
            }
            length_ms *= 2.0;
        }
    }

    /// Reserves as much work of a request as every window that contains its
    /// arrival has left. Returns the reserved time in milliseconds.
    fn reserve(&mut self, job: &Job) -> f64 {
        let first = (job.at_ms / WINDOW_MS) as usize;
        let index = |level: usize| first >> level;
        let levels = self.0.iter().enumerate();
        let reserved_ms = levels
            .map(|(level, left)| left[index(level)])
            .fold(job.cost_ms, f64::min);
        for (level, left) in self.0.iter_mut().enumerate() {
            left[index(level)] -= reserved_ms;
        }
        reserved_ms
    }
}

/// Returns the work that all targets together can do from `from_ms` to
/// `to_ms`, in milliseconds.
fn capacity_ms(pattern: &Pattern, from_ms: f64, to_ms: f64) -> f64 {
    let targets = pattern.fleet.targets.iter().sum::<usize>() as f64;
    let absent: f64 = pattern
        .absences
        .iter()
        .flat_map(|absence| {
            (0..absence.count).map(move |index| {
                let gone_ms = absence.at_s * 1e3
                    + absence.gap_ms * index as f64
                    + absence.drain_ms;
                let back_ms = gone_ms + absence.away_ms;
                (back_ms.min(to_ms) - gone_ms.max(from_ms)).max(0.0)
            })
        })
        .sum();
    (targets * (to_ms - from_ms) - absent).max(0.0)
}
