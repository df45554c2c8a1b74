//! Planned restarts of all processes do not cut any answer.

use raildale_testkit::bench::rolling::{self, RollingConfig};

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_cuts_no_answer() {
    let config = RollingConfig {
        program: env!("CARGO_BIN_EXE_raildale-bench").into(),
        entries: 2,
        hosts: 3,
    };
    let report = rolling::run(&config).await.expect("the fleet comes up");
    println!("{report:?}");
    assert_eq!(report.replaced, 6);
    assert_eq!(report.stuck, 0);
    assert_eq!(report.tally.requests_doubled, 0);
    assert_eq!(report.tally.requests_cut, 0);
    assert_eq!(report.tally.requests_crossed, 0);
    assert_eq!(report.tally.requests_not_run_lies, 0);
    let whole = report.tally.requests_whole;
    assert!(whole * 100 >= report.tally.requests_sent * 90, "{report:?}");
}
