//! Where a request may go, and what follows from how it went.

use std::{collections::HashMap, sync::Arc};

use super::{
    fading::Fading,
    retry_budget::{RetryBound, RetryBudget},
    routes::{NoRoute, Organisation, Route, RouteKind, Routing, Service},
    shares::{Sender, Shares},
    target::{Outcome, Target},
    targets::{Need, Targets, VersionBound},
    waiting::{
        Place, RETRY_AFTER_LEAST_MS, Situation, Turn, Verdict, WaitingRoom,
    },
};
use crate::{Code, Name};

/// What an entry host is told at its start.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// The bound on repeats.
    pub retries: RetryBound,
    /// Milliseconds after which a named version must be the oldest that
    /// starts work; 0 if there is no such bound.
    pub version_ms: u64,
}

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

/// A request that was let in, with what is decided of it so far.
#[derive(Clone, Debug)]
pub struct Admission {
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
    /// When the last event of its answer left, if it is a stream that broke
    /// off and is to go on.
    pub last_event_ms: Option<u64>,
    /// Whether it has begun at the target that has it.
    pub has_begun: bool,
    /// Whether some target may have run it.
    pub may_have_run: bool,
}

impl Admission {
    /// Its number among those that have waited here; the last one of all if
    /// it has not.
    pub fn number(&self) -> u64 {
        self.turn.map_or(u64::MAX, |(_, number)| number)
    }

    /// Its turn among those that can be in time.
    pub fn in_time_turn(&self, goal_at_ms: u64) -> Turn {
        (goal_at_ms, self.number())
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

/// A request that is not sent on (any more).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why, and whether it ran.
    pub code: Code,
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

/// An entry host's beliefs and choices about requests.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    routing: Option<Arc<Routing>>,
    /// Every target that is known.
    pub targets: Targets,
    budgets: HashMap<Name, RetryBudget>,
    versions: HashMap<Name, Vec<NamedVersion>>,
    /// When the store last told some entry host which versions are named, as
    /// far as known here.
    versions_heard_ms: Option<u64>,
    entry_hosts: usize,
    arrivals: Fading,
    room: WaitingRoom,
}

/// A version of a model's weights and when this process heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Its number.
    pub version: u64,
    /// When it was named at the earliest, as far as known, on this process's
    /// clock.
    pub named_ms: u64,
}

/// What a word of a version changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNews {
    /// The version was not known.
    New,
    /// It was named this many milliseconds before what was believed.
    Earlier(u64),
    /// Nothing.
    Known,
}

/// What has not begun at an older version this long before its bound is
/// withdrawn.
const WITHDRAW_MARGIN_MS: u64 = 700;

/// Milliseconds between two looks for a target that has room.
const LOOK_AGAIN_MS: u64 = 20;

/// A try whose caller waits at least this share of the route's bound is its
/// first.
const FIRST_TRY_SHARE: f64 = 0.9;

/// Time that the answer itself needs to reach the caller before the route's
/// bound, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 30;

/// Silence after which a target whose agent is silent too, or says that it
/// is down, is given up, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 250;

/// Silence within a stream after which its target is given up whatever its
/// agent says, in milliseconds: callers leave after two seconds at least.
const STREAM_PATIENCE_MS: u64 = 1_000;

/// Goals that a repeatable request waits for a target without an agent.
const GOALS_OF_PATIENCE: u64 = 3;

/// The share of other entry hosts that choose among the same targets: those
/// in the same data centre, and others when theirs are full.
const ALIKE_SHARE: f64 = 0.4;

/// Time after which a request counts half towards the demand, in
/// milliseconds: heartbeats tell it every 400 ms.
const DEMAND_HALF_LIFE_MS: f64 = 1_500.0;

/// Urgency of a stream that goes on: its next event is due before the first
/// one of any other.
const URGENCY_GOES_ON: u8 = 2;

/// Urgency of a request that can still be in time.
const URGENCY_IN_TIME: u8 = 3;

/// Urgency of a request whose goal has passed.
const URGENCY_LATE: u8 = 7;

impl Gateway {
    /// An entry host that knows nothing yet.
    pub fn new(config: GatewayConfig) -> Gateway {
        Gateway {
            config,
            routing: None,
            targets: Targets::new(),
            budgets: HashMap::new(),
            versions: HashMap::new(),
            versions_heard_ms: None,
            entry_hosts: 1,
            arrivals: Fading::new(DEMAND_HALF_LIFE_MS),
            room: WaitingRoom::new(),
        }
    }

    /// The configuration in force.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Puts a configuration in force; an older one is refused.
    pub fn set_routing(&mut self, routing: Routing) -> bool {
        let is_newer = self
            .routing
            .as_ref()
            .is_none_or(|known| known.version < routing.version);
        if is_newer {
            self.routing = Some(Arc::new(routing));
        }
        is_newer
    }

    /// Notes which entry hosts there are, in an order on which all agree, and
    /// the place of this one: they share the targets' slots and the bound on
    /// repeats.
    pub fn set_entry_hosts(&mut self, hosts: Vec<Sender>, own: usize) {
        self.entry_hosts = hosts.len().max(1);
        let others = (self.entry_hosts - 1) as f64;
        let shares = Shares::new(hosts, own);
        self.targets.set_senders(1.0 + others * ALIKE_SHARE, shares);
    }

    /// Requests that come in a second, as of late: what this entry host needs
    /// targets for.
    pub fn demand_per_s(&self, now_ms: u64) -> f64 {
        self.arrivals.rate_per_s(now_ms)
    }

    /// Notes that a version of a model was named. The bound runs from the
    /// naming, so the earliest time told counts.
    pub fn note_version(
        &mut self,
        model: Name,
        named: NamedVersion,
    ) -> VersionNews {
        let versions = self.versions.entry(model).or_default();
        match versions.binary_search_by_key(&named.version, |v| v.version) {
            Ok(place) => {
                let known_ms = &mut versions[place].named_ms;
                let earlier_ms = known_ms.saturating_sub(named.named_ms);
                *known_ms -= earlier_ms;
                match earlier_ms {
                    0 => VersionNews::Known,
                    ms => VersionNews::Earlier(ms),
                }
            }
            Err(place) => {
                versions.insert(place, named);
                VersionNews::New
            }
        }
    }

    /// Whether a version of a model is known to have been named.
    pub fn knows_version(&self, model: &str, version: u64) -> bool {
        let known = self.versions.get(model);
        known.is_some_and(|all| all.iter().any(|v| v.version == version))
    }

    /// Notes when the store told some entry host which versions are named,
    /// after what that one knew of them then has been noted.
    pub fn note_versions_heard(&mut self, heard_ms: u64) {
        self.versions_heard_ms = self.versions_heard_ms.max(Some(heard_ms));
    }

    /// When the store last told some entry host which versions are named;
    /// `None` if nothing is known.
    pub fn versions_heard_ms(&self) -> Option<u64> {
        self.versions_heard_ms
    }

    /// When a version that is found now, and was not known, was named at the
    /// earliest: the store may have been silent since it was last heard. One
    /// that knows nothing yet counts from now on, until others tell better.
    pub fn earliest_naming_ms(&self, now_ms: u64) -> u64 {
        self.versions_heard_ms.unwrap_or(now_ms)
    }

    /// The versions that bound what may start, now or later: of each model
    /// the newest whose bound is over, and all after it.
    pub fn bounding_versions(&self, now_ms: u64) -> Vec<(Name, NamedVersion)> {
        let mut bounding = Vec::new();
        for (model, named) in &self.versions {
            let least = self.least_version(now_ms, model, 0);
            let from_least = named.iter().filter(|v| v.version >= least);
            bounding.extend(from_least.map(|v| (model.clone(), *v)));
        }
        bounding
    }

    /// Models with the versions named, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = (&Name, &[NamedVersion])> {
        self.versions.iter().map(|(model, named)| (model, named.as_slice()))
    }

    /// The versions of a model, with the time left until nothing older may
    /// start.
    fn version_bounds(
        &self,
        now_ms: u64,
        model: Option<&str>,
    ) -> Vec<VersionBound> {
        let bound_ms = self.config.version_ms;
        let named = model.and_then(|model| self.versions.get(model));
        let named = named.map_or(&[][..], |v| v);
        if bound_ms == 0 {
            return Vec::new();
        }
        named
            .iter()
            .map(|named| VersionBound {
                version: named.version,
                left_ms: (named.named_ms + bound_ms).saturating_sub(now_ms),
            })
            .collect()
    }

    /// The lowest version of a model that may still start work `ahead_ms`
    /// from now.
    pub fn least_version(
        &self,
        now_ms: u64,
        model: &str,
        ahead_ms: u64,
    ) -> u64 {
        let bound_ms = self.config.version_ms;
        let Some(named) = self.versions.get(model) else { return 0 };
        if bound_ms == 0 {
            return 0;
        }
        named
            .iter()
            .filter(|v| v.named_ms + bound_ms <= now_ms + ahead_ms)
            .map(|v| v.version)
            .max()
            .unwrap_or(0)
    }

    /// Lets a request in, or refuses it.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the request has not run.
    pub fn admit(
        &mut self,
        now_ms: u64,
        head: &RequestHead,
        draw: u32,
    ) -> Result<Admission, Refusal> {
        let routing = self.routing.clone().ok_or(refusal(Code::NoTarget))?;
        let path = head.path.split('?').next().unwrap_or("");
        let (route, organisation) = routing
            .find(&head.host, path, head.key.as_deref())
            .map_err(|reason| match reason {
                NoRoute::Unknown => refusal(Code::NotFound),
                NoRoute::Unauthorised => refusal(Code::Unauthorised),
            })?;
        let service = route
            .service(draw)
            .and_then(|name| routing.service(name))
            .cloned()
            .ok_or(refusal(Code::NoTarget))?;
        let left_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
        let held_ms = left_ms.min(route.timeout_ms);
        self.budget(&service.name).note_request(now_ms);
        self.arrivals.add(now_ms, 1.0);
        Ok(Admission {
            due_ms: now_ms + held_ms.saturating_sub(ANSWER_MARGIN_MS),
            is_back: (left_ms as f64)
                < route.timeout_ms as f64 * FIRST_TRY_SHARE,
            route,
            organisation,
            service,
            model: head.model.clone(),
            arrived_ms: now_ms,
            sent_ms: now_ms,
            place: Place::Nowhere,
            turn: None,
            tried: Vec::new(),
            last_event_ms: None,
            has_begun: false,
            may_have_run: false,
        })
    }

    /// Where a request goes now. To be asked again after the time told as
    /// long as it waits.
    ///
    /// `since_ms` is when it began to wait for this attempt.
    pub fn next(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        draw: u32,
    ) -> Next {
        let next = self.choose(now_ms, request, since_ms, draw);
        if !matches!(next, Next::Wait(_)) {
            self.room.leave(request);
        }
        next
    }

    fn choose(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        draw: u32,
    ) -> Next {
        if now_ms >= request.due_ms {
            return Next::Refuse(self.give_up(request, Code::DeadlinePassed));
        }
        let attempts = request.tried.len() as u32;
        if attempts >= request.route.max_attempts.max(1) {
            return Next::Refuse(self.give_up(request, Code::TargetBusy));
        }
        self.targets.share_out(now_ms, &request.service.name);
        let model = request.model.as_deref();
        let bounds = self.version_bounds(now_ms, model);
        let least_version =
            model.map_or(0, |model| self.least_version(now_ms, model, 0));
        let need = self.need(now_ms, request, &bounds);
        let is_late = need.is_late;
        let picked = match self.room.is_next(now_ms, request) {
            true => self.targets.pick(now_ms, need, draw),
            false => None,
        };
        let Some(target) = picked else {
            let is_full = self.targets.any_fits(now_ms, need);
            return self.wait_or_refuse(now_ms, request, since_ms, is_full);
        };
        let dispatch = Dispatch {
            target: target.spec.id.clone(),
            address: target.spec.address,
            version: unconfirmed_version(target, now_ms, least_version),
            urgency: match (is_late, request.last_event_ms) {
                (true, _) => URGENCY_LATE,
                (false, Some(_)) => URGENCY_GOES_ON,
                (false, None) => URGENCY_IN_TIME,
            },
        };
        let is_repeat = attempts > 0;
        let entry_hosts = self.entry_hosts;
        let service = request.service.name.clone();
        if is_repeat && !self.budget(&service).try_repeat(now_ms, entry_hosts)
        {
            return Next::Refuse(self.give_up(request, Code::TargetBusy));
        }
        self.room.note_sent(now_ms, request);
        if !is_repeat {
            request.sent_ms = now_ms;
        }
        request.has_begun = false;
        request.tried.push(dispatch.target.clone());
        self.targets.note_sent(&dispatch.target);
        Next::Send(dispatch)
    }

    /// What a target has to be for a request.
    fn need<'a>(
        &'a self,
        now_ms: u64,
        request: &'a Admission,
        bounds: &'a [VersionBound],
    ) -> Need<'a> {
        let engine = request.service.engine.as_ref();
        Need {
            is_late: self.room.is_late(now_ms, request),
            service: &request.service.name,
            data_centre: &self.config.data_centre,
            bounds,
            needs_weights: engine.is_some_and(|e| e.layer_count > 0),
            tried: &request.tried,
        }
    }

    /// Whether a target that did not have a request before could take it
    /// now.
    fn has_room_elsewhere(&self, now_ms: u64, request: &Admission) -> bool {
        let model = request.model.as_deref();
        let bounds = self.version_bounds(now_ms, model);
        let need = self.need(now_ms, request, &bounds);
        self.targets.any_has_room(now_ms, need)
    }

    /// What becomes of a request that no target takes now.
    fn wait_or_refuse(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        is_full: bool,
    ) -> Next {
        let service = &request.service;
        let rate_per_s =
            self.targets.rate_per_s(now_ms, service) / self.entry_hosts as f64;
        let situation = Situation {
            is_full,
            ready_ms: self.targets.ready_in_ms(now_ms, &service.name),
            rate_per_s,
        };
        let waited_ms = now_ms.saturating_sub(since_ms);
        match self.room.judge(now_ms, request, waited_ms, situation) {
            Verdict::Wait(place) => {
                self.room.enter(request, place);
                Next::Wait(LOOK_AGAIN_MS)
            }
            Verdict::GiveUp(back_ms) => {
                let mut refusal = self.give_up(request, Code::NoTarget);
                let is_not_run = refusal.retry_after_ms.is_some();
                refusal.retry_after_ms = is_not_run.then_some(back_ms);
                Next::Refuse(refusal)
            }
        }
    }

    /// Notes that a request has begun at a target, `took_ms` after it was
    /// sent there.
    pub fn note_begun(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        target: &str,
        took_ms: u64,
    ) {
        if std::mem::replace(&mut request.has_begun, true) {
            return;
        }
        self.targets.note_begun(target);
        // One that goes on has to read what it has written as well.
        if request.tried.len() == 1 {
            let service = &request.service.name;
            self.room.note_first_event(now_ms, service, took_ms);
        }
    }

    /// A request no longer waits here: its caller has left.
    pub fn stop_waiting(&mut self, request: &mut Admission) {
        self.room.leave(request);
    }

    /// Takes in how an attempt ended. Says whether the request may be sent
    /// again.
    pub fn ended(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        target: &str,
        outcome: Outcome,
    ) -> bool {
        let has_begun = request.has_begun;
        self.targets.note_ended(now_ms, target, outcome, has_begun);
        match outcome {
            Outcome::Whole | Outcome::Withdrawn => false,
            Outcome::Refused | Outcome::Misdirected | Outcome::Unreachable => {
                true
            }
            Outcome::Broken => {
                request.may_have_run = true;
                request.route.may_repeat()
            }
        }
    }

    /// Whether a request that has not begun at a target must be taken back:
    /// the version there is about to be too old to start.
    pub fn is_too_old(
        &self,
        now_ms: u64,
        request: &Admission,
        target: &str,
    ) -> bool {
        let Some(model) = &request.model else { return false };
        let least = self.least_version(now_ms, model, WITHDRAW_MARGIN_MS);
        let serves = self
            .targets
            .get(target)
            .and_then(|known| known.serves_version(now_ms));
        serves.is_some_and(|version| version < least)
    }

    /// Whether a target that has been silent about a request for
    /// `silent_ms` is given up: what may be repeated then goes elsewhere.
    pub fn is_lost(
        &self,
        now_ms: u64,
        request: &Admission,
        target: &str,
        silent_ms: u64,
        has_begun: bool,
    ) -> bool {
        let tries = request.tried.len() as u32;
        let may_move =
            request.route.may_repeat() && tries < request.route.max_attempts;
        if !may_move || silent_ms < SUSPECT_AFTER_MS {
            return false;
        }
        let is_suspect = self.targets.get(target).is_none_or(|known| {
            known.is_silent(now_ms)
                || known.report(now_ms).is_some_and(|r| !r.is_up)
        });
        let has_agent = self
            .targets
            .get(target)
            .is_some_and(|known| known.report(now_ms).is_some());
        let patience_ms = match (has_begun, has_agent) {
            // A stream that has begun is not given up for nothing: what is
            // on its way may only be delayed.
            (true, _) if silent_ms < STREAM_PATIENCE_MS => u64::MAX,
            (true, _) if self.has_room_elsewhere(now_ms, request) => 0,
            (true, _) => u64::MAX,
            (false, true) => u64::MAX,
            (false, false) => request.route.goal_ms * GOALS_OF_PATIENCE,
        };
        is_suspect || silent_ms >= patience_ms
    }

    /// The final answer for a request that nobody answers any more.
    pub fn give_up(&self, request: &Admission, code: Code) -> Refusal {
        if request.may_have_run {
            return refusal(Code::Unknown);
        }
        match code {
            Code::DeadlinePassed => refusal(Code::DeadlineHopeless),
            other => refusal(other),
        }
    }

    fn budget(&mut self, service: &Name) -> &mut RetryBudget {
        let bound = self.config.retries;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bound))
    }
}

/// The version to insist on: none while the target's agent tells what it
/// serves. A target refuses any other version, a newer one too, so insisting
/// on it costs an attempt when the target has just changed over.
fn unconfirmed_version(
    target: &Target,
    now_ms: u64,
    least_version: u64,
) -> Option<u64> {
    if least_version == 0 || target.report(now_ms).is_some() {
        return None;
    }
    target.spec.serves_version
}

/// A refusal under a code; one that proves "not run" says when to come back.
fn refusal(code: Code) -> Refusal {
    let is_worth_it = matches!(code.http_status(), 429 | 503);
    Refusal {
        code,
        retry_after_ms: is_worth_it.then_some(RETRY_AFTER_LEAST_MS),
    }
}
