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
/// arrival, the version that its target was believed to serve then, how long
/// that version was still allowed to start work, and the version on which it
/// ran.
fn sent_text<P>(request: &Admission, attempt: &Attempt<P>) -> String
where
    P: Dialect + Store + 'static,
{
    let sent_at_ms = attempt.sent_ms.saturating_sub(request.arrived_ms);
    let or_none = |value: Option<u64>| {
        value.map_or("none".to_string(), |value| value.to_string())
    };
    let served = attempt.served;
    format!(
        "sent_at_ms={sent_at_ms} serves={} bound_left_ms={} ran={}",
        or_none(served.map(|served| served.version)),
        or_none(served.and_then(|served| served.bound_left_ms)),
        or_none(attempt.run_version),
    )
}
