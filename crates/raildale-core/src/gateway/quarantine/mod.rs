//! Quarantine of requests, and of parts of prompts, that crash the targets that
//! run them (queries of death).
//!
//! When a target ends, all requests that run there break off. Each of them, and
//! each part of its prompt that other requests may share, counts a loss of that
//! start; [`Suspect`] holds the losses of one fingerprint. Three losses make a
//! fingerprint a culprit, unless
//!
//! * a target has answered it since: a request that is answered crashes
//!   nothing;
//! * the losses coincide with the end of a large part of the service's
//!   targets, or all fall on one moment: a power or network failure (a cut)
//!   ends targets whatever they run. Losses at four such moments do make a
//!   culprit;
//! * they are explained by a stronger culprit, which was at the same starts:
//!   one that has more losses since its last answer.
//!
//! A request with a culprit in its prompt is not sent, whatever else it holds.
//! Sound requests have the other parts of that prompt as well. Their answers
//! clear these parts, also before the first loss ([`answered`]).
//!
//! Losses are sets that are merged by union until an answer clears them, so
//! that entry hosts can merge each other's losses in any order and from any
//! number of hosts.
//!
//! * [`suspect`]: the losses of one fingerprint.
//! * [`verdict`]: which suspects are culprits.
//! * [`answered`]: the parts of prompts that were answered lately.
//! * [`gossip`]: exchange of suspects between entry hosts.
//! * [`record`]: culprits in the platform's store.

pub mod answered;
pub mod gossip;
pub mod record;
pub mod suspect;
pub mod verdict;

use std::collections::{BTreeSet, HashMap, VecDeque};

use self::{
    answered::AnsweredParts,
    verdict::{Certainty, Suspects},
};
use super::{
    fingerprint::{Fingerprint, Fingerprints},
    target_end::StartId,
};

pub use self::{record::Record, suspect::Suspect};

/// The number of losses from which an entry host has at most one attempt of a
/// request in flight, whose outcome decides.
const GUARDED_LOSSES: usize = 2;

/// The share of a service's targets that end within [`TOGETHER_MS`] of one
/// another in a cut. Culprits can't end as many again and again, because a
/// target takes seconds to return.
const CUT_SHARE: f64 = 0.3;

/// The minimum number of targets that end together in a cut.
const MIN_CUT_ENDS: f64 = 3.0;

/// The time after the last loss from which a culprit that is not certain is
/// tried again, in milliseconds. A target that ended is listed as another
/// start by then.
const TRIAL_PAUSE_MS: u64 = 3_000;

/// The same for a culprit whose losses another one explains as well, in
/// milliseconds: one of them holds up sound requests.
const RIVAL_TRIAL_PAUSE_MS: u64 = BROKEN_IN_FLIGHT_MS;

/// The time after the last loss from which a certain culprit is tried again,
/// in milliseconds. Its targets may run other software by then; if not, one
/// target is lost every 15 minutes.
const QUARANTINE_MS: u64 = 15 * 60 * 1_000;

/// The maximum time between the ends of targets that ended together, in
/// milliseconds. Agents check them every 100 ms, and reports take a while.
const TOGETHER_MS: u64 = 200;

/// How long a broken attempt waits for evidence that its target has ended, in
/// milliseconds. Without an agent, that evidence is the list of targets, after
/// three missed heartbeats and a start.
const EVIDENCE_TIMEOUT_MS: u64 = 10_000;

/// How long a broken attempt still counts as in flight, in milliseconds.
/// Evidence from an agent in another data centre arrives within that time.
const BROKEN_IN_FLIGHT_MS: u64 = 500;

/// How long an end is remembered, in milliseconds: longer than any evidence of
/// it takes.
const END_RETENTION_MS: u64 = 60_000;

/// How long a suspect is remembered after its last loss, in milliseconds:
/// twice the duration of a quarantine, so that a trial finds its losses.
const SUSPECT_RETENTION_MS: u64 = 2 * QUARANTINE_MS;

/// How long an answer that cleared a suspect is sent to other entry hosts, in
/// milliseconds: many heartbeats, and digests after them.
const CLEARED_RETENTION_MS: u64 = 10_000;

/// The maximum number of suspects, which take about 200 KB.
const MAX_SUSPECTS: usize = 1_024;

/// The maximum number of fingerprints of broken attempts that wait for
/// evidence, and of ends that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// It may be sent.
    Allowed,
    /// It must wait until an earlier attempt ends, whose outcome decides.
    Pending,
    /// It must not be sent; trying again is pointless for this many
    /// milliseconds.
    Denied(u64),
}

/// A change of a fingerprint's status as a culprit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CulpritChange {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it is a culprit now.
    pub is_culprit: bool,
    /// The number of starts that it has lost.
    pub losses: usize,
}

/// A start that ended.
#[derive(Clone, Copy, Debug)]
struct End {
    start: StartId,
    at_ms: u64,
    /// The number of targets of its service.
    target_count: u32,
}

/// An attempt that broke off, without evidence yet that its target has ended.
#[derive(Clone, Copy, Debug)]
struct Broken {
    fingerprint: Fingerprint,
    start: StartId,
    at_ms: u64,
}

/// What an entry host knows of requests that crash their targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Suspects,
    culprits: BTreeSet<Fingerprint>,
    answered_parts: AnsweredParts,
    broken: VecDeque<Broken>,
    ends: VecDeque<End>,
    in_flight: HashMap<Fingerprint, u32>,
    changes: Vec<CulpritChange>,
    /// Whether a loss is to be sent to other entry hosts at once.
    is_urgent: bool,
    /// The index of this entry host among those that are alive, and their
    /// number.
    place: (usize, usize),
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Quarantine {
        Quarantine { place: (0, 1), ..Quarantine::default() }
    }

    /// Sets the index of this entry host among the `count` that are alive, in
    /// an order that is the same on all of them.
    pub fn set_place(&mut self, own: usize, count: usize) {
        self.place = (own, count.max(1));
    }

    /// Returns whether this entry host is the one that tries a fingerprint
    /// again and writes its record.
    pub fn is_owner(&self, fingerprint: Fingerprint) -> bool {
        let (own, count) = self.place;
        fingerprint.request % count as u64 == own as u64
    }

    /// Returns whether a request may be sent now, given its own fingerprint and
    /// those of its parts. A request with two culprits is not sent as a trial:
    /// its outcome would not show which of them crashes targets.
    pub fn request_permission(
        &self,
        now_ms: u64,
        fingerprints: &Fingerprints,
    ) -> Permission {
        let is_culprit = |one: &Fingerprint| self.culprits.contains(one);
        if fingerprints.iter().filter(is_culprit).count() > 1 {
            return Permission::Denied(TRIAL_PAUSE_MS);
        }
        let each = fingerprints.iter();
        let permissions = each.map(|one| self.permission(now_ms, one));
        permissions.max().unwrap_or(Permission::Allowed)
    }

    /// Returns whether a part of a request's prompt is quarantined.
    pub fn has_culprit_part(&self, fingerprints: &Fingerprints) -> bool {
        fingerprints.parts.iter().any(|part| self.culprits.contains(part))
    }

    /// Returns whether requests with a fingerprint may be sent now.
    pub fn permission(
        &self,
        now_ms: u64,
        fingerprint: Fingerprint,
    ) -> Permission {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Permission::Allowed;
        };
        if self.culprits.contains(&fingerprint) {
            return self.culprit_permission(now_ms, fingerprint, suspect);
        }
        let is_guarded = self.is_guarded(fingerprint, suspect);
        match is_guarded && self.is_in_flight(now_ms, fingerprint) {
            true => Permission::Pending,
            false => Permission::Allowed,
        }
    }

    /// Returns whether a culprit may be tried again now.
    fn culprit_permission(
        &self,
        now_ms: u64,
        fingerprint: Fingerprint,
        suspect: &Suspect,
    ) -> Permission {
        let losses = self.unexplained(fingerprint, suspect);
        let certainty = verdict::certainty(
            &self.suspects,
            &self.culprits,
            fingerprint,
            &losses,
        );
        let pause_ms = match certainty {
            Certainty::Certain => QUARANTINE_MS,
            Certainty::Uncertain => TRIAL_PAUSE_MS,
            Certainty::OneOfSeveral => RIVAL_TRIAL_PAUSE_MS,
        };
        let due_ms = suspect.last_ms() + pause_ms;
        if now_ms < due_ms {
            return Permission::Denied(due_ms - now_ms);
        }
        let may_try = self.is_owner(fingerprint)
            && !self.is_in_flight(now_ms, fingerprint)
            && !self.has_open_trial(now_ms, fingerprint);
        match may_try {
            true => Permission::Allowed,
            false => Permission::Denied(TRIAL_PAUSE_MS),
        }
    }

    /// Returns whether only one request with the fingerprint is sent at a time.
    /// Parts that were answered lately are not held up.
    fn is_guarded(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let is_answered_part =
            fingerprint.is_part() && suspect.was_answered_lately();
        !is_answered_part
            && suspect.losses().len() >= GUARDED_LOSSES
            && self.unexplained(fingerprint, suspect).len() >= GUARDED_LOSSES
    }

    /// Returns whether an attempt with the fingerprint is in flight or has
    /// just broken off.
    fn is_in_flight(&self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        self.in_flight.contains_key(&fingerprint)
            || self.has_broken(now_ms, fingerprint, BROKEN_IN_FLIGHT_MS)
    }

    /// Returns whether an attempt with the fingerprint has broken off here
    /// lately, and may still turn out to have crashed its target.
    fn has_open_trial(&self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let is_open = |broken: &Broken| {
            let is_known = self.ends.iter().any(|e| e.start == broken.start);
            broken.fingerprint == fingerprint && !is_known
        };
        let recent = self.broken.iter().rev();
        let mut recent =
            recent.take_while(|b| now_ms < b.at_ms + TRIAL_PAUSE_MS);
        recent.any(is_open)
    }

    /// Returns whether an attempt with the fingerprint has broken off here
    /// within `span_ms`.
    fn has_broken(
        &self,
        now_ms: u64,
        fingerprint: Fingerprint,
        span_ms: u64,
    ) -> bool {
        let recent = self.broken.iter().rev();
        let mut recent = recent.take_while(|b| now_ms < b.at_ms + span_ms);
        recent.any(|broken| broken.fingerprint == fingerprint)
    }

    /// Records that an attempt was sent to a target.
    pub fn record_sent(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Records that an attempt has ended with any outcome.
    pub fn record_attempt_ended(&mut self, fingerprint: Fingerprint) {
        let Some(count) = self.in_flight.get_mut(&fingerprint) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(&fingerprint);
        }
    }

    /// Records that an attempt broke off at a start of a target.
    pub fn record_broken(
        &mut self,
        now_ms: u64,
        fingerprint: Fingerprint,
        start: StartId,
    ) {
        let at_ms = now_ms;
        self.broken.push_back(Broken { fingerprint, start, at_ms });
        let known = self.ends.iter().find(|end| end.start == start);
        if let Some(end) = known.copied() {
            self.add_loss(fingerprint, end);
            self.enforce_limit(now_ms);
            self.update_culprits();
        }
        drop_old(&mut self.broken, now_ms, EVIDENCE_TIMEOUT_MS, |b| b.at_ms);
    }

    /// Records evidence, observed at `at_ms`, that a start has ended, one of
    /// `target_count` targets of its service. The start ended when the first
    /// attempt broke off there, if one did.
    pub fn record_start_ended(
        &mut self,
        now_ms: u64,
        start: StartId,
        at_ms: u64,
        target_count: u32,
    ) {
        if self.ends.iter().any(|end| end.start == start) {
            return;
        }
        drop_old(&mut self.broken, now_ms, EVIDENCE_TIMEOUT_MS, |b| b.at_ms);
        drop_old(&mut self.ends, now_ms, END_RETENTION_MS, |end| end.at_ms);
        let (lost, broke_ms): (Vec<Fingerprint>, Vec<u64>) = self
            .broken
            .iter()
            .filter(|broken| broken.start == start)
            .map(|broken| (broken.fingerprint, broken.at_ms))
            .unzip();
        let at_ms = broke_ms.into_iter().min().unwrap_or(at_ms);
        let end = End { start, at_ms, target_count };
        self.ends.push_back(end);
        self.mark_cut(end);
        for fingerprint in lost {
            self.add_loss(fingerprint, end);
        }
        self.enforce_limit(now_ms);
        self.update_culprits();
    }

    /// Records that nothing listens at the address of a start, one of
    /// `target_count` targets of its service. The start has ended if an
    /// attempt broke off there shortly before; otherwise, it may not be up
    /// yet.
    pub fn record_refused_connection(
        &mut self,
        now_ms: u64,
        start: StartId,
        target_count: u32,
    ) {
        if self.broken.iter().any(|broken| broken.start == start) {
            self.record_start_ended(now_ms, start, now_ms, target_count);
        }
    }

    /// Records that a target answered a request completely and successfully.
    /// The target is alive, so the request doesn't crash targets.
    pub fn record_answered(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.broken.retain(|broken| broken.fingerprint != fingerprint);
        if fingerprint.is_part() {
            self.answered_parts.record(now_ms, fingerprint);
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if !suspect.losses().is_empty() && suspect.clear(now_ms) {
            self.update_culprits();
        }
    }

    /// Lifts a quarantine whose record was deleted.
    pub fn lift(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.record_answered(now_ms, fingerprint);
    }

    /// Returns the changes of culprits since the last call.
    pub fn take_changes(&mut self) -> Vec<CulpritChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether a loss has been found since the last call that other
    /// entry hosts should hear of at once: each of them may have an attempt of
    /// the request.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Returns whether a target has answered a fingerprint since its last
    /// loss.
    pub fn is_answered(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .is_some_and(|s| s.cleared_ms().is_some() && s.losses().is_empty())
    }

    /// Returns the largest number of losses of any suspect, for the metrics.
    pub fn max_losses(&self) -> usize {
        let losses = self.suspects.values().map(|s| s.losses().len());
        losses.max().unwrap_or(0)
    }

    /// Returns the number of requests that are quarantined now, for the
    /// metrics.
    pub fn culprit_count(&self) -> usize {
        self.culprits.len() - self.culprit_part_count()
    }

    /// Returns the number of parts of prompts that are quarantined now, for
    /// the metrics.
    pub fn culprit_part_count(&self) -> usize {
        self.culprits.iter().filter(|culprit| culprit.is_part()).count()
    }

    /// Removes suspects that are too old.
    pub fn sweep(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| !suspect.is_over(now_ms));
        self.update_culprits();
    }

    fn add_loss(&mut self, fingerprint: Fingerprint, end: End) {
        let is_cut = self.is_cut(end);
        let suspect = self.suspect_mut(fingerprint);
        let has_changed = suspect.add_loss(end.start, end.at_ms, is_cut);
        self.is_urgent |= has_changed && !is_cut;
    }

    /// Returns a suspect, cleared by the last answer that is known.
    fn suspect_mut(&mut self, fingerprint: Fingerprint) -> &mut Suspect {
        let answered_ms = self.answered_parts.last_ms(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        if let Some(answered_ms) = answered_ms {
            suspect.clear(answered_ms);
        }
        suspect
    }

    /// Returns whether a start ended together with a large part of its
    /// service's targets.
    fn is_cut(&self, end: End) -> bool {
        let is_near =
            |other: &&End| other.at_ms.abs_diff(end.at_ms) <= TOGETHER_MS;
        let together = self.ends.iter().filter(is_near).count() as f64;
        together >= (f64::from(end.target_count) * CUT_SHARE).max(MIN_CUT_ENDS)
    }

    /// Marks the losses at about the time of an end as lost in a cut, if that
    /// end makes it one.
    fn mark_cut(&mut self, end: End) {
        if !self.is_cut(end) {
            return;
        }
        for suspect in self.suspects.values_mut() {
            suspect.mark_cut(end.at_ms);
        }
    }

    /// Returns the losses of a suspect that no stronger culprit explains.
    fn unexplained(
        &self,
        fingerprint: Fingerprint,
        suspect: &Suspect,
    ) -> Vec<suspect::Loss> {
        verdict::unexplained(
            &self.suspects,
            &self.culprits,
            fingerprint,
            suspect,
        )
    }

    /// Recomputes the set of culprits and records the changes.
    fn update_culprits(&mut self) {
        let now = verdict::culprits(&self.suspects);
        for fingerprint in now.symmetric_difference(&self.culprits) {
            let suspect = self.suspects.get(fingerprint);
            self.changes.push(CulpritChange {
                fingerprint: *fingerprint,
                is_culprit: now.contains(fingerprint),
                losses: suspect.map_or(0, |s| s.losses().len()),
            });
        }
        self.culprits = now;
    }

    /// Drops suspects beyond the maximum number.
    fn enforce_limit(&mut self, now_ms: u64) {
        if self.suspects.len() > MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| !suspect.is_over(now_ms));
        }
        while self.suspects.len() > MAX_SUSPECTS {
            self.drop_suspect();
        }
    }

    /// Drops one suspect: of the caller with the most suspects, the one with
    /// the fewest losses, so that no caller displaces another's suspects.
    fn drop_suspect(&mut self) {
        let mut counts: HashMap<u32, usize> = HashMap::new();
        for fingerprint in self.suspects.keys() {
            *counts.entry(fingerprint.caller).or_default() += 1;
        }
        let busiest_caller =
            counts.into_iter().max_by_key(|(_, count)| *count);
        let dropped = self
            .suspects
            .iter()
            .filter(|(f, _)| {
                busiest_caller.is_some_and(|(c, _)| c == f.caller)
            })
            .min_by_key(|(_, s)| (s.losses().len(), s.last_ms()))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(dropped) = dropped {
            self.suspects.remove(&dropped);
        }
    }
}

/// Removes entries older than `max_age_ms`, and the oldest ones beyond the
/// maximum number.
fn drop_old<T>(
    entries: &mut VecDeque<T>,
    now_ms: u64,
    max_age_ms: u64,
    at_ms: impl Fn(&T) -> u64,
) {
    while entries.len() >= MAX_REMEMBERED
        || entries
            .front()
            .is_some_and(|first| now_ms > at_ms(first) + max_age_ms)
    {
        entries.pop_front();
    }
}
