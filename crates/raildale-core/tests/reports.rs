//! Tests the round-trip time that an entry host derives from a report.

use raildale_core::fleet_message::Report;
use yare::parameterized;

const NOW_MS: u64 = 1_000_000;

#[parameterized(
    no_briefing_yet = { 0, 0, 0 },
    fast = { NOW_MS - 106, 100, 6 },
    queue_on_the_path = { NOW_MS - 900, 100, 800 },
    briefings_are_lost = { NOW_MS - 1_506, 1_500, 980 },
)]
fn the_round_trip_time_is_derived(
    sent_ms: u64,
    age_ms: u64,
    expected_ms: u64,
) {
    let report = Report {
        briefing_sent_ms: sent_ms,
        briefing_age_ms: age_ms,
        ..Report::default()
    };
    assert_eq!(report.target_report(NOW_MS).round_trip_ms, expected_ms);
}
