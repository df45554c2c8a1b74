//! Idle time-outs of callers' connections.

use std::{cell::Cell, rc::Rc, time::Duration};

use raildale_core::gateway::routes::Limits;

use crate::fleet::steady_clock::now_ms;

/// Added to the idle time-out: callers reuse connections that were idle for
/// less than the time-out.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(2_000);

/// Returns how long a connection may be idle under `limits`.
pub fn max_idle(limits: Limits) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms) + IDLE_TIMEOUT_MARGIN
}

/// Measures how long a connection has been idle. Clones share their state.
#[derive(Clone, Debug)]
pub struct IdleTimer {
    /// `None` while a request is in progress.
    since_ms: Rc<Cell<Option<u64>>>,
}

impl IdleTimer {
    /// Creates a timer for a connection that is idle from now on.
    pub fn started() -> IdleTimer {
        IdleTimer { since_ms: Rc::new(Cell::new(Some(now_ms()))) }
    }

    /// Stops the timer while a request is in progress.
    pub fn pause(&self) {
        self.since_ms.set(None);
    }

    /// Restarts the timer once the request has been answered.
    pub fn restart(&self) {
        self.since_ms.set(Some(now_ms()));
    }

    /// Waits until the connection has been idle for longer than the limits in
    /// force allow.
    pub async fn expired(&self, limits: impl Fn() -> Limits) {
        loop {
            let max = max_idle(limits());
            let idle_for = self.since_ms.get().map(idle_for);
            let remaining = max.saturating_sub(idle_for.unwrap_or_default());
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }
}

fn idle_for(since_ms: u64) -> Duration {
    Duration::from_millis(now_ms().saturating_sub(since_ms))
}
