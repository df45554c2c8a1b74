//! Received manifests and chunks, and failed transfers.

use bytes::Bytes;

use super::{
    Content, Effect, FetchError, MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS, Swarm,
};
use crate::{
    log_event::LogEvent,
    swarm::{
        digest::WeightDigest,
        sources::{ATTEMPTS_PER_SOURCE, Source},
    },
};

/// The number of consecutive digest mismatches in chunks from the origin after
/// which the manifest is treated as corrupt, if no chunk is held.
const MAX_ORIGIN_MISMATCHES: u32 = 3;

impl Swarm {
    pub(super) fn on_manifest(
        &mut self,
        now_ms: u64,
        version: u64,
        source: Source,
        result: Result<Vec<WeightDigest>, FetchError>,
        effects: &mut Vec<Effect>,
    ) {
        let count = self.chunk_count;
        let Some(held) = self.versions.get_mut(&version) else { return };
        let slot = &mut held.manifest;
        slot.fetch = None;
        let valid = result.ok().filter(|digests| digests.len() == count);
        let Some(digests) = valid else {
            slot.failures += 1;
            slot.not_before_ms = now_ms + pause_ms(slot.failures);
            if source == Source::Origin {
                let detail = format!("version={version} item=manifest");
                effects.push(Effect::Log(LogEvent::OriginFailed, detail));
            }
            return;
        };
        slot.failures = 0;
        for waiter in slot.waiters.drain(..) {
            let content = Content::Manifest(digests.clone());
            effects.push(Effect::Answer { ticket: waiter.ticket, content });
        }
        held.digests = Some(digests);
        held.progress_ms = now_ms;
        self.insert_prior_chunks(now_ms, version, effects);
    }

    /// Adapts the window to the duration of a transfer. Transfers from the
    /// origin are ignored: all agents share its link, so their duration says
    /// nothing about the local link.
    pub(super) fn record_transfer_time(
        &mut self,
        source: Source,
        result: &Result<Bytes, FetchError>,
        took_ms: u64,
    ) {
        if source != Source::Origin && result.is_ok() {
            self.window.record(took_ms);
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now_ms: u64,
        version: u64,
        index: u32,
        source: Source,
        result: Result<Bytes, FetchError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let place = index as usize;
        let Some(slot) = held.slots.get_mut(place) else { return };
        slot.fetch = None;
        let was_whole = held.is_whole();
        let error = result.as_ref().err().copied();
        let is_stored =
            result.is_ok_and(|data| held.insert_verified(place, data));
        if !is_stored {
            self.record_chunk_failure(
                now_ms, version, index, source, error, effects,
            );
            return;
        }
        held.slots[place].failures = 0;
        held.progress_ms = now_ms;
        held.origin_mismatches = 0;
        self.answer_waiters(version, index, effects);
        if !was_whole {
            self.record_if_whole(now_ms, version, effects);
        }
    }

    /// Records a failed transfer of a chunk, or a digest mismatch if `error`
    /// is `None`.
    fn record_chunk_failure(
        &mut self,
        now_ms: u64,
        version: u64,
        index: u32,
        source: Source,
        error: Option<FetchError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let Some(slot) = held.slots.get_mut(index as usize) else { return };
        slot.failures += match error {
            Some(FetchError::Lost) => ATTEMPTS_PER_SOURCE,
            Some(FetchError::Absent) | None => 1,
        };
        slot.not_before_ms = now_ms + pause_ms(slot.failures);
        if error.is_none() {
            let detail =
                format!("version={version} chunk={index} from={source:?}");
            effects.push(Effect::Log(LogEvent::ChunkCorrupt, detail));
            if source == Source::Origin {
                held.origin_mismatches += 1;
            }
        }
        if held.origin_mismatches >= MAX_ORIGIN_MISMATCHES
            && held.held_count() == 0
        {
            held.digests = None;
            held.origin_mismatches = 0;
            // Makes another source the first choice for the next manifest.
            held.manifest.failures = ATTEMPTS_PER_SOURCE;
            let detail = format!("version={version}");
            effects.push(Effect::Log(LogEvent::ManifestMismatch, detail));
        }
    }

    pub(super) fn record_if_whole(
        &mut self,
        now_ms: u64,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        if held.is_whole() {
            held.whole_ms.get_or_insert(now_ms);
            let detail = format!("version={version}");
            effects.push(Effect::Log(LogEvent::SpreadWhole, detail));
            effects.push(Effect::Report);
        }
    }
}

fn pause_ms(failures: u32) -> u64 {
    (RETRY_PAUSE_MS << failures.min(4)).min(MAX_RETRY_PAUSE_MS)
}
