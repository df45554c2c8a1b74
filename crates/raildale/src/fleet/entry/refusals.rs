//! Error answers that the entry host generates itself.

use bytes::Bytes;
use hyper::{Response, StatusCode};
use raildale_core::{
    Code, LogEvent,
    gateway::{Refusal, request::Obstacle},
};

use super::{EntryHost, callers, proxy::AnswerBody};
use crate::fleet::edge::{Dialect, Store};

/// Returns a refusal whose cause is the entry host itself.
pub fn host_refusal(code: Code, retry_after_ms: Option<u64>) -> Refusal {
    Refusal { code, obstacle: Obstacle::Host, retry_after_ms }
}

/// Logs and answers a request that was not admitted.
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

/// Returns the answer for a refusal, and counts it.
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
    let mut response = Response::new(callers::full_body(text));
    *response.status_mut() = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() =
        host.platform.refusal_headers(id, refusal.retry_after_ms);
    response
}
