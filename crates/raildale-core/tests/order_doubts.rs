//! Faults in which an unanswered order could be forgotten or an agent could
//! get stuck: failed health checks and reports, slow stagings, and outcomes
//! that arrive when another order is pending.

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

fn base_faults() -> Faults {
    Faults { unanswered_orders_per_mille: 500, ..Faults::default() }
}

// A health check waits for a slot or is rejected like a request; a rejection
// carries no id. It must not be treated as another start.
#[parameterized(
    reports_lost = { Faults { lost_reports_per_mille: 20, ..base_faults() } },
    checks_rejected = { Faults {
        lost_reports_per_mille: 20,
        rejected_checks_per_mille: 300,
        ..base_faults()
    } },
    checks_rejected_and_restarts = { Faults {
        lost_reports_per_mille: 20,
        rejected_checks_per_mille: 300,
        target_restarts_per_mille: 20,
        ..base_faults()
    } },
    checks_lost = { Faults {
        lost_reports_per_mille: 20,
        lost_checks_per_mille: 800,
        ..base_faults()
    } },
    checks_lost_and_chunks_corrupt = { Faults {
        lost_reports_per_mille: 20,
        lost_checks_per_mille: 900,
        staged_corruptions_per_mille: 10,
        ..base_faults()
    } },
    stagings_slow = { Faults {
        slow_stagings_per_mille: 300,
        ..base_faults()
    } },
    stagings_slow_and_restarts = { Faults {
        slow_stagings_per_mille: 300,
        target_restarts_per_mille: 20,
        ..base_faults()
    } },
)]
fn no_late_order_loads_the_wrong_chunks(faults: Faults) {
    let mut invalid = Vec::new();
    let mut stuck = Vec::new();
    for seed in SEEDS {
        let mut world = World::new(seed, MACHINES, 1, faults);
        world.run_for(500);
        for version in 2..6 {
            world.name_version(version);
            world.run_for(4_400);
        }
        world.faults = Faults::default();
        world.run_for(13_000);
        if world.invalid_loads() > 0 {
            invalid.push(seed);
        }
        if world.serving_count(5) < MACHINES {
            stuck.push(seed);
        }
    }
    assert!(
        invalid.is_empty() && stuck.is_empty(),
        "invalid loads in seeds {invalid:?}, stuck in {stuck:?}"
    );
}

/// A single agent with its target's state, driven event by event.
struct Harness {
    swarm: Swarm,
    now_ms: u64,
    state: TargetState,
    /// The guard of each order, oldest first.
    guards: Vec<OrderGuard>,
}

impl Harness {
    /// Creates an agent whose target serves version 1.
    fn new() -> Harness {
        let state = TargetState {
            is_up: true,
            serves_version: 1,
            pace: 1.0,
            ..TargetState::default()
        };
        let mut harness = Harness {
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
        harness.reduce(Event::Peers(vec![peer]));
        harness.reduce(layout());
        harness.reduce(Event::Target(state));
        harness
    }

    fn reduce(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.swarm.reduce(self.now_ms, event, &mut effects);
        for effect in &effects {
            if let Effect::Order { guard, .. } = effect {
                self.guards.push(guard.clone());
            }
        }
        effects
    }

    /// Reports the outcome of the order at an index, the oldest being 0.
    fn answer(&mut self, place: usize, outcome: OrderOutcome) {
        let guard = self.guards[place].clone();
        self.reduce(Event::Ordered { guard, outcome });
    }

    /// Reports the outcome of the last order.
    fn answer_last(&mut self, outcome: OrderOutcome) {
        self.answer(self.guards.len() - 1, outcome);
    }

    fn report_initial_state(&mut self) {
        self.reduce(Event::TargetStart(TargetStart::Named("a".into())));
        self.reduce(Event::StagingRead { chunks: Some(Vec::new()) });
    }

    /// Names a version early enough that every turn has come, and supplies its
    /// manifest and all of its chunks.
    fn supply_version(&mut self, version: u64) -> Vec<Effect> {
        let named_ms = self.now_ms - 7_000;
        let mut all = self.reduce(Event::Named { version, named_ms });
        let source = Source::Origin;
        let result = Ok(digests(version));
        all.extend(self.reduce(Event::Manifest { version, source, result }));
        for index in 0..CHUNKS {
            let result = Ok(chunk(version, index));
            let took_ms = 1;
            all.extend(self.reduce(Event::Chunk {
                version,
                index,
                source,
                result,
                took_ms,
            }));
        }
        all
    }

    /// Advances the time tick by tick.
    fn advance(&mut self, ms: u64) -> Vec<Effect> {
        let end_ms = self.now_ms + ms;
        let mut all = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms += 50;
            all.extend(self.reduce(Event::Target(self.state)));
            all.extend(self.reduce(Event::Tick));
        }
        all
    }

    /// Sends an order for version 2 that remains unanswered.
    fn leave_order_unanswered(&mut self) {
        self.report_initial_state();
        self.supply_version(2);
        let effects = self.reduce(Event::Staged { version: 2, is_done: true });
        assert_eq!(orders(&effects), [2], "an order for version 2 is sent");
        self.advance(400);
        self.answer_last(OrderOutcome::Unanswered);
    }

    /// Advances the time until version 2 is staged again; orders remain
    /// unanswered.
    fn advance_until_restaged(&mut self) {
        for _ in 0..20 {
            let new_effects = self.advance(400);
            if stagings(&new_effects).contains(&2) {
                return;
            }
            if !orders(&new_effects).is_empty() {
                self.answer_last(OrderOutcome::Unanswered);
            }
        }
        panic!("version 2 must be staged again while its order is unanswered");
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

/// The target is too busy for one report and one health check, but has not
/// restarted. The order for version 2 may still be carried out.
#[test]
fn a_rejected_health_check_keeps_the_order_open() {
    let mut harness = Harness::new();
    harness.leave_order_unanswered();
    let mut effects = harness.supply_version(3);
    harness.reduce(Event::Target(TargetState::default()));
    let state = harness.state;
    harness.reduce(Event::Target(state));
    effects.extend(harness.reduce(Event::TargetStart(TargetStart::Untold)));
    effects.extend(harness.advance(1_000));
    assert!(
        !stagings(&effects).contains(&3),
        "version 3 is staged while the order for 2 is unanswered"
    );
}

/// Once a start id has been reported, every order names the start for which it
/// is intended.
#[test]
fn a_rejected_health_check_keeps_the_start_id() {
    let mut harness = Harness::new();
    harness.report_initial_state();
    harness.reduce(Event::Target(TargetState::default()));
    let state = harness.state;
    harness.reduce(Event::Target(state));
    harness.reduce(Event::TargetStart(TargetStart::Untold));
    harness.supply_version(2);
    let mut effects =
        harness.reduce(Event::Staged { version: 2, is_done: true });
    effects.extend(harness.advance(1_000));
    for effect in effects {
        if let Effect::Order { guard, .. } = effect {
            assert!(
                guard.start.is_some(),
                "order without a start id: {guard:?}"
            );
        }
    }
}

/// Staged chunks, which may become corrupt, are staged again while an order is
/// unanswered, even while the target is too busy to report its start.
#[test]
fn chunks_are_restaged_while_the_start_is_unknown() {
    let mut harness = Harness::new();
    harness.leave_order_unanswered();
    harness.advance_until_restaged();
    // One failed staging and one late report.
    harness.reduce(Event::Staged { version: 2, is_done: false });
    harness.reduce(Event::Target(TargetState::default()));
    let mut effects = Vec::new();
    for _ in 0..20 {
        let new_effects = harness.advance(400);
        if new_effects.contains(&Effect::QueryStart) {
            harness.reduce(Event::TargetStart(TargetStart::Lost));
        }
        if !stagings(&new_effects).is_empty() {
            harness.reduce(Event::Staged { version: 2, is_done: true });
        }
        effects.extend(new_effects);
    }
    let staged = stagings(&effects).len();
    assert!(staged >= 3, "staged {staged} times in 8 s");
}

/// A staging area with an unreadable chunk must not defer orders forever.
#[test]
fn an_unreadable_staging_area_defers_orders_temporarily() {
    let mut harness = Harness::new();
    harness.reduce(Event::TargetStart(TargetStart::Named("a".into())));
    harness.supply_version(2);
    let mut effects = Vec::new();
    for _ in 0..120 {
        let new_effects = harness.advance(500);
        if new_effects.contains(&Effect::ReadStaging) {
            harness.reduce(Event::StagingRead { chunks: None });
        }
        effects.extend(new_effects);
    }
    assert!(stagings(&effects).contains(&2), "nothing staged in 60 s");
}

/// If chunks of one version are still being staged when staging of another
/// begins, the order for the second one loads a mixture.
#[test]
fn two_versions_are_never_staged_concurrently() {
    let mut harness = Harness::new();
    harness.leave_order_unanswered();
    // Chunks staged more than 2 s ago are staged again: this staging is slow.
    harness.advance_until_restaged();
    // Meanwhile the late order is carried out, and version 2 is served.
    harness.state.orders += 1;
    harness.state.serves_version = 0;
    harness.advance(100);
    harness.state.serves_version = 2;
    harness.advance(100);
    let effects = harness.supply_version(3);
    let is_staged = stagings(&effects).contains(&3);
    assert!(!is_staged, "version 3 is staged while staging of 2 is active");
}

/// The first order is carried out just before its repetition arrives, which is
/// refused. The target is loading and accepts no new requests.
#[test]
fn a_loading_target_is_reported_as_not_accepting() {
    let mut harness = Harness::new();
    harness.leave_order_unanswered();
    let new_effects = harness.advance(100);
    assert_eq!(orders(&new_effects), [2], "repeated");
    harness.state.orders += 1;
    harness.state.serves_version = 0;
    harness.advance(50);
    harness.answer_last(OrderOutcome::Refused);
    assert!(!harness.swarm.report().is_accepting, "loading version 2");
}

/// The staged chunks are identified and complete; only the start is unknown
/// for 5 s, as the target is full and its health check waits for a slot. An
/// order of the previous agent may be carried out up to 12 s late.
#[test]
fn staged_chunks_are_ordered_first_while_the_start_is_unknown() {
    let mut harness = Harness::new();
    harness.reduce(Event::TargetStart(TargetStart::Lost));
    let all = (0..CHUNKS).map(|index| (index, chunk(2, index))).collect();
    harness.reduce(Event::StagingRead { chunks: Some(all) });
    harness.supply_version(2);
    let mut effects = harness.supply_version(3);
    for _ in 0..13 {
        let new_effects = harness.advance(400);
        if new_effects.contains(&Effect::QueryStart) {
            harness.reduce(Event::TargetStart(TargetStart::Lost));
        }
        effects.extend(new_effects);
    }
    effects.extend(
        harness.reduce(Event::TargetStart(TargetStart::Named("a".into()))),
    );
    effects.extend(harness.advance(1_000));
    let first = stagings(&effects).first().copied();
    assert_eq!(first, Some(2), "an earlier agent may have ordered 2");
}

/// The outcome of an order for an earlier start arrives while one for the
/// current start is pending. It must not be applied to the second one.
#[test]
fn an_outcome_belongs_to_its_own_order() {
    let mut harness = Harness::new();
    harness.report_initial_state();
    harness.supply_version(2);
    let first = harness.reduce(Event::Staged { version: 2, is_done: true });
    assert_eq!(orders(&first), [2]);
    // The target restarts; its agent learns of it from a late report.
    harness.reduce(Event::Target(TargetState::default()));
    let state = harness.state;
    harness.reduce(Event::Target(state));
    harness.reduce(Event::TargetStart(TargetStart::Named("b".into())));
    harness.advance(50);
    let second = harness.reduce(Event::Staged { version: 2, is_done: true });
    assert_eq!(orders(&second), [2], "ordered again");
    // The first order is answered 100 ms after it was sent. The second one is
    // not answered and may still be carried out.
    harness.answer(0, OrderOutcome::Refused);
    let mut effects = harness.supply_version(3);
    harness.advance(350);
    harness.answer(1, OrderOutcome::Unanswered);
    effects.extend(harness.advance(2_000));
    let is_staged = stagings(&effects).contains(&3);
    assert!(
        !is_staged,
        "version 3 is staged while the order for 2 is unanswered"
    );
}
