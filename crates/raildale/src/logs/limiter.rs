//! How many lines of each kind a process writes in a second.
//!
//! In an overload each refused request is a line, and every line costs
//! processor time that answers need. What is left out is counted.

use std::collections::HashMap;

use raildale_core::LogEvent;

/// Milliseconds over which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Lines of one event in a window at most. An entry host of the users'
/// platform takes 30 requests a second on the average and 90 in a burst.
const LINES_MOST: u32 = 150;

/// The same for requests that went well: whoever looks for a cause misses
/// these the least.
const DONE_LINES_MOST: u32 = 60;

/// The number under which lines without an event are counted.
pub const NO_EVENT: u32 = 0;

/// Lines of a window, by the number of their event.
#[derive(Debug, Default)]
pub struct LineLimiter {
    window_ms: u64,
    lines: HashMap<u32, u32>,
    /// Lines left out that nobody was told of yet.
    untold: Vec<(u32, u32)>,
}

/// What becomes of a line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it is written.
    pub is_written: bool,
    /// Events of which lines were left out in the window that has ended,
    /// with their count.
    pub left_out: Vec<(u32, u32)>,
}

impl LineLimiter {
    /// Nothing counted yet.
    pub fn new() -> LineLimiter {
        LineLimiter::default()
    }

    /// Counts a line of an event.
    pub fn admit(&mut self, now_ms: u64, number: u32) -> Verdict {
        self.roll(now_ms);
        let count = self.lines.entry(number).or_default();
        *count += 1;
        let is_written = *count <= most(number);
        // A line that is no event cannot bring another one along.
        let left_out = match number {
            NO_EVENT => Vec::new(),
            _ => std::mem::take(&mut self.untold),
        };
        Verdict { is_written, left_out }
    }

    /// Begins a new window if the last one is over.
    fn roll(&mut self, now_ms: u64) {
        if now_ms < self.window_ms + WINDOW_MS {
            return;
        }
        self.window_ms = now_ms;
        let mut left_out: Vec<(u32, u32)> = self
            .lines
            .drain()
            .filter_map(|(number, count)| {
                let over = count.saturating_sub(most(number));
                (over > 0).then_some((number, over))
            })
            .collect();
        left_out.sort_unstable();
        self.untold.append(&mut left_out);
    }
}

fn most(number: u32) -> u32 {
    let is_done = number == LogEvent::RequestDone.number();
    if is_done { DONE_LINES_MOST } else { LINES_MOST }
}
