//! Which target a request goes to.
//!
//! Load reports lag, so the dispatches made since a report are added to it.
//! Two targets are drawn at random and the better is taken: against taking
//! the least loaded by report, which sends every entry host to the same
//! target until the next report. A prefix seen before draws a third
//! candidate, a hint and never a promise.

use std::collections::BTreeMap;

use rand::{RngExt, rngs::SmallRng};

use crate::{Digest, Name, message::Report};

/// Failures in a row that take a target out of routing.
const BREAKER_FAILURES: u32 = 3;

/// How long a target stays out before one request tries it again.
const BREAKER_PAUSE_MS: u64 = 2_000;

/// Extra load, in permille of a target's capacity, that another data centre
/// counts as. Small: crossing costs a few milliseconds only.
const REMOTE_PERMILLE: u64 = 50;

/// Prefixes remembered at most.
const MAX_PREFIXES: usize = 10_000;

/// How a target is picked among those that can serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Two choices, corrected by own dispatches, with prefix affinity.
    #[default]
    TwoChoices,
    /// The least loaded by its last report. A baseline.
    LeastReported,
    /// Any. A baseline.
    Random,
    /// Each in its turn. A baseline.
    RoundRobin,
}

/// One target as an entry host sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The incarnation of its agent.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: Name,
    /// What it serves: model and, but for a plain service, the manifest.
    pub served: BTreeMap<Name, Option<Digest>>,
    /// Runs that it takes at once.
    pub capacity: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    reported: u64,
    own: u64,
    own_at_report: u64,
    failures: u32,
    out_until_ms: u64,
}

impl Target {
    /// A target that has not reported.
    pub fn new(incarnation: u64, data_centre: Name) -> Target {
        Target {
            incarnation,
            data_centre,
            served: BTreeMap::new(),
            capacity: 0,
            leaving: false,
            reported: 0,
            own: 0,
            own_at_report: 0,
            failures: 0,
            out_until_ms: 0,
        }
    }

    /// Runs in progress as far as this entry host can tell: what others had
    /// there at the last report, and its own now.
    pub fn load(&self) -> u64 {
        self.reported.saturating_sub(self.own_at_report) + self.own
    }

    /// Load in permille of what it takes at once.
    fn load_permille(&self) -> u64 {
        self.load() * 1000 / self.capacity.max(1)
    }

    fn can_take(&self, model: &str, now_ms: u64) -> bool {
        !self.leaving
            && self.served.contains_key(model)
            && self.out_until_ms <= now_ms
    }

    fn has_room(&self) -> bool {
        self.load() < self.capacity
    }
}

/// All targets as one entry host sees them.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    data_centre: Name,
    targets: BTreeMap<Name, Target>,
    prefixes: BTreeMap<u64, Name>,
    turn: usize,
}

impl Router {
    /// A router at an entry host in `data_centre`.
    pub fn new(policy: Policy, data_centre: Name) -> Router {
        Router {
            policy,
            data_centre,
            targets: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            turn: 0,
        }
    }

    /// The targets by name.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.targets.iter()
    }

    /// One target.
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// An agent is connected.
    pub fn add(&mut self, name: Name, target: Target) {
        self.targets.insert(name, target);
    }

    /// An agent is no longer connected.
    pub fn remove(&mut self, name: &str) {
        self.targets.remove(name);
    }

    /// Takes a load report in.
    pub fn record_report(&mut self, name: &str, report: &Report) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.served = report
            .served
            .iter()
            .map(|served| {
                let digest = Digest::from_slice(&served.manifest);
                (served.model.as_str().into(), digest)
            })
            .collect();
        target.capacity = report.capacity.into();
        target.leaving |= report.leaving;
        target.reported = report.running.into();
        target.own_at_report = target.own;
    }

    /// Whether any target serves `model` now, with room or without.
    pub fn serves(&self, model: &str, now_ms: u64) -> bool {
        self.targets.values().any(|target| target.can_take(model, now_ms))
    }

    /// Runs that targets of `model` have room for, all together.
    pub fn free_capacity(&self, model: &str, now_ms: u64) -> u64 {
        self.targets
            .values()
            .filter(|target| target.can_take(model, now_ms))
            .map(|target| target.capacity.saturating_sub(target.load()))
            .sum()
    }

    /// Runs that targets of `model` take at once, all together.
    pub fn capacity(&self, model: &str, now_ms: u64) -> u64 {
        self.targets
            .values()
            .filter(|target| target.can_take(model, now_ms))
            .map(|target| target.capacity)
            .sum()
    }

    /// Picks a target with room for `model`, leaving out `tried` ones.
    pub fn pick(
        &mut self,
        model: &str,
        prefix: u64,
        tried: &[Name],
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Option<Name> {
        let open: Vec<Name> = self
            .targets
            .iter()
            .filter(|(name, target)| {
                target.can_take(model, now_ms)
                    && target.has_room()
                    && !tried.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        if open.is_empty() {
            return None;
        }
        let name = match self.policy {
            Policy::TwoChoices => self.two_choices(&open, prefix, rng),
            Policy::LeastReported => self.least_reported(&open),
            Policy::Random => open[rng.random_range(0..open.len())].clone(),
            Policy::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()].clone()
            }
        };
        Some(name)
    }

    /// A request went to `name`.
    pub fn record_dispatch(&mut self, name: &str, prefix: u64) {
        if let Some((name, _)) = self.targets.get_key_value(name) {
            let name = name.clone();
            if self.prefixes.len() >= MAX_PREFIXES {
                self.prefixes.pop_first();
            }
            self.prefixes.insert(prefix, name);
        }
        if let Some(target) = self.targets.get_mut(name) {
            target.own += 1;
        }
    }

    /// An attempt at `name` ended; `worked` is whether the target did its
    /// part. Returns whether this took the target out of routing.
    pub fn record_result(
        &mut self,
        name: &str,
        worked: bool,
        now_ms: u64,
    ) -> bool {
        let Some(target) = self.targets.get_mut(name) else { return false };
        target.own = target.own.saturating_sub(1);
        target.own_at_report = target.own_at_report.min(target.own);
        if worked {
            target.failures = 0;
            return false;
        }
        target.failures += 1;
        let is_out = target.failures >= BREAKER_FAILURES;
        if is_out {
            target.out_until_ms = now_ms + BREAKER_PAUSE_MS;
        }
        is_out
    }

    /// A target says that it is leaving.
    pub fn set_leaving(&mut self, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.leaving = true;
        }
    }

    fn two_choices(
        &self,
        open: &[Name],
        prefix: u64,
        rng: &mut SmallRng,
    ) -> Name {
        let first = &open[rng.random_range(0..open.len())];
        let second = &open[rng.random_range(0..open.len())];
        let best = [first, second]
            .into_iter()
            .min_by_key(|name| self.cost(name))
            .expect("there are two candidates");
        let hinted = self
            .prefixes
            .get(&prefix)
            .filter(|name| open.contains(name))
            .filter(|name| self.cost(name) <= self.cost(best) + 250);
        hinted.unwrap_or(best).clone()
    }

    fn least_reported(&self, open: &[Name]) -> Name {
        open.iter()
            .min_by_key(|name| self.targets[*name].reported)
            .expect("open is not empty")
            .clone()
    }

    fn cost(&self, name: &str) -> u64 {
        let target = &self.targets[name];
        let is_remote = target.data_centre != self.data_centre;
        target.load_permille() + if is_remote { REMOTE_PERMILLE } else { 0 }
    }
}
