//! How long what comes to an agent waits in the queue of its link.
//!
//! Chunks of weights and requests to the target come in by one link. Chunks
//! come in slices, each with the time of its sending: how much longer one took
//! than the quickest of its sender is the queue that it stood in, whatever the
//! clocks are. Datagrams do not tell: some networks let them past a queue.

use std::{collections::HashMap, net::IpAddr};

/// What an agent knows of the queue before its link.
#[derive(Clone, Debug, Default)]
pub struct QueueDelay {
    senders: HashMap<IpAddr, Sender>,
    /// The slices of late, oldest first.
    recent: Vec<Slice>,
}

/// An agent whose slices come.
#[derive(Clone, Copy, Debug)]
struct Sender {
    /// When its last slice left, on its own clock.
    sent_ms: u64,
    /// From leaving to coming, of its quickest slice, as a difference of two
    /// clocks.
    quickest_ms: i64,
    /// When its last slice came.
    came_ms: u64,
}

/// A slice that has come.
#[derive(Clone, Copy, Debug)]
struct Slice {
    at_ms: u64,
    from: IpAddr,
    delay_ms: u64,
}

/// Slices that are looked at together, in milliseconds: on a link of 1.2
/// Mbit/s one of 8 KiB comes every 55 ms.
const RECENT_MS: u64 = 200;

/// What slices told counts for this long, in milliseconds: the queue is empty
/// soon after the last one.
const FRESH_MS: u64 = 800;

/// A sender that has been silent for this long is forgotten, in milliseconds:
/// the way to it may be another one by its next slice.
const FORGET_MS: u64 = 4_000;

impl QueueDelay {
    /// Nothing known.
    pub fn new() -> QueueDelay {
        QueueDelay::default()
    }

    /// Takes in that a slice that left at `sent_ms`, on its sender's clock,
    /// has come.
    pub fn note(&mut self, now_ms: u64, from: IpAddr, sent_ms: u64) {
        self.forget(now_ms);
        let took_ms = now_ms as i64 - sent_ms as i64;
        let known = self.senders.get(&from).copied();
        // An earlier time of sending is that of another start.
        let same = known.filter(|sender| sender.sent_ms <= sent_ms);
        let quickest_ms =
            same.map_or(took_ms, |sender| sender.quickest_ms.min(took_ms));
        let sender = Sender { sent_ms, quickest_ms, came_ms: now_ms };
        self.senders.insert(from, sender);
        let delay_ms = took_ms.abs_diff(quickest_ms);
        self.recent.push(Slice { at_ms: now_ms, from, delay_ms });
    }

    /// Milliseconds that what comes now has waited before the link: the least
    /// of the slices of late. With one sender alone it is not known: its own
    /// link may be the slow one.
    pub fn ms(&self, now_ms: u64) -> u64 {
        let Some(last) = self.recent.last() else { return 0 };
        if now_ms > last.at_ms + FRESH_MS {
            return 0;
        }
        let from_ms = last.at_ms.saturating_sub(RECENT_MS);
        let recent = || self.recent.iter().filter(|s| s.at_ms >= from_ms);
        if recent().all(|slice| slice.from == last.from) {
            return 0;
        }
        recent().map(|slice| slice.delay_ms).min().unwrap_or(0)
    }

    fn forget(&mut self, now_ms: u64) {
        self.senders.retain(|_, sender| now_ms < sender.came_ms + FORGET_MS);
        self.recent.retain(|slice| now_ms < slice.at_ms + 2 * RECENT_MS);
    }
}
