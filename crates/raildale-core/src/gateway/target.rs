//! Load and health of one target, as known to an entry host.

use std::net::SocketAddr;

use super::{
    cold::ColdTime,
    decaying_sum::DecayingSum,
    lapse::Lapse,
    target_end::{EndSign, StartId, TargetEnd},
};
use crate::{Name, catalog::Stamp};

/// A target's entry in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target's name, under which it may start again.
    pub id: Name,
    /// When it started, in Unix milliseconds, if known. It distinguishes
    /// starts with the same name.
    pub born_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Name,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The data centre of the target.
    pub data_centre: Name,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub is_draining: bool,
    /// The version whose weights it serves completely; `None` if the entry
    /// names none.
    pub serves_version: Option<u64>,
    /// Milliseconds for which it stays cold, from when the entry was written.
    pub cold_ms: u64,
    /// The last change of the entry in the store.
    pub stamp: Stamp,
}

/// The maximum number of slots of a target: each request takes a connection,
/// and there are as many ports.
const MAX_SLOTS: u32 = 65_536;

impl TargetSpec {
    /// Returns whether a target can be as its entry says. Others than targets
    /// write entries too.
    pub fn is_valid(&self) -> bool {
        let ip = self.address.ip();
        self.address.port() > 0
            && !ip.is_unspecified()
            && !ip.is_multicast()
            && (1..=MAX_SLOTS).contains(&self.slots)
    }
}

/// A report on a target by the agent beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Whether the target answers its agent.
    pub is_up: bool,
    /// Whether new requests are accepted: false shortly before a swap of
    /// weights.
    pub is_accepting: bool,
    /// The version that it serves completely; 0 if none.
    pub serves_version: u64,
    /// The newest version of which the agent holds every chunk; 0 if none.
    pub whole_version: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that are queued in the target.
    pub queued: u32,
    /// The target's slowdown relative to its published speed: 1 is full speed,
    /// more is slower.
    pub pace: f64,
    /// The number of chunks that are missing before it can load the wanted
    /// version.
    pub missing_chunks: u32,
    /// Round-trip time to its machine in milliseconds, including queues.
    pub round_trip_ms: u64,
    /// Milliseconds until the next regular report.
    pub every_ms: u32,
}

/// The entry hosts that compete for a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Competitors {
    /// The number of entry hosts, this one included.
    pub count: usize,
    /// The index of this entry host in their common order.
    pub own_index: usize,
}

/// How an attempt ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with any status.
    Whole,
    /// Refused by the target without running.
    Refused,
    /// Refused because another target, or another start of the target, has the
    /// address.
    Misdirected,
    /// Not sent: no connection.
    Unreachable,
    /// Not sent: nothing listens at the address.
    NobodyThere,
    /// The answer broke off, was malformed or never came.
    Broken,
    /// The caller left, or the entry host withdrew the request.
    Withdrawn,
}

/// A target with its known load and health.
#[derive(Clone, Debug)]
pub struct Target {
    /// The target's entry in the list.
    pub spec: TargetSpec,
    /// The start that the entry describes.
    pub start: StartId,
    /// The number of requests that this process has in flight there.
    pub in_flight: u32,
    /// The number of those that have not begun. Their prompts are read first.
    pub not_begun: u32,
    /// The number of slots that this entry host owns there.
    pub own_slots: u32,
    /// When its agent was last sent a briefing; 0 if it was sent none.
    pub briefed_ms: u64,
    /// The last report, when it was made, and `in_flight` at that time.
    report: Option<(u64, TargetReport, u32)>,
    /// Whether the last report came from the agent itself rather than a
    /// digest.
    is_direct: bool,
    /// Lottery number of the last report, from 0 to 1, equal on all entry
    /// hosts that receive the report. It decides which of them may use the
    /// free slots.
    lottery_number: f64,
    failures: FailureRate,
    misdirected_ms: Option<u64>,
    /// When nothing listened at its address, unless its agent has since
    /// reported it up.
    nobody_there_ms: Option<u64>,
    was_agent_up: bool,
    /// Since when the number of missing chunks has been the same.
    missing_since_ms: u64,
    /// The longest recent round-trip time and when it was measured.
    worst_round_trip: (u64, u64),
    /// For how long it is cold.
    pub cold: ColdTime,
    /// Set while the entry is missing from the list because of a store outage.
    pub lapse: Option<Lapse>,
}

/// The age, in milliseconds, from which a report is not used as a measure of
/// load.
const REPORT_FRESH_MS: u64 = 1_500;

/// Silence of an agent, in milliseconds, that makes its target suspect. Agents
/// report several times a second.
const REPORT_SILENT_MS: u64 = 900;

/// How long a target is excluded after its address turned out to belong to
/// another start, in milliseconds. Its entry lags behind by about as much.
const MISDIRECTED_EXCLUSION_MS: u64 = 1_500;

/// How long a target is excluded after nothing listened at its address, in
/// milliseconds, unless its agent reports it up sooner. Agents report within
/// 300 ms that it is down. Without the exclusion, 12 to 36 requests went to
/// each of some targets that had just ended, and cost an attempt each.
const NOBODY_THERE_EXCLUSION_MS: u64 = 400;

/// How much later than announced a report must be to count as overdue, in
/// milliseconds. Datagrams are lost at times, and wait in queues.
const REPORT_LATE_MS: u64 = 150;

/// The maximum delay that is assumed, in milliseconds: without it, a target
/// whose agent has ended would seem ever more distant.
const MAX_DELAY_MS: u64 = 3_000;

/// The time that each request at a target adds to the next one's wait for its
/// first event, in milliseconds: its share of a step, and the reading of
/// prompts in between.
const CROWDING_MS: f64 = 5.0;

/// The usual time of an answer, in milliseconds, which divided by the number
/// of slots is the time until a full target has a free one. About 1.1 s on the
/// engines that it was measured on.
const USUAL_RUN_MS: f64 = 1_100.0;

/// The round-trip time from which the path to a target is slow, in
/// milliseconds. Five times the longest between data centres allows for lost
/// reports.
const SLOW_ROUND_TRIP_MS: u64 = 250;

/// How long the longest round-trip time is remembered, in milliseconds. On a
/// congested link, the queue grows and drains with each chunk.
const WORST_ROUND_TRIP_MEMORY_MS: u64 = 3_000;

/// The time that a missing chunk takes while all targets are filled at once,
/// in milliseconds: 48 chunks take about 3 s.
const MISSING_CHUNK_MS: u64 = 65;

/// The time without a new chunk after which a fill is stalled, in
/// milliseconds. A chunk takes 42 ms on a usual link, and 330 ms on one
/// limited to 1.2 Mbit/s.
const FILL_STALLED_MS: u64 = 1_000;

/// The time from the last chunk until a target serves, in milliseconds.
const WEIGHTS_LOAD_MS: u64 = 450;

/// The number of requests beyond a target's slots that doesn't keep an entry
/// host from its own slots there: requests that have just ended are still in
/// the last report.
const OWN_SLOT_SLACK: f64 = 1.0;

/// The part of its own slots for which an entry host may have prompts read at
/// a target at the same time. With all 16 slots of a target that had returned,
/// the last first event took 0.5 s.
const PREFILL_SHARE: f64 = 0.4;

/// The fractional part of the golden ratio. Its multiples spread lottery
/// numbers evenly over the entry hosts for one report, and over the reports
/// for one host.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The cost of a certain failure, as milliseconds of wait.
const FAILURE_COST_MS: f64 = 2_500.0;

impl Target {
    /// Creates a target of which only the list entry is known.
    pub fn new(spec: TargetSpec) -> Target {
        Target {
            start: StartId::of(&spec),
            spec,
            in_flight: 0,
            not_begun: 0,
            own_slots: 0,
            briefed_ms: 0,
            report: None,
            is_direct: false,
            lottery_number: 0.0,
            failures: FailureRate::new(),
            misdirected_ms: None,
            nobody_there_ms: None,
            was_agent_up: false,
            missing_since_ms: 0,
            worst_round_trip: (0, 0),
            cold: ColdTime::default(),
            lapse: None,
        }
    }

    /// Handles a report from the agent. Returns whether the target has stopped
    /// answering since the previous report.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        report: TargetReport,
    ) -> bool {
        let was_up = self.report.as_ref().is_some_and(|(_, r, _)| r.is_up);
        if report.is_up {
            self.nobody_there_ms = None;
        }
        let is_over =
            now_ms >= self.worst_round_trip.1 + WORST_ROUND_TRIP_MEMORY_MS;
        if is_over || report.round_trip_ms >= self.worst_round_trip.0 {
            self.worst_round_trip = (report.round_trip_ms, now_ms);
        }
        let missing = self.report.as_ref().map(|(_, r, _)| r.missing_chunks);
        if missing != Some(report.missing_chunks) {
            self.missing_since_ms = now_ms;
        }
        self.report = Some((now_ms, report, self.in_flight));
        self.is_direct = true;
        self.lottery_number = (now_ms as f64 * GOLDEN_RATIO_FRACTION).fract();
        was_up && !report.is_up
    }

    /// Handles an agent's report of `at_ms` that came in a digest; it is
    /// ignored unless it is newer than the last one. Returns whether the
    /// target has stopped answering since the previous report.
    pub fn record_relayed_report(
        &mut self,
        at_ms: u64,
        report: TargetReport,
    ) -> bool {
        let known = self.report.as_ref();
        if known.is_some_and(|(known_ms, ..)| *known_ms >= at_ms) {
            return false;
        }
        let has_ended = self.record_report(at_ms, report);
        self.is_direct = false;
        has_ended
    }

    /// Returns the end of its start, for which `sign` is the evidence,
    /// observed at `at_ms` if known.
    pub fn end(&self, at_ms: Option<u64>, sign: EndSign) -> TargetEnd {
        TargetEnd {
            at_ms,
            target: self.spec.id.clone(),
            service: self.spec.service.clone(),
            start: self.start,
            sign,
            in_flight: self.in_flight,
        }
    }

    /// Returns the last report and its age in milliseconds, if it came from
    /// the agent itself and is fresh.
    pub fn direct_report(&self, now_ms: u64) -> Option<(&TargetReport, u64)> {
        let (at_ms, report, _) = self.report.as_ref()?;
        let age_ms = now_ms.saturating_sub(*at_ms);
        let is_fresh = age_ms < REPORT_FRESH_MS && self.is_direct;
        is_fresh.then_some((report, age_ms))
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now_ms: u64, outcome: Outcome) {
        match outcome {
            Outcome::Whole => self.failures.add(now_ms, 0.0),
            Outcome::Misdirected => self.misdirected_ms = Some(now_ms),
            Outcome::Refused => self.failures.add(now_ms, 0.6),
            Outcome::NobodyThere => {
                self.nobody_there_ms = Some(now_ms);
                self.failures.add(now_ms, 1.0);
            }
            Outcome::Unreachable | Outcome::Broken => {
                self.failures.add(now_ms, 1.0)
            }
            Outcome::Withdrawn => {}
        }
    }

    /// Returns whether its agent is up, if that changed since the last call.
    pub fn agent_change(&mut self, now_ms: u64) -> Option<bool> {
        let is_up = self.report.is_some() && !self.is_silent(now_ms);
        let has_changed = is_up != self.was_agent_up;
        self.was_agent_up = is_up;
        has_changed.then_some(is_up)
    }

    /// Returns the last report if it is fresh enough to be used as a measure
    /// of load.
    pub fn report(&self, now_ms: u64) -> Option<&TargetReport> {
        let (at_ms, report, _) = self.report.as_ref()?;
        (now_ms.saturating_sub(*at_ms) < REPORT_FRESH_MS).then_some(report)
    }

    /// Returns whether its agent has reported before and is silent now.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.report.as_ref().is_some_and(|(at_ms, report, _)| {
            let every_ms = u64::from(report.every_ms);
            let silent_ms = REPORT_SILENT_MS.max(every_ms * 3 / 2);
            now_ms.saturating_sub(*at_ms) > silent_ms
        })
    }

    /// Returns the version that it serves completely; `None` if it has no
    /// weights or the service needs none.
    pub fn serves_version(&self, now_ms: u64) -> Option<u64> {
        match self.report(now_ms) {
            Some(report) => {
                (report.serves_version > 0).then_some(report.serves_version)
            }
            None => self.spec.serves_version,
        }
    }

    /// Returns whether new requests may be sent there at all.
    pub fn is_open(&self, now_ms: u64) -> bool {
        let is_accepting_requests = self
            .report(now_ms)
            .is_none_or(|report| report.is_up && report.is_accepting);
        let is_misdirected = self.misdirected_ms.is_some_and(|at_ms| {
            now_ms.saturating_sub(at_ms) < MISDIRECTED_EXCLUSION_MS
        });
        let is_nobody_there = self.nobody_there_ms.is_some_and(|at_ms| {
            now_ms.saturating_sub(at_ms) < NOBODY_THERE_EXCLUSION_MS
        });
        let is_reachable = !is_misdirected && !is_nobody_there;
        is_accepting_requests && !self.spec.is_draining && is_reachable
    }

    /// Returns the estimated number of requests there, of all entry hosts.
    ///
    /// What this process has sent since the last report counts `senders`
    /// times: other entry hosts have the same reports and make the same
    /// choices, and would otherwise all flood a target that looked idle before
    /// its next report.
    pub fn load(&self, now_ms: u64, senders: f64) -> f64 {
        let Some((at_ms, report, own_at_report)) = &self.report else {
            return f64::from(self.in_flight) * senders;
        };
        if now_ms.saturating_sub(*at_ms) >= REPORT_FRESH_MS {
            return f64::from(self.in_flight) * senders;
        }
        let all = f64::from(report.running + report.queued);
        let change = f64::from(self.in_flight) - f64::from(*own_at_report);
        let weight = if change > 0.0 { senders } else { 1.0 };
        (all + change * weight).max(f64::from(self.in_flight))
    }

    /// Returns the estimated milliseconds until it will serve; `None` if it
    /// serves already or nothing is known. A fill without progress, as during
    /// an outage of the origin, may take any time.
    pub fn ready_in_ms(&self, now_ms: u64) -> Option<u64> {
        let report = self.report(now_ms)?;
        let is_stalled = report.missing_chunks > 0
            && now_ms >= self.missing_since_ms + FILL_STALLED_MS;
        if is_stalled {
            return None;
        }
        let is_coming = report.is_up
            && (report.missing_chunks > 0 || !report.is_accepting);
        let missing = u64::from(report.missing_chunks);
        is_coming.then_some(missing * MISSING_CHUNK_MS + WEIGHTS_LOAD_MS)
    }

    /// Returns whether another prompt of this entry host may be read there. A
    /// target reads one after the other, so that the last of many that arrive
    /// at once is late however many slots are free.
    pub fn may_read_another(&self) -> bool {
        let max_unread = f64::from(self.own_slots) * PREFILL_SHARE;
        self.not_begun < (max_unread as u32).max(1)
    }

    /// Returns whether a request would begin there (almost) at once in a slot
    /// that this entry host owns.
    ///
    /// When all entry hosts relied on reports alone in an overload, 19 of 20
    /// late streams had waited in a target.
    pub fn has_own_room(&self, now_ms: u64) -> bool {
        let slots = f64::from(self.spec.slots);
        let has_own = self.in_flight < self.own_slots;
        has_own && self.load(now_ms, 1.0) < slots + OWN_SLOT_SLACK
    }

    /// Returns whether a request would begin there at once in any slot, given
    /// that the competing entry hosts leave `spare` slots unused.
    ///
    /// All competitors have the same report on a target, so that each report
    /// assigns its free slots by lottery to about as many entry hosts as slots
    /// are free. When each host sent to any target that looked free, 34 in 100
    /// requests were in time at the end of an overload of 45 targets and 41
    /// entry hosts; with the lottery it is 66.
    pub fn has_borrowable_room(
        &self,
        now_ms: u64,
        senders: f64,
        spare: f64,
        competitors: Competitors,
    ) -> bool {
        if self.report.is_none() {
            return true;
        }
        if self.report(now_ms).is_none() {
            // The agent is silent: each competitor keeps to its own slots.
            return false;
        }
        let slots = f64::from(self.spec.slots) + spare;
        let free = slots - self.load(now_ms, senders);
        let lottery_number = (self.lottery_number
            + competitors.own_index as f64 * GOLDEN_RATIO_FRACTION)
            .fract();
        free > lottery_number * competitors.count as f64
    }

    /// Returns whether the path to its machine is slow or its agent is silent.
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.worst_round_trip_ms(now_ms) > SLOW_ROUND_TRIP_MS
    }

    /// Returns whether the path to its machine is presumed slow: a recent
    /// report took a slow path or is overdue by as much. A report that is
    /// missing for longer than any path takes is a sign of a failed agent
    /// beside a healthy target.
    ///
    /// Silence is no sign of a fast path: a link that is congested during a
    /// fill may delay reports and requests alike for seconds. No benefit of
    /// counting silence as slow was measured.
    pub fn is_path_presumed_slow(&self, now_ms: u64) -> bool {
        let (worst_ms, at_ms) = self.worst_round_trip;
        let is_known = worst_ms > SLOW_ROUND_TRIP_MS
            && now_ms < at_ms + WORST_ROUND_TRIP_MEMORY_MS;
        let overdue_ms = self.overdue_ms(now_ms);
        is_known || (SLOW_ROUND_TRIP_MS..MAX_DELAY_MS).contains(&overdue_ms)
    }

    /// Returns the longest recent round-trip time to its machine in
    /// milliseconds.
    pub fn worst_round_trip_ms(&self, now_ms: u64) -> u64 {
        let (worst_ms, at_ms) = self.worst_round_trip;
        let is_over = now_ms >= at_ms + WORST_ROUND_TRIP_MEMORY_MS;
        let worst_ms = if is_over { 0 } else { worst_ms };
        worst_ms.max(self.round_trip_ms(now_ms))
    }

    /// Returns the last measured round-trip time to its machine in
    /// milliseconds. An overdue report counts as being in transit.
    pub fn round_trip_ms(&self, now_ms: u64) -> u64 {
        let Some((_, report, _)) = &self.report else { return 0 };
        let overdue_ms = self.overdue_ms(now_ms);
        report.round_trip_ms.max(overdue_ms).min(MAX_DELAY_MS)
    }

    /// Returns by how much the next report is overdue, in milliseconds.
    fn overdue_ms(&self, now_ms: u64) -> u64 {
        let Some((at_ms, report, _)) = &self.report else { return 0 };
        let age_ms = now_ms.saturating_sub(*at_ms);
        let due_ms = u64::from(report.every_ms) + REPORT_LATE_MS;
        age_ms.saturating_sub(due_ms)
    }

    /// Returns the time that a request is expected to lose there, in
    /// milliseconds, with the failure rate converted to time.
    pub fn cost_ms(&self, now_ms: u64, senders: f64) -> f64 {
        let load = self.load(now_ms, senders);
        let slots = f64::from(self.spec.slots.max(1));
        let pace =
            self.report(now_ms).map_or(1.0, |report| report.pace.max(0.1));
        let waiting = (load + 1.0 - slots).max(0.0) * USUAL_RUN_MS / slots;
        let crowding = load.min(slots) * CROWDING_MS;
        (waiting + crowding) * pace
            + self.round_trip_ms(now_ms) as f64
            + (pace - 1.0).max(0.0) * 100.0
            + self.failures.rate(now_ms) * FAILURE_COST_MS
    }
}

/// The exponentially decaying share of requests that failed.
#[derive(Clone, Copy, Debug)]
struct FailureRate(DecayingSum);

/// Half-life of an outcome's weight, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// The weight of the successes assumed in advance, so that a single failure
/// doesn't count as certain failure.
const PRIOR_SUCCESSES: f64 = 3.0;

impl FailureRate {
    fn new() -> FailureRate {
        FailureRate(DecayingSum::new(FAILURE_HALF_LIFE_MS))
    }

    fn add(&mut self, now_ms: u64, failed: f64) {
        self.0.add(now_ms, failed);
    }

    fn rate(&self, now_ms: u64) -> f64 {
        self.0.mean(now_ms, 0.0, PRIOR_SUCCESSES)
    }
}
