//! Seeded randomised runs of settings: written once, in force everywhere,
//! never back.

mod world;

use std::collections::BTreeMap;

use raildale_core::{
    Name,
    settings::writer::{Outcome, Reply, Step, Writer},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use world::{World, seed_range, settings, settings_at};
use yare::parameterized;

/// The platform's object, with every fault that the brief names.
struct Object {
    history: Vec<String>,
    in_flight: Vec<(u64, String)>,
    lose_percent: u32,
    stale_percent: u32,
    late_percent: u32,
}

impl Object {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn read(&self, rng: &mut SmallRng) -> Reply {
        if rng.random_range(0..100) < self.lose_percent {
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

    fn write(&mut self, rng: &mut SmallRng, expected: u64, op: &str) -> Reply {
        if rng.random_range(0..100) < self.late_percent {
            self.in_flight.push((expected, op.to_string()));
            return Reply::Lost;
        }
        let reply = self.apply(expected, op);
        match rng.random_range(0..100) < self.lose_percent {
            true => Reply::Lost,
            false => reply,
        }
    }

    fn apply(&mut self, expected: u64, op: &str) -> Reply {
        if expected != self.revision() {
            return Reply::Conflict;
        }
        self.history.push(op.to_string());
        Reply::Written { revision: self.revision() }
    }

    /// Writes that were held up on their way arrive.
    fn settle(&mut self, rng: &mut SmallRng) {
        if !self.in_flight.is_empty() && rng.random_range(0..3) == 0 {
            let place = rng.random_range(0..self.in_flight.len());
            let (expected, op) = self.in_flight.remove(place);
            self.apply(expected, &op);
        }
    }
}

struct Operator {
    writer: Writer,
    op: String,
    step: Step,
}

impl Operator {
    fn new(number: u64, expected: Option<u64>) -> Operator {
        let op = format!("op-{number}");
        let writer = Writer::new(op.clone(), expected);
        let step = writer.start();
        Operator { writer, op, step }
    }
}

#[parameterized(
    calm = { 0, 0, 0 },
    answers_are_lost = { 40, 0, 0 },
    reads_are_stale = { 0, 50, 0 },
    writes_come_late = { 0, 0, 40 },
    all_at_once = { 25, 30, 25 },
)]
fn a_change_is_written_once_and_reported_truly(
    lose_percent: u32,
    stale_percent: u32,
    late_percent: u32,
) {
    for seed in seed_range(300) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut object = Object {
            history: vec![],
            in_flight: vec![],
            lose_percent,
            stale_percent,
            late_percent,
        };
        let mut outcomes = BTreeMap::new();
        let mut number = 0;
        let mut operators: Vec<Operator> = vec![];
        for _ in 0..200 {
            while operators.len() < 3 {
                number += 1;
                let knows = rng.random_range(0..2) == 0;
                let expected = knows.then(|| object.revision());
                operators.push(Operator::new(number, expected));
            }
            let place = rng.random_range(0..operators.len());
            let operator = &mut operators[place];
            let reply = match operator.step {
                Step::Read => object.read(&mut rng),
                Step::Write { expected } => {
                    object.write(&mut rng, expected, &operator.op)
                }
                Step::Finished(outcome) => {
                    outcomes.insert(operator.op.clone(), outcome);
                    operators.remove(place);
                    continue;
                }
            };
            operator.step = operator.writer.next(reply);
            object.settle(&mut rng);
        }
        while !object.in_flight.is_empty() {
            object.settle(&mut rng);
        }
        judge(seed, &object.history, &outcomes);
    }
}

fn judge(seed: u64, history: &[String], outcomes: &BTreeMap<String, Outcome>) {
    for (op, outcome) in outcomes {
        let times = history.iter().filter(|known| *known == op).count();
        assert!(times <= 1, "seed {seed}: {op} was written {times} times");
        match outcome {
            Outcome::Accepted { revision } => {
                let place = history.iter().position(|known| known == op);
                let place = place.map(|place| place as u64 + 1);
                assert!(
                    place.is_some_and(|place| place <= *revision),
                    "seed {seed}: {op} was reported accepted"
                );
            }
            Outcome::Conflict | Outcome::NotWritten => assert_eq!(
                times, 0,
                "seed {seed}: {op} was reported as {outcome:?}"
            ),
            Outcome::Unsettled => {}
        }
    }
}

/// What goes wrong while settings change.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    restarts: bool,
    cuts: bool,
    pauses: bool,
    duplicates: bool,
}

fn in_force_everywhere(world: &World, revision: u64) -> bool {
    let entries = world.names(false).into_iter();
    let entries_have = entries
        .filter_map(|name| world.entry(&name).map(|e| e.revision()))
        .all(|has| has == revision);
    let agents = world.names(true).into_iter();
    entries_have
        && agents
            .filter_map(|name| world.agent(&name).map(|a| a.revision()))
            .all(|has| has == revision)
}

#[parameterized(
    calm = { Trouble::default() },
    processes_restart = { Trouble { restarts: true, ..Trouble::default() } },
    links_are_cut = { Trouble { cuts: true, ..Trouble::default() } },
    processes_freeze = { Trouble { pauses: true, ..Trouble::default() } },
    all_at_once = {
        Trouble { restarts: true, cuts: true, pauses: true, duplicates: true }
    },
)]
fn settings_reach_everyone_and_never_revert(trouble: Trouble) {
    for seed in seed_range(12) {
        let mut world = World::new(seed);
        world.duplicate_percent = if trouble.duplicates { 5 } else { 0 };
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
            disturb(&mut world, trouble);
            world.run_for(100);
            observe(&world, seed, &mut highest);
        }
        let everywhere = world
            .run_until(10_000, |world| in_force_everywhere(world, revision));
        assert!(everywhere, "seed {seed}: {}", world.describe());
    }
}

/// Without trouble an accepted change is in force everywhere within 2 s.
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
            let everywhere = world.run_until(2_000, |world| {
                in_force_everywhere(world, revision)
            });
            assert!(everywhere, "seed {seed}: {}", world.describe());
        }
    }
}

/// A process that starts while the platform is down learns the newest
/// revision from its peers, and orders nothing by an older one.
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
        // One entry host is cut off from all others and keeps the old ones.
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
        // The restarted agents reach the lagging one first, and the others
        // only a moment later.
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

fn disturb(world: &mut World, trouble: Trouble) {
    let is_agent = world.rng.random_range(0..2) == 0;
    let names = world.names(is_agent);
    let name = names[world.rng.random_range(0..names.len())].clone();
    if trouble.restarts && world.rng.random_range(0..6) == 0 {
        world.restart(&name);
    }
    if trouble.cuts && world.rng.random_range(0..3) == 0 {
        world.disconnect_all(&name);
    }
    if trouble.pauses && world.rng.random_range(0..6) == 0 {
        let ms = world.rng.random_range(50..4_000);
        world.pause(&name, ms);
    }
}

/// Within one life of a process its revision only grows.
fn observe(
    world: &World,
    seed: u64,
    highest: &mut BTreeMap<(Name, u64), u64>,
) {
    for name in world.names(true).into_iter().chain(world.names(false)) {
        let agent = world.agent(&name).map(|agent| agent.revision());
        let entry = world.entry(&name).map(|entry| entry.revision());
        let Some(revision) = agent.or(entry) else { continue };
        let life = world.nodes[&name].identity.incarnation;
        let known = highest.entry((name.clone(), life)).or_default();
        assert!(revision >= *known, "seed {seed}: {name} went back");
        *known = revision;
    }
}
