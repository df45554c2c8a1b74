//! Handlers for callers: entry host addresses, run keys, requests and the
//! outcomes of runs.

use std::{io, time::Instant};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    hyper::{HeaderMap, Response},
    prelude::*,
    state::State,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use raildale_core::{
    Code, Digest,
    entry::{Event, WHERE_TTL_MS},
    request::{admission::Priority, dispatch::Submission},
};
use serde::Deserialize;
use serde_json::json;

use super::{Api, Call, NamePath, answers, api_of, body_of, key_hash};
use crate::{entry_daemon::Reply, trace::Span};

/// The number of bytes at a prompt's start that determine its prefix hash.
const PREFIX_BYTES: usize = 64;

/// The maximum number of tokens of an answer if the caller gives none.
const DEFAULT_TOKENS: u32 = 64;

/// The body of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default = "default_priority")]
    priority: String,
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
    run_key: Option<String>,
    #[serde(default)]
    stream: bool,
}

/// The body of a request for a run key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyBody {
    model: String,
}

pub(super) async fn entry_addresses(state: State) -> HandlerResult {
    let api = api_of(&state);
    let status = api.status().await;
    let value = json!({
        "addresses": status.addresses,
        "ttl_ms": WHERE_TTL_MS,
    });
    Ok((state, answers::json_response(200, &value)))
}

pub(super) async fn issue_key(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let Some(key_hash) = key_hash(&state) else {
        return Ok((state, answers::code_response(Code::Unauthorised, "")));
    };
    let body = match read_json::<KeyBody>(&mut state).await {
        Ok(body) => body,
        Err((code, detail)) => {
            return Ok((state, answers::code_response(code, &detail)));
        }
    };
    let model = body.model.as_str().into();
    let call =
        api.call(|request| Event::IssueKey { request, key_hash, model });
    Ok((state, whole_response(call).await.0))
}

pub(super) async fn submit(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let Some(key_hash) = key_hash(&state) else {
        return Ok((state, answers::code_response(Code::Unauthorised, "")));
    };
    let body = match read_json::<RequestBody>(&mut state).await {
        Ok(body) => body,
        Err((code, detail)) => {
            return Ok((state, answers::code_response(code, &detail)));
        }
    };
    let Some(priority) = Priority::from_word(&body.priority) else {
        let detail = "priority must be urgent, normal or bulk";
        return Ok((state, answers::code_response(Code::Malformed, detail)));
    };
    let span = span(&api, &state);
    let submission = submission(body, key_hash, priority, &span);
    let is_stream = submission.stream;
    let submission = Box::new(submission);
    let call = api.call(|request| Event::Submit { request, submission });
    let response = match is_stream {
        true => stream_response(call, api, span).await,
        false => {
            let start = Instant::now();
            let (response, code) = whole_response(call).await;
            finish(&api, span, start, code);
            response
        }
    };
    Ok((state, response))
}

pub(super) async fn query_run(state: State) -> HandlerResult {
    run_outcome(state, false).await
}

pub(super) async fn revoke_run(state: State) -> HandlerResult {
    run_outcome(state, true).await
}

async fn run_outcome(mut state: State, revoke: bool) -> HandlerResult {
    let api = api_of(&state);
    let Some(key_hash) = key_hash(&state) else {
        return Ok((state, answers::code_response(Code::Unauthorised, "")));
    };
    let run_key = NamePath::take_from(&mut state).name;
    let call = api.call(|request| Event::QueryRun {
        request,
        key_hash,
        run_key,
        revoke,
    });
    Ok((state, whole_response(call).await.0))
}

fn submission(
    body: RequestBody,
    key_hash: Digest,
    priority: Priority,
    span: &Span,
) -> Submission {
    Submission {
        key_hash,
        model: body.model.as_str().into(),
        prefix: prefix(&body.model, &body.prompt),
        payload: body.prompt.into_bytes(),
        priority,
        deadline_ms: body.deadline_ms,
        repeatable: body.repeatable,
        run_key: body.run_key,
        stream: body.stream,
        max_tokens: body.max_tokens,
        traceparent: span.context().to_traceparent(),
    }
}

/// Returns a hash of the model and the prompt's start. The model is included
/// because the router keeps models of all organisations in one table.
fn prefix(model: &str, prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let digest = Digest::of(&[model.as_bytes(), b"\0", start].concat());
    let bytes = digest.as_bytes()[..8].try_into();
    u64::from_le_bytes(bytes.expect("a digest has 32 bytes"))
}

async fn whole_response(mut call: Call) -> (Response<Body>, Code) {
    loop {
        if let Reply::Final(last) = call.next().await {
            return (answers::final_response(&last), last.code);
        }
    }
}

/// Returns a streamed answer: JSON lines, the last with `"end": true`. If the
/// final result arrives before any piece, it is returned as a whole response,
/// so that a refusal has its own status code.
async fn stream_response(
    mut call: Call,
    api: Api,
    span: Span,
) -> Response<Body> {
    let start = Instant::now();
    let first = call.next().await;
    let data = match first {
        Reply::Piece(data) => data,
        Reply::Final(last) => {
            finish(&api, span, start, last.code);
            return answers::final_response(&last);
        }
    };
    api.metrics.record("first_piece_us", "", micros(start));
    let state = Some((call, api, span, start));
    let rest = stream::unfold(state, move |state| async move {
        let (mut call, api, span, start) = state?;
        match call.next().await {
            Reply::Piece(data) => {
                Some((piece_line(&data), Some((call, api, span, start))))
            }
            Reply::Final(last) => {
                finish(&api, span, start, last.code);
                let text = format!("{}\n", answers::final_value(&last));
                Some((Ok(Frame::data(Bytes::from(text))), None))
            }
        }
    });
    let first = stream::iter([piece_line(&data)]);
    let lines = futures_util::StreamExt::chain(first, rest);
    Response::new(StreamBody::new(lines).boxed_unsync())
}

fn piece_line(data: &[u8]) -> Result<Frame<Bytes>, io::Error> {
    let piece = json!({ "piece": String::from_utf8_lossy(data) });
    Ok(Frame::data(Bytes::from(format!("{piece}\n"))))
}

fn span(api: &Api, state: &State) -> Span {
    let headers = HeaderMap::borrow_from(state);
    let traceparent = headers
        .get("traceparent")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Span::new("entry.request", &api.process, traceparent, api.spans)
}

fn finish(api: &Api, span: Span, start: Instant, code: Code) {
    api.metrics.record("request_us", "", micros(start));
    span.end(code.number());
}

fn micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}

async fn read_json<T: serde::de::DeserializeOwned>(
    state: &mut State,
) -> Result<T, (Code, String)> {
    let body = body_of(state).await.map_err(|code| (code, String::new()))?;
    serde_json::from_slice(&body)
        .map_err(|error| (Code::Malformed, error.to_string()))
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

fn default_priority() -> String {
    "normal".into()
}
