//! How long a caller's connection rests between requests.

use std::{cell::Cell, rc::Rc, time::Duration};

use raildale_core::gateway::routes::Limits;

use crate::fleet::steady_clock::now_ms;

/// What is added to the time that a connection may rest: callers take up
/// those that have rested for less.
const IDLE_MARGIN: Duration = Duration::from_millis(2_000);

/// How long a connection may rest under some limits.
pub fn idle_most(limits: Limits) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN
}

/// Since when a connection rests.
#[derive(Clone, Debug)]
pub struct Rest {
    /// `None` while a request is in progress.
    since_ms: Rc<Cell<Option<u64>>>,
}

impl Rest {
    /// A connection that rests from now on.
    pub fn begin() -> Rest {
        Rest { since_ms: Rc::new(Cell::new(Some(now_ms()))) }
    }

    /// Notes that a request is in progress.
    pub fn stop(&self) {
        self.since_ms.set(None);
    }

    /// Notes that the request in progress has its answer.
    pub fn start(&self) {
        self.since_ms.set(Some(now_ms()));
    }

    /// Waits until it has rested for longer than the limits in force allow.
    pub async fn is_over(&self, limits: impl Fn() -> Limits) {
        loop {
            let most = idle_most(limits());
            let rested = self.since_ms.get().map(rested);
            let left = most.saturating_sub(rested.unwrap_or_default());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
}

fn rested(since_ms: u64) -> Duration {
    Duration::from_millis(now_ms().saturating_sub(since_ms))
}
