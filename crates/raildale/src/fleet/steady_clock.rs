//! Milliseconds since the process started, from the steady clock.

use std::{sync::OnceLock, time::Instant};

static START: OnceLock<Instant> = OnceLock::new();

/// What the clock shows at the start: far from 0, so that moments before
/// the start can be told.
const START_MS: u64 = 1_000_000;

/// Now, in milliseconds. Steps of the time of day do not show.
pub fn now_ms() -> u64 {
    let start = START.get_or_init(Instant::now);
    START_MS + start.elapsed().as_millis() as u64
}
