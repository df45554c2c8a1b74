//! Limits the number of concurrent transfers.
//!
//! Chunks share the inbound link with requests to the target, and too many
//! concurrent transfers build up a queue on it. Similar to TCP's congestion
//! window, the window shrinks when chunks are slow and grows back when they
//! are not.

/// The number of transfers that may run concurrently.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    max_size: f64,
}

/// A chunk that takes longer than this shrinks the window, in milliseconds.
/// Six chunks of 49,152 bytes take 250 ms on a link of 9.4 Mbit/s.
const SLOW_CHUNK_MS: u64 = 420;

/// The growth of the window for each chunk that is not slow.
const GROWTH_PER_CHUNK: f64 = 0.5;

impl Window {
    /// Creates a fully open window of `max` transfers.
    pub fn new(max_size: usize) -> Window {
        Window { size: max_size as f64, max_size: max_size as f64 }
    }

    /// Returns the number of transfers that may run concurrently.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Scales another limit by the ratio of the window's size to its maximum.
    /// Returns at least 1.
    pub fn scale(&self, bound: usize) -> usize {
        let open = self.size / self.max_size * bound as f64;
        (open as usize).max(1)
    }

    /// Records how long the transfer of a chunk from another agent took, in
    /// milliseconds.
    pub fn record(&mut self, took_ms: u64) {
        if took_ms > SLOW_CHUNK_MS {
            self.size = (self.size / 2.0).max(1.0);
        } else {
            self.size = (self.size + GROWTH_PER_CHUNK).min(self.max_size);
        }
    }
}
