//! The named versions of one model.

use super::{
    AgedVersion, NamedVersion, NamingBasis, RECORD_ERROR_MS, VersionBound,
};

/// A version with its date.
#[derive(Clone, Copy, Debug)]
struct DatedVersion {
    named: NamedVersion,
    basis: NamingBasis,
}

/// The named versions of one model.
#[derive(Debug, Default)]
pub(super) struct ModelVersions {
    /// The newest version; 0 if there is none.
    newest: u64,
    /// The newest version whose date is unknown; 0 if there is none. It and
    /// all older ones count as named long ago.
    undated: u64,
    /// The versions after `undated`, oldest first.
    dated: Vec<DatedVersion>,
}

impl ModelVersions {
    /// Records that the store names a version.
    pub fn record_newest(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// Returns the newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the newest version whose date is unknown; 0 if there is none.
    pub fn undated(&self) -> u64 {
        self.undated
    }

    /// Returns what is known of a version's date; `None` if the version is not
    /// known.
    pub fn basis(&self, version: u64) -> Option<NamingBasis> {
        if version <= self.undated {
            return Some(NamingBasis::Unknown);
        }
        self.find(version).map(|dated| dated.basis)
    }

    /// Returns a version's date; `None` if it is not known.
    pub fn named_ms(&self, version: u64) -> Option<u64> {
        self.find(version).map(|dated| dated.named.named_ms)
    }

    /// Dates a version; 0 stands for none. What was heard replaces a record,
    /// and the earlier of two dates on the same basis counts. Returns by how
    /// much the date on the same basis is corrected; `None` if there was none.
    pub fn insert(
        &mut self,
        version: u64,
        named_ms: u64,
        basis: NamingBasis,
    ) -> Option<u64> {
        self.record_newest(version);
        if version == 0 || version < self.undated {
            return None;
        }
        if version == self.undated {
            self.undated = version - 1;
        }
        let named = NamedVersion { version, named_ms };
        let new = DatedVersion { named, basis };
        let place = self.place(version);
        let Ok(index) = place else {
            self.dated.insert(place.unwrap_or_else(|index| index), new);
            return None;
        };
        let known = &mut self.dated[index];
        match (known.basis, basis) {
            (NamingBasis::Heard, NamingBasis::Recorded) => Some(0),
            (NamingBasis::Recorded, NamingBasis::Heard) => {
                *known = new;
                None
            }
            _ => {
                let known_ms = &mut known.named.named_ms;
                let earlier_ms = known_ms.saturating_sub(named_ms);
                *known_ms -= earlier_ms;
                Some(earlier_ms)
            }
        }
    }

    /// Counts a version and all older ones as named long ago.
    pub fn raise_undated(&mut self, version: u64) {
        self.record_newest(version);
        self.undated = self.undated.max(version);
        let undated = self.undated;
        self.dated.retain(|dated| dated.named.version > undated);
    }

    /// Returns the newest version up to `version` that has no date: it may have
    /// been named although no list shows it any more.
    pub fn newest_without_date(&self, version: u64) -> u64 {
        let mut candidate = version;
        while self.find(candidate).is_some() {
            candidate -= 1;
        }
        candidate
    }

    /// Dates a version that may have been named at `named_ms` or later, unless
    /// a newer one bounds the same by an earlier date. Returns whether it does.
    pub fn insert_possible(&mut self, version: u64, named_ms: u64) -> bool {
        let is_bounded = self.dated.iter().any(|dated| {
            let NamedVersion { version: newer, named_ms: newer_ms } =
                dated.named;
            newer > version && newer_ms <= named_ms
        });
        if !is_bounded {
            self.insert(version, named_ms, NamingBasis::Heard);
        }
        !is_bounded
    }

    /// Counts only `undated` and older versions as named long ago.
    pub fn lower_undated(&mut self, undated: u64) {
        self.undated = self.undated.min(undated);
    }

    /// Returns the versions whose naming an entry host heard of, oldest first.
    pub fn heard(&self) -> impl Iterator<Item = NamedVersion> + '_ {
        let is_heard =
            |dated: &&DatedVersion| dated.basis == NamingBasis::Heard;
        self.dated.iter().filter(is_heard).map(|dated| dated.named)
    }

    /// Returns the newest version that no entry host heard being named; 0 if
    /// there is none.
    pub fn unheard(&self) -> u64 {
        let unheard =
            self.dated.iter().filter(|d| d.basis != NamingBasis::Heard);
        let newest = unheard.map(|dated| dated.named.version).max();
        newest.unwrap_or(self.undated)
    }

    /// Returns the versions for agents, oldest first.
    pub fn for_agents(&self, now_ms: u64) -> Vec<AgedVersion> {
        let undated = (self.newest > 0 && self.newest <= self.undated)
            .then_some(AgedVersion { version: self.newest, age_ms: 0 });
        let dated = self.dated.iter().map(|dated| {
            let NamedVersion { version, named_ms } = dated.named;
            let error_ms = match dated.basis {
                NamingBasis::Recorded => RECORD_ERROR_MS,
                NamingBasis::Heard | NamingBasis::Unknown => 0,
            };
            let age_ms = now_ms.saturating_sub(named_ms + error_ms);
            AgedVersion { version, age_ms }
        });
        undated.into_iter().chain(dated).collect()
    }

    /// Returns the lowest version that may start work at `until_ms`, given the
    /// bound in milliseconds.
    pub fn min_version(&self, until_ms: u64, bound_ms: u64) -> u64 {
        let is_over = |dated: &&DatedVersion| {
            dated.named.named_ms + bound_ms <= until_ms
        };
        let over = self.dated.iter().filter(is_over);
        let newest = over.map(|dated| dated.named.version).max();
        newest.unwrap_or(self.undated)
    }

    /// Returns the versions with the time until nothing older may start, given
    /// the bound in milliseconds.
    pub fn bounds(&self, now_ms: u64, bound_ms: u64) -> Vec<VersionBound> {
        let undated = (self.undated > 0)
            .then_some(VersionBound { version: self.undated, left_ms: 0 });
        let dated = self.dated.iter().map(|dated| {
            let NamedVersion { version, named_ms } = dated.named;
            let left_ms = (named_ms + bound_ms).saturating_sub(now_ms);
            VersionBound { version, left_ms }
        });
        undated.into_iter().chain(dated).collect()
    }

    fn find(&self, version: u64) -> Option<&DatedVersion> {
        self.place(version).ok().map(|index| &self.dated[index])
    }

    fn place(&self, version: u64) -> Result<usize, usize> {
        self.dated.binary_search_by_key(&version, |d| d.named.version)
    }
}
