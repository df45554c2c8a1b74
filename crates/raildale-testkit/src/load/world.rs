//! Callers, entry hosts and targets together, in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
};

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{
        Admission, Gateway, GatewayConfig, Outcome, RequestHead, Route,
        RouteKind, Routing, Service, TargetReport, TargetSpec,
        lapse::{Lapse, RELIST_TIMEOUT_MS, StoreView},
        request::{Dispatch, Next},
        retry_budget::RetryBound,
        routes::EngineSpec,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    engine::{Engine, Work},
    pattern::{Pattern, StoreRestore},
    result::{Ending, Played},
    sample::Asked,
};

/// Virtual time at the start, in milliseconds: clocks do not begin at 0.
const START_MS: f64 = 1_000_000.0;

/// Inside a data centre, in milliseconds.
pub(super) const NEAR_MS: f64 = 0.2;

/// What an entry host needs for a request, in milliseconds.
const HANDLING_MS: f64 = 1.5;

/// Time between two heartbeats of entry hosts, in milliseconds.
pub(super) const HEARTBEAT_MS: f64 = 400.0;

/// Callers leave a stream that shows nothing for so long, in milliseconds.
const SILENT_STREAM_MS: f64 = 2_000.0;

/// The version that every target serves.
pub(super) const VERSION: u64 = 1;

/// The only service.
const SERVICE: &str = "model";

/// What happens, and to what.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's try reaches an entry host.
    Arrive(usize),
    /// A request that waits looks for a target again.
    Look(usize, u32),
    /// An attempt reaches its target.
    Reach(usize),
    /// A target's pass ends.
    PassEnd(usize, u32),
    /// An event of an attempt reaches its entry host.
    Deliver { attempt: usize, is_last: bool },
    /// An entry host learns how an attempt ended without an answer.
    Fail(usize, Outcome),
    /// An agent looks at its target.
    Report(usize),
    /// A report reaches an entry host.
    Reported { host: usize, target: usize, report: TargetReport },
    /// A data centre's relay tells the others what it hears.
    Digest(usize),
    /// A digest that tells of a target reaches an entry host.
    Told { host: usize, target: usize, at_ms: u64, report: TargetReport },
    /// An entry host hears how much the others need targets for.
    Heartbeats(usize),
    /// A target takes nothing new.
    Drain(usize),
    /// What runs at a target is cut.
    Cut(usize),
    /// A target serves again.
    Back(usize),
    /// The store is restored, and each entry of a target is lost.
    Restore(StoreRestore),
    /// Entry hosts hear of the entry that a target has written again.
    Relist(usize),
    /// Entry hosts drop the targets whose entries have not come back.
    Sweep,
    /// A caller leaves if it has got nothing since.
    LeaveIfSilent { call: usize, tries: u32, events: u32 },
}

/// A caller's request, over all its tries.
#[derive(Debug)]
struct Call {
    asked: Asked,
    retries_left: u32,
    tries: u32,
    host: usize,
    admission: Option<Admission>,
    since_ms: u64,
    /// How urgent the attempt that runs is at its target.
    urgency: u8,
    /// The attempt that runs.
    attempt: Option<usize>,
    events_got: u32,
    first_event_ms: Option<f64>,
    last_event_ms: f64,
    longest_pause_ms: f64,
    ending: Option<Ending>,
}

#[derive(Debug)]
struct Attempt {
    call: usize,
    target: usize,
    sent_ms: u64,
    is_over: bool,
}

#[derive(Debug)]
pub(super) struct TargetHost {
    pub(super) engine: Engine,
    pub(super) data_centre: usize,
    pub(super) is_accepting: bool,
    pub(super) is_up: bool,
    /// Counts absences: what was under way before one is void.
    pub(super) life: u32,
    pub(super) looks: u32,
}

pub(super) struct EntryHost {
    pub(super) gateway: Gateway,
    pub(super) data_centre: usize,
}

/// A fleet with its callers.
pub struct World<'a> {
    pub(super) pattern: &'a Pattern,
    pub(super) rng: SmallRng,
    now_ms: f64,
    order: u64,
    /// How often the store was restored.
    era: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    pub(super) hosts: Vec<EntryHost>,
    pub(super) targets: Vec<TargetHost>,
}

impl<'a> World<'a> {
    /// A fleet that is asked for `requests`.
    pub fn new(
        pattern: &'a Pattern,
        requests: Vec<Asked>,
        seed: u64,
    ) -> World<'a> {
        let fleet = &pattern.fleet;
        let targets = centres(&fleet.targets).map(|data_centre| TargetHost {
            engine: Engine::new(pattern.engine.clone()),
            data_centre,
            is_accepting: true,
            is_up: true,
            life: 0,
            looks: 0,
        });
        let targets: Vec<TargetHost> = targets.collect();
        let hosts = centres(&fleet.entry_hosts).map(|data_centre| {
            let gateway = gateway(pattern, &targets, data_centre);
            EntryHost { gateway, data_centre }
        });
        let calls = requests.into_iter().map(Call::new).collect();
        World {
            pattern,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            now_ms: 0.0,
            order: 0,
            era: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            calls,
            attempts: Vec::new(),
            hosts: hosts.collect(),
            targets,
        }
    }

    /// Plays until every request has ended.
    pub fn run(mut self) -> Vec<Played> {
        self.plan();
        let end_ms = (self.pattern.length_s + LAST_S) * 1e3;
        while let Some(Reverse((at_us, _, place))) = self.queue.pop() {
            self.now_ms = at_us as f64 / 1e3;
            if self.now_ms > end_ms {
                break;
            }
            let event = self.events[place].clone();
            self.take(event);
        }
        let pattern = self.pattern;
        self.calls.into_iter().map(|call| call.played(pattern)).collect()
    }

    fn plan(&mut self) {
        for call in 0..self.calls.len() {
            let at_ms = self.calls[call].asked.at_ms;
            self.schedule_at(at_ms, Event::Arrive(call));
        }
        let every_ms = self.pattern.fleet.report_every_ms;
        for target in 0..self.targets.len() {
            let offset_ms = self.rng.random::<f64>() * every_ms;
            self.schedule_at(offset_ms, Event::Report(target));
        }
        for host in 0..self.hosts.len() {
            let offset_ms = self.rng.random::<f64>() * HEARTBEAT_MS;
            self.schedule_at(offset_ms, Event::Heartbeats(host));
        }
        if let Some(every_ms) = self.pattern.fleet.digest_every_ms {
            for centre in 0..self.pattern.data_centres() {
                let offset_ms = self.rng.random::<f64>() * every_ms;
                self.schedule_at(offset_ms, Event::Digest(centre));
            }
        }
        for restore in &self.pattern.restores {
            let at_ms = restore.at_s * 1e3;
            self.schedule_at(at_ms, Event::Restore(*restore));
        }
        for absence in &self.pattern.absences {
            let away = self.absent(absence.count, absence.data_centre);
            for (place, target) in away.into_iter().enumerate() {
                let drain_ms =
                    absence.at_s * 1e3 + absence.gap_ms * place as f64;
                let cut_ms = drain_ms + absence.drain_ms;
                let back_ms = cut_ms + absence.away_ms;
                if absence.drain_ms > 0.0 {
                    self.schedule_at(drain_ms, Event::Drain(target));
                }
                self.schedule_at(cut_ms, Event::Cut(target));
                self.schedule_at(back_ms, Event::Back(target));
            }
        }
    }

    /// The targets that go, in turn.
    fn absent(&self, count: usize, data_centre: Option<usize>) -> Vec<usize> {
        let mut seen = vec![0; self.pattern.data_centres()];
        let mut order: Vec<(usize, usize)> = Vec::new();
        for (place, target) in self.targets.iter().enumerate() {
            let centre = target.data_centre;
            if data_centre.is_none_or(|wanted| wanted == centre) {
                order.push((seen[centre], place));
                seen[centre] += 1;
            }
        }
        order.sort_unstable();
        order.into_iter().map(|(_, place)| place).take(count).collect()
    }

    pub(super) fn schedule(&mut self, after_ms: f64, event: Event) {
        self.schedule_at(self.now_ms + after_ms, event);
    }

    fn schedule_at(&mut self, at_ms: f64, event: Event) {
        self.order += 1;
        let at_us = (at_ms * 1e3) as u64;
        self.queue.push(Reverse((at_us, self.order, self.events.len())));
        self.events.push(event);
    }

    pub(super) fn clock_ms(&self) -> u64 {
        (START_MS + self.now_ms) as u64
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Look(call, tries) => self.look(call, tries),
            Event::Reach(attempt) => self.reach(attempt),
            Event::PassEnd(target, life) => self.pass_end(target, life),
            Event::Deliver { attempt, is_last } => {
                self.deliver(attempt, is_last);
            }
            Event::Fail(attempt, outcome) => self.fail(attempt, outcome),
            Event::Report(target) => self.report(target),
            Event::Reported { host, target, report } => {
                let now_ms = self.clock_ms();
                let targets = &mut self.hosts[host].gateway.targets;
                targets.note_report(now_ms, address(target), report);
            }
            Event::Heartbeats(host) => self.heartbeats(host),
            Event::Digest(centre) => self.digest(centre),
            Event::Told { host, target, at_ms, report } => {
                let targets = &mut self.hosts[host].gateway.targets;
                targets.note_relayed_report(at_ms, address(target), report);
            }
            Event::Drain(target) => {
                self.targets[target].is_accepting = false;
                self.tell(target, true);
            }
            Event::Cut(target) => self.cut(target),
            Event::Back(target) => {
                self.targets[target].is_accepting = true;
                self.targets[target].is_up = true;
                self.tell(target, true);
            }
            Event::Restore(restore) => self.restore(restore),
            Event::Relist(target) => self.relist(target),
            Event::Sweep => self.sweep(),
            Event::LeaveIfSilent { call, tries, events } => {
                self.leave(call, tries, events);
            }
        }
    }

    fn restore(&mut self, restore: StoreRestore) {
        self.era += 1;
        let at_ms = self.clock_ms();
        for host in &mut self.hosts {
            for place in 0..self.targets.len() {
                let targets = &mut host.gateway.targets;
                if let Some(target) = targets.get_mut(&target_id(place)) {
                    target.lapse = Some(Lapse { at_ms, is_from_peer: false });
                }
            }
        }
        let gap_ms = restore.again_most_ms / self.targets.len() as f64;
        for target in 0..self.targets.len() {
            let after_ms = gap_ms * (target + 1) as f64;
            self.schedule(after_ms, Event::Relist(target));
        }
        self.schedule(RELIST_TIMEOUT_MS as f64 + 1.0, Event::Sweep);
    }

    fn relist(&mut self, place: usize) {
        let stamp = Stamp::new(self.era, 1);
        for host in &mut self.hosts {
            let spec = spec(self.pattern, &self.targets[place], place, stamp);
            host.gateway.targets.put(spec);
        }
    }

    fn sweep(&mut self) {
        let now_ms = self.clock_ms();
        let store =
            StoreView { is_watcher: true, sees_store: true, recovered_ms: 0 };
        for host in &mut self.hosts {
            for place in 0..self.targets.len() {
                let id = target_id(place);
                let targets = &mut host.gateway.targets;
                let lapse = targets.get(&id).and_then(|t| t.lapse);
                if lapse.is_some_and(|lapse| lapse.is_over(now_ms, store)) {
                    targets.depart(now_ms, &id, Stamp::new(self.era, 0));
                }
            }
        }
    }

    fn arrive(&mut self, place: usize) {
        let centre = self.calls[place].asked.data_centre;
        let near: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].data_centre == centre)
            .collect();
        let host = match near.is_empty() {
            true => self.rng.random_range(0..self.hosts.len()),
            false => near[self.rng.random_range(0..near.len())],
        };
        let now_ms = self.clock_ms();
        let call = &mut self.calls[place];
        let route = &self.pattern.routes[call.asked.route];
        let gone_ms = self.now_ms - call.asked.at_ms;
        let left_ms = route.timeout_ms.saturating_sub(gone_ms as u64);
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
        let tries = call.tries;
        let silent_ms = SILENT_STREAM_MS.min(left_ms as f64);
        let silence = Event::LeaveIfSilent { call: place, tries, events: 0 };
        self.schedule(silent_ms, silence);
        self.look(place, tries);
    }

    fn look(&mut self, place: usize, tries: u32) {
        let now_ms = self.clock_ms();
        let call = &mut self.calls[place];
        let is_open = call.ending.is_none() && call.attempt.is_none();
        if !is_open || call.tries != tries {
            return;
        }
        let Some(admission) = call.admission.as_mut() else { return };
        let gateway = &mut self.hosts[call.host].gateway;
        let draw = self.rng.random();
        match gateway.next(now_ms, admission, call.since_ms, draw) {
            Next::Send(dispatch) => self.send(place, &dispatch),
            Next::Wait(ms) => {
                self.schedule(ms as f64, Event::Look(place, tries));
            }
            Next::Refuse(refusal) => {
                self.refused(place, refusal.retry_after_ms);
            }
        }
    }

    fn send(&mut self, place: usize, dispatch: &Dispatch) {
        let target = usize::from(dispatch.address.port()) - 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call: place,
            target,
            sent_ms: self.clock_ms(),
            is_over: false,
        });
        self.calls[place].attempt = Some(attempt);
        self.calls[place].urgency = dispatch.urgency;
        let way_ms = HANDLING_MS + self.way_ms(place, target);
        self.schedule(way_ms, Event::Reach(attempt));
    }

    fn way_ms(&self, call: usize, target: usize) -> f64 {
        let host = &self.hosts[self.calls[call].host];
        match host.data_centre == self.targets[target].data_centre {
            true => NEAR_MS,
            false => self.pattern.fleet.crossing_ms,
        }
    }

    /// A caller is refused: it comes back, if it does, when it was told to,
    /// after a third of what it has left at most.
    fn refused(&mut self, place: usize, retry_after_ms: Option<u64>) {
        let pattern = self.pattern;
        let call = &mut self.calls[place];
        call.admission = None;
        if call.events_got > 0 || call.retries_left == 0 {
            call.ending = Some(Ending::Refused { tries: call.tries });
            return;
        }
        call.retries_left -= 1;
        let timeout_ms = pattern.routes[call.asked.route].timeout_ms as f64;
        let gone_ms = self.now_ms - call.asked.at_ms;
        let most_ms = (timeout_ms - gone_ms).max(0.0) / 3.0;
        let told_ms = retry_after_ms.unwrap_or(0) as f64;
        let after_ms = match call.asked.is_repeater {
            true => 0.0,
            false => told_ms.min(most_ms),
        };
        let way_ms = 2.0 * pattern.fleet.caller_way_ms;
        self.schedule(after_ms + way_ms, Event::Arrive(place));
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { call, target, is_over, .. } = self.attempts[attempt];
        if is_over {
            return;
        }
        let call = &self.calls[call];
        let urgency = call.urgency;
        let got = call.events_got;
        let stride = f64::from(self.pattern.engine.stride);
        let work = Work {
            attempt,
            unread_tokens: call.asked.prompt_tokens + f64::from(got) * stride,
            events_left: call.asked.events.saturating_sub(got).max(1),
            urgency,
        };
        let host = &mut self.targets[target];
        if !host.is_up || !host.engine.take(work) {
            let back_ms = self.way_ms(self.attempts[attempt].call, target);
            self.schedule(back_ms, Event::Fail(attempt, Outcome::Refused));
            return;
        }
        self.begin_pass(target);
    }

    fn begin_pass(&mut self, target: usize) {
        let host = &mut self.targets[target];
        let life = host.life;
        if let Some(ms) = host.engine.begin() {
            self.schedule(ms, Event::PassEnd(target, life));
        }
    }

    fn pass_end(&mut self, target: usize, life: u32) {
        if self.targets[target].life != life {
            return;
        }
        for written in self.targets[target].engine.end() {
            let attempt = written.attempt;
            let way_ms = self.way_ms(self.attempts[attempt].call, target);
            let is_last = written.is_last;
            self.schedule(way_ms, Event::Deliver { attempt, is_last });
        }
        self.begin_pass(target);
    }

    fn deliver(&mut self, attempt: usize, is_last: bool) {
        let now_ms = self.clock_ms();
        let known = &mut self.attempts[attempt];
        if known.is_over {
            return;
        }
        let place = known.call;
        let call = &mut self.calls[place];
        let gateway = &mut self.hosts[call.host].gateway;
        if let Some(admission) = call.admission.as_mut() {
            let id = target_id(known.target);
            let took_ms = now_ms - known.sent_ms;
            gateway.note_begun(now_ms, admission, &id, took_ms);
        }
        let at_ms = self.now_ms + self.pattern.fleet.caller_way_ms;
        call.got_event(at_ms);
        let (tries, events) = (call.tries, call.events_got);
        if is_last {
            self.over(attempt, Outcome::Whole);
            self.calls[place].ending = Some(Ending::Whole);
        } else {
            let silence = Event::LeaveIfSilent { call: place, tries, events };
            self.schedule(SILENT_STREAM_MS, silence);
        }
    }

    /// Counts an attempt back at its entry host.
    fn over(&mut self, attempt: usize, outcome: Outcome) -> bool {
        let now_ms = self.clock_ms();
        let known = &mut self.attempts[attempt];
        known.is_over = true;
        let call = &mut self.calls[known.call];
        call.attempt = None;
        call.since_ms = now_ms;
        let gateway = &mut self.hosts[call.host].gateway;
        let Some(admission) = call.admission.as_mut() else { return false };
        let id = target_id(known.target);
        gateway.on_attempt_ended(now_ms, admission, &id, outcome)
    }

    fn fail(&mut self, attempt: usize, outcome: Outcome) {
        if self.attempts[attempt].is_over {
            return;
        }
        let place = self.attempts[attempt].call;
        let tries = self.calls[place].tries;
        if self.over(attempt, outcome) {
            self.calls[place].goes_on();
            self.look(place, tries);
        } else {
            self.calls[place].ending = Some(Ending::Cut);
        }
    }

    fn cut(&mut self, target: usize) {
        let host = &mut self.targets[target];
        host.is_up = false;
        host.is_accepting = false;
        host.life += 1;
        let spec = self.pattern.engine.clone();
        let engine = std::mem::replace(&mut host.engine, Engine::new(spec));
        self.tell(target, true);
        for attempt in { engine }.clear() {
            let way_ms = self.way_ms(self.attempts[attempt].call, target);
            self.schedule(way_ms, Event::Fail(attempt, Outcome::Broken));
        }
    }

    fn leave(&mut self, place: usize, tries: u32, events: u32) {
        let call = &self.calls[place];
        let is_silent = call.tries == tries && call.events_got == events;
        // One that waits to come back is no longer there to leave.
        let is_there = call.ending.is_none() && call.admission.is_some();
        if !is_silent || !is_there {
            return;
        }
        if let Some(attempt) = call.attempt {
            let target = self.attempts[attempt].target;
            self.targets[target].engine.withdraw(attempt);
            self.over(attempt, Outcome::Withdrawn);
        }
        let call = &mut self.calls[place];
        if let Some(admission) = call.admission.as_mut() {
            self.hosts[call.host].gateway.stop_waiting(admission);
        }
        call.ending = Some(Ending::CallerLeft);
    }
}

/// How long after the last arrival the model goes on, in seconds.
const LAST_S: f64 = 10.0;

impl Call {
    fn new(asked: Asked) -> Call {
        Call {
            retries_left: asked.retries,
            asked,
            tries: 0,
            host: 0,
            admission: None,
            since_ms: 0,
            urgency: 0,
            attempt: None,
            events_got: 0,
            first_event_ms: None,
            last_event_ms: 0.0,
            longest_pause_ms: 0.0,
            ending: None,
        }
    }

    /// Its stream broke off, and is to go on.
    fn goes_on(&mut self) {
        let last_ms = (START_MS + self.last_event_ms) as u64;
        let has_event = self.first_event_ms.is_some();
        if let Some(admission) = self.admission.as_mut() {
            admission.last_event_ms = has_event.then_some(last_ms);
        }
    }

    fn got_event(&mut self, at_ms: f64) {
        self.events_got += 1;
        if self.first_event_ms.is_some() {
            let pause_ms = at_ms - self.last_event_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_event_ms.get_or_insert(at_ms);
        self.last_event_ms = at_ms;
    }

    fn played(self, pattern: &Pattern) -> Played {
        let asked_ms = self.asked.at_ms - pattern.fleet.caller_way_ms;
        Played {
            first_event_ms: self.first_event_ms.map(|at| at - asked_ms),
            longest_pause_ms: self.longest_pause_ms,
            ending: self.ending.unwrap_or(Ending::CallerLeft),
            asked: self.asked,
        }
    }
}

/// The data centre of each thing, if `counts` stand in each.
fn centres(counts: &[usize]) -> impl Iterator<Item = usize> + '_ {
    counts
        .iter()
        .enumerate()
        .flat_map(|(centre, count)| std::iter::repeat_n(centre, *count))
}

pub(super) fn centre_name(place: usize) -> Name {
    Name::from(format!("dc-{place}"))
}

pub(super) fn target_id(place: usize) -> Name {
    Name::from(format!("target-{place:03}"))
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
        data_centre: centre_name(data_centre),
        retries: RetryBound { ratio: 0.2, extra: 100.0 },
        version_ms: 0,
    });
    gateway.set_routing(routing(pattern));
    for (place, target) in targets.iter().enumerate() {
        let stamp = Stamp::new(0, 1);
        gateway.targets.put(spec(pattern, target, place, stamp));
    }
    gateway
}

/// The entry of the target at a place.
fn spec(
    pattern: &Pattern,
    target: &TargetHost,
    place: usize,
    stamp: Stamp,
) -> TargetSpec {
    TargetSpec {
        id: target_id(place),
        service: Name::from(SERVICE),
        address: address(place),
        data_centre: centre_name(target.data_centre),
        slots: pattern.engine.slots as u32,
        is_draining: false,
        born_ms: None,
        serves_version: Some(VERSION),
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
        priority: 1,
        backends: vec![(Name::from(SERVICE), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: true,
    });
    let empty = Routing::new(1).with_service(service);
    routes.fold(empty, |routing, route| routing.with_route(route))
}
