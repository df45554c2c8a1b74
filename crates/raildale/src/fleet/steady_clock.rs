//! A clock in milliseconds since about the start of the process. It does not
//! jump when the time of day is set, and it counts the time for which the
//! machine is suspended.

use std::{sync::OnceLock, time::Duration};

use crate::boot_time;

static START: OnceLock<Duration> = OnceLock::new();

/// The clock's value at the start, far from 0 so that times before the start
/// can be represented.
const START_MS: u64 = 1_000_000;

/// Returns the current time in milliseconds, offset by `START_MS`.
pub fn now_ms() -> u64 {
    let now = boot_time::now();
    let start = START.get_or_init(|| now);
    START_MS + now.saturating_sub(*start).as_millis() as u64
}
