//! The process's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::boot_time;

/// A clock of milliseconds since the Unix epoch that never runs backwards.
///
/// The wall clock is read only once, at start, so that a later step of it
/// cannot make an expired run key valid again.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Duration,
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Clock {
        let wall =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall, start: boot_time::now() }
    }

    /// Returns the current time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        let passed = boot_time::now().saturating_sub(self.start);
        (self.wall + passed).as_millis() as u64
    }

    /// Returns a number that differs at each start of a process: the start
    /// time in microseconds.
    pub fn incarnation(&self) -> u64 {
        self.wall.as_micros() as u64
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
