//! Attempts: handling of agents' answers, failures and reconnects.

use super::{
    Effect, Entry, FinalResponse,
    requests::{dispatch_body, retry_soon},
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

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;

/// How long a request waits for the connection to its agent to come back.
const REJOIN_TIMEOUT_MS: u64 = 1_000;

impl Entry {
    pub(super) fn on_piece(
        &mut self,
        piece: Piece,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.requests_by_attempt.get(&piece.attempt) else {
            return log_late_answer(&piece.run_key, effects);
        };
        let id = *id;
        let request = self.requests.get_mut(&id).expect("it is listed");
        if request.run_key.as_deref() != Some(piece.run_key.as_str()) {
            return log_late_answer(&piece.run_key, effects);
        }
        let new = request.answer.append(&piece);
        if request.submission.stream && !new.is_empty() {
            effects.push(Effect::Stream(id, new));
        }
    }

    pub(super) fn on_ended(
        &mut self,
        agent: &Name,
        ended: Ended,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.requests_by_attempt.get(&ended.attempt).copied()
        else {
            return log_late_answer(&ended.run_key, effects);
        };
        let request = &self.requests[&id];
        if request.run_key.as_deref() != Some(ended.run_key.as_str()) {
            return log_late_answer(&ended.run_key, effects);
        }
        let code = Code::from_number(ended.code).unwrap_or(Code::Unknown);
        self.requests_by_attempt.remove(&ended.attempt);
        self.record_outcome(id, agent, code, now_ms, effects);
        match code {
            Code::Done => self.on_done(id, &ended, now_ms, effects),
            code if code.ran() == Ran::NotRun => {
                self.on_not_run(id, code, now_ms, effects)
            }
            code if self.may_rerun(id) => {
                self.retry(id, code, now_ms, effects)
            }
            code => self.finish(id, FinalResponse::new(code), now_ms, effects),
        }
        self.dispatch_queued(now_ms, effects);
    }

    pub(super) fn record_outcome(
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
            let service_time =
                self.service_times.entry(request.model.clone()).or_default();
            service_time.record(now_ms.saturating_sub(*since_ms));
        }
        let worked =
            !matches!(code, Code::Cut | Code::Unknown | Code::TargetRefused);
        if self.router.record_result(agent, worked, now_ms) {
            let detail = agent.to_string();
            effects.push(Effect::Log(LogEvent::TargetSuspect, detail));
        }
    }

    pub(super) fn on_done(
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
            return self.finish(
                id,
                FinalResponse::new(Code::Cut),
                now_ms,
                effects,
            );
        }
        let mut response = FinalResponse::new(Code::Done);
        let answer = std::mem::take(&mut request.answer);
        if !request.submission.stream {
            response.answer = answer.into_bytes();
        }
        self.finish(id, response, now_ms, effects);
    }

    /// Handles an attempt that provably did not run. The request is queued
    /// again and gets a new run key, unless the caller's own key pins it to
    /// this agent.
    pub(super) fn on_not_run(
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
            // The caller has received part of an answer that will not be
            // completed.
            return self.finish(
                id,
                FinalResponse::new(Code::Cut),
                now_ms,
                effects,
            );
        }
        let is_final = request.key_is_held()
            || request.tried.len() >= MAX_ATTEMPTS
            || now_ms >= request.deadline_ms;
        if is_final {
            return self.finish_with_exact_code(
                id,
                retry_soon(code),
                now_ms,
                effects,
            );
        }
        self.requeue(id);
    }

    /// Returns whether a request whose attempt may have run may run again: it
    /// is marked as repeatable, its run key is not held by the caller, no
    /// part of the answer was streamed, and attempts are left.
    pub(super) fn may_rerun(&self, id: u64) -> bool {
        let request = &self.requests[&id];
        request.submission.repeatable
            && !request.key_is_held()
            && (!request.submission.stream || request.answer.is_empty())
            && request.tried.len() < MAX_ATTEMPTS
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
        self.finish(id, retry_soon(code), now_ms, effects);
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

    /// Handles the loss of an agent's connection. Requests that may run again
    /// are retried; the others wait up to [`REJOIN_TIMEOUT_MS`] for the same
    /// agent, whose ledger knows their outcome.
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
            self.requests_by_attempt.remove(&self.requests[&id].attempt);
            if self.may_rerun(id) {
                self.retry(id, Code::Unknown, now_ms, effects);
                continue;
            }
            let until_ms = now_ms + REJOIN_TIMEOUT_MS;
            let request = self.requests.get_mut(&id).expect("it is listed");
            request.stage = Stage::Detached { agent: agent.clone(), until_ms };
        }
        self.dispatch_queued(now_ms, effects);
    }

    /// Handles the reconnect of an agent. In the same incarnation, its ledger
    /// knows the outcome of each key: dispatching again joins the run,
    /// replays its answer, or starts a run that never arrived. In another
    /// incarnation, the outcome is unknown.
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
        self.requests_by_attempt.insert(attempt, id);
        self.router.record_dispatch(agent, prefix);
        effects.push(Effect::ToAgent(agent.clone(), body));
    }
}

fn log_late_answer(run_key: &str, effects: &mut Vec<Effect>) {
    let detail = run_key.to_string();
    effects.push(Effect::Log(LogEvent::LateAnswer, detail));
}
