//! Queues of requests that wait at an entry host for a target, and limits on
//! how long they wait.
//!
//! In an overload, serving requests in order of arrival makes all of them
//! late. Requests that can still meet their goal go first, and wait only as
//! long as they can meet it. Those that can't, among them callers' later
//! tries, take the slots that are left, and wait only if the late queue drains
//! fast enough. All others are refused at once.

use std::collections::{BTreeSet, HashMap};

use super::{
    decaying_sum::DecayingSum,
    ranks::{RankDemand, Turns},
    request::{Admission, MIN_RETRY_AFTER_MS, QueueKey, QueueKind},
    routes::RouteKind,
};
use crate::Name;

/// The requests that wait on this entry host, by service.
#[derive(Debug, Default)]
pub struct WaitQueues {
    queues: HashMap<Name, Queue>,
    /// The number of requests that have been queued so far.
    sequence: u64,
}

/// The queues of one service.
#[derive(Debug)]
struct Queue {
    /// Requests that can meet their goal, by rank and by the time by which
    /// their first event is due.
    in_time: BTreeSet<QueueKey>,
    /// Late requests, by time of arrival.
    late: BTreeSet<QueueKey>,
    /// Whose turn it is, where requests have ranks.
    turns: Turns,
    /// The recent requests by rank.
    rank_demand: RankDemand,
    /// Late requests that were sent to a target.
    late_sent: DecayingSum,
    /// Time from sending a request to its first event, in milliseconds.
    first_event_ms: DecayingSum,
}

/// The state of the targets when a request finds none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetAvailability {
    /// Whether targets that serve the request exist and are only full.
    pub is_full: bool,
    /// Milliseconds until the next target will serve; `None` if unknown.
    pub ready_ms: Option<u64>,
    /// This entry host's part of the requests that targets finish per second;
    /// while no target serves, of those they will finish.
    pub rate_per_s: f64,
    /// Milliseconds until a target accepts requests again; 0 if one does now.
    /// Targets that name a limit accept none while they have received more
    /// than that.
    pub blocked_ms: u64,
    /// Whether all known targets are leaving: another has to start first.
    pub all_leaving: bool,
}

/// The decision on a request that finds no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// The request waits in this queue.
    Wait(QueueKind),
    /// The request is given up; if it has not run, it may be tried again after
    /// this many milliseconds.
    GiveUp(u64),
}

/// Half-life of the weight of what is measured on a queue, in milliseconds. A
/// change of load shows within a second or two, and no single burst dominates.
const QUEUE_HALF_LIFE_MS: f64 = 1_000.0;

/// The assumed time to the first event at a target with room, in milliseconds,
/// which has the weight of [`FIRST_EVENT_PRIOR_WEIGHT`] measurements. It is
/// 115 to 150 ms on targets that are half full.
const ASSUMED_FIRST_EVENT_MS: f64 = 120.0;

/// The weight of the assumed time to the first event.
const FIRST_EVENT_PRIOR_WEIGHT: f64 = 3.0;

/// The share of its goal for which a request may wait while no target serves
/// it.
const NO_TARGET_WAIT_SHARE: f64 = 0.22;

/// The time from the first target that serves until half of them do, in
/// milliseconds, after a fleet was empty. It is 0.4 to 0.8 s.
const FLEET_RECOVERY_MS: u64 = 500;

/// The assumed time until a target serves again if nothing is known, in
/// milliseconds. An empty fleet is filled in about 4 s, on average half of it.
const ASSUMED_READY_MS: u64 = 2_000;

/// Callers leave a stream that is silent for the longest of this time, four
/// goals and eight pause goals, as the platform documents it. In milliseconds.
const SILENT_STREAM_MS: u64 = 2_000;

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            in_time: BTreeSet::new(),
            late: BTreeSet::new(),
            turns: Turns::default(),
            rank_demand: RankDemand::default(),
            late_sent: DecayingSum::new(QUEUE_HALF_LIFE_MS),
            first_event_ms: DecayingSum::new(QUEUE_HALF_LIFE_MS),
        }
    }
}

impl Queue {
    fn keys_mut(
        &mut self,
        queue_kind: QueueKind,
    ) -> Option<&mut BTreeSet<QueueKey>> {
        match queue_kind {
            QueueKind::NotQueued => None,
            QueueKind::InTime => Some(&mut self.in_time),
            QueueKind::Late => Some(&mut self.late),
        }
    }

    /// Returns how many waiting requests precede one that can meet its goal
    /// and has this key.
    fn count_before(&self, queue_key: QueueKey) -> u32 {
        self.in_time.range(..queue_key).count() as u32
    }

    fn first_event_ms(&self, now_ms: u64) -> u64 {
        let seen = &self.first_event_ms;
        seen.mean(now_ms, ASSUMED_FIRST_EVENT_MS, FIRST_EVENT_PRIOR_WEIGHT)
            as u64
    }

    /// Returns the milliseconds until all waiting late requests have been
    /// sent; `None` if none is being sent.
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

impl WaitQueues {
    /// Creates empty queues.
    pub fn new() -> WaitQueues {
        WaitQueues::default()
    }

    /// Adds a request to a queue of its service. A request that a target has
    /// had before has fewer targets to go to: it waits outside the queues.
    pub fn enter(&mut self, request: &mut Admission, queue_kind: QueueKind) {
        if request.queue_kind == queue_kind {
            return;
        }
        self.leave(request);
        request.queue_kind = queue_kind;
        if !request.tried.is_empty() {
            return;
        }
        if request.queue_key.is_none() {
            self.sequence += 1;
        }
        let number = request.queue_key.map_or(self.sequence, |key| key.number);
        let queue_key = match queue_kind {
            QueueKind::InTime => request.in_time_key(goal_at_ms(request)),
            QueueKind::NotQueued | QueueKind::Late => request.late_key(),
        };
        let queue_key = QueueKey { number, ..queue_key };
        let queue = self.queues.entry(request.service.name.clone());
        if let Some(keys) = queue.or_default().keys_mut(queue_kind) {
            keys.insert(queue_key);
        }
        request.queue_key = Some(queue_key);
    }

    /// Removes a request from its queue, if it is in one.
    pub fn leave(&mut self, request: &mut Admission) {
        let queue = self.queues.get_mut(&request.service.name);
        let keys = queue.and_then(|queue| queue.keys_mut(request.queue_kind));
        if let (Some(keys), Some(queue_key)) = (keys, request.queue_key) {
            keys.remove(&queue_key);
        }
        request.queue_kind = QueueKind::NotQueued;
    }

    /// Returns whether no other request is to be sent before this one.
    pub fn is_next(&self, now_ms: u64, request: &Admission) -> bool {
        let Some(queue) = self.queues.get(&request.service.name) else {
            return true;
        };
        if !request.tried.is_empty() {
            return true;
        }
        let is_other =
            |queue_key: &&QueueKey| Some(**queue_key) != request.queue_key;
        if self.is_late(now_ms, request) {
            let own = request.late_key();
            return !queue.in_time.iter().any(|key| is_other(&key))
                && queue.late.first().is_none_or(|first| *first >= own);
        }
        let own = request.in_time_key(goal_at_ms(request));
        let mut others = queue.in_time.iter().filter(is_other);
        match queue.turns.is_unranked() {
            false => others.next().is_none_or(|first| *first >= own),
            true => others.all(|other| {
                (other.at_ms, other.number) >= (own.at_ms, own.number)
            }),
        }
    }

    /// Records that a request has arrived.
    pub fn record_arrival(&mut self, now_ms: u64, request: &Admission) {
        let queue = self.queues.entry(request.service.name.clone());
        queue.or_default().rank_demand.record(now_ms, request.rank);
    }

    /// Returns whether a request leaves the free slots to more urgent ones,
    /// given the utilisation of the service's targets. One in several is
    /// taken without regard to ranks, and so is a stream that is resumed: its
    /// caller has the beginning.
    pub fn leaves_to_urgent(
        &self,
        now_ms: u64,
        request: &Admission,
        utilisation: f64,
    ) -> bool {
        let Some(queue) = self.queues.get(&request.service.name) else {
            return false;
        };
        let is_exempt =
            queue.turns.is_unranked() || request.last_event_ms.is_some();
        let max = queue.rank_demand.max_utilisation(now_ms, request.rank);
        !is_exempt && max.is_some_and(|max| utilisation > max)
    }

    /// Records that a request was sent to a target.
    pub fn record_sent(&mut self, now_ms: u64, request: &Admission) {
        if let Some(queue) = self.queues.get_mut(&request.service.name) {
            let has_waiting = !queue.in_time.is_empty();
            queue.turns.record_sent(has_waiting);
        }
        if self.is_late(now_ms, request) {
            let name = request.service.name.clone();
            let queue = self.queues.entry(name).or_default();
            queue.late_sent.add(now_ms, 1.0);
        }
    }

    /// Records the time from sending a request to its first event.
    pub fn record_first_event(
        &mut self,
        now_ms: u64,
        service: &Name,
        took_ms: u64,
    ) {
        let queue = self.queues.entry(service.clone()).or_default();
        queue.first_event_ms.add(now_ms, took_ms as f64);
    }

    /// Returns the expected time to a first event of the request's service, in
    /// milliseconds.
    fn first_event_ms(&self, now_ms: u64, request: &Admission) -> u64 {
        let queue = self.queues.get(&request.service.name);
        queue.map_or(ASSUMED_FIRST_EVENT_MS as u64, |q| {
            q.first_event_ms(now_ms)
        })
    }

    /// Returns whether a request would miss its goal if it were sent now. A
    /// try after a refusal is late, since the goal counts from the first try.
    /// A resumed stream is judged by its next event: when it was judged by its
    /// first one, it got only what others left, and 119 of 180 streams that
    /// were cut in swaps of weights paused for too long.
    pub fn is_late(&self, now_ms: u64, request: &Admission) -> bool {
        let first_event_ms = self.first_event_ms(now_ms, request);
        if let Some(last_ms) = request.last_event_ms {
            let next_ms = now_ms + first_event_ms;
            return next_ms > last_ms + request.route.gap_goal_ms;
        }
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        request.is_retry
            || request.queue_kind == QueueKind::Late
            || waited_ms + first_event_ms > request.route.goal_ms
    }

    /// Decides on a request that has waited for `waited_ms`.
    pub fn decide(
        &self,
        now_ms: u64,
        request: &Admission,
        waited_ms: u64,
        availability: TargetAvailability,
    ) -> WaitDecision {
        let left_ms = leaves_at_ms(request).saturating_sub(now_ms);
        if !availability.is_full {
            let queue_ms = self.queue_ms(request, availability.rate_per_s);
            return decide_without_targets(
                request,
                waited_ms,
                left_ms,
                queue_ms,
                availability,
            );
        }
        if self.will_meet_goal(now_ms, request, availability) {
            return WaitDecision::Wait(QueueKind::InTime);
        }
        self.decide_late(now_ms, request, left_ms, availability.blocked_ms)
    }

    /// Returns the milliseconds until the requests that wait now have been
    /// taken.
    fn queue_ms(&self, request: &Admission, rate_per_s: f64) -> u64 {
        let queue = self.queues.get(&request.service.name);
        let waiting =
            queue.map_or(0, |queue| queue.in_time.len() + queue.late.len());
        time_ms(waiting as u32, rate_per_s)
    }

    /// Returns whether a request will meet its goal behind those queued before
    /// it.
    fn will_meet_goal(
        &self,
        now_ms: u64,
        request: &Admission,
        availability: TargetAvailability,
    ) -> bool {
        if self.is_late(now_ms, request) {
            return false;
        }
        let queue = self.queues.get(&request.service.name);
        if request.last_event_ms.is_some() && availability.blocked_ms == 0 {
            return true;
        }
        let queue_key = request.in_time_key(goal_at_ms(request));
        let ahead = queue.map_or(0, |queue| queue.count_before(queue_key));
        let expected_ms = now_ms.saturating_sub(request.arrived_ms)
            + availability.blocked_ms
            + time_ms(ahead, availability.rate_per_s)
            + self.first_event_ms(now_ms, request);
        expected_ms <= request.route.goal_ms
    }

    /// Decides on a late request while targets are full. It waits until its
    /// caller leaves, if the late requests before it will be served by then.
    /// If none is being served, one at a time waits to find out whether any
    /// is.
    fn decide_late(
        &self,
        now_ms: u64,
        request: &Admission,
        left_ms: u64,
        blocked_ms: u64,
    ) -> WaitDecision {
        let first_event_ms = self.first_event_ms(now_ms, request);
        let queue = self.queues.get(&request.service.name);
        let late_ms = match request.queue_kind {
            QueueKind::Late => Some(0),
            QueueKind::NotQueued | QueueKind::InTime => {
                queue.map_or(Some(0), |queue| queue.late_ms(now_ms))
            }
        };
        let late_ms = late_ms.map(|ms| ms + blocked_ms);
        match late_ms {
            Some(ms) if ms + first_event_ms < left_ms => {
                WaitDecision::Wait(QueueKind::Late)
            }
            _ => {
                let retry_ms = late_ms.unwrap_or(u64::MAX);
                WaitDecision::GiveUp(capped_retry_ms(request, retry_ms))
            }
        }
    }
}

/// Returns when the first event of a request is due.
fn goal_at_ms(request: &Admission) -> u64 {
    request.arrived_ms + request.route.goal_ms
}

/// Returns the time in which `count` requests are taken, in milliseconds.
fn time_ms(count: u32, rate_per_s: f64) -> u64 {
    (f64::from(count) * 1e3 / rate_per_s.max(1.0)) as u64
}

/// Decides on a request while no target serves. A first try is refused early
/// with the time at which one will; a later try waits if it will be taken
/// before its caller leaves.
fn decide_without_targets(
    request: &Admission,
    waited_ms: u64,
    left_ms: u64,
    queue_ms: u64,
    availability: TargetAvailability,
) -> WaitDecision {
    let max_wait_ms = match availability.all_leaving {
        true => 0,
        false => (request.route.goal_ms as f64 * NO_TARGET_WAIT_SHARE) as u64,
    };
    let is_waiting = request.queue_kind != QueueKind::NotQueued;
    let expected_ms = availability.ready_ms.map(|ms| {
        let queue_ms = if is_waiting { 0 } else { queue_ms };
        ms + FLEET_RECOVERY_MS + queue_ms
    });
    let will_serve = expected_ms.is_some_and(|ms| ms < left_ms);
    if waited_ms < max_wait_ms || request.is_retry && will_serve {
        let queue_kind = match request.queue_kind {
            QueueKind::NotQueued if request.is_retry => QueueKind::Late,
            QueueKind::NotQueued => QueueKind::InTime,
            queue_kind => queue_kind,
        };
        return WaitDecision::Wait(queue_kind);
    }
    let ready_ms = availability.ready_ms.unwrap_or(ASSUMED_READY_MS);
    WaitDecision::GiveUp(capped_retry_ms(request, ready_ms))
}

/// Returns when the caller leaves if it has received nothing.
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

/// Limits a retry time to one that the caller will heed: at most a third of
/// its total time, and at least [`MIN_RETRY_AFTER_MS`].
fn capped_retry_ms(request: &Admission, ms: u64) -> u64 {
    ms.clamp(MIN_RETRY_AFTER_MS, max_retry_ms(request))
}

/// Returns the longest retry time that a request's caller heeds.
pub(super) fn max_retry_ms(request: &Admission) -> u64 {
    let total_ms = request.due_ms.saturating_sub(request.arrived_ms);
    (total_ms / 3).max(MIN_RETRY_AFTER_MS)
}
