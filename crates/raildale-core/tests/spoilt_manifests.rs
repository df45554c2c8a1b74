//! Manifests from the origin in which some digests are wrong, and chunks that
//! never match a correct manifest.

mod swarm_world;

use swarm_world::{CHUNKS, Faults, World};
use yare::parameterized;

/// Names version 2 in a fleet of `count` agents that serve version 1. The next
/// manifests from the origin have wrong digests for the given chunks.
fn name_with_wrong_digests(
    seed: u64,
    count: usize,
    wrong_digests: &[&[u32]],
) -> World {
    let mut world = World::new(seed, count, 1, Faults::default());
    world.run_for(1_000);
    world.wrong_digests =
        wrong_digests.iter().map(|wrong| wrong.to_vec()).collect();
    world.name_version(2);
    world
}

/// Asserts that every target serves version 2 and loaded nothing invalid.
fn assert_loaded(world: &World, case: &str) {
    let count = world.machines.len();
    assert_eq!(world.serving_count(2), count, "{case}");
    assert_eq!(world.invalid_loads(), 0, "{case}");
}

/// Guards against a manifest with one wrong digest that all agents kept for
/// good, because every other chunk matched it.
#[parameterized(
    two = { 2 },
    seven = { 7 },
    forty_one = { 41 },
    hundred_forty_nine = { 149 },
)]
fn one_wrong_digest_delays_no_version_past_its_bound(count: usize) {
    for seed in 0..2 {
        for wrong in [0, 5, CHUNKS - 1] {
            let mut world = name_with_wrong_digests(seed, count, &[&[wrong]]);
            world.run_for(7_500);
            assert_loaded(&world, &format!("seed {seed} chunk {wrong}"));
        }
    }
}

#[parameterized(
    two_chunks = { &[&[2, 9]] },
    two_manifests = { &[&[2], &[9]] },
    the_same_twice = { &[&[2], &[2]] },
    all = { &[&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]] },
    all_and_one = { &[&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], &[4]] },
)]
fn several_wrong_digests_delay_no_version_past_its_bound(wrong: &[&[u32]]) {
    for seed in 0..20 {
        let mut world = name_with_wrong_digests(seed, 12, wrong);
        world.run_for(7_500);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

#[test]
fn a_wrong_digest_is_replaced_despite_corrupt_chunks() {
    for seed in 0..20 {
        let mut world = name_with_wrong_digests(seed, 12, &[&[7]]);
        world.faults.corrupt_per_mille = 200;
        world.run_for(7_500);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

/// The agents that restart may get the wrong digest from those that keep it.
#[test]
fn a_wrong_digest_is_replaced_despite_restarts() {
    for seed in 0..20 {
        let mut world = name_with_wrong_digests(seed, 12, &[&[7]]);
        for machine in 0..6 {
            world.run_for(150);
            world.restart_agent((machine + seed as usize) % 12);
        }
        world.run_for(7_000);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

#[test]
fn a_wrong_digest_is_replaced_once_the_origin_is_back() {
    for seed in 0..20 {
        let mut world = name_with_wrong_digests(seed, 12, &[&[7]]);
        world.run_for(120);
        world.faults.is_origin_unreachable = true;
        world.run_for(20_000);
        world.faults.is_origin_unreachable = false;
        world.run_for(5_000);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

/// A chunk that does not match is never loaded, and while the origin's
/// manifest stays wrong it is not asked more often than for the chunk.
#[test]
fn a_digest_that_stays_wrong_is_never_ignored() {
    for seed in 0..5 {
        let mut world = World::new(seed, 12, 1, Faults::default());
        world.faults.wrong_digest = Some(3);
        world.run_for(1_000);
        world.name_version(2);
        world.run_for(20_000);
        assert_eq!(world.serving_count(2), 0, "seed {seed}");
        assert_eq!(world.invalid_loads(), 0, "seed {seed}");
        let (manifests, chunks) =
            (world.origin_manifests, world.origin_chunks);
        assert!(
            manifests <= chunks,
            "seed {seed}: {manifests} manifests for {chunks} chunks"
        );
        world.faults.wrong_digest = None;
        world.run_for(4_000);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

/// Manifests that bring nothing new are no progress: the version before is
/// loaded in place of the one that cannot be completed.
#[test]
fn a_skipped_version_is_loaded_if_the_next_digest_stays_wrong() {
    for seed in 0..20 {
        let mut world = World::new(seed, 12, 1, Faults::default());
        world.run_for(1_000);
        world.name_version(2);
        world.run_for(150);
        world.faults.wrong_digest = Some(3);
        world.name_version(3);
        world.run_for(7_000);
        assert_eq!(world.serving_count(2), 12, "seed {seed}");
        assert_eq!(world.invalid_loads(), 0, "seed {seed}");
    }
}

/// The manifest is correct, and must not be replaced by the chunk's digest.
#[test]
fn a_chunk_that_is_always_corrupt_is_never_loaded() {
    for seed in 0..5 {
        let mut world = World::new(seed, 12, 1, Faults::default());
        world.run_for(1_000);
        world.faults.corrupt_per_mille = 1_000;
        world.faults.is_corruption_constant = true;
        world.name_version(2);
        world.run_for(20_000);
        assert_eq!(world.serving_count(2), 0, "seed {seed}");
        let (manifests, chunks) =
            (world.origin_manifests, world.origin_chunks);
        assert!(
            manifests <= chunks,
            "seed {seed}: {manifests} manifests for {chunks} chunks"
        );
        world.faults.corrupt_per_mille = 0;
        world.run_for(4_000);
        assert_loaded(&world, &format!("seed {seed}"));
    }
}

#[test]
fn corrupt_chunks_cost_no_manifests() {
    for seed in 0..20 {
        let mut world = World::new(seed, 12, 1, Faults::default());
        world.run_for(1_000);
        let before = world.origin_manifests;
        world.faults.corrupt_per_mille = 200;
        world.name_version(2);
        world.run_for(7_500);
        assert_loaded(&world, &format!("seed {seed}"));
        let manifests = world.origin_manifests - before;
        assert!(manifests <= 2, "seed {seed}: {manifests} manifests");
    }
}
