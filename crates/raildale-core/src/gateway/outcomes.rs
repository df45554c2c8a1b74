//! What follows from how a request went at a target.

use super::{
    admission::Gateway,
    fingerprint::Fingerprint,
    request::{Admission, Refusal, refusal},
    target::Outcome,
};
use crate::Code;

/// What has not begun at an older version this long before its bound is
/// withdrawn.
const WITHDRAW_MARGIN_MS: u64 = 700;

/// Silence after which a target whose agent is silent too, or says that it
/// is down, is given up, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 250;

/// Silence within a stream after which its target is given up whatever its
/// agent says, in milliseconds: callers leave after two seconds at least.
const STREAM_PATIENCE_MS: u64 = 1_000;

/// Goals that a repeatable request waits for a target without an agent.
const GOALS_OF_PATIENCE: u64 = 3;

/// Why another target is asked for a request that one is silent about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// The list of targets does not name it.
    Unlisted,
    /// Its agent is silent as well.
    Agent,
    /// Its agent says that it is down.
    Down,
    /// Nothing has come for longer than such a request waits.
    TooLong,
}

impl Gateway {
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
        self.suspect(now_ms, request, outcome);
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

    /// Takes in what an attempt's end tells of whether the request ends the
    /// targets that run it.
    fn suspect(&mut self, now_ms: u64, request: &Admission, outcome: Outcome) {
        let Some(fingerprint) = request.fingerprint else { return };
        self.quarantine.note_over(fingerprint);
        let Some(start) = request.sent_to else { return };
        match outcome {
            Outcome::Broken => {
                self.quarantine.note_broken(now_ms, fingerprint, start);
            }
            Outcome::NobodyThere => {
                let of = self.targets.count(&request.service.name);
                self.quarantine.note_nobody(now_ms, start, of);
            }
            Outcome::Whole
            | Outcome::Refused
            | Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::Withdrawn => {}
        }
    }

    /// Takes in that a target answered a request whole and with success.
    pub fn note_answered(&mut self, now_ms: u64, request: &Admission) {
        if let Some(fingerprint) = request.fingerprint {
            self.quarantine.note_answered(now_ms, fingerprint);
        }
    }

    /// Takes back an attempt whose caller has left.
    pub fn withdraw(
        &mut self,
        now_ms: u64,
        target: &str,
        has_begun: bool,
        fingerprint: Fingerprint,
    ) {
        let outcome = Outcome::Withdrawn;
        self.targets.note_ended(now_ms, target, outcome, has_begun);
        self.quarantine.note_over(fingerprint);
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

    /// Why another target is asked for a request that one has been silent
    /// about for `silent_ms`; `None` if none is.
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
        if !may_move || silent_ms < SUSPECT_AFTER_MS {
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
        let patience_ms = match (has_begun, report.is_some()) {
            // A stream that has begun is not given up for nothing: what is
            // on its way may only be delayed.
            (true, _) if silent_ms < STREAM_PATIENCE_MS => u64::MAX,
            (true, _) if self.has_room_elsewhere(now_ms, request) => 0,
            (true, _) => u64::MAX,
            (false, true) => u64::MAX,
            (false, false) => request.route.goal_ms * GOALS_OF_PATIENCE,
        };
        (silent_ms >= patience_ms).then_some(Silence::TooLong)
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
}
