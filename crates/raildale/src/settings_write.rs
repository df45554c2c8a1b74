//! Carries a change of the settings to the platform.
//!
//! What to do next is decided by [`Writer`]; this module calls and reports.

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

/// Changes that the history keeps.
const HISTORY: usize = 100;

/// A change of the settings.
#[derive(Clone, Debug)]
pub struct Change {
    /// The whole new text.
    pub text: String,
    /// Who writes it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The operation id.
    pub operation: String,
    /// The revision that the author saw.
    pub expected: Option<u64>,
    /// The revision in force where it is written.
    pub in_force: u64,
}

/// How a change ended.
#[derive(Clone, Debug)]
pub struct WriteResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The revision at which the change is in; 0 if it is not.
    pub revision: u64,
    /// The operation id.
    pub operation: String,
    /// In a conflict: who changed the settings meanwhile.
    pub other_author: String,
    /// In a conflict: what differs between this text and what stands.
    pub other_difference: String,
}

/// Writes a change once, although answers get lost.
pub async fn write(platform: &Platform, change: Change) -> WriteResult {
    let mut writer = Writer::new(change.operation.clone(), change.expected);
    let mut standing = StoredSettings::default();
    let mut version = 0;
    let mut step = writer.start();
    loop {
        let reply = match step {
            Step::Read => match platform.read(SETTINGS_KEY).await {
                CallResult::Answered(object) => {
                    standing = serde_json::from_value(object.value)
                        .unwrap_or_default();
                    version = object.version;
                    let operations = standing.operations.clone();
                    let revision = standing.revision(version);
                    Reply::Read { revision, operations }
                }
                _ => Reply::Lost,
            },
            // What was read is not above what is expected. It is below that
            // if the platform was restored since; an old answer shows by a
            // conflict.
            Step::Write { expected } => {
                let least = change.in_force.max(expected);
                let base = standing.base.max(least.saturating_sub(version));
                let next = successor(&standing, &change, base);
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
                return written(outcome, change, standing);
            }
        };
        step = writer.next(reply);
    }
}

/// The object after the change. Its history builds on what was read, which
/// is what stands: the update is conditional on that version.
fn successor(
    standing: &StoredSettings,
    change: &Change,
    base: u64,
) -> StoredSettings {
    let mut operations = standing.operations.clone();
    operations.push(change.operation.clone());
    let surplus = operations.len().saturating_sub(RECENT_OPERATIONS);
    operations.drain(..surplus);
    let mut history = standing.history.clone();
    history.push(PastChange {
        author: change.author.clone(),
        reason: change.reason.clone(),
        time_ms: change.time_ms,
        operation: change.operation.clone(),
    });
    let surplus = history.len().saturating_sub(HISTORY);
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

fn written(
    outcome: Outcome,
    change: Change,
    standing: StoredSettings,
) -> WriteResult {
    let is_conflict = outcome == Outcome::Conflict;
    let revision = match outcome {
        Outcome::Accepted { revision } => revision,
        _ => 0,
    };
    let difference = settings_text::difference(&standing.text, &change.text);
    WriteResult {
        outcome,
        revision,
        operation: change.operation,
        other_author: if is_conflict {
            standing.author
        } else {
            String::new()
        },
        other_difference: if is_conflict { difference } else { String::new() },
    }
}
