//! This entry host's part of the requests within a target's limit.
//!
//! A limit of N requests per second is N tokens per second over all entry
//! hosts, each token at its own time. A low-discrepancy sequence assigns the
//! tokens to entry hosts in proportion to the parts that all of them compute
//! alike. No coordination is needed, each host gets its part however small it
//! is, and all together hold no more tokens at once than a single host would.
//! A difference between the hosts' clocks shifts tokens and creates none.

use crate::gateway::target_end::StartId;

/// How long a token may be used, in seconds. This limits a burst to the
/// requests of one second.
const TOKEN_LIFETIME_S: f64 = 1.0;

/// The maximum number of tokens that are searched for an own one.
const MAX_TOKENS_SEARCHED: u64 = 1_024;

/// 2^64 divided by the golden ratio, whose multiples modulo 2^64 are evenly
/// spread.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// The part of a limit that this entry host owns, as an interval that begins
/// at `before` within 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnPart {
    /// The sum of the parts of the entry hosts before this one.
    pub before: f64,
    /// The size of this entry host's part.
    pub width: f64,
}

impl OwnPart {
    /// The whole limit.
    pub const ALL: OwnPart = OwnPart { before: 0.0, width: 1.0 };

    /// Returns the part with its size multiplied by `share`.
    pub fn scaled(self, share: f64) -> OwnPart {
        OwnPart { width: self.width * share, ..self }
    }

    fn holds(self, place: f64) -> bool {
        (self.before..self.before + self.width).contains(&place)
    }
}

/// The limit of one start of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The start to which the limit applies.
    pub start: StartId,
    /// Requests per second of all entry hosts together.
    pub per_s: f64,
    /// The part that this entry host owns.
    pub part: OwnPart,
}

impl Quota {
    /// Returns the time, in seconds, of the oldest own token that is usable at
    /// `now_s` and later than `after_s`; `None` if there is none.
    ///
    /// The time is the middle of the token's interval: its beginning might be
    /// rounded to a time before it, so that the same token would be found
    /// again.
    pub fn token(&self, now_s: f64, after_s: f64) -> Option<f64> {
        self.token_within(now_s, after_s, TOKEN_LIFETIME_S)
    }

    /// Does the same with tokens that may be used for `lifetime_s`.
    pub fn token_within(
        &self,
        now_s: f64,
        after_s: f64,
        lifetime_s: f64,
    ) -> Option<f64> {
        let from_s = after_s.max(now_s - lifetime_s);
        let last = (now_s * self.per_s) as u64;
        let first = (from_s * self.per_s) as u64 + 1;
        let first = first.max(last.saturating_sub(MAX_TOKENS_SEARCHED));
        let number = (first..=last).find(|number| self.is_own(*number))?;
        Some((number as f64 + 0.5) / self.per_s)
    }

    /// Returns the maximum number of requests of all entry hosts in a time
    /// span: its tokens, and those kept from before it.
    pub fn max_in(&self, span_s: f64) -> f64 {
        self.per_s * (span_s + TOKEN_LIFETIME_S)
    }

    fn is_own(&self, number: u64) -> bool {
        let place =
            number.wrapping_mul(GOLDEN_RATIO_STEP).wrapping_add(self.start.0);
        self.part.holds(place as f64 / 2f64.powi(64))
    }
}
