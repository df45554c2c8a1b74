//! Writes a change of the settings to the platform.
//!
//! [`Writer`] decides on the next step; this module calls the platform and
//! reports the result.

use raildale_core::settings::writer::{
    Outcome, RECENT_OPERATIONS, Reply, Step, Writer,
};

use crate::{
    platform::{
        CallResult, Change as PastChange, Platform, SETTINGS_KEY,
        StoredSettings,
    },
    settings_text,
};

/// The maximum number of changes in the history.
const MAX_HISTORY: usize = 100;

/// A change of the settings.
#[derive(Clone, Debug)]
pub struct Change {
    /// The whole new text.
    pub text: String,
    /// The name of the author.
    pub author: String,
    /// The reason that the author gave.
    pub reason: String,
    /// The time of the change, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The operation id.
    pub operation: String,
    /// The revision that the change is based on, if the author gave one.
    pub expected: Option<u64>,
    /// The revision in force at this process.
    pub in_force: u64,
}

/// The result of a change.
#[derive(Clone, Debug)]
pub struct WriteResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The revision that contains the change; 0 if it was not accepted.
    pub revision: u64,
    /// The operation id.
    pub operation: String,
    /// In a conflict, the author of the stored settings; otherwise empty.
    pub other_author: String,
    /// In a conflict, the difference from the stored text to the new one;
    /// otherwise empty.
    pub other_difference: String,
}

/// Writes a change. Lost answers never make it apply twice.
pub async fn write(platform: &Platform, change: Change) -> WriteResult {
    let mut writer = Writer::new(change.operation.clone(), change.expected);
    let mut stored = StoredSettings::default();
    let mut version = 0;
    let mut step = writer.start();
    loop {
        let reply = match step {
            Step::Read => match platform.read(SETTINGS_KEY).await {
                CallResult::Answered(object) => {
                    stored = serde_json::from_value(object.value)
                        .unwrap_or_default();
                    version = object.version;
                    let operations = stored.operations.clone();
                    let revision = stored.revision(version);
                    Reply::Read { revision, operations }
                }
                _ => Reply::Lost,
            },
            // The revision that was read is not above `expected`. It is below
            // if the platform has been restored since. A stale read leads to a
            // conflict.
            Step::Write { expected } => {
                let min_revision = change.in_force.max(expected);
                let base =
                    stored.base.max(min_revision.saturating_sub(version));
                let next = successor(&stored, &change, base);
                let value = serde_json::to_value(&next).unwrap_or_default();
                match platform.update(SETTINGS_KEY, version, &value).await {
                    CallResult::Answered(version) => {
                        Reply::Written { revision: next.revision(version) }
                    }
                    CallResult::Conflict => Reply::Conflict,
                    CallResult::Lost => Reply::Lost,
                }
            }
            Step::Finished(outcome) => {
                return write_result(outcome, change, stored);
            }
        };
        step = writer.next(reply);
    }
}

/// Returns the object after the change. Its history extends the stored one:
/// the update is conditional on the version that was read.
fn successor(
    stored: &StoredSettings,
    change: &Change,
    base: u64,
) -> StoredSettings {
    let mut operations = stored.operations.clone();
    operations.push(change.operation.clone());
    let surplus = operations.len().saturating_sub(RECENT_OPERATIONS);
    operations.drain(..surplus);
    let mut history = stored.history.clone();
    history.push(PastChange {
        author: change.author.clone(),
        reason: change.reason.clone(),
        time_ms: change.time_ms,
        operation: change.operation.clone(),
    });
    let surplus = history.len().saturating_sub(MAX_HISTORY);
    history.drain(..surplus);
    StoredSettings {
        text: change.text.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        time_ms: change.time_ms,
        operations,
        history,
        base,
    }
}

fn write_result(
    outcome: Outcome,
    change: Change,
    stored: StoredSettings,
) -> WriteResult {
    let is_conflict = outcome == Outcome::Conflict;
    let revision = match outcome {
        Outcome::Accepted { revision } => revision,
        _ => 0,
    };
    let difference = settings_text::difference(&stored.text, &change.text);
    WriteResult {
        outcome,
        revision,
        operation: change.operation,
        other_author: if is_conflict { stored.author } else { String::new() },
        other_difference: if is_conflict { difference } else { String::new() },
    }
}
