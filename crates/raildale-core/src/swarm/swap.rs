//! Schedules when a target changes to a newer version.
//!
//! A target accepts no new requests while it swaps its weights, so targets do
//! so one after another. Each version has a time window between the time when
//! it is usually available everywhere and its bound, and each agent has a turn
//! within that window. Before its turn the agent stops accepting
//! requests, so that entry hosts route them to other targets. Requests still
//! running after [`SwapConfig::drain_ms`] are cut and resumed at another
//! target, if the service's streams are resumable.

/// How a target treats running requests when it is ordered to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMethod {
    /// Load after the running requests have ended.
    AfterRunning,
    /// Load immediately and cut the running requests.
    CutRunning,
}

/// Timing of a swap, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwapConfig {
    /// The time from the naming of a version until its bound, after which no
    /// request may start on an older version.
    pub bound_ms: u64,
    /// The time from the naming of a version to the first turn. In a fill of
    /// 3.7 s the first agents hold a version after 2.8 s and the last after
    /// 3.7 s; an earlier first turn spreads the swaps over more of the bound.
    pub fill_ms: u64,
    /// How long running requests may continue before they are cut.
    pub drain_ms: u64,
    /// The time from the naming of a version until every target has loaded it:
    /// a fill of 3.7 s and turns of 1.5 s.
    pub rollout_ms: u64,
    /// The time kept free before the bound.
    pub margin_ms: u64,
}

impl Default for SwapConfig {
    fn default() -> SwapConfig {
        SwapConfig {
            bound_ms: 8_000,
            fill_ms: 2_400,
            drain_ms: 600,
            rollout_ms: 5_200,
            margin_ms: 1_700,
        }
    }
}

impl SwapConfig {
    /// Returns when the agent at position `rank` of `count` begins its
    /// swap, if it has held the whole version since `whole_ms`.
    ///
    /// A version that arrives late everywhere is still loaded in turns over
    /// the rest of its bound, as simultaneous swaps would leave no target to
    /// serve requests.
    pub fn turn_ms(
        &self,
        named_ms: u64,
        whole_ms: u64,
        rank: usize,
        count: usize,
    ) -> u64 {
        let begin_ms = whole_ms.max(named_ms + self.fill_ms);
        let last_ms = (named_ms + self.bound_ms)
            .saturating_sub(self.drain_ms + self.margin_ms);
        let span_ms = last_ms.saturating_sub(begin_ms);
        begin_ms + span_ms * rank as u64 / count.max(1) as u64
    }
}

/// The phase of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapPhase {
    /// No swap is active.
    Idle,
    /// No new requests are accepted; chunks are being staged or running
    /// requests drain.
    Draining {
        /// The version to change to.
        version: u64,
        /// When draining began, or when the order that is being repeated was
        /// sent.
        since_ms: u64,
        /// The staging of its chunks.
        staging: Staging,
    },
    /// The target has been ordered to load, and its state does not show the
    /// version yet.
    Loading {
        /// The version to change to.
        version: u64,
        /// When the order was sent, or was found to have been carried out.
        since_ms: u64,
        /// The staging of its chunks.
        staging: Staging,
    },
}

/// The state of staging a version's chunks in the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staging {
    /// When staging began; every chunk was staged at or after this time.
    pub begun_ms: u64,
    /// Whether every chunk is staged.
    pub is_done: bool,
}
