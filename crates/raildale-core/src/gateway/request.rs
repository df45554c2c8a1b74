//! A request on its way through an entry host, and what becomes of it.

use std::sync::Arc;

use super::{
    ends::StartId,
    fingerprint::Fingerprint,
    routes::{Organisation, Route, RouteKind, Service},
};
use crate::{Code, Name};

/// What a caller asks for, as read from its head.
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
    /// Milliseconds that the caller waits.
    pub deadline_ms: Option<u64>,
    /// The model asked for.
    pub model: Option<Name>,
    /// The event after which a stream is to go on.
    pub resume_after: Option<Name>,
}

/// How a request waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// It does not.
    #[default]
    Nowhere,
    /// Among those that can be in time.
    InTime,
    /// Among those that cannot.
    Late,
}

/// When it is a waiting request's turn: the time that decides, and its number
/// among those that have waited here.
pub type Turn = (u64, u64);

/// A request that was let in, with what is decided of it so far.
#[derive(Clone, Debug)]
pub struct Admission {
    /// What its tries have in common; `None` until its body is known whole.
    pub fingerprint: Option<Fingerprint>,
    /// Its route.
    pub route: Arc<Route>,
    /// Who asks.
    pub organisation: Option<Arc<Organisation>>,
    /// The service it goes to.
    pub service: Arc<Service>,
    /// The model asked for.
    pub model: Option<Name>,
    /// When it came, on the process's clock.
    pub arrived_ms: u64,
    /// When it must have its final answer, on the process's clock.
    pub due_ms: u64,
    /// Whether it seems to have been refused before: its caller waits less
    /// than the route allows.
    pub is_back: bool,
    /// When it was first sent to a target; until then, when it came.
    pub sent_ms: u64,
    /// Where it is counted among those that wait here.
    pub place: Place,
    /// Its last turn among them, if it ever waited.
    pub turn: Option<Turn>,
    /// Targets that it was sent to, oldest first.
    pub tried: Vec<Name>,
    /// The start of a target that it was sent to last.
    pub sent_to: Option<StartId>,
    /// When the last event of its answer left, if it is a stream that broke
    /// off and is to go on.
    pub last_event_ms: Option<u64>,
    /// Whether it has begun at the target that has it.
    pub has_begun: bool,
    /// Whether some target may have run it.
    pub may_have_run: bool,
}

impl Admission {
    /// The same, of a request whose whole body is known.
    pub fn with_fingerprint(self, fingerprint: Fingerprint) -> Admission {
        Admission { fingerprint: Some(fingerprint), ..self }
    }

    /// Its number among those that have waited here; the last one of all if
    /// it has not.
    pub fn number(&self) -> u64 {
        self.turn.map_or(u64::MAX, |(_, number)| number)
    }

    /// Its turn among those that can be in time.
    pub fn in_time_turn(&self, goal_at_ms: u64) -> Turn {
        (goal_at_ms, self.number())
    }

    /// When an answer that has begun ends, whole or not, on the process's
    /// clock: none of the entry host itself can follow it.
    pub fn answer_due_ms(&self) -> u64 {
        self.due_ms + ANSWER_MARGIN_MS
    }

    /// Whether another target may be asked after one answered with a failure
    /// of its own.
    pub fn may_ask_another(&self) -> bool {
        let tries = self.tried.len() as u32;
        self.route.kind == RouteKind::Idempotent
            && tries < self.route.max_attempts
    }
}

/// Where to send a request next.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The target's id.
    pub target: Name,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The version that the target must have; `None` if any.
    pub version: Option<u64>,
    /// How urgent it is there, 0 first.
    pub urgency: u8,
}

/// Why a request is not sent to a target, for the log: a code also tells
/// whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Its time is over.
    Deadline,
    /// It was sent to as many targets as its route allows.
    Attempts,
    /// The retry budget holds no repeat.
    Budget,
    /// No target takes it.
    Targets,
    /// Requests like it ended their targets.
    Quarantine,
    /// The entry host does not take it, or its last attempt came to nothing.
    Host,
}

/// A request that is not sent on (any more).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller is told, and whether it ran.
    pub code: Code,
    /// What kept it from a target.
    pub obstacle: Obstacle,
    /// When to come back, in milliseconds, if it has not run.
    pub retry_after_ms: Option<u64>,
}

/// What to do with a request that waits for a target.
#[derive(Clone, Debug)]
pub enum Next {
    /// Send it.
    Send(Dispatch),
    /// Ask again after this many milliseconds.
    Wait(u64),
    /// Give it up.
    Refuse(Refusal),
}

/// Time that an answer of the entry host itself needs to reach the caller, in
/// milliseconds.
pub(super) const ANSWER_MARGIN_MS: u64 = 30;

/// The shortest time after which a refused request comes back.
pub const RETRY_AFTER_LEAST_MS: u64 = 400;

impl Refusal {
    /// The same, for what kept the request from a target.
    pub fn with_obstacle(self, obstacle: Obstacle) -> Refusal {
        Refusal { obstacle, ..self }
    }
}

/// A refusal under a code; one that proves "not run" says when to come back.
pub(super) fn refusal(code: Code) -> Refusal {
    let is_worth_it = matches!(code.http_status(), 429 | 503);
    Refusal {
        code,
        obstacle: Obstacle::Host,
        retry_after_ms: is_worth_it.then_some(RETRY_AFTER_LEAST_MS),
    }
}
