//! Tells a peer that reads nothing from a peer that is silent.
//!
//! The kernel's user time-out ends a connection whose bytes make no progress,
//! whether the peer acknowledges each probe of its closed receive window or no
//! longer sends anything. While the window is closed, a [`SendWatch`] extends
//! that time-out and judges samples of the connection instead.

use std::time::Duration;

/// The interval between samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum interval between probes of a closed window. The kernel doubles
/// it from probe to probe otherwise, up to minutes, and only a probe shows that
/// a peer has become silent. A process that is stopped for longer than this
/// extends no time-out, so its connections with a closed window end.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The number of consecutive samples without an acknowledgement after which a
/// peer with a closed window counts as silent. The time between them is longer
/// than between two probes, so one lost probe is no silence. A process that is
/// stopped takes no samples.
const MAX_SILENT_SAMPLES: u128 =
    MAX_PROBE_INTERVAL.as_millis() / SAMPLE_INTERVAL.as_millis() + 1;

/// The state of the bytes that a connection has to send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendSample {
    /// Whether bytes wait to be sent or to be acknowledged.
    pub is_outstanding: bool,
    /// Whether the timer for retransmissions and probes has expired since the
    /// last progress.
    pub has_backed_off: bool,
    /// Whether the peer has acknowledged nothing since the last bytes or probe
    /// were sent.
    pub is_unanswered: bool,
}

/// What a sample says about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// Everything has been acknowledged.
    Idle,
    /// Bytes are on their way; the kernel's user time-out applies.
    Sending,
    /// The peer's window is closed. The user time-out must be this long, from
    /// the first probe, for the kernel to send the next one.
    WindowClosed(Duration),
    /// The peer's window was closed, and it no longer acknowledges anything.
    Silent,
}

/// Judges the samples of one connection.
#[derive(Clone, Copy, Debug)]
pub struct SendWatch {
    /// The time of the last sample at which the window was open, in
    /// milliseconds of the process's clock.
    open_at_ms: u64,
    is_closed: bool,
    /// The number of consecutive unanswered samples since the window was
    /// closed.
    silent_samples: u128,
}

impl SendWatch {
    /// Creates a watch of a connection whose window is open.
    pub fn new(now_ms: u64) -> SendWatch {
        SendWatch { open_at_ms: now_ms, is_closed: false, silent_samples: 0 }
    }

    /// Judges the next sample.
    pub fn record(&mut self, now_ms: u64, sample: SendSample) -> SendState {
        if !sample.is_outstanding {
            *self = SendWatch::new(now_ms);
            return SendState::Idle;
        }
        let is_first_silence = sample.is_unanswered && !self.is_closed;
        if !sample.has_backed_off || is_first_silence {
            *self = SendWatch::new(now_ms);
            return SendState::Sending;
        }
        self.is_closed = true;
        self.silent_samples = match sample.is_unanswered {
            true => self.silent_samples + 1,
            false => 0,
        };
        if self.silent_samples >= MAX_SILENT_SAMPLES {
            return SendState::Silent;
        }
        let closed_for = Duration::from_millis(now_ms - self.open_at_ms);
        SendState::WindowClosed(closed_for + MAX_PROBE_INTERVAL)
    }
}
