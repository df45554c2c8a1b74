//! Admission of runs at the target, and delivery of their answers.

use super::{Agent, Effect, RunOrder};
use crate::{
    Code, Digest, Name,
    message::{Body, Cancel, Dispatch, Ended, Piece, Query, QueryReply},
    request::{
        ledger::{Admission, Candidate, Listener},
        run_key::RunKey,
    },
};

impl Agent {
    pub(super) fn on_dispatch(
        &mut self,
        entry: Name,
        dispatch: Dispatch,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key: Name = dispatch.run_key.as_str().into();
        let listener =
            Listener { entry: entry.clone(), attempt: dispatch.attempt };
        let run_key = match self.own_key(&key) {
            Ok(run_key) => run_key,
            Err(code) => return send_end(&key, &listener, code, &[], effects),
        };
        let gate = self.gate(&dispatch.model, dispatch.key_is_held);
        let candidate = Candidate {
            key: key.clone(),
            expires_ms: run_key.expires_ms,
            // A caller that holds a key may retry under it, so the answer is
            // kept whether the request is repeatable or not.
            repeatable: dispatch.repeatable && !dispatch.key_is_held,
            listener: listener.clone(),
        };
        match self.ledger.admit(candidate, gate, now_ms) {
            Admission::Start => {
                let order = self.run_order(key, dispatch);
                effects.push(Effect::StartRun(order));
            }
            Admission::Join { so_far } => {
                send_piece(&key, &listener, 0, so_far, effects);
            }
            Admission::Replay { code, answer } => {
                replay(&key, &listener, code, answer, effects);
            }
            Admission::Refuse(code) => {
                send_end(&key, &listener, code, &[], effects);
            }
        }
    }

    /// Parses the text of a key and checks that it belongs to this
    /// incarnation. A key of another incarnation is never run, because the
    /// ledger that recorded whether it had run is gone.
    fn own_key(&self, text: &str) -> Result<RunKey, Code> {
        let key = RunKey::parse_unchecked(text).ok_or(Code::RunKeyInvalid)?;
        let is_own = key.agent == self.config.name
            && key.incarnation == self.config.incarnation;
        if is_own { Ok(key) } else { Err(Code::Unknown) }
    }

    /// Returns why a new key cannot be accepted for `model`, if so. A key
    /// that the caller holds was pinned to this agent before the load of the
    /// target was known, and cannot run elsewhere. It may therefore wait in
    /// the target's own queue, which holds as many runs as run at once.
    fn gate(&self, model: &str, key_is_held: bool) -> Result<(), Code> {
        if self.leaving {
            return Err(Code::TargetLeaving);
        }
        let is_ready =
            self.models.get(model).is_some_and(|state| state.is_ready());
        if !is_ready {
            return Err(Code::NoTarget);
        }
        let capacity = self.config.capacity as usize;
        let places = if key_is_held { 2 * capacity } else { capacity };
        if self.ledger.running() >= places {
            return Err(Code::TargetBusy);
        }
        Ok(())
    }

    fn run_order(&self, key: Name, dispatch: Dispatch) -> RunOrder {
        let model: Name = dispatch.model.as_str().into();
        assert!(
            self.models.get(&model).is_some_and(|state| state.is_ready()),
            "invariant whole-before-serve: {model} has no whole version"
        );
        RunOrder {
            key,
            is_plain: self.models[&model].is_plain(),
            model,
            payload: dispatch.payload,
            priority: dispatch.priority,
            max_tokens: dispatch.max_tokens,
            budget_ms: dispatch.budget_ms,
            cache_salt: dispatch.cache_salt,
            traceparent: dispatch.traceparent,
        }
    }

    pub(super) fn on_run_piece(
        &mut self,
        key: &Name,
        data: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((offset, listeners)) = self.ledger.append_piece(key, &data)
        else {
            return;
        };
        for listener in listeners {
            send_piece(key, &listener, offset, data.clone(), effects);
        }
    }

    pub(super) fn on_run_ended(
        &mut self,
        key: &Name,
        code: Code,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(end) = self.ledger.finish(key, code) else { return };
        for listener in end.listeners {
            effects.push(end_effect(
                key,
                &listener,
                code,
                end.length_bytes,
                end.digest,
            ));
        }
        if self.leaving {
            self.on_leave(now_ms, effects);
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        entry: Name,
        cancel: Cancel,
        effects: &mut Vec<Effect>,
    ) {
        let key: Name = cancel.run_key.as_str().into();
        let gone = Listener { entry, attempt: cancel.attempt };
        let left = self.ledger.remove_listener(&key, &gone);
        if left == Some(0) && cancel.stop_run {
            effects.push(Effect::StopRun(key));
        }
    }

    pub(super) fn on_query(
        &mut self,
        entry: Name,
        query: Query,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key: Name = query.run_key.as_str().into();
        let (code, answer) = match self.own_key(&key) {
            Err(code) => (code, vec![]),
            Ok(run_key) => {
                let expires_ms = run_key.expires_ms;
                if query.revoke {
                    self.ledger.revoke(&key, expires_ms, now_ms);
                }
                let is_running = self.ledger.is_running(&key);
                if query.revoke && is_running {
                    effects.push(Effect::StopRun(key.clone()));
                    self.on_run_ended(&key, Code::Cancelled, now_ms, effects);
                }
                let (code, answer) =
                    self.ledger.lookup(&key, expires_ms, now_ms);
                let code = self.confirmed_code(code, &key);
                (code, answer.unwrap_or_default().to_vec())
            }
        };
        let reply = QueryReply { ask: query.ask, code: code.number(), answer };
        effects.push(Effect::ToEntry(entry, Body::QueryReply(reply)));
    }

    /// Replaces [`Code::Revoked`], which means "not run", by
    /// [`Code::Unknown`] unless the ledger has recorded the key as revoked. A
    /// key that was only queried may still arrive and run.
    fn confirmed_code(&self, code: Code, key: &Name) -> Code {
        match code {
            Code::Revoked if !self.ledger.contains(key) => Code::Unknown,
            code => code,
        }
    }
}

fn replay(
    key: &Name,
    listener: &Listener,
    code: Code,
    answer: Option<Vec<u8>>,
    effects: &mut Vec<Effect>,
) {
    match (code, answer) {
        (Code::Done, None) => {
            send_end(key, listener, Code::AnswerGone, &[], effects)
        }
        (code, answer) => {
            let answer = answer.unwrap_or_default();
            let length_bytes = answer.len() as u64;
            let digest = Digest::of(&answer);
            send_piece(key, listener, 0, answer, effects);
            effects.push(end_effect(
                key,
                listener,
                code,
                length_bytes,
                digest,
            ));
        }
    }
}

fn send_piece(
    key: &Name,
    listener: &Listener,
    offset_bytes: u64,
    data: Vec<u8>,
    effects: &mut Vec<Effect>,
) {
    if data.is_empty() {
        return;
    }
    let piece = Piece {
        run_key: key.to_string(),
        attempt: listener.attempt,
        offset_bytes,
        data,
    };
    let body = Body::Piece(piece);
    effects.push(Effect::ToEntry(listener.entry.clone(), body));
}

fn send_end(
    key: &Name,
    listener: &Listener,
    code: Code,
    answer: &[u8],
    effects: &mut Vec<Effect>,
) {
    let length_bytes = answer.len() as u64;
    let digest = Digest::of(answer);
    effects.push(end_effect(key, listener, code, length_bytes, digest));
}

fn end_effect(
    key: &Name,
    listener: &Listener,
    code: Code,
    length_bytes: u64,
    digest: Digest,
) -> Effect {
    let ended = Ended {
        run_key: key.to_string(),
        attempt: listener.attempt,
        code: code.number(),
        length_bytes,
        digest: digest.to_vec(),
    };
    Effect::ToEntry(listener.entry.clone(), Body::Ended(ended))
}
