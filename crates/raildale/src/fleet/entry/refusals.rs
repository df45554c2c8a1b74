//! Answers of the entry host itself.

use bytes::Bytes;
use hyper::{Response, StatusCode};
use raildale_core::{
    Code, LogEvent,
    gateway::{Refusal, request::Obstacle},
};

use super::{EntryHost, callers, proxy::AnswerBody};
use crate::fleet::edge::{Dialect, Store};

/// A refusal of the entry host itself.
pub fn refusal_of(code: Code, retry_after_ms: Option<u64>) -> Refusal {
    Refusal { code, obstacle: Obstacle::Host, retry_after_ms }
}

/// Answers a request that was not let in.
pub fn refuse<P>(
    host: &EntryHost<P>,
    id: &str,
    refusal: Refusal,
) -> Response<AnswerBody>
where
    P: Dialect + Store + 'static,
{
    let code = refusal.code.number();
    host.log(LogEvent::RequestRefused, &format!("id={id} code={code}"));
    respond(host, id, refusal)
}

/// Answers with a refusal.
pub fn respond<P>(
    host: &EntryHost<P>,
    id: &str,
    refusal: Refusal,
) -> Response<AnswerBody>
where
    P: Dialect + Store + 'static,
{
    let number = refusal.code.number().to_string();
    host.metrics.add("refused_total", &format!("code=\"{number}\""), 1);
    let text = Bytes::from(refusal.code.to_string());
    let mut response = Response::new(callers::whole(text));
    *response.status_mut() = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() =
        host.platform.refusal_headers(id, refusal.retry_after_ms);
    response
}
