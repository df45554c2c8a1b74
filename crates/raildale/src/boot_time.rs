//! Time since the machine booted, including time spent suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted.
///
/// The monotonic clock of the standard library stops while the machine is
/// suspended: after a suspension of ten seconds, data that is ten seconds too
/// old would be taken for fresh.
///
/// # Panics
///
/// Panics if the system lacks `CLOCK_BOOTTIME`, which Linux has had since
/// 2.6.39.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("the system has CLOCK_BOOTTIME"))
}
