//! Estimates the queueing delay of an agent's inbound link.
//!
//! Chunks of weights and requests to the target share one inbound link. Chunks
//! arrive in slices, each stamped with its sending time. The transit time of a
//! slice minus the shortest transit time from the same sender is its queueing
//! delay; a constant clock offset cancels out. Datagrams are unsuitable as
//! probes because some networks let them bypass a queue.

use std::{collections::HashMap, net::IpAddr};

/// The queueing delay of an agent's inbound link, estimated from received
/// slices.
#[derive(Clone, Debug, Default)]
pub struct QueueDelay {
    senders: HashMap<IpAddr, Sender>,
    /// Recently received slices, oldest first.
    recent: Vec<Slice>,
}

/// The timing state of one sending agent.
#[derive(Clone, Copy, Debug)]
struct Sender {
    /// The sending time of its last slice, on its own clock.
    sent_ms: u64,
    /// The shortest transit time of its slices. Includes the offset between
    /// the two clocks, so it may be negative.
    min_transit_ms: i64,
    /// When its last slice was received.
    received_ms: u64,
}

/// A received slice.
#[derive(Clone, Copy, Debug)]
struct Slice {
    at_ms: u64,
    from: IpAddr,
    delay_ms: u64,
}

/// The length of the time window whose slices are evaluated together, in
/// milliseconds. On a link of 1.2 Mbit/s a slice of 8 KiB arrives every 55 ms.
const WINDOW_MS: u64 = 200;

/// How long an estimate stays valid after the last slice, in milliseconds. The
/// queue drains soon after the last slice.
const MAX_AGE_MS: u64 = 800;

/// A sender is removed after this many milliseconds without a slice, because
/// the network path to it may change in the meantime.
const SENDER_TIMEOUT_MS: u64 = 4_000;

impl QueueDelay {
    /// Creates an estimator without samples.
    pub fn new() -> QueueDelay {
        QueueDelay::default()
    }

    /// Records the arrival of a slice that was sent at `sent_ms` on its
    /// sender's clock.
    pub fn record(&mut self, now_ms: u64, from: IpAddr, sent_ms: u64) {
        self.remove_expired(now_ms);
        let transit_ms = now_ms as i64 - sent_ms as i64;
        let known = self.senders.get(&from).copied();
        // A decreasing sending time means that the sender has restarted.
        let previous = known.filter(|sender| sender.sent_ms <= sent_ms);
        let min_transit_ms = previous.map_or(transit_ms, |sender| {
            sender.min_transit_ms.min(transit_ms)
        });
        let sender = Sender { sent_ms, min_transit_ms, received_ms: now_ms };
        self.senders.insert(from, sender);
        let delay_ms = transit_ms.abs_diff(min_transit_ms);
        self.recent.push(Slice { at_ms: now_ms, from, delay_ms });
    }

    /// Returns the current queueing delay of the link in milliseconds: the
    /// smallest delay among the recent slices.
    ///
    /// Returns 0 if there are no recent slices, or if they all come from one
    /// sender: the delay may then be caused by the sender's own link.
    pub fn estimate_ms(&self, now_ms: u64) -> u64 {
        let Some(last) = self.recent.last() else { return 0 };
        if now_ms > last.at_ms + MAX_AGE_MS {
            return 0;
        }
        let from_ms = last.at_ms.saturating_sub(WINDOW_MS);
        let recent = || self.recent.iter().filter(|s| s.at_ms >= from_ms);
        if recent().all(|slice| slice.from == last.from) {
            return 0;
        }
        recent().map(|slice| slice.delay_ms).min().unwrap_or(0)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.senders.retain(|_, sender| {
            now_ms < sender.received_ms + SENDER_TIMEOUT_MS
        });
        self.recent.retain(|slice| now_ms < slice.at_ms + 2 * WINDOW_MS);
    }
}
