//! Detection of restores of the store from an older copy, and the state that
//! survives them.

use raildale_core::{
    LogEvent, Name,
    catalog::{Kind, Progress, Snapshot, Stamp, StoredObject},
    fleet_message::DepartureEntry,
    gateway::target_end::StartId,
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// The maximum number of objects that a log line names.
const MAX_LOGGED_NAMES: usize = 4;

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Whether the copy of a kind dates from before the store's last restore.
    pub fn is_of_older_era(&self, kind: Kind) -> bool {
        Some(self.store_mirror.stamp(kind).era) < self.store_era.get()
    }

    /// Records the era of an answer about a kind. If the store was restored
    /// since the previous one, every watch starts again with a list.
    pub fn record_era(&self, kind: Kind, answered: Stamp) {
        let before = self.store_era.get();
        if Some(answered.era) <= before {
            return;
        }
        self.store_era.set(Some(answered.era));
        self.metrics.set("store_era", "", answered.era);
        let Some(before) = before else { return };
        let known = self.store_mirror.stamp(kind);
        let detail = format!(
            "era={before}..{} kind={kind:?} revision={answered} known={known}",
            answered.era
        );
        self.metrics.add("store_restores_total", "", 1);
        self.log(LogEvent::StoreRestored, &detail);
        self.store_recovered_ms.set(now_ms());
        self.store_restored.notify_waiters();
    }

    /// Logs which objects of a kind survive a restore of the store, after a
    /// list of the kind was applied.
    pub(super) fn log_retained(&self, kind: Kind) {
        let Snapshot { stamp, objects } = self.store_mirror.snapshot(kind);
        let retained = objects.iter().filter(|o| o.stamp.era < stamp.era);
        let retained: Vec<&str> =
            retained.map(|object| &*object.name).collect();
        if retained.is_empty() {
            return;
        }
        let names = retained[..retained.len().min(MAX_LOGGED_NAMES)].join(",");
        let count = retained.len();
        let detail =
            format!("kind={kind:?} revision={stamp} kept={count} {names}");
        self.log(LogEvent::StoreKept, &detail);
    }

    /// Records the stamp of an answer of the store. An answer that is older
    /// than the local copy is logged, once for each stamp.
    pub(super) fn check_answer_stamp(&self, kind: Kind, answered: Stamp) {
        self.record_era(kind, answered);
        let known = self.store_mirror.stamp(kind);
        if !self.store_mirror.is_known(kind) || answered >= known {
            return;
        }
        self.metrics.add("store_answers_older_total", "", 1);
        if self.older_answers.borrow_mut().insert(kind, answered)
            != Some(answered)
        {
            let detail =
                format!("kind={kind:?} revision={answered} known={known}");
            self.log(LogEvent::StoreOlder, &detail);
        }
    }

    /// Records the entry under which a start is listed. Returns whether the
    /// entry is a copy from before the start left the list.
    pub(super) fn record_listed(&self, start: StartId, entry: Stamp) -> bool {
        let departed = &mut self.gateway.borrow_mut().targets.departed;
        departed.record_listed(start, entry)
    }

    /// Returns the starts of targets that have left the list, for another
    /// entry host.
    pub fn departed(&self) -> Vec<DepartureEntry> {
        self.gateway.borrow().targets.departed.outgoing(now_ms())
    }

    /// Handles the departed starts that another entry host reports, and
    /// removes targets whose entries are copies from before a departure.
    pub fn handle_peer_departures(&self, departures: Vec<DepartureEntry>) {
        if departures.is_empty() {
            return;
        }
        let targets = &mut self.gateway.borrow_mut().targets;
        targets.departed.merge_remote(now_ms(), departures);
        let listed = targets.iter().map(|target| {
            (target.spec.id.clone(), target.start, target.spec.stamp)
        });
        let listed: Vec<(Name, StartId, Stamp)> = listed.collect();
        for (id, start, stamp) in listed {
            if targets.departed.record_listed(start, stamp) {
                targets.remove(&id);
                let detail = format!("target={id} restored={stamp}");
                self.log(LogEvent::TargetGone, &detail);
            }
        }
    }

    /// Removes old departures, and adds the targets that are listed all the
    /// same.
    pub(super) fn sweep_departed(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let relisted = gateway.targets.departed.sweep(now_ms());
        drop(gateway);
        if relisted.is_empty() {
            return;
        }
        for object in &self.store_mirror.snapshot(Kind::Targets).objects {
            let start = self.platform.target(object).map(|s| StartId::of(&s));
            if start.is_ok_and(|start| relisted.contains(&start)) {
                self.apply_target(object);
            }
        }
    }

    /// Returns the progress of an object, for kinds whose objects never go
    /// back; `None` for other kinds and for objects that do not decode.
    pub(super) fn progress(
        &self,
        kind: Kind,
        object: &StoredObject,
    ) -> Option<Progress> {
        match kind {
            Kind::Configuration => {
                let routing = self.platform.routing(&object.body).ok()?;
                Some(Progress { subject: 0, level: routing.version })
            }
            Kind::Targets => {
                let spec = self.platform.target(object).ok()?;
                let subject = StartId::of(&spec).0;
                Some(Progress { subject, level: spec.is_draining.into() })
            }
            Kind::Versions => {
                let named = self.platform.named_weights(&object.body).ok()?;
                Some(Progress { subject: 0, level: named.version })
            }
            Kind::EntryHosts | Kind::Quarantine | Kind::Evacuations => None,
        }
    }
}
