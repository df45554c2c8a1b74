//! That the store was restored from an older copy, and what outlasts that.

use raildale_core::{
    LogEvent, Name,
    catalog::{Kind, Progress, Snapshot, Stamp, StoredObject},
    fleet_message::ToldDeparture,
    gateway::target_end::StartId,
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

/// Objects that a log line names at most.
const KEPT_NAMED: usize = 4;

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Whether what is known of a kind is from before the store's last
    /// restore.
    pub fn is_of_older_era(&self, kind: Kind) -> bool {
        Some(self.known.stamp(kind).era) < self.store_era.get()
    }

    /// Notes the era of what was told of a kind. If the store was restored
    /// since, every watch begins anew with a list.
    pub fn note_era(&self, kind: Kind, told: Stamp) {
        let before = self.store_era.get();
        if Some(told.era) <= before {
            return;
        }
        self.store_era.set(Some(told.era));
        self.metrics.set("store_era", "", told.era);
        let Some(before) = before else { return };
        let known = self.known.stamp(kind);
        let detail = format!(
            "era={before}..{} kind={kind:?} revision={told} known={known}",
            told.era
        );
        self.metrics.add("store_restores_total", "", 1);
        self.log(LogEvent::StoreRestored, &detail);
        self.store_back_ms.set(now_ms());
        self.store_restored.notify_waiters();
    }

    /// Writes which objects of a kind outlast a restore of the store, of
    /// which a list has just been taken over.
    pub(super) fn log_kept(&self, kind: Kind) {
        let Snapshot { stamp, objects } = self.known.snapshot(kind);
        let kept = objects.iter().filter(|o| o.stamp.era < stamp.era);
        let kept: Vec<&str> = kept.map(|object| &*object.name).collect();
        if kept.is_empty() {
            return;
        }
        let names = kept[..kept.len().min(KEPT_NAMED)].join(",");
        let count = kept.len();
        let detail =
            format!("kind={kind:?} revision={stamp} kept={count} {names}");
        self.log(LogEvent::StoreKept, &detail);
    }

    /// Notes what the store tells of a kind, and writes it if that is older
    /// than what is known, once for each stamp.
    pub(super) fn note_told(&self, kind: Kind, told: Stamp) {
        self.note_era(kind, told);
        let known = self.known.stamp(kind);
        if !self.known.is_known(kind) || told >= known {
            return;
        }
        self.metrics.add("store_answers_older_total", "", 1);
        if self.told_older.borrow_mut().insert(kind, told) != Some(told) {
            let detail =
                format!("kind={kind:?} revision={told} known={known}");
            self.log(LogEvent::StoreOlder, &detail);
        }
    }

    /// Takes in the entry under which a start is listed. Says whether it is a
    /// copy from before it left the list.
    pub(super) fn note_listed(&self, start: StartId, entry: Stamp) -> bool {
        let departed = &mut self.gateway.borrow_mut().targets.departed;
        departed.note_listed(start, entry)
    }

    /// Starts of targets that have left the list, for another entry host.
    pub fn departed(&self) -> Vec<ToldDeparture> {
        self.gateway.borrow().targets.departed.outgoing(now_ms())
    }

    /// Takes in which starts have left the list, as another entry host tells;
    /// those whose entries are copies are targets no more.
    pub fn take_departed(&self, told: Vec<ToldDeparture>) {
        if told.is_empty() {
            return;
        }
        let targets = &mut self.gateway.borrow_mut().targets;
        targets.departed.merge_remote(now_ms(), told);
        let listed = targets.iter().map(|target| {
            (target.spec.id.clone(), target.start, target.spec.stamp)
        });
        let listed: Vec<(Name, StartId, Stamp)> = listed.collect();
        for (id, start, stamp) in listed {
            if targets.departed.note_listed(start, stamp) {
                targets.remove(&id);
                let detail = format!("target={id} restored={stamp}");
                self.log(LogEvent::TargetGone, &detail);
            }
        }
    }

    /// Forgets old departures; targets that are listed all the same are back.
    pub(super) fn sweep_departed(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let back = gateway.targets.departed.sweep(now_ms());
        drop(gateway);
        if back.is_empty() {
            return;
        }
        for object in &self.known.snapshot(Kind::Targets).objects {
            let start = self.platform.target(object).map(|s| StartId::of(&s));
            if start.is_ok_and(|start| back.contains(&start)) {
                self.take_target(object);
            }
        }
    }

    /// How far an object has come, for kinds whose objects never go back;
    /// `None` for others, and for what does not decode.
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
            Kind::EntryHosts | Kind::Quarantine => None,
        }
    }
}
