//! The simulation of callers, entry hosts and targets, in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetReport, TargetSpec,
        lapse::{Lapse, RELIST_TIMEOUT_MS, StoreView},
        regions::Regions,
        request::{Dispatch, Next},
        retry_budget::RetryBound,
        routes::EngineSpec,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    deadly::fingerprints,
    engine::{Engine, EngineRequest},
    named::NamedHosts,
    pattern::{Pattern, StoreRestore},
    result::{Ending, RequestResult},
    sample::CallerRequest,
};

/// The virtual time at the start, in milliseconds. Clocks of real hosts do not
/// begin at 0 either.
const START_MS: f64 = 1_000_000.0;

/// The one-way latency inside a data centre, in milliseconds.
pub(super) const LOCAL_LATENCY_MS: f64 = 0.2;

/// An entry host's processing time per attempt, in milliseconds.
const PROCESSING_MS: f64 = 1.5;

/// The interval of the heartbeats of entry hosts, in milliseconds.
pub(super) const HEARTBEAT_MS: f64 = 400.0;

/// The time after which callers leave a stream without new events, in
/// milliseconds.
const STREAM_IDLE_TIMEOUT_MS: f64 = 2_000.0;

/// The number of ways between a target and an entry host from the end of an
/// answer without frames until it is known whether the target lives.
const UNFRAMED_END_WAYS: f64 = 3.0;

/// The version that every target serves.
pub(super) const VERSION: u64 = 1;

/// The name of the only service.
const SERVICE: &str = "model";

/// An event of the simulation, with the index of what it affects.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's try reaches an entry host: the call.
    CallerArrived(usize),
    /// A waiting request asks its gateway for a target again: the call and its
    /// number of tries at the time of scheduling.
    FindTarget(usize, u32),
    /// An attempt reaches its target: the attempt.
    AttemptReceived(usize),
    /// A pass of a target's engine ends: the target and its incarnation.
    PassEnded(usize, u32),
    /// An event of an attempt reaches its entry host.
    OutputReceived { attempt: usize, is_last: bool },
    /// An entry host learns how an attempt ended without an answer.
    AttemptFailed(usize, Outcome),
    /// The regular report of an agent is due: the target.
    ReportDue(usize),
    /// A report reaches an entry host.
    ReportReceived { host: usize, target: usize, report: TargetReport },
    /// The digest of a data centre is due: the data centre.
    DigestDue(usize),
    /// A digest reaches an entry host.
    DigestReceived { host: usize, reports: Rc<[RelayedReport]> },
    /// The heartbeats of the other entry hosts reach an entry host.
    Heartbeat(usize),
    /// A target stops accepting requests.
    Drain(usize),
    /// A target stops serving, and its running requests are cut.
    CutTarget(usize),
    /// A target serves again.
    Restart(usize),
    /// The store is restored, and the entries of all targets are lost.
    Restore(StoreRestore),
    /// Entry hosts learn of the entry that a target has written again.
    Relist(usize),
    /// Entry hosts remove the targets whose entries have not been written
    /// again in time.
    RemoveLapsed,
    /// A caller leaves if its call still has these numbers of tries and
    /// events.
    LeaveIfSilent { call: usize, tries: u32, events: u32 },
}

/// A report in a digest.
#[derive(Clone, Debug)]
pub(super) struct RelayedReport {
    /// The time of the report.
    pub(super) at_ms: u64,
    pub(super) target: usize,
    pub(super) report: TargetReport,
}

/// A caller's request, over all its tries.
#[derive(Debug)]
struct Call {
    request: CallerRequest,
    retries_left: u32,
    tries: u32,
    host: usize,
    admission: Option<Admission>,
    /// When the call last began to wait for a target.
    since_ms: u64,
    /// The urgency of the running attempt; lower values run first.
    urgency: u8,
    /// The running attempt.
    attempt: Option<usize>,
    event_count: u32,
    /// When the first event reached the caller.
    first_event_ms: Option<f64>,
    last_event_ms: f64,
    longest_pause_ms: f64,
    ending: Option<Ending>,
}

/// An attempt of a call at a target.
#[derive(Debug)]
struct Attempt {
    call: usize,
    target: usize,
    sent_ms: u64,
    is_over: bool,
}

/// A simulated target.
#[derive(Debug)]
pub(super) struct TargetHost {
    pub(super) engine: Engine,
    pub(super) data_centre: usize,
    pub(super) is_accepting: bool,
    pub(super) is_up: bool,
    /// The number of absences so far. Passes that began in an earlier
    /// incarnation are discarded.
    pub(super) incarnation: u32,
    /// The number of regular reports sent.
    pub(super) report_count: u32,
}

/// An entry host, with its real gateway.
pub(super) struct EntryHost {
    pub(super) gateway: Gateway,
    pub(super) data_centre: usize,
}

/// A simulated fleet with its callers.
pub struct World<'a> {
    pub(super) pattern: &'a Pattern,
    pub(super) rng: SmallRng,
    /// The virtual time since the start.
    now_ms: f64,
    /// The sequence number of the last scheduled event, which orders events of
    /// the same time.
    sequence: u64,
    /// The number of restores of the store so far.
    era: u64,
    /// Pending events: time in microseconds, sequence number and index in
    /// `events`.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    pub(super) hosts: Vec<EntryHost>,
    /// The entry hosts that callers are named.
    pub(super) named: NamedHosts,
    pub(super) targets: Vec<TargetHost>,
}

impl<'a> World<'a> {
    /// Returns a fleet that will receive `requests`.
    pub fn new(
        pattern: &'a Pattern,
        requests: Vec<CallerRequest>,
        seed: u64,
    ) -> World<'a> {
        let fleet = &pattern.fleet;
        let targets = data_centre_of_each(&fleet.targets).map(|data_centre| {
            TargetHost {
                engine: Engine::new(pattern.engine.clone()),
                data_centre,
                is_accepting: true,
                is_up: true,
                incarnation: 0,
                report_count: 0,
            }
        });
        let targets: Vec<TargetHost> = targets.collect();
        let hosts =
            data_centre_of_each(&fleet.entry_hosts).map(|data_centre| {
                let gateway = gateway(pattern, &targets, data_centre);
                EntryHost { gateway, data_centre }
            });
        let calls = requests.into_iter().map(Call::new).collect();
        World {
            pattern,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            now_ms: 0.0,
            sequence: 0,
            era: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            calls,
            attempts: Vec::new(),
            hosts: hosts.collect(),
            named: NamedHosts::new(pattern),
            targets,
        }
    }

    /// Runs until no event is left or the time limit has passed. Returns the
    /// results of all requests in the order of their arrival.
    pub fn run(mut self) -> Vec<RequestResult> {
        self.schedule_initial_events();
        let end_ms = (self.pattern.length_s + DRAIN_S) * 1e3;
        while let Some(Reverse((at_us, _, index))) = self.queue.pop() {
            self.now_ms = at_us as f64 / 1e3;
            if self.now_ms > end_ms {
                break;
            }
            let event = self.events[index].clone();
            self.handle(event);
        }
        let pattern = self.pattern;
        let sound = self.calls.into_iter().filter(|c| !c.request.is_deadly);
        sound.map(|call| call.into_result(pattern)).collect()
    }

    /// Schedules the arrivals, the first periodic events and the events of the
    /// pattern.
    fn schedule_initial_events(&mut self) {
        for call in 0..self.calls.len() {
            let at_ms = self.calls[call].request.at_ms;
            self.schedule_at(at_ms, Event::CallerArrived(call));
        }
        let every_ms = self.pattern.fleet.report_every_ms;
        for target in 0..self.targets.len() {
            let offset_ms = self.rng.random::<f64>() * every_ms;
            self.schedule_at(offset_ms, Event::ReportDue(target));
        }
        for host in 0..self.hosts.len() {
            let offset_ms = self.rng.random::<f64>() * HEARTBEAT_MS;
            self.schedule_at(offset_ms, Event::Heartbeat(host));
        }
        if let Some(every_ms) = self.pattern.fleet.digest_every_ms {
            for centre in 0..self.pattern.data_centre_count() {
                let offset_ms = self.rng.random::<f64>() * every_ms;
                self.schedule_at(offset_ms, Event::DigestDue(centre));
            }
        }
        for restore in &self.pattern.restores {
            let at_ms = restore.at_s * 1e3;
            self.schedule_at(at_ms, Event::Restore(*restore));
        }
        for absence in &self.pattern.absences {
            let absent =
                self.absent_targets(absence.count, absence.data_centre);
            for (index, target) in absent.into_iter().enumerate() {
                let drain_ms =
                    absence.at_s * 1e3 + absence.gap_ms * index as f64;
                let cut_ms = drain_ms + absence.drain_ms;
                let back_ms = cut_ms + absence.away_ms;
                if absence.drain_ms > 0.0 {
                    self.schedule_at(drain_ms, Event::Drain(target));
                }
                self.schedule_at(cut_ms, Event::CutTarget(target));
                self.schedule_at(back_ms, Event::Restart(target));
            }
        }
    }

    /// Returns the targets of an absence in the order in which they stop.
    fn absent_targets(
        &self,
        count: usize,
        data_centre: Option<usize>,
    ) -> Vec<usize> {
        let mut counts = vec![0; self.pattern.data_centre_count()];
        let mut order: Vec<(usize, usize)> = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            let centre = target.data_centre;
            if data_centre.is_none_or(|wanted| wanted == centre) {
                order.push((counts[centre], index));
                counts[centre] += 1;
            }
        }
        order.sort_unstable();
        order.into_iter().map(|(_, index)| index).take(count).collect()
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, after_ms: f64, event: Event) {
        self.schedule_at(self.now_ms + after_ms, event);
    }

    fn schedule_at(&mut self, at_ms: f64, event: Event) {
        self.sequence += 1;
        let at_us = (at_ms * 1e3) as u64;
        self.queue.push(Reverse((at_us, self.sequence, self.events.len())));
        self.events.push(event);
    }

    /// Returns the time on the clocks of the entry hosts.
    pub(super) fn clock_ms(&self) -> u64 {
        (START_MS + self.now_ms) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrived(call) => self.on_caller_arrived(call),
            Event::FindTarget(call, tries) => self.find_target(call, tries),
            Event::AttemptReceived(attempt) => {
                self.on_attempt_received(attempt)
            }
            Event::PassEnded(target, incarnation) => {
                self.on_pass_ended(target, incarnation)
            }
            Event::OutputReceived { attempt, is_last } => {
                self.on_output_received(attempt, is_last);
            }
            Event::AttemptFailed(attempt, outcome) => {
                self.on_attempt_failed(attempt, outcome)
            }
            Event::ReportDue(target) => self.on_report_due(target),
            Event::ReportReceived { host, target, report } => {
                let now_ms = self.clock_ms();
                let gateway = &mut self.hosts[host].gateway;
                let at = address(target);
                gateway.targets.record_report(now_ms, at, report);
                gateway.take_ends(now_ms);
            }
            Event::Heartbeat(host) => self.on_heartbeat(host),
            Event::DigestDue(centre) => self.send_digest(centre),
            Event::DigestReceived { host, reports } => {
                let targets = &mut self.hosts[host].gateway.targets;
                for RelayedReport { at_ms, target, report } in reports.iter() {
                    let at = address(*target);
                    targets.record_relayed_report(*at_ms, at, *report);
                }
            }
            Event::Drain(target) => {
                self.targets[target].is_accepting = false;
                self.send_report(target, true);
            }
            Event::CutTarget(target) => self.cut_target(target),
            Event::Restart(target) => {
                self.targets[target].is_accepting = true;
                self.targets[target].is_up = true;
                self.list_new_start(target);
                self.send_report(target, true);
            }
            Event::Restore(restore) => self.restore(restore),
            Event::Relist(target) => self.relist(target),
            Event::RemoveLapsed => self.remove_lapsed(),
            Event::LeaveIfSilent { call, tries, events } => {
                self.leave_if_silent(call, tries, events);
            }
        }
    }

    fn restore(&mut self, restore: StoreRestore) {
        self.era += 1;
        let at_ms = self.clock_ms();
        for host in &mut self.hosts {
            for index in 0..self.targets.len() {
                let targets = &mut host.gateway.targets;
                if let Some(target) = targets.get_mut(&target_id(index)) {
                    target.lapse = Some(Lapse { at_ms, is_from_peer: false });
                }
            }
        }
        let gap_ms = restore.again_most_ms / self.targets.len() as f64;
        for target in 0..self.targets.len() {
            let after_ms = gap_ms * (target + 1) as f64;
            self.schedule(after_ms, Event::Relist(target));
        }
        self.schedule(RELIST_TIMEOUT_MS as f64 + 1.0, Event::RemoveLapsed);
    }

    fn relist(&mut self, index: usize) {
        let stamp = Stamp::new(self.era, 1);
        for host in &mut self.hosts {
            let spec =
                target_spec(self.pattern, &self.targets[index], index, stamp);
            host.gateway.targets.put(spec);
        }
    }

    fn remove_lapsed(&mut self) {
        let now_ms = self.clock_ms();
        let store =
            StoreView { is_watcher: true, sees_store: true, recovered_ms: 0 };
        for host in &mut self.hosts {
            for index in 0..self.targets.len() {
                let id = target_id(index);
                let targets = &mut host.gateway.targets;
                let lapse = targets.get(&id).and_then(|t| t.lapse);
                if lapse.is_some_and(|lapse| lapse.is_over(now_ms, store)) {
                    targets.depart(now_ms, &id, Stamp::new(self.era, 0));
                }
            }
        }
    }

    fn on_caller_arrived(&mut self, index: usize) {
        let centre = self.calls[index].request.data_centre;
        let near = self.named.in_centre(centre);
        let host = match near.is_empty() {
            true => self.rng.random_range(0..self.hosts.len()),
            false => near[self.rng.random_range(0..near.len())],
        };
        let now_ms = self.clock_ms();
        let call = &mut self.calls[index];
        let route = &self.pattern.routes[call.request.route];
        let elapsed_ms = self.now_ms - call.request.at_ms;
        let left_ms = route.timeout_ms.saturating_sub(elapsed_ms as u64);
        let head = RequestHead {
            host: Name::from("fleet"),
            path: Name::from(format!("/{}/", route.name)),
            deadline_ms: Some(left_ms),
            model: Some(Name::from("m")),
            ..RequestHead::default()
        };
        let draw = self.rng.random();
        let admitted = self.hosts[host].gateway.admit(now_ms, &head, draw);
        call.host = host;
        call.tries += 1;
        call.since_ms = now_ms;
        call.admission = admitted.ok();
        if self.pattern.deadly_part.is_some() {
            let fingerprints = fingerprints(index, &call.request);
            let admission = call.admission.take();
            call.admission =
                admission.map(|a| a.with_fingerprints(fingerprints));
        }
        let tries = call.tries;
        let silent_ms = STREAM_IDLE_TIMEOUT_MS.min(left_ms as f64);
        let silence = Event::LeaveIfSilent { call: index, tries, events: 0 };
        self.schedule(silent_ms, silence);
        self.find_target(index, tries);
    }

    fn find_target(&mut self, index: usize, tries: u32) {
        let now_ms = self.clock_ms();
        let call = &mut self.calls[index];
        let is_open = call.ending.is_none() && call.attempt.is_none();
        if !is_open || call.tries != tries {
            return;
        }
        let Some(admission) = call.admission.as_mut() else { return };
        let gateway = &mut self.hosts[call.host].gateway;
        let draw = self.rng.random();
        match gateway.next(now_ms, admission, call.since_ms, draw) {
            Next::Send(dispatch) => self.send(index, &dispatch),
            Next::Wait(ms) => {
                self.schedule(ms as f64, Event::FindTarget(index, tries));
            }
            Next::Refuse(refusal) => {
                self.on_refusal(index, refusal.retry_after_ms);
            }
        }
    }

    fn send(&mut self, index: usize, dispatch: &Dispatch) {
        let target = usize::from(dispatch.address.port()) - 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call: index,
            target,
            sent_ms: self.clock_ms(),
            is_over: false,
        });
        self.calls[index].attempt = Some(attempt);
        self.calls[index].urgency = dispatch.urgency;
        let latency_ms = PROCESSING_MS + self.latency_ms(index, target);
        self.schedule(latency_ms, Event::AttemptReceived(attempt));
    }

    fn latency_ms(&self, call: usize, target: usize) -> f64 {
        let host = &self.hosts[self.calls[call].host];
        match host.data_centre == self.targets[target].data_centre {
            true => LOCAL_LATENCY_MS,
            false => self.pattern.fleet.crossing_ms,
        }
    }

    /// Handles the refusal of a caller's try. If it has retries left, it tries
    /// again after `retry_after_ms`, but no later than after a third of its
    /// remaining time; repeaters try again immediately.
    fn on_refusal(&mut self, index: usize, retry_after_ms: Option<u64>) {
        let pattern = self.pattern;
        let call = &mut self.calls[index];
        call.admission = None;
        if call.event_count > 0 || call.retries_left == 0 {
            call.ending = Some(Ending::Refused { tries: call.tries });
            return;
        }
        call.retries_left -= 1;
        let timeout_ms = pattern.routes[call.request.route].timeout_ms as f64;
        let elapsed_ms = self.now_ms - call.request.at_ms;
        let max_ms = (timeout_ms - elapsed_ms).max(0.0) / 3.0;
        let hint_ms = retry_after_ms.unwrap_or(0) as f64;
        let after_ms = match call.request.is_repeater {
            true => 0.0,
            false => hint_ms.min(max_ms),
        };
        let latency_ms = 2.0 * pattern.fleet.caller_way_ms;
        self.schedule(after_ms + latency_ms, Event::CallerArrived(index));
    }

    fn on_attempt_received(&mut self, attempt: usize) {
        let Attempt { call, target, is_over, .. } = self.attempts[attempt];
        if is_over {
            return;
        }
        let call = &self.calls[call];
        let urgency = call.urgency;
        let event_count = call.event_count;
        let stride = f64::from(self.pattern.engine.stride);
        let work = EngineRequest {
            attempt,
            unread_tokens: call.request.prompt_tokens
                + f64::from(event_count) * stride,
            events_left: call
                .request
                .events
                .saturating_sub(event_count)
                .max(1),
            urgency,
        };
        let host = &mut self.targets[target];
        if !host.is_up || !host.engine.enqueue(work) {
            let back_ms = self.latency_ms(self.attempts[attempt].call, target);
            self.schedule(
                back_ms,
                Event::AttemptFailed(attempt, Outcome::Refused),
            );
            return;
        }
        self.begin_pass(target);
    }

    fn begin_pass(&mut self, target: usize) {
        let host = &mut self.targets[target];
        let incarnation = host.incarnation;
        if let Some(ms) = host.engine.begin_pass() {
            self.schedule(ms, Event::PassEnded(target, incarnation));
        }
    }

    fn on_pass_ended(&mut self, target: usize, incarnation: u32) {
        if self.targets[target].incarnation != incarnation {
            return;
        }
        let mut is_crashed = false;
        for written in self.targets[target].engine.end_pass() {
            let attempt = written.attempt;
            let call = self.attempts[attempt].call;
            if self.calls[call].request.is_deadly {
                is_crashed = true;
                continue;
            }
            let is_last = written.is_last;
            let ways = match is_last && self.is_unframed(attempt) {
                true => UNFRAMED_END_WAYS,
                false => 1.0,
            };
            let latency_ms = ways * self.latency_ms(call, target);
            self.schedule(
                latency_ms,
                Event::OutputReceived { attempt, is_last },
            );
        }
        match is_crashed {
            true => self.crash_target(target),
            false => self.begin_pass(target),
        }
    }

    fn on_output_received(&mut self, attempt: usize, is_last: bool) {
        let now_ms = self.clock_ms();
        let known = &mut self.attempts[attempt];
        if known.is_over {
            return;
        }
        let index = known.call;
        let call = &mut self.calls[index];
        let gateway = &mut self.hosts[call.host].gateway;
        if let Some(admission) = call.admission.as_mut() {
            let id = target_id(known.target);
            let took_ms = now_ms - known.sent_ms;
            gateway.record_begun(now_ms, admission, &id, took_ms);
        }
        let at_ms = self.now_ms + self.pattern.fleet.caller_way_ms;
        call.record_event(at_ms);
        let (tries, events) = (call.tries, call.event_count);
        if is_last {
            self.finish_attempt(attempt, Outcome::Whole);
            self.calls[index].ending = Some(Ending::Whole);
        } else {
            let silence = Event::LeaveIfSilent { call: index, tries, events };
            self.schedule(STREAM_IDLE_TIMEOUT_MS, silence);
        }
    }

    /// Reports the end of an attempt to its gateway. Returns whether the call
    /// may be sent again.
    fn finish_attempt(&mut self, attempt: usize, outcome: Outcome) -> bool {
        let now_ms = self.clock_ms();
        let known = &mut self.attempts[attempt];
        known.is_over = true;
        let call = &mut self.calls[known.call];
        call.attempt = None;
        call.since_ms = now_ms;
        let gateway = &mut self.hosts[call.host].gateway;
        let Some(admission) = call.admission.as_mut() else { return false };
        let id = target_id(known.target);
        let may_retry =
            gateway.on_attempt_ended(now_ms, admission, &id, outcome);
        if outcome == Outcome::Whole {
            gateway.record_answered(now_ms, admission);
        }
        may_retry
    }

    fn on_attempt_failed(&mut self, attempt: usize, outcome: Outcome) {
        if self.attempts[attempt].is_over {
            return;
        }
        let index = self.attempts[attempt].call;
        let tries = self.calls[index].tries;
        if self.finish_attempt(attempt, outcome) {
            self.calls[index].prepare_resume();
            self.find_target(index, tries);
        } else {
            self.calls[index].ending = Some(Ending::Cut);
        }
    }

    pub(super) fn cut_target(&mut self, target: usize) {
        let host = &mut self.targets[target];
        host.is_up = false;
        host.is_accepting = false;
        host.incarnation += 1;
        let spec = self.pattern.engine.clone();
        let engine = std::mem::replace(&mut host.engine, Engine::new(spec));
        self.send_report(target, true);
        for attempt in { engine }.clear() {
            let ways = match self.is_unframed(attempt) {
                true => UNFRAMED_END_WAYS,
                false => 1.0,
            };
            let call = self.attempts[attempt].call;
            let latency_ms = ways * self.latency_ms(call, target);
            self.schedule(
                latency_ms,
                Event::AttemptFailed(attempt, Outcome::Broken),
            );
        }
    }

    fn leave_if_silent(&mut self, index: usize, tries: u32, events: u32) {
        let call = &self.calls[index];
        let is_silent = call.tries == tries && call.event_count == events;
        // A call without an admission waits for its retry and cannot leave.
        let is_there = call.ending.is_none() && call.admission.is_some();
        if !is_silent || !is_there {
            return;
        }
        if let Some(attempt) = call.attempt {
            let target = self.attempts[attempt].target;
            self.targets[target].engine.remove(attempt);
            self.finish_attempt(attempt, Outcome::Withdrawn);
        }
        let call = &mut self.calls[index];
        if let Some(admission) = call.admission.as_mut() {
            self.hosts[call.host].gateway.stop_waiting(admission);
        }
        call.ending = Some(Ending::CallerLeft);
    }
}

/// The time that the simulation runs on after the last arrival, in seconds.
const DRAIN_S: f64 = 10.0;

impl Call {
    fn new(request: CallerRequest) -> Call {
        Call {
            retries_left: request.retries,
            request,
            tries: 0,
            host: 0,
            admission: None,
            since_ms: 0,
            urgency: 0,
            attempt: None,
            event_count: 0,
            first_event_ms: None,
            last_event_ms: 0.0,
            longest_pause_ms: 0.0,
            ending: None,
        }
    }

    /// Prepares the admission for resuming a stream that broke off.
    fn prepare_resume(&mut self) {
        let last_ms = (START_MS + self.last_event_ms) as u64;
        let has_event = self.first_event_ms.is_some();
        if let Some(admission) = self.admission.as_mut() {
            admission.last_event_ms = has_event.then_some(last_ms);
        }
    }

    /// Records an event that reaches the caller at `at_ms`.
    fn record_event(&mut self, at_ms: f64) {
        self.event_count += 1;
        if self.first_event_ms.is_some() {
            let pause_ms = at_ms - self.last_event_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_event_ms.get_or_insert(at_ms);
        self.last_event_ms = at_ms;
    }

    fn into_result(self, pattern: &Pattern) -> RequestResult {
        let start_ms = self.request.at_ms - pattern.fleet.caller_way_ms;
        RequestResult {
            first_event_ms: self.first_event_ms.map(|at| at - start_ms),
            longest_pause_ms: self.longest_pause_ms,
            ending: self.ending.unwrap_or(Ending::CallerLeft),
            request: self.request,
        }
    }
}

/// Returns the data centre of each host, given the number of hosts in each
/// data centre.
fn data_centre_of_each(counts: &[usize]) -> impl Iterator<Item = usize> + '_ {
    counts
        .iter()
        .enumerate()
        .flat_map(|(centre, count)| std::iter::repeat_n(centre, *count))
}

pub(super) fn data_centre_name(index: usize) -> Name {
    Name::from(format!("dc-{index}"))
}

pub(super) fn target_id(index: usize) -> Name {
    Name::from(format!("target-{index:03}"))
}

pub(super) fn address(target: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, target as u16 + 1))
}

fn gateway(
    pattern: &Pattern,
    targets: &[TargetHost],
    data_centre: usize,
) -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig {
        data_centre: data_centre_name(data_centre),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: 0,
        regions: Regions::new(),
    });
    gateway.versions.record_read();
    gateway.set_routing(routing(pattern));
    for (index, target) in targets.iter().enumerate() {
        let stamp = Stamp::new(0, 1);
        gateway.targets.put(target_spec(pattern, target, index, stamp));
    }
    gateway
}

/// Returns the entry of the target with the given index.
pub(super) fn target_spec(
    pattern: &Pattern,
    target: &TargetHost,
    index: usize,
    stamp: Stamp,
) -> TargetSpec {
    TargetSpec {
        id: target_id(index),
        service: Name::from(SERVICE),
        address: address(index),
        data_centre: data_centre_name(target.data_centre),
        slots: pattern.engine.slots as u32,
        is_draining: false,
        born_ms: None,
        serves_version: Some(VERSION),
        cold_ms: 0,
        stamp,
    }
}

fn routing(pattern: &Pattern) -> Routing {
    let engine = &pattern.engine;
    let shares: f64 = pattern.routes.iter().map(|route| route.share).sum();
    let mean = |of: fn(&super::pattern::RoutePattern) -> f64| {
        pattern.routes.iter().map(|r| of(r) * r.share).sum::<f64>() / shares
    };
    let service = Service {
        name: Name::from(SERVICE),
        engine: Some(EngineSpec {
            slots: engine.slots as u32,
            models: vec![Name::from("m")],
            layer_count: 1,
            step_ms: engine.step_ms,
            per_sequence_ms: engine.per_sequence_ms,
            stride: engine.stride,
            prefill_tokens_per_s: engine.prompt_tokens_per_ms * 1e3,
            usual_answer_tokens: mean(|r| r.events) * f64::from(engine.stride),
            ..EngineSpec::default()
        }),
        ..Service::default()
    };
    let routes = pattern.routes.iter().map(|route| Route {
        name: Name::from(route.name.as_str()),
        host: Name::from("fleet"),
        path_prefix: Name::from(format!("/{}/", route.name)),
        kind: RouteKind::Streaming,
        timeout_ms: route.timeout_ms,
        goal_ms: route.goal_ms,
        gap_goal_ms: route.gap_goal_ms,
        priority: route.priority,
        backends: vec![(Name::from(SERVICE), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: true,
        regions: Vec::new(),
    });
    let empty = Routing::new(1).with_service(service);
    routes.fold(empty, |routing, route| routing.with_route(route))
}
