//! Limits on log lines, and a log reader that stalls.

use raildale::logs::{
    limiter::{LineLimiter, NO_EVENT},
    queue::LineQueue,
};
use raildale_core::LogEvent;

const START_MS: u64 = 1_000_000;

#[test]
fn lines_of_one_event_are_limited_and_omitted_lines_are_counted() {
    let mut limiter = LineLimiter::new();
    let refused = LogEvent::RequestRefused.number();
    let done = LogEvent::RequestDone.number();
    let mut written = [0, 0];
    for _ in 0..1_000 {
        for (place, number) in [refused, done].into_iter().enumerate() {
            let verdict = limiter.admit(START_MS, number);
            written[place] += u32::from(verdict.is_written);
        }
    }
    assert!(written[1] < written[0], "successes have the lower limit");
    assert!(written[0] <= 200, "{written:?}");
    let plain = limiter.admit(START_MS + 1_000, NO_EVENT);
    assert_eq!(
        plain.left_out,
        [],
        "a line without an event reports no omitted lines"
    );
    let next = limiter.admit(START_MS + 1_000, refused);
    let left_out = [(done, 1_000 - written[1]), (refused, 1_000 - written[0])];
    assert_eq!(next.left_out, left_out);
    assert!(next.is_written, "a new window has started");
}

#[test]
fn a_full_queue_drops_and_counts_lines() {
    let queue = LineQueue::new();
    let line = vec![b'x'; 1_000];
    for _ in 0..1_000 {
        queue.push(&line);
    }
    let batch = queue.take();
    assert!(batch.text.len() <= 256 << 10);
    let lines = batch.text.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(
        lines as u64 + batch.left_out,
        1_000,
        "each line is written or counted"
    );
    queue.push(b"later");
    let batch = queue.take();
    assert_eq!((batch.text, batch.left_out), (b"later\n".to_vec(), 0));
}
