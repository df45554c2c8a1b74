//! Concentration of callers on some of the entry hosts.
//!
//! An entry host relies on the slots of targets that it owns, which are a
//! part of all slots in proportion to its requests. Where many entry hosts
//! stand before few targets, each owns so few slots that its requests often
//! find all of them taken while those of others are free. Callers are then
//! named only as many entry hosts as own enough slots each. The others stay
//! ready: one of them is named as soon as one before it fails.

use std::{cmp::Reverse, net::IpAddr};

/// Concentration begins below this mean number of slots per entry host. With
/// so few at 80% load, one request in six finds all of them taken (Erlang B).
const MIN_SLOTS_PER_HOST: f64 = 6.0;

/// Concentration ends at this mean number of slots per entry host, at which
/// it is one request in ten.
const ENOUGH_SLOTS_PER_HOST: f64 = 12.0;

/// How long slots must have been too few before concentration begins, in
/// milliseconds: while a fleet starts, or a store recovers, its targets are
/// listed within less.
const SETTLE_MS: u64 = 5_000;

/// The number of slots for each entry host that is named to callers: one
/// request in 27 finds all of them taken.
const SLOTS_PER_NAMED_HOST: f64 = 32.0;

/// The minimum number of entry hosts of a data centre that are named, so that
/// callers have another choice while the loss of one is not yet known.
const MIN_NAMED_HOSTS: usize = 3;

/// The processor time of a request on an entry host, in core milliseconds.
const REQUEST_CPU_MS: f64 = 1.0;

/// The maximum utilisation of a named entry host's processor.
const MAX_UTILISATION: f64 = 0.35;

/// The machine of an entry host that accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub ip: IpAddr,
    /// Its share of processor time, in thousandths of a core; `None` if it is
    /// not known.
    pub cpu_millis: Option<u32>,
}

/// The load of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CentreLoad {
    /// The slots of its targets.
    pub slots: f64,
    /// The requests that its entry hosts receive per second.
    pub demand_per_s: f64,
}

/// Whether callers are concentrated, as decided by one entry host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Concentration {
    is_on: bool,
    /// Since when slots have been too few; `None` if they are not.
    few_since_ms: Option<u64>,
}

impl Concentration {
    /// Returns whether callers are concentrated.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Decides anew, given the slots of all targets and the number of entry
    /// hosts. `is_heard` tells whether another entry host concentrates
    /// callers: one that has just started does as the others do. Returns
    /// whether the state changed.
    pub fn update(
        &mut self,
        now_ms: u64,
        slots_per_host: f64,
        is_heard: bool,
    ) -> bool {
        let is_few = slots_per_host < MIN_SLOTS_PER_HOST;
        self.few_since_ms =
            is_few.then(|| self.few_since_ms.unwrap_or(now_ms));
        let is_settled = self
            .few_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + SETTLE_MS);
        let stays_on =
            slots_per_host < ENOUGH_SLOTS_PER_HOST && (self.is_on || is_heard);
        let is_on = is_settled || stays_on;
        std::mem::replace(&mut self.is_on, is_on) != is_on
    }
}

/// Returns the entry hosts of a data centre that are named to its callers,
/// those with most processor time first. Entry hosts that know the same
/// candidates and load return the same.
pub fn named(mut candidates: Vec<Candidate>, load: CentreLoad) -> Vec<IpAddr> {
    candidates.sort_unstable_by_key(|candidate| {
        (Reverse(candidate.cpu_millis), candidate.ip)
    });
    let for_slots = (load.slots / SLOTS_PER_NAMED_HOST).ceil() as usize;
    let count = for_slots.max(MIN_NAMED_HOSTS);
    let mut capacity_per_s = 0.0;
    candidates
        .iter()
        .enumerate()
        .take_while(|(index, candidate)| {
            let is_taken =
                *index < count || capacity_per_s < load.demand_per_s;
            capacity_per_s += capacity_of(candidate);
            is_taken
        })
        .map(|(_, candidate)| candidate.ip)
        .collect()
}

/// Returns the requests per second that an entry host bears within
/// [`MAX_UTILISATION`]; without a limit if its machine is not known.
fn capacity_of(candidate: &Candidate) -> f64 {
    candidate.cpu_millis.map_or(f64::INFINITY, |millis| {
        f64::from(millis) / REQUEST_CPU_MS * MAX_UTILISATION
    })
}
