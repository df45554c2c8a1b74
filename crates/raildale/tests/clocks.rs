//! Ages are measured by a clock that counts suspensions.
//!
//! A machine may be suspended for seconds. The standard library's monotonic
//! clock does not count that time, so ages that it measures are too low: those
//! of reports, versions' bounds, keys and kept connections. The machine cannot
//! be suspended in a test; these tests check that no source file reads that
//! clock where an age is decided.

use std::{fs, path::Path, time::Duration};

use raildale::{boot_time, fleet::steady_clock};

/// Files that only measure durations on which no decision depends.
const DURATION_FILES: [&str; 2] = ["callers.rs", "trace.rs"];

/// Collects the files below a folder that name the clock which misses a
/// suspension.
fn collect_readers(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_readers(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source file");
        let name = path.file_name().expect("a name").to_string_lossy();
        let is_read = text.contains("time::Instant")
            || text.contains("Duration, Instant")
            || text.contains("SystemTime::now().elapsed");
        let is_timer = text.contains("tokio::time::Instant");
        if is_read && !is_timer && !DURATION_FILES.contains(&&*name) {
            found.push(name.to_string());
        }
    }
}

#[test]
fn ages_are_measured_by_a_clock_that_counts_suspensions() {
    let mut found = Vec::new();
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    collect_readers(&source, &mut found);
    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn the_steady_clock_follows_the_time_since_boot() {
    let start = (boot_time::now(), steady_clock::now_ms());
    let wait = Duration::from_millis(20);
    while boot_time::now() < start.0 + wait {
        std::thread::yield_now();
    }
    let elapsed_ms = steady_clock::now_ms() - start.1;
    assert!(elapsed_ms >= 19, "{elapsed_ms} ms of 20");
}
