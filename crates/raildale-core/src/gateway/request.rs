//! A request on its way through an entry host, and the decisions about it.

use std::sync::Arc;

use super::{
    fingerprint::Fingerprints,
    ranks::Rank,
    routes::{EngineSpec, Organisation, Route, RouteKind, Service},
    target_end::StartId,
};
use crate::{Code, Name};

/// What a caller asks for, as read from the request's head.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The caller's id of this try.
    pub id: Name,
    /// The HTTP host.
    pub host: Name,
    /// The path with its query.
    pub path: Name,
    /// The caller's key.
    pub key: Option<Name>,
    /// The time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The requested model.
    pub model: Option<Name>,
    /// The id of the event after which a stream is to be resumed.
    pub resume_after: Option<Name>,
    /// The ids of the parts of the prompt that other requests may share, in
    /// order.
    pub shared_parts: Vec<Name>,
}

/// The queue in which a request waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueKind {
    /// It doesn't wait.
    #[default]
    NotQueued,
    /// The queue of requests that can still meet their goal.
    InTime,
    /// The queue of requests that can no longer meet their goal.
    Late,
}

/// Sort key in a queue: the rank, the time that decides the order within a
/// rank, and a sequence number among the requests that have been queued on
/// this entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The rank of the request.
    pub rank: Rank,
    /// The time by which its first event is due, or that of its arrival.
    pub at_ms: u64,
    /// Its sequence number.
    pub number: u64,
}

/// An admitted request and the decisions made about it so far.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The fingerprints that its tries have in common; `None` until the whole
    /// body is known.
    pub fingerprints: Option<Fingerprints>,
    /// The matching route.
    pub route: Arc<Route>,
    /// The organisation that sent it; `None` if the request has no known key.
    pub organisation: Option<Arc<Organisation>>,
    /// The service to which it is sent.
    pub service: Arc<Service>,
    /// Its rank among the requests of its service.
    pub rank: Rank,
    /// The requested model.
    pub model: Option<Name>,
    /// When it arrived, on the process's clock.
    pub arrived_ms: u64,
    /// When its final answer is due, on the process's clock.
    pub due_ms: u64,
    /// Whether it seems to be a try after a refusal: its caller waits for less
    /// than the route allows.
    pub is_retry: bool,
    /// When it was first sent to a target; until then, when it arrived.
    pub sent_ms: u64,
    /// The queue in which it waits.
    pub queue_kind: QueueKind,
    /// Its last key in a queue; `None` if it has never waited.
    pub queue_key: Option<QueueKey>,
    /// The ids of the targets to which it was sent, oldest first.
    pub tried: Vec<Name>,
    /// The target start to which it was last sent.
    pub sent_to: Option<StartId>,
    /// When the last event of its answer was sent on, if it is a stream that
    /// broke off and is to be resumed.
    pub last_event_ms: Option<u64>,
    /// Whether it has begun at the target that has it now.
    pub has_begun: bool,
    /// Whether a target may have run it.
    pub may_have_run: bool,
}

impl Admission {
    /// Returns the request with its fingerprints, once the whole body is known.
    pub fn with_fingerprints(self, fingerprints: Fingerprints) -> Admission {
        Admission { fingerprints: Some(fingerprints), ..self }
    }

    /// Returns its sequence number among the requests that have been queued;
    /// `u64::MAX` if it never was.
    pub fn queue_number(&self) -> u64 {
        self.queue_key.map_or(u64::MAX, |key| key.number)
    }

    /// Returns its key in the queue of requests that can still meet their
    /// goal.
    pub fn in_time_key(&self, goal_at_ms: u64) -> QueueKey {
        QueueKey {
            rank: self.rank,
            at_ms: goal_at_ms,
            number: self.queue_number(),
        }
    }

    /// Returns its key in the queue of late requests.
    pub fn late_key(&self) -> QueueKey {
        QueueKey {
            rank: self.rank,
            at_ms: self.arrived_ms,
            number: self.queue_number(),
        }
    }

    /// Returns when an answer that has begun must end, complete or not, on the
    /// process's clock. This is later than `due_ms` because no answer of the
    /// entry host itself can follow it.
    pub fn answer_due_ms(&self) -> u64 {
        self.due_ms + ANSWER_MARGIN_MS
    }

    /// Returns for how long the request may be in progress at a target that
    /// gets it now, in milliseconds. One that may be repeated usually ends
    /// before its deadline, and may be sent again.
    pub fn needed_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.due_ms.saturating_sub(now_ms);
        let engine = self.service.engine.as_ref();
        let usual_ms = engine.map_or(0.0, EngineSpec::usual_run_ms) as u64;
        match self.route.may_repeat() {
            true => left_ms.min(usual_ms),
            false => left_ms,
        }
    }

    /// Returns whether the request may be sent to another target after one has
    /// answered with a server error.
    pub fn may_ask_another(&self) -> bool {
        let tries = self.tried.len() as u32;
        self.route.kind == RouteKind::Idempotent
            && tries < self.route.max_attempts
    }
}

/// The target to which a request is sent next.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The target's id.
    pub target: Name,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The version that the target must serve; `None` for any.
    pub version: Option<u64>,
    /// The request's urgency at the target, 0 being the most urgent.
    pub urgency: u8,
}

/// Why a request is not sent to a target, for the log. The code tells
/// separately whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Its deadline has passed.
    Deadline,
    /// It was sent to as many targets as its route allows.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// No target takes it.
    Targets,
    /// It is not known which versions of weights may start work.
    Versions,
    /// No target is in a region in which it may be served.
    Region,
    /// All targets that it may use are in evacuated data centres.
    Evacuation,
    /// Requests with its fingerprint crashed their targets.
    Quarantine,
    /// The entry host doesn't take it, or its last attempt failed.
    Host,
}

/// A request that is not sent (again).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The code that the caller gets, which tells whether the request ran.
    pub code: Code,
    /// What prevented it from being sent to a target.
    pub obstacle: Obstacle,
    /// When the caller may try again, in milliseconds; `None` if the request
    /// may have run or another try is pointless.
    pub retry_after_ms: Option<u64>,
}

/// What to do with a request that needs a target.
#[derive(Clone, Debug)]
pub enum Next {
    /// Send it.
    Send(Dispatch),
    /// Wait, and ask again after this many milliseconds.
    Wait(u64),
    /// Refuse it.
    Refuse(Refusal),
}

/// The time reserved for an answer of the entry host itself to reach the
/// caller, in milliseconds.
pub(super) const ANSWER_MARGIN_MS: u64 = 30;

/// The minimum time after which a refused request is to be tried again, in
/// milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 400;

impl Refusal {
    /// Returns the refusal with another obstacle.
    pub fn with_obstacle(self, obstacle: Obstacle) -> Refusal {
        Refusal { obstacle, ..self }
    }
}

/// Creates a refusal with a code. Codes sent with HTTP status 429 or 503 get a
/// retry time.
pub(super) fn refusal(code: Code) -> Refusal {
    let is_retryable = matches!(code.http_status(), 429 | 503);
    Refusal {
        code,
        obstacle: Obstacle::Host,
        retry_after_ms: is_retryable.then_some(MIN_RETRY_AFTER_MS),
    }
}
