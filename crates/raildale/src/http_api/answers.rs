//! JSON responses with a result code and whether the request ran.

use bytes::Bytes;
use gotham::{
    helpers::http::Body,
    hyper::{Response, StatusCode},
};
use http_body_util::{BodyExt, Full};
use raildale_core::{Code, entry::FinalResponse};
use serde_json::{Value, json};

/// Returns a complete response with a JSON body.
pub(super) fn json_response(status: u16, value: &Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let status = StatusCode::from_u16(status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = "application/json".parse().expect("a valid header value");
    response.headers_mut().insert("content-type", json);
    response
}

/// Returns a response for a result code, with a detail message for people.
pub(super) fn code_response(code: Code, detail: &str) -> Response<Body> {
    let value = json!({
        "code": code.number(),
        "ran": code.ran().as_str(),
        "text": code.text(),
        "detail": detail,
    });
    json_response(code.http_status(), &value)
}

/// Returns the response for the final result of a request.
pub(super) fn final_response(last: &FinalResponse) -> Response<Body> {
    let value = final_value(last);
    let mut response = json_response(last.code.http_status(), &value);
    let headers = response.headers_mut();
    if last.retry_after_ms > 0 {
        // The header has whole seconds only; the body has the exact time.
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

/// Returns the final result of a request as JSON, which is also the last line
/// of a streamed answer.
pub(super) fn final_value(last: &FinalResponse) -> Value {
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
