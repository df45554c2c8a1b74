//! Requests that wait at an entry host for a target, and how long they may.
//!
//! In an overload, first come first served makes everybody late. A first try
//! that could not be in time is refused at once, with the time when it could
//! be: its caller comes back once, and an answer in time then is worth more
//! than a late one now. A try that is back waits as long as its caller does.

use std::collections::HashMap;

use super::{admission::Admission, routes::RouteKind};
use crate::Name;

/// How many requests wait here, by service.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    waiting: HashMap<Name, u32>,
}

/// What is known when a request finds no target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Situation {
    /// Whether targets serve it and are only full.
    pub is_full: bool,
    /// Milliseconds until the next target will serve, if that is known.
    pub ready_ms: Option<u64>,
    /// Requests that targets finish in a second, for this entry host; while
    /// none serves, that they will.
    pub rate_per_s: f64,
}

/// What becomes of a request that finds no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits on.
    Wait,
    /// It is given up; if it has not run, it may come back after this many
    /// milliseconds.
    GiveUp(u64),
}

/// The share of its goal that a request may wait while no target serves it.
const WAIT_SHARE: f64 = 0.22;

/// A first try that is expected to wait longer than this share of its goal
/// is refused at once.
const HOPELESS_SHARE: f64 = 0.6;

/// From the first target that serves until half of them do, in milliseconds,
/// after a fleet was empty. Measured: 0.4 to 0.8 s.
const SPREAD_MS: u64 = 500;

/// What a stream's first event takes at its target, in milliseconds.
const FIRST_EVENT_MS: u64 = 250;

/// When a target serves again if nothing is known of any, in milliseconds:
/// an empty fleet is filled in about 4 s, half of it on the average.
const UNKNOWN_READY_MS: u64 = 2_000;

/// The shortest time after which a refused request comes back.
pub const RETRY_AFTER_LEAST_MS: u64 = 400;

/// What a queue that will have gone by then is multiplied with: others come
/// back as well.
const QUEUE_MARGIN: f64 = 1.5;

/// Callers leave a stream that shows nothing for the longest of this time,
/// four goals and eight pauses, as the platform's users tell.
const SILENT_STREAM_MS: u64 = 2_000;

impl WaitingRoom {
    /// Nobody waits.
    pub fn new() -> WaitingRoom {
        WaitingRoom::default()
    }

    /// Counts a request in, once.
    pub fn enter(&mut self, request: &mut Admission) {
        if !request.is_waiting {
            request.is_waiting = true;
            let service = request.service.name.clone();
            *self.waiting.entry(service).or_default() += 1;
        }
    }

    /// Counts a request out, if it was in.
    pub fn leave(&mut self, request: &mut Admission) {
        if request.is_waiting {
            request.is_waiting = false;
            if let Some(count) = self.waiting.get_mut(&request.service.name) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// What becomes of a request that has waited for `waited_ms`.
    pub fn judge(
        &self,
        now_ms: u64,
        request: &Admission,
        waited_ms: u64,
        situation: Situation,
    ) -> Verdict {
        let left_ms = leaves_at_ms(request).saturating_sub(now_ms);
        let queue_ms = self.queue_ms(request, situation.rate_per_s);
        match situation.is_full {
            true => judge_full(request, left_ms, queue_ms),
            false => {
                judge_empty(request, waited_ms, left_ms, queue_ms, situation)
            }
        }
    }

    /// Milliseconds until those that wait here have all been taken.
    fn queue_ms(&self, request: &Admission, rate_per_s: f64) -> u64 {
        (f64::from(self.ahead(request)) * 1e3 / rate_per_s.max(1.0)) as u64
    }

    fn ahead(&self, request: &Admission) -> u32 {
        let all = self.waiting.get(&request.service.name).copied();
        all.unwrap_or(0)
    }
}

/// While targets are full: whoever is expected to come too late is refused
/// when it comes; whoever waits, waits until its caller leaves.
fn judge_full(request: &Admission, left_ms: u64, queue_ms: u64) -> Verdict {
    let goal_ms = request.route.goal_ms as f64;
    let hopeless_ms = match request.is_back {
        true => left_ms.saturating_sub(FIRST_EVENT_MS),
        false => (goal_ms * HOPELESS_SHARE) as u64,
    };
    let is_new = !request.is_waiting && request.tried.is_empty();
    let is_hopeless = is_new && queue_ms > hopeless_ms;
    if is_hopeless || left_ms <= FIRST_EVENT_MS {
        let back_ms = (queue_ms as f64 * QUEUE_MARGIN) as u64;
        return Verdict::GiveUp(capped(request, back_ms));
    }
    Verdict::Wait
}

/// While no target serves: a first try is told early when one will; a try
/// that is back waits if it will be taken before its caller leaves.
fn judge_empty(
    request: &Admission,
    waited_ms: u64,
    left_ms: u64,
    queue_ms: u64,
    situation: Situation,
) -> Verdict {
    let patience_ms = (request.route.goal_ms as f64 * WAIT_SHARE) as u64;
    let taken_ms = situation.ready_ms.map(|ms| {
        let queue_ms = if request.is_waiting { 0 } else { queue_ms };
        ms + SPREAD_MS + queue_ms
    });
    let will_serve = taken_ms.is_some_and(|ms| ms < left_ms);
    if waited_ms < patience_ms || request.is_back && will_serve {
        return Verdict::Wait;
    }
    let ready_ms = situation.ready_ms.unwrap_or(UNKNOWN_READY_MS);
    Verdict::GiveUp(capped(request, ready_ms))
}

/// When the caller leaves if it has got nothing.
fn leaves_at_ms(request: &Admission) -> u64 {
    let route = &request.route;
    match route.kind {
        RouteKind::Streaming => {
            let silent_ms = SILENT_STREAM_MS
                .max(4 * route.goal_ms)
                .max(8 * route.gap_goal_ms);
            request.due_ms.min(request.arrived_ms + silent_ms)
        }
        RouteKind::Idempotent | RouteKind::NonIdempotent => request.due_ms,
    }
}

/// A time to come back that the caller will heed: a third of what it has
/// left at most.
fn capped(request: &Admission, ms: u64) -> u64 {
    let total_ms = request.due_ms.saturating_sub(request.arrived_ms);
    let most_ms = (total_ms / 3).max(RETRY_AFTER_LEAST_MS);
    ms.clamp(RETRY_AFTER_LEAST_MS, most_ms)
}
