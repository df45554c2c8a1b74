//! Seeded randomised simulations of settings changes with injected faults.
//!
//! A change must be written at most once, come into force at all processes and
//! never be replaced by an older revision.

mod world;

use std::collections::BTreeMap;

use raildale_core::{
    Name,
    settings::writer::{Outcome, Reply, Step, Writer},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use world::{World, seed_range, settings, settings_at};
use yare::parameterized;

/// A fake of the platform's object that holds the settings. It loses replies,
/// returns stale reads and delays writes.
struct SettingsObject {
    /// The ids of the operations that were written, one for each revision.
    history: Vec<String>,
    /// The delayed writes: expected revision and operation id.
    late_writes: Vec<(u64, String)>,
    /// The percentage of lost replies.
    lost_percent: u32,
    /// The percentage of reads that may be stale.
    stale_percent: u32,
    /// The percentage of writes that are delayed and get no reply.
    late_percent: u32,
}

impl SettingsObject {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn read(&self, rng: &mut SmallRng) -> Reply {
        if rng.random_range(0..100) < self.lost_percent {
            return Reply::Lost;
        }
        let is_stale = rng.random_range(0..100) < self.stale_percent;
        let behind = if is_stale { rng.random_range(0..4) } else { 0 };
        let length = self.history.len().saturating_sub(behind);
        Reply::Read {
            revision: length as u64,
            operations: self.history[..length].to_vec(),
        }
    }

    fn write(
        &mut self,
        rng: &mut SmallRng,
        expected: u64,
        operation: &str,
    ) -> Reply {
        if rng.random_range(0..100) < self.late_percent {
            self.late_writes.push((expected, operation.to_string()));
            return Reply::Lost;
        }
        let reply = self.apply(expected, operation);
        match rng.random_range(0..100) < self.lost_percent {
            true => Reply::Lost,
            false => reply,
        }
    }

    fn apply(&mut self, expected: u64, operation: &str) -> Reply {
        if expected != self.revision() {
            return Reply::Conflict;
        }
        self.history.push(operation.to_string());
        Reply::Written { revision: self.revision() }
    }

    /// Delivers a random delayed write, in one of three calls.
    fn deliver_late_write(&mut self, rng: &mut SmallRng) {
        if !self.late_writes.is_empty() && rng.random_range(0..3) == 0 {
            let index = rng.random_range(0..self.late_writes.len());
            let (expected, operation) = self.late_writes.remove(index);
            self.apply(expected, &operation);
        }
    }
}

/// An operator who makes one change.
struct Operator {
    writer: Writer,
    /// The change's operation id.
    operation: String,
    step: Step,
}

impl Operator {
    fn new(number: u64, expected: Option<u64>) -> Operator {
        let operation = format!("op-{number}");
        let writer = Writer::new(operation.clone(), expected);
        let step = writer.start();
        Operator { writer, operation, step }
    }
}

#[parameterized(
    calm = { 0, 0, 0 },
    answers_are_lost = { 40, 0, 0 },
    reads_are_stale = { 0, 50, 0 },
    writes_come_late = { 0, 0, 40 },
    all_at_once = { 25, 30, 25 },
)]
fn a_change_is_written_once_and_reported_correctly(
    lost_percent: u32,
    stale_percent: u32,
    late_percent: u32,
) {
    for seed in seed_range(300) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut object = SettingsObject {
            history: vec![],
            late_writes: vec![],
            lost_percent,
            stale_percent,
            late_percent,
        };
        let mut outcomes = BTreeMap::new();
        let mut number = 0;
        let mut operators: Vec<Operator> = vec![];
        for _ in 0..200 {
            while operators.len() < 3 {
                number += 1;
                let has_expected = rng.random_range(0..2) == 0;
                let expected = has_expected.then(|| object.revision());
                operators.push(Operator::new(number, expected));
            }
            let index = rng.random_range(0..operators.len());
            let operator = &mut operators[index];
            let reply = match operator.step {
                Step::Read => object.read(&mut rng),
                Step::Write { expected } => {
                    object.write(&mut rng, expected, &operator.operation)
                }
                Step::Finished(outcome) => {
                    outcomes.insert(operator.operation.clone(), outcome);
                    operators.remove(index);
                    continue;
                }
            };
            operator.step = operator.writer.next(reply);
            object.deliver_late_write(&mut rng);
        }
        while !object.late_writes.is_empty() {
            object.deliver_late_write(&mut rng);
        }
        check_outcomes(seed, &object.history, &outcomes);
    }
}

/// Checks that each change was written at most once and that its reported
/// outcome is true.
fn check_outcomes(
    seed: u64,
    history: &[String],
    outcomes: &BTreeMap<String, Outcome>,
) {
    for (operation, outcome) in outcomes {
        let times = history.iter().filter(|known| *known == operation).count();
        assert!(
            times <= 1,
            "seed {seed}: {operation} was written {times} times"
        );
        match outcome {
            Outcome::Accepted { revision } => {
                let index =
                    history.iter().position(|known| known == operation);
                let written_at = index.map(|index| index as u64 + 1);
                assert!(
                    written_at
                        .is_some_and(|written_at| written_at <= *revision),
                    "seed {seed}: {operation} was reported accepted"
                );
            }
            Outcome::Conflict | Outcome::NotWritten => assert_eq!(
                times, 0,
                "seed {seed}: {operation} was reported as {outcome:?}"
            ),
            Outcome::Unsettled => {}
        }
    }
}

/// The faults injected while settings change.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    restarts: bool,
    disconnects: bool,
    pauses: bool,
    duplicates: bool,
}

/// Returns whether all running processes have this revision.
fn is_in_force_everywhere(world: &World, revision: u64) -> bool {
    let entries = world.names(false).into_iter();
    let entries_match = entries
        .filter_map(|name| world.entry(&name).map(|e| e.revision()))
        .all(|current| current == revision);
    let agents = world.names(true).into_iter();
    entries_match
        && agents
            .filter_map(|name| world.agent(&name).map(|a| a.revision()))
            .all(|current| current == revision)
}

#[parameterized(
    calm = { Faults::default() },
    processes_restart = { Faults { restarts: true, ..Faults::default() } },
    links_are_cut = { Faults { disconnects: true, ..Faults::default() } },
    processes_freeze = { Faults { pauses: true, ..Faults::default() } },
    all_at_once = {
        Faults {
            restarts: true,
            disconnects: true,
            pauses: true,
            duplicates: true,
        }
    },
)]
fn settings_reach_all_processes_and_never_revert(faults: Faults) {
    for seed in seed_range(12) {
        let mut world = World::new(seed);
        world.duplicate_percent = if faults.duplicates { 5 } else { 0 };
        let version = world.publish("first", 3, 0);
        world.add_entries(5);
        world.add_agents(6);
        let mut revision = world.accept_settings(settings(version));
        world.run_for(3_000);
        let mut highest: BTreeMap<(Name, u64), u64> = BTreeMap::new();
        for _ in 0..60 {
            if world.rng.random_range(0..4) == 0 {
                revision = world.accept_settings(settings(version));
            }
            inject_faults(&mut world, faults);
            world.run_for(100);
            check_revisions(&world, seed, &mut highest);
        }
        let is_in_force = world.run_until(10_000, |world| {
            is_in_force_everywhere(world, revision)
        });
        assert!(is_in_force, "seed {seed}: {}", world.describe());
    }
}

/// Without faults an accepted change is in force everywhere within 2 s.
#[test]
fn a_change_is_in_force_everywhere_within_two_seconds() {
    for seed in seed_range(12) {
        let mut world = World::new(seed);
        let version = world.publish("first", 3, 0);
        world.add_entries(7);
        world.add_agents(20);
        world.accept_settings(settings(version));
        world.run_for(3_000);
        for _ in 0..10 {
            let revision = world.accept_settings(settings(version));
            let is_in_force = world.run_until(2_000, |world| {
                is_in_force_everywhere(world, revision)
            });
            assert!(is_in_force, "seed {seed}: {}", world.describe());
        }
    }
}

/// An agent that starts while the platform is down learns the newest revision
/// from entry hosts and gives its target no orders based on an older one.
#[test]
fn a_restart_during_an_outage_does_not_bring_old_settings_back() {
    for seed in seed_range(20) {
        let mut world = World::new(seed);
        let old = world.publish("old", 3, 0);
        let manifest = world.manifests[&old].clone();
        world.origin.insert("m/old".into(), manifest);
        world.add_entries(5);
        world.add_agents(6);
        world.accept_settings(settings_at(old, "m/old"));
        world.run_for(4_000);
        // One entry host is cut off from all others and keeps the old
        // settings.
        let lagging: Name = "entry-4".into();
        for other in world.names(false) {
            if other != lagging {
                world.partition(&lagging, &other);
            }
        }
        world.stop_watching(&lagging);
        let new = world.publish("new", 3, 0);
        world.accept_settings(settings(new));
        let is_new = world.run_until(10_000, |world| {
            world.targets.values().all(|target| target.active == Some(new))
        });
        assert!(is_new, "seed {seed}: {}", world.describe());
        world.platform_is_down = true;
        // The restarted agents reach only the lagging entry host at first,
        // and the others 400 ms later.
        for name in world.names(true) {
            for entry in world.names(false) {
                if entry != lagging {
                    world.partition(&name, &entry);
                }
            }
            world.restart(&name);
        }
        world.run_for(400);
        world.heal();
        world.run_until(6_000, |world| {
            for (name, target) in &world.targets {
                let serves = target.active;
                assert_eq!(serves, Some(new), "seed {seed}: {name}");
            }
            false
        });
    }
}

/// Injects random faults of the enabled kinds at a random process.
fn inject_faults(world: &mut World, faults: Faults) {
    let is_agent = world.rng.random_range(0..2) == 0;
    let names = world.names(is_agent);
    let name = names[world.rng.random_range(0..names.len())].clone();
    if faults.restarts && world.rng.random_range(0..6) == 0 {
        world.restart(&name);
    }
    if faults.disconnects && world.rng.random_range(0..3) == 0 {
        world.disconnect_all(&name);
    }
    if faults.pauses && world.rng.random_range(0..6) == 0 {
        let ms = world.rng.random_range(50..4_000);
        world.pause(&name, ms);
    }
}

/// Checks that the revision of a process never decreases within an
/// incarnation.
fn check_revisions(
    world: &World,
    seed: u64,
    highest: &mut BTreeMap<(Name, u64), u64>,
) {
    for name in world.names(true).into_iter().chain(world.names(false)) {
        let agent = world.agent(&name).map(|agent| agent.revision());
        let entry = world.entry(&name).map(|entry| entry.revision());
        let Some(revision) = agent.or(entry) else { continue };
        let incarnation = world.nodes[&name].identity.incarnation;
        let known = highest.entry((name.clone(), incarnation)).or_default();
        assert!(
            revision >= *known,
            "seed {seed}: the revision of {name} decreased"
        );
        *known = revision;
    }
}
