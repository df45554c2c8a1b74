//! Handles one request, from its head to its answer.

use std::{ops::Range, pin::Pin, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::{Body, Incoming},
    header::EXPECT,
    http::request::Parts,
};
use raildale_core::{
    Code, LogEvent, Name,
    gateway::{
        Admission, Fingerprint, Fingerprints, Outcome, Refusal, RequestHead,
        RouteKind,
        outcomes::Silence,
        request::{Dispatch, Next},
    },
};

use super::{
    EntryHost,
    answer_memory::ReadFailure,
    attempt::{Attempt, Cause, Opened, is_answer},
    bodies::{BodyBounds, RequestBody},
    callers::{self, RequestGuard},
    heads,
    hedge::{HedgeOutcome, PendingAttempt, Progress, Takeover},
    refusals::{host_refusal, refuse, respond},
    stream_body,
    upstream::{Connection, SendFailure},
};
use crate::fleet::{
    edge::{AttemptMetadata, Dialect, Store},
    steady_clock::now_ms,
};

/// The body of an answer to a caller.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyFailure>>>;

/// Why an answer's body is incomplete.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
pub enum BodyFailure {
    /// the target's stream broke off and could not be resumed elsewhere
    Broken,
}

impl std::error::Error for BodyFailure {}

/// A request in progress.
#[derive(Debug)]
pub struct Exchange<P: Dialect + Store + 'static> {
    /// The shared state of the entry host.
    pub host: Rc<EntryHost<P>>,
    /// The gateway's state of the request.
    pub request: Admission,
    /// The request's head.
    pub head: RequestHead,
    /// The fingerprints, which retries of the request share.
    pub fingerprints: Fingerprints,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: RequestBody,
    _progress: RequestGuard<P>,
}

impl<P: Dialect + Store + 'static> Drop for Exchange<P> {
    fn drop(&mut self) {
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.stop_waiting(&mut self.request);
    }
}

/// The time that a caller is assumed to wait if it doesn't tell and its route
/// is not known yet, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 1_500;

/// When a caller may try again for whose body there was no memory, in
/// milliseconds. A large body arrives in less, and other entry hosts have
/// memory of their own.
const BODY_RETRY_MS: Range<u64> = 100..500;

/// What a caller gets.
enum Answer<P: Dialect + Store + 'static> {
    /// A whole answer.
    Whole(Response<AnswerBody>),
    /// A stream that a target has begun.
    Stream(Box<Opened<P>>),
}

/// Handles a caller's request and returns its answer.
pub async fn answer<P>(
    host: Rc<EntryHost<P>>,
    request: Request<Incoming>,
    progress: RequestGuard<P>,
) -> Response<AnswerBody>
where
    P: Dialect + Store + 'static,
{
    let (parts, mut incoming) = request.into_parts();
    let Some(head) = host.platform.request_head(&parts) else {
        let refusal = host_refusal(Code::Malformed, None);
        return refuse_unread(&host, "", refusal, incoming);
    };
    let arrived_ms = now_ms();
    let due_ms = arrived_ms + head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let bounds = match check_head(&host, &parts, &head) {
        Ok(organisation) => BodyBounds {
            organisation,
            max_bytes: host.limits().max_body_bytes,
            due_ms,
        },
        // Its body is not sent if the caller awaits to be asked for it.
        Err(refusal) if parts.headers.contains_key(EXPECT) => {
            return refuse(&host, &head.id, refusal);
        }
        Err(refusal) => {
            return refuse_unread(&host, &head.id, refusal, incoming);
        }
    };
    let record_progress = |bytes| progress.record_body(bytes);
    let reading = host.bodies.read(&mut incoming, bounds, record_progress);
    let read = reading.await;
    progress.record_arrived();
    let body = match read {
        Ok(body) => body,
        Err(code) => {
            let refusal = host_refusal(code, body_retry_ms(code));
            return refuse_unread(&host, &head.id, refusal, incoming);
        }
    };
    if host.refuses_new_requests() {
        let refusal = host_refusal(Code::HostLeaving, Some(0));
        return refuse(&host, &head.id, refusal);
    }
    let left_ms = due_ms.saturating_sub(now_ms());
    let hold_end_ms = host.hold_end_ms(left_ms);
    host.wait_until_ready(hold_end_ms).await;
    let draw = rand::random();
    let admitted = host.gateway.borrow_mut().admit(arrived_ms, &head, draw);
    let request = match admitted {
        Ok(request) => request,
        Err(refusal) => return refuse(&host, &head.id, refusal),
    };
    host.wait_until_informed(&request.service, hold_end_ms).await;
    let Parts { method, uri, headers, .. } = parts;
    let fingerprints = Fingerprints::new(fingerprint(&method, &head, &body))
        .with_parts(&head.shared_parts);
    let request = request.with_fingerprints(fingerprints.clone());
    let exchange = Exchange {
        host,
        request,
        head,
        fingerprints,
        method,
        uri,
        headers,
        body,
        _progress: progress,
    };
    exchange.run().await
}

fn fingerprint(
    method: &Method,
    head: &RequestHead,
    body: &RequestBody,
) -> Fingerprint {
    let method = method.as_str().as_bytes();
    let head_parts = [method, head.host.as_bytes(), head.path.as_bytes()];
    let parts: Vec<&[u8]> =
        head_parts.into_iter().chain(body.parts()).collect();
    Fingerprint::new(head.key.as_deref(), &parts)
}

/// Returns when a caller may try again whose body was not read, in
/// milliseconds; `None` if that says nothing.
fn body_retry_ms(code: Code) -> Option<u64> {
    match code {
        Code::BodyMemoryFull => Some(rand::random_range(BODY_RETRY_MS)),
        _ => None,
    }
}

/// Checks what is known of a request before its body is read. Returns the name
/// of its organisation.
fn check_head<P>(
    host: &EntryHost<P>,
    parts: &Parts,
    head: &RequestHead,
) -> Result<Option<Name>, Refusal>
where
    P: Dialect + Store + 'static,
{
    if heads::head_bytes(parts) > host.limits().max_header_bytes {
        return Err(host_refusal(Code::HeadTooLarge, None));
    }
    if host.refuses_new_requests() {
        return Err(host_refusal(Code::HostLeaving, Some(0)));
    }
    let organisation = host.gateway.borrow().organisation(head)?;
    Ok(organisation.map(|organisation| organisation.name.clone()))
}

/// Refuses a request whose body has not been read to its end.
fn refuse_unread<P>(
    host: &EntryHost<P>,
    id: &str,
    refusal: Refusal,
    body: Incoming,
) -> Response<AnswerBody>
where
    P: Dialect + Store + 'static,
{
    host.bodies.discard(body);
    refuse(host, id, refusal)
}

impl<P: Dialect + Store + 'static> Exchange<P> {
    async fn run(mut self) -> Response<AnswerBody> {
        let mut final_answers = self.host.final_answers.subscribe();
        let result = tokio::select! {
            biased;
            result = self.open_or_read() => result,
            _ = final_answers.wait_for(|are_due| *are_due) => {
                return self.answer_unfinished();
            }
        };
        match result {
            Answer::Whole(response) => response,
            Answer::Stream(opened) => stream_body::answer(self, *opened),
        }
    }

    /// Sends the request until a target has answered whole or has begun a
    /// stream, or the request is given up.
    async fn open_or_read(&mut self) -> Answer<P> {
        // A server error of a target, returned if no other target does better.
        let mut failed = None;
        loop {
            let opened = match self.open(None).await {
                Ok(opened) => opened,
                Err(refusal) => {
                    let response =
                        failed.unwrap_or_else(|| self.refuse(refusal));
                    return Answer::Whole(response);
                }
            };
            let status = opened.response.status();
            if opened.is_event_stream && status.is_success() {
                return Answer::Stream(Box::new(opened));
            }
            let Some(response) = self.read_whole(opened).await else {
                continue;
            };
            if !status.is_server_error() || !self.request.may_ask_another() {
                return Answer::Whole(response);
            }
            failed = Some(response);
        }
    }

    /// Returns the answer to a request that is in progress while this process
    /// is about to exit.
    fn answer_unfinished(&mut self) -> Response<AnswerBody> {
        // Its target may still run it.
        self.request.may_have_run |= !self.request.tried.is_empty();
        self.refuse(self.leaving_refusal())
    }

    /// Sends the request until a target answers with a valid head.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] once the request is given up.
    pub async fn open(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<Opened<P>, Refusal> {
        loop {
            let dispatch = self.next_dispatch().await?;
            let sent = self.attempt(&dispatch, resume_after).await?;
            let Some(mut opened) = sent else { continue };
            if opened.is_validated {
                return Ok(opened);
            }
            if let Some(outcome) = self.head_rejection(&opened) {
                if !self.end_rejected(opened, outcome) {
                    return Err(self.give_up(Code::Cut));
                }
                continue;
            }
            opened.is_validated = true;
            opened.is_event_stream =
                self.request.route.kind == RouteKind::Streaming;
            return Ok(opened);
        }
    }

    /// Waits until the request can be sent to a target.
    async fn next_dispatch(&mut self) -> Result<Dispatch, Refusal> {
        let since_ms = now_ms();
        loop {
            if self.must_refuse_waiting() {
                return Err(self.leaving_refusal());
            }
            let next = self.host.gateway.borrow_mut().next(
                now_ms(),
                &mut self.request,
                since_ms,
                rand::random(),
            );
            match next {
                Next::Send(dispatch) => return Ok(dispatch),
                Next::Refuse(refusal) => return Err(refusal),
                Next::Wait(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                }
            }
        }
    }

    /// Whether the request must not be passed on because this process exits
    /// too soon. A stream that has begun gains nothing from a refusal.
    fn must_refuse_waiting(&self) -> bool {
        let has_begun = self.request.last_event_ms.is_some();
        let is_late = self.host.refuses_waiting_requests()
            || !self.host.can_finish(&self.request);
        is_late && !has_begun
    }

    /// Returns the refusal of a request that waits while this process shuts
    /// down. The caller may send it elsewhere at once.
    fn leaving_refusal(&self) -> Refusal {
        let mut refusal = self.give_up(Code::HostLeaving);
        refusal.retry_after_ms = refusal.retry_after_ms.map(|_| 0);
        refusal
    }

    /// Sends the request to one target and waits for the answer's head.
    /// Returns `None` if none arrived and the request may go elsewhere.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if none arrived and the request must not be sent again.
    async fn attempt(
        &mut self,
        dispatch: &Dispatch,
        resume_after: Option<&str>,
    ) -> Result<Option<Opened<P>>, Refusal> {
        let target = &dispatch.target;
        let mut attempt = Attempt::new(
            &self.host,
            &self.request,
            &self.fingerprints,
            target,
        );
        let pending = PendingAttempt {
            target,
            sent_version: attempt.sent_version(),
            progress: Progress::Sent,
            resume_after,
        };
        let may_repeat = self.request.route.may_repeat();
        let pool = self.host.pool.clone();
        let mut failure = SendFailure::NotSent;
        let mut cause = Cause::Target;
        let mut connections = pool.connections(dispatch.address, may_repeat);
        while let Some(opened) = connections.next().await {
            let mut connection = match opened {
                Ok(connection) => connection,
                Err(reason) => {
                    failure = reason;
                    break;
                }
            };
            let Some(request) = self.target_request(dispatch, resume_after)
            else {
                // Says nothing about the target: the attempt is withdrawn.
                return Err(self.give_up(Code::NoTarget));
            };
            let sending = async move {
                let sent = connection.send(request).await;
                (sent, connection)
            };
            let is_good = self.ends_wait();
            match self.hedge(pending, sending, is_good).await {
                HedgeOutcome::Own((Ok(response), connection)) => {
                    let attempt = attempt.with_connection(connection);
                    return Ok(Some(Opened::new(response, attempt)));
                }
                HedgeOutcome::Own((Err(SendFailure::NotSent), _)) => continue,
                HedgeOutcome::Own((Err(reason), _)) => {
                    failure = reason;
                    break;
                }
                HedgeOutcome::Other(other) => {
                    let Takeover { opened, silence, failed } = *other;
                    self.end_silent(attempt, dispatch, silence, failed);
                    return Ok(Some(opened));
                }
                HedgeOutcome::Over(given_up) => {
                    failure = SendFailure::Lost;
                    cause = given_up;
                    break;
                }
            }
        }
        let outcome = outcome_of(failure);
        self.host.pool.close_idle(dispatch.address);
        self.log_attempt(&attempt, outcome, 0, cause);
        match attempt.end(&mut self.request, outcome) {
            true => Ok(None),
            false => Err(self.give_up(Code::Unknown)),
        }
    }

    /// Ends an attempt that had no valid answer before another one did.
    fn end_silent(
        &mut self,
        mut attempt: Attempt<P>,
        dispatch: &Dispatch,
        silence: Silence,
        failed: Option<SendResult>,
    ) {
        let (outcome, cause) = match failed {
            Some((Ok(response), connection)) => {
                let attempt = attempt.with_connection(connection);
                let opened = Opened::new(response, attempt);
                let outcome =
                    self.head_rejection(&opened).unwrap_or(Outcome::Whole);
                self.end_rejected(opened, outcome);
                return;
            }
            Some((Err(failure), _)) => (outcome_of(failure), Cause::Target),
            None => (Outcome::Broken, Cause::Silence(silence)),
        };
        self.host.pool.close_idle(dispatch.address);
        self.log_attempt(&attempt, outcome, 0, cause);
        attempt.end(&mut self.request, outcome);
    }

    /// Ends an attempt whose answer is not passed on. Returns whether the
    /// request may be sent again.
    fn end_rejected(
        &mut self,
        mut opened: Opened<P>,
        outcome: Outcome,
    ) -> bool {
        let status = opened.response.status().as_u16();
        self.log_attempt(&opened.attempt, outcome, status, Cause::Target);
        opened.attempt.end(&mut self.request, outcome)
    }

    /// Returns a check for answers that end the wait for a second attempt: the
    /// head is valid, and no other target could do better.
    fn ends_wait(&self) -> impl Fn(&SendResult) -> bool + use<P> {
        let host = self.host.clone();
        let id = self.head.id.clone();
        move |(sent, _)| {
            let Ok(response) = sent else { return false };
            if !is_answer(response) {
                return false;
            }
            let (parts, ()) = response_head(response);
            let head = host.platform.answer_head(&parts, &id);
            let counts =
                head.is_for_this_attempt && head.is_signed && !head.is_encoded;
            let has_run = !head.is_misdirected && !head.is_not_run;
            counts && has_run && !response.status().is_server_error()
        }
    }

    /// Returns the request to a target; `None` if it cannot be expressed.
    fn target_request(
        &self,
        dispatch: &Dispatch,
        resume_after: Option<&str>,
    ) -> Option<Request<RequestBody>> {
        let metadata = AttemptMetadata {
            target: dispatch.target.clone(),
            budget_ms: self.request.due_ms.saturating_sub(now_ms()),
            organisation: self
                .request
                .organisation
                .as_ref()
                .map(|organisation| organisation.name.clone()),
            version: dispatch.version,
            urgency: dispatch.urgency,
            resume_after: resume_after.map(str::to_string),
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() =
            self.host.platform.target_headers(&self.headers, &metadata)?;
        Some(request)
    }

    /// Returns the outcome of the attempt if its head is rejected; `None` if
    /// it is valid.
    fn head_rejection(&self, opened: &Opened<P>) -> Option<Outcome> {
        // Bytes that are no answer say nothing, also not that the request was
        // not run.
        if !is_answer(&opened.response) {
            return Some(Outcome::Broken);
        }
        let (parts, ()) = response_head(&opened.response);
        let head = self.host.platform.answer_head(&parts, &self.head.id);
        if head.is_for_this_attempt && !head.is_misdirected {
            self.host.record_notice(&opened.attempt, head.notice);
        }
        if !head.is_for_this_attempt || head.is_encoded {
            return Some(Outcome::Broken);
        }
        if head.is_misdirected {
            return Some(Outcome::Misdirected);
        }
        if head.is_not_run {
            return Some(Outcome::Refused);
        }
        (!head.is_signed).then_some(Outcome::Broken)
    }

    /// Reads an answer that is not a stream. Returns `None` if it broke off
    /// and the request may go elsewhere.
    async fn read_whole(
        &mut self,
        opened: Opened<P>,
    ) -> Option<Response<AnswerBody>> {
        let Opened { response, mut attempt, is_unframed, .. } = opened;
        let (parts, body) = response.into_parts();
        let remaining_ms = self.request.due_ms.saturating_sub(now_ms()).max(1);
        let reading = self.host.answer_memory.read(body);
        let remaining = Duration::from_millis(remaining_ms);
        let read = match tokio::time::timeout(remaining, reading).await {
            Ok(Ok((body, _)))
                if is_unframed
                    && body.is_empty()
                    && parts.status.is_success() =>
            {
                Err(Cause::NoBody)
            }
            Ok(Ok(_)) if is_unframed && !attempt.is_target_alive().await => {
                Err(Cause::TargetGone)
            }
            Ok(Ok(read)) => Ok(read),
            Ok(Err(ReadFailure::Broken)) => Err(Cause::Target),
            Ok(Err(ReadFailure::Oversized)) => Err(Cause::Oversized),
            Err(_) => Err(Cause::Deadline),
        };
        let (body, reservation) = match read {
            Ok(read) => read,
            Err(cause) => {
                let status = parts.status.as_u16();
                let outcome = Outcome::Broken;
                self.log_attempt(&attempt, outcome, status, cause);
                attempt.drop_connection();
                if attempt.end(&mut self.request, Outcome::Broken) {
                    return None;
                }
                let refusal = self.give_up(Code::Cut);
                return Some(self.refuse(refusal));
            }
        };
        attempt.record_begun(&mut self.request);
        match parts.status.is_success() {
            true => attempt.end_with_success(&mut self.request),
            // The target is alive, but did not do what was asked.
            false => {
                attempt.end(&mut self.request, Outcome::Whole);
            }
        }
        let mut response = Response::new(callers::full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() =
            self.host.platform.caller_headers(&parts.headers);
        reservation.add_to(&mut response);
        self.log_done(&attempt, parts.status, "");
        Some(response)
    }

    /// Returns the refusal that ends the request.
    pub fn give_up(&self, code: Code) -> Refusal {
        self.host.gateway.borrow().give_up(&self.request, code)
    }

    fn refuse(&self, refusal: Refusal) -> Response<AnswerBody> {
        let event = match self.request.may_have_run {
            true => LogEvent::RequestFailed,
            false => LogEvent::RequestRefused,
        };
        let detail = format!(
            "id={} request={} parts={} route={} code={} obstacle={:?} \
             tried={} held_ms={}",
            self.head.id,
            self.fingerprints.request,
            self.fingerprints.parts_text(),
            self.request.route.name,
            refusal.code.number(),
            refusal.obstacle,
            self.request.tried.join(","),
            now_ms() - self.request.arrived_ms,
        );
        self.host.log(event, &detail);
        respond(&self.host, &self.head.id, refusal)
    }
}

/// Returns the outcome of an attempt without an answer head.
fn outcome_of(failure: SendFailure) -> Outcome {
    match failure {
        SendFailure::NotSent => Outcome::Unreachable,
        SendFailure::ConnectionRefused => Outcome::NobodyThere,
        SendFailure::Lost => Outcome::Broken,
    }
}

/// The result of sending a request, and the connection that was used.
type SendResult = (Result<Response<Incoming>, SendFailure>, Connection);

fn response_head(
    response: &Response<Incoming>,
) -> (hyper::http::response::Parts, ()) {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    head.into_parts()
}
