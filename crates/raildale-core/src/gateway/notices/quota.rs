//! Which requests of a target's limit belong to this entry host.
//!
//! A limit of N a second is N tokens a second over all entry hosts, each at a
//! time of its own. A token belongs to one of them: a low-discrepancy sequence
//! deals the tokens out in proportion to the parts that all work out alike.
//! Nobody has to be asked, each gets its part however small it is, and all
//! together hold no more at once than one entry host would. A time of day
//! that differs somewhat shifts tokens and makes none.

use crate::gateway::ends::StartId;

/// How long a token may be used, in seconds: what can come at once is the
/// limit of one second.
const KEPT_S: f64 = 1.0;

/// Tokens of a limit that are looked at, at most.
const LOOKED_AT_MOST: u64 = 1_024;

/// The golden section of 2^64, whose multiples spread evenly over all
/// numbers.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// The part of a limit that is this entry host's own: places from `before` on,
/// of all places from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnPart {
    /// The parts of the entry hosts before this one.
    pub before: f64,
    /// Its own.
    pub width: f64,
}

impl OwnPart {
    /// Everything.
    pub const ALL: OwnPart = OwnPart { before: 0.0, width: 1.0 };

    /// The same with only a share of its own.
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
    /// The start.
    pub start: StartId,
    /// Requests a second of all entry hosts together.
    pub per_s: f64,
    /// The part that is this entry host's own.
    pub part: OwnPart,
}

impl Quota {
    /// The time of the oldest own token that may be used at `now_s` and is
    /// younger than `after_s`, in seconds; `None` if there is none.
    ///
    /// It is told as the middle of the token's span: its beginning, rounded,
    /// may lie before it, and the token would be found again.
    pub fn token(&self, now_s: f64, after_s: f64) -> Option<f64> {
        let from_s = after_s.max(now_s - KEPT_S);
        let last = (now_s * self.per_s) as u64;
        let first = (from_s * self.per_s) as u64 + 1;
        let first = first.max(last.saturating_sub(LOOKED_AT_MOST));
        let number = (first..=last).find(|number| self.is_own(*number))?;
        Some((number as f64 + 0.5) / self.per_s)
    }

    /// Requests of all entry hosts in a span at most: its tokens, and those
    /// that were kept before it.
    pub fn most_in(&self, span_s: f64) -> f64 {
        self.per_s * (span_s + KEPT_S)
    }

    fn is_own(&self, number: u64) -> bool {
        let place = number.wrapping_mul(GOLDEN).wrapping_add(self.start.0);
        self.part.holds(place as f64 / 2f64.powi(64))
    }
}
