//! Transmission times of links.

/// The number of microseconds in a millisecond.
pub const MICROS_PER_MS: u64 = 1_000;

/// The number of microseconds in a second.
const MICROS_PER_S: f64 = 1e6;

/// Returns a time in seconds in microseconds.
pub fn micros(seconds: f64) -> u64 {
    (seconds * MICROS_PER_S) as u64
}

/// A link that transmits one message after the other.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Its rate, in bytes per microsecond.
    rate: f64,
    /// When it has transmitted all messages so far, in microseconds.
    free_us: u64,
}

impl Link {
    /// Creates an idle link with a rate in Mbit/s.
    pub fn new(mbps: f64) -> Link {
        Link { rate: mbps / 8.0, free_us: 0 }
    }

    /// Transmits `bytes` after all earlier messages. Returns when the last
    /// byte has been sent. `share` is the share of the rate that is left.
    pub fn transmit(&mut self, now_us: u64, bytes: u64, share: f64) -> u64 {
        let takes_us = (bytes as f64 / (self.rate * share)).ceil() as u64;
        self.free_us = self.free_us.max(now_us) + takes_us;
        self.free_us
    }

    /// Returns when a message could be transmitted next.
    pub fn free_us(&self, now_us: u64) -> u64 {
        self.free_us.max(now_us)
    }
}
