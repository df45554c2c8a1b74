//! Requests at an entry host, from submission to the final response.

use super::{Effect, Entry, FinalResponse};
use crate::{
    Code, Digest, LogEvent, Name, Ran,
    message::{Body, Cancel, Dispatch},
    request::{
        admission::{Priority, QueuedRequest},
        dispatch::{Answer, Request, Stage, Submission},
    },
};

/// The retry delay given to callers after a refusal for a temporary cause.
const RETRY_SOON_MS: u64 = 200;

/// The moving average of the time that a model's requests take at targets, as
/// seen by this entry host; 0 before the first one.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    average_ms: u64,
}

impl ServiceTime {
    pub(super) fn record(&mut self, took_ms: u64) {
        self.average_ms = if self.average_ms == 0 {
            took_ms
        } else {
            (self.average_ms * 7 + took_ms) / 8
        };
    }
}

impl Entry {
    pub(super) fn submit(
        &mut self,
        request: u64,
        submission: Submission,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let is_held = submission.run_key.is_some();
        match self.accept(request, submission, now_ms) {
            Ok(()) => self.dispatch_queued(now_ms, effects),
            Err(mut response) => {
                response.code = code_for_held_key(response.code, is_held);
                effects.push(Effect::Finish(request, response));
            }
        }
    }

    /// Checks a request and queues it, or returns the response with which it
    /// is refused.
    pub(super) fn accept(
        &mut self,
        request: u64,
        submission: Submission,
        now_ms: u64,
    ) -> Result<(), FinalResponse> {
        self.refuse_if_leaving()?;
        let (organisation, model) =
            self.authorise(&submission.key_hash, &submission.model, now_ms)?;
        let rules = self.tree.effective(&model).expect("the model is there");
        let budget_ms = submission
            .deadline_ms
            .unwrap_or(rules.deadline_ms.value)
            .min(rules.deadline_ms.value.max(1));
        let pinned = self.check_run_key(&submission, &organisation)?;
        if !self.router.serves(&model, now_ms) && pinned.is_none() {
            return Err(retry_soon(Code::NoTarget));
        }
        let priority = submission.priority;
        let waiting = self.queues.queue_len(priority, &organisation) as u64;
        if waiting >= rules.queue_places.value {
            return Err(retry_soon(Code::QueueFull));
        }
        self.refuse_if_hopeless(&model, priority, budget_ms, now_ms)?;
        self.admit(&organisation, now_ms).map_err(|(code, wait_ms)| {
            FinalResponse::new(code).with_retry_after_ms(wait_ms)
        })?;
        let mut submission = submission;
        submission.max_tokens =
            submission.max_tokens.min(rules.max_tokens.value as u32);
        let deadline_ms = now_ms + budget_ms;
        let entry = Request {
            organisation: organisation.clone(),
            model: model.clone(),
            run_key: pinned,
            submission,
            deadline_ms,
            stage: Stage::Queued,
            attempt: 0,
            tried: vec![],
            may_have_run: false,
            answer: Answer::new(),
        };
        self.requests.insert(request, entry);
        self.deadlines.insert((deadline_ms, request));
        self.queues.push(
            priority,
            &organisation,
            QueuedRequest { request, model },
        );
        Ok(())
    }

    pub(super) fn refuse_if_leaving(&self) -> Result<(), FinalResponse> {
        if !self.is_leaving() {
            return Ok(());
        }
        let Some(other) = self.ranked_addresses().into_iter().next() else {
            return Err(retry_soon(Code::NoTarget));
        };
        let mut response = FinalResponse::new(Code::Leaving);
        response.redirect = Some(other.address);
        Err(response)
    }

    /// Returns the caller's organisation and the model's full name,
    /// `organisation/model`. A model of another organisation gives the same
    /// error as one that does not exist.
    pub(super) fn authorise(
        &self,
        key_hash: &Digest,
        model: &str,
        now_ms: u64,
    ) -> Result<(Name, Name), FinalResponse> {
        if !self.may_serve(now_ms) {
            return Err(retry_soon(Code::NoTarget));
        }
        let organisation = self
            .organisation_of(key_hash)
            .ok_or(FinalResponse::new(Code::Unauthorised))?;
        let path = format!("{organisation}/{model}");
        if self.tree.model(&path).is_none() {
            return Err(FinalResponse::new(Code::NotFound));
        }
        Ok((organisation.clone(), path.into()))
    }

    /// Refuses a request that would miss its deadline: at the average service
    /// time, the requests ahead of it and the request itself take longer than
    /// `budget_ms`.
    pub(super) fn refuse_if_hopeless(
        &self,
        model: &Name,
        priority: Priority,
        budget_ms: u64,
        now_ms: u64,
    ) -> Result<(), FinalResponse> {
        let Some(service_time) = self.service_times.get(model) else {
            return Ok(());
        };
        let ahead = self.queues.count_ahead(priority, model);
        if ahead == 0 {
            return Ok(());
        }
        let capacity = self.router.capacity(model, now_ms).max(1);
        let wait_ms = ahead * service_time.average_ms / capacity;
        if wait_ms + service_time.average_ms <= budget_ms {
            return Ok(());
        }
        let response = FinalResponse::new(Code::DeadlineHopeless);
        Err(response.with_retry_after_ms(wait_ms.max(RETRY_SOON_MS)))
    }

    /// Sends as many queued requests to targets as there is room for.
    pub(super) fn dispatch_queued(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        loop {
            let router = &self.router;
            let requests = &self.requests;
            let next = self.queues.pop(|priority, waiting| {
                let is_pinned = requests
                    .get(&waiting.request)
                    .is_some_and(Request::key_is_held);
                let capacity = router.capacity(&waiting.model, now_ms);
                let room = router.free_capacity(&waiting.model, now_ms);
                let kept =
                    capacity * (100 - priority.max_fill_percent()) / 100;
                is_pinned || room > kept
            });
            let Some(waiting) = next else { return };
            self.send(waiting.request, now_ms, effects);
        }
    }

    pub(super) fn send(
        &mut self,
        id: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let target = if request.key_is_held() {
            self.pinned_target(request)
        } else {
            let model = request.model.clone();
            let prefix = request.submission.prefix;
            let tried = request.tried.clone();
            self.router
                .pick(&model, prefix, &tried, &mut self.rng, now_ms)
                .ok_or(Code::NoTarget)
        };
        match target {
            Ok(agent) => self.send_to(id, agent, now_ms, effects),
            Err(code) => self.finish(id, retry_soon(code), now_ms, effects),
        }
    }

    pub(super) fn send_to(
        &mut self,
        id: u64,
        agent: Name,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key = match self.requests[&id].key_is_held() {
            true => self.requests[&id].run_key.clone().expect("it is held"),
            false => self.mint_run_key(id, &agent),
        };
        let attempt = self.next_serial();
        let request = self.requests.get_mut(&id).expect("it is listed");
        request.run_key = Some(key);
        request.attempt = attempt;
        request.tried.push(agent.clone());
        request.stage = Stage::Sent { agent: agent.clone(), since_ms: now_ms };
        let prefix = request.submission.prefix;
        let body = dispatch_body(request, now_ms);
        self.requests_by_attempt.insert(attempt, id);
        self.router.record_dispatch(&agent, prefix);
        effects.push(Effect::ToAgent(agent, body));
    }

    pub(super) fn tick_requests(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        while let Some((deadline_ms, id)) = self.deadlines.first().copied() {
            if deadline_ms > now_ms {
                break;
            }
            self.on_deadline_passed(id, now_ms, effects);
        }
        let rejoin_expired: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(request.stage, Stage::Detached { until_ms, .. }
                    if now_ms >= until_ms)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in rejoin_expired {
            self.finish_unknown(id, now_ms, effects);
        }
        self.tick_queries(now_ms, effects);
        self.dispatch_queued(now_ms, effects);
    }

    pub(super) fn on_deadline_passed(
        &mut self,
        id: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = &self.requests[&id];
        match &request.stage {
            // Nothing was sent under the current key, and each earlier
            // attempt provably did not run or may run twice.
            Stage::Queued => {
                let code = match request.key_is_held() {
                    true => Code::Unknown,
                    false => Code::DeadlineHopeless,
                };
                self.finish(id, retry_soon(code), now_ms, effects);
            }
            Stage::Sent { .. } | Stage::Detached { .. } => {
                self.cancel_attempt(id, effects);
                let response = FinalResponse::new(Code::DeadlinePassed);
                self.finish(id, response, now_ms, effects);
            }
        }
    }

    pub(super) fn finish_unknown(
        &mut self,
        id: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.requests[&id].run_key.clone();
        let detail = key.map_or(String::new(), |key| key.to_string());
        effects.push(Effect::Log(LogEvent::RunUnknown, detail));
        self.finish(id, retry_soon(Code::Unknown), now_ms, effects);
    }

    /// Tells the agent that the caller no longer waits for the attempt. A run
    /// that may not be repeated, or whose key the caller holds, continues,
    /// because its answer may still be fetched with the key.
    pub(super) fn cancel_attempt(
        &mut self,
        id: u64,
        effects: &mut Vec<Effect>,
    ) {
        let request = &self.requests[&id];
        let Stage::Sent { agent, .. } = &request.stage else { return };
        let Some(key) = &request.run_key else { return };
        let cancel = Cancel {
            run_key: key.to_string(),
            attempt: request.attempt,
            stop_run: request.submission.repeatable && !request.key_is_held(),
        };
        effects.push(Effect::ToAgent(agent.clone(), Body::Cancel(cancel)));
    }

    pub(super) fn on_caller_gone(
        &mut self,
        id: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.requests.contains_key(&id) {
            self.cancel_attempt(id, effects);
            self.finish(
                id,
                FinalResponse::new(Code::Cancelled),
                now_ms,
                effects,
            );
        }
    }

    /// Completes a request with a code that this entry host determined. As it
    /// doesn't know of earlier attempts under a key that the caller already
    /// held, the code is adjusted by [`code_for_held_key`].
    pub(super) fn finish(
        &mut self,
        id: u64,
        mut response: FinalResponse,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        response.code =
            code_for_held_key(response.code, request.key_is_held());
        self.finish_with_exact_code(id, response, now_ms, effects);
    }

    /// Completes a request with a code from an agent's ledger, which knows
    /// all attempts under the key.
    pub(super) fn finish_with_exact_code(
        &mut self,
        id: u64,
        mut response: FinalResponse,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.may_have_run && response.code.ran() == Ran::NotRun {
            response.code = Code::Unknown;
        }
        let is_with_agent =
            self.requests_by_attempt.remove(&request.attempt).is_some();
        if let (Stage::Sent { agent, .. }, true) =
            (&request.stage, is_with_agent)
        {
            // A target that exceeds a deadline is counted as failing, whatever
            // it reports.
            let worked = response.code != Code::DeadlinePassed;
            self.router.record_result(agent, worked, now_ms);
        }
        self.deadlines.remove(&(request.deadline_ms, id));
        self.queues.remove(id);
        self.release(&request.organisation);
        assert!(
            response.code != Code::Done
                || request.submission.stream
                || request.run_key.is_some(),
            "invariant whole-answer: done without a run"
        );
        response.run_key = request.run_key;
        effects.push(Effect::Finish(id, response));
    }
}

pub(super) fn dispatch_body(request: &Request, now_ms: u64) -> Body {
    let submission = &request.submission;
    let key = request.run_key.as_ref().expect("an attempt has a key");
    Body::Dispatch(Dispatch {
        run_key: key.to_string(),
        attempt: request.attempt,
        model: request.model.to_string(),
        payload: submission.payload.clone(),
        priority: submission.priority as u32,
        budget_ms: request.deadline_ms.saturating_sub(now_ms),
        repeatable: submission.repeatable,
        max_tokens: submission.max_tokens,
        traceparent: submission.traceparent.clone(),
        cache_salt: request.organisation.to_string(),
        key_is_held: request.key_is_held(),
    })
}

/// Returns the code to report if the ledger that a held key is pinned to was
/// not consulted. An earlier attempt under the key may have run, so "not run"
/// becomes [`Code::HeldKeyRefused`].
fn code_for_held_key(code: Code, is_held: bool) -> Code {
    let is_about_the_key = code == Code::RunKeyInvalid;
    match code.ran() {
        Ran::NotRun if is_held && !is_about_the_key => Code::HeldKeyRefused,
        _ => code,
    }
}

pub(super) fn retry_soon(code: Code) -> FinalResponse {
    FinalResponse::new(code).with_retry_after_ms(RETRY_SOON_MS)
}
