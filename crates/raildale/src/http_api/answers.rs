//! Answers: JSON with a number, and whether the request ran.

use bytes::Bytes;
use gotham::{
    helpers::http::Body,
    hyper::{Response, StatusCode},
};
use http_body_util::{BodyExt, Full};
use raildale_core::{Code, entry::FinalResponse};
use serde_json::{Value, json};

/// A whole answer as JSON.
pub(super) fn answer(status: u16, value: &Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let status = StatusCode::from_u16(status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = "application/json".parse().expect("it is a header's value");
    response.headers_mut().insert("content-type", json);
    response
}

/// A numbered answer with a detail for people.
pub(super) fn coded(code: Code, detail: &str) -> Response<Body> {
    let value = json!({
        "code": code.number(),
        "ran": code.ran().as_str(),
        "text": code.text(),
        "detail": detail,
    });
    answer(code.http_status(), &value)
}

/// The last word on a request.
pub(super) fn last(last: &FinalResponse) -> Response<Body> {
    let value = last_value(last);
    let mut response = answer(last.code.http_status(), &value);
    let headers = response.headers_mut();
    if last.retry_after_ms > 0 {
        // The header knows whole seconds only; the body has the exact time.
        let seconds = last.retry_after_ms.div_ceil(1000);
        headers.insert("retry-after", seconds.into());
    }
    let location = last.redirect.as_ref().and_then(|address| {
        format!("http://{address}/v1/requests").parse().ok()
    });
    if let Some(location) = location {
        headers.insert("location", location);
    }
    response
}

/// The last word as JSON, also the last line of a streamed answer.
pub(super) fn last_value(last: &FinalResponse) -> Value {
    json!({
        "code": last.code.number(),
        "ran": last.code.ran().as_str(),
        "text": last.code.text(),
        "answer": String::from_utf8_lossy(&last.answer),
        "run_key": last.run_key.as_deref(),
        "retry_after_ms": last.retry_after_ms,
        "end": true,
    })
}
