//! The rule that the settings revision in force never decreases.

/// How a settings revision compares with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// It is newer and is to be applied.
    Newer,
    /// It is the revision in force.
    Same,
    /// It is older than the one in force and is to be refused.
    Older,
}

/// The settings revision that a process has in force. It only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionGate {
    in_force: u64,
}

impl RevisionGate {
    /// Returns a gate with no revision in force, which is represented by 0.
    pub fn new() -> RevisionGate {
        RevisionGate::default()
    }

    /// Returns the revision in force; 0 if there is none.
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
    /// Panics if `revision` is not newer than the one in force (the invariant
    /// *settings-never-revert*).
    pub fn advance(&mut self, revision: u64) {
        assert!(
            revision > self.in_force,
            "invariant settings-never-revert: {revision} after {}",
            self.in_force
        );
        self.in_force = revision;
    }
}
