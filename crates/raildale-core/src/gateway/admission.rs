//! Decides whether a request is sent to a target, waits or is refused.

use std::{collections::HashMap, sync::Arc};

use super::{
    decaying_sum::DecayingSum,
    quarantine::{Permission, Quarantine},
    ranks::Rank,
    regions::{Regions, Residency},
    request::{
        ANSWER_MARGIN_MS, Admission, Dispatch, MIN_RETRY_AFTER_MS, Next,
        Obstacle, QueueKind, Refusal, RequestHead, refusal,
    },
    retry_budget::{RetryBound, RetryBudget},
    routes::{NoRoute, Organisation, Route, Routing, Service},
    shares::{Sender, Shares},
    target::Target,
    target_end::TargetEnd,
    targets::{Need, Targets},
    versions::{NamedVersions, VersionBound},
    waiting::{TargetAvailability, WaitDecision, WaitQueues, max_retry_ms},
};
use crate::{Code, Name};

/// Start-up configuration of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The data centre of this entry host.
    pub data_centre: Name,
    /// The bound on repeats.
    pub retries: RetryBound,
    /// Milliseconds from the naming of a version until no older version may
    /// start work; 0 disables the bound.
    pub version_ms: u64,
    /// The regions of the data centres; empty if requests are not bound to
    /// regions.
    pub regions: Regions,
}

/// An entry host's state and decisions for requests to targets.
#[derive(Debug)]
pub struct Gateway {
    pub(super) config: GatewayConfig,
    routing: Option<Arc<Routing>>,
    /// The known targets.
    pub targets: Targets,
    budgets: HashMap<Name, RetryBudget>,
    /// The named versions of models' weights.
    pub versions: NamedVersions,
    /// The number of entry hosts that are alive.
    entry_hosts: usize,
    /// The number of entry hosts that may exist, alive or not.
    known_entry_hosts: usize,
    arrivals: DecayingSum,
    pub(super) wait_queues: WaitQueues,
    /// Detection of requests that crash their targets.
    pub quarantine: Quarantine,
}

/// Availability of the targets that could take a request.
#[derive(Clone, Copy, Debug)]
struct FittingTargets {
    /// Whether there are any; if so, they are only full.
    is_full: bool,
    /// Milliseconds until one takes requests again; 0 if one does now.
    blocked_ms: u64,
}

/// The interval at which a waiting request looks for a target with room.
const POLL_INTERVAL_MS: u64 = 20;

/// A try counts as the caller's first if its deadline is at least this share
/// of the route's time-out.
const FIRST_TRY_SHARE: f64 = 0.9;

/// The share of the other entry hosts that compete for the same targets: those
/// in the same data centre, and others when the targets of theirs are full.
const COMPETING_SHARE: f64 = 0.4;

/// Half-life of a request's weight in the demand, in milliseconds. Heartbeats
/// carry the demand every 400 ms.
const DEMAND_HALF_LIFE_MS: f64 = 1_500.0;

/// Urgency of a stream that is resumed: its next event is due before the first
/// event of any other request.
const URGENCY_RESUMED: u8 = 2;

/// Urgency of a request that can still meet its goal.
const URGENCY_IN_TIME: u8 = 3;

/// Urgency of a request whose goal has passed.
const URGENCY_LATE: u8 = 7;

impl Gateway {
    /// Creates a gateway without a configuration, targets or peers.
    pub fn new(config: GatewayConfig) -> Gateway {
        let versions = NamedVersions::new(config.version_ms);
        Gateway {
            config,
            routing: None,
            targets: Targets::new(),
            budgets: HashMap::new(),
            versions,
            entry_hosts: 1,
            known_entry_hosts: 1,
            arrivals: DecayingSum::new(DEMAND_HALF_LIFE_MS),
            wait_queues: WaitQueues::new(),
            quarantine: Quarantine::new(),
        }
    }

    /// Returns the configuration in force; `None` until there is one.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Returns the regions of the data centres.
    pub fn regions(&self) -> &Regions {
        &self.config.regions
    }

    /// Puts a configuration in force and returns whether it was newer than the
    /// current one; an older one is ignored.
    pub fn set_routing(&mut self, routing: Routing) -> bool {
        let is_newer = self
            .routing
            .as_ref()
            .is_none_or(|known| known.version < routing.version);
        if is_newer {
            let services = routing.services().map(|s| s.name.clone());
            self.targets.set_services(services.collect());
            self.routing = Some(Arc::new(routing));
        }
        is_newer
    }

    /// Sets the entry hosts that are alive, which share the targets' slots.
    /// `hosts` must be in the same order on all of them; `own` is this host's
    /// index.
    pub fn set_entry_hosts(&mut self, hosts: Vec<Sender>, own: usize) {
        self.set_shares(Shares::new(hosts, own));
    }

    /// Sets the entry hosts that are alive and their shares.
    pub fn set_shares(&mut self, shares: Shares) {
        let host_count = shares.count().max(1);
        self.quarantine.set_place(shares.own_index(), host_count);
        self.entry_hosts = shares.competitor_count().max(1);
        let others = (self.entry_hosts - 1) as f64;
        self.targets.set_senders(1.0 + others * COMPETING_SHARE, shares);
    }

    /// Sets the number of entry hosts that may exist. They share the retry
    /// bound and the limits that targets name, since one that is silent or cut
    /// off may still use its part.
    pub fn set_known_entry_hosts(&mut self, count: usize) {
        self.known_entry_hosts = count.max(1);
        let silent = self.known_entry_hosts.saturating_sub(self.entry_hosts);
        self.targets.set_silent_senders(silent);
    }

    /// Returns the slots of the targets that run a model, in one data centre
    /// or in all.
    pub fn model_slots(&self, data_centre: Option<&str>) -> f64 {
        let runs_model = |service: &str| {
            let routing = self.routing.as_ref();
            let service = routing.and_then(|r| r.service(service));
            service.is_some_and(|service| service.engine.is_some())
        };
        let is_there = |target: &&Target| {
            data_centre.is_none_or(|name| *target.spec.data_centre == *name)
        };
        let targets = self.targets.iter().filter(is_there);
        let targets = targets.filter(|t| runs_model(&t.spec.service));
        targets.map(|target| f64::from(target.spec.slots)).sum()
    }

    /// Returns the recent rate of incoming requests per second: this entry
    /// host's demand for targets.
    pub fn demand_per_s(&self, now_ms: u64) -> f64 {
        self.arrivals.rate_per_s(now_ms)
    }

    /// Returns the organisation whose key a request has, if it needs one.
    /// Nothing is refused while no configuration is known.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the configuration allows no such request.
    pub fn organisation(
        &self,
        head: &RequestHead,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        let Some(routing) = &self.routing else { return Ok(None) };
        let (_, organisation) = find(routing, head)?;
        Ok(organisation)
    }

    /// Admits or refuses a request. `draw` is a random number that selects the
    /// service.
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
        let (route, organisation) = find(&routing, head)?;
        let service = route
            .service(draw)
            .and_then(|name| routing.service(name))
            .cloned()
            .ok_or(refusal(Code::NoTarget))?;
        let rank =
            Rank::of(&routing, &service, &route, organisation.as_deref());
        let left_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
        let held_ms = left_ms.min(route.timeout_ms);
        let host_count = self.known_entry_hosts;
        self.budget(&service.name).record_request(host_count);
        self.arrivals.add(now_ms, 1.0);
        let admission = Admission {
            fingerprints: None,
            due_ms: now_ms + held_ms.saturating_sub(ANSWER_MARGIN_MS),
            is_retry: (left_ms as f64)
                < route.timeout_ms as f64 * FIRST_TRY_SHARE,
            route,
            organisation,
            service,
            rank,
            model: head.model.clone(),
            arrived_ms: now_ms,
            sent_ms: now_ms,
            queue_kind: QueueKind::NotQueued,
            queue_key: None,
            tried: Vec::new(),
            sent_to: None,
            last_event_ms: None,
            has_begun: false,
            may_have_run: false,
        };
        self.wait_queues.record_arrival(now_ms, &admission);
        Ok(admission)
    }

    /// Decides what to do with a request now. On [`Next::Wait`], call this
    /// again after the given time.
    ///
    /// `since_ms` is when the request began to wait for this attempt, and
    /// `draw` a random number for the choice of a target.
    pub fn next(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        draw: u32,
    ) -> Next {
        let next = self.decide_next(now_ms, request, since_ms, draw);
        if !matches!(next, Next::Wait(_)) {
            self.wait_queues.leave(request);
        }
        next
    }

    fn decide_next(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        draw: u32,
    ) -> Next {
        if now_ms >= request.due_ms {
            let refusal = self.give_up(request, Code::DeadlinePassed);
            return Next::Refuse(refusal.with_obstacle(Obstacle::Deadline));
        }
        let attempts = request.tried.len() as u32;
        if attempts >= request.route.max_attempts.max(1) {
            let refusal = self.give_up(request, Code::TargetBusy);
            return Next::Refuse(refusal.with_obstacle(Obstacle::Attempts));
        }
        if let Some(next) = self.check_quarantine(now_ms, request, since_ms) {
            return next;
        }
        if self.awaits_versions(&request.service) {
            let refusal = self.give_up(request, Code::NoTarget);
            return Next::Refuse(refusal.with_obstacle(Obstacle::Versions));
        }
        self.targets.update_own_slots(now_ms, &request.service);
        let model = request.model.as_deref();
        let bounds = self.version_bounds(now_ms, model);
        let min_version = model
            .map_or(0, |model| self.versions.min_version(now_ms, model, 0));
        let need = self.need(now_ms, request, &bounds);
        if let Some(obstacle) = self.targets.place_obstacle(need) {
            return self.refuse_displaced(request, obstacle);
        }
        let is_late = need.is_late;
        let utilisation = self.targets.utilisation(&request.service.name);
        let is_next = self.wait_queues.is_next(now_ms, request)
            && !self.wait_queues.leaves_to_urgent(
                now_ms,
                request,
                utilisation,
            );
        let picked = match is_next {
            true => self.targets.pick(now_ms, need, draw),
            false => None,
        };
        let Some(target) = picked else {
            let fitting = FittingTargets {
                is_full: self.targets.any_fits(now_ms, need),
                blocked_ms: self.targets.blocked_ms(now_ms, need),
            };
            return self.wait_or_refuse(now_ms, request, since_ms, fitting);
        };
        let start = target.start;
        let dispatch = Dispatch {
            target: target.spec.id.clone(),
            address: target.spec.address,
            version: unconfirmed_version(target, now_ms, min_version),
            urgency: match (is_late, request.last_event_ms) {
                (true, _) => URGENCY_LATE,
                (false, Some(_)) => URGENCY_RESUMED,
                (false, None) => URGENCY_IN_TIME,
            },
        };
        let is_repeat = attempts > 0;
        let host_count = self.known_entry_hosts;
        let service = request.service.name.clone();
        if is_repeat && !self.budget(&service).try_repeat(host_count) {
            let refusal = self.give_up(request, Code::TargetBusy);
            return Next::Refuse(refusal.with_obstacle(Obstacle::Budget));
        }
        self.wait_queues.record_sent(now_ms, request);
        if !is_repeat {
            request.sent_ms = now_ms;
        }
        request.has_begun = false;
        request.tried.push(dispatch.target.clone());
        request.sent_to = Some(start);
        self.targets.record_sent(&dispatch.target);
        let cold_rate = request.service.cold_rate_per_s;
        self.targets.use_token(now_ms, &dispatch.target, cold_rate);
        if let Some(fingerprints) = &request.fingerprints {
            for fingerprint in fingerprints.iter() {
                self.quarantine.record_sent(fingerprint);
            }
        }
        Next::Send(dispatch)
    }

    /// Returns what to do with a request that must not be sent now because
    /// requests with one of its fingerprints crashed their targets; `None` if
    /// it may be sent.
    ///
    /// A request that waits for an earlier one with that fingerprint does so
    /// for as long as it can meet its goal.
    fn check_quarantine(
        &self,
        now_ms: u64,
        request: &Admission,
        since_ms: u64,
    ) -> Option<Next> {
        let waited_ms = now_ms.saturating_sub(since_ms);
        let fingerprints = request.fingerprints.as_ref()?;
        let permission =
            self.quarantine.request_permission(now_ms, fingerprints);
        let retry_ms = match permission {
            Permission::Allowed => return None,
            Permission::Pending if waited_ms < request.route.goal_ms => {
                return Some(Next::Wait(POLL_INTERVAL_MS));
            }
            Permission::Pending => MIN_RETRY_AFTER_MS,
            Permission::Denied(retry_ms) => retry_ms.max(MIN_RETRY_AFTER_MS),
        };
        let code = match self.quarantine.has_culprit_part(fingerprints) {
            true => Code::PartQuarantined,
            false => Code::Quarantined,
        };
        let mut refusal = self.give_up(request, code);
        refusal.retry_after_ms = refusal.retry_after_ms.map(|_| retry_ms);
        Some(Next::Refuse(refusal.with_obstacle(Obstacle::Quarantine)))
    }

    /// Returns the target starts that have ended since the last call.
    pub fn take_ends(&mut self, now_ms: u64) -> Vec<TargetEnd> {
        let ends = self.targets.take_ends();
        for end in &ends {
            let at_ms = end.at_ms.unwrap_or(now_ms);
            let target_count = self.targets.count(&end.service);
            self.quarantine.record_start_ended(
                now_ms,
                end.start,
                at_ms,
                target_count,
            );
        }
        ends
    }

    /// Returns the requirements of a request on its target.
    fn need<'a>(
        &'a self,
        now_ms: u64,
        request: &'a Admission,
        bounds: &'a [VersionBound],
    ) -> Need<'a> {
        let engine = request.service.engine.as_ref();
        Need {
            is_late: self.wait_queues.is_late(now_ms, request),
            service: &request.service.name,
            data_centre: &self.config.data_centre,
            bounds,
            needs_weights: engine.is_some_and(|e| e.layer_count > 0),
            cold_rate_per_s: request.service.cold_rate_per_s,
            tried: &request.tried,
            regions: &self.config.regions,
            residency: Residency {
                route: &request.route.regions,
                organisation: request
                    .organisation
                    .as_ref()
                    .map_or(&[], |organisation| &organisation.regions),
            },
        }
    }

    /// Returns the refusal of a request that may not use any target because
    /// of where the targets are. It gains nothing from waiting, and when that
    /// changes is not known.
    fn refuse_displaced(
        &self,
        request: &Admission,
        obstacle: Obstacle,
    ) -> Next {
        let mut refusal = self.give_up(request, Code::NoAllowedTarget);
        refusal.retry_after_ms =
            refusal.retry_after_ms.map(|_| max_retry_ms(request));
        Next::Refuse(refusal.with_obstacle(obstacle))
    }

    /// Returns whether a target that has not had a request before could take
    /// it now.
    pub(super) fn has_room_elsewhere(
        &self,
        now_ms: u64,
        request: &Admission,
    ) -> bool {
        let model = request.model.as_deref();
        let bounds = self.version_bounds(now_ms, model);
        let need = self.need(now_ms, request, &bounds);
        self.targets.any_has_room(now_ms, need)
    }

    /// Decides whether a request that no target takes now waits or is refused.
    fn wait_or_refuse(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        since_ms: u64,
        fitting: FittingTargets,
    ) -> Next {
        let service = &request.service;
        let rate_per_s =
            self.targets.rate_per_s(now_ms, service) / self.entry_hosts as f64;
        let availability = TargetAvailability {
            is_full: fitting.is_full,
            ready_ms: self.targets.ready_in_ms(now_ms, &service.name),
            rate_per_s,
            blocked_ms: fitting.blocked_ms,
            all_leaving: self.targets.all_leaving(&service.name),
        };
        let waited_ms = now_ms.saturating_sub(since_ms);
        match self.wait_queues.decide(now_ms, request, waited_ms, availability)
        {
            WaitDecision::Wait(queue_kind) => {
                self.wait_queues.enter(request, queue_kind);
                Next::Wait(POLL_INTERVAL_MS)
            }
            WaitDecision::GiveUp(retry_ms) => {
                let mut refusal = self.give_up(request, Code::NoTarget);
                let is_not_run = refusal.retry_after_ms.is_some();
                refusal.retry_after_ms = is_not_run.then_some(retry_ms);
                Next::Refuse(refusal.with_obstacle(Obstacle::Targets))
            }
        }
    }

    /// Removes a request whose caller has left from the queue.
    pub fn stop_waiting(&mut self, request: &mut Admission) {
        self.wait_queues.leave(request);
    }

    /// Returns whether nothing may be sent to a service's targets because it is
    /// not known yet which versions of weights there are.
    pub fn awaits_versions(&self, service: &Service) -> bool {
        let engine = service.engine.as_ref();
        let needs_weights = engine.is_some_and(|e| e.layer_count > 0);
        let has_bound = self.config.version_ms > 0;
        needs_weights && has_bound && !self.versions.is_read()
    }

    /// Returns the versions of a request's model with the time until nothing
    /// older may start.
    fn version_bounds(
        &self,
        now_ms: u64,
        model: Option<&str>,
    ) -> Vec<VersionBound> {
        let bounds = model.map(|model| self.versions.bounds(now_ms, model));
        bounds.unwrap_or_default()
    }

    fn budget(&mut self, service: &Name) -> &mut RetryBudget {
        let bound = self.config.retries;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bound))
    }
}

/// Returns the version to require of a target; `None` while its agent reports
/// the version that it serves. A target refuses any other version, even a
/// newer one, so that requiring it costs an attempt when the target has just
/// switched.
fn unconfirmed_version(
    target: &Target,
    now_ms: u64,
    min_version: u64,
) -> Option<u64> {
    if min_version == 0 || target.report(now_ms).is_some() {
        return None;
    }
    target.spec.serves_version
}

/// Returns the route of a request, and the organisation of its key.
fn find(
    routing: &Routing,
    head: &RequestHead,
) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Refusal> {
    let path = head.path.split('?').next().unwrap_or("");
    let found = routing.find(&head.host, path, head.key.as_deref());
    found.map_err(|reason| match reason {
        NoRoute::Unknown => refusal(Code::NotFound),
        NoRoute::Unauthorised => refusal(Code::Unauthorised),
    })
}
