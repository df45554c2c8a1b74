//! Losses and records of requests that end the targets that run them.

use std::time::{SystemTime, UNIX_EPOCH};

use raildale_core::{
    LogEvent,
    catalog::StoredObject,
    fleet_message::SuspectEntry,
    gateway::{Fingerprint, quarantine::Record},
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Handles and logs the starts of targets that have ended.
    pub fn handle_ended_targets(&self) {
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
        self.publish_quarantine_changes();
    }

    /// Handles the suspects that another entry host reports.
    pub fn handle_peer_suspects(&self, suspects: Vec<SuspectEntry>) {
        if suspects.is_empty() {
            return;
        }
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.merge_remote(now_ms(), suspects);
        drop(gateway);
        self.publish_quarantine_changes();
    }

    /// Logs which requests became culprits or no longer are. Other entry hosts
    /// are informed of a loss at once, and not with the next heartbeat.
    pub fn publish_quarantine_changes(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let changes = gateway.quarantine.take_changes();
        let is_urgent = gateway.quarantine.take_urgent();
        let max_losses = gateway.quarantine.max_losses() as u64;
        let culprits = gateway.quarantine.culprit_count() as u64;
        let parts = gateway.quarantine.culprit_part_count() as u64;
        drop(gateway);
        self.metrics.set("suspect_losses_most", "", max_losses);
        self.metrics.set("quarantined_requests", "", culprits);
        self.metrics.set("quarantined_parts", "", parts);
        if is_urgent {
            self.urgent_heartbeat_due.notify_one();
        }
        for change in changes {
            let event = match change.is_culprit {
                true => LogEvent::RequestQuarantined,
                false => LogEvent::QuarantineLifted,
            };
            let subject = match change.fingerprint.is_part() {
                true => "part",
                false => "request",
            };
            let detail = format!(
                "{subject}={} losses={}",
                change.fingerprint, change.losses
            );
            self.metrics.add("quarantine_changes_total", "", 1);
            self.log(event, &detail);
        }
    }

    /// Applies a record from the store.
    pub(super) fn apply_record(&self, object: &StoredObject) {
        let decoded = self.platform.quarantine_record(object);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(record) = self.decode_or_log(object, decoded, unreadable)
        else {
            return;
        };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.merge_record(now_ms(), unix_ms(), record);
        drop(gateway);
        self.publish_quarantine_changes();
    }

    /// Handles the deletion of a record from the store, by an operator or by
    /// an entry host that answered the request.
    pub(super) fn remove_record(&self, name: &str) {
        let Some(fingerprint) = Fingerprint::from_text(name) else { return };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.lift(now_ms(), fingerprint);
        drop(gateway);
        self.publish_quarantine_changes();
    }

    /// Returns the records that the store should hold.
    pub fn quarantine_records(&self) -> Vec<Record> {
        let gateway = self.gateway.borrow();
        gateway.quarantine.records(now_ms(), unix_ms())
    }
}

/// Returns the time of day in Unix milliseconds, for records, which outlast
/// the process.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
