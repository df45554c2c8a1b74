//! What targets say of themselves in the heads of their answers.
//!
//! It is kept by the start that said it, apart from the list of targets: an
//! entry that goes and comes back, or another start at the same address, does
//! not change what a start has said.

use std::collections::HashMap;

use super::ends::StartId;

/// What the head of one answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests a second that it takes from all entry hosts together; `None`
    /// if it names no limit.
    pub limit_per_s: Option<f64>,
}

/// What is known of the starts that said anything.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_start: HashMap<StartId, Known>,
}

/// What one start says.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    limit_per_s: Option<f64>,
    /// When it said so last.
    said_ms: u64,
}

impl Notices {
    /// Nothing was said yet.
    pub fn new() -> Notices {
        Notices::default()
    }

    /// The limit that a start names, in requests a second.
    pub fn limit_per_s(&self, start: StartId) -> Option<f64> {
        self.by_start.get(&start)?.limit_per_s
    }

    /// Takes in what the answer to a request that was sent at `sent_ms` says.
    /// Returns whether the limit is another than before.
    ///
    /// An answer without a limit ends one only if its request was sent after
    /// the limit was last named: heads overtake one another.
    pub fn note(
        &mut self,
        now_ms: u64,
        start: StartId,
        sent_ms: u64,
        notice: TargetNotice,
    ) -> bool {
        let is_limited = notice.limit_per_s.is_some();
        let said_ms = if is_limited { now_ms } else { sent_ms };
        if !is_limited && !self.by_start.contains_key(&start) {
            return false;
        }
        let known = self.by_start.entry(start).or_default();
        if said_ms < known.said_ms {
            return false;
        }
        known.said_ms = said_ms;
        let before = known.limit_per_s;
        known.limit_per_s = notice.limit_per_s;
        before != notice.limit_per_s
    }
}
