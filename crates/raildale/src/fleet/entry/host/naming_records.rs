//! Records in the store of when versions were named.
//!
//! A version's bound runs from its naming. Running entry hosts tell one
//! another its age; a record tells it after a start of all of them. The
//! watchers that heard of a naming write it into the version's own object.

use std::rc::Rc;

use raildale_core::{Name, catalog::Kind, gateway::versions::AgedVersion};

use super::{EntryHost, unix_ms};
use crate::fleet::{
    edge::{Dialect, NamedWeights, NamingRecord, Store},
    steady_clock::now_ms,
};

/// The pause between two writes of a model's records, in milliseconds. By then
/// the watch of the store has delivered the first, or the store is away.
const WRITE_PAUSE_MS: u64 = 1_500;

/// The maximum time that a watcher leaves the first write to the others, in
/// milliseconds.
const MAX_WRITE_DELAY_MS: u64 = 400;

/// The maximum number of records of a model; the oldest are dropped first.
const MAX_RECORDS: usize = 8;

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Writes the namings that the store lacks, if this entry host watches the
    /// store.
    pub fn reconcile_naming_records(self: &Rc<Self>) {
        let now = now_ms();
        if !self.sees_store() || !self.members.borrow().is_watcher(now) {
            return;
        }
        for object in self.store_mirror.snapshot(Kind::Versions).objects {
            // Objects that do not decode were logged on arrival.
            let Ok(named) = self.platform.named_weights(&object.body) else {
                continue;
            };
            let Some(records) = self.missing_records(&named) else { continue };
            if self.claim_naming_write(&named.model) {
                let host = self.clone();
                tokio::task::spawn_local(async move {
                    host.write_naming_records(&named.model, &records).await;
                });
            }
        }
    }

    /// Returns the records of a model that the store should hold; `None` if it
    /// holds all that this entry host knows.
    fn missing_records(
        &self,
        named: &NamedWeights,
    ) -> Option<Vec<NamingRecord>> {
        let gateway = self.gateway.borrow();
        // If the process stands still in between, the record is too early.
        let unix_now = unix_ms();
        let now = now_ms();
        let heard = gateway.versions.heard(&named.model).into_iter();
        let is_stored = |version: u64| {
            named.records.iter().any(|record| record.version == version)
        };
        let missing: Vec<NamingRecord> = heard
            .filter(|known| !is_stored(known.version))
            .map(|known| NamingRecord {
                version: known.version,
                unix_ms: unix_now - now.saturating_sub(known.named_ms),
            })
            .collect();
        if missing.is_empty() {
            return None;
        }
        let mut records = named.records.clone();
        records.extend(missing);
        records.sort_unstable_by_key(|record| record.version);
        let surplus = records.len().saturating_sub(MAX_RECORDS);
        Some(records.split_off(surplus))
    }

    /// Returns whether this entry host writes the records of a model now. The
    /// first time it waits for a random time, so that not all watchers write.
    fn claim_naming_write(&self, model: &Name) -> bool {
        let now = now_ms();
        let mut writes_ms = self.naming_writes_ms.borrow_mut();
        let is_stale = |at_ms: u64| now > at_ms + WRITE_PAUSE_MS;
        let due_ms = writes_ms.get(model).copied();
        match due_ms.filter(|at_ms| !is_stale(*at_ms)) {
            Some(due_ms) if now < due_ms => false,
            Some(_) => {
                writes_ms.insert(model.clone(), now + WRITE_PAUSE_MS);
                true
            }
            None => {
                let delay_ms = rand::random_range(0..MAX_WRITE_DELAY_MS);
                writes_ms.insert(model.clone(), now + delay_ms);
                false
            }
        }
    }

    async fn write_naming_records(
        &self,
        model: &str,
        records: &[NamingRecord],
    ) {
        self.metrics.add("store_calls_total", "", 1);
        let written = self.platform.put_naming_records(model, records).await;
        if let Err(failure) = written {
            log::info!("writing the namings of {model}: {failure:?}");
        }
    }
}

/// Returns the ages of the recorded namings by the time of day.
pub(super) fn recorded_ages(named: &NamedWeights) -> Vec<AgedVersion> {
    let unix_ms = unix_ms();
    let records = named.records.iter();
    records
        .map(|record| AgedVersion {
            version: record.version,
            age_ms: unix_ms.saturating_sub(record.unix_ms),
        })
        .collect()
}
