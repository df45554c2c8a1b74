//! Answers that are event streams.
//!
//! Only whole events are passed on, as they arrive. A stream that breaks off
//! is resumed at another target after the last event that was passed on.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
};
use raildale_core::{
    Code, LogEvent,
    gateway::{EventSplitter, Outcome},
};
use tokio::sync::OwnedSemaphorePermit;

use super::{
    answer_memory::SMALL_BYTES,
    attempt::{Attempt, Cause, Opened},
    hedge::{HedgeOutcome, PendingAttempt, Progress, Takeover},
    proxy::{AnswerBody, BodyFailure, Exchange},
};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// Returns the answer to a request whose first attempt has opened a stream.
pub fn answer<P>(
    exchange: Exchange<P>,
    opened: Opened<P>,
) -> Response<AnswerBody>
where
    P: Dialect + Store + 'static,
{
    let status = opened.response.status();
    let headers =
        exchange.host.platform.caller_headers(opened.response.headers());
    let stream_state = ResumableStream {
        exchange,
        is_unframed: opened.is_unframed,
        body: opened.response.into_body(),
        attempt: opened.attempt,
        buffered: opened.buffered.freeze(),
        splitter: EventSplitter::new(),
        event_memory: None,
        event_times: EventTimes::default(),
        is_over: false,
    };
    let frames = stream::unfold(stream_state, |mut stream_state| async move {
        let next = stream_state.next().await?;
        Some((next.map(Frame::data), stream_state))
    });
    let body: AnswerBody = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct ResumableStream<P: Dialect + Store + 'static> {
    exchange: Exchange<P>,
    body: Incoming,
    /// Whether the body ends with its connection.
    is_unframed: bool,
    attempt: Attempt<P>,
    /// The part of the body that was read and not yet passed on.
    buffered: Bytes,
    splitter: EventSplitter,
    /// The memory for an incomplete event that is not small.
    event_memory: Option<OwnedSemaphorePermit>,
    event_times: EventTimes,
    is_over: bool,
}

/// When events were passed on, for the log.
#[derive(Debug, Default)]
struct EventTimes {
    first_ms: Option<u64>,
    last_ms: u64,
    longest_pause_ms: u64,
}

impl EventTimes {
    fn record_event(&mut self, now_ms: u64) {
        if self.first_ms.is_some() {
            let pause_ms = now_ms.saturating_sub(self.last_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
    }
}

/// Input from a target's stream.
enum StreamInput {
    Data(Bytes),
    End,
    Broken(Cause),
}

impl<P: Dialect + Store + 'static> ResumableStream<P> {
    async fn next(&mut self) -> Option<Result<Bytes, BodyFailure>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.next_input().await {
                StreamInput::Data(data) => {
                    if let Some(whole) = self.splitter.push(data) {
                        self.event_memory = None;
                        let request = &mut self.exchange.request;
                        self.attempt.record_begun(request);
                        self.event_times.record_event(now_ms());
                        return Some(Ok(whole));
                    }
                    let cause = match self.splitter.is_oversized() {
                        true => Some(Cause::Oversized),
                        false => self.reserve_event().await,
                    };
                    if let Some(cause) = cause
                        && let Some(failure) = self.resume(cause).await
                    {
                        return Some(Err(failure));
                    }
                }
                StreamInput::End => match self.cut_cause().await {
                    Some(cause) => {
                        if let Some(failure) = self.resume(cause).await {
                            return Some(Err(failure));
                        }
                    }
                    None => return self.end(),
                },
                StreamInput::Broken(cause) => {
                    if let Some(failure) = self.resume(cause).await {
                        return Some(Err(failure));
                    }
                }
            }
        }
    }

    /// Waits for the memory for an incomplete event that is not small. Returns
    /// why the stream must end if there is none in time.
    async fn reserve_event(&mut self) -> Option<Cause> {
        let needs_memory = self.splitter.partial_bytes() > SMALL_BYTES
            && self.event_memory.is_none();
        if !needs_memory {
            return None;
        }
        let due_ms = self.exchange.request.answer_due_ms();
        let left = Duration::from_millis(due_ms.saturating_sub(now_ms()));
        let reserving = self.exchange.host.answer_memory.reserve_event();
        match tokio::time::timeout(left, reserving).await {
            Ok(reserved) => {
                self.event_memory = reserved;
                None
            }
            Err(_) => Some(Cause::Deadline),
        }
    }

    /// Returns why a body that has ended is incomplete; `None` if it is
    /// complete.
    async fn cut_cause(&self) -> Option<Cause> {
        if self.splitter.has_partial() {
            return Some(Cause::Target);
        }
        if self.is_unframed && !self.attempt.has_begun {
            return Some(Cause::NoBody);
        }
        let is_cut = self.is_unframed && !self.attempt.is_target_alive().await;
        is_cut.then_some(Cause::TargetGone)
    }

    fn end(&mut self) -> Option<Result<Bytes, BodyFailure>> {
        self.is_over = true;
        let request = &mut self.exchange.request;
        self.attempt.end_with_success(request);
        let first_ms = self
            .event_times
            .first_ms
            .unwrap_or(self.event_times.last_ms)
            .saturating_sub(self.exchange.request.arrived_ms);
        let event_times = format!(
            "first_ms={first_ms} longest_pause_ms={}",
            self.event_times.longest_pause_ms
        );
        self.exchange.host.metrics.record("first_event_ms", "", first_ms);
        let status = hyper::StatusCode::OK;
        self.exchange.log_done(&self.attempt, status, &event_times);
        None
    }

    /// Returns the next bytes of the target's stream, or of another target's
    /// that replaces it.
    async fn next_input(&mut self) -> StreamInput {
        let has_event = self.event_times.first_ms.is_some();
        self.exchange.request.last_event_ms =
            has_event.then_some(self.event_times.last_ms);
        loop {
            if !self.buffered.is_empty() {
                return StreamInput::Data(std::mem::take(&mut self.buffered));
            }
            let progress = match self.attempt.has_begun {
                true => Progress::Begun,
                false => Progress::Opened,
            };
            let pending = PendingAttempt {
                target: &self.attempt.target,
                sent_version: self.attempt.sent_version(),
                progress,
                resume_after: self.splitter.last_id(),
            };
            let has_partial = self.splitter.has_partial();
            let is_good = |frame: &Option<Result<_, _>>| match frame {
                Some(frame) => frame.is_ok(),
                None => !has_partial,
            };
            let frame = self.body.frame();
            match self.exchange.hedge(pending, frame, is_good).await {
                HedgeOutcome::Own(Some(Ok(frame))) => {
                    match frame.into_data() {
                        Ok(data) => return StreamInput::Data(data),
                        Err(_trailers) => continue,
                    }
                }
                HedgeOutcome::Own(Some(Err(_))) => {
                    return StreamInput::Broken(Cause::Target);
                }
                HedgeOutcome::Own(None) => return StreamInput::End,
                HedgeOutcome::Other(other) => {
                    let Takeover { opened, silence, failed } = *other;
                    let cause = match failed {
                        Some(_) => Cause::Target,
                        None => Cause::Silence(silence),
                    };
                    self.switch_to(opened, cause);
                }
                HedgeOutcome::Over(cause) => {
                    return StreamInput::Broken(cause);
                }
            }
        }
    }

    /// Replaces the stream by that of a hedged attempt, and ends the current
    /// one.
    fn switch_to(&mut self, opened: Opened<P>, cause: Cause) {
        let from = self.attempt.target.clone();
        let outcome = Outcome::Broken;
        self.exchange.log_attempt(&self.attempt, outcome, 200, cause);
        self.attempt.drop_connection();
        self.attempt.end(&mut self.exchange.request, outcome);
        self.continue_with(&from, opened);
    }

    fn continue_with(&mut self, from: &str, opened: Opened<P>) {
        self.splitter.discard_partial();
        self.event_memory = None;
        self.is_unframed = opened.is_unframed;
        self.body = opened.response.into_body();
        self.attempt = opened.attempt;
        self.buffered = opened.buffered.freeze();
        self.log_resumed(from, self.splitter.last_id());
    }

    /// Resumes the stream at another target. Returns the failure to end the
    /// body with if that is not possible.
    async fn resume(&mut self, cause: Cause) -> Option<BodyFailure> {
        let request = &mut self.exchange.request;
        self.attempt.drop_connection();
        let may_repeat = self.attempt.end(request, Outcome::Broken);
        let target = self.attempt.target.clone();
        let outcome = Outcome::Broken;
        self.exchange.log_attempt(&self.attempt, outcome, 200, cause);
        let mut obstacle = None;
        if may_repeat && now_ms() < self.exchange.request.due_ms {
            let last_id = self.splitter.last_id().map(str::to_string);
            let resumed = self.exchange.open(last_id.as_deref()).await;
            match resumed {
                Ok(opened) if opened.response.status().is_success() => {
                    self.continue_with(&target, opened);
                    return None;
                }
                Ok(_) => {}
                Err(refusal) => obstacle = Some(refusal.obstacle),
            }
        }
        self.is_over = true;
        let detail = format!(
            "id={} request={} route={} target={target} code={} after={:?} \
             cause={cause:?} obstacle={obstacle:?} at_ms={}",
            self.exchange.head.id,
            self.exchange.fingerprints.request,
            self.exchange.request.route.name,
            Code::Cut.number(),
            self.splitter.last_id(),
            now_ms() - self.exchange.request.arrived_ms,
        );
        self.exchange.host.metrics.add("answers_cut_total", "", 1);
        self.exchange.host.log(LogEvent::RequestFailed, &detail);
        Some(BodyFailure::Broken)
    }

    fn log_resumed(&self, from: &str, after: Option<&str>) {
        let detail = format!(
            "id={} from={from} to={} after={after:?} at_ms={}",
            self.exchange.head.id,
            self.attempt.target,
            now_ms() - self.exchange.request.arrived_ms,
        );
        self.exchange.host.metrics.add("streams_resumed_total", "", 1);
        self.exchange.host.log(LogEvent::StreamResumed, &detail);
    }
}

impl<P: Dialect + Store + 'static> Drop for ResumableStream<P> {
    fn drop(&mut self) {
        if !self.is_over {
            let detail = format!(
                "id={} target={} after={:?} at_ms={}",
                self.exchange.head.id,
                self.attempt.target,
                self.splitter.last_id(),
                now_ms() - self.exchange.request.arrived_ms,
            );
            self.exchange.host.log(LogEvent::CallerLeft, &detail);
        }
    }
}
