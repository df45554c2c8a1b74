//! Measures the scheduling delay of this process: with a fraction of a core it
//! may have to wait to run.

use std::{cell::Cell, rc::Rc, time::Duration};

use raildale_core::LogEvent;

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// The time between two measurements, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 100;

/// The minimum delay that is logged, in milliseconds. A target's silence
/// counts from 250 ms on.
const MIN_LOGGED_DELAY_MS: u64 = 200;

/// The pauses of this process, in milliseconds of the steady clock.
#[derive(Debug, Default)]
pub struct Pauses {
    /// When the last measurement ended; `None` before the first one.
    measured_ms: Cell<Option<u64>>,
    /// When the last pause ended; `None` if there was none.
    ended_ms: Cell<Option<u64>>,
}

impl Pauses {
    /// Records a measurement that was `late_ms` late.
    fn record(&self, now_ms: u64, late_ms: u64) {
        self.measured_ms.set(Some(now_ms));
        if late_ms >= MIN_LOGGED_DELAY_MS {
            self.ended_ms.set(Some(now_ms));
        }
    }

    /// Returns whether what is read now may have arrived during a pause.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        let overdue_ms = PROBE_INTERVAL_MS + MIN_LOGGED_DELAY_MS;
        let is_overdue = self
            .measured_ms
            .get()
            .is_some_and(|measured_ms| now_ms >= measured_ms + overdue_ms);
        let has_ended = self
            .ended_ms
            .get()
            .is_some_and(|ended_ms| now_ms < ended_ms + PROBE_INTERVAL_MS);
        is_overdue || has_ended
    }
}

/// Starts the measurements.
pub fn start<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    tokio::task::spawn_local(measure(host.clone()));
}

async fn measure<P>(host: Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    loop {
        let due_ms = now_ms() + PROBE_INTERVAL_MS;
        tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        let late_ms = now_ms().saturating_sub(due_ms);
        host.metrics.record("delay_ms", "", late_ms);
        host.pauses.record(now_ms(), late_ms);
        if late_ms >= MIN_LOGGED_DELAY_MS {
            let running = host.in_progress.get();
            let detail = format!("late_ms={late_ms} in_progress={running}");
            host.log(LogEvent::Delayed, &detail);
        }
    }
}
