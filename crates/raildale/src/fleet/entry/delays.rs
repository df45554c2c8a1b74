//! How late the process runs: on a part of a core it may wait for its turn.

use std::{rc::Rc, time::Duration};

use raildale_core::LogEvent;

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// Time between two looks, in milliseconds.
const LOOK_MS: u64 = 100;

/// A look that is late by this much is logged, in milliseconds: silence of a
/// target counts from 250 ms on.
const LOGGED_MS: u64 = 200;

/// Starts looking.
pub fn start<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    tokio::task::spawn_local(look(host.clone()));
}

async fn look<P>(host: Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    loop {
        let due_ms = now_ms() + LOOK_MS;
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let late_ms = now_ms().saturating_sub(due_ms);
        host.metrics.record("delay_ms", "", late_ms);
        if late_ms >= LOGGED_MS {
            let running = host.in_progress.get();
            let detail = format!("late_ms={late_ms} in_progress={running}");
            host.log(LogEvent::Delayed, &detail);
        }
    }
}
