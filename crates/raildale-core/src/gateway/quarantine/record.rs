//! Records of culprits in the platform's store, which outlast a restart of all
//! entry hosts.

use super::{
    Quarantine, SUSPECT_RETENTION_MS, gossip::MAX_SENT_LOSSES,
    verdict::CERTAIN_LOSSES,
};
use crate::{
    fleet_message::{LossEntry, SuspectEntry},
    gateway::{fingerprint::Fingerprint, target_end::StartId},
};

/// A culprit as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The culprit's fingerprint.
    pub fingerprint: Fingerprint,
    /// The starts that it has lost, and when, in Unix milliseconds.
    pub losses: Vec<(StartId, u64)>,
}

/// How much later than a stored loss another has to be for the record to be
/// written again, in milliseconds. Copies that were lost together are not.
const MIN_REWRITE_MS: u64 = 60_000;

impl Record {
    /// Returns when the last start was lost, in Unix milliseconds; 0 if there
    /// is no loss.
    pub fn last_unix_ms(&self) -> u64 {
        let times = self.losses.iter().map(|(_, at_unix_ms)| *at_unix_ms);
        times.max().unwrap_or(0)
    }

    /// Returns whether it holds more than the stored record, if there is one:
    /// more losses, up to the number that makes a culprit certain, or a later
    /// one.
    pub fn adds_to(&self, stored: Option<&Record>) -> bool {
        let Some(stored) = stored else { return true };
        let is_later =
            self.last_unix_ms() > stored.last_unix_ms() + MIN_REWRITE_MS;
        let known = self.losses.len().min(CERTAIN_LOSSES);
        stored.losses.len() < known || is_later
    }

    /// Returns whether its losses are too old to be used.
    pub fn is_over(&self, unix_ms: u64) -> bool {
        unix_ms > self.last_unix_ms() + SUSPECT_RETENTION_MS
    }
}

impl Quarantine {
    /// Returns the records of all culprits. `unix_ms` is the time of day at
    /// `now_ms`.
    pub fn records(&self, now_ms: u64, unix_ms: u64) -> Vec<Record> {
        let record = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            let losses = suspect.latest_losses(MAX_SENT_LOSSES);
            let losses = losses.into_iter().map(|loss| {
                let age_ms = now_ms.saturating_sub(loss.at_ms);
                (loss.start, unix_ms.saturating_sub(age_ms))
            });
            let losses = losses.collect();
            Some(Record { fingerprint: *fingerprint, losses })
        };
        self.culprits.iter().filter_map(record).collect()
    }

    /// Merges a record from the store.
    pub fn merge_record(&mut self, now_ms: u64, unix_ms: u64, record: Record) {
        let losses = record.losses.into_iter().map(|(start, at_unix_ms)| {
            let age_ms = unix_ms.saturating_sub(at_unix_ms);
            LossEntry { start: start.0, age_ms, is_cut: false }
        });
        let message = SuspectEntry {
            caller: record.fingerprint.caller,
            request: record.fingerprint.request,
            losses: losses.collect(),
            cleared_age_ms: None,
        };
        self.merge_remote(now_ms, vec![message]);
    }
}
