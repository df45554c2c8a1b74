//! Which versions of a model's weights are named, and what that bounds.

use super::{admission::Gateway, targets::VersionBound};
use crate::Name;

/// A version of a model's weights and when this process heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Its number.
    pub version: u64,
    /// When it was named at the earliest, as far as known, on this process's
    /// clock.
    pub named_ms: u64,
}

/// What a word of a version changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNews {
    /// The version was not known.
    New,
    /// It was named this many milliseconds before what was believed.
    Earlier(u64),
    /// Nothing.
    Known,
}

impl Gateway {
    /// Notes that a version of a model was named. The bound runs from the
    /// naming, so the earliest time told counts.
    pub fn note_version(
        &mut self,
        model: Name,
        named: NamedVersion,
    ) -> VersionNews {
        let versions = self.versions.entry(model).or_default();
        match versions.binary_search_by_key(&named.version, |v| v.version) {
            Ok(place) => {
                let known_ms = &mut versions[place].named_ms;
                let earlier_ms = known_ms.saturating_sub(named.named_ms);
                *known_ms -= earlier_ms;
                match earlier_ms {
                    0 => VersionNews::Known,
                    ms => VersionNews::Earlier(ms),
                }
            }
            Err(place) => {
                versions.insert(place, named);
                VersionNews::New
            }
        }
    }

    /// Whether a version of a model is known to have been named.
    pub fn knows_version(&self, model: &str, version: u64) -> bool {
        let known = self.versions.get(model);
        known.is_some_and(|all| all.iter().any(|v| v.version == version))
    }

    /// Notes when the store told some entry host which versions are named,
    /// after what that one knew of them then has been noted.
    pub fn note_versions_heard(&mut self, heard_ms: u64) {
        self.versions_heard_ms = self.versions_heard_ms.max(Some(heard_ms));
    }

    /// When the store last told some entry host which versions are named;
    /// `None` if nothing is known.
    pub fn versions_heard_ms(&self) -> Option<u64> {
        self.versions_heard_ms
    }

    /// When a version that is found now, and was not known, was named at the
    /// earliest: the store may have been silent since it was last heard. One
    /// that knows nothing yet counts from now on, until others tell better.
    pub fn earliest_naming_ms(&self, now_ms: u64) -> u64 {
        self.versions_heard_ms.unwrap_or(now_ms)
    }

    /// The versions that bound what may start, now or later: of each model
    /// the newest whose bound is over, and all after it.
    pub fn bounding_versions(&self, now_ms: u64) -> Vec<(Name, NamedVersion)> {
        let mut bounding = Vec::new();
        for (model, named) in &self.versions {
            let least = self.least_version(now_ms, model, 0);
            let from_least = named.iter().filter(|v| v.version >= least);
            bounding.extend(from_least.map(|v| (model.clone(), *v)));
        }
        bounding
    }

    /// Models with the versions named, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = (&Name, &[NamedVersion])> {
        self.versions.iter().map(|(model, named)| (model, named.as_slice()))
    }

    /// The versions of a model, with the time left until nothing older may
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

    /// The lowest version of a model that may still start work `ahead_ms`
    /// from now.
    pub fn least_version(
        &self,
        now_ms: u64,
        model: &str,
        ahead_ms: u64,
    ) -> u64 {
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
