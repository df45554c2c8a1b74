//! Requests that wait at an entry host for a target, and how long they may.
//!
//! In an overload, first come first served makes everybody late. Whoever can
//! still be in time goes first, and waits only as long as that holds. Whoever
//! cannot, a try that is back among them, takes what slots are left over,
//! and waits only if others like it are being served fast enough. Everybody
//! else is refused at once.

use std::collections::{BTreeSet, HashMap};

use super::{
    fading::Fading,
    request::{Admission, Place, RETRY_AFTER_LEAST_MS, Turn},
    routes::RouteKind,
};
use crate::Name;

/// Who waits here, by service.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    queues: HashMap<Name, Queue>,
    /// Requests that have waited here so far.
    entered: u64,
}

/// Requests for one service.
#[derive(Debug)]
struct Queue {
    /// By the time when they have to be sent.
    in_time: BTreeSet<Turn>,
    /// By the time when they came.
    late: BTreeSet<Turn>,
    /// Late requests that were sent to a target.
    late_sent: Fading,
    /// From sending a request to its first event, in milliseconds.
    first_event_ms: Fading,
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
    /// Milliseconds until a target takes any again; 0 if one does. Targets
    /// that name a limit take none while they have got more than that.
    pub blocked_ms: u64,
    /// Whether every target that is known leaves: another has to start first.
    pub all_leave: bool,
}

/// What becomes of a request that finds no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits on, in this place.
    Wait(Place),
    /// It is given up; if it has not run, it may come back after this many
    /// milliseconds.
    GiveUp(u64),
}

/// Time after which what was seen of a queue counts half, in milliseconds: a
/// change of load shows within a second or two, and a single burst does not
/// rule alone.
const HALF_LIFE_MS: f64 = 1_000.0;

/// What a first event takes at a target with room, in milliseconds: 115 to
/// 150 on targets that are half full. The guess before any was seen, which
/// counts as much as [`FIRST_EVENT_GUESSES`] of them.
const FIRST_EVENT_MS: f64 = 120.0;

/// What the guess counts for.
const FIRST_EVENT_GUESSES: f64 = 3.0;

/// The share of its goal that a request may wait while no target serves it.
const WAIT_SHARE: f64 = 0.22;

/// From the first target that serves until half of them do, in milliseconds,
/// after a fleet was empty. Measured: 0.4 to 0.8 s.
const SPREAD_MS: u64 = 500;

/// When a target serves again if nothing is known of any, in milliseconds:
/// an empty fleet is filled in about 4 s, half of it on the average.
const UNKNOWN_READY_MS: u64 = 2_000;

/// Callers leave a stream that shows nothing for the longest of this time,
/// four goals and eight pauses, as the platform's users tell.
const SILENT_STREAM_MS: u64 = 2_000;

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            in_time: BTreeSet::new(),
            late: BTreeSet::new(),
            late_sent: Fading::new(HALF_LIFE_MS),
            first_event_ms: Fading::new(HALF_LIFE_MS),
        }
    }
}

impl Queue {
    fn turns_mut(&mut self, place: Place) -> Option<&mut BTreeSet<Turn>> {
        match place {
            Place::Nowhere => None,
            Place::InTime => Some(&mut self.in_time),
            Place::Late => Some(&mut self.late),
        }
    }

    /// Those that wait and are to be sent before a request that can be in
    /// time and has to be sent by `turn`.
    fn before(&self, turn: Turn) -> u32 {
        self.in_time.range(..turn).count() as u32
    }

    fn first_event_ms(&self, now_ms: u64) -> u64 {
        let seen = &self.first_event_ms;
        seen.mean(now_ms, FIRST_EVENT_MS, FIRST_EVENT_GUESSES) as u64
    }

    /// Milliseconds until the late ones that wait have all been sent; `None`
    /// if none is being sent.
    fn late_ms(&self, now_ms: u64) -> Option<u64> {
        let rate_per_s = self.late_sent.rate_per_s(now_ms);
        match self.late.len() {
            0 => Some(0),
            late => {
                let ms = late as f64 * 1e3 / rate_per_s;
                ms.is_finite().then_some(ms as u64)
            }
        }
    }
}

impl WaitingRoom {
    /// Nobody waits.
    pub fn new() -> WaitingRoom {
        WaitingRoom::default()
    }

    /// Puts a request into one place of its service's queue. One that some
    /// target has had already has fewer to go to: it waits beside the queue.
    pub fn enter(&mut self, request: &mut Admission, place: Place) {
        if request.place == place {
            return;
        }
        self.leave(request);
        request.place = place;
        if !request.tried.is_empty() {
            return;
        }
        if request.turn.is_none() {
            self.entered += 1;
        }
        let number = request.turn.map_or(self.entered, |(_, number)| number);
        let turn = match place {
            Place::InTime => (goal_at_ms(request), number),
            Place::Nowhere | Place::Late => (request.arrived_ms, number),
        };
        let queue = self.queues.entry(request.service.name.clone());
        if let Some(turns) = queue.or_default().turns_mut(place) {
            turns.insert(turn);
        }
        request.turn = Some(turn);
    }

    /// Takes a request out of the queue, if it was in.
    pub fn leave(&mut self, request: &mut Admission) {
        let queue = self.queues.get_mut(&request.service.name);
        let turns = queue.and_then(|queue| queue.turns_mut(request.place));
        if let (Some(turns), Some(turn)) = (turns, request.turn) {
            turns.remove(&turn);
        }
        request.place = Place::Nowhere;
    }

    /// Whether no other request is to be sent first.
    pub fn is_next(&self, now_ms: u64, request: &Admission) -> bool {
        let Some(queue) = self.queues.get(&request.service.name) else {
            return true;
        };
        if !request.tried.is_empty() {
            return true;
        }
        let is_other = |turn: &&Turn| Some(**turn) != request.turn;
        let first = queue.in_time.iter().find(is_other);
        match self.is_late(now_ms, request) {
            false => first.is_none_or(|first| {
                *first >= request.in_time_turn(goal_at_ms(request))
            }),
            true => {
                let own = (request.arrived_ms, request.number());
                first.is_none()
                    && queue.late.first().is_none_or(|first| *first >= own)
            }
        }
    }

    /// Notes that a request was sent to a target.
    pub fn note_sent(&mut self, now_ms: u64, request: &Admission) {
        if self.is_late(now_ms, request) {
            let name = request.service.name.clone();
            let queue = self.queues.entry(name).or_default();
            queue.late_sent.add(now_ms, 1.0);
        }
    }

    /// Notes how long the first event of a request took from its sending.
    pub fn note_first_event(
        &mut self,
        now_ms: u64,
        service: &Name,
        took_ms: u64,
    ) {
        let queue = self.queues.entry(service.clone()).or_default();
        queue.first_event_ms.add(now_ms, took_ms as f64);
    }

    /// What a first event of a service takes now, in milliseconds.
    fn first_event_ms(&self, now_ms: u64, request: &Admission) -> u64 {
        let queue = self.queues.get(&request.service.name);
        queue.map_or(FIRST_EVENT_MS as u64, |q| q.first_event_ms(now_ms))
    }

    /// Whether a request can no longer be in time, were it sent now. One that
    /// is back was refused before; its goal counts from the first try. A
    /// stream that goes on is in time if its next event is: judged by its
    /// first one, it took only what others left over, and 119 of 180 that
    /// were cut in change-overs paused for too long.
    pub fn is_late(&self, now_ms: u64, request: &Admission) -> bool {
        let first_event_ms = self.first_event_ms(now_ms, request);
        if let Some(last_ms) = request.last_event_ms {
            let next_ms = now_ms + first_event_ms;
            return next_ms > last_ms + request.route.gap_goal_ms;
        }
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        request.is_back
            || request.place == Place::Late
            || waited_ms + first_event_ms > request.route.goal_ms
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
        if !situation.is_full {
            let queue_ms = self.queue_ms(request, situation.rate_per_s);
            return judge_empty(
                request, waited_ms, left_ms, queue_ms, situation,
            );
        }
        if self.will_be_in_time(now_ms, request, situation) {
            return Verdict::Wait(Place::InTime);
        }
        self.judge_late(now_ms, request, left_ms, situation.blocked_ms)
    }

    /// Milliseconds until those that wait here have all been taken.
    fn queue_ms(&self, request: &Admission, rate_per_s: f64) -> u64 {
        let queue = self.queues.get(&request.service.name);
        let waiting =
            queue.map_or(0, |queue| queue.in_time.len() + queue.late.len());
        time_ms(waiting as u32, rate_per_s)
    }

    /// Whether a request will be in time behind those that can be as well.
    fn will_be_in_time(
        &self,
        now_ms: u64,
        request: &Admission,
        situation: Situation,
    ) -> bool {
        if self.is_late(now_ms, request) {
            return false;
        }
        let queue = self.queues.get(&request.service.name);
        if request.last_event_ms.is_some() && situation.blocked_ms == 0 {
            return true;
        }
        let turn = request.in_time_turn(goal_at_ms(request));
        let ahead = queue.map_or(0, |queue| queue.before(turn));
        let taken_ms = now_ms.saturating_sub(request.arrived_ms)
            + situation.blocked_ms
            + time_ms(ahead, situation.rate_per_s)
            + self.first_event_ms(now_ms, request);
        taken_ms <= request.route.goal_ms
    }

    /// While targets are full: one that cannot be in time waits, until its
    /// caller leaves, if those before it are being served by then. One at a
    /// time waits to see whether any is.
    fn judge_late(
        &self,
        now_ms: u64,
        request: &Admission,
        left_ms: u64,
        blocked_ms: u64,
    ) -> Verdict {
        let first_event_ms = self.first_event_ms(now_ms, request);
        let queue = self.queues.get(&request.service.name);
        let late_ms = match request.place {
            Place::Late => Some(0),
            Place::Nowhere | Place::InTime => {
                queue.map_or(Some(0), |queue| queue.late_ms(now_ms))
            }
        };
        let late_ms = late_ms.map(|ms| ms + blocked_ms);
        match late_ms {
            Some(ms) if ms + first_event_ms < left_ms => {
                Verdict::Wait(Place::Late)
            }
            _ => {
                let back_ms = late_ms.unwrap_or(u64::MAX);
                Verdict::GiveUp(capped(request, back_ms))
            }
        }
    }
}

/// When a request has to have its first event.
fn goal_at_ms(request: &Admission) -> u64 {
    request.arrived_ms + request.route.goal_ms
}

/// Milliseconds that `count` requests take.
fn time_ms(count: u32, rate_per_s: f64) -> u64 {
    (f64::from(count) * 1e3 / rate_per_s.max(1.0)) as u64
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
    let patience_ms = match situation.all_leave {
        true => 0,
        false => (request.route.goal_ms as f64 * WAIT_SHARE) as u64,
    };
    let is_waiting = request.place != Place::Nowhere;
    let taken_ms = situation.ready_ms.map(|ms| {
        let queue_ms = if is_waiting { 0 } else { queue_ms };
        ms + SPREAD_MS + queue_ms
    });
    let will_serve = taken_ms.is_some_and(|ms| ms < left_ms);
    if waited_ms < patience_ms || request.is_back && will_serve {
        let place = match request.place {
            Place::Nowhere if request.is_back => Place::Late,
            Place::Nowhere => Place::InTime,
            place => place,
        };
        return Verdict::Wait(place);
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
