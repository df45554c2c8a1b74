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
        version::Version,
    },
};

/// The number of consecutive digest mismatches in chunks from the origin after
/// which the manifest is fetched again, if no chunk is held.
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
        let waiters = std::mem::take(&mut slot.waiters);
        let is_first = held.digests.is_none();
        let replaced = held.merge_digests(digests);
        if let Some(digests) = &held.digests {
            for waiter in waiters {
                let ticket = waiter.ticket;
                let content = Content::Manifest(digests.clone());
                effects.push(Effect::Answer { ticket, content });
            }
        }
        if is_first || replaced > 0 {
            held.progress_ms = now_ms;
        }
        if replaced > 0 {
            let detail = format!(
                "version={version} replaced={replaced} from={source:?}"
            );
            effects.push(Effect::Log(LogEvent::ManifestReplaced, detail));
        }
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
        let failure = match result {
            Ok(data) if held.insert_verified(place, data.clone()) => None,
            Ok(data) => Some(ChunkFailure::Mismatch(data)),
            Err(error) => Some(ChunkFailure::Transfer(error)),
        };
        if let Some(failure) = failure {
            self.record_chunk_failure(
                now_ms, version, index, source, failure, effects,
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

    /// Records that a chunk was not received.
    fn record_chunk_failure(
        &mut self,
        now_ms: u64,
        version: u64,
        index: u32,
        source: Source,
        failure: ChunkFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.versions.get_mut(&version) else { return };
        let Some(slot) = held.slots.get_mut(index as usize) else { return };
        slot.failures += match failure {
            ChunkFailure::Transfer(FetchError::Lost) => ATTEMPTS_PER_SOURCE,
            ChunkFailure::Transfer(FetchError::Absent)
            | ChunkFailure::Mismatch(_) => 1,
        };
        slot.not_before_ms = now_ms + pause_ms(slot.failures);
        if let ChunkFailure::Mismatch(data) = failure {
            let detail =
                format!("version={version} chunk={index} from={source:?}");
            effects.push(Effect::Log(LogEvent::ChunkCorrupt, detail));
            record_mismatch(held, index, source, &data, effects);
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

/// Why a chunk was not received.
#[derive(Debug)]
enum ChunkFailure {
    /// The transfer failed.
    Transfer(FetchError),
    /// These bytes do not match their digest.
    Mismatch(Bytes),
}

/// Records a chunk that does not match its digest, and whether the manifest
/// has to be fetched again.
///
/// Another agent only sends chunks that match its own manifest, so a mismatch
/// shows that the two manifests differ. An answer of the origin may be spoilt
/// itself.
fn record_mismatch(
    held: &mut Version,
    index: u32,
    source: Source,
    data: &[u8],
    effects: &mut Vec<Effect>,
) {
    let is_contradicted = match source {
        Source::Peer(_) => true,
        Source::Origin => {
            held.origin_mismatches += 1;
            let is_repeated = held.record_rejected(index as usize, data);
            let is_unconfirmed = held.held_count() == 0
                && held.origin_mismatches >= MAX_ORIGIN_MISMATCHES;
            is_repeated || is_unconfirmed
        }
    };
    if is_contradicted {
        held.origin_mismatches = 0;
        held.contradicted_by = Some(source);
        let detail = format!(
            "version={} chunk={index} from={source:?} held={}",
            held.number,
            held.held_count()
        );
        effects.push(Effect::Log(LogEvent::ManifestContradicted, detail));
    }
}

fn pause_ms(failures: u32) -> u64 {
    (RETRY_PAUSE_MS << failures.min(4)).min(MAX_RETRY_PAUSE_MS)
}
