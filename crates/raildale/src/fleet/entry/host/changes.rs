//! Applies the store's changes to routing, to the list of targets, to the
//! versions and to the entry hosts.

use std::net::IpAddr;

use raildale_core::{
    LogEvent, Name,
    catalog::{Change, Extent, Kind, Snapshot, Stamp, StoredObject},
    gateway::{
        Target,
        lapse::{Lapse, RELIST_TIMEOUT_MS, StoreView},
        target_end::StartId,
        targets::listings::Placement,
        versions::{DateChange, ListedVersion, Sighting, told::ToldVersions},
    },
};

use super::{EntryHost, naming_records::recorded_ages};
use crate::{
    error::Error,
    fleet::{
        edge::{Dialect, Store, StoreFailure},
        steady_clock::now_ms,
        store_list::PartialList,
    },
};

/// The minimum correction of a version's naming time that is logged, in
/// milliseconds: entry hosts usually hear of a version within less of one
/// another.
const MIN_LOGGED_CORRECTION_MS: u64 = 250;

/// The source of changes.
#[derive(Debug)]
enum ChangeSource {
    /// The store.
    Store {
        /// Whether changes arrive as they happen. Otherwise they may be as old
        /// as the previous answer.
        is_continuous: bool,
    },
    /// Another entry host.
    EntryHost {
        /// Targets whose entries have lapsed there and which it still keeps.
        lapsed: Vec<Name>,
    },
}

impl ChangeSource {
    /// Returns the label for log lines.
    fn label(&self) -> &'static str {
        match self {
            ChangeSource::Store { .. } => "store",
            ChangeSource::EntryHost { .. } => "entry host",
        }
    }
}

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Replaces a whole kind by a snapshot from the store.
    pub fn replace(&self, kind: Kind, snapshot: Snapshot) {
        self.check_answer_stamp(kind, snapshot.stamp);
        let source = ChangeSource::Store { is_continuous: false };
        self.apply_snapshot(kind, snapshot, Extent::default(), &source);
    }

    /// Replaces a whole kind by a snapshot from another entry host, whose
    /// knowledge of it extends to `source_extent` and whose lapsed targets are
    /// `lapsed`.
    pub fn replace_from_peer(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        source_extent: Extent,
        lapsed: Vec<Name>,
    ) {
        self.record_era(kind, snapshot.stamp);
        let source = ChangeSource::EntryHost { lapsed };
        self.apply_snapshot(kind, snapshot, source_extent, &source);
        if kind == Kind::Versions {
            self.gateway.borrow_mut().versions.record_read();
        }
    }

    /// Merges a list of a kind that could not be read to its end.
    pub fn merge_part(&self, kind: Kind, part: PartialList) {
        self.check_answer_stamp(kind, part.snapshot.stamp);
        let source = ChangeSource::Store { is_continuous: false };
        self.apply_part(kind, part, &source);
    }

    /// Merges what another entry host knows of a kind, up to the change
    /// `changed`, of which it has not been able to read all.
    pub fn merge_part_from_peer(
        &self,
        kind: Kind,
        part: PartialList,
        changed: Stamp,
        lapsed: Vec<Name>,
    ) {
        self.record_era(kind, part.snapshot.stamp);
        let source = ChangeSource::EntryHost { lapsed };
        if !self.store_mirror.is_known(kind) {
            self.apply_part(kind, part, &source);
            return;
        }
        let progress = |object: &StoredObject| self.progress(kind, object);
        let changes = self.store_mirror.merge_later(
            kind,
            part.snapshot,
            changed,
            progress,
        );
        self.apply_changes(kind, changes, &source);
    }

    fn apply_part(
        &self,
        kind: Kind,
        part: PartialList,
        source: &ChangeSource,
    ) {
        let is_first = !self.store_mirror.is_known(kind);
        let progress = |object: &StoredObject| self.progress(kind, object);
        let PartialList { snapshot, unread_after } = part;
        let changes =
            self.store_mirror.merge(kind, snapshot, unread_after, progress);
        self.apply_changes(kind, changes, source);
        if is_first {
            self.briefing_due.notify_one();
        }
    }

    fn apply_snapshot(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        source_extent: Extent,
        source: &ChangeSource,
    ) {
        let is_restored = self.is_of_older_era(kind);
        let is_first = !self.store_mirror.is_known(kind);
        let progress = |object: &StoredObject| self.progress(kind, object);
        let changes =
            self.store_mirror.replace(kind, snapshot, source_extent, progress);
        if is_restored {
            self.log_retained(kind);
        }
        self.apply_changes(kind, changes, source);
        if is_first {
            // Neighbours that have started at the same time need it as well.
            self.briefing_due.notify_one();
        }
    }

    /// Returns the targets whose entries have lapsed and may still come back.
    pub fn lapsed(&self) -> Vec<Name> {
        let gateway = self.gateway.borrow();
        let lapsed = |target: &&Target| target.lapse.is_some();
        let targets = gateway.targets.iter().filter(lapsed);
        targets.map(|target| target.spec.id.clone()).collect()
    }

    /// Whether the store answers, as far as this entry host knows.
    pub fn sees_store(&self) -> bool {
        self.store_down_since_ms.get().is_none()
    }

    /// Applies changes of a kind from the store. `is_continuous` says that
    /// they arrive as they happen.
    pub fn apply(
        &self,
        kind: Kind,
        stamp: Stamp,
        changes: Vec<Change>,
        is_continuous: bool,
    ) {
        self.check_answer_stamp(kind, stamp);
        for change in &changes {
            if let Change::Put(object) = change {
                self.heard_changes.borrow_mut().record(object.stamp);
            }
        }
        let progress = |object: &StoredObject| self.progress(kind, object);
        let changes = self.store_mirror.apply(kind, stamp, changes, progress);
        self.apply_changes(
            kind,
            changes,
            &ChangeSource::Store { is_continuous },
        );
    }

    /// Merges what the entry host at `ip` tells of the named versions.
    pub fn merge_told_versions(&self, ip: IpAddr, told: ToldVersions) {
        // It may have waited since the start of a pause of this process.
        let told = match self.pauses.is_recent(now_ms()) {
            true => told.without_times(),
            false => told,
        };
        let changes = self.gateway.borrow_mut().versions.merge(told);
        let source_text = format!("from={ip}");
        for change in changes {
            self.record_date_change(&change, &source_text);
        }
    }

    /// Records that the store answered, or did not.
    pub fn record_store_state(&self, is_up: bool, detail: &str) {
        match (is_up, self.store_down_since_ms.get()) {
            (false, None) => {
                self.store_down_since_ms.set(Some(now_ms()));
                // Another entry host must watch the store instead.
                self.briefing_due.notify_one();
                self.log(LogEvent::PlatformDown, detail);
            }
            (true, Some(since_ms)) => {
                self.store_down_since_ms.set(None);
                self.store_recovered_ms.set(now_ms());
                let away_ms = now_ms() - since_ms;
                let detail = format!("away_ms={away_ms}");
                self.log(LogEvent::PlatformBack, &detail);
            }
            _ => {}
        }
    }

    /// Records how the last read of a kind from the store ended, or that this
    /// entry host does not read it.
    pub fn record_read_result(
        &self,
        kind: Kind,
        failure: Option<&StoreFailure>,
    ) {
        let mut failed = self.failed_reads.borrow_mut();
        match failure {
            Some(failure)
                if !failure.is_lasting()
                    && *failure != StoreFailure::HistoryGone =>
            {
                failed.insert(kind)
            }
            // The store answers.
            None | Some(_) => failed.remove(&kind),
        };
    }

    /// Whether the last reads of all kinds from the store failed.
    pub fn fails_all_reads(&self) -> bool {
        let failed = self.failed_reads.borrow();
        self.kinds().iter().all(|kind| failed.contains(kind))
    }

    /// Handles a suspension of the process or its machine: connections to the
    /// store may be dead, and changes since then are requested on new
    /// connections at once instead of after a time-out.
    pub fn on_stall(&self, still_ms: u64) {
        self.log(LogEvent::StoodStill, &format!("still_ms={still_ms}"));
        self.store_silent.notify_waiters();
    }

    /// Removes targets whose entries lapsed and did not come back, and other
    /// expired state.
    pub fn sweep(&self) {
        self.sweep_departed();
        self.sweep_evacuations();
        let now = now_ms();
        let store = StoreView {
            is_watcher: self.members.borrow().is_watcher(now),
            sees_store: self.sees_store(),
            recovered_ms: self.store_recovered_ms.get(),
        };
        let is_over = |target: &&Target| {
            target.lapse.is_some_and(|lapse| lapse.is_over(now, store))
        };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.sweep(now);
        gateway.targets.sweep_notices(now);
        let targets = gateway.targets.iter().filter(is_over);
        let expired: Vec<Name> =
            targets.map(|target| target.spec.id.clone()).collect();
        let stamp = self.store_mirror.stamp(Kind::Targets);
        for id in expired {
            gateway.targets.depart(now, &id, stamp);
            self.log(LogEvent::TargetGone, &format!("target={id} lapsed"));
        }
        drop(gateway);
        self.handle_reinstated_targets();
    }

    fn apply_changes(
        &self,
        kind: Kind,
        changes: Vec<Change>,
        source: &ChangeSource,
    ) {
        if !changes.is_empty() {
            self.packed.borrow_mut().forget(kind);
        }
        // Sends the next heartbeat, from which others learn of the change, at
        // once. In a large fleet those nearby hear of it from the watchers of
        // the store.
        let is_large = self.members.borrow().is_large();
        let is_first = matches!(source, ChangeSource::Store { .. });
        if !changes.is_empty() && (is_first || !is_large) {
            self.briefing_due.notify_one();
        }
        for change in changes {
            match (kind, change) {
                (Kind::Configuration, Change::Put(object)) => {
                    self.apply_routing(&object, source);
                }
                (Kind::Targets, Change::Put(object)) => {
                    self.apply_target(&object);
                }
                (Kind::Targets, Change::Deleted(name)) => {
                    self.remove_target(&name, source, false);
                }
                (Kind::Targets, Change::Lost(name)) => {
                    self.remove_target(&name, source, true);
                }
                (Kind::Versions, Change::Put(object)) => {
                    self.apply_version(&object, source);
                }
                (Kind::Quarantine, Change::Put(object)) => {
                    self.apply_record(&object);
                }
                (Kind::Quarantine, Change::Deleted(name)) => {
                    self.remove_record(&name);
                }
                (Kind::Evacuations, Change::Put(object)) => {
                    self.begin_evacuation(object.name);
                }
                (Kind::Evacuations, Change::Deleted(name)) => {
                    self.end_evacuation(&name);
                }
                (Kind::Evacuations, Change::Lost(name)) => {
                    self.record_lost_evacuation(&name);
                }
                _ => {}
            }
        }
        match kind {
            Kind::EntryHosts => self.apply_members(),
            Kind::Evacuations => self.record_evacuations_known(),
            _ => {}
        }
    }

    fn apply_routing(&self, object: &StoredObject, source: &ChangeSource) {
        let from = source.label();
        let decoded = self.platform.routing(&object.body);
        let unreadable = LogEvent::SettingsUnreadable;
        let Some(routing) = self.decode_or_log(object, decoded, unreadable)
        else {
            return;
        };
        let detail = format!(
            "version={} revision={} from={from}",
            routing.version, object.stamp
        );
        let services_before = self.service_names();
        let is_new = self.gateway.borrow_mut().set_routing(routing);
        self.ports.set_limits(self.limits());
        if self.service_names() != services_before {
            self.log_unknown_services();
            self.handle_reinstated_targets();
            self.handle_ended_targets();
        }
        let event = match is_new {
            true => LogEvent::SettingsInForce,
            false => LogEvent::SettingsOlderRefused,
        };
        self.log(event, &detail);
    }

    /// Returns the services of the configuration in force, sorted.
    fn service_names(&self) -> Vec<Name> {
        let gateway = self.gateway.borrow();
        let services = gateway.routing().map(|routing| {
            let names = routing.services().map(|s| s.name.clone());
            let mut names: Vec<Name> = names.collect();
            names.sort_unstable();
            names
        });
        services.unwrap_or_default()
    }

    pub(super) fn apply_target(&self, object: &StoredObject) {
        let decoded = self.platform.target(object);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(spec) = self.decode_or_log(object, decoded, unreadable)
        else {
            // The previous content of the entry names no target any more.
            self.gateway.borrow_mut().targets.remove(&object.name);
            self.handle_reinstated_targets();
            return;
        };
        let start = StartId::of(&spec);
        if self.record_listed(start, spec.stamp) {
            let detail = format!("target={} restored={}", spec.id, spec.stamp);
            self.log(LogEvent::TargetGone, &detail);
            return;
        }
        let detail = format!(
            "target={} address={} draining={} version={:?}",
            spec.id, spec.address, spec.is_draining, spec.serves_version
        );
        let (id, cold_ms) = (spec.id.clone(), spec.cold_ms);
        let service = spec.service.clone();
        let mut gateway = self.gateway.borrow_mut();
        let placement = gateway.targets.put(spec);
        drop(gateway);
        match placement {
            Placement::InUse => {
                self.log(LogEvent::TargetListed, &detail);
                self.record_cold(&id, cold_ms);
            }
            Placement::Displaced => {
                self.log(LogEvent::TargetDisplaced, &detail);
            }
            Placement::UnknownService => {
                let detail = format!("{id}: service={service}");
                self.log(unreadable, &detail);
            }
            Placement::Invalid => {
                self.log(unreadable, &format!("{id}: {detail}"));
            }
        }
        self.handle_reinstated_targets();
        self.handle_ended_targets();
    }

    /// Logs the entries of targets whose service the configuration does not
    /// name.
    fn log_unknown_services(&self) {
        let gateway = self.gateway.borrow();
        for spec in gateway.targets.with_unknown_service() {
            let detail = format!("{}: service={}", spec.id, spec.service);
            self.log(LogEvent::ObjectUnreadable, &detail);
        }
    }

    /// Logs the targets that have come into use by a change of the
    /// configuration, or because another entry no longer has their address.
    fn handle_reinstated_targets(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let reinstated = gateway.targets.take_reinstated();
        let specs = reinstated.iter().filter_map(|id| {
            let spec = &gateway.targets.get(id)?.spec;
            Some((id.clone(), spec.address, spec.cold_ms))
        });
        let specs: Vec<_> = specs.collect();
        drop(gateway);
        for (id, address, cold_ms) in specs {
            let detail = format!("target={id} address={address} reinstated");
            self.log(LogEvent::TargetListed, &detail);
            self.record_cold(&id, cold_ms);
        }
    }

    /// Records for how long a target stays cold.
    fn record_cold(&self, id: &Name, cold_ms: u64) {
        let mut gateway = self.gateway.borrow_mut();
        if !gateway.targets.record_cold(now_ms(), id, cold_ms) {
            return;
        }
        drop(gateway);
        self.metrics.add("targets_cold_total", "", 1);
        let detail = format!("target={id} cold_ms={cold_ms}");
        self.log(LogEvent::TargetCold, &detail);
    }

    /// Handles the removal of a target from the list. `is_lost` says that a
    /// restore of the store removed it.
    fn remove_target(
        &self,
        name: &Name,
        source: &ChangeSource,
        is_lost: bool,
    ) {
        let now = now_ms();
        let is_doubtful = is_lost
            || match source {
                ChangeSource::EntryHost { lapsed } => lapsed.contains(name),
                ChangeSource::Store { .. } => {
                    !self.sees_store()
                        || now
                            < self.store_recovered_ms.get() + RELIST_TIMEOUT_MS
                }
            };
        let mut gateway = self.gateway.borrow_mut();
        if is_doubtful {
            if let Some(target) = gateway.targets.get_mut(name) {
                let is_from_peer =
                    matches!(source, ChangeSource::EntryHost { .. });
                target.lapse.get_or_insert(Lapse { at_ms: now, is_from_peer });
            } else {
                gateway.targets.remove(name);
            }
        } else {
            let stamp = self.store_mirror.stamp(Kind::Targets);
            gateway.targets.depart(now, name, stamp);
        }
        drop(gateway);
        self.handle_reinstated_targets();
        let detail = format!("target={name} doubtful={is_doubtful}");
        self.log(LogEvent::TargetGone, &detail);
    }

    fn apply_version(&self, object: &StoredObject, source: &ChangeSource) {
        let from = source.label();
        let decoded = self.platform.named_weights(&object.body);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(named) = self.decode_or_log(object, decoded, unreadable)
        else {
            return;
        };
        let source_text = format!("revision={} from={from}", object.stamp);
        let sighting = match source {
            ChangeSource::Store { is_continuous: true } => Sighting::Watched,
            ChangeSource::Store { is_continuous: false }
            | ChangeSource::EntryHost { .. } => Sighting::Found,
        };
        // If the process stands still in between, the dates are too early.
        let now = now_ms();
        let recorded = recorded_ages(&named);
        let listed = ListedVersion {
            model: &named.model,
            version: named.version,
            recorded: &recorded,
        };
        let mut gateway = self.gateway.borrow_mut();
        let change = gateway.versions.record_listed(now, listed, sighting);
        drop(gateway);
        if let Some(change) = change {
            let source_text = format!("{source_text} by={sighting:?}");
            self.record_date_change(&change, &source_text);
        }
    }

    /// Makes agents learn of a version whose date became known, and logs it.
    /// `source_text` says from where it became known.
    fn record_date_change(&self, change: &DateChange, source_text: &str) {
        if change.corrected_ms.is_none() {
            self.briefing_due.notify_one();
        }
        if change.corrected_ms.is_some_and(|ms| ms < MIN_LOGGED_CORRECTION_MS)
        {
            return;
        }
        let basis = change.basis.label();
        let label = format!("basis=\"{basis}\"");
        self.metrics.add("versions_dated_total", &label, 1);
        let age_text = match change.named_ms {
            Some(named_ms) => now_ms().saturating_sub(named_ms).to_string(),
            None => "unknown".to_string(),
        };
        let DateChange { model, version, .. } = change;
        let detail = format!(
            "model={model} version={version} basis={basis} age_ms={age_text} \
             {source_text}"
        );
        self.log(LogEvent::VersionNamed, &detail);
    }

    fn apply_members(&self) {
        let snapshot = self.store_mirror.snapshot(Kind::EntryHosts);
        let entries = snapshot
            .objects
            .iter()
            .filter_map(|object| {
                let decoded = self.platform.member(object);
                self.decode_or_log(object, decoded, LogEvent::ObjectUnreadable)
            })
            .collect();
        self.members.borrow_mut().set_listed(now_ms(), entries);
    }

    /// Returns the decoded object; `None` after logging `failure_event` if it
    /// does not decode.
    pub(super) fn decode_or_log<T>(
        &self,
        object: &StoredObject,
        decoded: Result<T, Error>,
        failure_event: LogEvent,
    ) -> Option<T> {
        match decoded {
            Ok(value) => Some(value),
            Err(error) => {
                self.log(failure_event, &format!("{}: {error}", object.name));
                None
            }
        }
    }
}
