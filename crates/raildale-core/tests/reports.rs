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
    let received = report.target_report(NOW_MS, NOW_MS);
    assert_eq!(received.round_trip_ms, expected_ms);
}

/// An entry host that no longer uses a target stops briefing its agent, which
/// goes on reporting for a while. The age of the last briefing then shows
/// nothing about the path.
#[parameterized(
    just_stopped = { 600 },
    stopped_long_ago = { 3_900 },
)]
fn an_agent_that_is_no_longer_briefed_is_not_slow(age_ms: u64) {
    let sent_ms = NOW_MS - age_ms - 6;
    let report = Report {
        briefing_sent_ms: sent_ms,
        briefing_age_ms: age_ms,
        ..Report::default()
    };
    assert_eq!(report.target_report(NOW_MS, sent_ms).round_trip_ms, 6);
}
