//! Revisions only grow.

/// What to do with a settings revision that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// It is newer; apply it.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older than the one in force; refuse it.
    Older,
}

/// The highest revision that a process has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionGate {
    in_force: u64,
}

impl RevisionGate {
    /// A gate that has seen nothing; revision 0 means none.
    pub fn new() -> RevisionGate {
        RevisionGate::default()
    }

    /// The revision in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Compares `revision` with the one in force.
    pub fn compare(&self, revision: u64) -> RevisionOrder {
        match revision.cmp(&self.in_force) {
            std::cmp::Ordering::Greater => RevisionOrder::Newer,
            std::cmp::Ordering::Equal => RevisionOrder::Same,
            std::cmp::Ordering::Less => RevisionOrder::Older,
        }
    }

    /// Puts `revision` in force.
    ///
    /// # Panics
    ///
    /// Panics if it is not newer: the invariant *settings-never-revert*.
    pub fn advance(&mut self, revision: u64) {
        assert!(
            revision > self.in_force,
            "invariant settings-never-revert: {revision} after {}",
            self.in_force
        );
        self.in_force = revision;
    }
}
