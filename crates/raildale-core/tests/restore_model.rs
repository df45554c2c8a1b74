//! Model test of the processes' knowledge of a store that is restored
//! repeatedly.
//!
//! The operator writes configurations, the store is restored from older
//! copies, answers arrive late, and processes restart and forward their
//! knowledge to each other. No process may ever hold an older configuration
//! after a newer one, and all must hold the newest once it is written again.

use bytes::Bytes;
use proptest::prelude::*;
use raildale_core::{
    Name,
    catalog::{Change, Mirror, Progress, Snapshot, Stamp, StoredObject},
};

const PROCESSES: usize = 3;

/// A step of the model.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator writes the next configuration.
    Write,
    /// Another object is written.
    WriteOther,
    /// The store makes a copy.
    Copy,
    /// The store is restored from its copy.
    Restore,
    /// The operator writes its newest configuration again.
    WriteAgain,
    /// A process lists the objects.
    List(usize),
    /// A process receives the changes since its last known revision.
    Watch(usize),
    /// An answer to a list request is sent and delayed.
    HoldAnswer,
    /// The delayed answer reaches a process.
    DeliverHeld(usize),
    /// A process receives the knowledge of another: (from, to).
    Forward(usize, usize),
    /// A process restarts.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let process = || 0..PROCESSES;
    let step = prop_oneof![
        3 => Just(Step::Write),
        2 => Just(Step::WriteOther),
        2 => Just(Step::Copy),
        2 => Just(Step::Restore),
        2 => Just(Step::WriteAgain),
        4 => process().prop_map(Step::List),
        6 => process().prop_map(Step::Watch),
        1 => Just(Step::HoldAnswer),
        2 => process().prop_map(Step::DeliverHeld),
        4 => (process(), process())
            .prop_map(|(from, to)| Step::Forward(from, to)),
        1 => process().prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

/// The state of the store: its revision, and the version of the configuration
/// with the revision of its last change.
#[derive(Clone, Copy, Debug, Default)]
struct StoreState {
    revision: u64,
    version: u64,
    changed: u64,
}

#[derive(Debug, Default)]
struct World {
    era: u64,
    state: StoreState,
    copy: StoreState,
    /// The newest version written by the operator.
    newest: u64,
    delayed: Option<Snapshot>,
    known: [Mirror; PROCESSES],
}

impl World {
    fn new() -> World {
        let mut world = World::default();
        world.write(1);
        world.newest = 1;
        world.copy = world.state;
        for process in 0..PROCESSES {
            world.list(process);
        }
        world
    }

    fn write(&mut self, version: u64) {
        self.state.revision += 1;
        self.state.changed = self.state.revision;
        self.state.version = version;
    }

    fn object(&self) -> StoredObject {
        StoredObject {
            name: Name::from("main"),
            stamp: Stamp::new(self.era, self.state.changed),
            body: Bytes::from(self.state.version.to_string()),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let stamp = Stamp::new(self.era, self.state.revision);
        Snapshot { stamp, objects: vec![self.object()] }
    }

    fn list(&mut self, process: usize) {
        let snapshot = self.snapshot();
        self.known[process].replace(snapshot, progress);
    }

    /// A watch from a revision that the store does not have is answered with
    /// status 410, and one of another era is not applied: the process lists
    /// the objects instead.
    fn watch(&mut self, process: usize) {
        let known = self.known[process].stamp();
        if known.era != self.era || known.revision > self.state.revision {
            self.list(process);
            return;
        }
        let is_changed = self.state.changed > known.revision;
        let puts = is_changed.then(|| Change::Put(self.object()));
        let stamp = Stamp::new(self.era, self.state.revision);
        let changes = puts.into_iter().collect();
        self.known[process].apply(stamp, changes, progress);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write => {
                self.newest += 1;
                self.write(self.newest);
            }
            Step::WriteOther => self.state.revision += 1,
            Step::Copy => self.copy = self.state,
            Step::Restore => {
                self.era += 1;
                self.state = self.copy;
            }
            Step::WriteAgain => self.write(self.newest),
            Step::List(process) => self.list(process),
            Step::Watch(process) => self.watch(process),
            Step::HoldAnswer => self.delayed = Some(self.snapshot()),
            Step::DeliverHeld(process) => {
                if let Some(delayed) = self.delayed.clone() {
                    self.known[process].replace(delayed, progress);
                }
            }
            Step::Forward(from, to) => {
                let known_snapshot = self.known[from].snapshot();
                if self.known[from].is_known() {
                    self.known[to].replace(known_snapshot, progress);
                }
            }
            Step::Restart(process) => self.known[process] = Mirror::new(),
        }
    }

    /// Returns the version that a process holds; 0 if it knows none.
    fn version(&self, process: usize) -> u64 {
        let known = self.known[process].get("main");
        known.and_then(progress).map_or(0, |progress| progress.level)
    }
}

fn progress(object: &StoredObject) -> Option<Progress> {
    let text = std::str::from_utf8(&object.body).ok()?;
    Some(Progress { subject: 0, level: text.parse().ok()? })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_configuration_goes_back_over_restores(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            let before = [0, 1, 2].map(|process| world.version(process));
            world.apply(step);
            for (process, before) in before.into_iter().enumerate() {
                let is_new = matches!(step, Step::Restart(p) if p == process);
                let after = world.version(process);
                prop_assert!(is_new || after >= before, "{step:?}: {world:?}");
            }
        }
        world.apply(Step::WriteAgain);
        for process in 0..PROCESSES {
            world.apply(Step::Watch(process));
            prop_assert_eq!(world.version(process), world.newest);
        }
    }
}
