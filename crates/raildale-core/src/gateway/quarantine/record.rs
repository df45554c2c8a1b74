//! What lasts of a culprit in the platform's store, when every entry host
//! starts anew.

use super::{Quarantine, SURE_LOSSES, SUSPECT_KEPT_MS};
use crate::{
    fleet_message::{LossEntry, SuspectEntry},
    gateway::{ends::StartId, fingerprint::Fingerprint},
};

/// A culprit, as it is written down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose.
    pub fingerprint: Fingerprint,
    /// The starts that it has lost, and when, in Unix milliseconds.
    pub losses: Vec<(StartId, u64)>,
}

/// How much later than a stored one a loss has to be for the record to be
/// written again, in milliseconds: copies that were lost together are not.
const LATER_MS: u64 = 60_000;

impl Record {
    /// When the last start was lost, in Unix milliseconds; 0 if none was.
    pub fn last_unix_ms(&self) -> u64 {
        let times = self.losses.iter().map(|(_, at_unix_ms)| *at_unix_ms);
        times.max().unwrap_or(0)
    }

    /// Whether it tells more than the stored one, if there is one: losses
    /// until the culprit is sure, and later ones.
    pub fn adds_to(&self, stored: Option<&Record>) -> bool {
        let Some(stored) = stored else { return true };
        let is_later = self.last_unix_ms() > stored.last_unix_ms() + LATER_MS;
        let known = self.losses.len().min(SURE_LOSSES);
        stored.losses.len() < known || is_later
    }

    /// Whether its losses are so long ago that nobody goes by it any more.
    pub fn is_over(&self, unix_ms: u64) -> bool {
        unix_ms > self.last_unix_ms() + SUSPECT_KEPT_MS
    }
}

impl Quarantine {
    /// Culprits, to be written down. `unix_ms` is what the time of day shows
    /// at `now_ms`.
    pub fn records(&self, now_ms: u64, unix_ms: u64) -> Vec<Record> {
        let record = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            let losses = suspect.losses().iter().map(|loss| {
                let age_ms = now_ms.saturating_sub(loss.at_ms);
                (loss.start, unix_ms.saturating_sub(age_ms))
            });
            let losses = losses.collect();
            Some(Record { fingerprint: *fingerprint, losses })
        };
        self.culprits.iter().filter_map(record).collect()
    }

    /// Takes in a record of the store.
    pub fn take_record(&mut self, now_ms: u64, unix_ms: u64, record: Record) {
        let losses = record.losses.into_iter().map(|(start, at_unix_ms)| {
            let age_ms = unix_ms.saturating_sub(at_unix_ms);
            LossEntry { start: start.0, age_ms, is_cut: false }
        });
        let told = SuspectEntry {
            caller: record.fingerprint.caller,
            request: record.fingerprint.request,
            losses: losses.collect(),
            cleared_age_ms: None,
        };
        self.take_told(now_ms, vec![told]);
    }
}
