//! Who may enter, and who goes first.
//!
//! An organisation's limit is shared over entry hosts without a store: a
//! quarter of it is split evenly and needs no asking; the rest is leased in
//! shares by the limit's owner, an entry host chosen by rendezvous. Leases
//! lapse, and a new owner grants nothing for one lease's time, so the sum
//! stays within the limit unless two owners hold office at once; then it is
//! exceeded by at most three quarters of the limit for one lease's time.

use std::collections::{BTreeMap, VecDeque};

use crate::Name;

/// A request's class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Alarm acknowledgements, dispatch tickets, hints during play.
    Urgent,
    /// The ordinary class.
    Normal,
    /// Long reports.
    Bulk,
}

impl Priority {
    /// Every class, the first served first.
    pub const ALL: [Priority; 3] =
        [Priority::Urgent, Priority::Normal, Priority::Bulk];

    /// Reads the word that callers use.
    pub fn from_word(word: &str) -> Option<Priority> {
        match word {
            "urgent" => Some(Priority::Urgent),
            "normal" => Some(Priority::Normal),
            "bulk" => Some(Priority::Bulk),
            _ => None,
        }
    }

    /// Percent of a model's capacity that this class may fill. The rest is
    /// kept free for the classes above it.
    pub fn max_fill_percent(self) -> u64 {
        match self {
            Priority::Urgent => 100,
            Priority::Normal => 90,
            Priority::Bulk => 75,
        }
    }
}

/// A token bucket with a rate that may change.
#[derive(Debug)]
pub struct Bucket {
    rate_milli: u64,
    level_micro: u64,
    at_ms: u64,
}

/// A request's worth in a bucket, in millionths.
const ONE_MICRO: u64 = 1_000_000;

impl Bucket {
    /// A full bucket of `rate_milli` thousandths of a request a second.
    pub fn new(rate_milli: u64, now_ms: u64) -> Bucket {
        let mut bucket = Bucket { rate_milli, level_micro: 0, at_ms: now_ms };
        bucket.level_micro = bucket.most_micro();
        bucket
    }

    /// Changes the rate; the level stays, cut to the new bound.
    pub fn set_rate(&mut self, rate_milli: u64, now_ms: u64) {
        self.refill(now_ms);
        self.rate_milli = rate_milli;
        self.level_micro = self.level_micro.min(self.most_micro());
    }

    /// Takes one request out, if there is one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.level_micro < ONE_MICRO {
            return false;
        }
        self.level_micro -= ONE_MICRO;
        true
    }

    /// Milliseconds until one request is there.
    pub fn wait_ms(&self) -> u64 {
        let lacks = ONE_MICRO.saturating_sub(self.level_micro);
        lacks.div_ceil(self.rate_milli.max(1))
    }

    /// One second's worth, and at least one request.
    fn most_micro(&self) -> u64 {
        (self.rate_milli * 1_000).max(ONE_MICRO)
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = now_ms.max(self.at_ms);
        self.level_micro = (self.level_micro + passed_ms * self.rate_milli)
            .min(self.most_micro());
    }
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request's number.
    pub request: u64,
    /// `organisation/model`.
    pub model: Name,
}

/// The queues of one entry host: by class, then fair between organisations.
#[derive(Debug, Default)]
pub struct Queues {
    classes: BTreeMap<Priority, Class>,
}

#[derive(Debug, Default)]
struct Class {
    organisations: VecDeque<(Name, VecDeque<QueuedRequest>)>,
}

impl Queues {
    /// Empty queues.
    pub fn new() -> Queues {
        Queues::default()
    }

    /// Requests of `organisation` that wait in `priority`.
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

    /// Requests that wait in `priority` and the classes before it.
    pub fn count_ahead(&self, priority: Priority, model: &str) -> u64 {
        self.classes
            .range(..=priority)
            .flat_map(|(_, class)| &class.organisations)
            .flat_map(|(_, queue)| queue)
            .filter(|waiting| *waiting.model == *model)
            .count() as u64
    }

    /// Puts a request at the end of its organisation's queue.
    pub fn push(
        &mut self,
        priority: Priority,
        organisation: &Name,
        waiting: QueuedRequest,
    ) {
        let class = self.classes.entry(priority).or_default();
        let known = class
            .organisations
            .iter_mut()
            .find(|(name, _)| name == organisation);
        match known {
            Some((_, queue)) => queue.push_back(waiting),
            None => class
                .organisations
                .push_back((organisation.clone(), [waiting].into())),
        }
    }

    /// Takes out the next request that `may_go` lets pass. Organisations take
    /// turns; one whose head may not go does not hold the others up.
    pub fn pop(
        &mut self,
        mut may_go: impl FnMut(Priority, &QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        for (priority, class) in &mut self.classes {
            for _ in 0..class.organisations.len() {
                let (name, mut queue) = class.organisations.pop_front()?;
                let goes = queue
                    .iter()
                    .position(|waiting| may_go(*priority, waiting))
                    .and_then(|place| queue.remove(place));
                if !queue.is_empty() {
                    class.organisations.push_back((name, queue));
                }
                if goes.is_some() {
                    return goes;
                }
            }
        }
        None
    }

    /// Takes a request out, wherever it waits.
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
