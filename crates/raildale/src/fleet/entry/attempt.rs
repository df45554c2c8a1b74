//! One attempt of a request at one target.

use std::rc::Rc;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use raildale_core::{
    LogEvent, Name,
    gateway::{
        Admission, EventSplitter, Fingerprints, Outcome, outcomes::Silence,
        served::ServedVersion, target_end::StartId,
    },
};

use super::{EntryHost, answer_memory::SMALL_BYTES, upstream::Connection};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// Why an attempt ended without a complete answer; logged.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// The target or the connection to it failed.
    Target,
    /// The request's deadline passed.
    Deadline,
    /// The target's version was about to become too old to start on.
    Version,
    /// The target was silent, and another one began to answer.
    Silence(Silence),
    /// The answer, or an event of it, is longer than it may be.
    Oversized,
    /// The answer ended with its connection, as it may, but the target accepts
    /// no other one: it crashed within the answer.
    TargetGone,
    /// The answer ended with its connection before any of its body: its target
    /// stopped in the head.
    NoBody,
}

/// An attempt whose answer head has arrived.
#[derive(Debug)]
pub struct Opened<P: Dialect + Store + 'static> {
    /// The answer; its body is unread except for `buffered`.
    pub response: Response<Incoming>,
    /// The attempt.
    pub attempt: Attempt<P>,
    /// Whether the answer is an event stream.
    pub is_event_stream: bool,
    /// Whether the answer has neither a length nor chunks, so that it ends with
    /// its connection.
    pub is_unframed: bool,
    /// Whether the head has passed validation.
    pub is_validated: bool,
    /// The part of the body that has been read.
    pub buffered: BytesMut,
}

impl<P: Dialect + Store + 'static> Opened<P> {
    /// Creates it from an answer of which only the head was read.
    pub fn new(
        response: Response<Incoming>,
        mut attempt: Attempt<P>,
    ) -> Opened<P> {
        let is_unframed = is_unframed(&response);
        let platform = &attempt.host.platform;
        attempt.run_version = platform.run_version(response.headers());
        Opened {
            response,
            attempt,
            is_event_stream: false,
            is_unframed,
            is_validated: false,
            buffered: BytesMut::new(),
        }
    }

    /// Reads an event stream up to the end of its first event, or of the
    /// stream. Returns false if the body fails or ends within an event, or if
    /// the event is too long.
    pub async fn read_first_event(&mut self) -> bool {
        let mut splitter = EventSplitter::new();
        let mut reserved = None;
        loop {
            let data = match self.response.body_mut().frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return false,
                None => return !splitter.has_partial(),
            };
            self.buffered.extend_from_slice(&data);
            if splitter.push(data).is_some() {
                return true;
            }
            if splitter.is_oversized() {
                return false;
            }
            if splitter.partial_bytes() > SMALL_BYTES && reserved.is_none() {
                let memory = &self.attempt.host.answer_memory;
                reserved = memory.reserve_event().await;
            }
        }
    }
}

/// Returns whether a head is that of a final answer of HTTP: its status is one
/// of a final answer, and it announces no body where there can be none.
pub fn is_answer(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let headers = response.headers();
    match status.as_u16() {
        204 => {
            let length = headers.get(CONTENT_LENGTH);
            length.is_none_or(|length| length == "0")
                && !headers.contains_key(TRANSFER_ENCODING)
        }
        200..=599 => true,
        _ => false,
    }
}

/// Returns whether an answer has neither a length nor chunks.
fn is_unframed(response: &Response<Incoming>) -> bool {
    let has_length = response.body().size_hint().exact().is_some();
    !has_length && !response.headers().contains_key(TRANSFER_ENCODING)
}

/// An attempt of a request at a target. The gateway stops counting it when it
/// ends or is dropped.
#[derive(Debug)]
pub struct Attempt<P: Dialect + Store + 'static> {
    host: Rc<EntryHost<P>>,
    /// The target.
    pub target: Name,
    /// The path of the target's health checks; empty if there are none.
    health_path: Name,
    fingerprints: Fingerprints,
    /// The start of the target to which the request was sent.
    pub start: Option<StartId>,
    connection: Option<Connection>,
    /// The version that the target was believed to serve when the request was
    /// sent; `None` if that was not known.
    pub served: Option<ServedVersion>,
    /// The version on which it ran, as the target says; `None` if it does not.
    pub run_version: Option<u64>,
    /// When the request was sent, in milliseconds of the steady clock.
    pub sent_ms: u64,
    /// Whether an event, or a whole answer, has arrived.
    pub has_begun: bool,
    is_over: bool,
}

impl<P: Dialect + Store + 'static> Attempt<P> {
    /// Creates the attempt for a request that was just dispatched to `target`.
    pub fn new(
        host: &Rc<EntryHost<P>>,
        request: &Admission,
        fingerprints: &Fingerprints,
        target: &Name,
    ) -> Attempt<P> {
        let now = now_ms();
        let model = request.model.as_deref();
        let served = host.gateway.borrow().served_version(now, model, target);
        Attempt {
            host: host.clone(),
            target: target.clone(),
            health_path: request.service.health_path.clone(),
            fingerprints: fingerprints.clone(),
            start: request.sent_to,
            connection: None,
            served,
            run_version: None,
            sent_ms: now,
            has_begun: false,
            is_over: false,
        }
    }

    /// Returns the version that the target was believed to serve when the
    /// request was sent; `None` if that was not known.
    pub fn sent_version(&self) -> Option<u64> {
        self.served.map(|served| served.version)
    }

    /// Sets the connection on which the answer arrives.
    pub fn with_connection(mut self, connection: Connection) -> Attempt<P> {
        self.connection = Some(connection);
        self
    }

    /// Sets the request's state to that of this attempt: another one may have
    /// been sent since.
    fn restore(&self, request: &mut Admission) {
        request.sent_to = self.start;
        request.has_begun = self.has_begun;
    }

    /// Records that an event, or a whole answer, has arrived. Only the first
    /// call has an effect.
    pub fn record_begun(&mut self, request: &mut Admission) {
        if self.has_begun {
            return;
        }
        self.restore(request);
        self.has_begun = true;
        let now = now_ms();
        let took_ms = now.saturating_sub(self.sent_ms);
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.record_begun(now, request, &self.target, took_ms);
        let model = request.model.as_deref().unwrap_or_default();
        let min_version = gateway.versions.min_version(now, model, 0);
        drop(gateway);
        if let Some(version) = self.run_version.filter(|v| *v < min_version) {
            let detail = format!(
                "target={} version={version} min_version={min_version} \
                 took_ms={took_ms}",
                self.target
            );
            self.host.metrics.add("runs_too_old_total", "", 1);
            self.host.log(LogEvent::RunTooOld, &detail);
        }
    }

    /// Ends the attempt. Returns whether the request may be sent again.
    pub fn end(&mut self, request: &mut Admission, outcome: Outcome) -> bool {
        self.is_over = true;
        self.restore(request);
        let connection = self.connection.take();
        let is_reusable = matches!(
            outcome,
            Outcome::Whole | Outcome::Refused | Outcome::Misdirected
        );
        if let (true, Some(kept)) = (is_reusable, connection) {
            kept.keep();
        }
        let mut gateway = self.host.gateway.borrow_mut();
        let may_retry =
            gateway.on_attempt_ended(now_ms(), request, &self.target, outcome);
        drop(gateway);
        if outcome == Outcome::Broken {
            self.host.publish_quarantine_changes();
        }
        may_retry
    }

    /// Ends the attempt, whose answer is complete and a success.
    pub fn end_with_success(&mut self, request: &mut Admission) {
        self.end(request, Outcome::Whole);
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.record_answered(now_ms(), request);
    }

    /// Returns whether the start of the target that the request was sent to is
    /// still running: it accepts another connection. An answer that ends with
    /// its connection ends so too when its target crashes.
    pub async fn is_target_alive(&self) -> bool {
        let Some(connection) = &self.connection else { return false };
        let Ok(other) = connection.open_another().await else { return false };
        // While this process was paused the target may have started again.
        if self.host.pauses.is_recent(now_ms()) {
            return !self.is_other_start(other).await;
        }
        other.keep();
        true
    }

    /// Returns whether a health check is answered by another start than the one
    /// that the request was sent to; false if no answer tells.
    async fn is_other_start(&self, connection: Connection) -> bool {
        let Some(headers) = connection.check_health(&self.health_path).await
        else {
            return false;
        };
        let start = self.host.platform.answering_start(&headers);
        start.is_some_and(|start| start != self.target)
    }

    /// Closes the attempt's connection, so that it is not reused.
    pub fn drop_connection(&mut self) {
        self.connection = None;
    }
}

impl<P: Dialect + Store + 'static> Drop for Attempt<P> {
    fn drop(&mut self) {
        if !self.is_over {
            self.host.gateway.borrow_mut().withdraw(
                now_ms(),
                &self.target,
                self.has_begun,
                &self.fingerprints,
            );
        }
    }
}
