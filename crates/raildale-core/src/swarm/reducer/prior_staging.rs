//! Chunks that an earlier agent left staged in the target.
//!
//! A restarted agent does not know which orders its predecessor sent. An order
//! that is still in transit loads whatever is staged, so the staged version is
//! ordered first if it is newer than the served one. The staged chunks also
//! need not be transferred over the network again.

use std::{collections::BTreeMap, ops::Range};

use bytes::Bytes;

use super::{Effect, MAX_RETRY_PAUSE_MS, Swarm};
use crate::{log_event::LogEvent, swarm::version::Version};

/// How long an agent defers orders while it cannot read, identify or complete
/// the staged chunks, in milliseconds: the duration of a whole fill.
const PRIOR_STAGING_TIMEOUT_MS: u64 = 4_000;

/// The maximum number of versions before the newest one that may be staged. An
/// agent that fails to get its target to load a version within its whole bound
/// of 8 s sees three more versions at the highest known rate of one in 2.8 s.
const MAX_PRIOR_VERSIONS: u64 = 3;

/// The chunks that were staged when the agent started.
#[derive(Debug)]
pub(super) enum PriorStaging {
    /// Not read yet.
    Unread {
        /// The staging area is not read before this time.
        retry_at_ms: u64,
        /// When reading was first attempted.
        first_try_ms: Option<u64>,
    },
    /// The read is in progress.
    Reading {
        /// When reading was first attempted.
        first_try_ms: u64,
    },
    /// Read, with no order taken and no other version staged since.
    Read(PriorChunks),
    /// No order of an earlier agent can be carried out any more.
    Obsolete,
}

impl Default for PriorStaging {
    fn default() -> PriorStaging {
        PriorStaging::Unread { retry_at_ms: 0, first_try_ms: None }
    }
}

/// Chunks that were staged when the agent started.
#[derive(Debug)]
pub(super) struct PriorChunks {
    /// When they were read.
    read_ms: u64,
    /// Chunks that match no version known so far, with their indices.
    unidentified: Vec<(u32, Bytes)>,
    /// The number of matching chunks, by version.
    chunk_counts: BTreeMap<u64, usize>,
}

/// The versions that the next order may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextOrder {
    /// No order may be sent yet.
    Nothing,
    /// Only this version.
    Only(u64),
    /// Any version.
    Any,
}

impl Swarm {
    /// Reads the staged chunks, if that has not been done and the target is
    /// up.
    pub(super) fn read_prior_staging(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let PriorStaging::Unread { retry_at_ms, first_try_ms } =
            self.prior_staging
        else {
            return;
        };
        if self.target.is_up && now_ms >= retry_at_ms {
            let first_try_ms = first_try_ms.unwrap_or(now_ms);
            self.prior_staging = PriorStaging::Reading { first_try_ms };
            effects.push(Effect::ReadStaging);
        }
    }

    pub(super) fn on_staging_read(
        &mut self,
        now_ms: u64,
        chunks: Option<Vec<(u32, Bytes)>>,
        effects: &mut Vec<Effect>,
    ) {
        let PriorStaging::Reading { first_try_ms } = self.prior_staging else {
            return;
        };
        let Some(chunks) = chunks else {
            let retry_at_ms = now_ms + MAX_RETRY_PAUSE_MS;
            let first_try_ms = Some(first_try_ms);
            self.prior_staging =
                PriorStaging::Unread { retry_at_ms, first_try_ms };
            let detail = "chunks=unread";
            effects.push(Effect::Log(LogEvent::StagingFound, detail.into()));
            return;
        };
        let detail =
            format!("chunks={} orders={}", chunks.len(), self.target.orders);
        effects.push(Effect::Log(LogEvent::StagingFound, detail));
        self.prior_staging = PriorStaging::Read(PriorChunks {
            read_ms: now_ms,
            unidentified: chunks,
            chunk_counts: BTreeMap::new(),
        });
        let versions: Vec<u64> = self.versions.keys().copied().collect();
        for version in versions {
            self.insert_prior_chunks(now_ms, version, effects);
        }
    }

    /// Adds the staged chunks that match a version's digests to the version.
    pub(super) fn insert_prior_chunks(
        &mut self,
        now_ms: u64,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let PriorStaging::Read(prior) = &mut self.prior_staging else {
            return;
        };
        let Some(held) = self.versions.get_mut(&version) else { return };
        let was_whole = held.is_whole();
        let kept = prior.move_matching_to(held);
        for index in &kept {
            self.answer_waiters(version, *index, effects);
        }
        if !was_whole && !kept.is_empty() {
            self.record_if_whole(now_ms, version, effects);
        }
    }

    /// Returns the newer version to which most staged chunks belong, if the
    /// target does not serve it yet. An earlier agent may have ordered it.
    pub(super) fn prior_version(&self) -> Option<u64> {
        let PriorStaging::Read(prior) = &self.prior_staging else {
            return None;
        };
        let served = self.target.serves_version;
        prior
            .chunk_counts
            .iter()
            .filter(|(version, _)| **version > served)
            .max_by_key(|(_, chunks)| **chunks)
            .map(|(version, _)| *version)
    }

    /// Returns the versions whose manifests are fetched only to identify
    /// staged chunks.
    pub(super) fn prior_manifests(&self) -> Range<u64> {
        let wanted = self.wanted();
        let first = wanted.saturating_sub(MAX_PRIOR_VERSIONS);
        let first = first.max(self.target.serves_version + 1);
        match &self.prior_staging {
            PriorStaging::Read(prior) if !prior.unidentified.is_empty() => {
                first..wanted
            }
            _ => wanted..wanted,
        }
    }

    /// Returns which versions the next order may name.
    pub(super) fn next_order(&self, now_ms: u64) -> NextOrder {
        let served = self.target.serves_version;
        if let Some(version) = self.orders.open_version(served) {
            return NextOrder::Only(version);
        }
        let is_expired =
            |since_ms: u64| now_ms > since_ms + PRIOR_STAGING_TIMEOUT_MS;
        let prior = match &self.prior_staging {
            PriorStaging::Obsolete => return NextOrder::Any,
            PriorStaging::Read(prior) => prior,
            PriorStaging::Reading { first_try_ms: since_ms }
            | PriorStaging::Unread { first_try_ms: Some(since_ms), .. }
                if is_expired(*since_ms) =>
            {
                return NextOrder::Any;
            }
            PriorStaging::Unread { .. } | PriorStaging::Reading { .. } => {
                return NextOrder::Nothing;
            }
        };
        let is_expired = is_expired(prior.read_ms);
        match self.prior_version() {
            Some(version) if !is_expired || self.is_whole(version) => {
                NextOrder::Only(version)
            }
            Some(_) => NextOrder::Any,
            None if is_expired || prior.unidentified.is_empty() => {
                NextOrder::Any
            }
            None if self.are_candidates_known() => NextOrder::Any,
            None => NextOrder::Nothing,
        }
    }

    fn is_whole(&self, version: u64) -> bool {
        self.versions.get(&version).is_some_and(Version::is_whole)
    }

    /// Returns whether the manifests of all versions that may be staged and
    /// ordered are known. Chunks that match none of them are corrupt or older.
    fn are_candidates_known(&self) -> bool {
        let wanted = self.wanted();
        let is_known = |version: u64| {
            let held = self.versions.get(&version);
            held.is_some_and(|held| held.digests.is_some())
        };
        is_known(wanted) && self.prior_manifests().all(is_known)
    }
}

impl PriorChunks {
    /// Moves the chunks that match the version's digests to the version, and
    /// returns their indices.
    fn move_matching_to(&mut self, held: &mut Version) -> Vec<u32> {
        let mut kept = Vec::new();
        self.unidentified.retain(|(index, data)| {
            let is_place = (*index as usize) < held.slots.len();
            let is_match = is_place
                && held.insert_verified(*index as usize, data.clone());
            if is_match {
                kept.push(*index);
            }
            !is_match
        });
        if !kept.is_empty() {
            *self.chunk_counts.entry(held.number).or_default() += kept.len();
        }
        kept
    }
}
