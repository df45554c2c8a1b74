//! What operators ask: settings, status, draining.

use gotham::{
    handler::HandlerResult,
    helpers::http::{Body, response::create_response},
    hyper::{Response, StatusCode},
    mime,
    prelude::*,
    state::State,
};
use raildale_core::{
    Code, Digest,
    entry::Event,
    settings::{
        Tree,
        tree::{Operator, Role},
    },
};
use serde::Deserialize;
use serde_json::json;

use super::{Api, NamePath, answers, api_of, body_of, key_hash};
use crate::{
    entry_daemon::Reply,
    platform::{Called, SETTINGS_KEY, StoredSettings},
    settings_text,
    settings_write::{self, Change},
    status::Status,
};

/// How a change is to be applied.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub(super) struct ApplyQuery {
    /// The revision that the author saw.
    expected: Option<u64>,
    /// Whether only the difference is wanted.
    dry_run: Option<bool>,
    /// Why.
    reason: Option<String>,
    /// The author's own id of this change, so that a repeated call is one.
    operation: Option<String>,
}

/// Which model is meant.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub(super) struct ModelQuery {
    /// `organisation/model`.
    model: String,
}

/// Who asks, and what may be seen.
struct Asker {
    name: String,
    can_edit: bool,
    organisation: Option<String>,
}

impl Asker {
    fn sees(&self, organisation: &str) -> bool {
        self.organisation.as_deref().is_none_or(|own| own == organisation)
    }
}

pub(super) fn metrics(state: State) -> (State, Response<Body>) {
    let text = api_of(&state).metrics.render();
    let mime = mime::TEXT_PLAIN_UTF_8;
    let response = create_response(&state, StatusCode::OK, mime, text);
    (state, response)
}

pub(super) async fn settings(state: State) -> HandlerResult {
    let api = api_of(&state);
    let status = api.status().await;
    let response = match asker(&api, &state, &status) {
        Ok(asker) => {
            let text = match &asker.organisation {
                None => status.settings_text.clone(),
                Some(own) => settings_text::part(&status.settings_text, own),
            };
            let value = json!({ "revision": status.revision, "text": text });
            answers::answer(200, &value)
        }
        Err(code) => answers::coded(code, ""),
    };
    Ok((state, response))
}

pub(super) async fn apply(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let query = ApplyQuery::take_from(&mut state);
    let body = body_of(&mut state).await;
    let status = api.status().await;
    let asker = asker(&api, &state, &status);
    let response = match (asker, body) {
        (Err(code), _) | (_, Err(code)) => answers::coded(code, ""),
        (Ok(asker), Ok(_)) if !asker.can_edit => {
            answers::coded(Code::Forbidden, "")
        }
        (Ok(asker), Ok(body)) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            change(&api, query, asker, text, &status).await
        }
    };
    Ok((state, response))
}

async fn change(
    api: &Api,
    query: ApplyQuery,
    asker: Asker,
    text: String,
    status: &Status,
) -> Response<Body> {
    let text = match &asker.organisation {
        None => text,
        Some(own) => {
            match settings_text::with_part(&status.settings_text, own, &text) {
                Ok(text) => text,
                Err(error) => {
                    return answers::coded(Code::Forbidden, error.detail());
                }
            }
        }
    };
    if let Err(error) = settings_text::parse(&text) {
        return answers::coded(Code::SettingsInvalid, error.detail());
    }
    if text.len() > settings_text::MAX_BYTES {
        return answers::coded(Code::SettingsTooLarge, "");
    }
    let difference = settings_text::difference(&status.settings_text, &text);
    if query.dry_run == Some(true) {
        let value = json!({
            "revision": status.revision,
            "difference": difference,
        });
        return answers::answer(200, &value);
    }
    // A scoped change is merged with the text that this process has in
    // force, so it must not go on top of any other.
    let merged = asker.organisation.is_some().then_some(status.revision);
    let operation = query
        .operation
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let change = Change {
        text,
        author: asker.name,
        reason: query.reason.unwrap_or_default(),
        time_ms: api.clock.now_ms(),
        operation,
        expected: query.expected.or(merged),
        in_force: status.revision,
    };
    let written = settings_write::write(&api.platform, change).await;
    let code = written.outcome.code();
    let value = json!({
        "code": code.number(),
        "text": code.text(),
        "revision": written.revision,
        "operation": written.operation,
        "difference": difference,
        "other_author": written.other_author,
        "other_difference": written.other_difference,
    });
    answers::answer(code.http_status(), &value)
}

pub(super) async fn history(state: State) -> HandlerResult {
    let api = api_of(&state);
    let status = api.status().await;
    let response = match asker(&api, &state, &status) {
        Err(code) => answers::coded(code, ""),
        Ok(asker) if asker.organisation.is_some() => {
            answers::coded(Code::Forbidden, "")
        }
        Ok(_) => match api.platform.read(SETTINGS_KEY).await {
            Called::Answered(object) => {
                let stored: StoredSettings =
                    serde_json::from_value(object.value).unwrap_or_default();
                let value = json!({
                    "revision": stored.revision(object.version),
                    "history": stored.history,
                });
                answers::answer(200, &value)
            }
            _ => answers::coded(Code::PlatformDown, ""),
        },
    };
    Ok((state, response))
}

pub(super) async fn effective(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let query = ModelQuery::take_from(&mut state);
    let status = api.status().await;
    let response = match asker(&api, &state, &status) {
        Err(code) => answers::coded(code, ""),
        Ok(asker) => {
            let organisation = query.model.split('/').next().unwrap_or("");
            let tree = tree_of(&status);
            let rules = asker
                .sees(organisation)
                .then(|| tree.effective(&query.model))
                .flatten();
            match rules {
                None => answers::coded(Code::NotFound, ""),
                Some(rules) => {
                    let rows: Vec<_> = rules
                        .rows()
                        .into_iter()
                        .map(|(name, value, level)| {
                            json!({
                                "rule": name,
                                "value": value,
                                "from": level.as_str(),
                            })
                        })
                        .collect();
                    answers::answer(200, &json!({ "rules": rows }))
                }
            }
        }
    };
    Ok((state, response))
}

pub(super) async fn status(state: State) -> HandlerResult {
    let api = api_of(&state);
    let mut status = api.status().await;
    let response = match asker(&api, &state, &status) {
        Err(code) => answers::coded(code, ""),
        Ok(asker) => {
            status.hide_others(asker.organisation.as_deref());
            status.settings_text.clear();
            let value = serde_json::to_value(&status).unwrap_or_default();
            answers::answer(200, &value)
        }
    };
    Ok((state, response))
}

pub(super) async fn drain(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let name = NamePath::take_from(&mut state).name;
    let status = api.status().await;
    let response = match asker(&api, &state, &status) {
        Err(code) => answers::coded(code, ""),
        Ok(asker) if !asker.can_edit || asker.organisation.is_some() => {
            answers::coded(Code::Forbidden, "")
        }
        Ok(_) if *name == *api.process => {
            let _ = api
                .inputs
                .send(crate::entry_daemon::Input::Tell(Event::Leave));
            answers::coded(Code::Accepted, "")
        }
        Ok(_) => {
            let agent = name.as_str().into();
            let mut call =
                api.call(|request| Event::DrainAgent { request, agent });
            match call.next().await {
                Reply::Last(last) => answers::last(&last),
                Reply::Piece(_) => answers::coded(Code::Unknown, ""),
            }
        }
    };
    Ok((state, response))
}

/// Finds the operator behind the key. Before there are operators, the
/// bootstrap key of the settings file opens everything.
fn asker(api: &Api, state: &State, status: &Status) -> Result<Asker, Code> {
    let hash = key_hash(state).ok_or(Code::Unauthorised)?;
    let tree = tree_of(status);
    let bootstrap = api
        .bootstrap_key_hash
        .as_deref()
        .and_then(Digest::from_hex)
        .filter(|_| tree.operators.is_empty());
    if bootstrap == Some(hash) {
        return Ok(Asker {
            name: "bootstrap".into(),
            can_edit: true,
            organisation: None,
        });
    }
    let holds = |operator: &Operator| {
        operator.key_hashes.iter().any(|known| {
            Digest::from_hex(known).is_some_and(|known| known == hash)
        })
    };
    tree.operators
        .iter()
        .find(|(_, operator)| holds(operator))
        .map(|(name, operator)| Asker {
            name: name.clone(),
            can_edit: operator.role == Role::Editor,
            organisation: operator.organisation.clone(),
        })
        .ok_or(Code::Unauthorised)
}

fn tree_of(status: &Status) -> Tree {
    settings_text::parse(&status.settings_text).unwrap_or_default()
}
