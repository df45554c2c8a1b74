//! Simulations of the messages between hosts, with the patterns in
//! `deploy/fleets`, in virtual time and with a fixed seed. What one host or
//! one data centre bears must not grow with the fleet.

use std::path::Path;

use raildale_testkit::control::{
    self, ControlPattern, ControlResult, Sizes, pattern::PatternError,
};
use yare::parameterized;

const SEED: u64 = 1;

fn pattern(file: &str) -> ControlPattern {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let path = folder.join("fleets").join(file);
    ControlPattern::read(&path).expect("a pattern of a fleet")
}

/// Simulates a pattern with other numbers of entry hosts and targets.
fn simulated(file: &str, hosts: usize, targets: usize) -> ControlResult {
    let resized = pattern(file).with_size(hosts, targets);
    control::simulate(&resized.expect("a valid size"), SEED)
}

fn value(result: &ControlResult, name: &str) -> f64 {
    result.value(name).unwrap_or_else(|| panic!("no figure: {name}"))
}

/// At a start of all and after a loss of all, each of two kinds of object
/// crosses to each data centre up to three times, and the list of entry hosts
/// a dozen times, however many need them.
#[parameterized(
    small = { 60, 51 },
    mid = { 250, 212 },
    large = { 550, 466 },
)]
fn few_objects_cross_after_a_loss_of_all(hosts: usize, targets: usize) {
    let result = simulated("start-of-all.toml", hosts, targets);
    let lists = value(&result, "lists of entry hosts between centres");
    assert!(lists <= 2.0 * 5.0 * 12.0, "{lists}");
    let objects = value(&result, "other objects between centres");
    assert!(objects <= 2.0 * 5.0 * 2.0 * 3.0, "{objects}");
    let ready = value(&result, "ready again, entry hosts");
    assert_eq!(ready, hosts as f64);
    let last_ms = value(&result, "ready again, ms, last");
    assert!(last_ms <= 2_000.0, "{last_ms}");
    let age_ms = value(&result, "age of a digest, ms, 99 in 100");
    assert!(age_ms <= 2_000.0, "{age_ms}");
}

/// The same where ten times as many targets as entry hosts are listed.
#[parameterized(small = { 50, 1_000 }, twice = { 100, 2_000 })]
fn few_lists_of_targets_cross(hosts: usize, targets: usize) {
    let result = simulated("many-targets.toml", hosts, targets);
    let objects = value(&result, "other objects between centres");
    assert!(objects <= 2.0 * 3.0 * 2.0 * 3.0, "{objects}");
    let ready = value(&result, "ready again, entry hosts");
    assert_eq!(ready, hosts as f64);
}

/// Changes reach the last entry host while a third of them cannot reach the
/// store, and after a data centre was cut off nobody is taken for dead.
#[parameterized(mid = { 125, 106 }, twice = { 250, 212 })]
fn changes_reach_the_last_host(hosts: usize, targets: usize) {
    let result = simulated("a-tenth-is-lost.toml", hosts, targets);
    let change_ms = value(&result, "change known, ms, last");
    assert!(change_ms <= 2_000.0, "{change_ms}");
    let wrong = value(&result, "wrong beliefs, of 1,000");
    assert!(wrong <= 100.0, "{wrong}");
}

#[test]
fn a_simulation_depends_only_on_its_seed() {
    let run = || simulated("start-of-all.toml", 60, 51);
    assert_eq!(run(), run());
}

#[test]
fn growth_is_given_as_a_power() {
    let sizes = [60, 120].map(|hosts| ControlResult {
        pattern: "a".to_string(),
        entry_hosts: hosts,
        targets: hosts,
        figures: vec![control::result::Figure {
            name: "squared".to_string(),
            value: (hosts * hosts) as f64,
        }],
    });
    let sizes = Sizes { results: sizes.to_vec() };
    let power = sizes.power("squared").expect("two sizes");
    assert!((power - 2.0).abs() < 1e-9, "{power}");
    assert_eq!(sizes.csv().lines().count(), 3);
    assert!(control::page::page(&sizes).contains("<svg"));
}

#[test]
fn bad_patterns_are_numbered_errors() {
    let missing = ControlPattern::read(Path::new("/no/such.toml"));
    let missing = missing.expect_err("no file");
    assert!(missing.to_string().starts_with("1411 "), "{missing}");
    let malformed = "name = 1".parse::<ControlPattern>();
    let malformed = malformed.expect_err("not a pattern");
    assert!(matches!(malformed, PatternError::Malformed(_)), "{malformed}");
    let invalid = pattern("start-of-all.toml").with_size(0, 0);
    let invalid = invalid.expect_err("no entry hosts");
    assert!(invalid.to_string().starts_with("1413 "), "{invalid}");
}
