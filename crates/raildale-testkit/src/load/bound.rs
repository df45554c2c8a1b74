//! What no policy can exceed.
//!
//! Targets work for as long as they are there, and a request takes a known
//! part of a full engine's time. In each window of time, and in windows of
//! twice that length and so on, no more can be answered in time than the
//! targets can do until the longest answer begun there has ended. The windows
//! lie inside one another, so taking the dearest requests by credit for each
//! millisecond first is the best that these bounds allow.

use super::{engine, pattern::Pattern, sample::CallerRequest};

/// The shortest window, in milliseconds.
const WINDOW_MS: f64 = 1_000.0;

/// How long an answer may go on after its window, in milliseconds.
const TAIL_MS: f64 = 1_500.0;

/// The share of the credit owed that no policy exceeds.
pub fn credit_bound(pattern: &Pattern, requests: &[CallerRequest]) -> f64 {
    let is_counted =
        |asked: &&CallerRequest| asked.at_ms >= pattern.warm_up_s * 1e3;
    let mut jobs: Vec<Job> = requests
        .iter()
        .filter(is_counted)
        .map(|asked| Job::new(pattern, asked))
        .collect();
    let owed: f64 = jobs.iter().map(|job| job.credit).sum();
    jobs.sort_by(|a, b| b.density().total_cmp(&a.density()));
    let mut windows = Windows::new(pattern);
    let earned: f64 = jobs
        .iter()
        .map(|job| windows.take(job) / job.cost_ms * job.credit)
        .sum();
    earned / owed.max(f64::MIN_POSITIVE)
}

struct Job {
    at_ms: f64,
    cost_ms: f64,
    credit: f64,
}

impl Job {
    fn new(pattern: &Pattern, asked: &CallerRequest) -> Job {
        let prompt = asked.prompt_tokens;
        Job {
            at_ms: asked.at_ms,
            cost_ms: engine::cost_ms(&pattern.engine, prompt, asked.events),
            credit: pattern.routes[asked.route].worth,
        }
    }

    fn density(&self) -> f64 {
        self.credit / self.cost_ms
    }
}

/// What is left of each window, by length and then by time.
struct Windows(Vec<Vec<f64>>);

impl Windows {
    fn new(pattern: &Pattern) -> Windows {
        let end_ms = pattern.length_s * 1e3;
        let mut levels = Vec::new();
        let mut length_ms = WINDOW_MS;
        loop {
            let count = (end_ms / length_ms).ceil().max(1.0) as usize;
            let work = |place: usize| {
                let begin_ms = place as f64 * length_ms;
                let from_ms = begin_ms.max(pattern.warm_up_s * 1e3);
                let to_ms = (begin_ms + length_ms).min(end_ms);
                work_ms(pattern, from_ms, to_ms + TAIL_MS)
            };
            levels.push((0..count).map(work).collect());
            if count == 1 {
                return Windows(levels);
            }
            length_ms *= 2.0;
        }
    }

    /// Takes as much of a request as every window around it bears; returns
    /// its milliseconds.
    fn take(&mut self, job: &Job) -> f64 {
        let first = (job.at_ms / WINDOW_MS) as usize;
        let places = |level: usize| first >> level;
        let levels = self.0.iter().enumerate();
        let least = levels
            .map(|(level, left)| left[places(level)])
            .fold(job.cost_ms, f64::min);
        for (level, left) in self.0.iter_mut().enumerate() {
            left[places(level)] -= least;
        }
        least
    }
}

/// Milliseconds of work that all targets can do from one time to another.
fn work_ms(pattern: &Pattern, from_ms: f64, to_ms: f64) -> f64 {
    let targets = pattern.fleet.targets.iter().sum::<usize>() as f64;
    let absent: f64 = pattern
        .absences
        .iter()
        .flat_map(|absence| {
            (0..absence.count).map(move |place| {
                let gone_ms = absence.at_s * 1e3
                    + absence.gap_ms * place as f64
                    + absence.drain_ms;
                let back_ms = gone_ms + absence.away_ms;
                (back_ms.min(to_ms) - gone_ms.max(from_ms)).max(0.0)
            })
        })
        .sum();
    (targets * (to_ms - from_ms) - absent).max(0.0)
}
