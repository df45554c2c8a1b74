//! Admission control: request classes, rate limits and queue order.
//!
//! An organisation's limit is divided among the entry hosts without a store.
//! A quarter of it is split evenly and needs no request; the rest is leased
//! in shares by the limit's owner, an entry host chosen by rendezvous
//! hashing. Leases expire, and a new owner grants nothing for the duration of
//! one lease, so the sum of the shares stays within the limit unless there
//! are two owners at once. The limit is then exceeded by at most three
//! quarters for the duration of one lease.

use std::collections::{BTreeMap, VecDeque};

use crate::Name;

/// The priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Interactive work: alarm acknowledgements, dispatch tickets, hints
    /// during play.
    Urgent,
    /// The default class.
    Normal,
    /// Long-running work, such as reports.
    Bulk,
}

impl Priority {
    /// Every class, in the order in which they are served.
    pub const ALL: [Priority; 3] =
        [Priority::Urgent, Priority::Normal, Priority::Bulk];

    /// Parses the name of a class as callers write it. Returns `None` for
    /// any other text.
    pub fn from_word(word: &str) -> Option<Priority> {
        match word {
            "urgent" => Some(Priority::Urgent),
            "normal" => Some(Priority::Normal),
            "bulk" => Some(Priority::Bulk),
            _ => None,
        }
    }

    /// Returns the percentage of a model's capacity that this class may
    /// fill. The rest is kept free for the classes above it.
    pub fn max_fill_percent(self) -> u64 {
        match self {
            Priority::Urgent => 100,
            Priority::Normal => 90,
            Priority::Bulk => 75,
        }
    }
}

/// A token bucket with an adjustable rate.
///
/// It holds at most the requests of one second, and at least one.
#[derive(Debug)]
pub struct Bucket {
    rate_milli: u64,
    level_micro: u64,
    refilled_ms: u64,
}

/// The tokens that one request takes, in millionths of a request.
const ONE_REQUEST_MICRO: u64 = 1_000_000;

impl Bucket {
    /// Creates a full bucket that refills at `rate_milli` thousandths of a
    /// request per second.
    pub fn new(rate_milli: u64, now_ms: u64) -> Bucket {
        let mut bucket =
            Bucket { rate_milli, level_micro: 0, refilled_ms: now_ms };
        bucket.level_micro = bucket.max_level_micro();
        bucket
    }

    /// Changes the rate. The level is kept, up to the new maximum.
    pub fn set_rate(&mut self, rate_milli: u64, now_ms: u64) {
        self.refill(now_ms);
        self.rate_milli = rate_milli;
        self.level_micro = self.level_micro.min(self.max_level_micro());
    }

    /// Takes the tokens of one request. Returns `false`, and takes nothing,
    /// if there are too few.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.level_micro < ONE_REQUEST_MICRO {
            return false;
        }
        self.level_micro -= ONE_REQUEST_MICRO;
        true
    }

    /// Returns the time in milliseconds, counted from the last refill, until
    /// the bucket holds one request.
    pub fn wait_ms(&self) -> u64 {
        let missing_micro = ONE_REQUEST_MICRO.saturating_sub(self.level_micro);
        missing_micro.div_ceil(self.rate_milli.max(1))
    }

    /// Returns the maximum level: the requests of one second, and at least
    /// one.
    fn max_level_micro(&self) -> u64 {
        (self.rate_milli * 1_000).max(ONE_REQUEST_MICRO)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms.max(self.refilled_ms);
        self.level_micro = (self.level_micro + elapsed_ms * self.rate_milli)
            .min(self.max_level_micro());
    }
}

/// A request that waits in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request's number at this entry host.
    pub request: u64,
    /// `organisation/model`.
    pub model: Name,
}

/// The request queues of one entry host: by class first, then round-robin
/// over organisations.
#[derive(Debug, Default)]
pub struct Queues {
    classes: BTreeMap<Priority, Class>,
}

#[derive(Debug, Default)]
struct Class {
    organisations: VecDeque<(Name, VecDeque<QueuedRequest>)>,
}

impl Queues {
    /// Creates empty queues.
    pub fn new() -> Queues {
        Queues::default()
    }

    /// Returns the number of requests of `organisation` that wait in the
    /// class `priority`.
    pub fn queue_len(&self, priority: Priority, organisation: &str) -> usize {
        let class = self.classes.get(&priority);
        class
            .and_then(|class| {
                class
                    .organisations
                    .iter()
                    .find(|(name, _)| **name == *organisation)
            })
            .map_or(0, |(_, queue)| queue.len())
    }

    /// Returns the number of requests for `model` that wait in the class
    /// `priority` and the classes above it.
    pub fn count_ahead(&self, priority: Priority, model: &str) -> u64 {
        self.classes
            .range(..=priority)
            .flat_map(|(_, class)| &class.organisations)
            .flat_map(|(_, queue)| queue)
            .filter(|waiting| *waiting.model == *model)
            .count() as u64
    }

    /// Appends a request to its organisation's queue.
    pub fn push(
        &mut self,
        priority: Priority,
        organisation: &Name,
        waiting: QueuedRequest,
    ) {
        let class = self.classes.entry(priority).or_default();
        let existing = class
            .organisations
            .iter_mut()
            .find(|(name, _)| name == organisation);
        match existing {
            Some((_, queue)) => queue.push_back(waiting),
            None => class
                .organisations
                .push_back((organisation.clone(), [waiting].into())),
        }
    }

    /// Removes and returns the next request that `can_dispatch` accepts.
    /// Organisations take turns; a request that is not accepted does not
    /// block those behind it or those of other organisations.
    pub fn pop(
        &mut self,
        mut can_dispatch: impl FnMut(Priority, &QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        for (priority, class) in &mut self.classes {
            for _ in 0..class.organisations.len() {
                let (name, mut queue) = class.organisations.pop_front()?;
                let accepted = queue
                    .iter()
                    .position(|waiting| can_dispatch(*priority, waiting))
                    .and_then(|place| queue.remove(place));
                if !queue.is_empty() {
                    class.organisations.push_back((name, queue));
                }
                if accepted.is_some() {
                    return accepted;
                }
            }
        }
        None
    }

    /// Removes a request from whichever queue holds it. Returns whether it
    /// was found.
    pub fn remove(&mut self, request: u64) -> bool {
        for class in self.classes.values_mut() {
            for (_, queue) in &mut class.organisations {
                let place = queue.iter().position(|w| w.request == request);
                if let Some(place) = place {
                    queue.remove(place);
                    return true;
                }
            }
        }
        false
    }
}
