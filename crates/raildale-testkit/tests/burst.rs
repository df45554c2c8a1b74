//! Bursts on fleets of real processes, small enough for CI.

use raildale_testkit::bench::{
    burst::{self, BurstConfig},
    faults::Fault,
};

fn config() -> BurstConfig {
    BurstConfig {
        program: env!("CARGO_BIN_EXE_raildale-bench").into(),
        hosts: 6,
        model_bytes: 2 << 20,
        favour: "origin-bytes".into(),
        scheme: "swarm".into(),
        seed: 7,
        entries: 3,
        data_centres: 3,
        link_bytes_per_s: None,
        link_extra: String::new(),
        faults: vec![],
        show: false,
        keep_logs: false,
    }
}

/// Only counts and bytes are bounded, not times, since CI machines are busy.
#[tokio::test(flavor = "multi_thread")]
async fn every_host_serves_and_every_answer_is_whole() {
    let report = burst::run(&config()).await.expect("the fleet comes up");
    println!("{report:?}");
    assert_eq!(report.hosts_ready, 6);
    assert_eq!(report.partial_served, 0);
    assert!(report.origin_copies < 1.2, "{}", report.origin_copies);
    assert!(report.tally.requests_sent > 50);
    assert_eq!(report.tally.requests_doubled, 0);
    assert_eq!(report.tally.requests_cut, 0);
    assert_eq!(report.tally.requests_crossed, 0);
    assert_eq!(report.tally.requests_not_run_lies, 0);
}

/// A host and the entry host that tracks the spread are killed, links stall,
/// chunks are corrupted, the version is replaced midway and the platform does
/// not answer. Every surviving host serves the right version, and never from
/// incomplete weights.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_completes_despite_all_faults() {
    let mut config = config();
    config.hosts = 9;
    config.faults = Fault::ALL.to_vec();
    let report = burst::run(&config).await.expect("the fleet comes up");
    println!("{report:?}");
    assert_eq!(report.hosts, 8);
    assert_eq!(report.hosts_ready, 8);
    assert_eq!(report.partial_served, 0);
    assert!(report.origin_copies < 3.0, "{}", report.origin_copies);
    assert_eq!(report.tally.requests_doubled, 0);
    assert_eq!(report.tally.requests_cut, 0);
    assert_eq!(report.tally.requests_crossed, 0);
    assert_eq!(report.tally.requests_not_run_lies, 0);
}
