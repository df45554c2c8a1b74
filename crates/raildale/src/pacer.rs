//! A rate limiter for the share of the link that spreads may use.

use std::{sync::Mutex, time::Duration};

use crate::boot_time;

/// Limits the rate of bytes; callers are served in the order of their calls.
///
/// A spread that fills the link makes live requests queue behind it in the
/// network, where they cannot be given priority. Keeping spreads a few percent
/// below the link's rate keeps that queue empty.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_s: u64,
    /// The time since boot at which all reserved bytes are sent.
    free_at: Mutex<Duration>,
}

/// The number of bytes written between two waits. Small, so that a request's
/// frame on another connection never waits long behind them.
pub const SLICE_BYTES: usize = 8 << 10;

/// The shortest wait. Shorter ones are skipped and add up, since timers are no
/// finer.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// The time for which unused rate may be caught up. Without it, the delay of
/// each late timer would reduce the rate.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

impl Pacer {
    /// Creates a pacer of `bytes_per_s`.
    pub fn new(bytes_per_s: u64) -> Pacer {
        Pacer {
            bytes_per_s: bytes_per_s.max(1),
            free_at: Mutex::new(boot_time::now()),
        }
    }

    /// Waits until `bytes` more may be sent.
    pub async fn wait(&self, bytes: usize) {
        let now = boot_time::now();
        let start = self.reserve(now, bytes);
        let wait = start.saturating_sub(now);
        if wait >= MIN_WAIT {
            tokio::time::sleep(wait).await;
        }
    }

    fn reserve(&self, now: Duration, bytes: usize) -> Duration {
        let nanos = bytes as u64 * 1_000_000_000 / self.bytes_per_s;
        let mut free_at = self
            .free_at
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let earliest = now.saturating_sub(MAX_CATCH_UP);
        let start = (*free_at).max(earliest);
        *free_at = start + Duration::from_nanos(nanos);
        start
    }
}
