//! The starts of targets that one fingerprint has lost.

use super::{CLEARED_RETENTION_MS, SUSPECT_RETENTION_MS, TOGETHER_MS};
use crate::gateway::target_end::StartId;

/// The maximum number of losses that are kept of one fingerprint. A culprit
/// explains the losses of others only at starts that are kept.
const MAX_LOSSES: usize = 64;

/// How long before the last loss an answer may lie to speak for a suspect, in
/// milliseconds. Targets may get other software, and parts that many requests
/// have are answered more often.
const ANSWER_VALIDITY_MS: u64 = 2_000;

/// A start of a target that ended while a request was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The start that ended.
    pub start: StartId,
    /// When it ended, on the process's clock.
    pub at_ms: u64,
    /// Whether it ended in a cut, together with a large part of its service's
    /// targets.
    pub is_cut: bool,
}

/// A fingerprint's losses since a target last answered it.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    losses: Vec<Loss>,
    /// When a target last answered it; earlier losses don't count.
    cleared_ms: Option<u64>,
}

impl Suspect {
    /// Returns its losses, each start once.
    pub fn losses(&self) -> &[Loss] {
        &self.losses
    }

    /// Returns its latest losses, at most `count`.
    pub fn latest_losses(&self, count: usize) -> Vec<Loss> {
        let mut losses = self.losses.clone();
        losses.sort_by_key(|loss| std::cmp::Reverse(loss.at_ms));
        losses.truncate(count);
        losses
    }

    /// Returns when a target last answered it; `None` if none did.
    pub fn cleared_ms(&self) -> Option<u64> {
        self.cleared_ms
    }

    /// Returns whether it has lost a start.
    pub fn has_lost(&self, start: StartId) -> bool {
        self.losses.iter().any(|loss| loss.start == start)
    }

    /// Adds a loss. Returns whether this changed anything.
    pub fn add_loss(
        &mut self,
        start: StartId,
        at_ms: u64,
        is_cut: bool,
    ) -> bool {
        let is_cleared = self.cleared_ms.is_some_and(|ms| at_ms <= ms);
        let known = self.losses.iter_mut().find(|loss| loss.start == start);
        if let Some(known) = known {
            let has_changed = is_cut && !known.is_cut;
            known.is_cut |= is_cut;
            return has_changed;
        }
        if is_cleared {
            return false;
        }
        self.losses.push(Loss { start, at_ms, is_cut });
        if self.losses.len() > MAX_LOSSES {
            self.drop_closest();
        }
        true
    }

    /// Drops the loss that came soonest after another one, so that copies lost
    /// at one moment don't hide later moments. The first and the last are
    /// kept.
    fn drop_closest(&mut self) {
        self.losses.sort_by_key(|loss| loss.at_ms);
        let gaps = self.losses.windows(2).map(|l| l[1].at_ms - l[0].at_ms);
        let inner = gaps.enumerate().take(self.losses.len() - 2);
        let nearest = inner.min_by_key(|(_, gap_ms)| *gap_ms);
        if let Some((before, _)) = nearest {
            self.losses.remove(before + 1);
        }
    }

    /// Marks the losses at about `at_ms` as lost in a cut.
    pub fn mark_cut(&mut self, at_ms: u64) {
        let is_near =
            |loss: &&mut Loss| loss.at_ms.abs_diff(at_ms) <= TOGETHER_MS;
        let near = self.losses.iter_mut().filter(is_near);
        near.for_each(|loss| loss.is_cut = true);
    }

    /// Clears all losses up to `at_ms`, including those that are reported
    /// later. Returns whether any were removed.
    pub fn clear(&mut self, at_ms: u64) -> bool {
        self.cleared_ms = self.cleared_ms.max(Some(at_ms));
        let before = self.losses.len();
        self.losses.retain(|loss| loss.at_ms > at_ms);
        self.losses.len() < before
    }

    /// Returns whether a target answered it shortly before its last loss.
    pub fn was_answered_lately(&self) -> bool {
        let last_ms = self.last_ms();
        self.cleared_ms.is_some_and(|ms| last_ms <= ms + ANSWER_VALIDITY_MS)
    }

    /// Returns when it last lost a start; 0 if it never did.
    pub fn last_ms(&self) -> u64 {
        self.losses.iter().map(|loss| loss.at_ms).max().unwrap_or(0)
    }

    /// Returns whether the suspect can be forgotten.
    pub fn is_over(&self, now_ms: u64) -> bool {
        let shared_until_ms =
            self.cleared_ms.map_or(0, |ms| ms + CLEARED_RETENTION_MS);
        let kept_until_ms = self.last_ms() + SUSPECT_RETENTION_MS;
        let is_empty = self.losses.is_empty();
        now_ms > shared_until_ms && (is_empty || now_ms > kept_until_ms)
    }
}

/// Returns the number of distinct moments of some losses. A loss begins a new
/// moment if it comes more than `TOGETHER_MS` after the first loss of the
/// current one: a series without pauses is not a single moment.
pub fn count_moments(losses: &[Loss]) -> usize {
    let mut times: Vec<u64> = losses.iter().map(|loss| loss.at_ms).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut until_ms = None;
    for at_ms in times {
        if until_ms.is_none_or(|until_ms| at_ms > until_ms) {
            count += 1;
            until_ms = Some(at_ms + TOGETHER_MS);
        }
    }
    count
}
