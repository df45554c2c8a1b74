//! Ways in which an order in doubt could be forgotten, or an agent be stuck:
//! health checks and reports that fail, stagings that take long, outcomes that
//! come when another order is out.

mod swarm_world;

use raildale_core::swarm::{
    Effect, Event, OrderGuard, OrderOutcome, Peer, Source, Swarm, TargetStart,
    TargetState,
};
use swarm_world::{
    CHUNKS, Faults, World, agent, centre, chunk, digests, ip, layout,
};
use yare::parameterized;

const MACHINES: usize = 6;
const SEEDS: std::ops::Range<u64> = 0..60;

fn late() -> Faults {
    Faults { late_orders_per_mille: 500, ..Faults::default() }
}

// A health check waits for a slot or is rejected as a request would be; a
// rejection carries no id. That must not be taken for another start.
#[parameterized(
    deaf = { Faults { deaf_per_mille: 20, ..late() } },
    checks_rejected = { Faults {
        deaf_per_mille: 20,
        rejected_checks_per_mille: 300,
        ..late()
    } },
    checks_rejected_and_restarts = { Faults {
        deaf_per_mille: 20,
        rejected_checks_per_mille: 300,
        target_restarts_per_mille: 20,
        ..late()
    } },
    checks_lost = { Faults {
        deaf_per_mille: 20,
        lost_checks_per_mille: 800,
        ..late()
    } },
    checks_lost_and_rot = { Faults {
        deaf_per_mille: 20,
        lost_checks_per_mille: 900,
        rot_per_mille: 10,
        ..late()
    } },
    stagings_slow = { Faults { slow_stagings_per_mille: 300, ..late() } },
    stagings_slow_and_restarts = { Faults {
        slow_stagings_per_mille: 300,
        target_restarts_per_mille: 20,
        ..late()
    } },
)]
fn no_late_order_loads_the_wrong_chunks(faults: Faults) {
    let mut torn = Vec::new();
    let mut stuck = Vec::new();
    for seed in SEEDS {
        let mut world = World::new(seed, MACHINES, 1, faults);
        world.run_for(500);
        for version in 2..6 {
            world.name(version);
            world.run_for(4_400);
        }
        world.faults = Faults::default();
        world.run_for(13_000);
        if world.torn_orders() > 0 {
            torn.push(seed);
        }
        if world.serve(5) < MACHINES {
            stuck.push(seed);
        }
    }
    assert!(
        torn.is_empty() && stuck.is_empty(),
        "torn orders in seeds {torn:?}, stuck in {stuck:?}"
    );
}

/// One agent, by hand.
struct Alone {
    swarm: Swarm,
    now_ms: u64,
    state: TargetState,
    /// What each order relied on, oldest first.
    guards: Vec<OrderGuard>,
}

impl Alone {
    /// Beside a target that serves version 1.
    fn new() -> Alone {
        let state = TargetState {
            is_up: true,
            serves_version: 1,
            pace: 1.0,
            ..TargetState::default()
        };
        let mut alone = Alone {
            swarm: agent(0),
            now_ms: 1_000_000,
            state,
            guards: Vec::new(),
        };
        let peer = Peer {
            ip: ip(0),
            data_centre: centre(0),
            whole_version: 0,
            serves_version: 1,
            is_slow: false,
        };
        alone.take(Event::Peers(vec![peer]));
        alone.take(layout());
        alone.take(Event::Target(state));
        alone
    }

    fn take(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.swarm.reduce(self.now_ms, event, &mut effects);
        for effect in &effects {
            if let Effect::Order { guard, .. } = effect {
                self.guards.push(guard.clone());
            }
        }
        effects
    }

    /// What came of the order in a place, the oldest first.
    fn answer(&mut self, place: usize, outcome: OrderOutcome) {
        let guard = self.guards[place].clone();
        self.take(Event::Ordered { guard, outcome });
    }

    /// What came of the last order.
    fn answer_last(&mut self, outcome: OrderOutcome) {
        self.answer(self.guards.len() - 1, outcome);
    }

    fn ready(&mut self) {
        self.take(Event::TargetStart(TargetStart::Named("a".into())));
        self.take(Event::StagingRead { chunks: Some(Vec::new()) });
    }

    /// Named long enough ago that every turn has come; held whole.
    fn give(&mut self, version: u64) -> Vec<Effect> {
        let named_ms = self.now_ms - 7_000;
        let mut all = self.take(Event::Named { version, named_ms });
        let source = Source::Origin;
        let result = Ok(digests(version));
        all.extend(self.take(Event::Manifest { version, source, result }));
        for index in 0..CHUNKS {
            let result = Ok(chunk(version, index));
            let took_ms = 1;
            all.extend(self.take(Event::Chunk {
                version,
                index,
                source,
                result,
                took_ms,
            }));
        }
        all
    }

    /// Lets time pass, tick by tick.
    fn pass(&mut self, ms: u64) -> Vec<Effect> {
        let end_ms = self.now_ms + ms;
        let mut all = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms += 50;
            all.extend(self.take(Event::Target(self.state)));
            all.extend(self.take(Event::Tick));
        }
        all
    }

    /// An order for version 2 that gets no answer.
    fn order_in_doubt(&mut self) {
        self.ready();
        self.give(2);
        let effects = self.take(Event::Staged { version: 2, is_done: true });
        assert_eq!(orders(&effects), [2], "an order for 2 went out");
        self.pass(400);
        self.answer_last(OrderOutcome::Unanswered);
    }

    /// Lets time pass until 2 is staged anew; orders get no answer.
    fn until_staged_anew(&mut self) {
        for _ in 0..20 {
            let passed = self.pass(400);
            if stagings(&passed).contains(&2) {
                return;
            }
            if !orders(&passed).is_empty() {
                self.answer_last(OrderOutcome::Unanswered);
            }
        }
        panic!("2 is staged anew while its order is in doubt");
    }
}

fn orders(effects: &[Effect]) -> Vec<u64> {
    let version = |effect: &Effect| match effect {
        Effect::Order { version, .. } => Some(*version),
        _ => None,
    };
    effects.iter().filter_map(version).collect()
}

fn stagings(effects: &[Effect]) -> Vec<u64> {
    let version = |effect: &Effect| match effect {
        Effect::Stage { version, .. } => Some(*version),
        _ => None,
    };
    effects.iter().filter_map(version).collect()
}

/// The target is too busy for one look, and for one health check; it never
/// started anew. The order for 2 may still be carried out.
#[test]
fn a_rejected_health_check_frees_no_order() {
    let mut alone = Alone::new();
    alone.order_in_doubt();
    let mut effects = alone.give(3);
    alone.take(Event::Target(TargetState::default()));
    let state = alone.state;
    alone.take(Event::Target(state));
    effects.extend(alone.take(Event::TargetStart(TargetStart::Untold)));
    effects.extend(alone.pass(1_000));
    assert!(!stagings(&effects).contains(&3), "3 is staged under 2's order");
}

/// An order names the start that it is for, once that was ever told.
#[test]
fn a_rejected_health_check_does_not_unname_the_start() {
    let mut alone = Alone::new();
    alone.ready();
    alone.take(Event::Target(TargetState::default()));
    let state = alone.state;
    alone.take(Event::Target(state));
    alone.take(Event::TargetStart(TargetStart::Untold));
    alone.give(2);
    let mut effects = alone.take(Event::Staged { version: 2, is_done: true });
    effects.extend(alone.pass(1_000));
    for effect in effects {
        if let Effect::Order { guard, .. } = effect {
            assert!(
                guard.start.is_some(),
                "an order for any start: {guard:?}"
            );
        }
    }
}

/// What may turn bad is staged anew while an order is in doubt, also while
/// the target is too busy to say which start is up.
#[test]
fn chunks_stay_fresh_while_the_start_is_in_doubt() {
    let mut alone = Alone::new();
    alone.order_in_doubt();
    alone.until_staged_anew();
    // One put in vain and one report that is late.
    alone.take(Event::Staged { version: 2, is_done: false });
    alone.take(Event::Target(TargetState::default()));
    let mut effects = Vec::new();
    for _ in 0..20 {
        let passed = alone.pass(400);
        if passed.contains(&Effect::QueryStart) {
            alone.take(Event::TargetStart(TargetStart::Lost));
        }
        if !stagings(&passed).is_empty() {
            alone.take(Event::Staged { version: 2, is_done: true });
        }
        effects.extend(passed);
    }
    let staged = stagings(&effects).len();
    assert!(staged >= 3, "staged anew {staged} times in 8 s");
}

/// A staging of which one chunk cannot be read holds nobody back for good.
#[test]
fn staging_that_cannot_be_read_holds_back_for_a_while_only() {
    let mut alone = Alone::new();
    alone.take(Event::TargetStart(TargetStart::Named("a".into())));
    alone.give(2);
    let mut effects = Vec::new();
    for _ in 0..120 {
        let passed = alone.pass(500);
        if passed.contains(&Effect::ReadStaging) {
            alone.take(Event::StagingRead { chunks: None });
        }
        effects.extend(passed);
    }
    assert!(stagings(&effects).contains(&2), "nothing staged in 60 s");
}

/// Puts of one version still run while those of another begin: the order for
/// the second finds a mixture.
#[test]
fn two_versions_are_never_staged_at_once() {
    let mut alone = Alone::new();
    alone.order_in_doubt();
    // Chunks older than 2 s are staged anew: this staging is slow.
    alone.until_staged_anew();
    // The late order is carried out meanwhile, and version 2 served.
    alone.state.orders += 1;
    alone.state.serves_version = 0;
    alone.pass(100);
    alone.state.serves_version = 2;
    alone.pass(100);
    let effects = alone.give(3);
    let is_staged = stagings(&effects).contains(&3);
    assert!(!is_staged, "3 is being staged while puts of 2 are under way");
}

/// The first order is carried out just before its repetition arrives, which
/// is refused: the target loads, and takes nothing new.
#[test]
fn a_target_that_loads_is_not_said_to_accept() {
    let mut alone = Alone::new();
    alone.order_in_doubt();
    let passed = alone.pass(100);
    assert_eq!(orders(&passed), [2], "repeated");
    alone.state.orders += 1;
    alone.state.serves_version = 0;
    alone.pass(50);
    alone.answer_last(OrderOutcome::Refused);
    assert!(!alone.swarm.report().is_accepting, "it loads version 2");
}

/// What lies staged is known and complete; only the start is in doubt for 5 s
/// (the target is full, so that its health check waits for a slot). An order
/// of the agent before may be carried out up to 12 s late.
#[test]
fn what_lies_staged_is_ordered_first_however_long_the_start_is_in_doubt() {
    let mut alone = Alone::new();
    alone.take(Event::TargetStart(TargetStart::Lost));
    let all = (0..CHUNKS).map(|index| (index, chunk(2, index))).collect();
    alone.take(Event::StagingRead { chunks: Some(all) });
    alone.give(2);
    let mut effects = alone.give(3);
    for _ in 0..13 {
        let passed = alone.pass(400);
        if passed.contains(&Effect::QueryStart) {
            alone.take(Event::TargetStart(TargetStart::Lost));
        }
        effects.extend(passed);
    }
    effects.extend(
        alone.take(Event::TargetStart(TargetStart::Named("a".into()))),
    );
    effects.extend(alone.pass(1_000));
    let first = stagings(&effects).first().copied();
    assert_eq!(first, Some(2), "an earlier agent may have ordered 2");
}

/// The outcome of an order for an earlier start comes while one for the
/// present start is out: it says nothing of the second one.
#[test]
fn an_outcome_belongs_to_its_own_order() {
    let mut alone = Alone::new();
    alone.ready();
    alone.give(2);
    let first = alone.take(Event::Staged { version: 2, is_done: true });
    assert_eq!(orders(&first), [2]);
    // The target starts anew; its agent learns of it by a late report.
    alone.take(Event::Target(TargetState::default()));
    let state = alone.state;
    alone.take(Event::Target(state));
    alone.take(Event::TargetStart(TargetStart::Named("b".into())));
    alone.pass(50);
    let second = alone.take(Event::Staged { version: 2, is_done: true });
    assert_eq!(orders(&second), [2], "ordered anew");
    // 100 ms after the first one went out: its answer, then none to the
    // second one, which may be carried out yet.
    alone.answer(0, OrderOutcome::Refused);
    let mut effects = alone.give(3);
    alone.pass(350);
    alone.answer(1, OrderOutcome::Unanswered);
    effects.extend(alone.pass(2_000));
    let is_staged = stagings(&effects).contains(&3);
    assert!(!is_staged, "3 is staged under 2's order in doubt");
}
