//! Hedging: a second attempt while the first one's target is silent.
//!
//! Silence may come from the network, from an agent or from this process, and
//! an answer in progress is not abandoned for it: the first attempt continues
//! until another target has begun to answer, or the request's deadline passes.

use std::{pin::Pin, rc::Rc, time::Duration};

use raildale_core::{
    Name,
    gateway::{Admission, outcomes::Silence, request::MIN_RETRY_AFTER_MS},
};

use super::{
    EntryHost,
    attempt::{Cause, Opened},
    proxy::Exchange,
};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// The interval at which a pending attempt is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(CHECK_INTERVAL_MS);

/// The same in milliseconds. Silence is counted in such intervals, because
/// while this process does not run it reads nothing, whatever has arrived.
const CHECK_INTERVAL_MS: u64 = 100;

/// Why the wait for an attempt ended.
#[derive(Debug)]
pub enum HedgeOutcome<T, P: Dialect + Store + 'static> {
    /// The attempt produced its result.
    Own(T),
    /// Another target has begun to answer.
    Other(Box<Takeover<T, P>>),
    /// The attempt must be given up.
    Over(Cause),
}

/// A second attempt that has begun to answer, and the state of the first.
#[derive(Debug)]
pub struct Takeover<T, P: Dialect + Store + 'static> {
    /// The second attempt.
    pub opened: Opened<P>,
    /// The silence that led to it.
    pub silence: Silence,
    /// The result of the first attempt, if it failed.
    pub failed: Option<T>,
}

/// How far the answer to an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing has arrived.
    Sent,
    /// The head of the answer has arrived. Work may still not have begun.
    Opened,
    /// An event has arrived, so that work has begun.
    Begun,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct PendingAttempt<'a> {
    /// Its target.
    pub target: &'a Name,
    /// The version that the target was believed to serve when the request was
    /// sent; `None` if that was not known.
    pub sent_version: Option<u64>,
    /// How far its answer has come.
    pub progress: Progress,
    /// The ID of the event after which another target resumes the stream.
    pub resume_after: Option<&'a str>,
}

impl<P: Dialect + Store + 'static> Exchange<P> {
    /// Waits for the result of an attempt, and starts another attempt as well
    /// while its target is silent. A result that `is_good` rejects does not
    /// end the wait for the other attempt.
    pub async fn hedge<F: Future>(
        &mut self,
        pending: PendingAttempt<'_>,
        own: F,
        is_good: impl Fn(&F::Output) -> bool,
    ) -> HedgeOutcome<F::Output, P> {
        let mut own = std::pin::pin!(own);
        let mut silent_ms = 0;
        let mut next_hedge_ms = 0;
        loop {
            let checked_ms = now_ms();
            let remaining_ms =
                self.deadline_ms(pending).saturating_sub(checked_ms);
            let interval =
                CHECK_INTERVAL.min(Duration::from_millis(remaining_ms));
            if let Ok(output) = tokio::time::timeout(interval, &mut own).await
            {
                return HedgeOutcome::Own(output);
            }
            silent_ms += CHECK_INTERVAL_MS;
            if let Some(cause) = self.stop_cause(pending) {
                return HedgeOutcome::Over(cause);
            }
            if now_ms() < next_hedge_ms {
                continue;
            }
            let Some(silence) = self.silence(pending, silent_ms) else {
                continue;
            };
            match self.race(pending, own.as_mut(), &is_good).await {
                RaceOutcome::Own(output) => return HedgeOutcome::Own(output),
                RaceOutcome::Other(opened, failed) => {
                    let opened = *opened;
                    let other = Takeover { opened, silence, failed };
                    return HedgeOutcome::Other(Box::new(other));
                }
                RaceOutcome::Neither => {
                    next_hedge_ms = now_ms() + MIN_RETRY_AFTER_MS;
                }
            }
        }
    }

    /// Sends the request to another target while the first attempt continues,
    /// until the deadline of the first.
    async fn race<F: Future>(
        &mut self,
        pending: PendingAttempt<'_>,
        mut own: Pin<&mut F>,
        is_good: &impl Fn(&F::Output) -> bool,
    ) -> RaceOutcome<F::Output, P> {
        let attempts_before = self.request.tried.len();
        let over =
            version_too_old(self.host.clone(), self.request.clone(), pending);
        let mut over = std::pin::pin!(over);
        let left_ms = self.deadline_ms(pending).saturating_sub(now_ms());
        let deadline = tokio::time::sleep(Duration::from_millis(left_ms));
        let mut deadline = std::pin::pin!(deadline);
        // Boxed because the other attempt may be hedged in turn.
        let mut opening: Pin<Box<dyn Future<Output = _> + '_>> =
            Box::pin(self.open_until_begun(pending.resume_after));
        let mut failed = None;
        let mut is_abandoned = true;
        let outcome = loop {
            tokio::select! {
                biased;
                output = &mut own, if failed.is_none() => {
                    if is_good(&output) {
                        break RaceOutcome::Own(output);
                    }
                    failed = Some(output);
                }
                second = &mut opening => {
                    is_abandoned = false;
                    break RaceOutcome::of(second, failed);
                }
                () = &mut over => break RaceOutcome::of(None, failed),
                () = &mut deadline => break RaceOutcome::of(None, failed),
            }
        };
        drop(opening);
        // A target may still run what was sent to it and then abandoned.
        let is_sent = self.request.tried.len() > attempts_before;
        self.request.may_have_run |= is_abandoned && is_sent;
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.stop_waiting(&mut self.request);
        drop(gateway);
        self.host.metrics.add("hedges_total", outcome.label(), 1);
        outcome
    }

    /// Sends the request to other targets until the answer of one has begun.
    /// Returns `None` if no target answers or the answer is not a success.
    async fn open_until_begun(
        &mut self,
        resume_after: Option<&str>,
    ) -> Option<Opened<P>> {
        let mut opened = self.open(resume_after).await.ok()?;
        let is_success = opened.response.status().is_success();
        let has_begun = is_success
            && (!opened.is_event_stream
                || self.await_first_event(&mut opened).await);
        if !has_begun {
            self.request.may_have_run = true;
            return None;
        }
        Some(opened)
    }

    /// Waits for the first event of a stream. Returns false if there is none, or
    /// if it could begin on a version that is too old.
    async fn await_first_event(&self, opened: &mut Opened<P>) -> bool {
        let target = opened.attempt.target.clone();
        let pending = PendingAttempt {
            target: &target,
            sent_version: opened.attempt.sent_version(),
            progress: Progress::Opened,
            resume_after: None,
        };
        let request = self.request.clone();
        let over = version_too_old(self.host.clone(), request, pending);
        tokio::select! {
            has_begun = opened.read_first_event() => has_begun,
            () = over => false,
        }
    }

    /// Returns why an attempt must be given up; `None` if it may continue.
    fn stop_cause(&self, pending: PendingAttempt<'_>) -> Option<Cause> {
        if now_ms() >= self.deadline_ms(pending) {
            return Some(Cause::Deadline);
        }
        let is_too_old = is_too_old(&self.host, &self.request, pending);
        is_too_old.then_some(Cause::Version)
    }

    /// Returns when an attempt must end, whatever it has produced.
    fn deadline_ms(&self, pending: PendingAttempt<'_>) -> u64 {
        match pending.progress {
            Progress::Sent => self.request.due_ms,
            Progress::Opened | Progress::Begun => self.request.answer_due_ms(),
        }
    }

    fn silence(
        &self,
        pending: PendingAttempt<'_>,
        silent_ms: u64,
    ) -> Option<Silence> {
        self.host.gateway.borrow().silence(
            now_ms(),
            &self.request,
            pending.target,
            silent_ms,
            pending.progress != Progress::Sent,
        )
    }
}

/// Which of two attempts answered first.
enum RaceOutcome<T, P: Dialect + Store + 'static> {
    /// The first attempt, which was silent.
    Own(T),
    /// The second attempt, with the result of the first if that failed.
    Other(Box<Opened<P>>, Option<T>),
    /// Neither.
    Neither,
}

impl<T, P: Dialect + Store + 'static> RaceOutcome<T, P> {
    /// Returns the outcome for a second attempt that has ended and a first
    /// that may have failed.
    fn of(second: Option<Opened<P>>, failed: Option<T>) -> RaceOutcome<T, P> {
        match (second, failed) {
            (Some(opened), failed) => {
                RaceOutcome::Other(Box::new(opened), failed)
            }
            (None, Some(failed)) => RaceOutcome::Own(failed),
            (None, None) => RaceOutcome::Neither,
        }
    }

    /// Returns the label of the metric.
    fn label(&self) -> &'static str {
        match self {
            RaceOutcome::Own(_) => "ended=\"own\"",
            RaceOutcome::Other(..) => "ended=\"other\"",
            RaceOutcome::Neither => "ended=\"neither\"",
        }
    }
}

/// Waits until an attempt must be given up because of its version.
async fn version_too_old<P>(
    host: Rc<EntryHost<P>>,
    request: Admission,
    pending: PendingAttempt<'_>,
) where
    P: Dialect + Store + 'static,
{
    while !is_too_old(&host, &request, pending) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Whether an attempt whose work has not begun must be given up because its
/// target's version is about to become too old to start on.
fn is_too_old<P>(
    host: &EntryHost<P>,
    request: &Admission,
    pending: PendingAttempt<'_>,
) -> bool
where
    P: Dialect + Store + 'static,
{
    let PendingAttempt { target, sent_version, .. } = pending;
    let gateway = host.gateway.borrow();
    pending.progress != Progress::Begun
        && gateway.is_too_old(now_ms(), request, target, sent_version)
}
