//! Handling of the outcome of attempts at targets.

use super::{
    admission::Gateway,
    fingerprint::Fingerprints,
    request::{Admission, Refusal, refusal},
    target::Outcome,
};
use crate::Code;

/// Silence, in milliseconds, after which the request is moved from a target
/// whose agent is silent too or reports it down.
const SILENCE_TIMEOUT_MS: u64 = 250;

/// Silence within a stream, in milliseconds, after which the stream is moved
/// whatever the target's agent reports. Callers leave after two seconds at the
/// earliest.
const STREAM_SILENCE_TIMEOUT_MS: u64 = 1_000;

/// The number of latency goals for which a repeatable request waits for a
/// target without an agent.
const SILENCE_TIMEOUT_GOALS: u64 = 3;

/// Why a request is moved to another target while one is silent about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// The target is not listed.
    Unlisted,
    /// The target's agent is silent as well.
    Agent,
    /// The target's agent reports that the target is down.
    Down,
    /// The target has been silent for longer than such a request waits.
    TooLong,
}

impl Gateway {
    /// Records that a request has begun at a target, `took_ms` after it was
    /// sent.
    pub fn record_begun(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        target: &str,
        took_ms: u64,
    ) {
        if std::mem::replace(&mut request.has_begun, true) {
            return;
        }
        self.targets.record_begun(target);
        // A resumed stream is left out: its target also has to read what was
        // already generated.
        if request.tried.len() == 1 {
            let service = &request.service.name;
            self.wait_queues.record_first_event(now_ms, service, took_ms);
        }
    }

    /// Handles the end of an attempt. Returns whether the request may be sent
    /// again.
    pub fn on_attempt_ended(
        &mut self,
        now_ms: u64,
        request: &mut Admission,
        target: &str,
        outcome: Outcome,
    ) -> bool {
        let has_begun = request.has_begun;
        self.targets.record_ended(now_ms, target, outcome, has_begun);
        self.update_quarantine(now_ms, request, outcome);
        match outcome {
            Outcome::Whole | Outcome::Withdrawn => false,
            Outcome::Refused
            | Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::NobodyThere => true,
            Outcome::Broken => {
                request.may_have_run = true;
                request.route.may_repeat()
            }
        }
    }

    /// Updates the quarantine's record of the request with an attempt's
    /// outcome.
    fn update_quarantine(
        &mut self,
        now_ms: u64,
        request: &Admission,
        outcome: Outcome,
    ) {
        let Some(fingerprints) = &request.fingerprints else { return };
        self.record_attempt_ended(fingerprints);
        let Some(start) = request.sent_to else { return };
        match outcome {
            Outcome::Broken => {
                for fingerprint in fingerprints.iter() {
                    self.quarantine.record_broken(now_ms, fingerprint, start);
                }
            }
            Outcome::NobodyThere => {
                let target_count = self.targets.count(&request.service.name);
                self.quarantine.record_refused_connection(
                    now_ms,
                    start,
                    target_count,
                );
            }
            Outcome::Whole
            | Outcome::Refused
            | Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::Withdrawn => {}
        }
    }

    /// Records that a target answered a request completely and successfully.
    pub fn record_answered(&mut self, now_ms: u64, request: &Admission) {
        if let Some(fingerprints) = &request.fingerprints {
            for fingerprint in fingerprints.iter() {
                self.quarantine.record_answered(now_ms, fingerprint);
            }
        }
    }

    fn record_attempt_ended(&mut self, fingerprints: &Fingerprints) {
        for fingerprint in fingerprints.iter() {
            self.quarantine.record_attempt_ended(fingerprint);
        }
    }

    /// Records that an attempt was withdrawn because its caller has left.
    pub fn withdraw(
        &mut self,
        now_ms: u64,
        target: &str,
        has_begun: bool,
        fingerprints: &Fingerprints,
    ) {
        let outcome = Outcome::Withdrawn;
        self.targets.record_ended(now_ms, target, outcome, has_begun);
        self.record_attempt_ended(fingerprints);
    }

    /// Returns why a request should be moved to another target after this one
    /// has been silent about it for `silent_ms`; `None` if it should stay.
    pub fn silence(
        &self,
        now_ms: u64,
        request: &Admission,
        target: &str,
        silent_ms: u64,
        has_begun: bool,
    ) -> Option<Silence> {
        let tries = request.tried.len() as u32;
        let may_move =
            request.route.may_repeat() && tries < request.route.max_attempts;
        if !may_move || silent_ms < SILENCE_TIMEOUT_MS {
            return None;
        }
        let Some(known) = self.targets.get(target) else {
            return Some(Silence::Unlisted);
        };
        if known.is_silent(now_ms) {
            return Some(Silence::Agent);
        }
        let report = known.report(now_ms);
        if report.is_some_and(|report| !report.is_up) {
            return Some(Silence::Down);
        }
        let timeout_ms = match (has_begun, report.is_some()) {
            // A stream that has begun is moved only if another target has
            // room: its events may only be delayed.
            (true, _) if silent_ms < STREAM_SILENCE_TIMEOUT_MS => u64::MAX,
            (true, _) if self.has_room_elsewhere(now_ms, request) => 0,
            (true, _) => u64::MAX,
            (false, true) => u64::MAX,
            (false, false) => request.route.goal_ms * SILENCE_TIMEOUT_GOALS,
        };
        (silent_ms >= timeout_ms).then_some(Silence::TooLong)
    }

    /// Returns the final refusal of a request that is not sent again.
    pub fn give_up(&self, request: &Admission, code: Code) -> Refusal {
        if request.may_have_run {
            return refusal(Code::Unknown);
        }
        match code {
            Code::DeadlinePassed => refusal(Code::DeadlineHopeless),
            other => refusal(other),
        }
    }
}
