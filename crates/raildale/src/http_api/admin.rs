//! Handlers for operators: settings, status, draining.

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
    platform::{CallResult, SETTINGS_KEY, StoredSettings},
    settings_text,
    settings_write::{self, Change},
    status::Status,
};

/// The query parameters of a change of the settings.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub(super) struct ApplyQuery {
    /// The revision that the change is based on.
    expected: Option<u64>,
    /// Whether to return the difference without applying the change.
    dry_run: Option<bool>,
    /// The reason for the change.
    reason: Option<String>,
    /// The author's id of the change, so that a repeated call applies it once.
    operation: Option<String>,
}

/// The query parameters that select a model.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub(super) struct ModelQuery {
    /// `organisation/model`.
    model: String,
}

/// The authenticated operator and its permissions.
struct Requester {
    name: String,
    can_edit: bool,
    /// The only organisation in its scope; `None` for all.
    organisation: Option<String>,
}

impl Requester {
    fn can_see(&self, organisation: &str) -> bool {
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
    let response = match authenticate(&api, &state, &status) {
        Ok(requester) => {
            let text = match &requester.organisation {
                None => status.settings_text.clone(),
                Some(own) => settings_text::organisation_part(
                    &status.settings_text,
                    own,
                ),
            };
            let value = json!({ "revision": status.revision, "text": text });
            answers::json_response(200, &value)
        }
        Err(code) => answers::code_response(code, ""),
    };
    Ok((state, response))
}

pub(super) async fn apply(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let query = ApplyQuery::take_from(&mut state);
    let body = body_of(&mut state).await;
    let status = api.status().await;
    let requester = authenticate(&api, &state, &status);
    let response = match (requester, body) {
        (Err(code), _) | (_, Err(code)) => answers::code_response(code, ""),
        (Ok(requester), Ok(_)) if !requester.can_edit => {
            answers::code_response(Code::Forbidden, "")
        }
        (Ok(requester), Ok(body)) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            change(&api, query, requester, text, &status).await
        }
    };
    Ok((state, response))
}

async fn change(
    api: &Api,
    query: ApplyQuery,
    requester: Requester,
    text: String,
    status: &Status,
) -> Response<Body> {
    let text = match &requester.organisation {
        None => text,
        Some(own) => {
            match settings_text::replace_organisation_part(
                &status.settings_text,
                own,
                &text,
            ) {
                Ok(text) => text,
                Err(error) => {
                    return answers::code_response(
                        Code::Forbidden,
                        error.detail(),
                    );
                }
            }
        }
    };
    if let Err(error) = settings_text::parse(&text) {
        return answers::code_response(Code::SettingsInvalid, error.detail());
    }
    if text.len() > settings_text::MAX_BYTES {
        return answers::code_response(Code::SettingsTooLarge, "");
    }
    let difference = settings_text::difference(&status.settings_text, &text);
    if query.dry_run == Some(true) {
        let value = json!({
            "revision": status.revision,
            "difference": difference,
        });
        return answers::json_response(200, &value);
    }
    // A change of one organisation is merged into the text in force at this
    // process, so it must not be applied to any other revision.
    let merged = requester.organisation.is_some().then_some(status.revision);
    let operation = query
        .operation
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let change = Change {
        text,
        author: requester.name,
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
    answers::json_response(code.http_status(), &value)
}

pub(super) async fn history(state: State) -> HandlerResult {
    let api = api_of(&state);
    let status = api.status().await;
    let response = match authenticate(&api, &state, &status) {
        Err(code) => answers::code_response(code, ""),
        Ok(requester) if requester.organisation.is_some() => {
            answers::code_response(Code::Forbidden, "")
        }
        Ok(_) => match api.platform.read(SETTINGS_KEY).await {
            CallResult::Answered(object) => {
                let stored: StoredSettings =
                    serde_json::from_value(object.value).unwrap_or_default();
                let value = json!({
                    "revision": stored.revision(object.version),
                    "history": stored.history,
                });
                answers::json_response(200, &value)
            }
            _ => answers::code_response(Code::PlatformDown, ""),
        },
    };
    Ok((state, response))
}

pub(super) async fn effective(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let query = ModelQuery::take_from(&mut state);
    let status = api.status().await;
    let response = match authenticate(&api, &state, &status) {
        Err(code) => answers::code_response(code, ""),
        Ok(requester) => {
            let organisation = query.model.split('/').next().unwrap_or("");
            let tree = tree_of(&status);
            let rules = requester
                .can_see(organisation)
                .then(|| tree.effective(&query.model))
                .flatten();
            match rules {
                None => answers::code_response(Code::NotFound, ""),
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
                    answers::json_response(200, &json!({ "rules": rows }))
                }
            }
        }
    };
    Ok((state, response))
}

pub(super) async fn status(state: State) -> HandlerResult {
    let api = api_of(&state);
    let mut status = api.status().await;
    let response = match authenticate(&api, &state, &status) {
        Err(code) => answers::code_response(code, ""),
        Ok(requester) => {
            status.restrict_to(requester.organisation.as_deref());
            status.settings_text.clear();
            let value = serde_json::to_value(&status).unwrap_or_default();
            answers::json_response(200, &value)
        }
    };
    Ok((state, response))
}

pub(super) async fn drain(mut state: State) -> HandlerResult {
    let api = api_of(&state);
    let name = NamePath::take_from(&mut state).name;
    let status = api.status().await;
    let response = match authenticate(&api, &state, &status) {
        Err(code) => answers::code_response(code, ""),
        Ok(requester)
            if !requester.can_edit || requester.organisation.is_some() =>
        {
            answers::code_response(Code::Forbidden, "")
        }
        Ok(_) if *name == *api.process => {
            let _ = api
                .inputs
                .send(crate::entry_daemon::Input::Notify(Event::Leave));
            answers::code_response(Code::Accepted, "")
        }
        Ok(_) => {
            let agent = name.as_str().into();
            let mut call =
                api.call(|request| Event::DrainAgent { request, agent });
            match call.next().await {
                Reply::Final(last) => answers::final_response(&last),
                Reply::Piece(_) => answers::code_response(Code::Unknown, ""),
            }
        }
    };
    Ok((state, response))
}

/// Returns the operator to whom the request's key belongs. As long as the
/// settings list no operators, the bootstrap key has all permissions.
///
/// # Errors
///
/// [`Code::Unauthorised`] if the key is missing or unknown.
fn authenticate(
    api: &Api,
    state: &State,
    status: &Status,
) -> Result<Requester, Code> {
    let hash = key_hash(state).ok_or(Code::Unauthorised)?;
    let tree = tree_of(status);
    let bootstrap = api
        .bootstrap_key_hash
        .as_deref()
        .and_then(Digest::from_hex)
        .filter(|_| tree.operators.is_empty());
    if bootstrap == Some(hash) {
        return Ok(Requester {
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
        .map(|(name, operator)| Requester {
            name: name.clone(),
            can_edit: operator.role == Role::Editor,
            organisation: operator.organisation.clone(),
        })
        .ok_or(Code::Unauthorised)
}

fn tree_of(status: &Status) -> Tree {
    settings_text::parse(&status.settings_text).unwrap_or_default()
}
