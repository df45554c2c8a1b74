//! A second attempt beside one whose target is silent.
//!
//! Silence may come from the way, from an agent or from this process, and an
//! answer in progress is not given up for it: the attempt stays until another
//! target has begun to answer, or the request's time is over.

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

/// How often an attempt that brings nothing is looked at.
const LOOK: Duration = Duration::from_millis(LOOK_MS);

/// The same in milliseconds. Silence is counted in looks: while this process
/// does not run it reads nothing, whatever has come.
const LOOK_MS: u64 = 100;

/// What ended the wait for an attempt.
#[derive(Debug)]
pub enum Ended<T, P: Dialect + Store + 'static> {
    /// It brought something.
    Own(T),
    /// Another target has begun to answer meanwhile.
    Other(Box<Other<T, P>>),
    /// It must not be waited for any longer.
    Over(Cause),
}

/// A second attempt that has begun, and what became of the first.
#[derive(Debug)]
pub struct Other<T, P: Dialect + Store + 'static> {
    /// The second attempt.
    pub opened: Opened<P>,
    /// Why it was made.
    pub silence: Silence,
    /// What the first one brought, if that was no success.
    pub failed: Option<T>,
}

/// An attempt that is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Watched<'a> {
    /// Its target.
    pub target: &'a Name,
    /// Whether its answer has begun.
    pub has_begun: bool,
    /// The event after which another target goes on.
    pub resume_after: Option<&'a str>,
}

impl<P: Dialect + Store + 'static> Exchange<P> {
    /// Waits for what an attempt brings, and for another one as well while
    /// its target is silent. What `is_good` rejects does not end the wait for
    /// the other one.
    pub async fn hedge<F: Future>(
        &mut self,
        watched: Watched<'_>,
        own: F,
        is_good: impl Fn(&F::Output) -> bool,
    ) -> Ended<F::Output, P> {
        let mut own = std::pin::pin!(own);
        let mut silent_ms = 0;
        let mut quiet_until_ms = 0;
        loop {
            let looked_ms = now_ms();
            let left_ms = self.due_ms(watched).saturating_sub(looked_ms);
            let look = LOOK.min(Duration::from_millis(left_ms));
            if let Ok(brought) = tokio::time::timeout(look, &mut own).await {
                return Ended::Own(brought);
            }
            silent_ms += LOOK_MS;
            if let Some(cause) = self.over(watched) {
                return Ended::Over(cause);
            }
            if now_ms() < quiet_until_ms {
                continue;
            }
            let Some(silence) = self.silence(watched, silent_ms) else {
                continue;
            };
            match self.race(watched, own.as_mut(), &is_good).await {
                Raced::Own(brought) => return Ended::Own(brought),
                Raced::Other(opened, failed) => {
                    let opened = *opened;
                    let other = Other { opened, silence, failed };
                    return Ended::Other(Box::new(other));
                }
                Raced::Neither => {
                    quiet_until_ms = now_ms() + MIN_RETRY_AFTER_MS;
                }
            }
        }
    }

    /// Asks another target, beside the attempt.
    async fn race<F: Future>(
        &mut self,
        watched: Watched<'_>,
        mut own: Pin<&mut F>,
        is_good: &impl Fn(&F::Output) -> bool,
    ) -> Raced<F::Output, P> {
        let tries = self.request.tried.len();
        let over = too_old(self.host.clone(), self.request.clone(), watched);
        let mut over = std::pin::pin!(over);
        // Boxed, since the other attempt may be hedged in turn.
        let mut beginning: Pin<Box<dyn Future<Output = _> + '_>> =
            Box::pin(self.begin(watched.resume_after));
        let mut failed = None;
        let mut is_dropped = true;
        let raced = loop {
            tokio::select! {
                biased;
                brought = &mut own, if failed.is_none() => {
                    if is_good(&brought) {
                        break Raced::Own(brought);
                    }
                    failed = Some(brought);
                }
                begun = &mut beginning => {
                    is_dropped = false;
                    break Raced::of(begun, failed);
                }
                () = &mut over => break Raced::of(None, failed),
            }
        };
        drop(beginning);
        // What was sent and is not waited for may run.
        let is_sent = self.request.tried.len() > tries;
        self.request.may_have_run |= is_dropped && is_sent;
        let mut gateway = self.host.gateway.borrow_mut();
        gateway.stop_waiting(&mut self.request);
        drop(gateway);
        self.host.metrics.add("hedges_total", raced.label(), 1);
        raced
    }

    /// Sends the request to another target until its answer has begun;
    /// `None` if there is none, or it is no success.
    async fn begin(
        &mut self,
        resume_after: Option<&str>,
    ) -> Option<Opened<P>> {
        let mut opened = self.open(resume_after).await.ok()?;
        let is_success = opened.response.status().is_success();
        let has_begun = is_success
            && (!opened.is_event_stream || opened.read_event().await);
        if !has_begun {
            self.request.may_have_run = true;
            return None;
        }
        Some(opened)
    }

    /// Why an attempt must not be waited for any longer; `None` if it may.
    fn over(&self, watched: Watched<'_>) -> Option<Cause> {
        if now_ms() >= self.due_ms(watched) {
            return Some(Cause::Deadline);
        }
        let is_too_old = is_too_old(&self.host, &self.request, watched);
        is_too_old.then_some(Cause::Version)
    }

    /// When an attempt is over, whatever it has brought.
    fn due_ms(&self, watched: Watched<'_>) -> u64 {
        match watched.has_begun {
            true => self.request.answer_due_ms(),
            false => self.request.due_ms,
        }
    }

    fn silence(
        &self,
        watched: Watched<'_>,
        silent_ms: u64,
    ) -> Option<Silence> {
        self.host.gateway.borrow().silence(
            now_ms(),
            &self.request,
            watched.target,
            silent_ms,
            watched.has_begun,
        )
    }
}

/// Which of two attempts came first.
enum Raced<T, P: Dialect + Store + 'static> {
    /// The one that was silent.
    Own(T),
    /// The other one; beside it what the silent one brought, if it failed.
    Other(Box<Opened<P>>, Option<T>),
    /// None so far.
    Neither,
}

impl<T, P: Dialect + Store + 'static> Raced<T, P> {
    /// Of a second attempt that is over, beside a first that may have failed.
    fn of(begun: Option<Opened<P>>, failed: Option<T>) -> Raced<T, P> {
        match (begun, failed) {
            (Some(opened), failed) => Raced::Other(Box::new(opened), failed),
            (None, Some(failed)) => Raced::Own(failed),
            (None, None) => Raced::Neither,
        }
    }

    /// The metric's label for it.
    fn label(&self) -> &'static str {
        match self {
            Raced::Own(_) => "ended=\"own\"",
            Raced::Other(..) => "ended=\"other\"",
            Raced::Neither => "ended=\"neither\"",
        }
    }
}

/// Waits until an attempt has to be withdrawn for its version.
async fn too_old<P>(
    host: Rc<EntryHost<P>>,
    request: Admission,
    watched: Watched<'_>,
) where
    P: Dialect + Store + 'static,
{
    while !is_too_old(&host, &request, watched) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether an attempt that has not begun must be withdrawn: its target's
/// version is about to be too old to start on.
fn is_too_old<P>(
    host: &EntryHost<P>,
    request: &Admission,
    watched: Watched<'_>,
) -> bool
where
    P: Dialect + Store + 'static,
{
    let gateway = host.gateway.borrow();
    !watched.has_begun && gateway.is_too_old(now_ms(), request, watched.target)
}
