//! How many transfers run at once.
//!
//! Chunks come in by the same link as requests to the target, and queue
//! before it when there are too many at once. The window shrinks when chunks
//! take long and grows back when they do not, as TCP's does.

/// Transfers at once.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    most: f64,
}

/// A chunk that takes longer shrinks the window, in milliseconds. Six chunks
/// of 49,152 bytes take 250 ms on a link of 9.4 Mbit/s.
const SLOW_MS: u64 = 420;

/// What a chunk that is not slow adds.
const GROWTH: f64 = 0.5;

impl Window {
    /// A window of `most` transfers, wide open.
    pub fn new(most: usize) -> Window {
        Window { size: most as f64, most: most as f64 }
    }

    /// Transfers that may run at once.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// The part of another bound that the window leaves open, 1 at least.
    pub fn share(&self, bound: usize) -> usize {
        let open = self.size / self.most * bound as f64;
        (open as usize).max(1)
    }

    /// Takes in how long a chunk from another agent took.
    pub fn note(&mut self, took_ms: u64) {
        if took_ms > SLOW_MS {
            self.size = (self.size / 2.0).max(1.0);
        } else {
            self.size = (self.size + GROWTH).min(self.most);
        }
    }
}
