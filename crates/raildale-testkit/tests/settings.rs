//! Concurrent changes of the settings: exactly one is accepted, and none is
//! lost, duplicated or reverted.

use raildale_testkit::bench::settings_race::{self, RaceConfig};
use yare::parameterized;

#[parameterized(
    answers_come = { false, false },
    answers_are_lost = { true, false },
    the_platform_is_restored = { false, true },
)]
fn one_of_two_concurrent_changes_is_accepted(
    lose_answers: bool,
    restores: bool,
) {
    let config = RaceConfig {
        program: env!("CARGO_BIN_EXE_raildale-bench").into(),
        entries: 3,
        hosts: 3,
        rounds: 6,
        lose_answers,
        restores,
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let report = runtime
        .block_on(settings_race::run(&config))
        .expect("the fleet comes up");
    println!("{report:?}");
    assert_eq!(report.accepted, 6);
    assert_eq!(report.conflicts, 6);
    assert_eq!(report.late, 0);
    assert_eq!(report.reverted, 0);
    assert_eq!(report.reused, 0);
    assert_eq!(report.lost_updates, 0);
    assert_eq!(report.doubled_writes, 0);
}
