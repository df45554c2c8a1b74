//! What is told and written of requests that end the targets that run them.

use std::time::{SystemTime, UNIX_EPOCH};

use raildale_core::{
    LogEvent,
    catalog::StoredObject,
    fleet_message::ToldSuspect,
    gateway::{Fingerprint, quarantine::Record},
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Takes in and writes which starts of targets have ended.
    pub fn note_ends(&self) {
        let ends = self.gateway.borrow_mut().take_ends(now_ms());
        if ends.is_empty() {
            return;
        }
        for end in ends {
            let detail = format!(
                "target={} sign={:?} in_flight={}",
                end.target, end.sign, end.in_flight
            );
            self.metrics.add("targets_ended_total", "", 1);
            self.log(LogEvent::TargetEnded, &detail);
        }
        self.note_suspects();
    }

    /// Takes in what another entry host tells of suspects.
    pub fn take_told_suspects(&self, told: Vec<ToldSuspect>) {
        if told.is_empty() {
            return;
        }
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.merge_remote(now_ms(), told);
        drop(gateway);
        self.note_suspects();
    }

    /// Writes who became a culprit or is none any more; others hear of a loss
    /// now and not with the next heartbeat.
    pub fn note_suspects(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let news = gateway.quarantine.take_changes();
        let is_urgent = gateway.quarantine.take_urgent();
        let most_losses = gateway.quarantine.max_losses() as u64;
        let culprits = gateway.quarantine.culprit_count() as u64;
        drop(gateway);
        self.metrics.set("suspect_losses_most", "", most_losses);
        self.metrics.set("quarantined_requests", "", culprits);
        if is_urgent {
            self.news_due.notify_one();
        }
        for one in news {
            let event = match one.is_culprit {
                true => LogEvent::RequestQuarantined,
                false => LogEvent::QuarantineLifted,
            };
            let detail =
                format!("request={} losses={}", one.fingerprint, one.losses);
            self.metrics.add("quarantine_changes_total", "", 1);
            self.log(event, &detail);
        }
    }

    /// Takes in a record of the store.
    pub(super) fn take_record(&self, object: &StoredObject) {
        let decoded = self.platform.quarantine_record(object);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(record) = self.readable(object, decoded, unreadable) else {
            return;
        };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.merge_record(now_ms(), unix_ms(), record);
        drop(gateway);
        self.note_suspects();
    }

    /// Takes in that a record is gone from the store: an operator took it
    /// away, or an entry host whose request was answered.
    pub(super) fn lift(&self, name: &str) {
        let Some(fingerprint) = Fingerprint::from_text(name) else { return };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.lift(now_ms(), fingerprint);
        drop(gateway);
        self.note_suspects();
    }

    /// The records that the store is to hold.
    pub fn quarantine_records(&self) -> Vec<Record> {
        let gateway = self.gateway.borrow();
        gateway.quarantine.records(now_ms(), unix_ms())
    }
}

/// The time of day, in Unix milliseconds: records outlast the process.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
