//! Judging whether a peer reads nothing or is silent.

use std::time::Duration;

use raildale::fleet::send_watch::{
    SAMPLE_INTERVAL, SendSample, SendState, SendWatch,
};

/// Everything is acknowledged.
const IDLE: SendSample = SendSample {
    is_outstanding: false,
    has_backed_off: false,
    is_unanswered: false,
};

/// Bytes were sent a moment ago.
const SENDING: SendSample =
    SendSample { is_outstanding: true, has_backed_off: false, ..IDLE };

/// The window is closed, and the last probe was answered.
const CLOSED: SendSample =
    SendSample { is_outstanding: true, has_backed_off: true, ..IDLE };

/// What was sent last is not answered.
const UNANSWERED: SendSample = SendSample { is_unanswered: true, ..CLOSED };

/// The time of the first sample of each test.
const START_MS: u64 = 10_000;

/// A watch and the time of its samples.
struct Samples {
    watch: SendWatch,
    now_ms: u64,
}

impl Samples {
    fn new() -> Samples {
        Samples { watch: SendWatch::new(START_MS), now_ms: START_MS }
    }

    /// Records the next sample after the usual interval.
    fn record(&mut self, sample: SendSample) -> SendState {
        self.now_ms += SAMPLE_INTERVAL.as_millis() as u64;
        self.watch.record(self.now_ms, sample)
    }

    fn record_all(&mut self, sample: SendSample, count: usize) {
        for _ in 0..count {
            let state = self.record(sample);
            assert_ne!(state, SendState::Silent, "at {} ms", self.now_ms);
        }
    }
}

/// A target whose window had been closed for over 1.5 s was cut. The time-out
/// has to stay ahead of the time for which the window has been closed.
#[test]
fn a_peer_that_answers_probes_is_never_silent() {
    let mut samples = Samples::new();
    for _ in 0..240 {
        let SendState::WindowClosed(timeout) = samples.record(CLOSED) else {
            panic!("the window is closed at {} ms", samples.now_ms);
        };
        let closed_for = Duration::from_millis(samples.now_ms - START_MS);
        assert!(timeout > closed_for + SAMPLE_INTERVAL, "{timeout:?}");
    }
}

/// The time-out must not grow without a limit ahead of the last probe: it
/// bounds the interval to the next one.
#[test]
fn a_probe_follows_within_two_seconds() {
    let mut samples = Samples::new();
    samples.record_all(CLOSED, 100);
    let SendState::WindowClosed(timeout) = samples.record(CLOSED) else {
        panic!("the window is closed");
    };
    let closed_for = Duration::from_millis(samples.now_ms - START_MS);
    assert!(timeout <= closed_for + Duration::from_secs(2), "{timeout:?}");
}

#[test]
fn a_peer_with_a_closed_window_is_silent_after_two_lost_probes() {
    let mut samples = Samples::new();
    samples.record_all(CLOSED, 4);
    let first_ms = samples.now_ms;
    while samples.record(UNANSWERED) != SendState::Silent {
        assert!(samples.now_ms < first_ms + 3_000, "never silent");
    }
    assert!(samples.now_ms - first_ms > 2_000, "one lost probe suffices");
}

#[test]
fn a_lost_probe_is_no_silence() {
    let mut samples = Samples::new();
    for _ in 0..10 {
        samples.record_all(CLOSED, 1);
        samples.record_all(UNANSWERED, 8);
    }
}

/// A connection that falls silent while its window is open is left to the
/// kernel's time-out, which must not be extended.
#[test]
fn a_silence_with_an_open_window_extends_nothing() {
    let mut samples = Samples::new();
    samples.record(SENDING);
    for _ in 0..20 {
        assert_eq!(samples.record(UNANSWERED), SendState::Sending);
    }
}

/// A stopped process takes no samples, and finds unanswered what arrived while
/// it was stopped.
#[test]
fn the_time_for_which_the_process_is_stopped_is_one_sample() {
    let mut samples = Samples::new();
    samples.record_all(CLOSED, 4);
    samples.now_ms += 60_000;
    samples.record_all(UNANSWERED, 2);
    samples.record_all(CLOSED, 4);
}

#[test]
fn progress_restores_the_usual_time_out() {
    let mut samples = Samples::new();
    samples.record_all(CLOSED, 40);
    assert_eq!(samples.record(SENDING), SendState::Sending);
    assert_eq!(samples.record(IDLE), SendState::Idle);
    let SendState::WindowClosed(timeout) = samples.record(CLOSED) else {
        panic!("the window is closed again");
    };
    assert!(timeout < Duration::from_secs(3), "{timeout:?}");
}
