//! A request at one target.

use std::rc::Rc;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use raildale_core::{
    Name,
    gateway::{
        Admission, EventSplitter, Fingerprint, Outcome, outcomes::Silence,
        target_end::StartId,
    },
};

use super::{EntryHost, upstream::Connection};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// What ended an attempt that brought no whole answer, for the log.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// The target, or the connection to it.
    Target,
    /// The request's time was over.
    Deadline,
    /// The target's version was about to be too old to start on.
    Version,
    /// The target was silent, and another one has begun to answer.
    Silence(Silence),
}

/// An attempt whose answer's head has come.
#[derive(Debug)]
pub struct Opened<P: Dialect + Store + 'static> {
    /// The answer; its body is unread but for what has `begun`.
    pub response: Response<Incoming>,
    /// The attempt.
    pub attempt: Attempt<P>,
    /// Whether it is a stream of events.
    pub is_event_stream: bool,
    /// Whether its head has been judged.
    pub is_judged: bool,
    /// What has been read of its body.
    pub begun: BytesMut,
}

impl<P: Dialect + Store + 'static> Opened<P> {
    /// An answer of which only the head is known.
    pub fn new(
        response: Response<Incoming>,
        attempt: Attempt<P>,
    ) -> Opened<P> {
        Opened {
            response,
            attempt,
            is_event_stream: false,
            is_judged: false,
            begun: BytesMut::new(),
        }
    }

    /// Reads a stream to the end of its first event, or of the stream. Says
    /// whether it has come.
    pub async fn read_event(&mut self) -> bool {
        let mut splitter = EventSplitter::new();
        loop {
            let data = match self.response.body_mut().frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return false,
                None => return !splitter.has_partial(),
            };
            self.begun.extend_from_slice(&data);
            if splitter.push(data).is_some() {
                return true;
            }
        }
    }
}

/// A request at a target; counted back when it ends or is dropped.
#[derive(Debug)]
pub struct Attempt<P: Dialect + Store + 'static> {
    host: Rc<EntryHost<P>>,
    /// The target.
    pub target: Name,
    fingerprint: Fingerprint,
    /// The start of it that has the request.
    pub start: Option<StartId>,
    connection: Option<Connection>,
    /// When the request was sent there.
    pub sent_ms: u64,
    /// Whether its answer has begun.
    pub has_begun: bool,
    is_over: bool,
}

impl<P: Dialect + Store + 'static> Attempt<P> {
    /// An attempt of the request that was just dispatched to `target`.
    pub fn new(
        host: &Rc<EntryHost<P>>,
        request: &Admission,
        fingerprint: Fingerprint,
        target: &Name,
    ) -> Attempt<P> {
        Attempt {
            host: host.clone(),
            target: target.clone(),
            fingerprint,
            start: request.sent_to,
            connection: None,
            sent_ms: now_ms(),
            has_begun: false,
            is_over: false,
        }
    }

    /// The same, with the connection that its answer comes by.
    pub fn with_connection(mut self, connection: Connection) -> Attempt<P> {
        self.connection = Some(connection);
        self
    }

    /// Makes the request's state that of this attempt: another one may have
    /// been sent since.
    fn restore(&self, request: &mut Admission) {
        request.sent_to = self.start;
        request.has_begun = self.has_begun;
    }

    /// Notes that an event, or a whole answer, has come.
    pub fn note_begun(&mut self, request: &mut Admission) {
        if self.has_begun {
            return;
        }
        self.restore(request);
        self.has_begun = true;
        let now = now_ms();
        let took_ms = now.saturating_sub(self.sent_ms);
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.note_begun(now, request, &self.target, took_ms);
    }

    /// Ends the attempt; says whether the request may be sent again.
    pub fn end(&mut self, request: &mut Admission, outcome: Outcome) -> bool {
        self.is_over = true;
        self.restore(request);
        let connection = self.connection.take();
        let is_sound = matches!(
            outcome,
            Outcome::Whole | Outcome::Refused | Outcome::Misdirected
        );
        if let (true, Some(kept)) = (is_sound, connection) {
            kept.keep();
        }
        let mut gateway = self.host.gateway.borrow_mut();
        let may_go_on =
            gateway.on_attempt_ended(now_ms(), request, &self.target, outcome);
        drop(gateway);
        if outcome == Outcome::Broken {
            self.host.note_suspects();
        }
        may_go_on
    }

    /// Ends the attempt, whose answer is whole and a success.
    pub fn end_well(&mut self, request: &mut Admission) {
        self.end(request, Outcome::Whole);
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.note_answered(now_ms(), request);
    }

    /// Ends the attempt without keeping its connection.
    pub fn discard(&mut self) {
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
                self.fingerprint,
            );
        }
    }
}
