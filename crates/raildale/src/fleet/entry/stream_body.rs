//! An answer that is a stream of events.
//!
//! Events are passed on whole, as they come. A stream that breaks off goes
//! on at another target after the last event that left here.

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

use super::{
    attempt::{Attempt, Cause, Opened},
    hedge::{Ended, Other, Watched},
    proxy::{AnswerBody, BodyFailure, Exchange},
};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// The answer to a request whose first attempt has opened a stream.
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
    let relay = Relay {
        exchange,
        body: opened.response.into_body(),
        attempt: opened.attempt,
        begun: opened.begun.freeze(),
        splitter: EventSplitter::new(),
        pace: Pace::default(),
        is_over: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let body: AnswerBody = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct Relay<P: Dialect + Store + 'static> {
    exchange: Exchange<P>,
    body: Incoming,
    attempt: Attempt<P>,
    /// What was read of the body before it was passed on.
    begun: Bytes,
    splitter: EventSplitter,
    pace: Pace,
    is_over: bool,
}

/// When events left, for the log.
#[derive(Debug, Default)]
struct Pace {
    first_ms: Option<u64>,
    last_ms: u64,
    longest_pause_ms: u64,
}

impl Pace {
    fn note(&mut self, now_ms: u64) {
        if self.first_ms.is_some() {
            let pause_ms = now_ms.saturating_sub(self.last_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.first_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
    }
}

/// What a target's stream brought.
enum Piece {
    Data(Bytes),
    End,
    Broken(Cause),
}

impl<P: Dialect + Store + 'static> Relay<P> {
    async fn next(&mut self) -> Option<Result<Bytes, BodyFailure>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.piece().await {
                Piece::Data(data) => {
                    if let Some(whole) = self.splitter.push(data) {
                        let request = &mut self.exchange.request;
                        self.attempt.note_begun(request);
                        self.pace.note(now_ms());
                        return Some(Ok(whole));
                    }
                }
                Piece::End if self.splitter.has_partial() => {
                    if let Some(failure) = self.go_on(Cause::Target).await {
                        return Some(Err(failure));
                    }
                }
                Piece::End => return self.end(),
                Piece::Broken(cause) => {
                    if let Some(failure) = self.go_on(cause).await {
                        return Some(Err(failure));
                    }
                }
            }
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, BodyFailure>> {
        self.is_over = true;
        let request = &mut self.exchange.request;
        self.attempt.end_well(request);
        let target = self.attempt.target.clone();
        let first_ms = self
            .pace
            .first_ms
            .unwrap_or(self.pace.last_ms)
            .saturating_sub(self.exchange.request.arrived_ms);
        let pace = format!(
            "first_ms={first_ms} longest_pause_ms={}",
            self.pace.longest_pause_ms
        );
        self.exchange.host.metrics.record("first_event_ms", "", first_ms);
        self.exchange.log_done(&target, hyper::StatusCode::OK, &pace);
        None
    }

    /// The next bytes of the target's stream, or of another's that has taken
    /// it up.
    async fn piece(&mut self) -> Piece {
        let has_event = self.pace.first_ms.is_some();
        self.exchange.request.last_event_ms =
            has_event.then_some(self.pace.last_ms);
        loop {
            if !self.begun.is_empty() {
                return Piece::Data(std::mem::take(&mut self.begun));
            }
            let watched = Watched {
                target: &self.attempt.target,
                has_begun: true,
                resume_after: self.splitter.last_id(),
            };
            let has_partial = self.splitter.has_partial();
            let is_good = |frame: &Option<Result<_, _>>| match frame {
                Some(frame) => frame.is_ok(),
                None => !has_partial,
            };
            let frame = self.body.frame();
            match self.exchange.hedge(watched, frame, is_good).await {
                Ended::Own(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Piece::Data(data),
                    Err(_trailers) => continue,
                },
                Ended::Own(Some(Err(_))) => {
                    return Piece::Broken(Cause::Target);
                }
                Ended::Own(None) => return Piece::End,
                Ended::Other(other) => {
                    let Other { opened, silence, failed } = *other;
                    let cause = match failed {
                        Some(_) => Cause::Target,
                        None => Cause::Silence(silence),
                    };
                    self.switch(opened, cause);
                }
                Ended::Over(cause) => return Piece::Broken(cause),
            }
        }
    }

    /// Goes on with another target's stream.
    fn switch(&mut self, opened: Opened<P>, cause: Cause) {
        let from = self.attempt.target.clone();
        let outcome = Outcome::Broken;
        self.exchange.log_attempt(&self.attempt, outcome, 200, cause);
        self.attempt.discard();
        self.attempt.end(&mut self.exchange.request, outcome);
        self.take_up(&from, opened);
    }

    fn take_up(&mut self, from: &str, opened: Opened<P>) {
        self.splitter.discard_partial();
        self.body = opened.response.into_body();
        self.attempt = opened.attempt;
        self.begun = opened.begun.freeze();
        self.log_resumed(from, self.splitter.last_id());
    }

    /// Takes the stream up at another target; a failure ends it visibly.
    async fn go_on(&mut self, cause: Cause) -> Option<BodyFailure> {
        let request = &mut self.exchange.request;
        self.attempt.discard();
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
                    self.take_up(&target, opened);
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
            self.exchange.fingerprint,
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

impl<P: Dialect + Store + 'static> Drop for Relay<P> {
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
