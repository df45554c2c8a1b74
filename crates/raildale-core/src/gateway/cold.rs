//! Targets that have just started or turned cold.
//!
//! A cold target bears a rate of requests from all entry hosts together, and
//! falls over well above it. Each entry host sends at the times of its own
//! tokens, which all work out alike ([`super::notices::quota`]), so that no
//! message is needed. Tokens of entry hosts that are silent are not used by
//! others. After the cold time the rate is doubled for a moment before it is
//! lifted.

use super::{
    notices::quota::{OwnPart, Quota},
    target_end::StartId,
};

/// How long a token may be used, in seconds: requests come in bursts, and a
/// second's requests must stay within one and a half times the rate.
const TOKEN_LIFETIME_S: f64 = 0.4;

/// How long the rate is doubled after the cold time, in milliseconds.
const RAMP_MS: u64 = 1_000;

/// The cold time of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdTime {
    /// Until when the target is cold; 0 if it has not been.
    until_ms: u64,
    /// The last token that was used, as a time of day in seconds.
    used_s: f64,
}

impl ColdTime {
    /// Records that the target stays cold for `cold_ms`. Returns whether it
    /// has turned cold.
    pub fn record(&mut self, now_ms: u64, cold_ms: u64) -> bool {
        let was_cold = now_ms < self.until_ms;
        let is_cold = cold_ms > 0;
        if is_cold || was_cold {
            self.until_ms = now_ms.saturating_add(cold_ms);
        }
        is_cold && !was_cold
    }

    /// Returns the requests per second that the target bears, given the rate
    /// of cold ones; `None` if there is no limit.
    pub fn rate_per_s(
        &self,
        now_ms: u64,
        cold_rate_per_s: f64,
    ) -> Option<f64> {
        let is_limited = cold_rate_per_s > 0.0 && self.until_ms > 0;
        if !is_limited || now_ms >= self.until_ms.saturating_add(RAMP_MS) {
            return None;
        }
        let factor = if now_ms < self.until_ms { 1.0 } else { 2.0 };
        Some(cold_rate_per_s * factor)
    }

    /// Returns whether the target bears one more request of this entry host,
    /// which owns `part` of `rate_per_s`, at the time of day `now_s`.
    pub fn admits(
        &self,
        now_s: f64,
        start: StartId,
        rate_per_s: f64,
        part: OwnPart,
    ) -> bool {
        self.token(now_s, start, rate_per_s, part).is_some()
    }

    /// Uses a token for a request that is sent.
    pub fn record_sent(
        &mut self,
        now_s: f64,
        start: StartId,
        rate_per_s: f64,
        part: OwnPart,
    ) {
        let token = self.token(now_s, start, rate_per_s, part);
        self.used_s = token.unwrap_or(now_s);
    }

    fn token(
        &self,
        now_s: f64,
        start: StartId,
        rate_per_s: f64,
        part: OwnPart,
    ) -> Option<f64> {
        let quota = Quota { start, per_s: rate_per_s, part };
        // A token's time may lie half of its interval ahead. A clock that was
        // set back further must not hold tokens up.
        let is_set_back = self.used_s > now_s + 1.0 / rate_per_s;
        let used_s = if is_set_back { 0.0 } else { self.used_s };
        quota.token_within(now_s, used_s, TOKEN_LIFETIME_S)
    }
}
