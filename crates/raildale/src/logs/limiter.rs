//! Limits the log lines that a process writes per second and event.
//!
//! In an overload each refused request is a line, and each line costs
//! processor time that answers need. Omitted lines are counted.

use std::collections::HashMap;

use raildale_core::LogEvent;

/// The length of the window over which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// The maximum number of lines of one event in a window. An entry host of the
/// users' platform takes 30 requests per second on average and 90 in a burst.
const MAX_LINES: u32 = 150;

/// The maximum number of lines for successful requests. It is lower because
/// these are the least useful lines for finding the cause of a fault.
const MAX_DONE_LINES: u32 = 60;

/// The event number under which lines without an event are counted.
pub const NO_EVENT: u32 = 0;

/// Counts the lines of a window by event number.
#[derive(Debug, Default)]
pub struct LineLimiter {
    window_ms: u64,
    lines: HashMap<u32, u32>,
    /// Counts of omitted lines, by event number, not returned yet.
    unreported: Vec<(u32, u32)>,
}

/// The decision about a line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the line is written.
    pub is_written: bool,
    /// The events of which lines were omitted in earlier windows, with the
    /// number of lines, not yet returned by an earlier call.
    pub left_out: Vec<(u32, u32)>,
}

impl LineLimiter {
    /// Creates a limiter without counts.
    pub fn new() -> LineLimiter {
        LineLimiter::default()
    }

    /// Counts a line of an event and decides whether it is written.
    pub fn admit(&mut self, now_ms: u64, number: u32) -> Verdict {
        self.start_window(now_ms);
        let count = self.lines.entry(number).or_default();
        *count += 1;
        let is_written = *count <= max_lines(number);
        // Lines without an event are counted in the log writer, which cannot
        // log a report of omitted lines.
        let left_out = match number {
            NO_EVENT => Vec::new(),
            _ => std::mem::take(&mut self.unreported),
        };
        Verdict { is_written, left_out }
    }

    /// Starts a new window if the last one is over.
    fn start_window(&mut self, now_ms: u64) {
        if now_ms < self.window_ms + WINDOW_MS {
            return;
        }
        self.window_ms = now_ms;
        let mut left_out: Vec<(u32, u32)> = self
            .lines
            .drain()
            .filter_map(|(number, count)| {
                let over = count.saturating_sub(max_lines(number));
                (over > 0).then_some((number, over))
            })
            .collect();
        left_out.sort_unstable();
        self.unreported.append(&mut left_out);
    }
}

fn max_lines(number: u32) -> u32 {
    let is_done = number == LogEvent::RequestDone.number();
    if is_done { MAX_DONE_LINES } else { MAX_LINES }
}
