//! Chunks that an earlier agent left staged in the target.
//!
//! A restarted agent does not know which orders its predecessor sent. An order
//! that is still in transit loads whatever is staged, so the staged version is
//! ordered first if it is newer than the served one. The staged chunks also
//! need not be transferred over the network again.

use std::{collections::BTreeMap, ops::Range};

use bytes::Bytes;

use super::{Effect, RETRY_PAUSE_MOST_MS, Swarm};
use crate::{log_event::LogEvent, swarm::version::Version};

/// How long an agent defers orders while it cannot read, identify or complete
/// the staged chunks, in milliseconds: the duration of a whole fill.
const HOLD_BACK_MS: u64 = 4_000;

/// The maximum number of versions before the newest one that may be staged. An
/// agent that fails to get its target to load a version within its whole bound
/// of 8 s sees three more versions at the highest known rate of one in 2.8 s.
const SOUGHT_MOST: u64 = 3;

/// The chunks that were staged when the agent started.
#[derive(Debug)]
pub(super) enum Found {
    /// Not read yet.
    Unread {
        /// The staging area is not read before this time.
        read_from_ms: u64,
        /// When reading was first attempted.
        tried_ms: Option<u64>,
    },
    /// The read is in progress.
    Asked {
        /// When reading was first attempted.
        tried_ms: u64,
    },
    /// Read, with no order taken and no other version staged since.
    Read(FoundChunks),
    /// No order of an earlier agent can be carried out any more.
    Settled,
}

impl Default for Found {
    fn default() -> Found {
        Found::Unread { read_from_ms: 0, tried_ms: None }
    }
}

/// Chunks that were staged when the agent started.
#[derive(Debug)]
pub(super) struct FoundChunks {
    /// When they were read.
    read_ms: u64,
    /// Chunks that match no version known so far, with their indices.
    unknown: Vec<(u32, Bytes)>,
    /// The number of matching chunks, by version.
    known: BTreeMap<u64, usize>,
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
    pub(super) fn read_found(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Found::Unread { read_from_ms, tried_ms } = self.found else {
            return;
        };
        if self.target.is_up && now_ms >= read_from_ms {
            let tried_ms = tried_ms.unwrap_or(now_ms);
            self.found = Found::Asked { tried_ms };
            effects.push(Effect::ReadStaging);
        }
    }

    pub(super) fn staging_read(
        &mut self,
        now_ms: u64,
        chunks: Option<Vec<(u32, Bytes)>>,
        effects: &mut Vec<Effect>,
    ) {
        let Found::Asked { tried_ms } = self.found else { return };
        let Some(chunks) = chunks else {
            let read_from_ms = now_ms + RETRY_PAUSE_MOST_MS;
            let tried_ms = Some(tried_ms);
            self.found = Found::Unread { read_from_ms, tried_ms };
            let detail = "chunks=unread";
            effects.push(Effect::Log(LogEvent::StagingFound, detail.into()));
            return;
        };
        let detail =
            format!("chunks={} orders={}", chunks.len(), self.target.orders);
        effects.push(Effect::Log(LogEvent::StagingFound, detail));
        self.found = Found::Read(FoundChunks {
            read_ms: now_ms,
            unknown: chunks,
            known: BTreeMap::new(),
        });
        let versions: Vec<u64> = self.versions.keys().copied().collect();
        for version in versions {
            self.keep_found(now_ms, version, effects);
        }
    }

    /// Adds the staged chunks that match a version's digests to the version.
    pub(super) fn keep_found(
        &mut self,
        now_ms: u64,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Found::Read(found) = &mut self.found else { return };
        let Some(held) = self.versions.get_mut(&version) else { return };
        let was_whole = held.is_whole();
        let kept = found.move_to(held);
        for index in &kept {
            self.hand_out(version, *index, effects);
        }
        if !was_whole && !kept.is_empty() {
            self.note_whole(now_ms, version, effects);
        }
    }

    /// Returns the newer version to which most staged chunks belong, if the
    /// target does not serve it yet. An earlier agent may have ordered it.
    pub(super) fn found_version(&self) -> Option<u64> {
        let Found::Read(found) = &self.found else { return None };
        let served = self.target.serves_version;
        found
            .known
            .iter()
            .filter(|(version, _)| **version > served)
            .max_by_key(|(_, chunks)| **chunks)
            .map(|(version, _)| *version)
    }

    /// Returns the versions whose manifests are fetched only to identify
    /// staged chunks.
    pub(super) fn sought_manifests(&self) -> Range<u64> {
        let wanted = self.wanted();
        let first = wanted.saturating_sub(SOUGHT_MOST);
        let first = first.max(self.target.serves_version + 1);
        match &self.found {
            Found::Read(found) if !found.unknown.is_empty() => first..wanted,
            _ => wanted..wanted,
        }
    }

    /// Returns which versions the next order may name.
    pub(super) fn next_order(&self, now_ms: u64) -> NextOrder {
        let served = self.target.serves_version;
        if let Some(version) = self.orders.open_version(served) {
            return NextOrder::Only(version);
        }
        let is_over = |since_ms: u64| now_ms > since_ms + HOLD_BACK_MS;
        let found = match &self.found {
            Found::Settled => return NextOrder::Any,
            Found::Read(found) => found,
            Found::Asked { tried_ms: since_ms }
            | Found::Unread { tried_ms: Some(since_ms), .. }
                if is_over(*since_ms) =>
            {
                return NextOrder::Any;
            }
            Found::Unread { .. } | Found::Asked { .. } => {
                return NextOrder::Nothing;
            }
        };
        let is_over = is_over(found.read_ms);
        match self.found_version() {
            Some(version) if !is_over || self.is_whole(version) => {
                NextOrder::Only(version)
            }
            Some(_) => NextOrder::Any,
            None if is_over || found.unknown.is_empty() => NextOrder::Any,
            None if self.is_told_apart() => NextOrder::Any,
            None => NextOrder::Nothing,
        }
    }

    fn is_whole(&self, version: u64) -> bool {
        self.versions.get(&version).is_some_and(Version::is_whole)
    }

    /// Returns whether the manifests of all versions that may be staged and
    /// ordered are known. Chunks that match none of them are corrupt or older.
    fn is_told_apart(&self) -> bool {
        let wanted = self.wanted();
        let is_known = |version: u64| {
            let held = self.versions.get(&version);
            held.is_some_and(|held| held.digests.is_some())
        };
        is_known(wanted) && self.sought_manifests().all(is_known)
    }
}

impl FoundChunks {
    /// Moves the chunks that match the version's digests to the version, and
    /// returns their indices.
    fn move_to(&mut self, held: &mut Version) -> Vec<u32> {
        let mut kept = Vec::new();
        self.unknown.retain(|(index, data)| {
            let is_place = (*index as usize) < held.slots.len();
            let is_match =
                is_place && held.keep(*index as usize, data.clone());
            if is_match {
                kept.push(*index);
            }
            !is_match
        });
        if !kept.is_empty() {
            *self.known.entry(held.number).or_default() += kept.len();
        }
        kept
    }
}
