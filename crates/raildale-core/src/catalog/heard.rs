//! The changes of the store that one process has heard of, of all kinds.

use std::collections::BTreeSet;

use super::Stamp;

/// The maximum number of changes that are remembered; the oldest are dropped
/// first.
const MAX_CHANGES: usize = 4_096;

/// The changes of the store that one process has heard of. The store numbers
/// the changes of all kinds together, and each is one of one kind.
#[derive(Clone, Debug, Default)]
pub struct HeardChanges {
    stamps: BTreeSet<Stamp>,
}

impl HeardChanges {
    /// Records a change.
    pub fn record(&mut self, stamp: Stamp) {
        self.stamps.insert(stamp);
        if self.stamps.len() > MAX_CHANGES {
            self.stamps.pop_first();
        }
    }

    /// Returns whether every change after `known` up to `head` has been heard
    /// of.
    pub fn covers(&self, known: Stamp, head: Stamp) -> bool {
        let count = head.revision.saturating_sub(known.revision);
        let next = Stamp::new(known.era, known.revision.saturating_add(1));
        known.era == head.era
            && next <= head
            && self.stamps.range(next..=head).count() as u64 == count
    }
}
