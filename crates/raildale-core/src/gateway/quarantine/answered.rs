//! The parts of prompts that targets have answered lately.

use std::collections::HashMap;

use crate::gateway::fingerprint::Fingerprint;

/// The maximum number of parts in one of the two generations. Both take about
/// 100 KB.
const MAX_PARTS: usize = 2_048;

/// When targets last answered requests with each part, on the process's clock.
/// The parts that were answered longest ago are forgotten.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    recent: HashMap<Fingerprint, u64>,
    older: HashMap<Fingerprint, u64>,
}

impl AnsweredParts {
    /// Records that a target answered a request with the part.
    pub fn record(&mut self, now_ms: u64, part: Fingerprint) {
        if self.recent.len() >= MAX_PARTS && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, now_ms);
    }

    /// Returns when a request with the part was last answered; `None` if that
    /// is not known.
    pub fn last_ms(&self, part: Fingerprint) -> Option<u64> {
        let recent = self.recent.get(&part);
        recent.or_else(|| self.older.get(&part)).copied()
    }
}
