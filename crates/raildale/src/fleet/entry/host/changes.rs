//! What the store's changes mean: to routing, to the list of targets, to the
//! versions and to the entry hosts.

use raildale_core::{
    LogEvent, Name,
    catalog::{Change, Extent, Kind, Snapshot, Stamp, StoredObject},
    fleet_message::ToldVersion,
    gateway::{
        Target,
        lapse::{Lapse, RELIST_TIMEOUT_MS, StoreView},
        target_end::StartId,
        versions::{NamedVersion, VersionChange},
    },
};

use super::EntryHost;
use crate::{
    error::Error,
    fleet::{
        edge::{Dialect, Store},
        steady_clock::now_ms,
    },
};

/// A version that was named earlier than believed is logged from this much
/// on, in milliseconds: entry hosts hear within less of one another.
const EARLIER_LOGGED_MS: u64 = 250;

/// Who told of changes.
#[derive(Debug)]
enum Teller {
    /// The store.
    Store {
        /// Whether it tells of changes as they happen; else they may be as
        /// old as what it told before.
        is_prompt: bool,
    },
    /// Another entry host.
    EntryHost {
        /// Targets that it misses and does not give up yet.
        lapsed: Vec<Name>,
    },
}

impl Teller {
    /// The word for it in the log.
    fn word(&self) -> &'static str {
        match self {
            Teller::Store { .. } => "store",
            Teller::EntryHost { .. } => "entry host",
        }
    }
}

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Takes over a whole kind that the store gave.
    pub fn replace(&self, kind: Kind, snapshot: Snapshot) {
        self.note_told(kind, snapshot.stamp);
        let teller = Teller::Store { is_prompt: false };
        self.take_snapshot(kind, snapshot, Extent::default(), &teller);
    }

    /// Takes over a whole kind that another entry host gave, of which that
    /// one knows `told`.
    pub fn replace_from_peer(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        told: Extent,
        lapsed: Vec<Name>,
    ) {
        self.note_era(kind, snapshot.stamp);
        let teller = Teller::EntryHost { lapsed };
        self.take_snapshot(kind, snapshot, told, &teller);
    }

    fn take_snapshot(
        &self,
        kind: Kind,
        snapshot: Snapshot,
        told: Extent,
        teller: &Teller,
    ) {
        let is_restored = self.is_of_older_era(kind);
        let progress = |object: &StoredObject| self.progress(kind, object);
        let changes = self.known.replace(kind, snapshot, told, progress);
        if is_restored {
            self.log_kept(kind);
        }
        self.take_changes(kind, changes, teller);
    }

    /// Targets whose entries lapsed and may yet come back.
    pub fn lapsed(&self) -> Vec<Name> {
        let gateway = self.gateway.borrow();
        let lapsed = |target: &&Target| target.lapse.is_some();
        let targets = gateway.targets.iter().filter(lapsed);
        targets.map(|target| target.spec.id.clone()).collect()
    }

    /// Whether the store answers, as far as this entry host knows.
    pub fn sees_store(&self) -> bool {
        self.store_down_ms.get().is_none()
    }

    /// Takes over changes of a kind that the store told, as they happened if
    /// `is_prompt`.
    pub fn apply(
        &self,
        kind: Kind,
        stamp: Stamp,
        changes: Vec<Change>,
        is_prompt: bool,
    ) {
        self.note_told(kind, stamp);
        let progress = |object: &StoredObject| self.progress(kind, object);
        let changes = self.known.apply(kind, stamp, changes, progress);
        self.take_changes(kind, changes, &Teller::Store { is_prompt });
    }

    /// Takes over what another entry host tells of versions, and how long ago
    /// the store told which are named.
    pub fn take_told_versions(
        &self,
        told: Vec<ToldVersion>,
        heard_age_ms: Option<u64>,
    ) {
        let now = now_ms();
        for ToldVersion { model, version, age_ms } in told {
            let named_ms = now.saturating_sub(age_ms);
            let named = NamedVersion { version, named_ms };
            let from = "from=entry host";
            self.note_version(Name::from(model), named, from);
        }
        if let Some(age_ms) = heard_age_ms {
            let heard_ms = now.saturating_sub(age_ms);
            self.gateway.borrow_mut().note_versions_heard(heard_ms);
        }
    }

    /// Notes that the store answered, or did not.
    pub fn note_store(&self, is_up: bool, detail: &str) {
        match (is_up, self.store_down_ms.get()) {
            (false, None) => {
                self.store_down_ms.set(Some(now_ms()));
                // Another must watch the store in this one's place.
                self.briefing_due.notify_one();
                self.log(LogEvent::PlatformDown, detail);
            }
            (true, Some(since_ms)) => {
                self.store_down_ms.set(None);
                self.store_back_ms.set(now_ms());
                let away_ms = now_ms() - since_ms;
                let detail = format!("away_ms={away_ms}");
                self.log(LogEvent::PlatformBack, &detail);
            }
            _ => {}
        }
    }

    /// Notes that the process, or its machine, stood still: what was open to
    /// the store may be dead, and what changed meanwhile is asked for on new
    /// connections, now and not after a time-out.
    pub fn note_stood_still(&self, still_ms: u64) {
        self.log(LogEvent::StoodStill, &format!("still_ms={still_ms}"));
        self.store_silent.notify_waiters();
    }

    /// Drops targets whose entries lapsed and did not come back.
    pub fn sweep(&self) {
        self.sweep_departed();
        let now = now_ms();
        let store = StoreView {
            is_watcher: self.members.borrow().is_watcher(now),
            sees_store: self.sees_store(),
            recovered_ms: self.store_back_ms.get(),
        };
        let is_over = |target: &&Target| {
            target.lapse.is_some_and(|lapse| lapse.is_over(now, store))
        };
        let mut gateway = self.gateway.borrow_mut();
        gateway.quarantine.sweep(now);
        gateway.targets.sweep_notices(now);
        let targets = gateway.targets.iter().filter(is_over);
        let gone: Vec<Name> =
            targets.map(|target| target.spec.id.clone()).collect();
        let gone_at = self.known.stamp(Kind::Targets);
        for id in gone {
            gateway.targets.depart(now, &id, gone_at);
            self.log(LogEvent::TargetGone, &format!("target={id} lapsed"));
        }
    }

    fn take_changes(&self, kind: Kind, changes: Vec<Change>, teller: &Teller) {
        if !changes.is_empty() {
            self.packed.borrow_mut().forget(kind);
        }
        // Others learn of it from the next heartbeat: that is now. In a large
        // fleet those next door hear of it from whoever watches the store.
        let is_large = self.members.borrow().is_large();
        let is_first = matches!(teller, Teller::Store { .. });
        if !changes.is_empty() && (is_first || !is_large) {
            self.briefing_due.notify_one();
        }
        for change in changes {
            match (kind, change) {
                (Kind::Configuration, Change::Put(object)) => {
                    self.take_routing(&object, teller);
                }
                (Kind::Targets, Change::Put(object)) => {
                    self.take_target(&object);
                }
                (Kind::Targets, Change::Deleted(name)) => {
                    self.lose_target(&name, teller, false);
                }
                (Kind::Targets, Change::Lost(name)) => {
                    self.lose_target(&name, teller, true);
                }
                (Kind::Versions, Change::Put(object)) => {
                    self.take_version(&object, teller);
                }
                (Kind::Quarantine, Change::Put(object)) => {
                    self.take_record(&object);
                }
                (Kind::Quarantine, Change::Deleted(name)) => {
                    self.lift(&name);
                }
                _ => {}
            }
        }
        if kind == Kind::EntryHosts {
            self.take_members();
        }
    }

    fn take_routing(&self, object: &StoredObject, teller: &Teller) {
        let from = teller.word();
        let decoded = self.platform.routing(&object.body);
        let unreadable = LogEvent::SettingsUnreadable;
        let Some(routing) = self.readable(object, decoded, unreadable) else {
            return;
        };
        let detail = format!(
            "version={} revision={} from={from}",
            routing.version, object.stamp
        );
        let services_before = self.service_names();
        let is_new = self.gateway.borrow_mut().set_routing(routing);
        if self.service_names() != services_before {
            // Targets of services that are named only now, or no longer.
            let targets = self.known.snapshot(Kind::Targets);
            targets.objects.iter().for_each(|object| self.take_target(object));
        }
        let event = match is_new {
            true => LogEvent::SettingsInForce,
            false => LogEvent::SettingsOlderRefused,
        };
        self.log(event, &detail);
    }

    /// The services of the configuration in force.
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

    pub(super) fn take_target(&self, object: &StoredObject) {
        let decoded = self.platform.target(object);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(spec) = self.readable(object, decoded, unreadable) else {
            // Whatever stood there before names no target any more.
            self.gateway.borrow_mut().targets.remove(&object.name);
            return;
        };
        let start = StartId::of(&spec);
        if self.note_listed(start, spec.stamp) {
            let detail = format!("target={} restored={}", spec.id, spec.stamp);
            self.log(LogEvent::TargetGone, &detail);
            return;
        }
        if !self.is_configured(&spec.service) {
            let service = &spec.service;
            let detail = format!("{}: service={service}", object.name);
            self.log(unreadable, &detail);
            self.gateway.borrow_mut().targets.remove(&object.name);
            return;
        }
        let detail = format!(
            "target={} address={} draining={} version={:?}",
            spec.id, spec.address, spec.is_draining, spec.serves_version
        );
        self.gateway.borrow_mut().targets.put(spec);
        self.log(LogEvent::TargetListed, &detail);
        self.note_ends();
    }

    /// Whether the configuration names a service; all are taken while there is
    /// none. A target of another could only take an address from one that is
    /// used.
    fn is_configured(&self, service: &str) -> bool {
        let gateway = self.gateway.borrow();
        let routing = gateway.routing();
        routing.is_none_or(|routing| routing.service(service).is_some())
    }

    /// Takes in that a target has left the list; if `is_lost`, in a
    /// restore of the store.
    fn lose_target(&self, name: &Name, teller: &Teller, is_lost: bool) {
        let now = now_ms();
        let is_doubtful = is_lost
            || match teller {
                Teller::EntryHost { lapsed } => lapsed.contains(name),
                Teller::Store { .. } => {
                    !self.sees_store()
                        || now < self.store_back_ms.get() + RELIST_TIMEOUT_MS
                }
            };
        let mut gateway = self.gateway.borrow_mut();
        if is_doubtful {
            if let Some(target) = gateway.targets.get_mut(name) {
                let is_from_peer = matches!(teller, Teller::EntryHost { .. });
                target.lapse.get_or_insert(Lapse { at_ms: now, is_from_peer });
            }
        } else {
            let gone = self.known.stamp(Kind::Targets);
            gateway.targets.depart(now, name, gone);
        }
        let detail = format!("target={name} doubtful={is_doubtful}");
        self.log(LogEvent::TargetGone, &detail);
    }

    fn take_version(&self, object: &StoredObject, teller: &Teller) {
        let from = teller.word();
        let decoded = self.platform.named_weights(&object.body);
        let unreadable = LogEvent::ObjectUnreadable;
        let Some(named) = self.readable(object, decoded, unreadable) else {
            return;
        };
        let is_known =
            self.gateway.borrow().knows_version(&named.model, named.version);
        // Nothing here says when it was named: whoever told of it knows
        // better.
        if is_known {
            return;
        }
        let now = now_ms();
        let named_ms = match teller {
            // Its heartbeats tell the age.
            Teller::EntryHost { .. } => now,
            Teller::Store { is_prompt: true } => now,
            Teller::Store { is_prompt: false } => {
                self.gateway.borrow().earliest_naming_ms(now)
            }
        };
        let version = NamedVersion { version: named.version, named_ms };
        let source = format!("revision={} from={from}", object.stamp);
        self.note_version(named.model, version, &source);
    }

    /// Notes a version, and logs what is new by it.
    fn note_version(&self, model: Name, named: NamedVersion, source: &str) {
        let mut gateway = self.gateway.borrow_mut();
        let news = gateway.note_version(model.clone(), named);
        let is_told = match news {
            VersionChange::New => true,
            VersionChange::Earlier(ms) => ms >= EARLIER_LOGGED_MS,
            VersionChange::Known => false,
        };
        if news == VersionChange::New {
            // Agents learn of it now.
            self.briefing_due.notify_one();
        }
        if is_told {
            let detail = format!(
                "model={model} version={} age_ms={} {source}",
                named.version,
                now_ms().saturating_sub(named.named_ms)
            );
            self.log(LogEvent::VersionNamed, &detail);
        }
    }

    fn take_members(&self) {
        let snapshot = self.known.snapshot(Kind::EntryHosts);
        let entries = snapshot
            .objects
            .iter()
            .filter_map(|object| {
                let decoded = self.platform.member(object);
                self.readable(object, decoded, LogEvent::ObjectUnreadable)
            })
            .collect();
        self.members.borrow_mut().set_listed(now_ms(), entries);
    }

    /// What an object decodes to; `None`, with the event in the log, if it
    /// does not.
    pub(super) fn readable<T>(
        &self,
        object: &StoredObject,
        decoded: Result<T, Error>,
        otherwise: LogEvent,
    ) -> Option<T> {
        match decoded {
            Ok(value) => Some(value),
            Err(error) => {
                self.log(otherwise, &format!("{}: {error}", object.name));
                None
            }
        }
    }
}
