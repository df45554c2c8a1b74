//! Run keys at an entry host: issuing them and querying their outcome.

use super::{Effect, Entry, FinalResponse, requests::retry_soon};
use crate::{
    Code, Digest, Name,
    message::{Body, Query, QueryReply},
    request::{
        dispatch::{Request, Submission},
        run_key::RunKey,
    },
};

/// How long an agent may take to answer a query about a run key.
const QUERY_TIMEOUT_MS: u64 = 1_000;

/// A query about a run key that an agent has not answered yet.
#[derive(Debug)]
pub(super) struct PendingQuery {
    until_ms: u64,
    run_key: Name,
}

impl Entry {
    pub(super) fn check_run_key(
        &self,
        submission: &Submission,
        organisation: &Name,
    ) -> Result<Option<Name>, FinalResponse> {
        let Some(text) = &submission.run_key else { return Ok(None) };
        RunKey::parse(text, &self.config.cluster_key, organisation)
            .ok_or(FinalResponse::new(Code::RunKeyInvalid))?;
        Ok(Some(text.as_str().into()))
    }

    /// Returns the agent that a caller's run key is pinned to. If that
    /// incarnation is gone, an earlier attempt may have run there: the outcome
    /// is unknown, and no other agent may run the key.
    pub(super) fn pinned_target(
        &self,
        request: &Request,
    ) -> Result<Name, Code> {
        let text = request.run_key.as_ref().ok_or(Code::RunKeyInvalid)?;
        let key = RunKey::parse_unchecked(text).ok_or(Code::RunKeyInvalid)?;
        let target = self.router.target(&key.agent);
        let is_here = target.is_some_and(|t| t.incarnation == key.incarnation);
        if is_here { Ok(key.agent) } else { Err(Code::Unknown) }
    }

    pub(super) fn mint_run_key(&mut self, id: u64, agent: &Name) -> Name {
        let serial = self.next_serial();
        let request = &self.requests[&id];
        let incarnation =
            self.router.target(agent).map_or(0, |target| target.incarnation);
        let ttl_ms = self
            .tree
            .effective(&request.model)
            .map_or(0, |rules| rules.run_key_ttl_ms.value);
        let key = RunKey {
            agent: agent.clone(),
            incarnation,
            serial,
            expires_ms: request.deadline_ms + ttl_ms,
        };
        key.to_text(&self.config.cluster_key, &request.organisation).into()
    }

    /// Returns a number that no other process and no earlier start of this
    /// one returns, as it includes the incarnation.
    pub(super) fn next_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.config.incarnation.rotate_left(24) ^ self.next_serial
    }

    pub(super) fn issue_key(
        &mut self,
        request: u64,
        key_hash: Digest,
        model: &str,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let response = self
            .create_run_key(&key_hash, model, now_ms)
            .unwrap_or_else(|response| response);
        effects.push(Effect::Finish(request, response));
    }

    pub(super) fn create_run_key(
        &mut self,
        key_hash: &Digest,
        model: &str,
        now_ms: u64,
    ) -> Result<FinalResponse, FinalResponse> {
        self.refuse_if_leaving()?;
        let (organisation, model) = self.authorise(key_hash, model, now_ms)?;
        let agent = self
            .router
            .pick(&model, 0, &[], &mut self.rng, now_ms)
            .ok_or(retry_soon(Code::NoTarget))?;
        let incarnation =
            self.router.target(&agent).map_or(0, |target| target.incarnation);
        let rules = self.tree.effective(&model).expect("the model is there");
        let key = RunKey {
            agent,
            incarnation,
            serial: self.next_serial(),
            expires_ms: now_ms + rules.run_key_ttl_ms.value,
        };
        let text = key.to_text(&self.config.cluster_key, &organisation);
        let mut response = FinalResponse::new(Code::Accepted);
        response.run_key = Some(text.into());
        Ok(response)
    }

    pub(super) fn query_run(
        &mut self,
        request: u64,
        key_hash: Digest,
        text: &str,
        revoke: bool,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let agent = match self.query_target(&key_hash, text) {
            Ok(agent) => agent,
            Err(code) => {
                let mut response = FinalResponse::new(code);
                response.run_key = Some(text.into());
                effects.push(Effect::Finish(request, response));
                return;
            }
        };
        let until_ms = now_ms + QUERY_TIMEOUT_MS;
        self.pending_queries
            .insert(request, PendingQuery { until_ms, run_key: text.into() });
        let query = Query { run_key: text.to_string(), ask: request, revoke };
        effects.push(Effect::ToAgent(agent, Body::Query(query)));
    }

    pub(super) fn query_target(
        &self,
        key_hash: &Digest,
        text: &str,
    ) -> Result<Name, Code> {
        let organisation =
            self.organisation_of(key_hash).ok_or(Code::Unauthorised)?;
        let key = RunKey::parse(text, &self.config.cluster_key, organisation)
            .ok_or(Code::RunKeyInvalid)?;
        let target = self.router.target(&key.agent).ok_or(Code::Unknown)?;
        if target.incarnation != key.incarnation {
            return Err(Code::Unknown);
        }
        Ok(key.agent)
    }

    pub(super) fn on_query_reply(
        &mut self,
        reply: QueryReply,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.pending_queries.remove(&reply.ask) else {
            return;
        };
        let code = Code::from_number(reply.code).unwrap_or(Code::Unknown);
        let mut response = FinalResponse::new(code);
        response.answer = reply.answer;
        response.run_key = Some(query.run_key);
        effects.push(Effect::Finish(reply.ask, response));
    }

    pub(super) fn tick_queries(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let expired: Vec<u64> = self
            .pending_queries
            .iter()
            .filter(|(_, query)| now_ms >= query.until_ms)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            let query =
                self.pending_queries.remove(&request).expect("it is listed");
            let mut response = retry_soon(Code::Unknown);
            response.run_key = Some(query.run_key);
            effects.push(Effect::Finish(request, response));
        }
    }
}
