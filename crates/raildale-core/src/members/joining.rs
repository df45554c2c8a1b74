//! How an entry host that has just started learns who the others are, and what
//! it does with requests until it knows enough to serve them.
//!
//! The list of entry hosts grows with the fleet, and so does the number of
//! those that need it: if each read it from the store, the bytes that cross
//! between data centres would grow with the square of the fleet. The seeds
//! read it from the store. The others get it from a seed, and most of them
//! from an entry host of their own data centre: once one of another data
//! centre has the list, each waits for a random time before it asks there, and
//! whoever gets the list tells its neighbours at once.

use std::ops::Range;

/// The maximum delay before a starting entry host asks for the list in another
/// data centre, in milliseconds: several round trips.
const MAX_REMOTE_DELAY_MS: f64 = 150.0;

/// How steeply the delays crowd towards the maximum. With exponentially
/// distributed delays, about as many of a dozen as of a thousand entry hosts
/// ask before the first answer has reached the others.
const REMOTE_DELAY_EXPONENT: f64 = 10.0;

/// The number of equally likely delays.
const DELAY_STEPS: u64 = 1 << 20;

/// The random delay before a starting entry host writes its own entry if it
/// doesn't know the list by then, in milliseconds: at the first start of a
/// fleet no list is known, and all would write at once.
const WRITE_DELAY_MS: Range<u64> = 0..450;

/// The random delay before a starting entry host reads the list from the store
/// if it hears none that knows it, in milliseconds. A seed sends a heartbeat
/// within the shortest of it.
const ALONE_DELAY_MS: Range<u64> = 450..900;

/// The random delay before a starting entry host that still doesn't know a
/// kind of object reads it from the store, in milliseconds. After a loss of
/// all, hundreds would read it at once, and the first that has it passes it
/// on.
const UNKNOWN_DELAY_MS: Range<u64> = 1_200..3_600;

/// The share of a caller's time for which a starting entry host holds its
/// request: enough is left for another try.
const MAX_HOLD_SHARE: f64 = 1.0 / 3.0;

/// The state of a starting entry host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Joining {
    started_ms: u64,
    is_seed: bool,
    /// How long after it has heard of the list in another data centre it asks
    /// there.
    remote_delay_ms: u64,
    /// The age from which it writes its own entry without knowing the list.
    write_delay_ms: u64,
    /// The age from which it reads the list from the store if it hears none
    /// that knows it.
    alone_delay_ms: u64,
    /// The age from which it reads an unknown kind from the store.
    unknown_delay_ms: u64,
    /// When it first heard of the list in another data centre.
    remote_heard_ms: Option<u64>,
}

impl Joining {
    /// Draws the delays of an entry host that starts at `started_ms`; `draw`
    /// returns a random number in a range. All others turn to the seeds.
    pub fn new(
        started_ms: u64,
        is_seed: bool,
        mut draw: impl FnMut(Range<u64>) -> u64,
    ) -> Joining {
        let part = draw(0..DELAY_STEPS) as f64 / DELAY_STEPS as f64;
        let growth = REMOTE_DELAY_EXPONENT.exp() - 1.0;
        let remote_part = (1.0 + part * growth).ln() / REMOTE_DELAY_EXPONENT;
        Joining {
            started_ms,
            is_seed,
            remote_delay_ms: (remote_part * MAX_REMOTE_DELAY_MS) as u64,
            write_delay_ms: draw(WRITE_DELAY_MS),
            alone_delay_ms: draw(ALONE_DELAY_MS),
            unknown_delay_ms: draw(UNKNOWN_DELAY_MS),
            remote_heard_ms: None,
        }
    }

    /// Returns whether it is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns the milliseconds since its start.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }

    /// Returns whether it writes its own entry without knowing the list.
    pub fn writes_unlisted(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms) >= self.write_delay_ms
    }

    /// Returns whether it reads a kind of which it knows nothing from the
    /// store.
    pub fn reads_unknown(&self, now_ms: u64) -> bool {
        self.is_seed || self.age_ms(now_ms) > self.unknown_delay_ms
    }

    /// Returns whether it reads the unknown list of entry hosts from the
    /// store. `is_alone` tells whether it hears none that knows the list.
    pub fn reads_list(&self, now_ms: u64, is_alone: bool) -> bool {
        self.reads_unknown(now_ms) || is_alone && self.acts_unlisted(now_ms)
    }

    /// Returns whether it does without the list what it would leave to others
    /// if it knew them.
    pub fn acts_unlisted(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms) > self.alone_delay_ms
    }

    /// Returns whether it has heard of the list in another data centre.
    pub fn has_heard_remote(&self) -> bool {
        self.remote_heard_ms.is_some()
    }

    /// Records that an entry host of another data centre knows the list.
    /// Returns the milliseconds until this one asks there; 0 if it does now.
    pub fn remote_wait_ms(&mut self, now_ms: u64) -> u64 {
        let heard_ms = *self.remote_heard_ms.get_or_insert(now_ms);
        (heard_ms + self.remote_delay_ms).saturating_sub(now_ms)
    }

    /// Returns for how many milliseconds a request is held that arrives before
    /// this entry host can serve it, and whose caller waits for another
    /// `left_ms`. It is about to know enough; the request would find all
    /// others in the same state if all have started at once.
    pub fn hold_ms(&self, now_ms: u64, left_ms: u64) -> u64 {
        let share_ms = (left_ms as f64 * MAX_HOLD_SHARE) as u64;
        let known_ms = self.started_ms + UNKNOWN_DELAY_MS.end;
        share_ms.min(known_ms.saturating_sub(now_ms))
    }
}
