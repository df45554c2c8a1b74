//! Named versions of models' weights and the bounds that they set.

use super::{admission::Gateway, targets::VersionBound};
use crate::Name;

/// A version of a model's weights and the time of its naming.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Its number.
    pub version: u64,
    /// The earliest time at which it may have been named, as far as known, on
    /// this process's clock.
    pub named_ms: u64,
}

/// The change that a report of a named version made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChange {
    /// The version was not known.
    New,
    /// The time of its naming was moved back by this many milliseconds.
    Earlier(u64),
    /// Nothing changed.
    Known,
}

/// What the time of a naming is based on, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NamingBasis {
    /// Nothing tells when the version was named: its bound counts as over, as
    /// nothing may be sent that can't be shown to be within it.
    Assumed,
    /// A record in the store tells the time of day.
    Recorded,
    /// An entry host heard of it and has run since.
    Heard,
}

impl NamingBasis {
    /// Returns the label for log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            NamingBasis::Assumed => "assumed",
            NamingBasis::Recorded => "recorded",
            NamingBasis::Heard => "heard",
        }
    }
}

/// The version that a target is believed to serve, and the bound on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedVersion {
    /// Its number.
    pub version: u64,
    /// Milliseconds until nothing may start on it any more; `None` while no
    /// newer version is known.
    pub bound_left_ms: Option<u64>,
}

/// How much earlier than recorded a version may have been named, in
/// milliseconds: the time of day may step by this much.
const RECORD_ERROR_MS: u64 = 2_000;

impl Gateway {
    /// Records a version of which no running entry host has told when it was
    /// named. `recorded_age_ms` is its age by the time of day if the store
    /// holds a record. It gives way to anything better known, and no other
    /// entry host is told.
    pub fn record_unheard_version(
        &mut self,
        now_ms: u64,
        model: &Name,
        version: u64,
        recorded_age_ms: Option<u64>,
    ) -> VersionChange {
        let (basis, named_ms) = match recorded_age_ms {
            Some(ms) => (
                NamingBasis::Recorded,
                now_ms.saturating_sub(ms + RECORD_ERROR_MS),
            ),
            None => (
                NamingBasis::Assumed,
                now_ms.saturating_sub(self.config.version_ms),
            ),
        };
        let key = (model.clone(), version);
        let is_known = self.knows_version(model, version);
        let known_basis = self.unheard_versions.get(&key).copied();
        if is_known && known_basis.is_none_or(|known| known >= basis) {
            return VersionChange::Known;
        }
        self.forget_version(model, version);
        self.unheard_versions.insert(key, basis);
        self.insert_version(model.clone(), NamedVersion { version, named_ms })
    }

    /// Returns what the naming time of a version is based on; `None` if the
    /// version is not known.
    pub fn naming_basis(
        &self,
        model: &Name,
        version: u64,
    ) -> Option<NamingBasis> {
        let unheard = self.unheard_versions.get(&(model.clone(), version));
        let is_known = self.knows_version(model, version);
        let basis = unheard.copied().unwrap_or(NamingBasis::Heard);
        is_known.then_some(basis)
    }

    /// Returns the age of a known version to tell agents, in milliseconds.
    /// They change over by it, so that it must not be exaggerated: a guess
    /// counts as new, and a record as exact.
    pub fn told_age_ms(
        &self,
        now_ms: u64,
        model: &Name,
        named: NamedVersion,
    ) -> u64 {
        let age_ms = now_ms.saturating_sub(named.named_ms);
        match self.naming_basis(model, named.version) {
            Some(NamingBasis::Assumed) | None => 0,
            Some(NamingBasis::Recorded) => {
                age_ms.saturating_sub(RECORD_ERROR_MS)
            }
            Some(NamingBasis::Heard) => age_ms,
        }
    }

    fn forget_version(&mut self, model: &Name, version: u64) {
        if let Some(known) = self.versions.get_mut(model) {
            known.retain(|named| named.version != version);
        }
    }

    /// Records that a version of a model was named. The bound runs from the
    /// naming, so the earliest reported time counts.
    pub fn record_version(
        &mut self,
        model: Name,
        named: NamedVersion,
    ) -> VersionChange {
        let key = (model.clone(), named.version);
        if self.unheard_versions.remove(&key).is_some() {
            self.forget_version(&model, named.version);
        }
        self.insert_version(model, named)
    }

    fn insert_version(
        &mut self,
        model: Name,
        named: NamedVersion,
    ) -> VersionChange {
        let versions = self.versions.entry(model).or_default();
        match versions.binary_search_by_key(&named.version, |v| v.version) {
            Ok(place) => {
                let known_ms = &mut versions[place].named_ms;
                let earlier_ms = known_ms.saturating_sub(named.named_ms);
                *known_ms -= earlier_ms;
                match earlier_ms {
                    0 => VersionChange::Known,
                    ms => VersionChange::Earlier(ms),
                }
            }
            Err(place) => {
                versions.insert(place, named);
                VersionChange::New
            }
        }
    }

    /// Returns whether a version of a model is known to have been named.
    pub fn knows_version(&self, model: &str, version: u64) -> bool {
        let known = self.versions.get(model);
        known.is_some_and(|all| all.iter().any(|v| v.version == version))
    }

    /// Records when the store reported the named versions to an entry host.
    /// Call this after recording the versions that were known there.
    pub fn record_versions_heard(&mut self, heard_ms: u64) {
        self.versions_heard_ms = self.versions_heard_ms.max(Some(heard_ms));
    }

    /// Returns when the store last reported the named versions to any entry
    /// host; `None` if nothing is known.
    pub fn versions_heard_ms(&self) -> Option<u64> {
        self.versions_heard_ms
    }

    /// Returns the earliest time at which a version that is new here may have
    /// been named: the store may have been unreachable since its last report.
    /// Without a report, that is `now_ms` until a peer reports an earlier
    /// time.
    pub fn earliest_naming_ms(&self, now_ms: u64) -> u64 {
        self.versions_heard_ms.unwrap_or(now_ms)
    }

    /// Returns the versions that bound what may start now or later, and whose
    /// naming an entry host has heard of: of each model, the newest whose
    /// bound has passed, and all newer ones.
    pub fn bounding_versions(&self, now_ms: u64) -> Vec<(Name, NamedVersion)> {
        let mut bounding = Vec::new();
        for (model, named) in &self.versions {
            let min_version = self.min_version(now_ms, model, 0);
            let from_min = named.iter().filter(|named| {
                let basis = self.naming_basis(model, named.version);
                named.version >= min_version
                    && basis == Some(NamingBasis::Heard)
            });
            bounding.extend(from_min.map(|v| (model.clone(), *v)));
        }
        bounding
    }

    /// Returns the models with their named versions, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = (&Name, &[NamedVersion])> {
        self.versions.iter().map(|(model, named)| (model, named.as_slice()))
    }

    /// Returns the versions of a model with the time until nothing older may
    /// start.
    pub(super) fn version_bounds(
        &self,
        now_ms: u64,
        model: Option<&str>,
    ) -> Vec<VersionBound> {
        let bound_ms = self.config.version_ms;
        let named = model.and_then(|model| self.versions.get(model));
        let named = named.map_or(&[][..], |v| v);
        if bound_ms == 0 {
            return Vec::new();
        }
        named
            .iter()
            .map(|named| VersionBound {
                version: named.version,
                left_ms: (named.named_ms + bound_ms).saturating_sub(now_ms),
            })
            .collect()
    }

    /// Returns which version of a model a target is believed to serve; `None`
    /// if it is not known or the model has no weights.
    pub fn served_version(
        &self,
        now_ms: u64,
        model: Option<&str>,
        target: &str,
    ) -> Option<ServedVersion> {
        let target = self.targets.get(target)?;
        let version = target.serves_version(now_ms)?;
        let bounds = self.version_bounds(now_ms, model);
        let newer = bounds.iter().filter(|bound| bound.version > version);
        let bound_left_ms = newer.map(|bound| bound.left_ms).min();
        Some(ServedVersion { version, bound_left_ms })
    }

    /// Returns the lowest version of a model that may still start work
    /// `ahead_ms` from now; 0 if there is no bound.
    pub fn min_version(&self, now_ms: u64, model: &str, ahead_ms: u64) -> u64 {
        let bound_ms = self.config.version_ms;
        let Some(named) = self.versions.get(model) else { return 0 };
        if bound_ms == 0 {
            return 0;
        }
        named
            .iter()
            .filter(|v| v.named_ms + bound_ms <= now_ms + ahead_ms)
            .map(|v| v.version)
            .max()
            .unwrap_or(0)
    }
}
