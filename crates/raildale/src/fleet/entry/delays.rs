//! Measures the scheduling delay of this process: with a fraction of a core it
//! may have to wait to run.

use std::{rc::Rc, time::Duration};

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
        if late_ms >= MIN_LOGGED_DELAY_MS {
            let running = host.in_progress.get();
            let detail = format!("late_ms={late_ms} in_progress={running}");
            host.log(LogEvent::Delayed, &detail);
        }
    }
}
