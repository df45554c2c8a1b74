//! Target selection for a request.
//!
//! Load reports lag, so the dispatches made since a report are added to it.
//! The less loaded of two randomly chosen targets is selected. Selecting the
//! target with the least reported load instead would make every entry host
//! choose the same target until the next report. A prompt prefix that was
//! seen before adds a third candidate, which is preferred but not guaranteed.

use std::collections::BTreeMap;

use rand::{RngExt, rngs::SmallRng};

use crate::{Digest, Name, message::Report};

/// Consecutive failures after which a target is excluded from routing.
const BREAKER_FAILURES: u32 = 3;

/// How long a target stays excluded before requests are sent to it again.
const BREAKER_PAUSE_MS: u64 = 2_000;

/// Load, in permille of its capacity, that is added to a target in another
/// data centre. It is small because crossing costs only a few milliseconds.
const REMOTE_COST_PERMILLE: u64 = 50;

/// The maximum number of prompt prefixes kept for affinity.
const MAX_PREFIXES: usize = 10_000;

/// How a target is selected among those that can serve a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The better of two random choices, with this entry host's own
    /// dispatches added to the reported load, and with prefix affinity.
    #[default]
    TwoChoices,
    /// The target with the least reported load. A baseline.
    LeastReported,
    /// A random target. A baseline.
    Random,
    /// Round-robin. A baseline.
    RoundRobin,
}

/// An entry host's view of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The incarnation of its agent.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: Name,
    /// The manifest digest of each model that it serves; `None` for a plain
    /// service.
    pub served: BTreeMap<Name, Option<Digest>>,
    /// The maximum number of concurrent runs.
    pub capacity: u64,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    reported_runs: u64,
    own_runs: u64,
    own_runs_at_report: u64,
    failures: u32,
    excluded_until_ms: u64,
}

impl Target {
    /// Creates a target that has not reported yet.
    pub fn new(incarnation: u64, data_centre: Name) -> Target {
        Target {
            incarnation,
            data_centre,
            served: BTreeMap::new(),
            capacity: 0,
            leaving: false,
            reported_runs: 0,
            own_runs: 0,
            own_runs_at_report: 0,
            failures: 0,
            excluded_until_ms: 0,
        }
    }

    /// Returns an estimate of the runs in progress: those of other entry
    /// hosts at the last report, and those of this one now.
    pub fn load(&self) -> u64 {
        self.reported_runs.saturating_sub(self.own_runs_at_report)
            + self.own_runs
    }

    /// Returns the load in permille of the capacity.
    fn load_permille(&self) -> u64 {
        self.load() * 1000 / self.capacity.max(1)
    }

    fn can_serve(&self, model: &str, now_ms: u64) -> bool {
        !self.leaving
            && self.served.contains_key(model)
            && self.excluded_until_ms <= now_ms
    }

    fn has_free_capacity(&self) -> bool {
        self.load() < self.capacity
    }
}

/// An entry host's view of all targets.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    data_centre: Name,
    targets: BTreeMap<Name, Target>,
    prefixes: BTreeMap<u64, Name>,
    round_robin_index: usize,
}

impl Router {
    /// Creates a router for an entry host in `data_centre`.
    pub fn new(policy: Policy, data_centre: Name) -> Router {
        Router {
            policy,
            data_centre,
            targets: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            round_robin_index: 0,
        }
    }

    /// Returns the targets, sorted by name.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.targets.iter()
    }

    /// Returns the target with this name, if its agent is connected.
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Adds the target of an agent that connected.
    pub fn add(&mut self, name: Name, target: Target) {
        self.targets.insert(name, target);
    }

    /// Removes the target of an agent that disconnected.
    pub fn remove(&mut self, name: &str) {
        self.targets.remove(name);
    }

    /// Records a load report of a target.
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
        target.reported_runs = report.running.into();
        target.own_runs_at_report = target.own_runs;
    }

    /// Returns whether any target serves `model`, with or without free
    /// capacity.
    pub fn serves(&self, model: &str, now_ms: u64) -> bool {
        self.targets.values().any(|target| target.can_serve(model, now_ms))
    }

    /// Returns the number of additional runs that the targets of `model` can
    /// accept in total.
    pub fn free_capacity(&self, model: &str, now_ms: u64) -> u64 {
        self.targets
            .values()
            .filter(|target| target.can_serve(model, now_ms))
            .map(|target| target.capacity.saturating_sub(target.load()))
            .sum()
    }

    /// Returns the total number of concurrent runs of the targets of `model`.
    pub fn capacity(&self, model: &str, now_ms: u64) -> u64 {
        self.targets
            .values()
            .filter(|target| target.can_serve(model, now_ms))
            .map(|target| target.capacity)
            .sum()
    }

    /// Selects a target for `model` that has free capacity and is not in
    /// `tried`. Returns `None` if there is none.
    pub fn pick(
        &mut self,
        model: &str,
        prefix: u64,
        tried: &[Name],
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Option<Name> {
        let candidates: Vec<Name> = self
            .targets
            .iter()
            .filter(|(name, target)| {
                target.can_serve(model, now_ms)
                    && target.has_free_capacity()
                    && !tried.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let name = match self.policy {
            Policy::TwoChoices => self.two_choices(&candidates, prefix, rng),
            Policy::LeastReported => self.least_reported(&candidates),
            Policy::Random => {
                candidates[rng.random_range(0..candidates.len())].clone()
            }
            Policy::RoundRobin => {
                self.round_robin_index += 1;
                candidates[self.round_robin_index % candidates.len()].clone()
            }
        };
        Some(name)
    }

    /// Records that a request was dispatched to the target `name`.
    pub fn record_dispatch(&mut self, name: &str, prefix: u64) {
        if let Some((name, _)) = self.targets.get_key_value(name) {
            let name = name.clone();
            if self.prefixes.len() >= MAX_PREFIXES {
                self.prefixes.pop_first();
            }
            self.prefixes.insert(prefix, name);
        }
        if let Some(target) = self.targets.get_mut(name) {
            target.own_runs += 1;
        }
    }

    /// Records the end of an attempt at the target `name`; `succeeded` is
    /// `false` if the target failed. Returns whether the target is excluded
    /// from routing as a result.
    pub fn record_result(
        &mut self,
        name: &str,
        succeeded: bool,
        now_ms: u64,
    ) -> bool {
        let Some(target) = self.targets.get_mut(name) else { return false };
        target.own_runs = target.own_runs.saturating_sub(1);
        target.own_runs_at_report =
            target.own_runs_at_report.min(target.own_runs);
        if succeeded {
            target.failures = 0;
            return false;
        }
        target.failures += 1;
        let is_excluded = target.failures >= BREAKER_FAILURES;
        if is_excluded {
            target.excluded_until_ms = now_ms + BREAKER_PAUSE_MS;
        }
        is_excluded
    }

    /// Records that a target is leaving.
    pub fn set_leaving(&mut self, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.leaving = true;
        }
    }

    fn two_choices(
        &self,
        candidates: &[Name],
        prefix: u64,
        rng: &mut SmallRng,
    ) -> Name {
        let first = &candidates[rng.random_range(0..candidates.len())];
        let second = &candidates[rng.random_range(0..candidates.len())];
        let best = [first, second]
            .into_iter()
            .min_by_key(|name| self.cost(name))
            .expect("there are two candidates");
        let preferred = self
            .prefixes
            .get(&prefix)
            .filter(|name| candidates.contains(name))
            .filter(|name| self.cost(name) <= self.cost(best) + 250);
        preferred.unwrap_or(best).clone()
    }

    fn least_reported(&self, candidates: &[Name]) -> Name {
        candidates
            .iter()
            .min_by_key(|name| self.targets[*name].reported_runs)
            .expect("candidates is not empty")
            .clone()
    }

    fn cost(&self, name: &str) -> u64 {
        let target = &self.targets[name];
        let is_remote = target.data_centre != self.data_centre;
        target.load_permille()
            + if is_remote { REMOTE_COST_PERMILLE } else { 0 }
    }
}
