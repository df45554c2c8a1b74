//! When versions of weights were named, by what an entry host heard, was told
//! and found.

use raildale_core::{
    Name,
    gateway::versions::{
        ANY_VERSION, AgedVersion, ListedVersion, NamedVersion, NamedVersions,
        NamingBasis, Sighting, told::ToldVersions,
    },
};
use yare::parameterized;

/// How long after a naming older versions may start work, in milliseconds.
const BOUND_MS: u64 = 8_000;

/// The present, in milliseconds.
const NOW_MS: u64 = 1_000_000;

fn versions() -> NamedVersions {
    NamedVersions::new(BOUND_MS)
}

fn model() -> Name {
    Name::from("m")
}

/// Returns the state of an entry host that knows of the namings of the given
/// versions, each with its age, and that there are no others.
fn versions_heard(heard: &[(u64, u64)]) -> NamedVersions {
    let mut versions = versions();
    versions.record_complete(NOW_MS - 100_000);
    for (version, age_ms) in heard {
        hear(&mut versions, *version, *age_ms);
    }
    versions.record_complete(NOW_MS);
    versions
}

fn hear(versions: &mut NamedVersions, version: u64, age_ms: u64) {
    let named = NamedVersion { version, named_ms: NOW_MS - age_ms };
    versions.record_heard(&model(), named);
}

/// Finds a version in a list, with records of these versions and ages.
fn find(versions: &mut NamedVersions, version: u64, recorded: &[(u64, u64)]) {
    let aged = |(version, age_ms): &(u64, u64)| AgedVersion {
        version: *version,
        age_ms: *age_ms,
    };
    let recorded: Vec<AgedVersion> = recorded.iter().map(aged).collect();
    let model = model();
    let listed = ListedVersion { model: &model, version, recorded: &recorded };
    versions.record_listed(NOW_MS, listed, Sighting::Found);
    versions.record_read();
}

fn basis(versions: &NamedVersions, version: u64) -> Option<NamingBasis> {
    versions.basis("m", version)
}

/// Returns how long from now a version is still allowed to start work, by the
/// bounds of the newer ones; `None` if nothing bounds it.
fn left_ms(versions: &NamedVersions, version: u64) -> Option<u64> {
    let bounds = versions.bounds(NOW_MS, "m");
    let newer = bounds.iter().filter(|bound| bound.version > version);
    newer.map(|bound| bound.left_ms).min()
}

#[parameterized(
    nothing_known = { &[], 0 },
    known_long_ago = { &[7_000], 1_000 },
    known_by_others_since = { &[7_000, 3_000, 5_000], 5_000 },
)]
fn a_found_version_is_as_old_as_what_was_known_before(
    complete_ages_ms: &[u64],
    expected_ms: u64,
) {
    let mut versions = versions();
    for age_ms in complete_ages_ms {
        versions.record_complete(NOW_MS - age_ms);
    }
    find(&mut versions, 2, &[]);
    assert_eq!(left_ms(&versions, 1), Some(expected_ms));
}

#[test]
fn versions_that_bound_nothing_are_not_told() {
    let versions = versions_heard(&[(1, 60_000), (2, BOUND_MS), (3, 1_000)]);
    let told = versions.told(NOW_MS).heard;
    let told: Vec<u64> = told.iter().map(|(_, named)| named.version).collect();
    assert_eq!(told, [2, 3]);
}

/// The bound of a version that nobody can date counts as over, unless a record
/// tells its age. What an entry host heard replaces both, and only that is told
/// on as a date.
#[test]
fn a_naming_is_dated_by_the_best_that_is_known() {
    let mut versions = versions();
    let told_age_ms = |versions: &NamedVersions| {
        let told = versions.for_agents(NOW_MS, "m");
        let newest = told.iter().find(|told| told.version == 2);
        newest.expect("agents are told of it").age_ms
    };
    find(&mut versions, 2, &[]);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 2);
    assert_eq!(told_age_ms(&versions), 0, "agents are not hurried");
    let recorded = [(2, BOUND_MS - 5_000)];
    find(&mut versions, 2, &recorded);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 1);
    assert_eq!(versions.min_version(NOW_MS, "m", 1_000), 2);
    assert_eq!(told_age_ms(&versions), BOUND_MS - 5_000);
    find(&mut versions, 2, &[]);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 1);
    assert_eq!(versions.told(NOW_MS).heard, []);
    hear(&mut versions, 2, 1_000);
    assert_eq!(versions.min_version(NOW_MS, "m", BOUND_MS - 1_001), 1);
    assert_eq!(versions.min_version(NOW_MS, "m", BOUND_MS - 1_000), 2);
    let heard = NamedVersion { version: 2, named_ms: NOW_MS - 1_000 };
    assert_eq!(versions.told(NOW_MS).heard, [(model(), heard)]);
    find(&mut versions, 2, &recorded);
    assert_eq!(versions.min_version(NOW_MS, "m", BOUND_MS - 1_001), 1);
}

// Guards against work on an older version after its bound. The first entry
// host to start can't date a version and says only until when it knows all
// namings; the next one finds the version in the store and takes it for newer.
#[parameterized(
    told_before_the_list = { false },
    told_after_the_list = { true },
)]
fn a_version_that_another_cannot_date_is_not_new(is_list_first: bool) {
    let mut first = versions();
    find(&mut first, 2, &[]);
    first.record_complete(NOW_MS);
    let mut second = versions();
    if is_list_first {
        find(&mut second, 2, &[]);
    }
    second.merge(first.told(NOW_MS));
    find(&mut second, 2, &[]);
    assert_eq!(basis(&second, 2), Some(NamingBasis::Unknown));
    assert_eq!(left_ms(&second, 1), Some(0));
    first.merge(second.told(NOW_MS));
    assert_eq!(left_ms(&first, 1), Some(0));
}

#[parameterized(
    told_before_the_list = { false },
    told_after_the_list = { true },
)]
fn a_version_that_another_lacks_is_newer_than_what_it_knows(
    is_list_first: bool,
) {
    let mut versions = versions();
    let told = versions_heard(&[]).told(NOW_MS);
    let told =
        ToldVersions { complete_until_ms: Some(NOW_MS - 3_000), ..told };
    if is_list_first {
        find(&mut versions, 2, &[]);
        assert_eq!(left_ms(&versions, 1), Some(0));
    }
    versions.merge(told);
    find(&mut versions, 2, &[]);
    assert_eq!(basis(&versions, 2), Some(NamingBasis::Heard));
    assert_eq!(left_ms(&versions, 1), Some(BOUND_MS - 3_000));
}

#[test]
fn what_was_known_before_dates_a_version_that_others_cannot_date() {
    let mut started = versions();
    find(&mut started, 2, &[]);
    started.record_complete(NOW_MS);
    let mut survivor = versions();
    survivor.record_complete(NOW_MS - 5_000);
    survivor.merge(started.told(NOW_MS));
    assert_eq!(left_ms(&survivor, 1), Some(BOUND_MS - 5_000));
    started.merge(survivor.told(NOW_MS));
    assert_eq!(left_ms(&started, 1), Some(BOUND_MS - 5_000));
}

// Guards against work on an older version after its bound: the store is away as
// an entry host starts, and a version named before that is found at its return.
#[test]
fn an_absence_dates_nothing_that_was_named_before_it() {
    let mut versions = versions();
    versions.record_away(NOW_MS - 1_000);
    find(&mut versions, 2, &[]);
    assert_eq!(left_ms(&versions, 1), Some(0));
}

#[test]
fn an_absence_of_the_store_dates_what_is_named_at_its_return() {
    let mut versions = versions_heard(&[]);
    versions.record_away(NOW_MS + 8_000);
    assert_eq!(versions.told(NOW_MS).complete_until_ms, Some(NOW_MS));
    find(&mut versions, 2, &[]);
    assert_eq!(left_ms(&versions, 1), Some(BOUND_MS + 5_000));
}

// Guards against work on a version whose successor is not listed any more: the
// list holds the newest version alone, and the one in between may have been
// named long before.
#[parameterized(
    no_records = { &[], 3 },
    the_newest_only = { &[(3, 1_000)], 2 },
    both = { &[(2, 3_000), (3, 1_000)], 1 },
    the_older_only = { &[(2, 3_000)], 3 },
)]
fn a_missing_record_counts_as_named_long_ago(
    recorded: &[(u64, u64)],
    min_version: u64,
) {
    let mut versions = versions();
    find(&mut versions, 3, recorded);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), min_version);
}

// Guards against a version that a record dates too late: the clock of the
// machine that wrote it is 2 s fast, and that of the one that reads it 2 s slow.
#[test]
fn a_record_of_a_fast_clock_read_by_a_slow_one_dates_no_version_late() {
    let mut versions = versions();
    let age_ms = BOUND_MS - 100;
    find(&mut versions, 2, &[(2, age_ms - 4_000)]);
    assert!(left_ms(&versions, 1) <= Some(100));
}

#[test]
fn another_that_knows_all_namings_shows_that_none_is_missing() {
    let mut versions = versions();
    find(&mut versions, 5, &[(5, 1_000)]);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 4);
    versions.merge(versions_heard(&[(2, 90_000), (5, 1_000)]).told(NOW_MS));
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 2);
    assert_eq!(left_ms(&versions, 2), Some(BOUND_MS - 1_000));
}

#[test]
fn times_that_are_not_trusted_are_left_out() {
    let heard = versions_heard(&[(2, 1_000)]);
    let told = heard.told(NOW_MS).without_times();
    let mut fresh = versions();
    fresh.merge(told.clone());
    assert_eq!(left_ms(&fresh, 1), Some(0));
    assert_eq!(fresh.complete_until_ms(), None);
    let mut paused = versions();
    paused.record_complete(NOW_MS - 6_000);
    paused.merge(told);
    assert_eq!(left_ms(&paused, 1), Some(BOUND_MS - 6_000));
}

// Guards against work on any version while the versions are not read: any may
// have been named.
#[test]
fn nothing_may_start_before_the_versions_are_read() {
    let mut versions = versions();
    assert_eq!(versions.min_version(NOW_MS, "m", 0), ANY_VERSION);
    assert_eq!(left_ms(&versions, 7), Some(0));
    versions.merge(versions_heard(&[(2, 1_000)]).told(NOW_MS));
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 0);
    assert_eq!(left_ms(&versions, 1), Some(BOUND_MS - 1_000));
    assert_eq!(left_ms(&versions, 2), None);
}

#[test]
fn a_model_without_versions_has_no_bound() {
    let mut versions = versions();
    versions.record_read();
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 0);
    assert_eq!(left_ms(&versions, 1), None);
}

#[test]
fn without_a_bound_nothing_is_too_old() {
    let mut versions = NamedVersions::new(0);
    find(&mut versions, 2, &[]);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 0);
    assert_eq!(versions.bounds(NOW_MS, "m"), []);
}

// Guards against a model that is refused for good: version 0 stands for none,
// and a record of it counted every version as named long ago.
#[test]
fn a_record_of_version_0_dates_nothing() {
    let mut versions = versions();
    find(&mut versions, 1, &[(0, 1_000), (1, 1_000)]);
    hear(&mut versions, 0, 1_000);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 0);
    assert_eq!(basis(&versions, 1), Some(NamingBasis::Recorded));
}

// Guards against work on a version whose successor is not listed any more, at
// an entry host that knew all namings until long ago and finds a later version
// with its record.
#[test]
fn a_version_between_the_last_known_and_a_recorded_one_keeps_its_bound() {
    let mut versions = versions();
    versions.record_complete(NOW_MS - 20_000);
    find(&mut versions, 3, &[(3, 1_000)]);
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 2);
}

// The same, if another entry host tells of the later version, and a third one
// of that in between.
#[test]
fn a_version_between_the_last_known_and_a_heard_one_keeps_its_bound() {
    let mut versions = versions();
    versions.record_complete(NOW_MS - 20_000);
    hear(&mut versions, 3, 1_000);
    let unheard = vec![(model(), 2)];
    versions.merge(ToldVersions { unheard, ..ToldVersions::default() });
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 2);
}

// The same, at an entry host that has just started and is told by one that knew
// all namings until long ago.
#[test]
fn an_undated_version_below_a_recorded_one_keeps_its_bound() {
    let mut versions = versions();
    find(&mut versions, 3, &[(3, 1_000)]);
    let told = versions_heard(&[]).told(NOW_MS);
    let long_ago = Some(NOW_MS - 20_000);
    versions.merge(ToldVersions { complete_until_ms: long_ago, ..told });
    assert_eq!(versions.min_version(NOW_MS, "m", 0), 2);
}
