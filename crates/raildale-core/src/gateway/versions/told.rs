//! What entry hosts tell each other of named versions.

use super::{
    DateChange, NamedVersion, NamedVersions, NamingBasis, model::ModelVersions,
};
use crate::Name;

/// What an entry host tells of the named versions.
///
/// Until when it knows all namings says something of a version that it does
/// not name, so both belong to one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToldVersions {
    /// The versions that bound what may start now or later, and whose naming
    /// an entry host heard of.
    pub heard: Vec<(Name, NamedVersion)>,
    /// The newest version of each model that no entry host heard being named.
    pub unheard: Vec<(Name, u64)>,
    /// The time until which the sender knows every naming, on this process's
    /// clock; `None` if it may lack some.
    pub complete_until_ms: Option<u64>,
}

impl ToldVersions {
    /// Returns what it still says if it may have arrived any time ago: which
    /// versions there are.
    pub fn without_times(self) -> ToldVersions {
        let heard = self.heard.into_iter();
        let versions = heard.map(|(model, named)| (model, named.version));
        ToldVersions {
            heard: Vec::new(),
            unheard: self.unheard.into_iter().chain(versions).collect(),
            complete_until_ms: None,
        }
    }

    fn is_heard(&self, model: &Name, version: u64) -> bool {
        self.heard
            .iter()
            .any(|(name, named)| name == model && named.version == version)
    }

    /// Returns the newest version of a model that the sender can't date; 0 if
    /// there is none.
    fn unheard_of(&self, model: &Name) -> u64 {
        let unheard = self.unheard.iter().filter(|(name, _)| name == model);
        unheard.map(|(_, version)| *version).max().unwrap_or(0)
    }
}

impl NamedVersions {
    /// Returns what this entry host tells others.
    pub fn told(&self, now_ms: u64) -> ToldVersions {
        let mut told = ToldVersions {
            complete_until_ms: self.complete_until_ms,
            ..ToldVersions::default()
        };
        for (model, known) in &self.by_model {
            let min_version = known.min_version(now_ms, self.bound_ms);
            let bounding = known.heard().filter(|v| v.version >= min_version);
            told.heard.extend(bounding.map(|named| (model.clone(), named)));
            let unheard = known.unheard();
            if unheard > 0 && unheard >= min_version {
                told.unheard.push((model.clone(), unheard));
            }
        }
        told
    }

    /// Merges what another entry host tells. Returns what became known of
    /// dates.
    pub fn merge(&mut self, mut told: ToldVersions) -> Vec<DateChange> {
        let mut changes = self.merge_unheard(&told);
        if let Some(until_ms) = told.complete_until_ms {
            changes.extend(self.date_undated(&told, until_ms));
        }
        // The newest first: a date of a version tells nothing of older ones.
        told.heard.sort_unstable_by_key(|(_, named)| named.version);
        for (model, named) in told.heard.into_iter().rev() {
            changes.extend(self.record_heard(&model, named));
        }
        if let Some(until_ms) = told.complete_until_ms {
            self.record_complete(until_ms);
        }
        changes
    }

    /// Records a version that an entry host heard being named. The bound runs
    /// from the naming, so the earliest reported time counts.
    pub fn record_heard(
        &mut self,
        model: &Name,
        named: NamedVersion,
    ) -> Option<DateChange> {
        let known = self.by_model.entry(model.clone()).or_default();
        let basis = NamingBasis::Heard;
        let NamedVersion { version, named_ms } = named;
        if version < known.undated() {
            return None;
        }
        let corrected_ms = known.insert(version, named_ms, basis);
        let is_changed = corrected_ms != Some(0);
        is_changed
            .then(|| date_change(model, known, version, corrected_ms))
            .flatten()
    }

    /// Merges the versions that the sender can't date. One that is new here was
    /// named after all that this entry host knew.
    fn merge_unheard(&mut self, told: &ToldVersions) -> Vec<DateChange> {
        let mut changes = Vec::new();
        let known_until_ms = self.known_until_ms();
        for (model, version) in &told.unheard {
            let known = self.by_model.entry(model.clone()).or_default();
            if known.basis(*version).is_some() {
                continue;
            }
            match known_until_ms {
                Some(known_ms) => {
                    known.insert(*version, known_ms, NamingBasis::Heard);
                }
                None => known.raise_undated(*version),
            }
            changes.extend(date_change(model, known, *version, None));
        }
        changes
    }

    /// Dates what the sender would have told of if it had been named by
    /// `until_ms`, the time until which it knows every naming.
    fn date_undated(
        &mut self,
        told: &ToldVersions,
        until_ms: u64,
    ) -> Vec<DateChange> {
        let mut changes = Vec::new();
        for (model, known) in &mut self.by_model {
            let version = known.undated();
            known.lower_undated(told.unheard_of(model));
            let is_lowered = known.undated() < version;
            if is_lowered
                && !told.is_heard(model, version)
                && known.insert_possible(version, until_ms)
            {
                changes.extend(date_change(model, known, version, None));
            }
        }
        changes
    }
}

fn date_change(
    model: &Name,
    known: &ModelVersions,
    version: u64,
    corrected_ms: Option<u64>,
) -> Option<DateChange> {
    Some(DateChange {
        model: model.clone(),
        version,
        named_ms: known.named_ms(version),
        basis: known.basis(version)?,
        corrected_ms,
    })
}
