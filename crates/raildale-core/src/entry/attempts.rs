//! Attempts: what agents answer, and what becomes of one that went wrong.

use super::{
    Effect, Entry, Final,
    requests::{dispatch_body, soon},
};
use crate::{
    Code, LogEvent, Name, Ran,
    message::{Ended, Piece},
    request::{
        admission::QueuedRequest,
        dispatch::{Answer, Stage},
        run_key::RunKey,
    },
};

/// Targets that one request is tried at.
const MAX_TRIES: usize = 4;

/// How long a request waits for its agent's connection to come back.
const REJOIN_MS: u64 = 1_000;

impl Entry {
    pub(super) fn piece(&mut self, piece: Piece, effects: &mut Vec<Effect>) {
        let Some(id) = self.attempts.get(&piece.attempt) else {
            return late(&piece.run_key, effects);
        };
        let id = *id;
        let request = self.requests.get_mut(&id).expect("it is listed");
        if request.run_key.as_deref() != Some(piece.run_key.as_str()) {
            return late(&piece.run_key, effects);
        }
        let new = request.answer.append(&piece);
        if request.submission.stream && !new.is_empty() {
            effects.push(Effect::Stream(id, new));
        }
    }

    pub(super) fn ended(
        &mut self,
        agent: &Name,
        ended: Ended,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.attempts.get(&ended.attempt).copied() else {
            return late(&ended.run_key, effects);
        };
        let request = &self.requests[&id];
        if request.run_key.as_deref() != Some(ended.run_key.as_str()) {
            return late(&ended.run_key, effects);
        }
        let code = Code::from_number(ended.code).unwrap_or(Code::Unknown);
        self.attempts.remove(&ended.attempt);
        self.observe(id, agent, code, now_ms, effects);
        match code {
            Code::Done => self.done(id, &ended, now_ms, effects),
            code if code.ran() == Ran::NotRun => {
                self.refused_by_target(id, code, now_ms, effects)
            }
            code if self.may_rerun(id) => {
                self.retry(id, code, now_ms, effects)
            }
            code => self.finish(id, Final::new(code), now_ms, effects),
        }
        self.pump(now_ms, effects);
    }

    pub(super) fn observe(
        &mut self,
        id: u64,
        agent: &Name,
        code: Code,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = &self.requests[&id];
        if let (Stage::Sent { since_ms, .. }, Code::Done) =
            (&request.stage, code)
        {
            let pace = self.paces.entry(request.model.clone()).or_default();
            pace.observe(now_ms.saturating_sub(*since_ms));
        }
        let worked =
            !matches!(code, Code::Cut | Code::Unknown | Code::TargetRefused);
        if self.router.record_result(agent, worked, now_ms) {
            let detail = agent.to_string();
            effects.push(Effect::Log(LogEvent::TargetSuspect, detail));
        }
    }

    pub(super) fn done(
        &mut self,
        id: u64,
        ended: &Ended,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = self.requests.get_mut(&id).expect("it is listed");
        if !request.answer.matches(ended.length_bytes, &ended.digest) {
            let detail = ended.run_key.clone();
            effects.push(Effect::Log(LogEvent::AnswerMismatch, detail));
            return self.finish(id, Final::new(Code::Cut), now_ms, effects);
        }
        let mut last = Final::new(Code::Done);
        let answer = std::mem::take(&mut request.answer);
        if !request.submission.stream {
            last.answer = answer.into_bytes();
        }
        self.finish(id, last, now_ms, effects);
    }

    /// The agent proved that this attempt did not run. It goes back to its
    /// queue under a fresh key, unless the caller's own key pins it.
    pub(super) fn refused_by_target(
        &mut self,
        id: u64,
        code: Code,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = &self.requests[&id];
        if code == Code::TargetLeaving
            && let Stage::Sent { agent, .. } = &request.stage
        {
            let agent = agent.clone();
            self.router.set_leaving(&agent);
        }
        let request = &self.requests[&id];
        if request.submission.stream && !request.answer.is_empty() {
            // The caller holds a part of an answer that nobody will end.
            return self.finish(id, Final::new(Code::Cut), now_ms, effects);
        }
        let is_over = request.key_is_held()
            || request.tried.len() >= MAX_TRIES
            || now_ms >= request.deadline_ms;
        if is_over {
            return self.finish_as(id, soon(code), now_ms, effects);
        }
        self.requeue(id);
    }

    /// Whether a request whose attempt may have run may run again: it says
    /// so itself, and the caller has seen nothing of the answer.
    pub(super) fn may_rerun(&self, id: u64) -> bool {
        let request = &self.requests[&id];
        request.submission.repeatable
            && !request.key_is_held()
            && (!request.submission.stream || request.answer.is_empty())
            && request.tried.len() < MAX_TRIES
    }

    pub(super) fn retry(
        &mut self,
        id: u64,
        code: Code,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = self.requests.get_mut(&id).expect("it is listed");
        request.may_have_run = true;
        let organisation = request.organisation.clone();
        let in_time = now_ms < request.deadline_ms;
        if in_time && self.spend_retry(&organisation) {
            return self.requeue(id);
        }
        self.finish(id, soon(code), now_ms, effects);
    }

    pub(super) fn requeue(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("it is listed");
        request.stage = Stage::Queued;
        request.answer = Answer::new();
        let waiting =
            QueuedRequest { request: id, model: request.model.clone() };
        let organisation = request.organisation.clone();
        let priority = request.submission.priority;
        self.queues.push(priority, &organisation, waiting);
    }

    /// An agent's connection is lost. What may run again goes elsewhere;
    /// what may not waits a moment for the same ledger to come back.
    pub(super) fn detach_runs(
        &mut self,
        agent: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(&request.stage, Stage::Sent { agent: a, .. }
                    if a == agent)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.attempts.remove(&self.requests[&id].attempt);
            if self.may_rerun(id) {
                self.retry(id, Code::Unknown, now_ms, effects);
                continue;
            }
            let until_ms = now_ms + REJOIN_MS;
            let request = self.requests.get_mut(&id).expect("it is listed");
            request.stage = Stage::Detached { agent: agent.clone(), until_ms };
        }
        self.pump(now_ms, effects);
    }

    /// An agent is back. In the same incarnation, its ledger knows what
    /// became of each key: dispatching again joins the run, replays its
    /// answer, or starts what never arrived. In another, nobody knows.
    pub(super) fn rejoin_runs(
        &mut self,
        agent: &Name,
        incarnation: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let waiting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(&request.stage, Stage::Detached { agent: a, .. }
                    if a == agent)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            let text = self.requests[&id].run_key.clone();
            let key = text.and_then(|text| RunKey::parse_unchecked(&text));
            let is_same =
                key.is_some_and(|key| key.incarnation == incarnation);
            if is_same {
                self.rejoin(id, agent, now_ms, effects);
            } else {
                self.finish_unknown(id, now_ms, effects);
            }
        }
    }

    pub(super) fn rejoin(
        &mut self,
        id: u64,
        agent: &Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self.next_serial();
        let request = self.requests.get_mut(&id).expect("it is listed");
        request.attempt = attempt;
        request.stage = Stage::Sent { agent: agent.clone(), since_ms: now_ms };
        let prefix = request.submission.prefix;
        let body = dispatch_body(request, now_ms);
        self.attempts.insert(attempt, id);
        self.router.record_dispatch(agent, prefix);
        effects.push(Effect::ToAgent(agent.clone(), body));
    }
}

fn late(run_key: &str, effects: &mut Vec<Effect>) {
    let detail = run_key.to_string();
    effects.push(Effect::Log(LogEvent::LateAnswer, detail));
}
