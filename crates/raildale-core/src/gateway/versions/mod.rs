//! Named versions of models' weights, when they were named, and the bounds
//! that they set.
//!
//! A version's bound runs from its naming, so its date must not be later than
//! the naming. An entry host dates a version by what it knew before: all
//! namings until some time, or nothing. What nobody can date counts as named
//! long ago. Until the versions are read, any may have been named, and nothing
//! may start.
//!
//! * [`model`]: the versions of one model.
//! * [`told`]: what entry hosts tell each other.

mod model;
pub mod told;

use std::collections::BTreeMap;

use self::model::ModelVersions;
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

/// A version with its age, as agents are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedVersion {
    /// Its number.
    pub version: u64,
    /// Milliseconds since its naming.
    pub age_ms: u64,
}

/// What a date of a naming is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamingBasis {
    /// Nothing: the version counts as named long ago, as nothing may be sent
    /// that can't be shown to be within its bound.
    Unknown,
    /// A record in the store tells the time of day.
    Recorded,
    /// An entry host knew all earlier namings.
    Heard,
}

impl NamingBasis {
    /// Returns the label for log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            NamingBasis::Unknown => "unknown",
            NamingBasis::Recorded => "recorded",
            NamingBasis::Heard => "heard",
        }
    }
}

/// What became known of a version's date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DateChange {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// The new date, on this process's clock; `None` if it is unknown.
    pub named_ms: Option<u64>,
    /// What the date is based on.
    pub basis: NamingBasis,
    /// By how much an earlier date is corrected, in milliseconds; `None` if
    /// there was none on the same basis.
    pub corrected_ms: Option<u64>,
}

/// How an entry host learned of a version from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// A watch that continued the previous one delivered it.
    Watched,
    /// It was found in a list or by a watch after a gap: it may have been
    /// named at any time since the last one that is known.
    Found,
}

/// A version in the store.
#[derive(Clone, Copy, Debug)]
pub struct ListedVersion<'a> {
    /// Its model.
    pub model: &'a Name,
    /// Its number.
    pub version: u64,
    /// The recorded ages of this one and earlier ones by the time of day.
    pub recorded: &'a [AgedVersion],
}

/// A version, and the time left until nothing older may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionBound {
    /// The version.
    pub version: u64,
    /// Milliseconds until then; 0 once that time has passed.
    pub left_ms: u64,
}

/// How much the time of day of a machine may be off, in milliseconds.
const CLOCK_ERROR_MS: u64 = 2_000;

/// How much earlier than recorded a version may have been named, in
/// milliseconds: the writer's clock may be fast and the reader's slow.
const RECORD_ERROR_MS: u64 = 2 * CLOCK_ERROR_MS;

/// Stands for any version that may have been named: newer than all others.
pub const ANY_VERSION: u64 = u64::MAX;

/// How long it takes until all entry hosts know that the store has answered
/// one of them, in milliseconds: a watch of the versions, a heartbeat, and two
/// digests between data centres.
const ANSWER_SPREAD_MS: u64 = 3_000;

/// The named versions of all models, as one entry host knows them.
#[derive(Debug)]
pub struct NamedVersions {
    /// How long after a naming older versions may start work, in
    /// milliseconds; 0 if there is no bound.
    bound_ms: u64,
    /// Whether it is known which versions there are.
    is_read: bool,
    /// The time until which every naming is known; `None` while any may be
    /// missing.
    complete_until_ms: Option<u64>,
    /// The time until which the store has certainly named nothing since, as it
    /// was away.
    away_until_ms: u64,
    by_model: BTreeMap<Name, ModelVersions>,
}

impl NamedVersions {
    /// Creates the state of an entry host that has read nothing yet. Older
    /// versions may start work for `bound_ms` milliseconds after a naming; if
    /// that is 0, there is no bound.
    pub fn new(bound_ms: u64) -> NamedVersions {
        NamedVersions {
            bound_ms,
            is_read: false,
            complete_until_ms: None,
            away_until_ms: 0,
            by_model: BTreeMap::new(),
        }
    }

    /// Records a version in the store. Returns what became known of its date.
    pub fn record_listed(
        &mut self,
        now_ms: u64,
        listed: ListedVersion<'_>,
        sighting: Sighting,
    ) -> Option<DateChange> {
        let ListedVersion { model, version, recorded } = listed;
        let known_until_ms = self.known_until_ms();
        let known = self.by_model.entry(model.clone()).or_default();
        let newest_before = known.newest();
        known.record_newest(version);
        let before = known.basis(version);
        if sighting == Sighting::Watched && before.is_none() {
            known.insert(version, now_ms, NamingBasis::Heard);
        }
        let mut recorded = recorded.to_vec();
        recorded.sort_unstable_by_key(|record| record.version);
        for record in recorded.into_iter().rev() {
            let age_ms = record.age_ms + RECORD_ERROR_MS;
            let named_ms = now_ms.saturating_sub(age_ms);
            known.insert(record.version, named_ms, NamingBasis::Recorded);
        }
        // Only the newest version is listed, with records of some older ones.
        let missing = known.newest_without_date(version);
        let is_new = sighting == Sighting::Found && missing > newest_before;
        match known_until_ms {
            Some(known_ms) if is_new => {
                known.insert_possible(missing, known_ms);
            }
            Some(known_ms) if known.basis(version).is_none() => {
                known.insert(version, known_ms, NamingBasis::Heard);
            }
            Some(_) => {}
            None => known.raise_undated(missing),
        }
        let basis = known.basis(version)?;
        (before != Some(basis)).then(|| DateChange {
            model: model.clone(),
            version,
            named_ms: known.named_ms(version),
            basis,
            corrected_ms: None,
        })
    }

    /// Records that it is known which versions there are, as of an unknown
    /// time.
    pub fn record_read(&mut self) {
        self.is_read = true;
    }

    /// Whether it is known which versions there are.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Records that every naming until a time is known. Call this after
    /// recording the versions in an answer of the store.
    pub fn record_complete(&mut self, until_ms: u64) {
        self.record_read();
        self.complete_until_ms = self.complete_until_ms.max(Some(until_ms));
    }

    /// Records that the store did not answer this entry host at a time at
    /// which all others were heard. It was away unless it answered one of them,
    /// which is known [`ANSWER_SPREAD_MS`] later. Says nothing of what was
    /// named before this entry host knew all namings, and is not told to
    /// others.
    pub fn record_away(&mut self, at_ms: u64) {
        if self.complete_until_ms.is_some() {
            let until_ms = at_ms.saturating_sub(ANSWER_SPREAD_MS);
            self.away_until_ms = self.away_until_ms.max(until_ms);
        }
    }

    /// Returns the time until which every naming is known, by what the store
    /// said or by its absence; `None` while any may be missing.
    fn known_until_ms(&self) -> Option<u64> {
        let complete_ms = self.complete_until_ms?;
        Some(complete_ms.max(self.away_until_ms))
    }

    /// Returns the time until which every naming is known; `None` while any
    /// may be missing.
    pub fn complete_until_ms(&self) -> Option<u64> {
        self.complete_until_ms
    }

    /// Returns what is known of a version's date; `None` if the version is not
    /// known.
    pub fn basis(&self, model: &str, version: u64) -> Option<NamingBasis> {
        self.by_model.get(model)?.basis(version)
    }

    /// Returns the versions of a model whose naming an entry host heard of,
    /// oldest first.
    pub fn heard(&self, model: &str) -> Vec<NamedVersion> {
        let known = self.by_model.get(model);
        known.map_or(vec![], |known| known.heard().collect())
    }

    /// Returns the versions of a model that agents are told of, oldest first.
    /// They change over by the age, so that it must not be exaggerated: an
    /// undated version counts as new, and a record as exact.
    pub fn for_agents(&self, now_ms: u64, model: &str) -> Vec<AgedVersion> {
        let known = self.by_model.get(model);
        known.map_or(vec![], |known| known.for_agents(now_ms))
    }

    /// Returns the lowest version of a model that may still start work
    /// `ahead_ms` from now; 0 if there is no bound, and [`ANY_VERSION`] while
    /// the versions are not read.
    pub fn min_version(&self, now_ms: u64, model: &str, ahead_ms: u64) -> u64 {
        if self.bound_ms == 0 {
            return 0;
        }
        if !self.is_read {
            return ANY_VERSION;
        }
        let until_ms = now_ms + ahead_ms;
        let known = self.by_model.get(model);
        known.map_or(0, |known| known.min_version(until_ms, self.bound_ms))
    }

    /// Returns the versions of a model with the time until nothing older may
    /// start.
    pub fn bounds(&self, now_ms: u64, model: &str) -> Vec<VersionBound> {
        if self.bound_ms == 0 {
            return Vec::new();
        }
        if !self.is_read {
            return vec![VersionBound { version: ANY_VERSION, left_ms: 0 }];
        }
        let known = self.by_model.get(model);
        known.map_or(vec![], |known| known.bounds(now_ms, self.bound_ms))
    }
}
