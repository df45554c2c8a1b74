//! Log lines about a request's attempts and its answer.

use hyper::StatusCode;
use raildale_core::{
    LogEvent,
    gateway::{Admission, Outcome},
};

use super::{
    attempt::{Attempt, Cause},
    proxy::Exchange,
};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> Exchange<P> {
    /// Logs an attempt that failed.
    pub fn log_attempt(
        &self,
        attempt: &Attempt<P>,
        outcome: Outcome,
        status: u16,
        cause: Cause,
    ) {
        let detail = format!(
            "id={} request={} parts={} target={} outcome={outcome:?} \
             cause={cause:?} status={status} has_begun={} at_ms={} {}",
            self.head.id,
            self.fingerprints.request,
            self.fingerprints.parts_text(),
            attempt.target,
            attempt.has_begun,
            now_ms() - self.request.arrived_ms,
            sent_text(&self.request, attempt),
        );
        self.host.metrics.add("attempts_failed_total", "", 1);
        self.host.log(LogEvent::AttemptFailed, &detail);
    }

    /// Logs that the request was answered by an attempt.
    pub fn log_done(
        &self,
        attempt: &Attempt<P>,
        status: StatusCode,
        event_times: &str,
    ) {
        let took_ms = now_ms() - self.request.arrived_ms;
        self.host.metrics.record("request_ms", "", took_ms);
        let detail = format!(
            "id={} request={} parts={} route={} target={} status={} \
             tries={} took_ms={took_ms} waited_ms={} is_back={} {} \
             {event_times}",
            self.head.id,
            self.fingerprints.request,
            self.fingerprints.parts_text(),
            self.request.route.name,
            attempt.target,
            status.as_u16(),
            self.request.tried.len(),
            self.request.sent_ms.saturating_sub(self.request.arrived_ms),
            self.request.is_retry,
            sent_text(&self.request, attempt),
        );
        self.host.log(LogEvent::RequestDone, &detail);
    }
}

/// Returns when an attempt was sent, in milliseconds since the request's
/// arrival, the version that its target was believed to serve then, and how
/// long that version was still allowed to start work.
fn sent_text<P>(request: &Admission, attempt: &Attempt<P>) -> String
where
    P: Dialect + Store + 'static,
{
    let sent_at_ms = attempt.sent_ms.saturating_sub(request.arrived_ms);
    let Some(served) = attempt.served else {
        return format!("sent_at_ms={sent_at_ms} serves=none");
    };
    let version = served.version;
    let bound = match served.bound_left_ms {
        Some(ms) => ms.to_string(),
        None => "none".to_string(),
    };
    format!("sent_at_ms={sent_at_ms} serves={version} bound_left_ms={bound}")
}
