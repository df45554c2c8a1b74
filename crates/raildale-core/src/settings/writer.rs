//! Writes one change of the settings at most once, even if responses are lost.
//!
//! The object stores the operation id of the change. If the response to the
//! conditional update is lost, the object is read back: if the id is in its
//! list of recent operations, the write took effect. Otherwise the same update
//! is sent again with the same condition, so it takes effect once or not at
//! all.

use crate::Code;

/// The number of recent operation ids that an object stores.
pub const RECENT_OPERATIONS: usize = 64;

/// The number of replies after which the writer gives up on the change.
const MAX_STEPS: u32 = 8;

/// The platform's reply to a [`Step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The current state of the object.
    Read {
        /// The object's revision; 0 if there is no object.
        revision: u64,
        /// The ids of the operations that led to this revision, newest last.
        operations: Vec<String>,
    },
    /// The update took effect.
    Written {
        /// The object's new revision.
        revision: u64,
    },
    /// The object's revision was not the expected one.
    Conflict,
    /// No response, or one that does not tell the outcome.
    Lost,
}

/// The next operation of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the object.
    Read,
    /// Update the object if its revision is `expected`.
    Write {
        /// The revision that the change is based on.
        expected: u64,
    },
    /// The change is complete.
    Finished(Outcome),
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change took effect at or before this revision.
    Accepted {
        /// A revision that is known to include the change.
        revision: u64,
    },
    /// Another change was made first; nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// It is unknown whether the change took effect.
    Unsettled,
}

impl Outcome {
    /// Returns the matching result code.
    pub fn code(self) -> Code {
        match self {
            Outcome::Accepted { .. } => Code::Accepted,
            Outcome::Conflict => Code::SettingsConflict,
            Outcome::NotWritten => Code::PlatformDown,
            Outcome::Unsettled => Code::WriteUnsettled,
        }
    }
}

/// The state of one change that is being written.
#[derive(Debug)]
pub struct Writer {
    operation: String,
    expected: Option<u64>,
    sent: bool,
    steps: u32,
}

impl Writer {
    /// Returns a writer for a change with this operation id. `expected` is the
    /// revision that the change is based on; `None` bases it on the first
    /// revision that is read.
    pub fn new(operation: String, expected: Option<u64>) -> Writer {
        Writer { operation, expected, sent: false, steps: 0 }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Returns the step that follows `reply`.
    pub fn next(&mut self, reply: Reply) -> Step {
        self.steps += 1;
        match reply {
            Reply::Written { revision } => accepted(revision),
            Reply::Read { revision, operations } => {
                self.on_read(revision, &operations)
            }
            // The conflict may be with an earlier update of this writer whose
            // response was lost.
            Reply::Conflict if self.sent => Step::Read,
            Reply::Conflict => Step::Finished(Outcome::Conflict),
            Reply::Lost if self.steps >= MAX_STEPS => self.give_up(),
            Reply::Lost => Step::Read,
        }
    }

    fn on_read(&mut self, revision: u64, operations: &[String]) -> Step {
        if self.sent && operations.contains(&self.operation) {
            return accepted(revision);
        }
        let expected = *self.expected.get_or_insert(revision);
        // A read may be stale: a revision older than the expected one says
        // nothing about the current state.
        if revision > expected {
            return Step::Finished(Outcome::Conflict);
        }
        if self.steps >= MAX_STEPS {
            return self.give_up();
        }
        self.sent = true;
        Step::Write { expected }
    }

    fn give_up(&self) -> Step {
        let outcome = match self.sent {
            true => Outcome::Unsettled,
            false => Outcome::NotWritten,
        };
        Step::Finished(outcome)
    }
}

fn accepted(revision: u64) -> Step {
    Step::Finished(Outcome::Accepted { revision })
}
